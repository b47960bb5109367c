/* An outgoing HTTP/1.1 connection that carries one exchange at a time, on a
   libevent loop.  Its owner learns of each part of the answer as it comes,
   and, when the connection fails, whether the request can have left.  */

#ifndef CV_HTTP_LINK_H
#define CV_HTTP_LINK_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include "http/reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How a connection ended before its answer was complete.  */
typedef enum
{
  CV_LINK_REFUSED = 1, /* no connection came about: nothing was sent */
  CV_LINK_RESET,       /* reset or closed early; the request may have run */
  CV_LINK_GARBLED      /* what came is no HTTP answer */
} cv_http_link_failure_t;

typedef enum
{
  CV_LINK_HEAD, /* link->reader.head is the answer's head */
  CV_LINK_BODY, /* bytes of the body */
  CV_LINK_DONE, /* the answer is complete */
  CV_LINK_FAILED
} cv_http_link_event_kind_t;

typedef struct
{
  cv_http_link_event_kind_t kind;
  union
  {
    cv_slice_t body;                /* CV_LINK_BODY */
    cv_http_link_failure_t failure; /* CV_LINK_FAILED */
  } u;
} cv_http_link_event_t;

typedef struct cv_http_link_t cv_http_link_t;

/* The handler may close the link.  */
typedef void cv_http_link_handler_t (void *owner,
                                     const cv_http_link_event_t *event);

struct cv_http_link_t
{
  TAILQ_ENTRY (cv_http_link_t) entry; /* in the owner's list of idle links */
  struct bufferevent *bev;
  cv_http_reader_t reader;
  cv_http_link_handler_t *handler;
  void *owner;
  uint32_t refs;        /* the user and the callback that runs */
  bool open;            /* the connection is established */
  bool busy;            /* an exchange is under way */
  bool failed;          /* it ended or cannot be used any more */
  cv_time_t idle_since; /* end of the last exchange */
  cv_time_t idle_limit; /* how long the server keeps an idle connection */
};

/* Start to connect; NULL with ERR when no socket is to be had.  */
cv_http_link_t *cv_http_link_open (struct event_base *base,
                                   const struct sockaddr_in *address,
                                   cv_error_t *err);
/* Send the head and then the body of a request; OWNER's HANDLER gets what
   follows.  The bytes leave once the connection stands.  */
void cv_http_link_send (cv_http_link_t *l, cv_slice_t head, cv_slice_t body,
                        cv_http_link_handler_t *handler, void *owner);
/* The answer that came belongs to another request: wait for the next.  */
void cv_http_link_await (cv_http_link_t *l);
/* The last exchange is over and another may follow on this connection.  */
bool cv_http_link_reusable (const cv_http_link_t *l);
/* Take no events any more, and close.  */
void cv_http_link_close (cv_http_link_t *l);
/* Give back a reference that was taken by REFS.  */
void cv_http_link_release (cv_http_link_t *l);
/* Idle: watch for its end only; HANDLER is told by CV_LINK_FAILED.  */
void cv_http_link_rest (cv_http_link_t *l, cv_http_link_handler_t *handler,
                        void *owner);

#ifdef __cplusplus
}
#endif

#endif
