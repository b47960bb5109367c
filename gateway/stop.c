/* Exchanges of a gateway that is stopping: whether they still end in time.  */

#include "gateway/state.h"

/* Retry-After while stopping: another gateway takes the request at once.  */
#define RETRY_STOPPING_MS 20

/* A request that was taken early and waits for a target until late in the stop
   can still be refused, and so is as late as one that is taken then.  */
static bool
is_late_in_stop (const cv_exchange_t *x)
{
  return cv_stop_is_late (&x->gateway->stop,
                          x->target != NULL ? x->sent_at : cv_now ());
}

static void
estimate_stop_work (const cv_exchange_t *x, cv_stop_work_t *out)
{
  const cv_caller_request_t *q = &x->request;
  cv_stop_request_t r
      = { .objective = x->route->objective_ms * CV_MS,
          .gap_objective = x->route->gap_objective_ms * CV_MS,
          .event_tokens = x->service->engine.event_tokens,
          .prefill = cv_exchange_prefill_time (x),
          .expected_tokens = (uint32_t)(x->need_tokens - q->prompt_tokens),
          .output_limit = q->output_limit,
          .is_generation = cv_exchange_is_generation (x) };

  cv_stop_estimate (&r, is_late_in_stop (x), out);
}

bool
cv_exchange_ends_before_stop (const cv_exchange_t *x)
{
  cv_stop_work_t work;

  estimate_stop_work (x, &work);
  return cv_stop_fits (&x->gateway->stop, cv_now (), &work);
}

bool
cv_exchange_can_begin_response (const cv_exchange_t *x)
{
  cv_stop_work_t work;

  if (!x->gateway->stopping)
    return true;
  /* The length of another response than a generation's is unknown.  */
  if (!cv_exchange_is_generation (x))
    return x->deadline <= x->gateway->stop.ends_at;
  estimate_stop_work (x, &work);
  work.until_head = 0;
  return cv_stop_fits (&x->gateway->stop, cv_now (), &work);
}

void
cv_exchange_refuse_stopping (cv_exchange_t *x, const char *reason)
{
  cv_exchange_refuse (
      x, 503, cv_retry_after_ms (&x->gateway->rng, RETRY_STOPPING_MS), reason);
}

bool
cv_exchange_refuse_near_stop (cv_exchange_t *x)
{
  if (!x->gateway->stopping || x->head_sent || x->may_have_run
      || cv_exchange_ends_before_stop (x))
    return false;
  cv_exchange_refuse_stopping (x, "gateway stops too soon");
  return true;
}
