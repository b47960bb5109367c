/* One whole call at a time to one address, over a kept connection.  */

#ifndef CV_HTTP_CALL_H
#define CV_HTTP_CALL_H

#include "http/link.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How a call ended.  */
typedef struct
{
  unsigned status;     /* 0: no whole answer came */
  const char *failure; /* of status 0 */
  cv_slice_t body;
  const cv_http_head_t *head; /* NULL with status 0 */
} cv_http_result_t;

/* May start the next call.  */
typedef void cv_http_call_handler_t (void *owner, const cv_http_result_t *r);

typedef struct
{
  struct event_base *base;
  struct sockaddr_in address;
  cv_http_link_t *link;
  cv_buf_t body;
  bool busy;
  cv_time_t until; /* the call is given up then */
  uint64_t calls;  /* since the start */
  cv_http_call_handler_t *handler;
  void *owner;
} cv_http_call_t;

void cv_http_call_init (cv_http_call_t *c, struct event_base *base,
                        const struct sockaddr_in *address,
                        cv_http_call_handler_t *handler, void *owner);
/* Ends a call under way without telling its owner.  */
void cv_http_call_finish (cv_http_call_t *c);
/* Start a call; none may be under way.  BODY is sent as JSON unless empty.  */
void cv_http_call_start (cv_http_call_t *c, const char *method,
                         const char *path, cv_slice_t body, cv_time_t timeout);
/* Give up a call whose time is over.  */
void cv_http_call_tick (cv_http_call_t *c, cv_time_t now);

/* "http://IP:PORT" or "IP:PORT"; IPv4 only.  */
bool cv_http_address (const char *url, struct sockaddr_in *out);

#ifdef __cplusplus
}
#endif

#endif
