/* Chooses targets: collects what the gateway knows of them as input for the
   placement policy.  */

#include <string.h>

#include "gateway/state.h"
#include "policy/placement.h"
#include "policy/room.h"

/* Targets of one service that are compared at a time.  Of more, others are
   compared when none of these takes the request.  */
#define CANDIDATES_MAX 256
/* Base of the Retry-After of refusals.  Engines free memory within about a
   second, plain services free slots within the time of a request.  */
#define RETRY_ENGINE_MS 700
#define RETRY_SERVICE_MS 150

/* Older load reports are stale.  Observers send one at least every 0.4 s. Until
   this age, a report is still used for placement; reservations are requested
   only until OBSERVER_TIMEOUT (targets.c).  */
#define LOAD_MAX_AGE (1200 * CV_MS)
/* A new engine's observer has found it and the gateways within this time.  */
#define FIRST_REPORT_WAIT (1500 * CV_MS)
/* A load report may lack requests sent up to this long before its arrival.  */
#define REPORT_DELAY (5 * CV_MS)

typedef struct
{
  cv_candidate_t candidate[CANDIDATES_MAX];
  cv_target_t *target[CANDIDATES_MAX];
  /* Would be usable but for a limit, or but for a pause.  */
  bool is_blocked_by_limit[CANDIDATES_MAX];
  bool is_paused[CANDIDATES_MAX];
  bool is_ending[CANDIDATES_MAX]; /* the last one of its version */
  uint32_t n;
  bool is_solitary; /* the request runs beside no suspect content */
} candidates_t;

static bool
was_tried (const cv_exchange_t *x, const cv_target_t *t)
{
  for (uint32_t i = 0; i < x->tried_count; i++)
    if (x->tried[i].started_ms == t->record.started_ms
        && strcmp (x->tried[i].id, t->record.id) == 0)
      return true;
  return false;
}

/* Time factor of an engine by its load report, which names none if it is
   nominal.  */
static double
report_factor (const cv_msg_engine_load_t *l)
{
  return l->pace_permille > 0 ? l->pace_permille / 1000.0 : 1;
}

/* Sums up the last load report and the requests sent since.  */
static void
fill_from_report (cv_candidate_t *out, const cv_target_t *t)
{
  const cv_msg_engine_load_t *l = &t->load;

  out->memory_used = l->kv_peak + t->unreported_tokens;
  out->prompt_backlog = l->prefill_backlog + t->unreported_prefill_tokens;
  out->in_flight = l->running + l->waiting + t->unreported_requests;
  out->streams = l->running > l->prefilling ? l->running - l->prefilling : 0;
  out->pace.factor = report_factor (l);
  out->pace.worst = l->worst_pace_permille / 1000.0;
  out->pace.is_slow = l->is_slow;
}

/* No recent load report of T.  All gateways see a new engine empty at the same
   time and would overfill it.  While any observer reports, a new engine is
   therefore not used before its own observer can have reported.  Otherwise each
   gateway adds what the others have told that they have there.  If none has
   told anything of this engine, its observer may report to the others only: the
   gateway assumes that these, once their number is known, have sent the engine
   as many tokens as it has itself; in_flight then counts only its own
   requests.  */
static void
fill_unobserved (cv_candidate_t *out, const cv_target_t *t, cv_time_t now)
{
  bool is_count_known = t->gateway->last_load_report_at > 0;
  bool is_shared = cv_shares_sum (t->gateway, now)
                   && (t->shared_requests > 0 || !is_count_known);
  uint64_t gateways
      = is_count_known && !is_shared ? t->gateway->gateway_count : 1;

  out->memory_used = (t->expected_tokens + t->incoming_tokens) * gateways;
  out->prompt_backlog = t->prefill_tokens * gateways;
  out->in_flight = t->in_flight;
  out->pace.factor = cv_event_pace_factor (&t->event_pace, now);
  if (is_shared)
    {
      out->memory_used += t->shared_tokens;
      out->prompt_backlog += t->shared_prefill_tokens;
      out->in_flight += t->shared_requests;
    }
  if (now - t->gateway->last_load_report_at < LOAD_MAX_AGE
      && now - t->listed_at < FIRST_REPORT_WAIT)
    out->usable = false;
}

