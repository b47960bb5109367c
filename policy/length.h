/* Further questions to the distribution of output lengths.  */

#ifndef CV_POLICY_LENGTH_H
#define CV_POLICY_LENGTH_H

#include "policy/policy.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Probabilities that a stream that has produced PRODUCED tokens produces
   more than FURTHER[i] others, for N of them, into OUT.  */
void cv_length_survivals (const cv_length_t *l, const cv_length_key_t *key,
                          uint32_t produced, const uint32_t *further, size_t n,
                          double *out);

#ifdef __cplusplus
}
#endif

#endif
