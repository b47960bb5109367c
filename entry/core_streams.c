/* Generations: submission to targets, resumption by callers, and retries while
   nothing was delivered.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static bool resolve_names (cv_entry_core_t *c, cv_request_t *r,
                           const cv_stream_spec_t *spec,
                           cv_failure_code_t *fail);
static void init_stream (cv_request_t *r, const cv_stream_spec_t *spec);
static bool can_retry (const cv_request_t *r);
static void send_attach (cv_entry_core_t *c, cv_request_t *r);
static void leave_stream (cv_entry_core_t *c, const cv_request_t *r);
static void send_stream_msg (cv_entry_core_t *c, const cv_request_t *r,
                             cv_msg_type_t type);

void
cv_entry_submit_stream (cv_entry_core_t *c, cv_time_t now, void *caller,
                        const cv_stream_spec_t *spec)
{
  cv_failure_code_t fail = CV_FAIL_NO_CONFIG;
  cv_request_t *r;

  (void)cv_entry_detect_freeze (c, now);
  if (c->stopping || cv_entry_unready_reason (c) != NULL)
    {
      cv_entry_refuse (c, caller, c->stopping ? CV_FAIL_STOPPING : fail,
                       cv_entry_retry_after (c));
      return;
    }
  r = cv_request_new (c, now, caller, REQUEST_STREAM, spec->account);
  init_stream (r, spec);
  if (!resolve_names (c, r, spec, &fail))
    {
      cv_request_fail (c, now, r, fail, 0);
      return;
    }
  if (!cv_entry_admit (c, now, r, r->u.stream.expect))
    return;
  cv_request_count_first_attempt (c, r);
  cv_entry_streams_send (c, now, r, CV_FAIL_NO_TARGET);
}

void
cv_entry_attach (cv_entry_core_t *c, cv_time_t now, void *caller,
                 const char *account, const cv_position_t *position)
{
  cv_request_t *r;

  (void)cv_entry_detect_freeze (c, now);
  if (cv_entry_targets_is_replaced (c, position->target, position->incarnation))
    {
      cv_entry_refuse (c, caller, CV_FAIL_STREAM_GONE, 0);
      return;
    }
  r = cv_request_by_id (c, position->stream);
  if (r != NULL)
    {
      /* The caller reconnected before the loss of its old connection was
         detected.  */
      cv_reply_t gone = { .type = CV_REPLY_GONE };

      if (strcmp (r->account, account) != 0)
        {
          cv_entry_refuse (c, caller, CV_FAIL_STREAM_GONE, 0);
          return;
        }
      cv_request_end (c, now, r, &gone, CV_OUTCOME_INTERRUPTED);
    }
  r = cv_request_new (c, now, caller, REQUEST_STREAM, account);
  cv_request_set_id (c, r, position->stream);
  r->u.stream.resumed = true;
  r->u.stream.start = position->offset;
  r->u.stream.next = position->offset;
  r->u.stream.last_progress = now;
  r->deadline = now + DEFAULT_FIRST_TOKEN_MS * CV_MS;
  r->incarnation = position->incarnation;
  cv_request_wait_target (c, now, r, position->target);
  cv_entry_streams_attach_resumed (c, now, r);
}

void
cv_entry_streams_attach_resumed (cv_entry_core_t *c, cv_time_t now,
                                 cv_request_t *r)
{
  uint32_t target
      = cv_entry_targets_find (c, r->awaited_target, r->incarnation);

  if (cv_entry_targets_is_replaced (c, r->awaited_target, r->incarnation))
    {
      cv_request_fail (c, now, r, CV_FAIL_STREAM_GONE, 0);
      return;
    }
  if (target == CV_NO_TARGET)
    return;
  r->pool = c->targets[target].pool_hash;
  r->route.pool = r->pool;
  cv_request_assign (c, now, r, target);
  r->phase = PHASE_SENT;
  r->u.stream.last_attach = now;
  send_attach (c, r);
}