/* Counts this gateway's requests that the last load report cannot include.  */
static void
count_unreported (cv_gateway_t *g)
{
  cv_target_t *t;
  cv_exchange_t *x;

  if (g->are_sums_current)
    return;
  g->are_sums_current = true;
  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      t->unreported_tokens = 0;
      t->unreported_prefill_tokens = 0;
      t->unreported_requests = 0;
    }
  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    {
      if (x->target != NULL
          && x->sent_at > x->target->load_received_at - REPORT_DELAY)
        {
          x->target->unreported_tokens += x->need_tokens;
          x->target->unreported_prefill_tokens += x->request.prompt_tokens;
          x->target->unreported_requests++;
        }
    }
}

/* Whether the limits of T let X be sent there.  A request that is at another
   target, and a migrating run, leave the permits to those that have none.  */
static bool
is_limit_open (const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  return (x->target == NULL ? cv_limit_admits (t, now)
                            : !t->limit.known.is_limited)
         && !cv_warmup_is_closed (x, t, now);
}

static void
add_candidate (candidates_t *c, const cv_exchange_t *x, cv_target_t *t,
               const char *domain, cv_time_t now)
{
  const cv_service_t *s = x->service;
  cv_candidate_t *out = &c->candidate[c->n];

  out->usable = cv_target_is_available (t, now) && !was_tried (x, t)
                && cv_version_admits (x, t)
                && !(c->is_solitary && cv_exchange_is_beside_suspect (x, t));
  c->is_paused[c->n] = out->usable && cv_pause_is_in_force (&t->pause, now);
  c->is_blocked_by_limit[c->n]
      = out->usable && !c->is_paused[c->n] && !is_limit_open (x, t, now);
  out->usable
      = out->usable && !c->is_paused[c->n] && !c->is_blocked_by_limit[c->n];
  out->same_domain = strcmp (t->record.failure_domain, domain) == 0;
  out->memory_total = s->is_engine ? s->engine.memory_tokens : 0;
  out->streams = 0;
  out->pace = (cv_pace_estimate_t){ 0 };
  out->slots = s->is_engine ? s->engine.slots : t->record.slots;
  if (s->is_engine && now - t->load_received_at < LOAD_MAX_AGE)
    fill_from_report (out, t);
  else if (s->is_engine)
    fill_unobserved (out, t, now);
  else
    out->in_flight = t->in_flight;
  t->candidate = *out;
  c->target[c->n++] = t;
}

/* The targets of a service, of which CANDIDATES_MAX are collected at a time, in
   turn from a random one on.  */
typedef struct
{
  uint32_t total;
  uint32_t first; /* place of the next one to be collected */
  uint32_t left;  /* not yet collected */
} candidate_walk_t;

static bool
serves (const cv_target_t *t, const cv_exchange_t *x)
{
  return strcmp (t->record.service, x->service->name) == 0
         && cv_exchange_may_run_at (x, t);
}

static void
begin_walk (candidate_walk_t *w, cv_exchange_t *x)
{
  const cv_target_t *t;

  *w = (candidate_walk_t){ 0 };
  TAILQ_FOREACH (t, &x->gateway->targets, entry)
  w->total += serves (t, x);
  w->left = w->total;
  if (w->total > CANDIDATES_MAX)
    w->first = (uint32_t)(cv_rng_uniform (&x->gateway->rng) * w->total);
  if (x->service->is_engine)
    count_unreported (x->gateway);
}

/* Collects the next candidates; false when there are none left.  */
static bool
collect (candidates_t *c, candidate_walk_t *w, cv_exchange_t *x,
         const char *domain)
{
  uint32_t count = w->left < CANDIDATES_MAX ? w->left : CANDIDATES_MAX;
  cv_time_t now = cv_now ();
  uint32_t place = 0;
  cv_target_t *t;

  c->n = 0;
  if (count == 0)
    return false;
  c->is_solitary = cv_exchange_is_solitary (x, now);
  TAILQ_FOREACH (t, &x->gateway->targets, entry)
  {
    if (!serves (t, x))
      continue;
    if ((place + w->total - w->first) % w->total < count)
      add_candidate (c, x, t, domain, now);
    place++;
  }
  w->left -= count;
  w->first = (w->first + count) % w->total;
  return true;
}

/* Whether T has no room for X although it is usable: it returns from a pause,
   or its observer would refuse X.  Since its last load report that one refused
   a request of at most the size of X, or too many prompt tokens are queued at
   T.  For a migration: whether it refused another one recently.  */
