/* Connections from callers, from the load balancer's health checks and from
   metrics collectors.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <linux/sockios.h>

#include "gateway/state.h"

#define BACKLOG 1024
/* Input buffered while a request is in progress.  */
#define INPUT_MAX_BYTES (16u * 1024)
/* While a caller has not read so much of earlier responses, its further
   requests are not handled.  */
#define PIPELINE_UNREAD_MAX_BYTES (64u * 1024)
/* Size asked for the kernel's buffers of a caller's connection.  Beyond these
   a caller that sends or reads nothing further takes memory of the account.  */
#define SOCKET_BUFFER_BYTES (64 * 1024)
/* Time for the caller to close after the last response.  Until then input is
   dropped, so that a TCP reset does not discard the response.  */
#define LINGER_TIMEOUT (1 * CV_SECOND)
/* A caller that reads nothing of its response for this time is
   disconnected.  */
#define WRITE_TIMEOUT (10 * CV_SECOND)
/* A connection that accepts no output is checked at this interval.  */
#define WRITE_CHECK_S 1
/* Limits until a configuration was read.  */
#define HEAD_BYTES_DEFAULT (16u * 1024)
#define BODY_BYTES_DEFAULT (4u * 1024 * 1024)
#define HEAD_TIMEOUT_DEFAULT_MS 3000
#define IDLE_TIMEOUT_DEFAULT_MS 15000
/* Idle connections are kept this much longer than the configured idle timeout,
   since a caller may send a request while the gateway closes.  */
#define IDLE_SLACK (250 * CV_MS)
/* While stopping, a connection idle for this time is closed.  The caller
   retries a request sent during the close, since the request was not read.  */
#define STOP_IDLE_TIMEOUT (500 * CV_MS)

static void on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                       struct sockaddr *address, int size, void *arg);
static void on_read (struct bufferevent *bev, void *arg);
static void on_write (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);
static bool handle_input (cv_client_t *c);

bool
cv_port_open (cv_gateway_t *g, cv_port_kind_t kind, const char *url,
              cv_error_t *err)
{
  cv_port_t *p = &g->ports[g->port_count];
  struct sockaddr_in address;
  int fd;

  if (!cv_http_parse_address (url, &address))
    return cv_fail (err, CV_ERR_INVALID, "%s: not an IPv4 address", url);
  p->gateway = g;
  p->kind = kind;
  p->listener = evconnlistener_new_bind (
      g->base, on_accept, p,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      BACKLOG, (struct sockaddr *)&address, sizeof address);
  if (p->listener == NULL)
    return cv_fail (err, CV_ERR_SYSTEM, "%s: cannot listen: %s", url,
                    strerror (errno));
  fd = evconnlistener_get_fd (p->listener);
  /* Accepted connections inherit both.  What is sent to callers is not limited:
     the kernel goes on with it after the end of this process.  */
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &(int){ SOCKET_BUFFER_BYTES },
                  sizeof (int))
          != 0
      || (kind != CV_PORT_CALLERS
          && setsockopt (fd, SOL_SOCKET, SO_SNDBUF,
                         &(int){ SOCKET_BUFFER_BYTES }, sizeof (int))
                 != 0))
    return cv_fail (err, CV_ERR_SYSTEM, "%s: setsockopt: %s", url,
                    strerror (errno));
  g->port_count++;
  return true;
}

void
cv_port_close (cv_port_t *p)
{
  if (p->listener != NULL)
    evconnlistener_free (p->listener);
  p->listener = NULL;
}

/* The limits in force.  */
static cv_caller_limits_t
limits_now (const cv_gateway_t *g)
{
  static const cv_caller_limits_t defaults
      = { .head_bytes = HEAD_BYTES_DEFAULT,
          .body_bytes = BODY_BYTES_DEFAULT,
          .head_timeout_ms = HEAD_TIMEOUT_DEFAULT_MS,
          .idle_timeout_ms = IDLE_TIMEOUT_DEFAULT_MS };

  return g->routing != NULL ? g->routing->limits : defaults;
}

