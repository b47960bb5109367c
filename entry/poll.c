/* When an entry reads the configuration from the object API.  */

#include "entry/poll.h"

#define FIRST_SPREAD (250 * CV_MS)
/* Intervals vary up to this part of themselves.  */
#define SPREAD 0.5
/* Room for the chance that many entries read in the same second.  */
#define MARGIN_PERCENT 165
/* Growth of the waits of an entry that does not know how many there are.  */
#define BLIND_FACTOR 4

static cv_time_t blind_wait (cv_poll_t *p, cv_time_t alone);

void
cv_poll_init (cv_poll_t *p, uint64_t seed)
{
  cv_rng_init (&p->rng, seed);
  p->entries = 0;
  p->blind = 0;
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
  double chance;

  if (entries == 0)
    return blind_wait (p, alone);
  p->blind = 0;
  chance = cv_rng_uniform (&p->rng);
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

static cv_time_t
blind_wait (cv_poll_t *p, cv_time_t alone)
{
  cv_time_t wait = alone;

  for (unsigned i = 0; i <= p->blind && wait < CV_POLL_BLIND_MAX * alone; i++)
    wait *= BLIND_FACTOR;
  p->blind++;
  return wait + (cv_time_t)(cv_rng_uniform (&p->rng) * SPREAD * (double)wait);
}
