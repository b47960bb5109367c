/* Schedule by which an entry reads the configuration from the object API.  */

#include "entry/poll.h"

/* Upper bound of the first wait.  */
#define FIRST_WAIT_MAX (250 * CV_MS)
/* Upper bound of the random addition to a wait, as a fraction of the wait.  */
#define JITTER_FRACTION 0.5
/* Minimum interval of an entry, as a percentage of the interval at which all
   entries together read CV_POLLS_PER_S on average.  The excess over 100 leaves
   room for random peaks of reads in the same second.  */
#define PEAK_INTERVAL_PERCENT 165
/* Growth of consecutive waits while the number of entries is unknown.  */
#define BACKOFF_FACTOR 4

static cv_time_t backoff_wait (cv_poll_schedule_t *p, cv_time_t base);

void
cv_poll_init (cv_poll_schedule_t *p, uint64_t seed)
{
  cv_rng_init (&p->rng, seed);
  p->entries = 0;
  p->backoffs = 0;
}

void
cv_poll_finish (cv_poll_schedule_t *p)
{
  cv_rng_finish (&p->rng);
}

cv_time_t
cv_poll_first_wait (cv_poll_schedule_t *p)
{
  return (cv_time_t)(cv_rng_uniform (&p->rng) * (double)FIRST_WAIT_MAX);
}

cv_time_t
cv_poll_next_wait (cv_poll_schedule_t *p, cv_time_t base, uint32_t entries)
{
  cv_time_t min_interval = (cv_time_t)entries * CV_SECOND
                           * PEAK_INTERVAL_PERCENT / (100 * CV_POLLS_PER_S);
  double fraction;

  if (entries == 0)
    return backoff_wait (p, base);
  p->backoffs = 0;
  fraction = cv_rng_uniform (&p->rng);
  if (min_interval <= base)
    return base + (cv_time_t)(fraction * JITTER_FRACTION * (double)base);
  /* The number of entries has more than doubled, as after a common start, so
     the next read is spread over a whole interval.  */
  if (entries > 2 * p->entries)
    {
      p->entries = entries;
      return base
             + (cv_time_t)(fraction * (1 + JITTER_FRACTION)
                           * (double)min_interval);
    }
  return min_interval
         + (cv_time_t)(fraction * JITTER_FRACTION * (double)min_interval);
}

static cv_time_t
backoff_wait (cv_poll_schedule_t *p, cv_time_t base)
{
  cv_time_t wait = base;

  for (unsigned i = 0; i <= p->backoffs && wait < CV_POLL_BACKOFF_MAX * base;
       i++)
    wait *= BACKOFF_FACTOR;
  p->backoffs++;
  return wait
         + (cv_time_t)(cv_rng_uniform (&p->rng) * JITTER_FRACTION
                       * (double)wait);
}
