/* Entry core: creation, dispatch of messages and the periodic tick.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static cv_failure_code_t wait_failure (const cv_request_t *r);
static void handle_rejected (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                             const cv_msg_rejected_t *m);
static void handle_accepted (cv_entry_core_t *c, uint32_t target,
                             const cv_msg_accepted_t *m);

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
  c->suspects.table = cv_suspects_new ();
  cv_buf_init (&c->suspects.body);
  c->metrics = cv_entry_metrics_new ();
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
  cv_config_unref (c->config);
  for (size_t i = 0; i < CV_PREVIOUS_CONFIGS_MAX; i++)
    cv_config_unref (c->previous[i]);
  cv_history_finish (&c->history);
  cv_rng_finish (&c->rng);
  cv_router_free (c->router);
  cv_limits_free (c->limits);
  cv_length_free (c->length);
  cv_suspects_free (c->suspects.table);
  cv_buf_finish (&c->suspects.body);
  cv_entry_metrics_free (c->metrics);
  free (c->targets);
  free (c->pressures);
  free (c);
}

cv_entry_metrics_t *
cv_entry_metrics (cv_entry_core_t *c)
{
  return c->metrics;
}

void
cv_entry_refuse_new (cv_entry_core_t *c)
{
  c->stopping = true;
}

void
cv_entry_end_requests (cv_entry_core_t *c, cv_time_t now)
{
  cv_request_t *r;

  c->stopping = true;
  while ((r = TAILQ_FIRST (&c->requests)) != NULL)
    switch (r->kind)
      {
      case REQUEST_STREAM:
        cv_entry_streams_stop (c, now, r);
        break;
      case REQUEST_CALL:
        cv_entry_calls_stop (c, now, r);
        break;
      }
}

uint32_t
cv_entry_requests_in_flight (const cv_entry_core_t *c)
{
  return c->in_flight;
}

void
cv_entry_caller_gone (cv_entry_core_t *c, cv_time_t now, void *caller)
{
  cv_request_t *r = cv_request_by_caller (c, caller);

  if (r == NULL)
    return;
  switch (r->kind)
    {
    case REQUEST_STREAM:
      cv_entry_streams_caller_gone (c, now, r);
      break;
    case REQUEST_CALL:
      cv_entry_calls_caller_gone (c, now, r);
      break;
    }
}

void
cv_entry_message (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                  const cv_msg_t *msg)
{
  CV_INVARIANT (target < c->target_count);
  /* A message that arrived during a freeze of this process is stale.  */
  if (cv_entry_detect_freeze (c, now) || !c->targets[target].used)
    return;
  switch (msg->type)
    {
    case CV_MSG_REPORT:
      cv_entry_targets_report (c, now, target, &msg->u.report);
      break;
    case CV_MSG_DOC_PULL:
      cv_entry_targets_doc_pull (c, now, target, &msg->u.doc_pull);
      break;
    case CV_MSG_DOC:
      cv_entry_targets_doc (c, now, target, &msg->u.doc);
      break;
    case CV_MSG_ACCEPTED:
      handle_accepted (c, target, &msg->u.accepted);
      break;
    case CV_MSG_REJECTED:
      handle_rejected (c, now, target, &msg->u.rejected);
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

  (void)cv_entry_detect_freeze (c, now);
  c->last_tick = now;
  cv_entry_targets_tick (c, now);
  cv_entry_admission_tick (c);
  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase == PHASE_WAIT_CONFIG || r->phase == PHASE_WAIT_TARGET)
        {
          if (now >= r->wait_until)
            cv_request_fail (c, now, r, wait_failure (r),
                             cv_entry_retry_after (c));
        }
      else if (r->phase == PHASE_WAIT_SUSPECTS)
        {
          if (now >= r->wait_until)
            cv_entry_streams_send (c, now, r, CV_FAIL_INTERRUPTED);
        }
      else if (r->kind == REQUEST_STREAM)
        cv_entry_streams_tick (c, now, r);
      else
        cv_entry_calls_tick (c, now, r);
    }
}

uint64_t
cv_entry_name_hash (const char *name)
{
  return cv_hash (name, strlen (name), 0);
}

void
cv_entry_send (cv_entry_core_t *c, uint32_t target, const cv_msg_t *msg)
{
  c->options.out.send (c->options.out.arg, target, msg);
}

/* ---- local ---- */

/* The failure of a request whose wait expired.  Under a ticket that the caller
   supplied, the call may already have run for an earlier request.  */
static cv_failure_code_t
wait_failure (const cv_request_t *r)
{
  if (r->kind == REQUEST_CALL && r->u.call.mode == CV_CALL_TICKET)
    return CV_FAIL_UNKNOWN;
  if (r->kind == REQUEST_STREAM && r->u.stream.resumed)
    return CV_FAIL_INTERRUPTED;
  return CV_FAIL_NO_TARGET;
}

static void
handle_accepted (cv_entry_core_t *c, uint32_t target,
                 const cv_msg_accepted_t *m)
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
handle_rejected (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                 const cv_msg_rejected_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->id);

  if (r == NULL || r->target != target)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  if (m->reason == CV_REJECT_OLD_CONFIG)
    cv_entry_targets_pull_doc (c, now, target, CV_DOC_CONFIG);
  if (r->kind == REQUEST_STREAM)
    cv_entry_streams_rejected (c, now, r, m);
  else
    cv_entry_calls_rejected (c, now, r, m);
}
