/* Connections of callers, of the balancer and of whoever reads metrics.  */

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "gateway/state.h"

/* Connections that wait to be accepted.  */
#define BACKLOG 1024
/* Input that is kept while a request is under way.  */
#define INPUT_MAX (64u * 1024)
/* How long the caller has to close after a last answer; input is dropped
   meanwhile, so that a reset does not overtake the answer.  */
#define LINGER (1 * CV_SECOND)
/* A caller that takes nothing of its answer for so long is cut.  */
#define WRITE_TIMEOUT_S 10
/* Limits before a configuration is known.  */
#define HEAD_BYTES_PRESET (16u * 1024)
#define BODY_BYTES_PRESET (4u * 1024 * 1024)
#define HEAD_TIMEOUT_PRESET (3 * CV_SECOND)
#define IDLE_TIMEOUT_PRESET (15 * CV_SECOND)
/* Requests may have gone out when a connection is closed for being idle; so
   it is kept for longer than callers use it.  */
#define IDLE_SLACK (250 * CV_MS)
/* During a stop, a connection that is idle for so long is closed, at once: a
   request that crosses the end was then not read, and is sent again.  */
#define STOP_IDLE (500 * CV_MS)

static void on_accept (struct evconnlistener *listener, evutil_socket_t fd,
                       struct sockaddr *address, int size, void *arg);
static void on_read (struct bufferevent *bev, void *arg);
static void on_write (struct bufferevent *bev, void *arg);
static void on_event (struct bufferevent *bev, short what, void *arg);
static void handle_input (cv_client_t *c);

bool
cv_port_open (cv_gateway_t *g, cv_port_kind_t kind, const char *url,
              cv_error_t *err)
{
  cv_port_t *p = &g->ports[g->port_count];
  struct sockaddr_in address;

  if (!cv_http_address (url, &address))
    return cv_fail (err, CV_ERR_INVALID, "%s: no IPv4 address", url);
  p->gateway = g;
  p->kind = kind;
  p->listener = evconnlistener_new_bind (
      g->base, on_accept, p,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      BACKLOG, (struct sockaddr *)&address, sizeof address);
  if (p->listener == NULL)
    return cv_fail (err, CV_ERR_SYSTEM, "%s: cannot listen: %s", url,
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

static uint32_t
head_limit (const cv_gateway_t *g)
{
  return g->routing != NULL ? g->routing->limits.head_bytes : HEAD_BYTES_PRESET;
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int size, void *arg)
{
  cv_port_t *p = arg;
  cv_gateway_t *g = p->gateway;
  cv_client_t *c = cv_calloc (1, sizeof *c);
  struct timeval stall = { .tv_sec = WRITE_TIMEOUT_S };

  (void)listener;
  (void)address;
  (void)size;
  (void)setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &(int){ 1 }, sizeof (int));
  c->port = p;
  c->state = CV_CLIENT_READING;
  c->since = cv_now ();
  cv_http_reader_init (&c->reader, HTTP_REQUEST, head_limit (g));
  cv_buf_init (&c->body);
  c->bev = bufferevent_socket_new (
      g->base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  CV_INVARIANT (c->bev != NULL);
  bufferevent_setcb (c->bev, on_read, on_write, on_event, c);
  bufferevent_setwatermark (c->bev, EV_READ, 0, INPUT_MAX);
  (void)bufferevent_set_timeouts (c->bev, NULL, &stall);
  (void)bufferevent_enable (c->bev, EV_READ | EV_WRITE);
  TAILQ_INSERT_TAIL (&g->clients, c, entry);
  g->client_count++;
}

void
cv_client_close (cv_client_t *c)
{
  cv_gateway_t *g = c->port->gateway;

  if (c->is_handling_input)
    {
      c->close_pending = true;
      return;
    }
  if (c->exchange != NULL)
    cv_exchange_caller_left (c->exchange);
  TAILQ_REMOVE (&g->clients, c, entry);
  g->client_count--;
  bufferevent_free (c->bev);
  cv_http_reader_finish (&c->reader);
  cv_buf_finish (&c->body);
  free (c);
}

void
cv_client_send (cv_client_t *c, cv_slice_t head, cv_slice_t body)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);

  CV_INVARIANT (evbuffer_add (out, head.p, head.n) == 0);
  if (body.n > 0)
    CV_INVARIANT (evbuffer_add (out, body.p, body.n) == 0);
}

/* What a head has announced holds: a stop that begins later does not end the
   connection, on which the caller may send again.  */
bool
cv_client_decide_close (cv_client_t *c)
{
  c->close_after = c->close_after || c->port->gateway->stopping
                   || !c->reader.head.keep_alive;
  return c->close_after;
}

/* All output has left.  Whoever asked closes first, since some take an end
   right behind an answer for a failure.  Only an answer that ends with its
   connection, or a caller that is still sending, needs the end now.  */
static void
output_left (cv_client_t *c)
{
  if (c->request_incomplete || c->body_ends_at_close)
    (void)shutdown (bufferevent_getfd (c->bev), SHUT_WR);
}

/* Close once the output has left; input is read and dropped until then.  */
static void
linger (cv_client_t *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);

  c->state = CV_CLIENT_LINGERING;
  c->since = cv_now ();
  (void)evbuffer_drain (in, evbuffer_get_length (in));
  if (evbuffer_get_length (bufferevent_get_output (c->bev)) == 0)
    output_left (c);
}

