/* The entry's table of requests: its life from submission to last reply.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static void apply_limits (cv_entry_core_t *c);
static void send_parked (cv_entry_core_t *c, cv_time_t now);
static cv_failure_code_t parked_failure (const cv_request_t *r);
static cv_outcome_t failed_outcome (const cv_request_t *r,
                                    cv_failure_code_t code);
static void rejected (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                      const cv_msg_rejected_t *m);
static void accepted (cv_entry_core_t *c, uint32_t target,
                      const cv_msg_accepted_t *m);
static cv_retry_budget_t *budget_of (cv_entry_core_t *c, const cv_request_t *r);
static cv_request_t *request_by_caller (cv_entry_core_t *c, const void *caller);
static struct cv_request_bucket_t *id_bucket (cv_entry_core_t *c, cv_id_t id);
static struct cv_request_bucket_t *caller_bucket (cv_entry_core_t *c,
                                                  const void *caller);

cv_entry_core_t *
cv_entry_new (const cv_entry_options_t *options)
{
  cv_entry_core_t *c = cv_calloc (1, sizeof *c);

  c->options = *options;
  TAILQ_INIT (&c->requests);
  cv_rng_init (&c->rng, options->seed);
  c->router = cv_router_new (options->seed);
  c->limits = cv_limits_new (options->seed);
  c->length = cv_length_new (1024);
  c->metrics = cv_entry_metrics_new ();
  c->confirmed_age_ms = UINT32_MAX;
  return c;
}

void
cv_entry_free (cv_entry_core_t *c)
{
  cv_request_t *r;
  cv_budget_entry_t *b;

  while ((r = TAILQ_FIRST (&c->requests)) != NULL)
    {
      cv_reply_t gone = { .type = CV_REPLY_GONE };

      cv_request_end (c, r->submitted, r, &gone, CV_OUTCOME_INTERRUPTED);
    }
  for (size_t i = 0; i < BUDGET_BUCKETS; i++)
    while ((b = LIST_FIRST (&c->budgets[i])) != NULL)
      {
        LIST_REMOVE (b, link);
        free (b);
      }
  if (c->config != NULL)
    cv_config_unref (c->config);
  cv_rng_finish (&c->rng);
  cv_router_free (c->router);
  cv_limits_free (c->limits);
  cv_length_free (c->length);
  cv_entry_metrics_free (c->metrics);
  free (c->targets);
  free (c);
}

bool
cv_entry_adopt (cv_entry_core_t *c, cv_time_t now, cv_config_t *config)
{
  if (c->config != NULL && config->version <= c->config->version)
    return false;
  if (c->config != NULL)
    cv_config_unref (c->config);
  c->config = cv_config_ref (config);
  c->confirmed_age_ms = UINT32_MAX;
  apply_limits (c);
  cv_entry_metrics_count (c->metrics, CV_COUNT_CONFIGS_ADOPTED);
  cv_entry_targets_hello (c, now);
  send_parked (c, now);
  return true;
}

void
cv_entry_confirmed (cv_entry_core_t *c, cv_time_t now, uint64_t version)
{
  if (c->config == NULL || c->config->version != version)
    return;
  c->confirmed = now;
  c->confirmed_age_ms = 0;
}

cv_config_t *
cv_entry_config (const cv_entry_core_t *c)
{
  return c->config;
}

cv_entry_metrics_t *
cv_entry_metrics (cv_entry_core_t *c)
{
  return c->metrics;
}

void
cv_entry_stop (cv_entry_core_t *c)
{
  c->stopping = true;
}

uint32_t
cv_entry_in_flight (const cv_entry_core_t *c)
{
  return c->in_flight;
}

void
cv_entry_gone (cv_entry_core_t *c, cv_time_t now, void *caller)
{
  cv_request_t *r = request_by_caller (c, caller);

  if (r == NULL)
    return;
  switch (r->kind)
    {
    case REQUEST_STREAM:
      cv_entry_streams_gone (c, now, r);
      break;
    case REQUEST_CALL:
      cv_entry_calls_gone (c, now, r);
      break;
    }
}

void
cv_entry_message (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                  const cv_msg_t *msg)
{
  CV_INVARIANT (target < c->target_count);
  if (!c->targets[target].used)
    return;
  switch (msg->type)
    {
    case CV_MSG_REPORT:
      cv_entry_targets_report (c, now, target, &msg->u.report);
      break;
    case CV_MSG_DOC_PULL:
      cv_entry_targets_doc_pull (c, now, target, msg->u.doc_pull.doc);
      break;
    case CV_MSG_DOC:
      cv_entry_targets_doc (c, now, target, &msg->u.doc);
      break;
    case CV_MSG_ACCEPTED:
      accepted (c, target, &msg->u.accepted);
      break;
    case CV_MSG_REJECTED:
      rejected (c, now, target, &msg->u.rejected);
      break;
    case CV_MSG_TOKENS:
      cv_entry_streams_tokens (c, now, target, &msg->u.tokens);
      break;
    case CV_MSG_END:
      cv_entry_streams_end (c, now, target, &msg->u.end);
      break;
    case CV_MSG_CALL_RESULT:
      cv_entry_calls_result (c, now, target, &msg->u.call_result);
      break;
    default:
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      break;
    }
}

void
cv_entry_tick (cv_entry_core_t *c, cv_time_t now)
{
  cv_request_t *r;
  cv_request_t *next;

  cv_entry_targets_tick (c, now);
  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase == PHASE_PARKED || r->phase == PHASE_AWAIT)
        {
          if (now >= r->parked_until)
            cv_request_fail (c, now, r, parked_failure (r),
                             cv_entry_retry_after (c));
        }
      else if (r->kind == REQUEST_STREAM)
        cv_entry_streams_tick (c, now, r);
      else
        cv_entry_calls_tick (c, now, r);
    }
}

/* ---- for the other files of the core ---- */

