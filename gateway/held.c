/* The account of what the gateway holds for callers: bytes of requests and
   unread answers, and connections.  policy/caller_memory.c decides who is shed
   when it is short.  */

#include <malloc.h>
#include <stdlib.h>
#include <sys/socket.h>

#include <event2/buffer.h>

#include "gateway/state.h"

/* Structures of one connection and its request.  */
#define CONNECTION_BYTES 4096u
/* Blocks from this size on go back to the kernel when they are freed, whatever
   was allocated since.  */
#define MAPPED_BLOCK_BYTES (128 * 1024)
/* The heap is trimmed at most once in this time while callers are shed.  */
#define TRIM_PERIOD CV_SECOND
/* Shedding after this time without any is another episode.  */
#define EPISODE_PAUSE (10 * CV_SECOND)
/* Retry-After of a request that was shed before it was complete: half of this
   to one and a half, so that its callers do not return at one time.  */
#define RETRY_MS 1000
/* Descriptors kept for targets, the store and files.  */
#define DESCRIPTORS_RESERVED 200
/* Memory assumed for each accepted connection when their number is limited.  A
   connection with a large body needs more.  */
#define CLIENT_MEMORY_KB 96
/* Connections to the ready and the metrics listener: as many as load balancers
   and collectors have, or fewer with few descriptors.  */
#define SIDE_CLIENTS 16u
#define SIDE_CLIENTS_DIVISOR 4
/* When there are too many connections, this part of them may be shed at one
   time.  */
#define GIVE_WAY_DIVISOR 8

static const char shed_reason[] = "memory for callers is short";

static void relieve (evutil_socket_t fd, short what, void *arg);

void
cv_held_init (cv_gateway_t *g)
{
  /* Also keeps the allocator from raising this bound by itself.  */
  (void)mallopt (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES);
  g->held.relief = event_new (g->base, -1, 0, relieve, g);
  CV_INVARIANT (g->held.relief != NULL);
}

void
cv_held_finish (cv_gateway_t *g)
{
  if (g->held.relief != NULL)
    event_free (g->held.relief);
  g->held.relief = NULL;
}

cv_caller_memory_t
cv_held_limits (const cv_gateway_t *g)
{
  return cv_caller_memory_limits (g->settings.memory_mb);
}

/* ---- the account ---- */

static uint64_t
held_bytes (const cv_client_t *c)
{
  const cv_exchange_t *x = c->exchange;
  uint64_t n = CONNECTION_BYTES + c->reader.head.text.cap
               + evbuffer_get_length (bufferevent_get_input (c->bev))
               + cv_client_unread_bytes (c) + cv_client_body (c).n;

  if (x != NULL)
    {
      n += x->response_body.cap + x->events.partial.cap;
      if (x->link != NULL)
        n += cv_http_link_held_bytes (x->link);
    }
  return n;
}

static void
set_held (cv_client_t *c, uint64_t bytes, uint64_t unread)
{
  cv_held_t *h = &c->port->gateway->held;
  bool was_large = c->held_bytes > CV_CALLER_SMALL_BYTES;
  bool is_large = bytes > CV_CALLER_SMALL_BYTES;

  h->sum.all += bytes - c->held_bytes;
  h->sum.large += (is_large ? bytes : 0) - (was_large ? c->held_bytes : 0);
  h->large_callers = h->large_callers + is_large - was_large;
  h->unread += unread - c->unread_bytes;
  c->held_bytes = bytes;
  c->unread_bytes = unread;
}

void
cv_held_forget (cv_client_t *c)
{
  set_held (c, 0, 0);
}

static bool
is_short (const cv_gateway_t *g)
{
  cv_caller_memory_t limits = cv_held_limits (g);

  return cv_caller_memory_is_short (&g->held.sum, g->held.large_callers,
                                    &limits);
}

void
cv_held_update (cv_client_t *c)
{
  cv_gateway_t *g = c->port->gateway;

  set_held (c, held_bytes (c), cv_client_unread_bytes (c));
  /* Not here: the caller of this function may use C or another connection.  */
  if (is_short (g))
    event_active (g->held.relief, EV_TIMEOUT, 1);
}

static void
update_all (cv_gateway_t *g, cv_time_t now)
{
  cv_client_t *c;

  for (c = TAILQ_FIRST (&g->clients); c != NULL; c = TAILQ_NEXT (c, entry))
    {
      if (cv_client_unread_bytes (c) > 0)
        cv_client_note_reading (c, now);
      set_held (c, held_bytes (c), cv_client_unread_bytes (c));
    }
}

/* ---- shedding ---- */

