/* HTTP client of the side's loop: libcurl's multi interface on the loop's
   epoll descriptor, so that no stream holds a thread.  */

#ifndef CV_SIDE_HTTP_H
#define CV_SIDE_HTTP_H

#include <curl/curl.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How a request ended.  */
typedef enum
{
  CV_HTTP_WHOLE,    /* a whole response came; its status is set */
  CV_HTTP_NOT_SENT, /* no connection: the server saw nothing of it */
  CV_HTTP_CUT       /* it may have been seen; the response is not whole */
} cv_http_end_t;

typedef struct
{
  cv_http_end_t end;
  long status; /* 0 when none came */
  const char *content_type;
  uint32_t retry_after_s; /* of the header; 0 when there is none */
  cv_slice_t body;        /* empty when it was passed on piece by piece */
} cv_http_result_t;

/* A request.  The strings are copied.  */
typedef struct
{
  const char *method;
  const char *url;
  const char *content_type; /* NULL: none */
  const char *header;       /* one more header line, or NULL */
  cv_slice_t body;
  long timeout_ms; /* 0: none but for the connection */
  bool once;       /* own connection, so that nothing is sent twice */
  /* Piece of a successful body; NULL collects it for the end.  */
  void (*data) (void *arg, const char *p, size_t n);
  /* The end; not called after a cancel.  May start requests.  */
  void (*done) (void *arg, const cv_http_result_t *result);
  void *arg;
} cv_http_call_t;

typedef struct cv_http_request_t cv_http_request_t;

LIST_HEAD (cv_http_list_t, cv_http_request_t);

typedef struct
{
  CURLM *multi;
  int epoll;         /* where the sockets are added */
  uint64_t tag;      /* upper half of their epoll data */
  cv_time_t wake_at; /* 0: no timeout */
  struct cv_http_list_t requests;
} cv_http_t;

bool cv_http_init (cv_http_t *h, int epoll, uint32_t tag, cv_error_t *err);
/* Ends all requests without a call of DONE.  */
void cv_http_finish (cv_http_t *h);
/* NULL when the request cannot be made; nothing was sent.  */
cv_http_request_t *cv_http_start (cv_http_t *h, const cv_http_call_t *call);
/* Must not be called from DATA.  */
void cv_http_cancel (cv_http_request_t *r);
/* The socket FD is ready for EVENTS (of epoll).  */
void cv_http_ready (cv_http_t *h, int fd, uint32_t events);
void cv_http_tick (cv_http_t *h, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