/* The limits for C: those that its caller may know, or new ones if higher.  */
static cv_caller_limits_t
limits_of (const cv_client_t *c)
{
  cv_caller_limits_t now = limits_now (c->port->gateway);

  return cv_caller_limits_higher (&c->limits, &now);
}

/* C is idle from now on, until its next request.  */
static void
begin_idle (cv_client_t *c)
{
  c->state = CV_CLIENT_READING;
  c->since = cv_now ();
  c->limits = limits_now (c->port->gateway);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *arg)
{
  cv_port_t *p = arg;
  cv_gateway_t *g = p->gateway;
  cv_client_t *c;
  struct timeval write_check = { .tv_sec = WRITE_CHECK_S };

  (void)listener;
  (void)address;
  (void)size;
  cv_held_before_accept (p);
  c = cv_calloc (1, sizeof *c);
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
  c->port = p;
  begin_idle (c);
  cv_http_reader_init (&c->reader, HTTP_REQUEST, c->limits.head_bytes);
  c->bev = bufferevent_socket_new (
      g->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  CV_INVARIANT (c->bev != NULL);
  bufferevent_setcb (c->bev, on_read, on_write, on_event, c);
  bufferevent_setwatermark (c->bev, EV_READ, 0, INPUT_MAX_BYTES);
  (void)bufferevent_set_timeouts (c->bev, NULL, &write_check);
  (void)bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  TAILQ_INSERT_TAIL (&g->clients, c, entry);
  g->client_count++;
  p->client_count++;
  cv_held_update (c);
  cv_held_after_accept (p);
}

void
cv_port_end (cv_port_t *p)
{
  int fd;

  if (p->listener == NULL)
    return;
  while ((fd = accept4 (evconnlistener_get_fd (p->listener), NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    on_accept (p->listener, fd, NULL, 0, p);
  cv_port_close (p);
}

static void
drop_body (cv_client_t *c)
{
  if (c->body != NULL)
    cv_http_body_unref (c->body);
  c->body = NULL;
  c->body_bytes = 0;
}

static bool
has_unwritten_output (const cv_client_t *c)
{
  return evbuffer_get_length (bufferevent_get_output (c->bev)) > 0;
}

/* Whether the end of C's connection, also that by the end of this process, is a
   reset, which discards unsent output.  */
static void
set_reset_at_close (const cv_client_t *c, bool is_reset)
{
  struct linger option = { .l_onoff = is_reset, .l_linger = 0 };

  (void)setsockopt (bufferevent_getfd (c->bev), SOL_SOCKET, SO_LINGER, &option,
                    sizeof option);
}

static void
close_client (cv_client_t *c, cv_close_reason_t reason)
{
  cv_gateway_t *g = c->port->gateway;

  if (c->is_handling_input)
    {
      c->close_pending = true;
      c->close_reason = reason;
      return;
    }
  if (c->exchange != NULL)
    cv_exchange_abandon (c->exchange, reason);
  TAILQ_REMOVE (&g->clients, c, entry);
  g->client_count--;
  c->port->client_count--;
  cv_held_forget (c);
  bufferevent_free (c->bev);
  cv_http_reader_finish (&c->reader);
  drop_body (c);
  free (c);
}

void
cv_client_close (cv_client_t *c, cv_close_reason_t reason)
{
  /* The kernel has the whole response and goes on sending it.  */
  if (c->body_ends_at_close && c->state == CV_CLIENT_LINGERING
      && !has_unwritten_output (c))
    set_reset_at_close (c, false);
  close_client (c, reason);
}

void
cv_client_cut (cv_client_t *c, cv_close_reason_t reason)
{
  set_reset_at_close (c, true);
  close_client (c, reason);
}

bool
cv_client_has_left (const cv_client_t *c)
{
  char byte;
  ssize_t n = recv (bufferevent_getfd (c->bev), &byte, sizeof byte,
                    MSG_PEEK | MSG_DONTWAIT);

  return n == 0
         || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK
             && errno != EINTR);
}

cv_slice_t
cv_client_body (const cv_client_t *c)
{
  if (c->body == NULL)
    return (cv_slice_t){ NULL, 0 };
  return (cv_slice_t){ c->body->bytes.p, c->body->bytes.n };
}

size_t
cv_client_unread_bytes (const cv_client_t *c)
{
  return evbuffer_get_length (bufferevent_get_output (c->bev));
}

void
cv_client_send (cv_client_t *c, cv_slice_t head, cv_slice_t body)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);

  if (evbuffer_get_length (out) == 0)
    c->acknowledged_at = cv_now ();
  c->output_bytes += head.n + body.n;
  CV_INVARIANT (evbuffer_add (out, head.p, head.n) == 0);
  if (body.n > 0)
    CV_INVARIANT (evbuffer_add (out, body.p, body.n) == 0);
  cv_held_update (c);
}

/* Whether bytes have arrived that no callback has handled, as in a busy
   process.  */
static bool
has_unread_input (const cv_client_t *c)
{
  char byte;

  return evbuffer_get_length (bufferevent_get_input (c->bev)) > 0
         || recv (bufferevent_getfd (c->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
                > 0;
}

/* The decision is final once it was sent in a response head: a stop that begins
   later does not close the connection at once, so that the caller can send
   another request before STOP_IDLE_TIMEOUT.  A request that has arrived behind
   this one is answered as well.  */
bool
cv_client_decide_close (cv_client_t *c)
{
  c->close_after = c->close_after || !c->reader.head.keep_alive
                   || (c->port->gateway->stopping && !has_unread_input (c));
  /* Only a whole response may end as one does.  */
  if (c->body_ends_at_close)
    set_reset_at_close (c, true);
  return c->close_after;
}

/* The whole response was written; the time limits count from here.  The caller
   closes first, since some callers treat a close right after the response as a
   failure.  Only a body that ends with the connection, or a caller that is
   still sending, requires a shutdown now.  */
static void
on_response_written (cv_client_t *c)
{
  c->since = cv_now ();
  if (c->state != CV_CLIENT_LINGERING)
    return;
  if (c->body_ends_at_close)
    set_reset_at_close (c, false);
  if (c->request_incomplete || c->body_ends_at_close)
    (void)shutdown (bufferevent_getfd (c->bev), SHUT_WR);
}

/* Waits for the caller to close; input is read and dropped until then.  */
static void
linger (cv_client_t *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);

  c->state = CV_CLIENT_LINGERING;
  c->since = cv_now ();
  drop_body (c);
  (void)evbuffer_drain (in, evbuffer_get_length (in));
  if (!has_unwritten_output (c))
    on_response_written (c);
}

void
cv_client_response_done (cv_client_t *c, bool complete)
{
  c->exchange = NULL;
  if (!complete)
    {
      cv_client_close (c, CV_CLOSE_INCOMPLETE);
      return;
    }
  if (c->close_after)
    {
      linger (c);
      return;
    }
  begin_idle (c);
  cv_http_reader_reset (&c->reader);
  drop_body (c);
  if (!c->is_handling_input
      && evbuffer_get_length (bufferevent_get_input (c->bev)) > 0)
    (void)handle_input (c);
}

void
cv_client_end_incomplete (cv_client_t *c, unsigned status, const char *reason,
                          uint32_t retry_after_ms)
{
  c->close_after = true;
  c->request_incomplete = true;
  cv_response_send_own (c, status, reason, retry_after_ms);
  cv_client_response_done (c, true);
}

static void
refuse_incomplete (cv_client_t *c, unsigned status, const char *reason)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_BAD_INPUT);
  cv_line_number (&l, "status", status);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_end (&l);
  cv_client_end_incomplete (c, status, reason, 0);
}

