/* Order of requests that wait for a reservation.  Load pattern: a burst fills
   all engines; refused callers retry when their latency objective has already
   been missed, and each reservation they get makes another caller late.  */

#ifndef CV_POLICY_URGENCY_H
#define CV_POLICY_URGENCY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long callers of one route wait on their first attempt.  */
typedef struct
{
  double longest_ms; /* decays slowly; 0: no caller yet */
} cv_caller_timeout_t;

/* Records a caller that waits at most DEADLINE_MS.  Returns whether the caller
   is taken to be retrying, because first attempts on the route wait much
   longer.  */
bool cv_caller_timeout_observe (cv_caller_timeout_t *p, uint32_t deadline_ms);

typedef struct
{
  bool is_late;      /* its latency objective has already been missed */
  uint32_t priority; /* of the route, 0 is the highest */
} cv_urgency_t;

/* Returns whether A is served before B, which has waited longer.  */
bool cv_urgency_precedes (const cv_urgency_t *a, const cv_urgency_t *b);

#ifdef __cplusplus
}
#endif

#endif
