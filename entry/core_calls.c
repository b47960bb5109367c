/* Calls to service targets.  A call under a ticket runs at most once, at the
   side incarnation that the ticket names.  The outcome "not run" is reported
   only after that side has revoked the ticket.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static void init_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                       const cv_call_spec_t *spec);
static cv_failure_code_t refusal_code (const cv_entry_core_t *c,
                                       cv_call_mode_t mode);
static uint32_t choose_target (cv_entry_core_t *c, cv_time_t now,
                               cv_request_t *r);
static void retry_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                        cv_failure_code_t fallback);
static void send_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
static void revoke_ticket (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
static void send_revoke (cv_entry_core_t *c, const cv_request_t *r);

void
cv_entry_submit_call (cv_entry_core_t *c, cv_time_t now, void *caller,
                      const cv_call_spec_t *spec)
{
  const cv_pool_t *pool;
  cv_request_t *r;

  (void)cv_entry_detect_freeze (c, now);
  if (c->stopping || cv_entry_unready_reason (c) != NULL)
    {
      cv_entry_refuse (c, caller, refusal_code (c, spec->mode),
                       cv_entry_retry_after (c));
      return;
    }
  pool = cv_config_pool (c->config, spec->pool);
  if (pool == NULL || pool->kind != CV_POOL_SERVICE)
    {
      cv_entry_refuse (c, caller, CV_FAIL_NO_POOL, 0);
      return;
    }
  r = cv_request_new (c, now, caller, REQUEST_CALL, spec->account);
  init_call (c, now, r, spec);
  if (r->u.call.mode != CV_CALL_TICKET && !cv_entry_admit (c, now, r, 0))
    return;
  cv_request_count_first_attempt (c, r);
  cv_entry_calls_send (c, now, r, CV_FAIL_NO_TARGET);
}

void
cv_entry_issue_ticket (cv_entry_core_t *c, cv_time_t now, void *caller,
                       const char *pool)
{
  cv_route_request_t route = { 0 };
  cv_reply_t reply = { .type = CV_REPLY_TICKET };
  const cv_pool_t *p;
  uint32_t target;

  (void)cv_entry_detect_freeze (c, now);
  if (c->stopping || cv_entry_unready_reason (c) != NULL)
    {
      cv_entry_refuse (c, caller, refusal_code (c, CV_CALL_ONCE),
                       cv_entry_retry_after (c));
      return;
    }
  p = cv_config_pool (c->config, pool);
  if (p == NULL || p->kind != CV_POOL_SERVICE)
    {
      cv_entry_refuse (c, caller, CV_FAIL_NO_POOL, 0);
      return;
    }
  route.pool = cv_entry_name_hash (pool);
  route.avoid = CV_NO_TARGET;
  target = cv_router_pick (c->router, now, &route);
  if (target == CV_NO_TARGET)
    {
      cv_entry_refuse (c, caller, CV_FAIL_NO_TARGET, cv_entry_retry_after (c));
      return;
    }
  (void)cv_copy (reply.u.ticket.target, sizeof reply.u.ticket.target,
                 c->targets[target].name);
  reply.u.ticket.incarnation = c->targets[target].incarnation;
  reply.u.ticket.generation = c->targets[target].ticket_generation;
  reply.u.ticket.nonce = c->options.out.new_id (c->options.out.arg);
  c->options.out.reply (c->options.out.arg, caller, &reply);
}

void
cv_entry_calls_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                     cv_failure_code_t fallback)
{
  cv_request_call_t *s = &r->u.call;
  uint32_t target = choose_target (c, now, r);

  if (target == CV_NO_TARGET && s->mode == CV_CALL_TICKET)
    {
      if (cv_entry_targets_is_replaced (c, s->ticket.target,
                                        s->ticket.incarnation))
        cv_request_fail (c, now, r, CV_FAIL_TICKET_EXPIRED, 0);
      else if (r->phase != PHASE_WAIT_TARGET)
        cv_request_wait_target (c, now, r, s->ticket.target);
      return;
    }
  if (target == CV_NO_TARGET)
    {
      cv_request_fail (c, now, r, fallback, cv_entry_retry_after (c));
      return;
    }
  if (c->targets[target].pool_hash != r->pool)
    {
      cv_request_fail (c, now, r, CV_FAIL_UNKNOWN, 0);
      return;
    }
  cv_request_assign (c, now, r, target);
  s->resent = false;
  r->phase = PHASE_SENT;
  send_call (c, now, r);
}

void
cv_entry_calls_resend (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  if (r->phase == PHASE_REVOKING)
    send_revoke (c, r);
  else
    send_call (c, now, r);
  r->u.call.resent = true;
}

static void
send_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  const cv_request_call_t *s = &r->u.call;
  cv_msg_t msg = { .type = CV_MSG_CALL };
  cv_msg_call_t *m = &msg.u.call;

  m->request = r->id;
  m->ticket = s->ticket;
  m->config_version = c->config->version;
  (void)cv_copy (m->account, sizeof m->account, r->account);
  (void)cv_copy (m->method, sizeof m->method, s->method);
  m->path = cv_slice (s->path);
  m->content_type = cv_slice (s->content_type);
  m->body.p = s->body;
  m->body.n = s->body_size;
  m->deadline_ms
      = r->deadline > now ? (uint32_t)((r->deadline - now) / CV_MS) : 0;
  m->content_hash = s->content_hash;
  cv_entry_send (c, r->target, &msg);
}

/* The outcome that M tells.  A side that takes a status for a result that is no
   status of a final response knows nothing of the call.  */
