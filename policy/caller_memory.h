/* Whom to shed when callers make a process hold too much memory.  Load pattern:
   many callers send large bodies, most of which never end, or read nothing of
   large answers, while others send ordinary small requests.  */

#ifndef CV_POLICY_CALLER_MEMORY_H
#define CV_POLICY_CALLER_MEMORY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A caller for which more is held is large.  Prompts of 6,000 tokens take some
   25 KB.  */
#define CV_CALLER_SMALL_BYTES (64u * 1024)

/* Bytes held for callers.  */
typedef struct
{
  uint64_t all;
  uint64_t large; /* for large callers; the rest is a reserve for small ones */
} cv_caller_memory_t;

/* What a caller's memory is held for.  */
typedef enum
{
  CV_HELD_FOR_CALLER = 1, /* it has to send the rest of its request, or to read
                             more of its answer */
  CV_HELD_FOR_PLACE,      /* its request waits for a target */
  CV_HELD_AT_TARGET       /* a target has its request */
} cv_held_stage_t;

typedef struct
{
  cv_held_stage_t stage;
  uint64_t bytes;
  cv_time_t since; /* start of the request, or of waiting for one */
  /* Of CV_HELD_FOR_CALLER: the caller last sent or read a part.  */
  cv_time_t progress_at;
} cv_caller_hold_t;

/* The limits that follow from the memory of the process.  */
cv_caller_memory_t cv_caller_memory_limits (uint32_t memory_mb);
/* The sums of COUNT holds.  */
cv_caller_memory_t cv_caller_memory_sum (const cv_caller_hold_t *holds,
                                         size_t count);
/* Whether SUM exceeds LIMITS.  A single large caller may use the reserve.  */
bool cv_caller_memory_is_short (const cv_caller_memory_t *sum, size_t large,
                                const cv_caller_memory_t *limits);
/* Chooses whom to shed until the memory held is an eighth below LIMITS, so that
   the next bytes do not need another choice.  Writes to SHED the indices of
   those, and returns their number: 0 if HOLDS does not exceed LIMITS.  First
   are callers without progress for a while, then those that progress or wait
   for a target, last those whose request a target has; among each of these,
   those that held the most for the longest time with the least progress.  */
size_t cv_caller_memory_shed (const cv_caller_hold_t *holds, size_t count,
                              const cv_caller_memory_t *limits, cv_time_t now,
                              size_t *shed);
/* Whether the caller of H lets its process wait.  */
bool cv_caller_is_stalled (const cv_caller_hold_t *h, cv_time_t now);
/* Chooses the connection that gives way to a new one when there are too many:
   the stalled one of the highest weight, or COUNT if none is stalled.  */
size_t cv_caller_memory_give_way (const cv_caller_hold_t *holds, size_t count,
                                  cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
