/* Avoidance of failing targets.  */

#include "policy/health.h"

/* Share of failed requests from which a target is avoided.  Healthy services
   fail up to one in seven of some kinds of request, which is well below it.  */
#define FAILURE_SHARE_MAX 0.5
#define AVOID_MIN (1 * CV_SECOND)
#define AVOID_MAX (8 * CV_SECOND)
/* A refused connection often means a restart, which takes about a second.  */
#define AVOID_UNREACHABLE (500 * CV_MS)

void
cv_health_init (cv_health_t *h, double decay)
{
  *h = (cv_health_t){ .decay = decay };
}

void
cv_health_success (cv_health_t *h)
{
  h->failure_share *= h->decay;
  if (h->failure_share < FAILURE_SHARE_MAX / 4)
    h->backoff = 0;
}

void
cv_health_late_success (cv_health_t *h)
{
  /* One makes up for the failure.  */
  cv_health_success (h);
  cv_health_success (h);
  h->avoid_until = 0;
}

bool
cv_health_failure (cv_health_t *h, cv_time_t now)
{
  /* The request was sent before the avoidance began.  */
  if (now < h->avoid_until)
    return false;
  h->failure_share = h->decay * h->failure_share + (1 - h->decay);
  if (h->failure_share < FAILURE_SHARE_MAX)
    return false;
  h->backoff = h->backoff == 0 ? AVOID_MIN : 2 * h->backoff;
  if (h->backoff > AVOID_MAX)
    h->backoff = AVOID_MAX;
  h->avoid_until = now + h->backoff;
  /* The next request after the avoidance is a probe: if it fails, the target
     is avoided again.  */
  h->failure_share = FAILURE_SHARE_MAX;
  return true;
}

void
cv_health_unreachable (cv_health_t *h, cv_time_t now)
{
  if (h->avoid_until < now + AVOID_UNREACHABLE)
    h->avoid_until = now + AVOID_UNREACHABLE;
}

bool
cv_health_is_usable (const cv_health_t *h, cv_time_t now)
{
  return now >= h->avoid_until;
}

bool
cv_health_is_probing (const cv_health_t *h, cv_time_t now)
{
  return cv_health_is_usable (h, now) && h->failure_share >= FAILURE_SHARE_MAX;
}

void
cv_engine_health_init (cv_engine_health_t *e)
{
  *e = (cv_engine_health_t){ 0 };
  cv_health_init (&e->health, CV_HEALTH_DECAY_ENGINE);
}

static void
decay_failures (cv_engine_health_t *e)
{
  for (uint32_t i = 0; i < CV_FAILED_RUNS_MAX; i++)
    e->failed[i].share *= e->health.decay;
  e->avoided_share *= e->health.decay;
  e->avoided_from *= e->health.decay;
}

void
cv_engine_health_success (cv_engine_health_t *e)
{
  cv_health_success (&e->health);
  decay_failures (e);
}

bool
cv_engine_health_failure (cv_engine_health_t *e, uint64_t run, cv_time_t now)
{
  double share = 1 - e->health.decay;
  double before = e->health.failure_share;

  /* Not counted during an avoidance, so there is nothing to take back.  */
  if (!cv_health_is_usable (&e->health, now))
    return false;
  decay_failures (e);
  e->failed[e->next] = (cv_failed_run_t){ run, share };
  e->next = (e->next + 1) % CV_FAILED_RUNS_MAX;
  if (!cv_health_failure (&e->health, now))
    return false;
  e->avoided_share = e->health.decay * before + share;
  e->avoided_from = FAILURE_SHARE_MAX;
  return true;
}

static cv_failed_run_t *
find_failed (cv_engine_health_t *e, uint64_t run)
{
  for (uint32_t i = 0; i < CV_FAILED_RUNS_MAX; i++)
    if (e->failed[i].share > 0 && e->failed[i].run == run)
      return &e->failed[i];
  return NULL;
}

static void
take_back (cv_engine_health_t *e, cv_failed_run_t *f)
{
  cv_health_t *h = &e->health;

  h->failure_share
      = h->failure_share > f->share ? h->failure_share - f->share : 0;
  e->avoided_share -= f->share;
  if (e->avoided_share < e->avoided_from)
    h->avoid_until = 0;
  f->share = 0;
}

bool
cv_engine_health_completed (cv_engine_health_t *e, uint64_t run)
{
  cv_failed_run_t *f = find_failed (e, run);

  if (f != NULL)
    take_back (e, f);
  cv_engine_health_success (e);
  return f != NULL;
}

void
cv_engine_health_restarted (cv_engine_health_t *e, uint64_t run)
{
  cv_failed_run_t *f = find_failed (e, run);

  if (f != NULL)
    f->share = 0;
}
