/* Streams that their callers take up.  The gateway that gets the try finds out
   which software version began the stream: from its own records, or from the
   other gateways, which it asks.  */

#include <string.h>

#include "gateway/state.h"
#include "wire/datagram.h"

/* Gateways reply in about 2 ms; a datagram may be lost.  */
#define REPLY_TIMEOUT (60 * CV_MS)
/* Each record is sent to this many observers, so that it outlives all gateways,
   and while several versions serve to this many gateways, so that it outlives
   the one that began the stream.  */
#define COPIES 3
/* Until this time from its start on a gateway asks again, as it may not have
   heard of all observers; load reports come every 0.4 s.  */
#define FIRST_REPORTS (700 * CV_MS)
/* A gateway whose list of instances is older may not know all versions.  */
#define LIST_MAX_AGE (4 * CV_SECOND)
/* Longest wait for a newer list, which a slow store sends within 0.3 s.  */
#define LIST_TIMEOUT CV_SECOND

static const char not_certain[]
    = "version that began the stream is not certain";

static void
send_step (const cv_gateway_t *g, cv_msg_origin_t *m,
           const struct sockaddr_in *to)
{
  cv_msg_t msg = { .type = CV_MSG_ORIGIN };

  msg.u.origin = *m;
  cv_datagram_send (g->loads_fd, to, &msg);
}

/* ---- records ---- */

void
cv_resume_keep (const cv_gateway_t *g, uint64_t key, uint64_t version,
                const char *service)
{
  cv_msg_origin_t m
      = { .step = CV_ORIGIN_RECORDED, .key = key, .version = version };
  uint64_t limit = UINT64_MAX;
  cv_time_t now = cv_now ();

  (void)cv_copy (m.service, sizeof m.service, service);
  for (uint32_t copy = 0; copy < COPIES; copy++)
    {
      const struct sockaddr_in *to = cv_observers_ranked (g, key, limit, now);

      if (to == NULL)
        return;
      limit = cv_gateway_rank (to, key);
      send_step (g, &m, to);
    }
}

void
cv_resume_publish (const cv_gateway_t *g, uint64_t key, uint64_t version)
{
  const cv_roster_t *roster = &g->evidence.roster;
  cv_msg_origin_t m
      = { .step = CV_ORIGIN_RECORDED, .key = key, .version = version };
  uint64_t limit = UINT64_MAX;

  /* Those of the highest ranks for KEY, which are spread over all streams.  */
  for (uint32_t copy = 0; copy < COPIES; copy++)
    {
      const struct sockaddr_in *best = NULL;

      for (uint32_t i = 0; i < roster->count; i++)
        {
          const struct sockaddr_in *gateway = &roster->gateways[i];

          if (!cv_gateway_is_own_address (g, gateway)
              && cv_gateway_rank (gateway, key) < limit
              && (best == NULL
                  || cv_gateway_rank (gateway, key)
                         > cv_gateway_rank (best, key)))
            best = gateway;
        }
      if (best == NULL)
        return;
      limit = cv_gateway_rank (best, key);
      send_step (g, &m, best);
    }
}

/* ---- decisions ---- */

static void
log_taken_up (const cv_exchange_t *x, const char *reason, const char *next)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_TAKEN_UP);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "resumes", x->request.resumes);
  cv_content_log ("version", x->version, &l);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_text (&l, "next", cv_slice (next));
  cv_line_number (&l, "replies", x->question.replies);
  cv_line_number (&l, "asked", x->question.asked);
  cv_line_end (&l);
}

/* Refuses X, which no target has run; another gateway may know the stream.  */
static void
refuse (cv_exchange_t *x, const char *reason)
{
  log_taken_up (x, reason, "is refused");
  cv_exchange_refuse (x, 503, cv_choose_retry_after (x, 0), reason);
}

/* The service of the route of X at which its version serves, or NULL.  */
static const cv_service_t *
service_of_version (const cv_exchange_t *x)
{
  if (!cv_version_is_gone (x))
    return x->service;
  for (uint32_t i = 0; i < x->route->share_count; i++)
    {
      const cv_service_t *s
          = &x->routing->services[x->route->shares[i].service];

      if (cv_version_is_served (x->gateway, s->name, x->version))
        return s;
    }
  return NULL;
}

