/* Avoidance of failing targets.  */

#include "policy/health.h"

/* Part of the old in the smoothed share: about the last eight requests.  */
#define FAILURE_KEEP 0.85
/* Share of failures above which a target is avoided; ordinary services fail
   up to a seventh of some kinds of request.  */
#define FAILURE_MAX 0.5
#define AVOID_FIRST (1 * CV_SECOND)
#define AVOID_MAX (8 * CV_SECOND)
/* A refused connection is often a restart, which takes about a second.  */
#define AVOID_UNREACHABLE (500 * CV_MS)

void
cv_health_init (cv_health_t *h)
{
  *h = (cv_health_t){ 0 };
}

void
cv_health_success (cv_health_t *h)
{
  h->failures *= FAILURE_KEEP;
  if (h->failures < FAILURE_MAX / 4)
    h->back_off = 0;
}

bool
cv_health_failure (cv_health_t *h, cv_time_t now)
{
  h->failures = FAILURE_KEEP * h->failures + (1 - FAILURE_KEEP);
  if (h->failures < FAILURE_MAX)
    return false;
  h->back_off = h->back_off == 0 ? AVOID_FIRST : 2 * h->back_off;
  if (h->back_off > AVOID_MAX)
    h->back_off = AVOID_MAX;
  h->avoid_until = now + h->back_off;
  /* The next request after the avoidance is a trial: one more failure
     avoids the target again.  */
  h->failures = FAILURE_MAX;
  return true;
}

void
cv_health_unreachable (cv_health_t *h, cv_time_t now)
{
  if (h->avoid_until < now + AVOID_UNREACHABLE)
    h->avoid_until = now + AVOID_UNREACHABLE;
}

bool
cv_health_usable (const cv_health_t *h, cv_time_t now)
{
  return now >= h->avoid_until;
}