static bool
would_refuse (const cv_target_t *t, const cv_exchange_t *x, bool is_migration,
              cv_time_t now)
{
  if (!cv_pause_has_room (&t->pause, t->in_flight, now))
    return true;
  if (is_migration)
    return now < t->migration_refused_until;
  if (t->min_refused_tokens > 0 && x->need_tokens >= t->min_refused_tokens)
    return true;
  if (x->is_ranked
      && cv_refused_sizes_covers (
          &t->refused_sizes, cv_claim_level (&x->claim, now), x->need_tokens))
    return true;
  if (cv_exchange_is_late (x, now) && t->min_refused_late_tokens > 0
      && x->need_tokens >= t->min_refused_late_tokens)
    return true;
  return now - t->load_received_at < LOAD_MAX_AGE && x->service->is_engine
         && t->load.prefill_backlog + t->unreported_prefill_tokens
                > cv_prefill_backlog_max (report_factor (&t->load));
}

/* Makes the candidates unusable at which a new stream could not be moved, as
   their version ends; false if there are none.  */
static bool
leave_out_ending (candidates_t *c, const cv_exchange_t *x)
{
  const cv_versions_t *versions = &x->service_state->versions;
  bool has_ending = false;

  if (!x->service->is_engine || versions->count < 2
      || x->version != CV_VERSION_NONE)
    return false;
  for (uint32_t i = 0; i < c->n; i++)
    {
      c->is_ending[i] = c->candidate[i].usable
                        && cv_versions_is_ending (
                            versions, cv_target_version (c->target[i]));
      c->candidate[i].usable &= !c->is_ending[i];
      has_ending |= c->is_ending[i];
    }
  return has_ending;
}

/* New streams begin at a version that ends only when no other one has room.  */
static uint32_t
pick (candidates_t *c, const cv_exchange_t *x, const cv_placement_work_t *work)
{
  double draw = cv_rng_uniform (&x->gateway->rng);

  if (leave_out_ending (c, x))
    {
      uint32_t i = cv_placement_pick (c->candidate, c->n, work, draw);

      if (i != CV_PLACEMENT_NONE)
        return i;
      for (i = 0; i < c->n; i++)
        c->candidate[i].usable |= c->is_ending[i];
    }
  return cv_placement_pick (c->candidate, c->n, work, draw);
}

/* For a rescue, and for a run that ends soon, the growth of the runs already at
   T is ignored: what they use now counts, not what they are expected to use at
   their end.  */
static void
ignore_growth (cv_candidate_t *out, const cv_target_t *t, bool is_rescue)
{
  if (is_rescue || cv_now () - t->load_received_at < LOAD_MAX_AGE)
    out->memory_used
        = t->load.kv_used + t->incoming_tokens + t->unreported_tokens;
}

static cv_target_t *
choose (cv_exchange_t *x, const cv_placement_work_t *work, const char *domain,
        bool is_rescue)
{
  bool ignores_growth
      = is_rescue || (!work->is_migration && cv_exchange_ends_soon (x));
  candidates_t c;
  candidate_walk_t walk;

  begin_walk (&walk, x);
  while (collect (&c, &walk, x, domain))
    {
      cv_time_t now = cv_now ();
      uint32_t i;

      for (i = 0; i < c.n; i++)
        c.candidate[i].usable
            &= !would_refuse (c.target[i], x, work->is_migration, now);
      for (i = 0; ignores_growth && i < c.n; i++)
        ignore_growth (&c.candidate[i], c.target[i], is_rescue);
      i = pick (&c, x, work);
      if (i != CV_PLACEMENT_NONE)
        return c.target[i];
    }
  return NULL;
}

/* Adds to WORK what decides whether the stream of X and those beside it are
   late.  */
static void
describe_stream (const cv_exchange_t *x, cv_placement_work_t *work)
{
  cv_service_state_t *s = x->service_state;
  uint32_t event_tokens = x->service->engine.event_tokens;

  if (x->route->gap_objective_ms > 0)
    {
      s->gap_objective_ms = x->route->gap_objective_ms;
      if (event_tokens > 0)
        work->events = x->expected_output.median / event_tokens;
    }
  work->gap_limit_ms = s->gap_objective_ms;
  work->event_tokens = event_tokens;
}