/* Whether the list of instances may be older than what X needs: this gateway
   stood still, and may not know yet that the engine which began the stream has
   started again; or S, the service of X's version, is not known, and neither is
   the version, which another process has recorded.  */
static bool
is_list_behind (const cv_exchange_t *x, const cv_service_t *s)
{
  const cv_watcher_t *w = &x->gateway->instance_watcher;
  cv_time_t now = cv_now ();

  if (s != NULL)
    return cv_watcher_is_behind (w, now);
  return w->reader.known_at == 0
         || !cv_version_was_seen (x->gateway, x->version, now);
}

/* The version that began the stream of X is known.  Returns false when X waits
   for a newer list of instances, or was refused.  */
static bool
go_on (cv_exchange_t *x, const char *reason)
{
  const cv_service_t *s = service_of_version (x);

  if (x->question.list_awaited_since == 0 && is_list_behind (x, s))
    {
      x->state = CV_EXCHANGE_RESERVING;
      x->question.number = 0;
      x->question.list_awaited_since = cv_now ();
      cv_watcher_ask_now (&x->gateway->instance_watcher, cv_now ());
      return false;
    }
  x->question.list_awaited_since = 0;
  if (s == NULL)
    {
      refuse (x, "no target of the version that began the stream");
      return false;
    }
  x->service = s;
  x->service_state = cv_service_state (x->gateway, s->name);
  log_taken_up (x, reason, "goes on at its version");
  return true;
}

/* Nobody knows the stream of X; false when X was refused.  */
static bool
decide_unknown (cv_exchange_t *x)
{
  cv_gateway_t *g = x->gateway;
  cv_time_t now = cv_now ();
  bool is_alone = x->question.asked > 0 && x->question.replies == 0
                  && now - g->instance_watcher.confirmed_at > LIST_MAX_AGE;

  if (x->question.is_mixed || is_alone
      || !cv_versions_are_certain (&x->service_state->versions, g->started_at,
                                   x->question.sole, now))
    {
      g->counts.streams_unknown++;
      refuse (x, "version that began the stream is not known");
      return false;
    }
  log_taken_up (x, "one version serves", "goes on");
  return true;
}

/* Asks the other gateways and the observers for the record of X's stream; false
   when there are none.  */
static bool
ask (cv_exchange_t *x)
{
  cv_gateway_t *g = x->gateway;
  cv_msg_t msg = { .type = CV_MSG_ORIGIN };
  cv_msg_origin_t *m = &msg.u.origin;

  m->step = CV_ORIGIN_ASKED;
  m->key = x->stream_key;
  m->number = x->question.number = ++g->last_question;
  (void)cv_copy (m->service, sizeof m->service, x->service->name);
  x->question.replies = 0;
  x->question.asked
      = cv_gateways_send (g, &msg) + cv_observers_send (g, &msg, cv_now ());
  x->question.asked_at = cv_now ();
  g->counts.stream_questions++;
  return x->question.asked > 0;
}

/* Whether observers may not have reported to G yet.  */
static bool
is_starting (const cv_gateway_t *g, cv_time_t now)
{
  return now - g->started_at < FIRST_REPORTS;
}

bool
cv_resume_begin (cv_exchange_t *x)
{
  cv_gateway_t *g = x->gateway;
  const cv_origin_t *r;

  if (x->route->kind != CV_ROUTE_STREAMING || !x->request.has_last_event)
    return false;
  cv_versions_update (g, cv_now ());
  r = cv_origins_find (&g->origins, x->stream_key, cv_now ());
  if (r != NULL && r->is_ambiguous)
    {
      refuse (x, not_certain);
      return true;
    }
  if (r != NULL)
    {
      x->version = r->version;
      return !go_on (x, "known here");
    }
  x->state = CV_EXCHANGE_RESERVING;
  if (x->stream_key != 0 && (ask (x) || is_starting (g, cv_now ())))
    return true;
  x->question.number = 0;
  return !decide_unknown (x);
}

