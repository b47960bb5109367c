/* Choice of targets by free memory, prefill backlog and pace.  Costs of engines
   are in prompt tokens, or in milliseconds where their paces differ; those of
   plain services, which are targets that are not engines, are fractions of
   their slots.  */

#include <math.h>

#include "policy/placement.h"

/* Cost of a full memory: about a second of prefill.  */
#define MEMORY_COST 8000.0
/* A request in flight slows the decoding steps of the others slightly.  */
#define IN_FLIGHT_COST 100.0
/* Traffic between failure domains is billed.  */
#define CROSS_DOMAIN_COST 300.0
/* A copy between failure domains takes twice as long, which limits how many
   runs are migrated off an engine before it stops.  */
#define CROSS_DOMAIN_MIGRATION_COST 6000.0
/* Random cost, so that many processes do not choose the same of several equal
   candidates.  */
#define NOISE_COST 200.0
/* Of plain services: traffic between failure domains, in requests in flight,
   and random cost, in fractions of the slots.  */
#define SERVICE_CROSS_DOMAIN_COST 0.5
#define SERVICE_NOISE_COST 0.1

/* Prompt tokens that a nominal engine prefills per millisecond beside its
   runs.  */
#define PREFILL_TOKENS_PER_MS 7.0
/* Engines whose time factors differ by less than this fraction of their mean
   are equally fast; estimates differ by about half of it.  */
#define EQUAL_PACE_SPREAD 0.25
/* Cost of a stream that is late for sure, in milliseconds.  It is about that of
   a full memory, so that fast engines are not filled to the last run.  */
#define LATE_STREAM_COST 1200.0
/* A stream is not late if the gap beside a prompt in a slow phase is below the
   first fraction of the limit, and late above the second.  */
#define SAFE_GAP 0.8
#define LATE_GAP 1.2
/* Longest pause of a migration, 80 ms, and the time from the last event until
   its run is stopped.  */
#define MIGRATION_PAUSE_MS 110.0
/* Events after which a stream has probably met a slow phase with a prompt
   beside it.  */
#define EXPOSED_EVENTS 50.0
/* Part of the time that an engine spends in slow phases, and the mean time
   between two of them, in milliseconds.  Both are assumed: reports tell how
   slow an engine becomes, not how often.  */
#define SLOW_PART 0.15
#define SLOW_PERIOD_MS 4000.0

/* A rough check; the engine's observer decides on the reservation.  */
static bool
has_memory (const cv_candidate_t *c, const cv_placement_work_t *work)
{
  return (double)(c->memory_used + work->memory)
         <= work->fill * (double)c->memory_total;
}

/* Returns a different number in [0, 1) for each candidate of one choice.  */
static double
candidate_noise (double draw, uint32_t i)
{
  double x = draw + 0.6180339887 * i;

  return x - (double)(uint64_t)x;
}

static double
engine_cost (const cv_candidate_t *c, double cross_domain_cost)
{
  double cost = (double)c->prompt_backlog;

  cost += MEMORY_COST * (double)c->memory_used / (double)c->memory_total;
  cost += IN_FLIGHT_COST * c->in_flight;
  return c->same_domain ? cost : cost + cross_domain_cost;
}

/* Rises from 0 to 1 as X does from LOW to HIGH.  */
static double
ramp (double x, double low, double high)
{
  if (x <= low)
    return 0;
  return x < high ? (x - low) / (high - low) : 1;
}

/* Probability that a stream at C, with RUNS in its batch, is late if a slow
   phase and a prompt come together.  */
static double
gap_risk (const cv_candidate_t *c, const cv_placement_work_t *work,
          double factor, double runs)
{
  double worst = c->pace.worst > factor ? c->pace.worst : factor;
  double gap;

  if (work->gap_limit_ms == 0)
    return 0;
  gap = work->event_tokens * cv_pace_step_ms (worst, runs, true)
        / work->gap_limit_ms;
  return ramp (gap, SAFE_GAP, LATE_GAP);
}

/* Probability that a run which is migrated to C pauses for too long.  */
static double
pause_risk (const cv_candidate_t *c, const cv_placement_work_t *work,
            double factor)
{
  double pause = MIGRATION_PAUSE_MS
                 + work->event_tokens
                       * cv_pace_step_ms (factor, c->in_flight + 1.0,
                                          c->prompt_backlog > 0);

  if (!work->is_migration || work->gap_limit_ms == 0)
    return 0;
  return ramp (pause / work->gap_limit_ms, SAFE_GAP, LATE_GAP);
}