uint64_t
cv_entry_name_hash (const char *name)
{
  return cv_hash (name, strlen (name), 0);
}

cv_request_t *
cv_request_new (cv_entry_core_t *c, cv_time_t now, void *caller,
                cv_request_kind_t kind, const char *account)
{
  cv_request_t *r = cv_calloc (1, sizeof *r);

  CV_INVARIANT (request_by_caller (c, caller) == NULL);
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
cv_request_place (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                  uint32_t target)
{
  if (r->target != CV_NO_TARGET)
    {
      c->targets[r->target].requests--;
      cv_router_ended (c->router, now, r->target, &r->route, !r->failed);
      r->failed = false;
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
  cv_request_place (c, now, r, CV_NO_TARGET);
  if (r->admitted)
    cv_limits_ended (c->limits, now, r->account_hash);
  cv_entry_metrics_outcome (c->metrics, r->account, r->class_name, outcome);
  cv_entry_metrics_observe (c->metrics, r->account, r->class_name,
                            CV_MEASURE_DURATION,
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
  cv_request_end (c, now, r, &reply, reply.u.failed.outcome);
}

void
cv_request_ran (cv_request_t *r)
{
  r->ran = true;
}

void
cv_entry_refuse (cv_entry_core_t *c, void *caller, cv_failure_code_t code,
                 uint32_t retry_after_ms)
{
  cv_reply_t reply = { .type = CV_REPLY_FAILED };

  reply.u.failed.code = code;
  reply.u.failed.outcome = cv_failure_info (code)->outcome;
  reply.u.failed.retry_after_ms = retry_after_ms;
  c->options.out.reply (c->options.out.arg, caller, &reply);
}

void
cv_request_park (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_request_place (c, now, r, CV_NO_TARGET);
  /* The side may remember the rejected attempt by its name.  */
  cv_request_set_id (c, r, c->options.out.new_id (c->options.out.arg));
  r->phase = PHASE_PARKED;
  if (r->parked_until == 0)
    r->parked_until = now + PARK_TIMEOUT;
}

void
cv_request_await (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                  const char *name)
{
  (void)cv_copy (r->awaited, sizeof r->awaited, name);
  r->phase = PHASE_AWAIT;
  r->parked_until = now + AWAIT_TIMEOUT;
  c->awaiting++;
}

void
cv_request_first_try (cv_entry_core_t *c, cv_request_t *r)
{
  cv_retry_budget_first (budget_of (c, r));
}

bool
cv_request_may_retry (cv_entry_core_t *c, cv_request_t *r)
{
  if (!cv_retry_budget_take (budget_of (c, r)))
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

void
cv_entry_send (cv_entry_core_t *c, uint32_t target, const cv_msg_t *msg)
{
  c->options.out.send (c->options.out.arg, target, msg);
}

/* ---- local ---- */

static void
apply_limits (cv_entry_core_t *c)
{
  const cv_config_t *config = c->config;

  for (size_t i = 0; i < config->account_count; i++)
    cv_limits_set (c->limits, cv_entry_name_hash (config->accounts[i].name),
                   &config->accounts[i].limits);
  cv_limits_set_share (c->limits,
                       config->limit_share > 0 ? config->limit_share : 1);
}

/* A newer configuration came: requests that waited for it go on.  */
static void
send_parked (cv_entry_core_t *c, cv_time_t now)
{
  cv_request_t *r;
  cv_request_t *next;

  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase != PHASE_PARKED)
        continue;
      if (r->kind == REQUEST_STREAM)
        cv_entry_streams_send (c, now, r, CV_FAIL_NO_TARGET);
      else
        cv_entry_calls_send (c, now, r, CV_FAIL_NO_TARGET);
    }
}

/* An earlier message with a caller's own ticket may have run it.  */
static cv_failure_code_t
parked_failure (const cv_request_t *r)
{
  if (r->kind == REQUEST_CALL && r->u.call.mode == CV_CALL_TICKET)
    return CV_FAIL_UNKNOWN;
  if (r->kind == REQUEST_STREAM && r->u.stream.resumed)
    return CV_FAIL_INTERRUPTED;
  return CV_FAIL_NO_TARGET;
}

/* What did not run by its last attempt may have run by an earlier one.  */
static cv_outcome_t
failed_outcome (const cv_request_t *r, cv_failure_code_t code)
{
  cv_outcome_t outcome = cv_failure_info (code)->outcome;

  if (!r->ran
      || (outcome != CV_OUTCOME_REFUSED && outcome != CV_OUTCOME_NOT_RUN))
    return outcome;
  return r->kind == REQUEST_STREAM ? CV_OUTCOME_INTERRUPTED
                                   : CV_OUTCOME_UNKNOWN;
}

static void
accepted (cv_entry_core_t *c, uint32_t target, const cv_msg_accepted_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->stream);

  if (r == NULL || r->target != target)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  if (r->phase == PHASE_SENT)
    r->phase = PHASE_RUNNING;
}

static void
rejected (cv_entry_core_t *c, cv_time_t now, uint32_t target,
          const cv_msg_rejected_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->id);

  if (r == NULL || r->target != target)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  if (m->reason == CV_REJECT_OLD_CONFIG)
    cv_entry_targets_pull (c, now, target);
  if (r->kind == REQUEST_STREAM)
    cv_entry_streams_rejected (c, now, r, m);
  else
    cv_entry_calls_rejected (c, now, r, m);
}

static cv_retry_budget_t *
budget_of (cv_entry_core_t *c, const cv_request_t *r)
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

static cv_request_t *
request_by_caller (cv_entry_core_t *c, const void *caller)
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
  return &c->by_id[cv_hash (&id, sizeof id, 0) % CORE_BUCKETS];
}

static struct cv_request_bucket_t *
caller_bucket (cv_entry_core_t *c, const void *caller)
{
  return &c->by_caller[cv_hash (&caller, sizeof caller, 0) % CORE_BUCKETS];
}
