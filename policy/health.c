/* Avoidance of failing targets.  */

#include "policy/health.h"

/* Share of failures above which a target is avoided; ordinary services fail
   up to a seventh of some kinds of request.  */
#define FAILURE_MAX 0.5
#define AVOID_FIRST (1 * CV_SECOND)
#define AVOID_MAX (8 * CV_SECOND)
/* A refused connection is often a restart, which takes about a second.  */
#define AVOID_UNREACHABLE (500 * CV_MS)

void
cv_health_init (cv_health_t *h, double keep)
{
  *h = (cv_health_t){ .keep = keep };
}

void
cv_health_success (cv_health_t *h)
{
  h->failures *= h->keep;
  if (h->failures < FAILURE_MAX / 4)
    h->back_off = 0;
}

bool
cv_health_failure (cv_health_t *h, cv_time_t now)
{
  /* Sent before the avoidance began.  */
  if (now < h->avoid_until)
    return false;
  h->failures = h->keep * h->failures + (1 - h->keep);
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

bool
cv_health_on_trial (const cv_health_t *h, cv_time_t now)
{
  return cv_health_usable (h, now) && h->failures >= FAILURE_MAX;
}
