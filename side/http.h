/* HTTP client of the side's event loop: libcurl's multi interface on the loop's
   epoll descriptor, so that no stream occupies a thread.  */

#ifndef CV_SIDE_HTTP_H
#define CV_SIDE_HTTP_H

#include <curl/curl.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum
{
  CV_HTTP_COMPLETE,  /* the response is complete; its status is set */
  CV_HTTP_NOT_SENT,  /* no connection: the server received nothing */
  CV_HTTP_INCOMPLETE /* failed later: the request may have arrived */
} cv_http_end_t;

typedef struct
{
  cv_http_end_t end;
  long status; /* 0 when none was received */
  const char *content_type;
  uint32_t retry_after_s; /* Retry-After; 0 when absent */
  cv_slice_t body;        /* empty when DATA received it */
} cv_http_result_t;

/* An HTTP request; not a call to a plain service (cv_call_t).  cv_http_start
   copies the strings.  */
typedef struct
{
  const char *method;
  const char *url;
  const char *content_type; /* NULL: none */
  const char *header;       /* additional header line, or NULL */
  cv_slice_t body;
  long timeout_ms; /* 0: only connecting has a timeout */
  /* Use a new connection, so that libcurl never sends the request twice.  A
     timeout while connecting then ends as CV_HTTP_NOT_SENT.  */
  bool at_most_once;
  /* Receives the body of a response with status 200 piece by piece.  When it is
     NULL, and with any other status, the body is passed to DONE.  */
  void (*data) (void *arg, const char *p, size_t n);
  /* Called when the request has ended, but not after cv_http_cancel.  It may
     start requests.  */
  void (*done) (void *arg, const cv_http_result_t *result);
  void *arg;
} cv_http_call_t;

typedef struct cv_http_request_t cv_http_request_t;

LIST_HEAD (cv_http_list_t, cv_http_request_t);

typedef struct
{
  CURLM *multi;
  int epoll_fd;
  uint64_t tag;      /* upper 32 bits of the epoll data of its sockets */
  cv_time_t wake_at; /* next timeout of libcurl; 0: none */
  struct cv_http_list_t requests;
} cv_http_t;

bool cv_http_init (cv_http_t *h, int epoll_fd, uint32_t tag, cv_error_t *err);
/* Cancel all requests; DONE is not called.  */
void cv_http_finish (cv_http_t *h);
/* NULL when the request cannot be set up: nothing was sent, and DONE is not
   called.  */
cv_http_request_t *cv_http_start (cv_http_t *h, const cv_http_call_t *call);
/* Does nothing when R is NULL.  Must not be called from DATA.  */
void cv_http_cancel (cv_http_request_t *r);
/* epoll reported EVENTS for the socket FD.  */
void cv_http_socket_ready (cv_http_t *h, int fd, uint32_t events);
/* Handle a timeout of libcurl that has expired.  */
void cv_http_tick (cv_http_t *h, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