static cv_outcome_t
result_outcome (const cv_msg_call_result_t *m)
{
  if (m->outcome == CV_OUTCOME_DONE
      && (m->status < CV_STATUS_FINAL_MIN || m->status > CV_STATUS_MAX))
    return CV_OUTCOME_UNKNOWN;
  return m->outcome;
}

void
cv_entry_calls_result (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                       const cv_msg_call_result_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->request);
  cv_reply_t reply = { .type = CV_REPLY_CALL };

  if (r == NULL || r->kind != REQUEST_CALL || r->target != target)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  switch (result_outcome (m))
    {
    case CV_OUTCOME_DONE:
      reply.u.call.status = m->status;
      reply.u.call.replayed = m->replayed;
      reply.u.call.content_type = m->content_type;
      reply.u.call.body = m->body;
      reply.u.call.ticket = &r->u.call.ticket;
      cv_request_end (c, now, r, &reply, CV_OUTCOME_DONE);
      break;
    case CV_OUTCOME_NOT_RUN:
      cv_request_fail (c, now, r, CV_FAIL_NOT_RUN, cv_entry_retry_after (c));
      break;
    default:
      r->target_failed = true;
      cv_request_mark_may_have_run (r);
      if (r->u.call.mode == CV_CALL_IDEMPOTENT)
        retry_call (c, now, r, CV_FAIL_UNKNOWN);
      else
        cv_request_fail (c, now, r, CV_FAIL_UNKNOWN, cv_entry_retry_after (c));
      break;
    }
}

void
cv_entry_calls_rejected (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                         const cv_msg_rejected_t *m)
{
  if (r->phase == PHASE_REVOKING)
    return;
  /* The copy sent over the other connection may still run.  */
  if (r->u.call.resent && r->u.call.mode != CV_CALL_IDEMPOTENT)
    {
      revoke_ticket (c, now, r);
      return;
    }
  if (m->reason == CV_REJECT_OLD_CONFIG)
    {
      cv_request_wait_config (c, now, r);
      return;
    }
  if (m->reason == CV_REJECT_QUARANTINED && r->u.call.mode != CV_CALL_TICKET)
    {
      cv_request_fail (c, now, r, CV_FAIL_QUARANTINED, 0);
      return;
    }
  if (r->u.call.mode != CV_CALL_TICKET)
    {
      r->target_failed = m->reason == CV_REJECT_ENGINE;
      retry_call (c, now, r,
                  m->reason == CV_REJECT_NO_MEMORY ? CV_FAIL_OVERLOADED
                                                   : CV_FAIL_NO_TARGET);
      return;
    }
  if (m->reason == CV_REJECT_OLD_EPOCH)
    {
      cv_request_fail (c, now, r, CV_FAIL_TICKET_EXPIRED, 0);
      return;
    }
  /* The rejected CALL did not run, but another CALL with the same ticket may
     have.  */
  revoke_ticket (c, now, r);
}

void
cv_entry_calls_caller_gone (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_reply_t reply = { .type = CV_REPLY_GONE };

  /* The side keeps the result for a later call with the same ticket.  */
  cv_request_end (c, now, r, &reply, CV_OUTCOME_UNKNOWN);
}

void
cv_entry_calls_stop (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  /* Without a target, every attempt was rejected or is known to have run.  An
     earlier call may have run under a ticket that the caller supplied.  */
  bool refused = r->target == CV_NO_TARGET && !r->may_have_run
                 && r->u.call.mode != CV_CALL_TICKET;

  cv_request_fail (c, now, r, refused ? CV_FAIL_STOPPING : CV_FAIL_UNKNOWN,
                   cv_entry_retry_after (c));
}

void
cv_entry_calls_attempt_lost (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_request_mark_may_have_run (r);
  if (r->u.call.mode == CV_CALL_IDEMPOTENT)
    retry_call (c, now, r, CV_FAIL_UNKNOWN);
  else
    cv_request_fail (c, now, r, CV_FAIL_UNKNOWN, cv_entry_retry_after (c));
}

