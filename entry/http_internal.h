/* What the files of the HTTP API share.  */

#ifndef CV_ENTRY_HTTP_INTERNAL_H
#define CV_ENTRY_HTTP_INTERNAL_H

#include <netinet/in.h>

#include <ulfius.h>

#include "entry/http.h"
#include "entry/http_conns.h"

#define REQUEST_ID_MAX 64

struct cv_http_t
{
  struct _u_instance instance;
  struct sockaddr_in bind;
  const cv_entry_settings_t *settings;
  cv_entry_link_t *link;
  cv_storejobs_t *jobs;
  cv_http_conns_t conns;
  int draining; /* atomic */
};

typedef struct _u_request cv_request_in_t;
typedef struct _u_response cv_response_t;

/* An error answer.  */
typedef struct
{
  int status;
  const char *code;
  const char *text;
  cv_outcome_t outcome;
  uint32_t retry_after_ms;
} cv_http_error_t;

/* http.c */

/* Echo or make the request id, and check the body against the limit; false
   when an error was answered.  */
bool cv_http_begin (cv_http_t *h, const cv_request_in_t *req,
                    cv_response_t *resp);
/* The account of the bearer key; false when an error was answered.  */
bool cv_http_account (cv_http_t *h, const cv_request_in_t *req,
                      cv_response_t *resp, char account[CV_NAME_MAX]);
bool cv_http_operator (cv_http_t *h, const cv_request_in_t *req,
                       cv_response_t *resp);
/* The next reply, or NULL after WAIT, or when the caller went away.  */
cv_queued_reply_t *cv_http_take (cv_http_t *h, const cv_request_in_t *req,
                                 cv_reply_queue_t *caller, cv_time_t wait);
/* Value of a header, or NULL.  */
const char *cv_http_header (const cv_request_in_t *req, const char *name);
int cv_http_fail (cv_response_t *resp, const cv_http_error_t *e);
int cv_http_bad (cv_response_t *resp, const char *text);
int cv_http_failure (cv_response_t *resp, cv_failure_code_t code,
                     uint32_t retry_after_ms);
int cv_http_json (cv_response_t *resp, int status, cv_buf_t *body);
/* {"error":{...}} appended to OUT.  */
void cv_http_error_json (const cv_http_error_t *e, cv_buf_t *out);
/* The error that a last reply other than END and CALL is told as.  */
cv_http_error_t cv_http_error_of (const cv_queued_reply_t *m);
int cv_http_fail_mail (cv_response_t *resp, const cv_queued_reply_t *m);

/* http_body.c */

/* Append TEXT as a JSON string with its quotes.  */
void cv_json_quote (cv_buf_t *out, const char *text, size_t n);

/* The body of a completion request.  */
typedef struct
{
  char model[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  uint32_t max_tokens;
  bool stream;
  cv_buf_t prompt;
} cv_completion_t;

bool cv_completion_parse (cv_slice_t body, bool chat, cv_completion_t *out,
                          cv_error_t *err);
/* The string member KEY of the object BODY.  */
bool cv_body_text (cv_slice_t body, const char *key, char *out, size_t size,
                   cv_error_t *err);

/* Endpoints.  */

int cv_http_completions (const cv_request_in_t *req, cv_response_t *resp,
                         void *arg);
int cv_http_chat (const cv_request_in_t *req, cv_response_t *resp, void *arg);
int cv_http_resume (const cv_request_in_t *req, cv_response_t *resp, void *arg);
int cv_http_tickets (const cv_request_in_t *req, cv_response_t *resp,
                     void *arg);
int cv_http_service (const cv_request_in_t *req, cv_response_t *resp,
                     void *arg);
int cv_http_query (const cv_request_in_t *req, cv_response_t *resp, void *arg);
int cv_http_change (const cv_request_in_t *req, cv_response_t *resp, void *arg);
int cv_http_document_get (const cv_request_in_t *req, cv_response_t *resp,
                          void *arg);
int cv_http_document_put (const cv_request_in_t *req, cv_response_t *resp,
                          void *arg);

/* http_sse.c */

/* Answer with the events of CALLER, whose first reply FIRST (may be NULL) was
   already taken.  Takes the reference of CALLER.  */
int cv_http_sse (cv_http_t *h, cv_response_t *resp, cv_reply_queue_t *caller,
                 cv_queued_reply_t *first, bool chat);

#endif
