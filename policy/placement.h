/* Choice of the target for a request or a migration.  Load pattern: engines are
   nearly full, their runs grow, and prompts queue for prefill.  */

#ifndef CV_POLICY_PLACEMENT_H
#define CV_POLICY_PLACEMENT_H

#include "policy/pace.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_PLACEMENT_NONE UINT32_MAX

/* A target to choose from.  Memory is in tokens.  */
typedef struct
{
  bool usable;
  bool same_domain; /* in the gateway's failure domain, or for a migration in
                       that of the source engine */
  uint64_t memory_total; /* 0: a plain service, not an engine */
  uint64_t memory_used;  /* expected peak of its runs and incoming migrations */
  uint64_t prompt_backlog; /* prompt tokens that wait for prefill */
  uint32_t in_flight;      /* requests of this process */
  uint32_t slots; /* of a plain service, 0: no limit; not used for engines */
  /* Of an engine: pace as in policy/pace.h, and runs that have begun their
     output.  A WORST of 0 counts as FACTOR.  */
  cv_pace_estimate_t pace;
  uint32_t streams;
} cv_candidate_t;

typedef struct
{
  uint64_t memory;       /* needed at the target, in tokens; 0: no generation */
  bool is_migration;     /* a migration: KV cache is copied, no prefill */
  double fill;           /* largest fraction of the memory that may be used */
  uint32_t gap_limit_ms; /* most between two events of a stream, 0: none */
  uint32_t events;       /* expected, of a stream */
  uint32_t event_tokens; /* of one event */
} cv_placement_work_t;

/* Returns the index of the best target, or CV_PLACEMENT_NONE when none has
   capacity.  DRAW is a random number in [0, 1) that breaks ties.  */
uint32_t cv_placement_pick (const cv_candidate_t *candidates, uint32_t n,
                            const cv_placement_work_t *work, double draw);

#ifdef __cplusplus
}
#endif

#endif