void
cv_entry_streams_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                       cv_failure_code_t fallback)
{
  cv_request_stream_t *s = &r->u.stream;
  uint32_t target;
  cv_msg_t msg = { .type = CV_MSG_SUBMIT };
  cv_msg_submit_t *m = &msg.u.submit;

  if (!cv_entry_suspects_check (c, now, r))
    return;
  target = cv_router_pick (c->router, now, &r->route);
  if (target == CV_NO_TARGET)
    {
      cv_request_fail (c, now, r, fallback, cv_entry_retry_after (c));
      return;
    }
  cv_request_assign (c, now, r, target);
  r->phase = PHASE_SENT;
  s->last_progress = now;
  s->last_attach = 0;
  /* The side must learn that the content is suspect before it gets it.  */
  if (c->targets[target].versions.version[CV_DOC_SUSPECTS] < c->suspects.version
      && cv_entry_suspects_state (c, s->content_hash) != CV_CONTENT_CLEAR)
    cv_entry_suspects_send (c, target);
  m->stream = r->id;
  m->incarnation = r->incarnation;
  m->config_version = c->config->version;
  (void)cv_copy (m->account, sizeof m->account, r->account);
  (void)cv_copy (m->class_name, sizeof m->class_name, r->class_name);
  (void)cv_copy (m->model, sizeof m->model, s->model);
  m->priority = s->priority;
  m->max_tokens = s->max_tokens;
  m->deadline_ms
      = r->deadline > now ? (uint32_t)((r->deadline - now) / CV_MS) : 0;
  m->expect = s->expect;
  m->content_hash = s->content_hash;
  m->prompt.p = s->prompt;
  m->prompt.n = s->prompt_size;
  cv_entry_send (c, target, &msg);
}

void
cv_entry_streams_rejected (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                           const cv_msg_rejected_t *m)
{
  if (r->u.stream.resumed)
    {
      cv_request_fail (c, now, r, CV_FAIL_STREAM_GONE, 0);
      return;
    }
  switch (m->reason)
    {
    case CV_REJECT_QUARANTINED:
      cv_request_fail (c, now, r, CV_FAIL_QUARANTINED, 0);
      break;
    case CV_REJECT_OLD_CONFIG:
      cv_request_wait_config (c, now, r);
      break;
    case CV_REJECT_NO_MEMORY:
      cv_entry_streams_retry (c, now, r, CV_FAIL_OVERLOADED);
      break;
    case CV_REJECT_DRAINING:
    case CV_REJECT_OLD_EPOCH:
    case CV_REJECT_NOT_FOUND:
    case CV_REJECT_ENGINE:
      r->target_failed = m->reason == CV_REJECT_ENGINE;
      /* The stream was reattached before, so the side may have run it and then
         discarded it.  */
      if (m->reason == CV_REJECT_NOT_FOUND && r->u.stream.last_attach != 0)
        cv_request_mark_may_have_run (r);
      cv_entry_streams_retry (c, now, r, CV_FAIL_NO_TARGET);
      break;
    }
}

void
cv_entry_streams_caller_gone (cv_entry_core_t *c, cv_time_t now,
                              cv_request_t *r)
{
  cv_reply_t reply = { .type = CV_REPLY_GONE };

  leave_stream (c, r);
  cv_request_end (c, now, r, &reply, CV_OUTCOME_INTERRUPTED);
}

void
cv_entry_streams_stop (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  /* Without a target, every attempt was rejected or is known to have run.  */
  bool refused
      = r->target == CV_NO_TARGET && !r->may_have_run && !r->u.stream.resumed;

  leave_stream (c, r);
  cv_request_fail (c, now, r, refused ? CV_FAIL_STOPPING : CV_FAIL_STOPPED,
                   cv_entry_retry_after (c));
}

void
cv_entry_streams_attempt_lost (cv_entry_core_t *c, cv_time_t now,
                               cv_request_t *r)
{
  cv_request_mark_may_have_run (r);
  if (can_retry (r))
    send_stream_msg (c, r, CV_MSG_CANCEL);
  cv_entry_streams_retry (c, now, r, CV_FAIL_INTERRUPTED);
}

