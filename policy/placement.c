/* Choice of targets by memory and by prompts that wait to be read.  */

#include "policy/placement.h"

/* A full memory counts like a backlog of this many prompt tokens, about a
   second of reading.  */
#define MEMORY_COST 8000.0
/* A request in flight slows the others' steps a little.  */
#define IN_FLIGHT_COST 100.0
/* Traffic between failure domains is billed; worth a small detour.  */
#define FAR_COST 300.0
/* A copy between failure domains takes twice as long, which decides how many
   runs get off an engine before it ends.  */
#define FAR_MOVE_COST 6000.0
/* Spread among equal candidates, so that many choosers do not agree.  */
#define NOISE_COST 200.0

/* The engine's observer judges more closely.  */
static bool
has_room (const cv_candidate_t *c, const cv_placement_work_t *work)
{
  return (double)(c->memory_used + work->memory)
         <= work->fill * (double)c->memory_total;
}

/* A different number in [0, 1) for each candidate of one choice.  */
static double
spread (double draw, uint32_t i)
{
  double x = draw + 0.6180339887 * i;

  return x - (double)(uint64_t)x;
}

static double
engine_cost (const cv_candidate_t *c, double far_cost)
{
  double cost = (double)c->prompt_backlog;

  cost += MEMORY_COST * (double)c->memory_used / (double)c->memory_total;
  cost += IN_FLIGHT_COST * c->in_flight;
  return c->same_domain ? cost : cost + far_cost;
}

static double
service_cost (const cv_candidate_t *c)
{
  double slots = c->slots > 0 ? c->slots : 1;

  return (c->in_flight + (c->same_domain ? 0 : 0.5)) / slots;
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
          if (!has_room (c, work))
            continue;
          cost = engine_cost (c, work->is_move ? FAR_MOVE_COST : FAR_COST)
                 + NOISE_COST * spread (draw, i);
        }
      else
        {
          if (c->slots > 0 && c->in_flight >= c->slots)
            continue;
          cost = service_cost (c) + 0.1 * spread (draw, i);
        }
      if (best == CV_PLACEMENT_NONE || cost < best_cost)
        {
          best = i;
          best_cost = cost;
        }
    }
  return best;
}
