/* Which targets to avoid for a time, from the outcomes of requests.  Load
   pattern: a few targets fail, hang or corrupt part of their responses while
   their health checks pass.  */

#ifndef CV_POLICY_HEALTH_H
#define CV_POLICY_HEALTH_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Weight of the old value in the smoothed share of failed requests.  The first
   is for the requests of one gateway: about the last seven (1 / (1 - 0.85))
   count.  The second is for those of all gateways at one engine: two failures
   in a row are enough to avoid it, because its runs are long and expensive to
   lose.  */
#define CV_HEALTH_DECAY_GATEWAY 0.85
#define CV_HEALTH_DECAY_ENGINE 0.7

typedef struct
{
  double decay;          /* weight of the old value in FAILURE_SHARE */
  double failure_share;  /* smoothed share of failed requests */
  cv_time_t avoid_until; /* not avoided from this time on */
  cv_time_t backoff;     /* last avoidance after failures, 0 after recovery */
} cv_health_t;

/* Failed runs of an engine that are remembered.  After as many later outcomes a
   failure has 0.3 % of its weight left (CV_HEALTH_DECAY_ENGINE to the 16th). */
#define CV_FAILED_RUNS_MAX 16

typedef struct
{
  uint64_t run; /* hash of the name */
  double share; /* the failure's part of the share of failed requests; 0: no
                   failure */
} cv_failed_run_t;

/* The health of an engine by the outcomes of its runs.  A run is reported as
   failed when it is overdue, and may complete later.  */
typedef struct
{
  cv_health_t health;
  cv_failed_run_t failed[CV_FAILED_RUNS_MAX]; /* a ring */
  uint32_t next;                              /* index in FAILED */
  /* The share of failures at the last avoidance without those taken back since,
     and the share from which an engine is avoided.  Both decay with each
     outcome, as the parts in FAILED do.  */
  double avoided_share;
  double avoided_from;
} cv_engine_health_t;

void cv_health_init (cv_health_t *h, double decay);
void cv_health_success (cv_health_t *h);
/* A request that was recorded as a failure, since it was overdue, was served
   after all: the target works and is no longer avoided.  */
void cv_health_late_success (cv_health_t *h);
/* Returns whether this failure causes the target to be avoided, until
   H->avoid_until.  */
bool cv_health_failure (cv_health_t *h, cv_time_t now);
/* A connection to the target failed; it is avoided at once.  */
void cv_health_unreachable (cv_health_t *h, cv_time_t now);
bool cv_health_is_usable (const cv_health_t *h, cv_time_t now);
/* Returns whether the target is usable again after an avoidance that failures
   caused (not cv_health_unreachable), but no request has succeeded since.  */
bool cv_health_is_probing (const cv_health_t *h, cv_time_t now);

void cv_engine_health_init (cv_engine_health_t *e);
void cv_engine_health_success (cv_engine_health_t *e);
/* Returns whether this failure causes the engine to be avoided.  */
bool cv_engine_health_failure (cv_engine_health_t *e, uint64_t run,
                               cv_time_t now);
/* RUN completed.  Returns whether a failure of it was counted; that failure is
   taken back, and an avoidance that would not have begun without it ends.  */
bool cv_engine_health_completed (cv_engine_health_t *e, uint64_t run);
/* RUN is to be started once more: its failure is not taken back any more.  */
void cv_engine_health_restarted (cv_engine_health_t *e, uint64_t run);

#ifdef __cplusplus
}
#endif

#endif
