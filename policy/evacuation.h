/* Evacuation: the order in which generations (runs) are migrated off an engine
   that is about to stop.  The destination reserves memory for each with the
   purpose CV_RESERVE_RESCUE.  Load pattern: some engines are reclaimed with one
   or two seconds of notice, which is enough to copy a few generations one after
   the other over the engine's network link.  */

#ifndef CV_POLICY_EVACUATION_H
#define CV_POLICY_EVACUATION_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_EVACUATION_NONE UINT32_MAX

typedef struct
{
  uint64_t memory_tokens;    /* KV cache to copy */
  uint32_t remaining_tokens; /* expected output still to be generated */
  uint32_t token_us;         /* current time per output token */
} cv_evacuation_candidate_t;

/* Returns the index of the run to migrate next, or CV_EVACUATION_NONE when
   every run is expected to end within LEFT, the time until the engine stops
   (0: unknown).  */
uint32_t cv_evacuation_pick (const cv_evacuation_candidate_t *runs, uint32_t n,
                             cv_time_t left);

#ifdef __cplusplus
}
#endif

#endif
