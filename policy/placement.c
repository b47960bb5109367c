/* Choice of targets by free memory and prefill backlog.  Costs of engines are
   in prompt tokens; those of plain services, which are targets that are not
   engines, are fractions of their slots.  */

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

static double
service_cost (const cv_candidate_t *c)
{
  double slots = c->slots > 0 ? c->slots : 1;

  return (c->in_flight + (c->same_domain ? 0 : SERVICE_CROSS_DOMAIN_COST))
         / slots;
}

uint32_t
cv_placement_pick (const cv_candidate_t *candidates, uint32_t n,
                   const cv_placement_work_t *work, double draw)
{
  uint32_t best = CV_PLACEMENT_NONE;
  double best_cost = 0;

  for (uint32_t i = 0; i < n; i++)
    {
      const cv_candidate_t *c = &candidates[i];
      double cost;

      if (!c->usable)
        continue;
      if (c->memory_total > 0)
        {
          if (!has_memory (c, work))
            continue;
          cost
              = engine_cost (c, work->is_migration ? CROSS_DOMAIN_MIGRATION_COST
                                                   : CROSS_DOMAIN_COST)
                + NOISE_COST * candidate_noise (draw, i);
        }
      else
        {
          if (c->slots > 0 && c->in_flight >= c->slots)
            continue;
          cost = service_cost (c)
                 + SERVICE_NOISE_COST * candidate_noise (draw, i);
        }
      if (best == CV_PLACEMENT_NONE || cost < best_cost)
        {
          best = i;
          best_cost = cost;
        }
    }
  return best;
}