static cv_caller_hold_t
hold_of (const cv_client_t *c, cv_time_t now)
{
  cv_caller_hold_t h = { .stage = CV_HELD_FOR_PLACE,
                         .bytes = c->held_bytes,
                         .since = c->since,
                         .progress_at = now };

  if (c->unread_bytes > 0
      && (c->state != CV_CLIENT_WAITING
          || c->unread_bytes > CV_CALLER_SMALL_BYTES))
    {
      h.stage = CV_HELD_FOR_CALLER;
      h.progress_at = c->acknowledged_at;
      return h;
    }
  switch (c->state)
    {
    case CV_CLIENT_WAITING:
      if (c->exchange != NULL && c->exchange->target != NULL)
        h.stage = CV_HELD_AT_TARGET;
      return h;
    case CV_CLIENT_LINGERING:
      h.stage = CV_HELD_FOR_CALLER;
      h.progress_at = c->since;
      return h;
    case CV_CLIENT_READING:
      /* An idle connection on which an answer was sent is its caller's to
         close.  */
      if (!c->reader.started && c->output_bytes > 0)
        {
          h.since = now;
          return h;
        }
      h.stage = CV_HELD_FOR_CALLER;
      /* Bytes of a head are no progress, as a head usually comes whole.  */
      h.progress_at = c->reader.head_done ? c->progress_at : c->since;
      return h;
    }
  return h;
}

/* Refuses the request of C as far as that is true, or closes C, which cannot
   get an answer.  */
static void
shed (cv_client_t *c, cv_time_t now)
{
  cv_gateway_t *g = c->port->gateway;
  cv_exchange_t *x = c->exchange;
  cv_caller_hold_t h = hold_of (c, now);
  uint32_t retry_ms = (uint32_t)(RETRY_MS * (0.5 + cv_rng_uniform (&g->rng)));

  g->counts.shed++;
  if (c->unread_bytes > 0 || c->state == CV_CLIENT_LINGERING
      || (c->state == CV_CLIENT_WAITING && (x == NULL || x->head_sent)))
    cv_client_cut (c, CV_CLOSE_MEMORY);
  else if (c->state == CV_CLIENT_READING)
    {
      if (!c->reader.started)
        cv_client_close (c, CV_CLOSE_IDLE);
      else if (cv_caller_is_stalled (&h, now))
        cv_client_end_incomplete (c, 408, "request took too long", 0);
      else
        cv_client_end_incomplete (c, 503, shed_reason, retry_ms);
    }
  else if (x->target != NULL)
    {
      x->may_have_run = true;
      cv_attempt_stop (x);
      cv_exchange_fail (x, shed_reason, false);
    }
  else
    cv_exchange_give_up (x, shed_reason, cv_choose_retry_after (x, retry_ms));
}

static void
log_short (cv_gateway_t *g, cv_time_t now)
{
  cv_caller_memory_t limits = cv_held_limits (g);
  bool is_same_episode
      = g->held.shed_at > 0 && now - g->held.shed_at < EPISODE_PAUSE;
  cv_line_t l;

  g->held.shed_at = now;
  if (is_same_episode)
    return;
  cv_line_begin (&l, CV_EV_GATEWAY_CALLERS_SHED);
  cv_line_number (&l, "callers", g->client_count);
  cv_line_number (&l, "large_callers", (int64_t)g->held.large_callers);
  cv_line_number (&l, "bytes", (int64_t)g->held.sum.all);
  cv_line_number (&l, "bytes_max", (int64_t)limits.all);
  cv_line_number (&l, "large_bytes", (int64_t)g->held.sum.large);
  cv_line_number (&l, "large_bytes_max", (int64_t)limits.large);
  cv_line_end (&l);
}

/* Sets HOLDS to those of all connections of P, or of all ports for NULL, and
   CLIENTS to these connections; returns their number.  */
static size_t
list_holds (const cv_gateway_t *g, const cv_port_t *p, cv_time_t now,
            cv_caller_hold_t *holds, cv_client_t **clients)
{
  cv_client_t *c;
  size_t n = 0;

  TAILQ_FOREACH (c, &g->clients, entry)
  if (p == NULL || c->port == p)
    {
      holds[n] = hold_of (c, now);
      clients[n++] = c;
    }
  return n;
}

static void
relieve (evutil_socket_t fd, short what, void *arg)
{
  cv_gateway_t *g = arg;
  cv_caller_memory_t limits = cv_held_limits (g);
  cv_time_t now = cv_now ();
  cv_caller_hold_t *holds;
  cv_client_t **clients;
  size_t *chosen;
  size_t n;

  (void)fd;
  (void)what;
  update_all (g, now);
  if (!is_short (g))
    return;
  log_short (g, now);
  holds = cv_calloc (g->client_count, sizeof *holds);
  clients = cv_calloc (g->client_count, sizeof (cv_client_t *));
  chosen = cv_calloc (g->client_count, sizeof *chosen);
  n = list_holds (g, NULL, now, holds, clients);
  n = cv_caller_memory_shed (holds, n, &limits, now, chosen);
  /* Shedding one connection frees no other one.  */
  for (size_t i = 0; i < n; i++)
    shed (clients[chosen[i]], now);
  free (holds);
  free (clients);
  free (chosen);
}

/* Whether a request waits for a target of the service of X.  */
static bool
has_waiting (const cv_exchange_t *x)
{
  const cv_exchange_t *other;

  TAILQ_FOREACH (other, &x->gateway->waiting, waiting)
  if (other->service_state == x->service_state)
    return true;
  return false;
}