static void
dispatch (cv_client_t *c)
{
  c->state = CV_CLIENT_WAITING;
  switch (c->port->kind)
    {
    case CV_PORT_CALLERS:
      cv_exchange_begin (c);
      return;
    case CV_PORT_READY:
      cv_response_send_readiness (c);
      return;
    case CV_PORT_METRICS:
      cv_response_send_metrics (c);
      return;
    }
}

static void
handle_head (cv_client_t *c)
{
  static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
  const cv_http_head_t *h = &c->reader.head;

  if (h->has_length && h->length > limits_of (c).body_bytes)
    {
      refuse_incomplete (c, 413, "body too large");
      return;
    }
  c->progress_at = cv_now ();
  if (cv_http_field (h, "Expect").p != NULL)
    cv_client_send (c, cv_slice (continue_response), (cv_slice_t){ NULL, 0 });
}

/* Requests to the other listeners have no use for a body.  */
static void
keep_body (cv_client_t *c)
{
  if (c->port->kind != CV_PORT_CALLERS)
    return;
  if (c->body == NULL)
    c->body = cv_http_body_new ();
  cv_buf_add (&c->body->bytes, c->reader.body.p, c->reader.body.n);
}

/* Handles one part of the input; false when reading has to pause.  */
static bool
handle_part (cv_client_t *c, cv_http_part_t part)
{
  switch (part)
    {
    case CV_HTTP_HEAD:
      handle_head (c);
      return c->state == CV_CLIENT_READING;
    case CV_HTTP_BODY:
      c->body_bytes += c->reader.body.n;
      if (c->body_bytes > limits_of (c).body_bytes)
        {
          refuse_incomplete (c, 413, "body too large");
          return false;
        }
      c->progress_at = cv_now ();
      keep_body (c);
      return true;
    case CV_HTTP_DONE:
      dispatch (c);
      return true;
    case CV_HTTP_HEAD_TOO_LARGE:
      refuse_incomplete (c, 431, "head too large");
      return false;
    case CV_HTTP_MALFORMED:
      refuse_incomplete (c, 400, "malformed request");
      return false;
    case CV_HTTP_NEED_INPUT:
      return true;
    }
  return false;
}

