/* Targets that turn requests away and ask for none for a time.  Load pattern: a
   target that was overloaded takes requests again at a known time, at which
   those that other targets could not take are waiting.  */

#ifndef CV_POLICY_PAUSE_H
#define CV_POLICY_PAUSE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Of one target at one gateway.  */
typedef struct
{
  cv_time_t until;        /* end of the last pause, 0: there was none */
  cv_time_t asked_at;     /* the last time that it was asked for */
  uint32_t exempted_runs; /* in this pause */
} cv_pause_t;

/* The target asks for no requests until NOW + LENGTH.  Returns whether a pause
   begins; the end of one in force is never brought forward.  */
bool cv_pause_ask (cv_pause_t *p, cv_time_t now, cv_time_t length);
bool cv_pause_is_in_force (const cv_pause_t *p, cv_time_t now);
/* Whether it was asked for within PERIOD before NOW.  */
bool cv_pause_was_asked_within (const cv_pause_t *p, cv_time_t period,
                                cv_time_t now);
/* Whether a run that can go on at this target only may be sent there in the
   pause.  The platform allows two requests in each.  */
bool cv_pause_exempt_run (cv_pause_t *p);
/* Whether a target with IN_FLIGHT requests of this gateway may get another one:
   after a pause their number rises gradually.  */
bool cv_pause_has_room (const cv_pause_t *p, uint32_t in_flight, cv_time_t now);
/* Milliseconds until a refused caller is to retry that waits for the end of a
   pause, WAIT_MS from now.  DRAW, a random number in [0, 1), spreads the
   retries over the time in which the load returns.  */
uint32_t cv_pause_retry_after (uint32_t wait_ms, double draw);

#ifdef __cplusplus
}
#endif

#endif