/* Closes callers that read nothing of their answers, which their targets
   therefore cannot end, while other requests wait for a target.  */
static void
free_targets (cv_gateway_t *g, cv_time_t now)
{
  cv_client_t *c;
  cv_client_t *next;

  for (c = TAILQ_FIRST (&g->clients); c != NULL; c = next)
    {
      const cv_exchange_t *x = c->exchange;
      cv_caller_hold_t h = hold_of (c, now);

      next = TAILQ_NEXT (c, entry);
      if (x == NULL || !x->is_paused || !cv_caller_is_stalled (&h, now)
          || !has_waiting (x))
        continue;
      log_short (g, now);
      shed (c, now);
    }
}

/* ---- connections ---- */

/* Most connections of callers.  They get half of the memory, and half of the
   descriptors beyond the reserved ones, or half of all if there are few.  */
static uint32_t
caller_limit (const cv_gateway_t *g)
{
  uint32_t by_memory = g->settings.memory_mb * 1024 / CLIENT_MEMORY_KB / 2;
  uint32_t by_fds = g->settings.descriptors > 2 * DESCRIPTORS_RESERVED
                        ? (g->settings.descriptors - DESCRIPTORS_RESERVED) / 2
                        : g->settings.descriptors / 2;

  return by_memory < by_fds ? by_memory : by_fds;
}

static uint32_t
side_limit (const cv_gateway_t *g)
{
  uint32_t part = caller_limit (g) / SIDE_CLIENTS_DIVISOR;

  return part < SIDE_CLIENTS ? part : SIDE_CLIENTS;
}

/* Closes C for a new connection, after as much of a refusal as its connection
   takes at once.  */
static void
give_way (cv_client_t *c)
{
  struct evbuffer *out = bufferevent_get_output (c->bev);
  const void *refusal;

  c->port->gateway->counts.connections_shed++;
  if (c->state == CV_CLIENT_READING && c->reader.started
      && c->unread_bytes == 0)
    {
      cv_client_end_incomplete (c, 408, "request took too long", 0);
      refusal = evbuffer_pullup (out, -1);
      if (refusal != NULL)
        (void)send (bufferevent_getfd (c->bev), refusal,
                    evbuffer_get_length (out), MSG_DONTWAIT | MSG_NOSIGNAL);
    }
  cv_client_close (c, CV_CLOSE_IDLE);
}

/* Closes stalled connections of callers while there are too many.  */
static void
free_connections (cv_gateway_t *g, cv_time_t now)
{
  uint32_t limit = caller_limit (g);
  cv_port_t *p = &g->ports[0];
  cv_caller_hold_t *holds = cv_calloc (p->client_count, sizeof *holds);
  cv_client_t **clients = cv_calloc (p->client_count, sizeof (cv_client_t *));
  size_t n = list_holds (g, p, now, holds, clients);

  for (uint32_t k = 0; k < limit / GIVE_WAY_DIVISOR + 1; k++)
    {
      size_t i = cv_caller_memory_give_way (holds, n, now);

      if (i == n)
        break;
      give_way (clients[i]);
      n--;
      holds[i] = holds[n];
      clients[i] = clients[n];
    }
  free (holds);
  free (clients);
}

/* Beyond the limit, new connections wait in the kernel's listen queue.  */
static void
limit_callers (cv_gateway_t *g)
{
  bool has_room = g->ports[0].client_count < caller_limit (g);
  cv_line_t l;

  if (g->is_ending || has_room == g->accepting)
    return;
  g->accepting = has_room;
  if (has_room)
    {
      (void)evconnlistener_enable (g->ports[0].listener);
      return;
    }
  (void)evconnlistener_disable (g->ports[0].listener);
  cv_line_begin (&l, CV_EV_GATEWAY_CONNECTIONS_FULL);
  cv_line_number (&l, "callers", g->client_count);
  cv_line_end (&l);
}

void
cv_held_before_accept (cv_port_t *p)
{
  cv_client_t *c;
  cv_client_t *oldest = NULL;

  if (p->kind == CV_PORT_CALLERS || p->client_count < side_limit (p->gateway))
    return;
  /* A check of the load balancer takes a moment only.  */
  TAILQ_FOREACH (c, &p->gateway->clients, entry)
  if (c->port == p && (oldest == NULL || c->since < oldest->since))
    oldest = c;
  if (oldest != NULL)
    give_way (oldest);
}

void
cv_held_after_accept (cv_port_t *p)
{
  if (p->kind == CV_PORT_CALLERS)
    limit_callers (p->gateway);
}

void
cv_held_tick (cv_gateway_t *g, cv_time_t now)
{
  update_all (g, now);
  if (is_short (g))
    relieve (-1, 0, g);
  free_targets (g, now);
  if (!g->accepting && !g->is_ending)
    free_connections (g, now);
  limit_callers (g);
  if (g->held.shed_at > g->held.trimmed_at
      && now - g->held.trimmed_at > TRIM_PERIOD)
    {
      g->held.trimmed_at = now;
      (void)malloc_trim (0);
    }
}
