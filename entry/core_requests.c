/* Request table of an entry: lookup, assignment to targets, replies and
   retry budgets.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static cv_outcome_t failed_outcome (const cv_request_t *r,
                                    cv_failure_code_t code);
static cv_retry_budget_t *find_budget (cv_entry_core_t *c,
                                       const cv_request_t *r);
static struct cv_request_bucket_t *id_bucket (cv_entry_core_t *c, cv_id_t id);
static struct cv_request_bucket_t *caller_bucket (cv_entry_core_t *c,
                                                  const void *caller);

cv_request_t *
cv_request_new (cv_entry_core_t *c, cv_time_t now, void *caller,
                cv_request_kind_t kind, const char *account)
{
  cv_request_t *r = cv_calloc (1, sizeof *r);

  CV_INVARIANT (cv_request_by_caller (c, caller) == NULL);
  r->kind = kind;
  r->caller = caller;
  r->submitted = now;
  r->target = CV_NO_TARGET;
  r->route.avoid = CV_NO_TARGET;
  r->account_hash = cv_entry_name_hash (account);
  (void)cv_copy (r->account, sizeof r->account, account);
  r->id = c->options.out.new_id (c->options.out.arg);
  TAILQ_INSERT_TAIL (&c->requests, r, all);
  LIST_INSERT_HEAD (id_bucket (c, r->id), r, by_id);
  LIST_INSERT_HEAD (caller_bucket (c, caller), r, by_caller);
  c->in_flight++;
  return r;
}

void
cv_request_set_id (cv_entry_core_t *c, cv_request_t *r, cv_id_t id)
{
  LIST_REMOVE (r, by_id);
  r->id = id;
  LIST_INSERT_HEAD (id_bucket (c, id), r, by_id);
}

cv_request_t *
cv_request_by_id (cv_entry_core_t *c, cv_id_t id)
{
  cv_request_t *r;

  LIST_FOREACH (r, id_bucket (c, id), by_id)
  if (cv_id_equal (r->id, id))
    return r;
  return NULL;
}

void
cv_request_assign (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                   uint32_t target)
{
  if (r->target != CV_NO_TARGET)
    {
      c->targets[r->target].requests--;
      cv_router_ended (c->router, now, r->target, &r->route, !r->target_failed);
      r->target_failed = false;
    }
  r->target = target;
  if (target == CV_NO_TARGET)
    return;
  r->incarnation = c->targets[target].incarnation;
  c->targets[target].requests++;
  cv_router_started (c->router, now, target, &r->route);
}

void
cv_request_end (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                const cv_reply_t *reply, cv_outcome_t outcome)
{
  cv_request_assign (c, now, r, CV_NO_TARGET);
  if (r->admitted)
    cv_limits_ended (c->limits, now, r->account_hash);
  cv_entry_metrics_outcome (cv_request_series (c, r), outcome);
  cv_entry_metrics_observe (cv_request_series (c, r), CV_MEASURE_DURATION,
                            (double)(now - r->submitted) / 1e6);
  TAILQ_REMOVE (&c->requests, r, all);
  LIST_REMOVE (r, by_id);
  LIST_REMOVE (r, by_caller);
  c->in_flight--;
  c->options.out.reply (c->options.out.arg, r->caller, reply);
  switch (r->kind)
    {
    case REQUEST_STREAM:
      cv_entry_streams_finish (r);
      break;
    case REQUEST_CALL:
      cv_entry_calls_finish (r);
      break;
    }
  free (r);
}

void
cv_request_fail (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                 cv_failure_code_t code, uint32_t retry_after_ms)
{
  cv_reply_t reply = { .type = CV_REPLY_FAILED };

  reply.u.failed.code = code;
  reply.u.failed.outcome = failed_outcome (r, code);
  reply.u.failed.retry_after_ms = retry_after_ms;
  cv_entry_metrics_failure (cv_request_series (c, r), (int)code);
  cv_request_end (c, now, r, &reply, reply.u.failed.outcome);
}

cv_series_t *
cv_request_series (cv_entry_core_t *c, cv_request_t *r)
{
  if (r->series == NULL)
    r->series = cv_entry_metrics_series (c->metrics, r->account, r->class_name);
  return r->series;
}

void
cv_request_mark_may_have_run (cv_request_t *r)
{
  r->may_have_run = true;
}

void
cv_entry_refuse (cv_entry_core_t *c, void *caller, cv_failure_code_t code,
                 uint32_t retry_after_ms)
{
  cv_reply_t reply = { .type = CV_REPLY_FAILED };

  reply.u.failed.code = code;
  cv_entry_metrics_failure (cv_entry_metrics_series (c->metrics, "", ""),
                            (int)code);
  reply.u.failed.outcome = cv_failure_info (code)->outcome;
  reply.u.failed.retry_after_ms = retry_after_ms;
  c->options.out.reply (c->options.out.arg, caller, &reply);
}

void
cv_request_wait_config (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_request_assign (c, now, r, CV_NO_TARGET);
  /* The side may still know the rejected attempt by its id.  */
  cv_request_set_id (c, r, c->options.out.new_id (c->options.out.arg));
  r->phase = PHASE_WAIT_CONFIG;
  if (r->wait_until == 0)
    r->wait_until = now + CONFIG_WAIT_TIMEOUT;
}

