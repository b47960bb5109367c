/* Order of requests that wait for a reservation.  Load pattern: a burst fills
   all engines, and callers are refused.  By the time they retry, their latency
   objective has been missed; if their retries (late requests) got memory first,
   new callers would have to wait until they are late too.  */

#ifndef CV_POLICY_URGENCY_H
#define CV_POLICY_URGENCY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest timeout of one route's callers, taken as that of a first attempt.  */
typedef struct
{
  double longest_ms; /* decays slowly towards shorter ones; 0: no caller yet */
} cv_caller_timeout_t;

/* Records a caller that still waits at most DEADLINE_MS.  Returns whether its
   request is taken to be late, a retry, because first attempts on the route
   have much longer timeouts.  */
bool cv_caller_timeout_observe (cv_caller_timeout_t *p, uint32_t deadline_ms);

typedef struct
{
  bool is_late;      /* a retry whose latency objective has been missed */
  uint32_t priority; /* of the route, 0 is the highest */
} cv_urgency_t;

/* Returns whether A is served before B, which has waited longer.  */
bool cv_urgency_precedes (const cv_urgency_t *a, const cv_urgency_t *b);

#ifdef __cplusplus
}
#endif

#endif
