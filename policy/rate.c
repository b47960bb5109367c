/* Limits of targets.  */

#include <math.h>

#include "policy/rate.h"

/* Requests a second at which a target is tried whose limit is lower: without
   requests it could not state that the limit has ended.  The platform's rule
   leaves five requests in 4 s to a target that takes none.  */
#define TRIAL_PER_S 0.2
/* Most permits at once: one, and those of this time.  With the rate this stays
   below the platform's bound, 1.5 times the limit and five requests in 4 s,
   also while two keepers do not know of each other for half a second.  */
#define BURST_S 0.25
/* Refused requests of this time are expected to be asked for again; others are
   refused by their gateways or sent elsewhere.  */
#define BACKLOG_S 0.25
/* A refused request is asked for again this long after its wait at the
   latest.  */
#define ASK_DELAY (50 * CV_MS)
/* A keeper without requests for this time resigns.  */
#define IDLE_PERIOD (10 * CV_SECOND)

bool
cv_rate_limit_named (cv_rate_limit_t *l, double per_s, cv_time_t at)
{
  double rounded = round (per_s * CV_RATE_UNIT) / CV_RATE_UNIT;
  bool is_changed = !l->is_limited || l->per_s != rounded;

  if (at <= l->evidence_at)
    return false;
  if (!l->is_limited)
    l->since = at;
  l->is_limited = true;
  l->per_s = rounded;
  l->evidence_at = at;
  return is_changed;
}

bool
cv_rate_limit_ended (cv_rate_limit_t *l, cv_time_t sent_at)
{
  bool is_changed = l->is_limited;

  if (sent_at <= l->evidence_at)
    return false;
  l->is_limited = false;
  l->evidence_at = sent_at;
  return is_changed;
}

bool
cv_rate_keeper_is_known (const cv_rate_keeper_t *k, cv_time_t now)
{
  return !k->is_keeper && k->heard_at > 0
         && now - k->heard_at < CV_RATE_KEEPER_TIMEOUT;
}

void
cv_rate_keeper_begin (cv_rate_keeper_t *k, cv_time_t now)
{
  *k = (cv_rate_keeper_t){ .is_keeper = true,
                           .updated_at = now,
                           .asked_at = now };
}

void
cv_rate_keeper_resign (cv_rate_keeper_t *k)
{
  *k = (cv_rate_keeper_t){ 0 };
}

bool
cv_rate_keeper_heard (cv_rate_keeper_t *k, uint64_t own_rank, uint64_t rank,
                      cv_time_t now)
{
  if (k->is_keeper && rank < own_rank)
    return false;
  if (cv_rate_keeper_is_known (k, now) && rank < k->keeper_rank)
    return false;
  if (k->is_keeper)
    cv_rate_keeper_resign (k);
  k->keeper_rank = rank;
  k->heard_at = now;
  return true;
}

void
cv_rate_keeper_left (cv_rate_keeper_t *k, uint64_t rank)
{
  if (!k->is_keeper && k->keeper_rank == rank)
    k->heard_at = 0;
}

bool
cv_rate_keeper_is_idle (const cv_rate_keeper_t *k, cv_time_t now)
{
  return now - k->asked_at > IDLE_PERIOD;
}

static double
burst (double per_s)
{
  return 1 + BURST_S * per_s;
}

static void
update (cv_rate_keeper_t *k, double per_s, cv_time_t now)
{
  double permits = per_s * (double)(now - k->updated_at) / (double)CV_SECOND;

  k->level += permits;
  if (k->level > burst (per_s))
    k->level = burst (per_s);
  k->backlog = k->backlog > permits ? k->backlog - permits : 0;
  k->updated_at = now;
}

/* Whether the last permit is left to a more urgent request.  */
static bool
must_yield (const cv_rate_keeper_t *k, uint32_t priority, cv_time_t now)
{
  return now < k->wait_until && priority > k->wait_priority && k->level < 2;
}

static cv_time_t
refuse (cv_rate_keeper_t *k, double per_s, uint32_t priority, cv_time_t now)
{
  double missing = k->level < 1 ? 1 - k->level : 0;
  cv_time_t wait
      = (cv_time_t)((missing + k->backlog) / per_s * (double)CV_SECOND) + CV_MS;

  k->backlog += 1;
  if (k->backlog > 1 + BACKLOG_S * per_s)
    k->backlog = 1 + BACKLOG_S * per_s;
  if (priority <= k->wait_priority || now >= k->wait_until)
    {
      k->wait_priority = priority;
      k->wait_until = now + wait + ASK_DELAY;
    }
  return wait;
}

cv_rate_reply_t
cv_rate_keeper_ask (cv_rate_keeper_t *k, double per_s, uint32_t priority,
                    cv_time_t now)
{
  double rate = per_s > TRIAL_PER_S ? per_s : TRIAL_PER_S;

  update (k, rate, now);
  k->asked_at = now;
  if (k->level < 1 || must_yield (k, priority, now))
    return (cv_rate_reply_t){ .wait = refuse (k, rate, priority, now) };
  k->level -= 1;
  return (cv_rate_reply_t){ .is_granted = true };
}

void
cv_rate_keeper_returned (cv_rate_keeper_t *k)
{
  k->level += 1;
}

cv_time_t
cv_rate_wait (cv_time_t first, uint32_t ahead, double per_s)
{
  double rate = per_s > TRIAL_PER_S ? per_s : TRIAL_PER_S;

  return (first > 0 ? first : 0)
         + (cv_time_t)((double)ahead / rate * (double)CV_SECOND);
}
