/* Estimate of an output's length from its caller's hint and limit.  Load
   pattern: hints are correct in the median, but one standard deviation is a
   factor of three either way, so that memory reserved by the hint alone is too
   much for some runs and too little for others.  */

#ifndef CV_POLICY_OUTPUT_H
#define CV_POLICY_OUTPUT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Expected length of one output, in tokens.  */
typedef struct
{
  uint32_t median;
  uint32_t limit; /* longest possible output */
} cv_output_t;

/* Estimates the length in tokens from HINT (0: no hint) and LIMIT.  */
cv_output_t cv_output_estimate (uint32_t hint, uint32_t limit);
/* Writes to SURVIVAL, for each of the N values in AHEAD, the probability that
   an output of PRODUCED tokens so far has more than that many still to come. */
void cv_output_survivals (const cv_output_t *o, uint32_t produced,
                          const uint32_t *ahead, size_t n, double *survival);

#ifdef __cplusplus
}
#endif

#endif
