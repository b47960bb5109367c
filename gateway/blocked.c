/* Requests that limits and pauses of targets let wait for longer than they may:
   they are refused at once.  */

#include "gateway/state.h"

/* Exchanges of the service of X that are sent before X.  */
static uint32_t
count_ahead (const cv_exchange_t *x)
{
  cv_time_t now = cv_now ();
  const cv_exchange_t *other;
  uint32_t n = 0;

  for (other = TAILQ_FIRST (&x->gateway->waiting);
       other != NULL && other != x
       && (other->is_ranked || x->is_ranked
           || !cv_exchange_precedes (x, other, now));
       other = TAILQ_NEXT (other, waiting))
    if (other->service_state == x->service_state
        && !cv_exchange_precedes (x, other, now))
      n++;
  return n;
}

/* X waits until its deadline at least for a permit or a share of a target in
   B.  */
static void
refuse_limited (cv_exchange_t *x, const cv_blocked_targets_t *b, cv_time_t wait)
{
  uint32_t retry_after_ms;

  if (b->limited->is_logged_cold)
    cv_warmup_log_refusal (x, b->limited, wait);
  else
    {
      cv_limit_log_wait (x, b->limited, wait,
                         "limits of all targets are reached", "is refused");
      x->gateway->counts.limit_refusals++;
    }
  cv_refusal_record (&x->service_state->refusals, true);
  retry_after_ms = cv_choose_retry_after (x, (uint32_t)(wait / CV_MS));
  cv_exchange_refuse (x, 503, retry_after_ms, "limits of targets are reached");
}

/* The first target of X that pauses returns after the deadline of X.  */
static void
refuse_paused (cv_exchange_t *x, cv_time_t wait)
{
  cv_refusal_record (&x->service_state->refusals, true);
  cv_exchange_refuse (x, 503,
                      cv_pause_retry_after ((uint32_t)(wait / CV_MS),
                                            cv_rng_uniform (&x->gateway->rng)),
                      "all targets pause");
}

bool
cv_exchange_refuse_blocked (cv_exchange_t *x, bool *is_blocked)
{
  cv_time_t now = cv_now ();
  cv_blocked_targets_t b;
  cv_time_t permitted_at = INT64_MAX;
  /* Its caller may find room elsewhere in time.  */
  cv_time_t wait_until
      = now < x->in_time_until ? x->in_time_until : x->placement_deadline;

  *is_blocked = cv_choose_blocked (x, &b);
  if (x->head_sent || x->may_have_run || !*is_blocked)
    return false;
  if (b.limited != NULL)
    permitted_at
        = now + cv_rate_wait (b.opens_at - now, count_ahead (x), b.per_s);
  /* A warm target takes any number.  */
  if (b.warm_at < permitted_at)
    permitted_at = b.warm_at;
  if (b.returns_at < wait_until || permitted_at < wait_until)
    return false;
  if (b.limited != NULL && permitted_at <= b.returns_at)
    refuse_limited (x, &b, permitted_at - now);
  else
    refuse_paused (x, b.returns_at - now);
  return true;
}
