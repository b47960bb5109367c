/* Choice of the target for a request or for a run that moves.  Load pattern:
   engines close to full, whose memory a run fills further while it goes on,
   beside prompts that queue to be read.  */

#ifndef CV_POLICY_PLACEMENT_H
#define CV_POLICY_PLACEMENT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_PLACEMENT_NONE UINT32_MAX

/* A target as the chooser sees it.  Memory is in tokens.  */
typedef struct
{
  bool usable;
  bool same_domain;        /* in the domain that its data comes from */
  uint64_t memory_total;   /* 0: a plain service */
  uint64_t memory_used;    /* as its runs are expected to need it, and copies */
  uint64_t prompt_backlog; /* tokens of prompts that it has still to read */
  uint32_t in_flight;      /* requests of the chooser */
  uint32_t slots;
} cv_candidate_t;

typedef struct
{
  uint64_t memory; /* tokens that it needs there; 0: no generation */
  bool is_move;    /* memory is copied there and no prompt is read */
  double fill;     /* part of the memory that may be used */
} cv_placement_work_t;

/* The index of the best target, or CV_PLACEMENT_NONE when none has room.
   DRAW in [0, 1) breaks ties.  */
uint32_t cv_placement_pick (const cv_candidate_t *candidates, uint32_t n,
                            const cv_placement_work_t *work, double draw);
#ifdef __cplusplus
}
#endif

#endif
