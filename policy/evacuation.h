/* Order in which runs are moved off an engine that ends soon.  Load pattern:
   part of the engines is reclaimed with a notice of one to two seconds, time
   enough to copy a few runs one after the other over the engine's link.  */

#ifndef CV_POLICY_EVACUATION_H
#define CV_POLICY_EVACUATION_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_EVACUATION_NONE UINT32_MAX

typedef struct
{
  uint64_t memory_tokens;    /* to be copied */
  uint32_t remaining_tokens; /* output still expected */
  uint32_t token_us;         /* present time per token of the run */
} cv_evacuee_t;

/* The run to move next, or CV_EVACUATION_NONE when each ends by itself in
   LEFT, the time until the engine ends (0: not known).  */
uint32_t cv_evacuation_pick (const cv_evacuee_t *runs, uint32_t n,
                             cv_time_t left);

#ifdef __cplusplus
}
#endif

#endif
