/* Avoidance of failing targets.  */

#include "policy/health.h"

/* Share of failed requests from which a target is avoided.  Healthy services
   fail up to one in seven of some kinds of request, which is well below it.  */
#define FAILURE_SHARE_MAX 0.5
#define AVOID_MIN (1 * CV_SECOND)
#define AVOID_MAX (8 * CV_SECOND)
/* A refused connection often means a restart, which takes about a second.  */
#define AVOID_UNREACHABLE (500 * CV_MS)

void
cv_health_init (cv_health_t *h, double decay)
{
  *h = (cv_health_t){ .decay = decay };
}

void
cv_health_success (cv_health_t *h)
{
  h->failure_share *= h->decay;
  if (h->failure_share < FAILURE_SHARE_MAX / 4)
    h->backoff = 0;
}

void
cv_health_late_success (cv_health_t *h)
{
  /* One makes up for the failure.  */
  cv_health_success (h);
  cv_health_success (h);
  h->avoid_until = 0;
}

bool
cv_health_failure (cv_health_t *h, cv_time_t now)
{
  /* The request was sent before the avoidance began.  */
  if (now < h->avoid_until)
    return false;
  h->failure_share = h->decay * h->failure_share + (1 - h->decay);
  if (h->failure_share < FAILURE_SHARE_MAX)
    return false;
  h->backoff = h->backoff == 0 ? AVOID_MIN : 2 * h->backoff;
  if (h->backoff > AVOID_MAX)
    h->backoff = AVOID_MAX;
  h->avoid_until = now + h->backoff;
  /* The next request after the avoidance is a probe: if it fails, the target
     is avoided again.  */
  h->failure_share = FAILURE_SHARE_MAX;
  return true;
}

void
cv_health_unreachable (cv_health_t *h, cv_time_t now)
{
  if (h->avoid_until < now + AVOID_UNREACHABLE)
    h->avoid_until = now + AVOID_UNREACHABLE;
}

bool
cv_health_is_usable (const cv_health_t *h, cv_time_t now)
{
  return now >= h->avoid_until;
}

bool
cv_health_is_probing (const cv_health_t *h, cv_time_t now)
{
  return cv_health_is_usable (h, now) && h->failure_share >= FAILURE_SHARE_MAX;
}
