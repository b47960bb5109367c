/* Schedule by which an entry reads the configuration from the object API.  */

#ifndef CV_ENTRY_POLL_H
#define CV_ENTRY_POLL_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Rate of configuration reads that all entries together stay within.  When all
   entries restart together, single seconds may have up to twice as many.  */
#define CV_POLLS_PER_S 100
/* Maximum wait before jitter, as a multiple of the base interval, of an entry
   that does not know the number of entries.  1,800 such entries stay within the
   rate.  */
#define CV_POLL_BACKOFF_MAX 16

typedef struct
{
  cv_rng_t rng;
  uint32_t entries;  /* number of entries at the last spread over an interval */
  unsigned backoffs; /* consecutive waits with an unknown number of entries */
} cv_poll_schedule_t;

void cv_poll_init (cv_poll_schedule_t *p, uint64_t seed);
void cv_poll_finish (cv_poll_schedule_t *p);
/* Time from the start of the process to the first read.  */
cv_time_t cv_poll_first_wait (cv_poll_schedule_t *p);
/* Time to the next read, whether the last one succeeded or not.  It is at least
   BASE, the interval of a single entry, and grows with the number of ENTRIES.
   Jitter keeps entries from reading in step after an outage or a common start.
   ENTRIES is 0 while the number is unknown; the waits then grow up to
   CV_POLL_BACKOFF_MAX times BASE, plus jitter of at most half of that.  */
cv_time_t cv_poll_next_wait (cv_poll_schedule_t *p, cv_time_t base,
                             uint32_t entries);

#ifdef __cplusplus
}
#endif

#endif
