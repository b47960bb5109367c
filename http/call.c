/* HTTP client for one server address.  */

#include <arpa/inet.h>
#include <string.h>

#include "http/call.h"

#define SCHEME "http://"
/* Longest time for which bytes of a response put off the deadline of its
   call.  */
#define PROGRESS_MAX (10 * CV_SECOND)

static void on_link_event (void *owner, const cv_http_link_event_t *event);
static void on_idle_event (void *owner, const cv_http_link_event_t *event);

bool
cv_http_parse_address (const char *url, struct sockaddr_in *out)
{
  int size = sizeof *out;

  memset (out, 0, sizeof *out);
  if (strncmp (url, SCHEME, strlen (SCHEME)) == 0)
    url += strlen (SCHEME);
  return evutil_parse_sockaddr_port (url, (struct sockaddr *)out, &size) == 0
         && out->sin_family == AF_INET && out->sin_port != 0;
}

void
cv_http_call_init (cv_http_call_t *c, struct event_base *base,
                   const struct sockaddr_in *address, size_t body_max,
                   cv_http_call_handler_t *handler, void *owner)
{
  memset (c, 0, sizeof *c);
  c->body_max = body_max;
  c->base = base;
  c->address = *address;
  c->handler = handler;
  c->owner = owner;
  cv_buf_init (&c->body);
}

static void
close_link (cv_http_call_t *c)
{
  if (c->link != NULL)
    cv_http_link_close (c->link);
  c->link = NULL;
}

void
cv_http_call_cancel (cv_http_call_t *c)
{
  close_link (c);
  c->busy = false;
}

void
cv_http_call_finish (cv_http_call_t *c)
{
  cv_http_call_cancel (c);
  cv_buf_finish (&c->body);
}

static void
end_failed (cv_http_call_t *c, const cv_http_result_t *r)
{
  close_link (c);
  c->busy = false;
  c->handler (c->owner, r);
}

static void
fail_call (cv_http_call_t *c, const char *failure, bool is_not_sent)
{
  end_failed (
      c, &(cv_http_result_t){ .failure = failure, .is_not_sent = is_not_sent });
}

static void
put_off_deadline (cv_http_call_t *c)
{
  cv_time_t deadline = cv_now () + c->progress_timeout;

  if (c->progress_timeout == 0)
    return;
  if (deadline > c->last_deadline)
    deadline = c->last_deadline;
  if (deadline > c->deadline)
    c->deadline = deadline;
}

/* A faulty server may send a body without end.  */
static void
add_body (cv_http_call_t *c, cv_slice_t data)
{
  if (data.n <= c->body_max - c->body.n)
    {
      cv_buf_add (&c->body, data.p, data.n);
      return;
    }
  cv_buf_finish (&c->body);
  cv_buf_init (&c->body);
  end_failed (c, &(cv_http_result_t){ .failure = "response body is too long",
                                      .is_too_long = true });
}

void
cv_http_call_start (cv_http_call_t *c, const char *method, const char *path,
                    cv_slice_t body, cv_time_t timeout)
{
  char ip[INET_ADDRSTRLEN];
  cv_buf_t head;

  CV_INVARIANT (!c->busy);
  c->busy = true;
  c->calls++;
  c->deadline = cv_now () + timeout;
  c->last_deadline = c->deadline + PROGRESS_MAX;
  c->progress_timeout = 0;
  cv_buf_reset (&c->body);
  if (c->link == NULL)
    c->link = cv_http_link_open (c->base, &c->address);
  CV_INVARIANT (inet_ntop (AF_INET, &c->address.sin_addr, ip, sizeof ip)
                != NULL);
  cv_buf_init (&head);
  cv_buf_printf (&head, "%s %s HTTP/1.1\r\nHost: %s:%u\r\n", method, path, ip,
                 ntohs (c->address.sin_port));
  if (body.n > 0)
    cv_buf_printf (&head,
                   "Content-Type: application/json\r\n"
                   "Content-Length: %zu\r\n",
                   body.n);
  cv_buf_add (&head, "\r\n", 2);
  cv_http_link_send (c->link, (cv_slice_t){ head.p, head.n }, body,
                     on_link_event, c);
  cv_buf_finish (&head);
}

static void
on_response_complete (cv_http_call_t *c)
{
  cv_http_link_t *l = c->link;
  cv_http_result_t r = { .status = l->reader.head.status,
                         .body = { c->body.p, c->body.n },
                         .head = &l->reader.head };

  c->busy = false;
  /* The reference keeps the head valid until the handler returns.  */
  l->refs++;
  if (cv_http_link_is_reusable (l))
    cv_http_link_set_idle (l, on_idle_event, c);
  else
    close_link (c);
  c->handler (c->owner, &r);
  cv_http_link_release (l);
}

static void
on_link_event (void *owner, const cv_http_link_event_t *event)
{
  cv_http_call_t *c = owner;

  switch (event->kind)
    {
    case CV_LINK_HEAD:
      put_off_deadline (c);
      return;
    case CV_LINK_BODY:
      put_off_deadline (c);
      add_body (c, event->u.body);
      return;
    case CV_LINK_DONE:
      on_response_complete (c);
      return;
    case CV_LINK_FAILED:
      fail_call (c, "connection closed before the response was complete",
                 !cv_http_link_may_have_sent (event->u.failure));
      return;
    }
}

static void
on_idle_event (void *owner, const cv_http_link_event_t *event)
{
  (void)event;
  close_link (owner);
}

void
cv_http_call_tick (cv_http_call_t *c, cv_time_t now)
{
  if (c->busy && now >= c->deadline)
    fail_call (c, "no complete response before the deadline", !c->link->open);
}
