/* When an entry reads the configuration from the object API.  */

#ifndef CV_ENTRY_POLL_H
#define CV_ENTRY_POLL_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most reads of the configuration by all entries together, per second.  */
#define CV_POLLS_PER_S 100
/* Most intervals of an entry alone between the reads of one that does not know
   how many there are: 1,800 of them stay within the rate.  */
#define CV_POLL_BLIND_MAX 16

typedef struct
{
  cv_rng_t rng;
  uint32_t entries; /* for which the times are spread */
  unsigned blind;   /* waits in a row without their number */
} cv_poll_t;

void cv_poll_init (cv_poll_t *p, uint64_t seed);
void cv_poll_finish (cv_poll_t *p);
/* Time from the start to the first read.  */
cv_time_t cv_poll_first (cv_poll_t *p);
/* Time to the next read, whether the last one succeeded or not: no less than
   ALONE, the interval of an entry alone, and growing with the number of
   ENTRIES.  Spread, so that an outage or a common start leaves no waves.
   ENTRIES is 0 while their number is unknown: the waits then grow up to
   CV_POLL_BLIND_MAX times ALONE.  */
cv_time_t cv_poll_wait (cv_poll_t *p, cv_time_t alone, uint32_t entries);

#ifdef __cplusplus
}
#endif

#endif
