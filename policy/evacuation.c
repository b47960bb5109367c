/* Order of migrations off an engine that is about to stop.  */

#include "policy/evacuation.h"

/* Estimates of the remaining output are often too low, so a run is left in
   place only if this multiple of its estimated time fits.  */
#define REMAINING_MARGIN 2

static bool
ends_in_time (const cv_evacuation_candidate_t *r, cv_time_t left)
{
  return left > 0
         && (cv_time_t)r->remaining_tokens * r->token_us * REMAINING_MARGIN
                < left;
}

/* Picks the smallest first, so that more runs are saved before the engine
   stops.  */
uint32_t
cv_evacuation_pick (const cv_evacuation_candidate_t *runs, uint32_t n,
                    cv_time_t left)
{
  uint32_t best = CV_EVACUATION_NONE;

  for (uint32_t i = 0; i < n; i++)
    {
      if (ends_in_time (&runs[i], left))
        continue;
      if (best == CV_EVACUATION_NONE
          || runs[i].memory_tokens < runs[best].memory_tokens)
        best = i;
    }
  return best;
}
