/* Which targets to avoid for a time, from the outcomes of requests.  Load
   pattern: a few targets fail, hang or corrupt part of their responses while
   their health checks pass.  */

#ifndef CV_POLICY_HEALTH_H
#define CV_POLICY_HEALTH_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Weight of the old value in the smoothed share of failed requests.  The first
   is for the requests of one gateway: about the last seven (1 / (1 - 0.85))
   count.  The second is for those of all gateways at one engine: two failures
   in a row are enough to avoid it, because its runs are long and expensive to
   lose.  */
#define CV_HEALTH_DECAY_GATEWAY 0.85
#define CV_HEALTH_DECAY_ENGINE 0.7

typedef struct
{
  double decay;          /* weight of the old value in FAILURE_SHARE */
  double failure_share;  /* smoothed share of failed requests */
  cv_time_t avoid_until; /* not avoided from this time on */
  cv_time_t backoff;     /* last avoidance after failures, 0 after recovery */
} cv_health_t;

void cv_health_init (cv_health_t *h, double decay);
void cv_health_success (cv_health_t *h);
/* A request that was recorded as a failure, since it was overdue, was served
   after all: the target works and is no longer avoided.  */
void cv_health_late_success (cv_health_t *h);
/* Returns whether this failure causes the target to be avoided, until
   H->avoid_until.  */
bool cv_health_failure (cv_health_t *h, cv_time_t now);
/* Records a failed connection attempt; the target is avoided at once.  */
void cv_health_unreachable (cv_health_t *h, cv_time_t now);
bool cv_health_is_usable (const cv_health_t *h, cv_time_t now);
/* Returns whether the target is usable again after an avoidance that failures
   caused (not cv_health_unreachable), but no request has succeeded since.  */
bool cv_health_is_probing (const cv_health_t *h, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
