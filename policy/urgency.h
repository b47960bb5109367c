/* Who goes first among requests that wait for room.  Load pattern: a burst
   fills all engines; callers that were refused come back when their objective
   is missed already, and each place that they take makes another caller late.
 */

#ifndef CV_POLICY_URGENCY_H
#define CV_POLICY_URGENCY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How long the callers of one route wait when they come first.  */
typedef struct
{
  double patience_ms; /* 0: nobody has come yet */
} cv_patience_t;

/* Note a caller that waits for DEADLINE_MS more; whether it has come before and
   lost the time that it lacks.  */
bool cv_patience_note (cv_patience_t *p, uint32_t deadline_ms);

typedef struct
{
  bool is_late;      /* its objective cannot be met any more */
  uint32_t priority; /* of the route, 0 first */
} cv_urgency_t;

/* Whether A goes before B, which has waited for longer.  */
bool cv_urgency_overtakes (const cv_urgency_t *a, const cv_urgency_t *b);

#ifdef __cplusplus
}
#endif

#endif
