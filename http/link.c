/* An outgoing HTTP/1.1 connection on a libevent loop.  */

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "http/link.h"

/* Size limit of the head of a response; usual heads have a few hundred bytes.
 */
#define RESPONSE_HEAD_MAX_BYTES (64u * 1024)
/* A peer that acknowledges nothing for this time is treated as lost.  A
   platform may require that a broken connection is detected within 3 s; this is
   half of it.  */
#define TCP_USER_TIMEOUT_MS 1500
/* On an idle connection the first probe is sent after 1 s; TCP_USER_TIMEOUT_MS
   then ends the connection at about 2 s if the peer does not respond.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
/* Idle limit when the server sends no Keep-Alive timeout; common servers close
   idle connections after 5 s.  */
#define IDLE_LIMIT_DEFAULT (4 * CV_SECOND)

/* Most informational responses before the final one; servers send one or two.
 */
#define INFORMATIONAL_MAX 8

static void on_read (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);

static bool
set_socket_options (int fd)
{
  static const struct
  {
    int level;
    int name;
    int value;
  } options[] = { { IPPROTO_TCP, TCP_NODELAY, 1 },
                  { SOL_SOCKET, SO_KEEPALIVE, 1 },
                  { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
                  { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
                  { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
                  { IPPROTO_TCP, TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS } };

  for (size_t i = 0; i < sizeof options / sizeof options[0]; i++)
    if (setsockopt (fd, options[i].level, options[i].name, &options[i].value,
                    sizeof options[i].value)
        != 0)
      return false;
  return true;
}

/* Returns a socket, or -1 with errno.  */
static int
open_socket (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int error;

  if (fd < 0 || set_socket_options (fd))
    return fd;
  error = errno;
  (void)evutil_closesocket (fd);
  errno = error;
  return -1;
}

/* Reports the failure from the event loop, as if it came later: the owner may
   open the next connection in its handler, which must not recur.  */
static void
fail_later (cv_http_link_t *l, int error)
{
  l->error = error;
  (void)bufferevent_disable (l->bev, EV_READ | EV_WRITE);
  bufferevent_trigger_event (l->bev, BEV_EVENT_ERROR, BEV_TRIG_DEFER_CALLBACKS);
}

cv_http_link_t *
cv_http_link_open (struct event_base *base, const struct sockaddr_in *address)
{
  int fd = open_socket ();
  int error = errno;
  cv_http_link_t *l = cv_calloc (1, sizeof *l);

  l->refs = 1;
  l->idle_limit = IDLE_LIMIT_DEFAULT;
  cv_http_reader_init (&l->reader, HTTP_RESPONSE, RESPONSE_HEAD_MAX_BYTES);
  l->bev = bufferevent_socket_new (
      base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  CV_INVARIANT (l->bev != NULL);
  bufferevent_setcb (l->bev, on_read, NULL, on_event, l);
  if (fd < 0)
    {
      fail_later (l, error);
      return l;
    }
  (void)bufferevent_enable (l->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (l->bev, (const struct sockaddr *)address,
                                  sizeof *address)
      != 0)
    fail_later (l, errno);
  return l;
}

bool
cv_http_link_may_have_sent (cv_http_link_failure_t failure)
{
  switch (failure)
    {
    case CV_LINK_NO_SOCKET:
    case CV_LINK_NOT_CONNECTED:
      return false;
    case CV_LINK_RESET:
    case CV_LINK_INVALID_RESPONSE:
      return true;
    }
  return true;
}

void
cv_http_link_release (cv_http_link_t *l)
{
  if (--l->refs > 0)
    return;
  cv_http_reader_finish (&l->reader);
  free (l);
}

void
cv_http_link_close (cv_http_link_t *l)
{
  if (l->bev == NULL)
    return;
  bufferevent_free (l->bev);
  l->bev = NULL;
  l->handler = NULL;
  cv_http_link_release (l);
}

void
cv_http_link_send (cv_http_link_t *l, cv_slice_t head, cv_slice_t body,
                   cv_http_link_handler_t *handler, void *owner)
{
  struct evbuffer *out = bufferevent_get_output (l->bev);

  l->handler = handler;
  l->owner = owner;
  l->busy = true;
  l->informational = 0;
  l->shared_bytes = 0;
  l->exchanges++;
  cv_http_reader_reset (&l->reader);
  CV_INVARIANT (evbuffer_add (out, head.p, head.n) == 0);
  if (body.n > 0)
    CV_INVARIANT (evbuffer_add (out, body.p, body.n) == 0);
}

static void
on_body_sent (const void *data, size_t n, void *arg)
{
  (void)data;
  (void)n;
  cv_http_body_unref (arg);
}

void
cv_http_link_send_body (cv_http_link_t *l, cv_http_body_t *body)
{
  struct evbuffer *out = bufferevent_get_output (l->bev);

  if (body->bytes.n == 0)
    return;
  l->shared_bytes = body->bytes.n;
  CV_INVARIANT (evbuffer_add_reference (out, body->bytes.p, body->bytes.n,
                                        on_body_sent, cv_http_body_ref (body))
                == 0);
}

size_t
cv_http_link_held_bytes (const cv_http_link_t *l)
{
  size_t in;
  size_t out;

  if (l->bev == NULL)
    return 0;
  in = evbuffer_get_length (bufferevent_get_input (l->bev));
  out = evbuffer_get_length (bufferevent_get_output (l->bev));
  /* The head precedes the body.  */
  return in + (out > l->shared_bytes ? out - l->shared_bytes : 0);
}

void
cv_http_link_set_idle (cv_http_link_t *l, cv_http_link_handler_t *handler,
                       void *owner)
{
  l->handler = handler;
  l->owner = owner;
  l->busy = false;
  l->idle_since = cv_now ();
}

void
cv_http_link_set_paused (cv_http_link_t *l, bool paused)
{
  if (paused)
    (void)bufferevent_disable (l->bev, EV_READ);
  else
    (void)bufferevent_enable (l->bev, EV_READ);
}

/* Prepares for a further response to the same request.  */
static void
await_response (cv_http_link_t *l)
{
  bool no_body = l->reader.no_body;

  cv_http_reader_reset (&l->reader);
  l->reader.no_body = no_body;
}

void
cv_http_link_await_next (cv_http_link_t *l)
{
  l->busy = true;
  await_response (l);
}

/* The output buffer must be empty: the next request must not be queued behind a
   body that is still being sent after its response is complete.  */
bool
cv_http_link_is_reusable (const cv_http_link_t *l)
{
  return l->bev != NULL && l->open && !l->failed && l->reader.head.keep_alive
         && evbuffer_get_length (bufferevent_get_output (l->bev)) == 0
         && evbuffer_get_length (bufferevent_get_input (l->bev)) == 0;
}

static void
notify_owner (cv_http_link_t *l, const cv_http_link_event_t *event)
{
  if (l->handler != NULL)
    l->handler (l->owner, event);
}

/* Why the connection of L has ended before its response did.  */
static cv_http_link_failure_t
end_failure (const cv_http_link_t *l)
{
  if (l->open)
    return CV_LINK_RESET;
  return bufferevent_getfd (l->bev) < 0 ? CV_LINK_NO_SOCKET
                                        : CV_LINK_NOT_CONNECTED;
}

static void
fail_link (cv_http_link_t *l, cv_http_link_failure_t failure)
{
  cv_http_link_event_t event = { .kind = CV_LINK_FAILED, .u.failure = failure };

  l->busy = false;
  l->failed = true;
  notify_owner (l, &event);
}

/* Reads the idle timeout, in seconds, from the Keep-Alive field of the
   response.  */
static void
read_idle_limit (cv_http_link_t *l)
{
  cv_slice_t value = cv_http_field (&l->reader.head, "Keep-Alive");
  const char *at;
  char text[64];

  if (value.p == NULL || !cv_copy_slice (text, sizeof text, value))
    return;
  at = strstr (text, "timeout=");
  if (at != NULL)
    l->idle_limit = strtol (at + strlen ("timeout="), NULL, 10) * CV_SECOND;
}

static void
handle_part (cv_http_link_t *l, cv_http_part_t part)
{
  cv_http_link_event_t event = { .kind = CV_LINK_HEAD };

  switch (part)
    {
    case CV_HTTP_HEAD:
      /* Informational responses, such as 100 (Continue), precede the final
         one.  */
      if (l->reader.head.status < 200)
        return;
      read_idle_limit (l);
      notify_owner (l, &event);
      return;
    case CV_HTTP_BODY:
      event.kind = CV_LINK_BODY;
      event.u.body = l->reader.body;
      notify_owner (l, &event);
      return;
    case CV_HTTP_DONE:
      if (l->reader.head.status < 200)
        {
          if (++l->informational > INFORMATIONAL_MAX)
            fail_link (l, CV_LINK_INVALID_RESPONSE);
          else
            await_response (l);
          return;
        }
      l->busy = false;
      event.kind = CV_LINK_DONE;
      event.u.end = l->at_eof ? CV_BODY_END_CLOSE : CV_BODY_END_TOLD;
      notify_owner (l, &event);
      return;
    case CV_HTTP_HEAD_TOO_LARGE:
    case CV_HTTP_MALFORMED:
      fail_link (l, CV_LINK_INVALID_RESPONSE);
      return;
    case CV_HTTP_NEED_INPUT:
      return;
    }
}

/* The caller holds a reference, because the owner may close the connection.  */
static void
read_input (cv_http_link_t *l)
{
  struct evbuffer *in = bufferevent_get_input (l->bev);
  cv_http_part_t part;

  while (l->bev != NULL && evbuffer_get_length (in) > 0)
    {
      size_t n = evbuffer_get_contiguous_space (in);
      const char *data = (const char *)evbuffer_pullup (in, (ev_ssize_t)n);
      size_t used = 0;

      /* Bytes on an idle connection belong to no request.  */
      if (!l->busy)
        {
          fail_link (l, CV_LINK_INVALID_RESPONSE);
          break;
        }
      part = cv_http_reader_next (&l->reader, data, n, &used);
      /* The bytes of the response are drained before the owner is notified, so
         that cv_http_link_is_reusable sees only surplus bytes.  Body bytes are
         drained afterwards, because the event refers to them.  */
      if (part == CV_HTTP_BODY)
        handle_part (l, part);
      if (l->bev == NULL)
        break;
      (void)evbuffer_drain (in, used);
      if (part != CV_HTTP_BODY)
        handle_part (l, part);
      if (l->failed)
        break;
    }
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  cv_http_link_t *l = arg;

  (void)bev;
  l->refs++;
  read_input (l);
  cv_http_link_release (l);
}

/* Whether a connection that ended with the flags WHAT was closed in order.  A
   socket reports an error once: if the write takes it, the read that follows
   finds an end of file after a reset too.  With EPIPE the peer had closed
   before the reset.  */
static bool
is_orderly_end (short what, int error)
{
  return (what & BEV_EVENT_EOF)
         && (!(what & BEV_EVENT_ERROR) || error == EPIPE);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  cv_http_link_t *l = arg;
  int error = EVUTIL_SOCKET_ERROR ();

  if (what & BEV_EVENT_CONNECTED)
    {
      l->open = true;
      return;
    }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  l->refs++;
  if (evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    read_input (l);
  if (l->bev != NULL && l->open && l->busy && is_orderly_end (what, error)
      && cv_http_reader_eof (&l->reader))
    {
      l->at_eof = true;
      handle_part (l, CV_HTTP_DONE);
      /* It was the answer to an earlier request, and no further one follows. */
      if (l->bev != NULL && l->busy)
        fail_link (l, CV_LINK_RESET);
    }
  else if (l->bev != NULL)
    fail_link (l, end_failure (l));
  cv_http_link_release (l);
}
