/* How long an output will be, from its caller's hint and limit.  Load pattern:
   hints are right at the median but off by a factor of three either way, so
   that memory kept by the hint alone is too much for some runs and is missing
   for others.  */

#ifndef CV_POLICY_OUTPUT_H
#define CV_POLICY_OUTPUT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What is expected of one output, in tokens.  */
typedef struct
{
  uint32_t median;
  uint32_t limit; /* it ends there at the latest */
} cv_output_t;

/* HINT 0: none was given.  */
cv_output_t cv_output_expect (uint32_t hint, uint32_t limit);
/* For each of N distances AHEAD, the probability that an output which has
   PRODUCED tokens goes on for so many more.  */
void cv_output_survivals (const cv_output_t *o, uint32_t produced,
                          const uint32_t *ahead, size_t n, double *alive);

#ifdef __cplusplus
}
#endif

#endif
