/* Selects the runs to migrate: off engines that are draining or overcommitted,
   and, while requests are queued, off full engines.  One migration lease of an
   engine is granted at a time (lease.c).  */

#include <string.h>

#include "gateway/state.h"

/* Most runs of one engine that are considered at once.  */
#define RUNS_MAX 128
/* Most migrations of one run.  */
#define MIGRATIONS_MAX 6
/* Microseconds per output token of a run before they can be computed; the same
   time as TOKEN_TIME in exchange.c.  */
#define TOKEN_US_DEFAULT 10000
/* A queued request that arrived longer ago than this means that memory is
   short.  */
#define SHORTAGE_WAIT (100 * CV_MS)

/* Whether a migration of the run of X off T may start now.  A resumable stream
   continues in a new generation instead.  Without another target of its version
   the run ends where it is.  */
static bool
can_start_migration (const cv_exchange_t *x, const cv_target_t *t,
                     cv_time_t now)
{
  return x->target == t && x->migration == NULL
         && x->migrations < MIGRATIONS_MAX && now >= x->no_migration_until
         && x->state == CV_EXCHANGE_STREAMING && x->events.count > 0
         && !x->route->resumable && x->service->engine.can_migrate
         && x->request.attempt.p != NULL && x->request.attempt.n < CV_RUN_MAX
         && !cv_version_is_gone (x);
}

void
cv_migration_estimate (const cv_exchange_t *x, cv_time_t now,
                       cv_evacuation_candidate_t *out)
{
  uint32_t per_event = x->service->engine.event_tokens;
  uint64_t produced = cv_exchange_output_tokens (x);
  uint32_t limit = x->request.output_limit;

  /* The caller's length hint is often too low, and a run that is wrongly
     expected to end in time is lost.  Only the output limit is certain.  */
  out->memory_tokens = x->request.prompt_tokens + produced;
  out->remaining_tokens = limit > produced ? (uint32_t)(limit - produced) : 0;
  out->token_us = produced > per_event
                      ? (uint32_t)((now - x->started_at - x->first_event_delay)
                                   / (cv_time_t)produced)
                      : TOKEN_US_DEFAULT;
}

/* Where nobody grants leases, the gateway orders its own runs.  */
static void
migrate_next (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  cv_exchange_t *candidates[RUNS_MAX];
  cv_evacuation_candidate_t runs[RUNS_MAX];
  cv_exchange_t *x;
  uint32_t n = 0;
  uint32_t i;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    if (n < RUNS_MAX && can_start_migration (x, t, now))
      {
        cv_migration_estimate (x, now, &runs[n]);
        candidates[n++] = x;
      }
  i = cv_evacuation_pick (runs, n, cv_target_time_left (t, now));
  if (i != CV_EVACUATION_NONE)
    cv_migration_start (candidates[i], t);
}

static void
request_leases (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  cv_exchange_t *x;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    {
      cv_evacuation_candidate_t run;

      if (!can_start_migration (x, t, now))
        continue;
      cv_migration_estimate (x, now, &run);
      if (cv_evacuation_pick (&run, 1, cv_target_time_left (t, now))
          != CV_EVACUATION_NONE)
        cv_lease_send (t, x->request.attempt, CV_LEASE_REQUESTED,
                       run.memory_tokens);
    }
}

static cv_exchange_t *
find_run (cv_gateway_t *g, const cv_target_t *t, const char *run, cv_time_t now)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  if (can_start_migration (x, t, now)
      && cv_slice_equal (x->request.attempt, cv_slice (run)))
    return x;
  return NULL;
}

void
cv_migration_lease_granted (cv_gateway_t *g, cv_target_t *t, const char *run)
{
  cv_time_t now = cv_now ();
  cv_exchange_t *x;

  if (t->migration != NULL)
    return;
  x = find_run (g, t, run, now);
  /* An engine without an observer is evacuated only when it drains; otherwise
     the grant is late, and was for a migration to it.  */
  if (x != NULL
      && cv_gateway_grant_holds (t, cv_slice (run), "lease", t->lease_asked_at)
      && (cv_target_is_observed (t, now) || cv_target_is_draining (t)))
    cv_migration_start (x, t);
  else
    cv_lease_send (t, cv_slice (run), CV_LEASE_RELEASED, 0);
}

static void
evacuate (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  if (cv_lease_has_granter (t, now))
    request_leases (g, t, now);
  else
    migrate_next (g, t, now);
}

/* Whether a generation is queued that arrived more than SHORTAGE_WAIT ago.  */
static bool
is_memory_short (const cv_gateway_t *g, cv_time_t now)
{
  const cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->waiting, waiting)
  if (x->request.is_generation && now - x->started_at > SHORTAGE_WAIT
      && !cv_exchange_can_wait_long (x, now))
    return true;
  return false;
}

/* Whether runs should be migrated off T.  */
static bool
should_evacuate (const cv_target_t *t, cv_time_t now, bool is_shortage)
{
  if (cv_target_is_draining (t))
    return true;
  return cv_target_is_observed (t, now)
         && (t->load.memory_pressure == CV_PRESSURE_OVERCOMMITTED
             || (is_shortage && t->load.memory_pressure == CV_PRESSURE_FULL
                 && !cv_target_is_evacuated (t)));
}

void
cv_migrations_tick (cv_gateway_t *g, cv_time_t now)
{
  bool is_shortage = is_memory_short (g, now);
  cv_target_t *t;
  cv_target_t *next;

  cv_migration_tick_all (g, now);
  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      /* After a stall of this process a lease that does not hold may be in its
         socket.  */
      if (t->migration == NULL && t->in_flight > 0 && now != g->stall_ended_at
          && should_evacuate (t, now, is_shortage))
        evacuate (g, t, now);
    }
}