void
cv_entry_streams_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  const cv_request_stream_t *s = &r->u.stream;
  cv_time_t active
      = s->last_attach > s->last_progress ? s->last_attach : s->last_progress;

  /* An idle stream is reattached only if its target reported within the last
     2 * CV_REPORT_INTERVAL; the peer timeout covers a silent target.  */
  if (s->gap
      || (now - active >= STREAM_IDLE_TIMEOUT
          && now - c->targets[r->target].last_report < 2 * CV_REPORT_INTERVAL))
    cv_entry_streams_reattach (c, now, r);
  if (s->resumed || s->next > s->start)
    return;
  if (now < r->deadline + DEADLINE_GRACE)
    return;
  send_stream_msg (c, r, CV_MSG_CANCEL);
  cv_request_fail (c, now, r, CV_FAIL_DEADLINE, cv_entry_retry_after (c));
}

void
cv_entry_streams_finish (cv_request_t *r)
{
  free (r->u.stream.prompt);
  cv_buf_finish (&r->u.stream.text);
  cv_buf_finish (&r->u.stream.sizes);
}

/* ---- local ---- */

static void
init_stream (cv_request_t *r, const cv_stream_spec_t *spec)
{
  cv_request_stream_t *s = &r->u.stream;

  cv_buf_init (&s->text);
  cv_buf_init (&s->sizes);
  s->buffered = spec->buffered;
  s->prompt = cv_strdup_n (spec->prompt.p, spec->prompt.n);
  s->prompt_size = spec->prompt.n;
  (void)cv_copy (s->model, sizeof s->model, spec->model);
}

/* Looks up the model, account and class that the request names, and derives
   its limits and routing.  On failure sets *FAIL.  */
static bool
resolve_names (cv_entry_core_t *c, cv_request_t *r,
               const cv_stream_spec_t *spec, cv_failure_code_t *fail)
{
  cv_request_stream_t *s = &r->u.stream;
  const cv_model_t *model = cv_config_model (c->config, spec->model);
  const cv_account_t *account = cv_config_account (c->config, spec->account);
  const char *name = spec->class_name;
  const cv_class_t *class;
  uint32_t first_ms;
  cv_length_key_t key;

  if (name[0] == '\0' && account != NULL)
    name = account->default_class;
  class = cv_config_class (c->config, name);
  if (model == NULL || class == NULL)
    {
      *fail = model == NULL ? CV_FAIL_NO_MODEL : CV_FAIL_NO_CLASS;
      return false;
    }
  (void)cv_copy (r->class_name, sizeof r->class_name, name);
  first_ms = class->first_token_ms;
  if (first_ms == 0)
    first_ms = DEFAULT_FIRST_TOKEN_MS;
  s->first_token_ms = first_ms;
  r->deadline = r->submitted + (cv_time_t)first_ms * CV_MS;
  s->buffered = s->buffered || class->buffered;
  s->priority = class->priority;
  s->max_tokens = spec->max_tokens;
  if (class->max_tokens != 0
      && (s->max_tokens == 0 || s->max_tokens > class->max_tokens))
    s->max_tokens = class->max_tokens;
  if (model->max_tokens != 0
      && (s->max_tokens == 0 || s->max_tokens > model->max_tokens))
    s->max_tokens = model->max_tokens;
  s->content_hash = cv_hash (s->prompt, s->prompt_size,
                             r->account_hash ^ cv_entry_name_hash (s->model));
  r->pool = cv_entry_name_hash (model->pool);
  key = cv_entry_streams_length_key (r);
  s->expect = cv_length_remaining (
      c->length, &key, 0, s->max_tokens == 0 ? UINT32_MAX : s->max_tokens, 0.5);
  r->route.pool = r->pool;
  r->route.prefix_hash = cv_hash (
      s->prompt, s->prompt_size < PREFIX_BYTES ? s->prompt_size : PREFIX_BYTES,
      cv_entry_name_hash (s->model));
  r->route.prompt_tokens = (uint32_t)(s->prompt_size / BYTES_PER_TOKEN) + 1;
  r->route.expect = s->expect;
  return true;
}