void
cv_entry_calls_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  if (r->phase == PHASE_REVOKING)
    {
      if (now >= r->u.call.revoke_until)
        cv_request_fail (c, now, r, CV_FAIL_UNKNOWN, cv_entry_retry_after (c));
      return;
    }
  if (now < r->deadline + DEADLINE_GRACE)
    return;
  if (r->u.call.mode == CV_CALL_IDEMPOTENT)
    cv_request_fail (c, now, r, CV_FAIL_UNKNOWN, cv_entry_retry_after (c));
  else
    revoke_ticket (c, now, r);
}

void
cv_entry_calls_finish (cv_request_t *r)
{
  free (r->u.call.path);
  free (r->u.call.content_type);
  free (r->u.call.body);
}

/* ---- local ---- */

static void
init_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
           const cv_call_spec_t *spec)
{
  cv_request_call_t *s = &r->u.call;
  uint64_t seed = r->account_hash ^ cv_entry_name_hash (spec->pool);
  const cv_account_t *account = cv_config_account (c->config, spec->account);

  /* The metrics show the calls of configured accounts as class "call".  */
  if (account != NULL)
    (void)cv_copy (r->class_name, sizeof r->class_name, "call");
  r->pool = cv_entry_name_hash (spec->pool);
  r->route.pool = r->pool;
  r->deadline = now + (cv_time_t)spec->deadline_ms * CV_MS;
  s->mode = spec->mode;
  if (spec->mode == CV_CALL_TICKET)
    s->ticket = spec->ticket;
  (void)cv_copy (s->method, sizeof s->method, spec->method);
  s->path = cv_strdup_n (spec->path.p, spec->path.n);
  s->content_type = cv_strdup_n (spec->content_type.p, spec->content_type.n);
  s->body = cv_strdup_n (spec->body.p, spec->body.n);
  s->body_size = spec->body.n;
  seed = cv_hash (spec->path.p, spec->path.n, seed);
  s->content_hash = cv_hash (spec->body.p, spec->body.n, seed);
}

/* The failure for a call that is refused at once.  Under a ticket that the
   caller supplied, the call may have run before, so its outcome is unknown.  */
static cv_failure_code_t
refusal_code (const cv_entry_core_t *c, cv_call_mode_t mode)
{
  if (mode == CV_CALL_TICKET)
    return CV_FAIL_UNKNOWN;
  return c->stopping ? CV_FAIL_STOPPING : CV_FAIL_NO_CONFIG;
}

/* Returns the target of the next attempt, or CV_NO_TARGET, and issues a ticket
   for it unless the caller supplied one.  */
static uint32_t
choose_target (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_ticket_t *t = &r->u.call.ticket;
  uint32_t target;

  if (r->u.call.mode == CV_CALL_TICKET)
    return cv_entry_targets_find (c, t->target, t->incarnation);
  target = cv_router_pick (c->router, now, &r->route);
  if (target == CV_NO_TARGET)
    return target;
  memset (t, 0, sizeof *t);
  (void)cv_copy (t->target, sizeof t->target, c->targets[target].name);
  t->incarnation = c->targets[target].incarnation;
  t->generation = c->targets[target].ticket_generation;
  if (r->u.call.mode == CV_CALL_ONCE)
    t->nonce = c->options.out.new_id (c->options.out.arg);
  return target;
}

/* Retries the call at another target.  The attempt did not run, or the call is
   idempotent.  */
static void
retry_call (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
            cv_failure_code_t fallback)
{
  uint32_t old = r->target;

  if (now >= r->deadline || !cv_request_take_retry (c, r))
    {
      cv_request_fail (c, now, r, fallback, cv_entry_retry_after (c));
      return;
    }
  cv_request_assign (c, now, r, CV_NO_TARGET);
  cv_request_set_id (c, r, c->options.out.new_id (c->options.out.arg));
  r->route.avoid = old;
  cv_entry_calls_send (c, now, r, fallback);
}

/* Sends a REVOKE of the ticket; the side's answer makes the outcome certain. */
static void
revoke_ticket (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  r->phase = PHASE_REVOKING;
  r->u.call.revoke_until = now + REVOKE_TIMEOUT;
  cv_entry_metrics_count (c->metrics, CV_COUNT_REVOKES);
  send_revoke (c, r);
}

static void
send_revoke (cv_entry_core_t *c, const cv_request_t *r)
{
  cv_msg_t msg = { .type = CV_MSG_REVOKE };

  msg.u.revoke.request = r->id;
  msg.u.revoke.ticket = r->u.call.ticket;
  (void)cv_copy (msg.u.revoke.account, sizeof msg.u.revoke.account, r->account);
  cv_entry_send (c, r->target, &msg);
}
