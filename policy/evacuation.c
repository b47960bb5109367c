/* Order of moves off an engine that ends soon.  */

#include "policy/evacuation.h"

/* An estimate of the remaining output is often too low; a run counts as
   ending in time only with so much to spare.  */
#define REMAINING_MARGIN 2

static bool
ends_in_time (const cv_evacuee_t *r, cv_time_t left)
{
  return left > 0
         && (cv_time_t)r->remaining_tokens * r->token_us * REMAINING_MARGIN
                < left;
}

/* The smallest goes first: more runs are saved before the engine ends.  */
uint32_t
cv_evacuation_pick (const cv_evacuee_t *runs, uint32_t n, cv_time_t left)
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
