/* Which targets to leave alone for a while, from the outcomes of requests.
   Load pattern: a few targets fail, hang or garble part of their answers
   while their health checks pass.  */

#ifndef CV_POLICY_HEALTH_H
#define CV_POLICY_HEALTH_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Part of the old in the smoothed share of failures.  One gateway's requests:
   about the last eight count.  Those of all gateways at one engine: two
   failures in a row are enough, since its runs are long and dear.  */
#define CV_HEALTH_KEEP_OWN 0.85
#define CV_HEALTH_KEEP_ALL 0.7

typedef struct
{
  double keep;
  double failures;       /* smoothed share of failed requests */
  cv_time_t avoid_until; /* 0: in use */
  cv_time_t back_off;    /* length of the last avoidance */
} cv_health_t;

void cv_health_init (cv_health_t *h, double keep);
void cv_health_success (cv_health_t *h);
/* True when the target is now to be avoided, until H->avoid_until.  */
bool cv_health_failure (cv_health_t *h, cv_time_t now);
/* No connection came about: the target is avoided at once.  */
void cv_health_unreachable (cv_health_t *h, cv_time_t now);
bool cv_health_usable (const cv_health_t *h, cv_time_t now);
/* In use again after an avoidance, and nothing has succeeded since.  */
bool cv_health_on_trial (const cv_health_t *h, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
