/* Types and functions shared by the files of the HTTP API.  */

#ifndef CV_ENTRY_HTTP_INTERNAL_H
#define CV_ENTRY_HTTP_INTERNAL_H

#include <netinet/in.h>

#include <ulfius.h>

#include "entry/http.h"
#include "entry/http_conns.h"

#define REQUEST_ID_MAX_BYTES 64

struct cv_http_t
{
  struct _u_instance server;
  struct sockaddr_in bind;
  const cv_entry_settings_t *settings;
  cv_entry_link_t *link;
  cv_storejobs_t *jobs;
  cv_http_conns_t connections;
  int listen_fd; /* after the server stopped accepting; otherwise -1 */
  int draining;  /* atomic */
};

typedef struct _u_request cv_server_request_t;
typedef struct _u_response cv_server_response_t;

/* An error response.  */
typedef struct
{
  int status;
  const char *code;
  const char *text;
  cv_outcome_t outcome;
  uint32_t retry_after_ms;
} cv_http_error_t;

/* http.c */

/* Sets the request id header, echoed or generated, and checks the body size;
   false when an error response has been set.  */
bool cv_http_check_request (cv_http_t *h, const cv_server_request_t *req,
                            cv_server_response_t *resp);
/* Finds the account of the bearer key; false when an error response has been
   set.  */
bool cv_http_authenticate (cv_http_t *h, const cv_server_request_t *req,
                           cv_server_response_t *resp,
                           char account[CV_NAME_MAX]);
/* Checks the bearer key of an operator; false when an error response has been
   set.  */
bool cv_http_authenticate_operator (cv_http_t *h,
                                    const cv_server_request_t *req,
                                    cv_server_response_t *resp);
/* Returns the next reply, or NULL after WAIT or when the caller has
   disconnected.  */
cv_queued_reply_t *cv_http_wait_reply (cv_http_t *h,
                                       const cv_server_request_t *req,
                                       cv_reply_queue_t *replies,
                                       cv_time_t wait);
/* Returns the value of a header, or NULL.  */
const char *cv_http_header (const cv_server_request_t *req, const char *name);
int cv_http_respond_error (cv_server_response_t *resp,
                           const cv_http_error_t *e);
int cv_http_respond_bad_request (cv_server_response_t *resp, const char *text);
int cv_http_respond_failure (cv_server_response_t *resp, cv_failure_code_t code,
                             uint32_t retry_after_ms);
int cv_http_respond_json (cv_server_response_t *resp, int status,
                          cv_buf_t *body);
/* Appends {"error":{...}} to OUT.  */
void cv_http_error_json (const cv_http_error_t *e, cv_buf_t *out);
/* Converts a last reply to an error response: the failure of a FAILED reply,
   and CV_FAIL_INTERRUPTED for any other type.  */
cv_http_error_t cv_http_error_from_reply (const cv_queued_reply_t *m);
int cv_http_respond_failed_reply (cv_server_response_t *resp,
                                  const cv_queued_reply_t *m);

/* http_body.c */

/* Appends TEXT as a quoted JSON string.  */
void cv_json_quote (cv_buf_t *out, const char *text, size_t n);

/* The body of a completion request.  */
typedef struct
{
  char model[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  uint32_t max_tokens;
  bool stream;
  cv_buf_t prompt;
} cv_completion_request_t;

bool cv_completion_parse (cv_slice_t body, bool chat,
                          cv_completion_request_t *out, cv_error_t *err);
/* Copies the string member KEY of the JSON object BODY.  */
bool cv_json_string_member (cv_slice_t body, const char *key, char *out,
                            size_t size, cv_error_t *err);

/* Endpoints.  */

int cv_http_completions (const cv_server_request_t *req,
                         cv_server_response_t *resp, void *arg);
int cv_http_chat_completions (const cv_server_request_t *req,
                              cv_server_response_t *resp, void *arg);
int cv_http_resume (const cv_server_request_t *req, cv_server_response_t *resp,
                    void *arg);
int cv_http_tickets (const cv_server_request_t *req, cv_server_response_t *resp,
                     void *arg);
int cv_http_service_call (const cv_server_request_t *req,
                          cv_server_response_t *resp, void *arg);
int cv_http_operator_query (const cv_server_request_t *req,
                            cv_server_response_t *resp, void *arg);
int cv_http_operator_change (const cv_server_request_t *req,
                             cv_server_response_t *resp, void *arg);
int cv_http_document_get (const cv_server_request_t *req,
                          cv_server_response_t *resp, void *arg);
int cv_http_document_put (const cv_server_request_t *req,
                          cv_server_response_t *resp, void *arg);

/* http_sse.c */

/* Responds with the replies as server-sent events.  FIRST is the first reply
   when it has already been taken, or NULL.  Consumes the calling function's
   reference to REPLIES.  */
int cv_http_respond_sse (cv_http_t *h, cv_server_response_t *resp,
                         cv_reply_queue_t *replies, cv_queued_reply_t *first,
                         bool chat);

#endif
