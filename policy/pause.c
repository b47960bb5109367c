/* Pauses of targets.  */

#include "policy/pause.h"

/* The number of requests in flight that a target may get after a pause rises by
   one in each step, for the period.  */
#define RETURN_STEP (100 * CV_MS)
#define RETURN_PERIOD (1 * CV_SECOND)
/* Runs that are sent in a pause: one less than the platform allows, as a
   request may have been on its way.  */
#define EXEMPTED_RUNS_MAX 1

bool
cv_pause_ask (cv_pause_t *p, cv_time_t now, cv_time_t length)
{
  bool begins = !cv_pause_is_in_force (p, now);

  p->asked_at = now;
  if (begins)
    p->exempted_runs = 0;
  if (now + length > p->until)
    p->until = now + length;
  return begins;
}

bool
cv_pause_is_in_force (const cv_pause_t *p, cv_time_t now)
{
  return now < p->until;
}

bool
cv_pause_was_asked_within (const cv_pause_t *p, cv_time_t period, cv_time_t now)
{
  return p->until != 0 && now - p->asked_at < period;
}

bool
cv_pause_exempt_run (cv_pause_t *p)
{
  if (p->exempted_runs == EXEMPTED_RUNS_MAX)
    return false;
  p->exempted_runs++;
  return true;
}

bool
cv_pause_has_room (const cv_pause_t *p, uint32_t in_flight, cv_time_t now)
{
  cv_time_t since = now - p->until;

  if (p->until == 0 || since >= RETURN_PERIOD)
    return true;
  return since >= 0 && in_flight < 1 + (uint32_t)(since / RETURN_STEP);
}

uint32_t
cv_pause_retry_after (uint32_t wait_ms, double draw)
{
  return wait_ms + 1 + (uint32_t)(draw * (double)RETURN_PERIOD / (double)CV_MS);
}
