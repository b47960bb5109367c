/* Requests for which no target has room in one pass over the queue.  Load
   pattern: engines are full and tens of requests wait; to compare all targets
   for each of them takes a small gateway longer than a stream may pause.

   What no target takes of one kind, none takes of a larger size either, until
   something ends.  */

#ifndef CV_POLICY_UNPLACED_H
#define CV_POLICY_UNPLACED_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Kinds and sizes that are remembered; of more, targets are compared again.  */
#define CV_UNPLACED_MAX 16

/* A request.  Those of one KIND may be sent to the same targets.  */
typedef struct
{
  uint64_t kind;
  uint64_t need_tokens; /* memory expected at its end */
  uint64_t prompt_tokens;
} cv_unplaced_request_t;

/* All zero at the start of a pass.  */
typedef struct
{
  cv_unplaced_request_t requests[CV_UNPLACED_MAX];
  uint32_t count;
} cv_unplaced_t;

/* No target has room for R.  */
void cv_unplaced_add (cv_unplaced_t *u, const cv_unplaced_request_t *r);
/* Whether no target has room for R, since none had for one of its kind that
   needs no more.  */
bool cv_unplaced_covers (const cv_unplaced_t *u,
                         const cv_unplaced_request_t *r);

#ifdef __cplusplus
}
#endif

#endif