/* True if the request can be sent again: no token was delivered, and the caller
   did not resume a stream, of which it may have earlier tokens.  */
static bool
can_retry (const cv_request_t *r)
{
  const cv_request_stream_t *s = &r->u.stream;

  return !s->resumed && (s->buffered || s->next == 0);
}

void
cv_entry_streams_retry (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                        cv_failure_code_t fallback)
{
  cv_request_stream_t *s = &r->u.stream;
  uint32_t old = r->target;

  if (!can_retry (r))
    {
      cv_request_fail (c, now, r, CV_FAIL_INTERRUPTED,
                       cv_entry_retry_after (c));
      return;
    }
  /* A buffered generation may run beyond the deadline for its first token
     before the attempt fails, so a retry after that gets a new deadline.  */
  if (s->buffered && r->may_have_run)
    r->deadline = now + s->first_token_ms * CV_MS;
  if (now >= r->deadline)
    {
      cv_request_fail (c, now, r, fallback, cv_entry_retry_after (c));
      return;
    }
  if (!cv_request_take_retry (c, r))
    {
      cv_request_fail (c, now, r, fallback, cv_entry_retry_after (c));
      return;
    }
  cv_request_assign (c, now, r, CV_NO_TARGET);
  cv_request_set_id (c, r, c->options.out.new_id (c->options.out.arg));
  s->next = 0;
  s->gap = false;
  cv_buf_reset (&s->text);
  cv_buf_reset (&s->sizes);
  r->route.avoid = old;
  if (r->may_have_run && old != CV_NO_TARGET
      && cv_entry_suspects_is_behind (c, old))
    {
      r->phase = PHASE_WAIT_SUSPECTS;
      r->wait_until = now + SUSPECTS_WAIT_TIMEOUT;
      return;
    }
  cv_entry_streams_send (c, now, r, fallback);
}

void
cv_entry_streams_reattach (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_request_stream_t *s = &r->u.stream;

  if (s->last_attach != 0 && now - s->last_attach < REATTACH_INTERVAL)
    return;
  s->last_attach = now;
  cv_entry_metrics_count (c->metrics, CV_COUNT_REATTACHES);
  send_attach (c, r);
}

static void
send_attach (cv_entry_core_t *c, cv_request_t *r)
{
  cv_msg_t msg = { .type = CV_MSG_ATTACH };

  msg.u.attach.stream = r->id;
  msg.u.attach.incarnation = r->incarnation;
  msg.u.attach.offset = r->u.stream.next;
  (void)cv_copy (msg.u.attach.account, sizeof msg.u.attach.account, r->account);
  cv_entry_send (c, r->target, &msg);
}

/* Tells the side that this entry no longer reads R's stream.  It can be resumed
   only if the caller received a position.  After DETACH the side keeps it for
   that; CANCEL stops the generation.  */
static void
leave_stream (cv_entry_core_t *c, const cv_request_t *r)
{
  if (r->target != CV_NO_TARGET)
    send_stream_msg (c, r, can_retry (r) ? CV_MSG_CANCEL : CV_MSG_DETACH);
}

static void
send_stream_msg (cv_entry_core_t *c, const cv_request_t *r, cv_msg_type_t type)
{
  cv_msg_t msg = { .type = type };

  msg.u.stream.stream = r->id;
  cv_entry_send (c, r->target, &msg);
}

cv_length_key_t
cv_entry_streams_length_key (const cv_request_t *r)
{
  cv_length_key_t key;

  key.account = r->account_hash;
  key.class_id = cv_entry_name_hash (r->class_name);
  key.model = cv_entry_name_hash (r->u.stream.model);
  return key;
}