/* False when C was closed.  */
static bool
handle_input (cv_client_t *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);

  c->is_handling_input = true;
  while (c->state == CV_CLIENT_READING && !c->close_pending
         && evbuffer_get_length (in) > 0
         && cv_client_unread_bytes (c) <= PIPELINE_UNREAD_MAX_BYTES)
    {
      size_t n = evbuffer_get_contiguous_space (in);
      const char *data = (const char *)evbuffer_pullup (in, (ev_ssize_t)n);
      size_t used = 0;
      cv_http_part_t part;

      if (!c->reader.started)
        {
          c->since = cv_now ();
          c->reader.head_max = limits_of (c).head_bytes;
        }
      part = cv_http_reader_next (&c->reader, data, n, &used);
      if (part == CV_HTTP_BODY && !handle_part (c, part))
        break;
      (void)evbuffer_drain (in, used);
      if (part != CV_HTTP_BODY && !handle_part (c, part))
        break;
    }
  c->is_handling_input = false;
  if (!c->close_pending)
    {
      cv_held_update (c);
      return true;
    }
  cv_client_close (c, c->close_reason);
  return false;
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  cv_client_t *c = arg;
  struct evbuffer *in = bufferevent_get_input (bev);

  switch (c->state)
    {
    case CV_CLIENT_READING:
      (void)handle_input (c);
      return;
    case CV_CLIENT_WAITING:
      /* The next request stays in the buffer.  */
      cv_held_update (c);
      return;
    case CV_CLIENT_LINGERING:
      (void)evbuffer_drain (in, evbuffer_get_length (in));
      return;
    }
}