cv_target_t *
cv_choose_target (cv_exchange_t *x)
{
  /* Placement counts a new run with its prompt only, would_refuse with its
     need_tokens.  */
  cv_placement_work_t work = { .memory = x->request.prompt_tokens, .fill = 1 };

  describe_stream (x, &work);
  return choose (x, &work, x->gateway->settings.failure_domain, false);
}

cv_target_t *
cv_choose_destination (cv_exchange_t *x, const cv_target_t *t, uint64_t tokens,
                       cv_reservation_purpose_t purpose)
{
  cv_placement_work_t work
      = { .memory = tokens, .is_migration = true, .fill = 1 };
  cv_target_t *to;

  describe_stream (x, &work);
  if (purpose == CV_RESERVE_BALANCE)
    work.fill = CV_BALANCE_FILL_MAX;
  to = choose (x, &work, t->record.failure_domain, false);
  if (to == NULL && purpose == CV_RESERVE_RESCUE)
    to = choose (x, &work, t->record.failure_domain, true);
  return to;
}

static void
add_limited (cv_blocked_targets_t *b, const cv_exchange_t *x, cv_target_t *t)
{
  cv_time_t now = cv_now ();
  cv_time_t opens_at = cv_warmup_takes_at (x, t, now);

  if (t->limit.known.is_limited && t->limit.blocked_until > opens_at)
    opens_at = t->limit.blocked_until;
  b->per_s += t->limit.known.per_s + cv_warmup_share (x, t, now);
  if (!t->limit.known.is_limited)
    {
      cv_time_t warm_at = cv_warmup_end (&t->warmup, &x->service->warmup);

      if (warm_at < b->warm_at)
        b->warm_at = warm_at;
    }
  if (b->limited != NULL && opens_at >= b->opens_at)
    return;
  b->limited = t;
  b->opens_at = opens_at;
}

static void
add_returning (cv_blocked_targets_t *b, const cv_target_t *t)
{
  cv_time_t at = cv_target_returns_at (t);

  if (at < b->returns_at)
    b->returns_at = at;
}

/* Adds the candidates C of X, none of which takes it; false if one does.
   HAS_PAUSED: whether one pauses.  */
static bool
add_blocked (const candidates_t *c, const cv_exchange_t *x,
             cv_blocked_targets_t *out, bool *has_paused)
{
  for (uint32_t i = 0; i < c->n; i++)
    {
      if (c->candidate[i].usable)
        return false;
      if (c->is_blocked_by_limit[i])
        add_limited (out, x, c->target[i]);
      else if (!was_tried (x, c->target[i])
               && cv_version_admits (x, c->target[i]))
        add_returning (out, c->target[i]);
      *has_paused |= c->is_paused[i];
    }
  return true;
}

bool
cv_choose_blocked (cv_exchange_t *x, cv_blocked_targets_t *out)
{
  candidates_t c;
  candidate_walk_t walk;
  bool has_paused = false;

  *out
      = (cv_blocked_targets_t){ .returns_at = INT64_MAX, .warm_at = INT64_MAX };
  begin_walk (&walk, x);
  while (collect (&c, &walk, x, x->gateway->settings.failure_domain))
    if (!add_blocked (&c, x, out, &has_paused))
      return false;
  return out->limited != NULL || has_paused;
}

uint32_t
cv_choose_retry_after (cv_exchange_t *x, uint32_t wait_ms)
{
  static const cv_refusal_t no_refusals = { 0 };
  bool is_engine = x->service != NULL && x->service->is_engine;
  uint32_t usual_ms = is_engine ? RETRY_ENGINE_MS : RETRY_SERVICE_MS;
  cv_time_t left = x->deadline - cv_now ();

  uint32_t queue_ms;
  const cv_refusal_t *refusals;

  if (x->service_state == NULL)
    return RETRY_SERVICE_MS;
  queue_ms = cv_exchange_retry_wait (x);
  if (queue_ms > wait_ms)
    wait_ms = queue_ms;
  /* The wait is known; the share of refusals is that of all classes.  */
  refusals = queue_ms > 0 ? &no_refusals : &x->service_state->refusals;
  return cv_refusal_retry_after (refusals,
                                 wait_ms > usual_ms ? wait_ms : usual_ms,
                                 left > 0 ? (uint32_t)(left / CV_MS) : 0,
                                 cv_rng_uniform (&x->gateway->rng));
}