static void
place (cv_exchange_t *x)
{
  x->question.number = 0;
  cv_exchange_place (x);
}

bool
cv_resume_is_pending (const cv_exchange_t *x)
{
  return x->question.number != 0 || x->question.list_awaited_since != 0;
}

/* X waits for a newer list of instances, or for a target of its version if this
   gateway did not stand still.  */
static void
tick_list (cv_exchange_t *x, cv_time_t now)
{
  const cv_watcher_t *w = &x->gateway->instance_watcher;
  bool is_known
      = service_of_version (x) != NULL && !cv_watcher_is_behind (w, now);
  cv_time_t since = x->question.list_awaited_since;
  const cv_origin_t *r;

  if (!is_known && w->known_as_of < since && now - since < LIST_TIMEOUT)
    return;
  r = cv_origins_find (&x->gateway->origins, x->stream_key, now);
  if (r != NULL && r->is_ambiguous)
    refuse (x, not_certain);
  else if (go_on (x, "known after the list was read"))
    place (x);
}

void
cv_resume_tick (cv_exchange_t *x, cv_time_t now)
{
  if (x->question.list_awaited_since != 0)
    {
      tick_list (x, now);
      return;
    }
  if (now - x->question.asked_at < REPLY_TIMEOUT)
    return;
  if (is_starting (x->gateway, now))
    (void)ask (x);
  else if (decide_unknown (x))
    place (x);
}

/* ---- messages ---- */

static void
answer (cv_gateway_t *g, const cv_msg_origin_t *m,
        const struct sockaddr_in *from)
{
  cv_time_t now = cv_now ();
  const cv_origin_t *r = cv_origins_find (&g->origins, m->key, now);
  const cv_service_state_t *s;
  cv_msg_origin_t reply
      = { .step = CV_ORIGIN_UNKNOWN, .key = m->key, .number = m->number };

  TAILQ_FOREACH (s, &g->services, entry)
  if (strcmp (s->name, m->service) == 0)
    {
      reply.is_mixed = cv_versions_are_mixed (&s->versions, now);
      reply.version = cv_versions_sole (&s->versions, g->started_at, now);
    }
  /* The engine that began the stream may have started again meanwhile.  */
  if (r != NULL
      && (r->is_ambiguous || cv_watcher_is_behind (&g->instance_watcher, now)))
    reply.is_mixed = true;
  else if (r != NULL)
    {
      reply.step = CV_ORIGIN_KNOWN;
      reply.version = r->version;
    }
  send_step (g, &reply, from);
}

/* The exchange that asked about M, NULL when it has ended.  */
static cv_exchange_t *
find_asker (const cv_gateway_t *g, const cv_msg_origin_t *m)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  if (x->question.number != 0 && x->question.number == m->number
      && x->stream_key == m->key)
    return x;
  return NULL;
}

static void
handle_reply (cv_gateway_t *g, const cv_msg_origin_t *m)
{
  cv_exchange_t *x = find_asker (g, m);

  if (x == NULL)
    return;
  x->question.replies++;
  x->question.is_mixed |= m->is_mixed;
  if (m->step == CV_ORIGIN_KNOWN)
    {
      x->version = m->version;
      if (go_on (x, "known by another process"))
        place (x);
      return;
    }
  if (m->version != CV_VERSION_NONE)
    {
      x->question.is_mixed |= x->question.sole != CV_VERSION_NONE
                              && x->question.sole != m->version;
      x->question.sole = m->version;
    }
  if (x->question.replies >= x->question.asked && !is_starting (g, cv_now ())
      && decide_unknown (x))
    place (x);
}

void
cv_resume_handle_message (cv_gateway_t *g, const cv_msg_origin_t *m,
                          const struct sockaddr_in *from)
{
  switch (m->step)
    {
    case CV_ORIGIN_RECORDED:
      cv_origins_add (&g->origins, m->key, m->version, 0, cv_now ());
      return;
    case CV_ORIGIN_ASKED:
      answer (g, m, from);
      return;
    case CV_ORIGIN_KNOWN:
    case CV_ORIGIN_UNKNOWN:
      handle_reply (g, m);
      return;
    }
}
