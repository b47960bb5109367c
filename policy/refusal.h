/* How long refused callers should wait before they retry.  Load pattern:
   engines stay full for many seconds; callers that retry early are refused
   again, or displace new callers that could still be served in time.  */

#ifndef CV_POLICY_REFUSAL_H
#define CV_POLICY_REFUSAL_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Recent refusals of one service.  */
typedef struct
{
  double refused_share; /* of its requests, 0 to 1, smoothed */
} cv_refusal_t;

void cv_refusal_record (cv_refusal_t *r, bool refused);
/* Returns the time to wait before a retry, in milliseconds: BASE_MS, more with
   the share of refused requests, and less than a third of LEFT_MS, the time
   until the caller gives up.  DRAW, a random number in [0, 1), spreads the
   retries.  */
uint32_t cv_refusal_retry_after (const cv_refusal_t *r, uint32_t base_ms,
                                 uint32_t left_ms, double draw);

#ifdef __cplusplus
}
#endif

#endif
