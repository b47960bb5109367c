/* When refused callers should come back.  Load pattern: engines are full for
   seconds on end; callers that come back soon are refused again, or take the
   place of new ones that could still be served in time.  */

#ifndef CV_POLICY_REFUSAL_H
#define CV_POLICY_REFUSAL_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Share of a service's requests that were refused of late.  */
typedef struct
{
  double pressure; /* 0 to 1, smoothed */
} cv_refusal_t;

void cv_refusal_note (cv_refusal_t *r, bool refused);
/* Milliseconds to come back after: BASE_MS and more the more were refused,
   spread so that returns do not coincide, at most a third of LEFT_MS, beyond
   which callers do not wait.  */
uint32_t cv_refusal_retry_after (const cv_refusal_t *r, uint32_t base_ms,
                                 uint32_t left_ms, double draw);

#ifdef __cplusplus
}
#endif

#endif