void
cv_client_response_done (cv_client_t *c, bool whole)
{
  c->exchange = NULL;
  if (!whole)
    {
      /* Without its end the answer cannot pass for a whole one.  */
      cv_client_close (c);
      return;
    }
  if (c->close_after)
    {
      linger (c);
      return;
    }
  c->state = CV_CLIENT_READING;
  c->since = cv_now ();
  cv_http_reader_reset (&c->reader);
  cv_buf_reset (&c->body);
  if (!c->is_handling_input
      && evbuffer_get_length (bufferevent_get_input (c->bev)) > 0)
    handle_input (c);
}

/* An answer to a request that was not read whole ends the connection.  */
static void
reject_unread (cv_client_t *c, unsigned status, const char *reason)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_BAD_INPUT);
  cv_line_number (&l, "status", status);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_end (&l);
  c->close_after = true;
  c->request_incomplete = true;
  cv_response_send_own (c, status, reason, 0);
  cv_client_response_done (c, true);
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

static uint64_t
body_limit (const cv_gateway_t *g)
{
  return g->routing != NULL ? g->routing->limits.body_bytes : BODY_BYTES_PRESET;
}

static void
handle_head (cv_client_t *c)
{
  static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
  const cv_http_head_t *h = &c->reader.head;

  if (h->has_length && h->length > body_limit (c->port->gateway))
    {
      reject_unread (c, 413, "body too large");
      return;
    }
  if (cv_http_field (h, "Expect").p != NULL)
    cv_client_send (c, cv_slice (go_on), (cv_slice_t){ NULL, 0 });
}

/* Handle one part of the input; false when no more is to be read now.  */
static bool
handle_part (cv_client_t *c, cv_http_part_t part)
{
  switch (part)
    {
    case CV_HTTP_HEAD:
      handle_head (c);
      return c->state == CV_CLIENT_READING;
    case CV_HTTP_BODY:
      if (c->body.n + c->reader.body.n > body_limit (c->port->gateway))
        {
          reject_unread (c, 413, "body too large");
          return false;
        }
      cv_buf_add (&c->body, c->reader.body.p, c->reader.body.n);
      return true;
    case CV_HTTP_DONE:
      dispatch (c);
      return true;
    case CV_HTTP_LIMIT:
      reject_unread (c, 431, "head too large");
      return false;
    case CV_HTTP_BROKEN:
      reject_unread (c, 400, "malformed request");
      return false;
    case CV_HTTP_MORE:
      return true;
    }
  return false;
}

static void
handle_input (cv_client_t *c)
{
  struct evbuffer *in = bufferevent_get_input (c->bev);

  c->is_handling_input = true;
  while (c->state == CV_CLIENT_READING && !c->close_pending
         && evbuffer_get_length (in) > 0)
    {
      size_t n = evbuffer_get_contiguous_space (in);
      const char *data = (const char *)evbuffer_pullup (in, (ev_ssize_t)n);
      size_t used = 0;
      cv_http_part_t part;

      if (!c->reader.started)
        c->since = cv_now ();
      part = cv_http_reader_next (&c->reader, data, n, &used);
      if (part == CV_HTTP_BODY && !handle_part (c, part))
        break;
      (void)evbuffer_drain (in, used);
      if (part != CV_HTTP_BODY && !handle_part (c, part))
        break;
    }
  c->is_handling_input = false;
  if (c->close_pending)
    cv_client_close (c);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  cv_client_t *c = arg;
  struct evbuffer *in = bufferevent_get_input (bev);

  switch (c->state)
    {
    case CV_CLIENT_READING:
      handle_input (c);
      return;
    case CV_CLIENT_WAITING:
      /* The next request waits in the buffer.  */
      return;
    case CV_CLIENT_LINGERING:
      (void)evbuffer_drain (in, evbuffer_get_length (in));
      return;
    }
}

/* The library also calls this when output was added meanwhile.  */
static void
on_write (struct bufferevent *bev, void *arg)
{
  cv_client_t *c = arg;

  if (c->state == CV_CLIENT_LINGERING
      && evbuffer_get_length (bufferevent_get_output (bev)) == 0)
    output_left (c);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  (void)bev;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT))
    cv_client_close (arg);
}

/* Bytes have come that no callback has seen yet; a busy process reads them
   late.  */
static bool
has_input (const cv_client_t *c)
{
  char byte;

  return recv (bufferevent_getfd (c->bev), &byte, 1, MSG_PEEK | MSG_DONTWAIT)
         > 0;
}

/* Close C when it is idle or slow beyond the limits.  */
static void
check_times (cv_client_t *c, cv_time_t now)
{
  const cv_gateway_t *g = c->port->gateway;
  cv_time_t head = g->routing != NULL
                       ? g->routing->limits.head_timeout_ms * CV_MS
                       : HEAD_TIMEOUT_PRESET;
  cv_time_t idle = g->routing != NULL
                       ? g->routing->limits.idle_timeout_ms * CV_MS
                       : IDLE_TIMEOUT_PRESET;

  switch (c->state)
    {
    case CV_CLIENT_WAITING:
      return;
    case CV_CLIENT_LINGERING:
      if (now - c->since > LINGER)
        cv_client_close (c);
      return;
    case CV_CLIENT_READING:
      if (!c->reader.started)
        {
          if (now - c->since > (g->stopping ? STOP_IDLE : idle + IDLE_SLACK)
              && !has_input (c))
            cv_client_close (c);
        }
      else if (!c->reader.head_done ? now - c->since > head
                                    : now - c->since > idle)
        reject_unread (c, 408, "request took too long");
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
      check_times (c, now);
    }
}