/* libevent may call this after more output was added since the write.  */
static void
on_write (struct bufferevent *bev, void *arg)
{
  cv_client_t *c = arg;
  bool is_idle = c->state == CV_CLIENT_READING && !c->reader.started;

  if ((is_idle || c->state == CV_CLIENT_LINGERING) && !has_unwritten_output (c))
    on_response_written (c);
  if (c->state == CV_CLIENT_READING && !has_unwritten_output (c)
      && evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    (void)handle_input (c);
}

/* Bytes of output that the caller's host has acknowledged.  */
static uint64_t
acknowledged_bytes (const cv_client_t *c)
{
  uint64_t unwritten = evbuffer_get_length (bufferevent_get_output (c->bev));
  int unacknowledged = 0;

  if (ioctl (bufferevent_getfd (c->bev), SIOCOUTQ, &unacknowledged) != 0)
    return c->acknowledged_bytes;
  return c->output_bytes - unwritten - (uint64_t)unacknowledged;
}

void
cv_client_note_reading (cv_client_t *c, cv_time_t now)
{
  uint64_t acknowledged = acknowledged_bytes (c);

  if (acknowledged <= c->acknowledged_bytes)
    return;
  c->acknowledged_bytes = acknowledged;
  c->acknowledged_at = now;
}

/* The connection accepted no output for WRITE_CHECK_S.  The kernel accepts more
   only when a large part of its buffer is free, which a slow reader may take
   longer for than the write timeout.  */
static void
check_reading (cv_client_t *c)
{
  cv_time_t now = cv_now ();

  cv_client_note_reading (c, now);
  if (now - c->acknowledged_at > WRITE_TIMEOUT)
    cv_client_close (c, CV_CLOSE_NOT_READ);
  else
    (void)bufferevent_enable (c->bev, EV_WRITE);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    cv_client_close (arg, CV_CLOSE_BY_CALLER);
  else if (what & BEV_EVENT_TIMEOUT)
    check_reading (arg);
}

/* Closes C when it is idle or slow beyond the limits.  The idle timeout also
   limits the time from the start of a request to the end of its body.  While a
   response is being written, only the write timeout applies.  */
static void
check_timeouts (cv_client_t *c, cv_time_t now)
{
  const cv_gateway_t *g = c->port->gateway;
  cv_caller_limits_t limits = limits_of (c);
  cv_time_t head = limits.head_timeout_ms * CV_MS;
  cv_time_t idle = limits.idle_timeout_ms * CV_MS;

  switch (c->state)
    {
    case CV_CLIENT_WAITING:
      return;
    case CV_CLIENT_LINGERING:
      if (now - c->since > LINGER_TIMEOUT && !has_unwritten_output (c))
        cv_client_close (c, CV_CLOSE_IDLE);
      return;
    case CV_CLIENT_READING:
      if (!c->reader.started)
        {
          if (now - c->since
                  > (g->stopping ? STOP_IDLE_TIMEOUT : idle + IDLE_SLACK)
              && !has_unwritten_output (c) && !has_unread_input (c))
            cv_client_close (c, CV_CLOSE_IDLE);
        }
      else if (!c->reader.head_done ? now - c->since > head
                                    : now - c->since > idle)
        refuse_incomplete (c, 408, "request took too long");
      return;
    }
}

void
cv_clients_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_client_t *c;
  cv_client_t *next;

  for (c = TAILQ_FIRST (&g->clients); c != NULL; c = next)
    {
      next = TAILQ_NEXT (c, entry);
      check_timeouts (c, now);
    }
}

static void
end_reading (cv_client_t *c)
{
  if (evbuffer_get_length (bufferevent_get_input (c->bev)) > 0
      && !handle_input (c))
    return;
  if (c->state != CV_CLIENT_READING)
    return;
  if (c->reader.started)
    refuse_incomplete (c, 503, "gateway stops");
  else
    (void)bufferevent_disable (c->bev, EV_READ);
}

void
cv_clients_end (cv_gateway_t *g)
{
  cv_client_t *c;
  cv_client_t *next;

  for (c = TAILQ_FIRST (&g->clients); c != NULL; c = next)
    {
      next = TAILQ_NEXT (c, entry);
      if (c->state == CV_CLIENT_READING)
        end_reading (c);
    }
}

bool
cv_clients_have_output (const cv_gateway_t *g)
{
  const cv_client_t *c;

  TAILQ_FOREACH (c, &g->clients, entry)
  if (has_unwritten_output (c))
    return true;
  return false;
}
