/* Further questions to the distribution of output lengths.  */

#ifndef CV_POLICY_LENGTH_H
#define CV_POLICY_LENGTH_H

#include "policy/policy.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Probability that a stream that has produced PRODUCED tokens produces more
     than FURTHER others.  */
  double cv_length_survival (const cv_length_t *l, const cv_length_key_t *key,
                             uint32_t produced, uint32_t further);

#ifdef __cplusplus
}
#endif

#endif
