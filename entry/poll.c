/* When an entry reads the configuration from the object API.  */

#include "entry/poll.h"

#define FIRST_SPREAD (250 * CV_MS)
/* Intervals vary up to this part of themselves.  */
#define SPREAD 0.5
/* Room for the chance that many entries read in the same second.  */
#define MARGIN_PERCENT 165

void
cv_poll_init (cv_poll_t *p, uint64_t seed)
{
  cv_rng_init (&p->rng, seed);
  p->entries = 0;
}

void
cv_poll_finish (cv_poll_t *p)
{
  cv_rng_finish (&p->rng);
}

cv_time_t
cv_poll_first (cv_poll_t *p)
{
  return (cv_time_t)(cv_rng_uniform (&p->rng) * (double)FIRST_SPREAD);
}

cv_time_t
cv_poll_wait (cv_poll_t *p, cv_time_t alone, uint32_t entries)
{
  cv_time_t least = (cv_time_t)entries * CV_SECOND * MARGIN_PERCENT
                    / (100 * CV_POLLS_PER_S);
  double chance = cv_rng_uniform (&p->rng);

  if (least <= alone)
    return alone + (cv_time_t)(chance * SPREAD * (double)alone);
  /* Many began together: the next read is anywhere in an interval.  */
  if (entries > 2 * p->entries)
    {
      p->entries = entries;
      return alone + (cv_time_t)(chance * (1 + SPREAD) * (double)least);
    }
  return least + (cv_time_t)(chance * SPREAD * (double)least);
}
