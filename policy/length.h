/* Further queries of the distribution of output lengths.  */

#ifndef CV_POLICY_LENGTH_H
#define CV_POLICY_LENGTH_H

#include "policy/policy.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Writes to SURVIVAL[i], for each of N values, the probability that a stream
   that has produced PRODUCED tokens produces more than AHEAD[i] others.  */
void cv_length_survivals (const cv_length_t *l, const cv_length_key_t *key,
                          uint32_t produced, const uint32_t *ahead, size_t n,
                          double *survival);

#ifdef __cplusplus
}
#endif

#endif
