/* HTTP client for one server address: one buffered request at a time over a
   persistent connection.  */

#ifndef CV_HTTP_CALL_H
#define CV_HTTP_CALL_H

#include "http/link.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Result of a call.  */
typedef struct
{
  unsigned status;     /* HTTP status; 0: no complete response */
  const char *failure; /* reason, with status 0 */
  bool is_too_long;    /* with status 0: the body exceeds the limit */
  bool is_not_sent;    /* with status 0: the server has got nothing */
  cv_slice_t body;
  const cv_http_head_t *head; /* NULL with status 0 */
} cv_http_result_t;

/* Receives the result; may start the next call.  */
typedef void cv_http_call_handler_t (void *owner, const cv_http_result_t *r);

/* The client of one server, with at most one call in progress.  */
typedef struct
{
  struct event_base *base;
  struct sockaddr_in address;
  cv_http_link_t *link;
  cv_buf_t body;
  size_t body_max; /* bytes */
  bool busy;
  cv_time_t deadline;         /* the call fails at this time */
  cv_time_t progress_timeout; /* time between bytes of a response, by which the
                                 deadline is put off; 0: it is not */
  cv_time_t last_deadline;    /* it is not put off beyond this */
  uint64_t calls;             /* number of calls started */
  cv_http_call_handler_t *handler;
  void *owner;
} cv_http_call_t;

/* BODY_MAX: size limit of a response's body in bytes.  A call whose response
   exceeds it fails, and its connection is closed.  */
void cv_http_call_init (cv_http_call_t *c, struct event_base *base,
                        const struct sockaddr_in *address, size_t body_max,
                        cv_http_call_handler_t *handler, void *owner);
/* Cancels a call in progress without calling its handler, and frees the
   resources.  */
void cv_http_call_finish (cv_http_call_t *c);
/* Cancels a call in progress without calling its handler; another one may be
   started.  */
void cv_http_call_cancel (cv_http_call_t *c);
/* Starts a call; no other call may be in progress.  BODY is sent as JSON unless
   it is empty.  A call that cannot be sent fails at the next tick, so that the
   handler never runs within this function.  C's PROGRESS_TIMEOUT is 0 then, and
   may be set.  */
void cv_http_call_start (cv_http_call_t *c, const char *method,
                         const char *path, cv_slice_t body, cv_time_t timeout);
/* Fails a call that has reached its deadline.  */
void cv_http_call_tick (cv_http_call_t *c, cv_time_t now);

/* Parses "http://IP:PORT" or "IP:PORT"; IPv4 only.  */
bool cv_http_parse_address (const char *url, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
