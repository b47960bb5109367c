/* Order of requests that wait for a reservation.  */

#include "policy/urgency.h"

/* The timeouts of first attempts on one route differ by about a sixth.  A retry
   has only the time that its earlier attempts left, so a caller with less than
   this fraction of the longest timeout is taken to be retrying.  */
#define FIRST_ATTEMPT_FRACTION 0.83
/* Weight of a caller that waits for less than the longest, so that the effect
   of one unusually long timeout decays over some hundred callers.  */
#define SHORTER_WEIGHT 0.002

bool
cv_caller_timeout_observe (cv_caller_timeout_t *p, uint32_t deadline_ms)
{
  if (deadline_ms >= p->longest_ms)
    p->longest_ms = deadline_ms;
  else
    p->longest_ms += SHORTER_WEIGHT * (deadline_ms - p->longest_ms);
  return deadline_ms < FIRST_ATTEMPT_FRACTION * p->longest_ms;
}

bool
cv_urgency_precedes (const cv_urgency_t *a, const cv_urgency_t *b)
{
  if (a->is_late != b->is_late)
    return b->is_late;
  return a->priority < b->priority;
}