void
cv_request_wait_target (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                        const char *name)
{
  (void)cv_copy (r->awaited_target, sizeof r->awaited_target, name);
  r->phase = PHASE_WAIT_TARGET;
  r->wait_until = now + TARGET_WAIT_TIMEOUT;
  c->awaiting++;
  if (c->options.out.connect_target != NULL)
    c->options.out.connect_target (c->options.out.arg, name);
}

void
cv_request_count_first_attempt (cv_entry_core_t *c, cv_request_t *r)
{
  cv_retry_budget_first (find_budget (c, r));
}

bool
cv_request_take_retry (cv_entry_core_t *c, cv_request_t *r)
{
  if (!cv_retry_budget_take (find_budget (c, r)))
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_RETRIES_DENIED);
      return false;
    }
  cv_entry_metrics_count (c->metrics, CV_COUNT_RETRIES);
  return true;
}

uint32_t
cv_entry_retry_after (cv_entry_core_t *c)
{
  return cv_retry_after_ms (&c->rng, RETRY_AFTER_MS);
}

/* ---- local ---- */

/* The outcome over all attempts: a request whose last attempt did not run may
   have run in an earlier one.  */
static cv_outcome_t
failed_outcome (const cv_request_t *r, cv_failure_code_t code)
{
  cv_outcome_t outcome = cv_failure_info (code)->outcome;

  if (!r->may_have_run
      || (outcome != CV_OUTCOME_REFUSED && outcome != CV_OUTCOME_NOT_RUN))
    return outcome;
  return r->kind == REQUEST_STREAM ? CV_OUTCOME_INTERRUPTED
                                   : CV_OUTCOME_UNKNOWN;
}

static cv_retry_budget_t *
find_budget (cv_entry_core_t *c, const cv_request_t *r)
{
  size_t bucket = (size_t)((r->account_hash ^ r->pool) % BUDGET_BUCKETS);
  cv_budget_entry_t *b;

  LIST_FOREACH (b, &c->budgets[bucket], link)
  if (b->account == r->account_hash && b->pool == r->pool)
    return &b->budget;
  b = cv_calloc (1, sizeof *b);
  b->account = r->account_hash;
  b->pool = r->pool;
  cv_retry_budget_init (&b->budget);
  LIST_INSERT_HEAD (&c->budgets[bucket], b, link);
  return &b->budget;
}

cv_request_t *
cv_request_by_caller (cv_entry_core_t *c, const void *caller)
{
  cv_request_t *r;

  LIST_FOREACH (r, caller_bucket (c, caller), by_caller)
  if (r->caller == caller)
    return r;
  return NULL;
}

static struct cv_request_bucket_t *
id_bucket (cv_entry_core_t *c, cv_id_t id)
{
  return &c->by_id[cv_hash (&id, sizeof id, 0) % REQUEST_BUCKETS];
}

static struct cv_request_bucket_t *
caller_bucket (cv_entry_core_t *c, const void *caller)
{
  return &c->by_caller[cv_hash (&caller, sizeof caller, 0) % REQUEST_BUCKETS];
}
