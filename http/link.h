/* An outgoing HTTP/1.1 connection (a link) on a libevent loop.  It carries one
   exchange at a time.  The owner's handler receives each part of the response
   as it arrives and, when the connection fails, whether the request may have
   been sent.  */

#ifndef CV_HTTP_LINK_H
#define CV_HTTP_LINK_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include "http/body.h"
#include "http/reader.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Why a connection failed before the response was complete.  */
typedef enum
{
  CV_LINK_NO_SOCKET = 1, /* none could be opened: nothing was sent */
  CV_LINK_NOT_CONNECTED, /* not established: nothing was sent */
  CV_LINK_RESET, /* reset or closed early; the request may have been run */
  CV_LINK_INVALID_RESPONSE /* invalid HTTP, or bytes that belong to no request
                            */
} cv_http_link_failure_t;

/* What told the end of a response.  */
typedef enum
{
  CV_BODY_END_TOLD = 1, /* its length, its last chunk, or it has no body */
  CV_BODY_END_CLOSE     /* only the orderly end of the connection */
} cv_body_end_t;

typedef enum
{
  CV_LINK_HEAD, /* link->reader.head has the head of the response */
  CV_LINK_BODY, /* bytes of the body */
  CV_LINK_DONE, /* the response is complete */
  CV_LINK_FAILED
} cv_http_link_event_kind_t;

typedef struct
{
  cv_http_link_event_kind_t kind;
  union
  {
    cv_slice_t body;                /* CV_LINK_BODY */
    cv_body_end_t end;              /* CV_LINK_DONE */
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
  uint32_t refs;          /* held by the owner and by the running callback */
  bool open;              /* the connection is established */
  bool busy;              /* an exchange is in progress */
  bool failed;            /* closed or no longer usable */
  bool at_eof;            /* the server has closed the connection in order */
  int error;              /* errno of a socket or connection that could not be
                             opened at once, or 0 */
  uint32_t exchanges;     /* requests sent so far */
  size_t shared_bytes;    /* of the exchange's body, in the output or sent */
  uint32_t informational; /* responses of the exchange so far */
  cv_time_t idle_since;   /* end of the last exchange */
  cv_time_t idle_limit;   /* assumed time after which the server closes an
                             idle connection */
};

/* Opens a socket and starts to connect.  The handler receives each failure,
   also one that is known now, from the event loop.  */
cv_http_link_t *cv_http_link_open (struct event_base *base,
                                   const struct sockaddr_in *address);
/* Whether a connection that ended by FAILURE may have carried the request.  */
bool cv_http_link_may_have_sent (cv_http_link_failure_t failure);
/* Queues the head and body of a request, which are sent once the connection is
   established.  HANDLER receives the events that follow.  */
void cv_http_link_send (cv_http_link_t *l, cv_slice_t head, cv_slice_t body,
                        cv_http_link_handler_t *handler, void *owner);
/* Queues BODY behind the head that was queued last, without a copy.  */
void cv_http_link_send_body (cv_http_link_t *l, cv_http_body_t *body);
/* Bytes that L holds itself: input, and output that is not a shared body.  */
size_t cv_http_link_held_bytes (const cv_http_link_t *l);
/* Stops reading from the connection, or reads on.  Its end is noticed only
   while it is read.  */
void cv_http_link_set_paused (cv_http_link_t *l, bool paused);
/* Waits for a further response to the same exchange; the response that just
   completed is ignored, because it answers an earlier request.  */
void cv_http_link_await_next (cv_http_link_t *l);
/* Whether the exchange is complete and the connection can carry another one. */
bool cv_http_link_is_reusable (const cv_http_link_t *l);
/* Closes the connection; the handler is not called again.  */
void cv_http_link_close (cv_http_link_t *l);
/* Drops a reference that was taken by incrementing REFS.  */
void cv_http_link_release (cv_http_link_t *l);
/* Marks the connection as idle.  HANDLER receives CV_LINK_FAILED when the
   server closes it or sends anything.  */
void cv_http_link_set_idle (cv_http_link_t *l, cv_http_link_handler_t *handler,
                            void *owner);

#ifdef __cplusplus
}
#endif

#endif