/* Expected number of streams that are late because WORK is at C: itself, and
   those beside which its prompt is prefilled.  */
static double
late_streams (const cv_candidate_t *c, const cv_placement_work_t *work,
              double factor, double prefill_ms)
{
  double risk = gap_risk (c, work, factor, c->in_flight + 1.0);
  double late = 1 - exp (-(double)work->events / EXPOSED_EVENTS);
  double phase = c->pace.is_slow ? 1 : SLOW_PART + prefill_ms / SLOW_PERIOD_MS;

  if (phase > 1)
    phase = 1;
  if (!work->is_migration)
    late += phase * c->streams;
  return risk * late;
}

/* Cost of an engine with the time factor FACTOR, in milliseconds.  */
static double
paced_cost (const cv_candidate_t *c, const cv_placement_work_t *work,
            double factor, double cross_domain_cost)
{
  double now
      = c->pace.is_slow && c->pace.worst > factor ? c->pace.worst : factor;
  double prompt = work->is_migration ? 0 : (double)work->memory;
  double prefill_ms = now * prompt / PREFILL_TOKENS_PER_MS;
  double cost = MEMORY_COST * (double)c->memory_used / (double)c->memory_total;

  cost += now * ((double)c->prompt_backlog + IN_FLIGHT_COST * c->in_flight);
  if (!c->same_domain)
    cost += cross_domain_cost;
  return cost / PREFILL_TOKENS_PER_MS + prefill_ms
         + LATE_STREAM_COST
               * (late_streams (c, work, factor, prefill_ms)
                  + pause_risk (c, work, now));
}

/* Time factor of the slowest usable engine whose pace is known, or 0 if they
   are equally fast.  An engine that neither an observer nor stream events tell
   of counts as it: a long stream at a slow one is late.  */
static double
slowest_of_unequal (const cv_candidate_t *candidates, uint32_t n)
{
  double least = INFINITY;
  double most = 0;
  double sum = 0;
  uint32_t known = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      double factor = candidates[i].pace.factor;

      if (!candidates[i].usable || factor <= 0)
        continue;
      least = factor < least ? factor : least;
      most = factor > most ? factor : most;
      sum += factor;
      known++;
    }
  if (known < 2 || most - least < EQUAL_PACE_SPREAD * sum / known)
    return 0;
  return most;
}

static double
service_cost (const cv_candidate_t *c)
{
  double slots = c->slots > 0 ? c->slots : 1;

  return (c->in_flight + (c->same_domain ? 0 : SERVICE_CROSS_DOMAIN_COST))
         / slots;
}

/* Best of the candidates that are in a slow phase or not, as IS_SLOW tells;
   SLOWEST as from slowest_of_unequal.  */
static uint32_t
pick (const cv_candidate_t *candidates, uint32_t n,
      const cv_placement_work_t *work, double draw, double slowest,
      bool is_slow)
{
  double cross_domain_cost
      = work->is_migration ? CROSS_DOMAIN_MIGRATION_COST : CROSS_DOMAIN_COST;
  uint32_t best = CV_PLACEMENT_NONE;
  double best_cost = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      const cv_candidate_t *c = &candidates[i];
      double noise = candidate_noise (draw, i);
      double cost;

      if (!c->usable || c->pace.is_slow != is_slow)
        continue;
      if (c->memory_total > 0)
        {
          if (!has_memory (c, work))
            continue;
          cost
              = slowest > 0
                    ? paced_cost (c, work,
                                  c->pace.factor > 0 ? c->pace.factor : slowest,
                                  cross_domain_cost)
                          + NOISE_COST / PREFILL_TOKENS_PER_MS * noise
                    : engine_cost (c, cross_domain_cost) + NOISE_COST * noise;
        }
      else
        {
          if (c->slots > 0 && c->in_flight >= c->slots)
            continue;
          cost = service_cost (c) + SERVICE_NOISE_COST * noise;
        }
      if (best == CV_PLACEMENT_NONE || cost < best_cost)
        {
          best = i;
          best_cost = cost;
        }
    }
  return best;
}

uint32_t
cv_placement_pick (const cv_candidate_t *candidates, uint32_t n,
                   const cv_placement_work_t *work, double draw)
{
  double slowest = slowest_of_unequal (candidates, n);
  uint32_t best = pick (candidates, n, work, draw, slowest, false);

  return best != CV_PLACEMENT_NONE
             ? best
             : pick (candidates, n, work, draw, slowest, true);
}
