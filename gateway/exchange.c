/* Life cycle of an exchange: authentication, routing, queueing, deadlines, and
   the one response to the caller.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* Limit of a request without a deadline on a route without a timeout.  */
#define TIME_LIMIT_DEFAULT (60 * CV_SECOND)
/* Prompt tokens that an engine prefills per millisecond beside running
   requests; half of its rate without them.  */
#define PREFILL_TOKENS_PER_MS 7
/* Time that a newly sent prompt waits while the engine prefills others.  */
#define PREFILL_QUEUE_TIME (250 * CV_MS)
/* A request may be queued for a plain service for the latency objective divided
   by this.  */
#define SERVICE_WAIT_DIVISOR 2
/* A late request may be queued for an engine for this many times the latency
   objective; callers of streams are expected to wait four times the objective
   for the first event.  */
#define LATE_WAIT_FACTOR 2
/* Suspect content waits for a target without other suspects for its latency
   objective divided by this, or for its objective for a gap in a stream.  */
#define SOLITARY_WAIT_DIVISOR 4
/* Retry-After without a configuration, which a starting gateway reads within
   about 0.5 s, or without a service for the route.  */
#define RETRY_ROUTING_MS 500
/* After a pass over the queue that messages caused, others wait for this many
   times its processor time, or for the tick: passes use a tenth of a processor
   at most.  */
#define PASS_SHARE 9
static void
log_refusal (const cv_exchange_t *x, unsigned status, uint32_t retry_after_ms,
             const char *reason)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_REFUSED);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_number (&l, "status", status);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_text (&l, "route", cv_slice (x->route != NULL ? x->route->name : ""));
  cv_exchange_log_evidence (x, &l);
  cv_line_number (&l, "version",
                  x->routing != NULL ? (int64_t)x->routing->version : 0);
  cv_line_number (&l, "version_age_us",
                  cv_now () - x->gateway->routing_watcher.confirmed_at);
  cv_line_number (&l, "age_us", cv_now () - x->started_at);
  cv_line_number (&l, "late", cv_exchange_is_late (x, cv_now ()));
  cv_exchange_log_shortage (x, &l);
  cv_line_number (&l, "sends", x->sends);
  cv_line_number (&l, "rejections", x->rejections);
  cv_line_number (&l, "retry_after_ms", retry_after_ms);
  cv_line_end (&l);
}

static const char *
body_end_text (cv_body_end_t end)
{
  switch (end)
    {
    case CV_BODY_END_TOLD:
      return "told";
    case CV_BODY_END_CLOSE:
      return "connection closed";
    }
  return "";
}

void
cv_exchange_end (cv_exchange_t *x, bool complete)
{
  cv_gateway_t *g = x->gateway;
  cv_client_t *c = x->client;
  cv_line_t l;

  if (x->is_queued)
    TAILQ_REMOVE (&g->waiting, x, waiting);
  if (c != NULL && complete && x->head_sent)
    {
      g->counts.answered++;
      cv_hist_add (&g->latency,
                   (double)(cv_now () - x->started_at) / (double)CV_MS);
      cv_line_begin (&l, CV_EV_GATEWAY_ANSWERED);
      cv_line_text (&l, "request", x->request.attempt);
      if (x->target != NULL)
        {
          cv_line_text (&l, "target", cv_slice (x->target->record.id));
          cv_line_text (&l, "end", cv_slice (body_end_text (x->body_end)));
        }
      cv_line_number (&l, "age_us", cv_now () - x->started_at);
      cv_line_number (&l, "sends", x->sends);
      if (x->first_event_delay > 0)
        {
          cv_hist_add (&g->gaps, (double)x->max_gap / (double)CV_MS);
          cv_line_number (&l, "first_event_us", x->first_event_delay);
          cv_line_number (&l, "gap_max_us", x->max_gap);
          cv_line_number (&l, "resumes", x->resumes);
        }
      cv_line_number (&l, "events", (int64_t)x->events.count);
      cv_line_end (&l);
    }
  cv_exchange_cancel_reservation (x);
  cv_crash_check_forget (x);
  cv_attempt_stop (x);
  TAILQ_REMOVE (&g->exchanges, x, entry);
  cv_routing_unref (x->routing);
  cv_buf_finish (&x->response_body);
  cv_events_finish (&x->events);
  cv_suspect_request_finish (&x->identity);
  cv_target_hold (&x->copy_source, NULL);
  cv_target_hold (&x->doubted_target, NULL);
  free (x);
  if (c != NULL)
    cv_client_response_done (c, complete);
}

static const char *
close_reason_text (cv_close_reason_t reason)
{
  switch (reason)
    {
    case CV_CLOSE_BY_CALLER:
      return "the caller closed the connection";
    case CV_CLOSE_NOT_READ:
      return "the caller reads nothing of its response";
    case CV_CLOSE_MEMORY:
      return "memory for unread responses is short";
    case CV_CLOSE_IDLE:
      return "the connection was taken to be idle";
    case CV_CLOSE_INCOMPLETE:
      return "the response cannot be completed";
    case CV_CLOSE_STOP:
      return "the process ends";
    }
  return "";
}

void
cv_exchange_abandon (cv_exchange_t *x, cv_close_reason_t reason)
{
  bool by_caller = reason == CV_CLOSE_BY_CALLER || reason == CV_CLOSE_NOT_READ
                   || reason == CV_CLOSE_MEMORY;
  cv_line_t l;

  cv_line_begin (&l, by_caller ? CV_EV_GATEWAY_CALLER_LEFT
                               : CV_EV_GATEWAY_UNANSWERED);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "reason", cv_slice (close_reason_text (reason)));
  cv_line_number (&l, "state", x->state);
  cv_line_number (&l, "head_sent", x->head_sent);
  cv_line_number (&l, "age_us", cv_now () - x->started_at);
  cv_line_number (&l, "sends", x->sends);
  cv_line_number (&l, "events", (int64_t)x->events.count);
  cv_line_end (&l);
  if (by_caller)
    x->gateway->counts.left++;
  else
    x->gateway->counts.unanswered++;
  x->client->exchange = NULL;
  x->client = NULL;
  cv_exchange_end (x, false);
}

void
cv_exchange_refuse (cv_exchange_t *x, unsigned status, uint32_t retry_after_ms,
                    const char *reason)
{
  log_refusal (x, status, retry_after_ms, reason);
  if (status == 502 || status == 504)
    x->gateway->counts.failed++;
  else
    x->gateway->counts.refused++;
  cv_response_send_own (x->client, status, reason, retry_after_ms);
  cv_exchange_end (x, true);
}

/* Ends X whose response has started and cannot be completed.  */
static void
cut_response (cv_exchange_t *x, const char *reason)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_CUT);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "age_us", cv_now () - x->started_at);
  cv_line_number (&l, "events", (int64_t)x->events.count);
  cv_line_number (&l, "resumes", x->resumes);
  cv_line_end (&l);
  x->gateway->counts.cut++;
  cv_exchange_end (x, false);
}

void
cv_exchange_give_up (cv_exchange_t *x, const char *reason,
                     uint32_t retry_after_ms)
{
  if (x->head_sent)
    cut_response (x, reason);
  else if (!x->may_have_run)
    cv_exchange_refuse (x, 503, retry_after_ms, reason);
  else
    cv_exchange_refuse (x, 502, 0, reason);
}

void
cv_exchange_fail (cv_exchange_t *x, const char *reason, bool timed_out)
{
  if (!x->head_sent && !x->may_have_run)
    {
      cv_refusal_record (&x->service_state->refusals, true);
      cv_shortage_note_refused (x);
      cv_exchange_give_up (x, reason, cv_choose_retry_after (x, 0));
    }
  else if (!x->head_sent && timed_out)
    cv_exchange_refuse (x, 504, 0, reason);
  else
    cv_exchange_give_up (x, reason, 0);
}

bool
cv_exchange_is_generation (const cv_exchange_t *x)
{
  return x->request.is_generation && x->service->is_engine;
}

cv_time_t
cv_exchange_prefill_time (const cv_exchange_t *x)
{
  return x->request.prompt_tokens / PREFILL_TOKENS_PER_MS * CV_MS;
}

uint64_t
cv_exchange_output_tokens (const cv_exchange_t *x)
{
  return x->events.count * x->service->engine.event_tokens;
}

/* ---- admission ---- */

void
cv_exchange_set_solitary_until (cv_exchange_t *x, cv_time_t now)
{
  const cv_route_t *r = x->route;

  x->solitary_until
      = now
        + (x->head_sent ? r->gap_objective_ms * CV_MS
                        : r->objective_ms * CV_MS / SOLITARY_WAIT_DIVISOR);
}

static void
set_deadlines (cv_exchange_t *x)
{
  const cv_route_t *r = x->route;
  cv_time_t objective = r->objective_ms * CV_MS;
  cv_time_t limit
      = r->timeout_ms > 0 ? r->timeout_ms * CV_MS : TIME_LIMIT_DEFAULT;
  cv_time_t wait;
  cv_time_t in_time_wait;

  if (x->request.has_deadline && x->request.deadline_ms * CV_MS < limit)
    limit = x->request.deadline_ms * CV_MS;
  x->deadline = x->started_at + limit;
  if (x->service->is_engine)
    wait = objective - PREFILL_QUEUE_TIME - cv_exchange_prefill_time (x);
  else
    wait = objective / SERVICE_WAIT_DIVISOR;
  x->urgency.priority = r->priority;
  x->urgency.is_late
      = x->service->is_engine && x->request.has_deadline
        && cv_caller_timeout_observe (
            &cv_route_state (x->gateway, r->name)->caller_timeout,
            x->request.deadline_ms);
  in_time_wait = wait;
  if (x->urgency.is_late)
    wait = LATE_WAIT_FACTOR * objective;
  if (wait > limit / 2)
    wait = limit / 2;
  x->placement_deadline = x->started_at + (wait > 0 ? wait : 0);
  x->in_time_until = x->placement_deadline;
  cv_exchange_set_claim (x, in_time_wait);
  cv_exchange_set_solitary_until (x, x->started_at);
}

static void
estimate_memory (cv_exchange_t *x)
{
  const cv_caller_request_t *q = &x->request;

  if (!q->is_generation)
    return;
  x->expected_output = cv_output_estimate (q->output_hint, q->output_limit);
  /* Without a length hint, the limit is the only estimate.  */
  x->need_tokens = (uint64_t)q->prompt_tokens
                   + (q->output_hint > 0 ? x->expected_output.median
                                         : x->expected_output.limit);
}

/* Finds the route, the client account and the service; false when X was
   refused.  */
static bool
admit (cv_exchange_t *x)
{
  const cv_http_head_t *h = &x->client->reader.head;
  cv_error_t err = { 0 };
  uint32_t service;

  if (!cv_platform_decode_request (h, &x->request, &err))
    {
      cv_exchange_refuse (x, 400, 0, err.text);
      return false;
    }
  if (x->routing == NULL
      || !cv_quarantine_store_is_ready (&x->gateway->quarantine_store))
    {
      cv_exchange_refuse (x, 503, RETRY_ROUTING_MS,
                          x->routing == NULL ? "no configuration yet"
                                             : "no list of quarantined content"
                                               " yet");
      return false;
    }
  x->route = cv_routing_find_route (x->routing, cv_http_field (h, "Host"),
                                    cv_http_request_target (h));
  if (x->route == NULL)
    {
      cv_exchange_refuse (x, 404, 0, "no such route");
      return false;
    }
  x->account = cv_routing_find_account (x->routing, x->request.key);
  if (x->account == NULL && x->routing->keys_required && !x->route->keyless)
    {
      cv_exchange_refuse (x, 401, 0, "unknown key");
      return false;
    }
  service = cv_route_pick_service (x->route, cv_rng_uniform (&x->gateway->rng));
  if (service == CV_NO_SERVICE)
    {
      cv_exchange_refuse (x, 503, RETRY_ROUTING_MS, "route has no service");
      return false;
    }
  cv_exchange_identify (x);
  x->service = &x->routing->services[service];
  x->service_state = cv_service_state (x->gateway, x->service->name);
  return true;
}

void
cv_exchange_rewind (cv_exchange_t *x)
{
  cv_events_finish (&x->events);
  cv_events_init (&x->events);
  if (x->request.has_last_event)
    cv_events_follow (&x->events, x->request.last_event);
}

void
cv_exchange_begin (cv_client_t *c)
{
  cv_gateway_t *g = c->port->gateway;
  cv_exchange_t *x = cv_calloc (1, sizeof *x);

  x->gateway = g;
  x->client = c;
  x->started_at = c->since;
  x->state = CV_EXCHANGE_WAITING;
  cv_buf_init (&x->response_body);
  cv_events_init (&x->events);
  if (g->routing != NULL)
    x->routing = cv_routing_ref (g->routing);
  c->exchange = x;
  TAILQ_INSERT_TAIL (&g->exchanges, x, entry);
  g->counts.requests++;
  if (!admit (x))
    return;
  estimate_memory (x);
  set_deadlines (x);
  if (cv_exchange_refuse_near_stop (x) || cv_exchange_refuse_quarantined (x))
    return;
  cv_retry_budget_first (&x->service_state->retries);
  cv_exchange_rewind (x);
  if (!cv_resume_begin (x))
    cv_exchange_place (x);
}

/* ---- placement ---- */

/* Whether X has waited for a target for as long as it may.  */
static bool
is_wait_over (const cv_exchange_t *x, cv_time_t now)
{
  return now >= x->placement_deadline
         && !cv_evacuations_must_wait (x->gateway, now);
}

void
cv_exchange_wait (cv_exchange_t *x)
{
  x->state = CV_EXCHANGE_WAITING;
  if (is_wait_over (x, cv_now ()))
    cv_exchange_fail (x, "no target has room in time", false);
  else if (!cv_exchange_refuse_unreachable (x, cv_now ()))
    cv_exchange_enqueue (x, cv_now ());
}

/* Ends X, which no target takes now, if none will in time; false when it was
   not ended.  *IS_FULL: its targets have no room, and nothing else keeps X
   waiting.  */
static bool
end_hopeless (cv_exchange_t *x, bool *is_full)
{
  bool is_blocked;
  bool is_refused;

  *is_full = false;
  if (cv_exchange_has_no_region (x))
    {
      x->gateway->counts.region_refusals++;
      cv_exchange_fail (x, "no target in the allowed regions", false);
      return true;
    }
  if (!cv_version_is_gone (x))
    {
      if (cv_exchange_refuse_evacuated (x))
        return true;
      is_refused = cv_exchange_refuse_blocked (x, &is_blocked);
      *is_full = !is_refused && !is_blocked;
      return is_refused;
    }
  cv_exchange_fail (x, "no target of the version that began the stream", false);
  return true;
}

void
cv_exchange_place (cv_exchange_t *x)
{
  cv_target_t *t;
  bool is_full;

  if (cv_exchange_refuse_near_stop (x) || cv_exchange_refuse_quarantined (x))
    return;
  if (x->awaited_target != NULL)
    {
      x->state = CV_EXCHANGE_WAITING;
      return;
    }
  t = cv_exchange_must_wait_for_trial (x) ? NULL : cv_choose_target (x);
  if (t == NULL)
    {
      if (!end_hopeless (x, &is_full))
        cv_exchange_wait (x);
      return;
    }
  if (!cv_exchange_reserve (x, t))
    cv_attempt_start (x, t);
}

/* Requests of one kind have the same targets: those that no target got, of one
   route, account and version.  Others are of no kind.  */
static bool
describe (const cv_exchange_t *x, cv_unplaced_request_t *out)
{
  const uint64_t parts[]
      = { (uintptr_t)x->route, (uintptr_t)x->account, (uintptr_t)x->service,
          x->version,
          x->is_ranked ? cv_claim_level (&x->claim, cv_now ())
                       : x->urgency.is_late };

  *out = (cv_unplaced_request_t){ .kind = cv_hash (parts, sizeof parts, 0),
                                  .need_tokens = x->need_tokens,
                                  .prompt_tokens = x->request.prompt_tokens };
  return x->tried_count == 0 && !cv_exchange_is_solitary (x, cv_now ());
}

/* Places queued exchanges.  IS_TICK: those that can wait for long, too.  */
static void
place_waiting (cv_gateway_t *g, bool is_tick)
{
  cv_time_t now = cv_now ();
  cv_step_t step = cv_step_begin (g, CV_JOB_PLACEMENT);
  cv_unplaced_t unplaced = { .count = 0 };
  cv_exchange_t *x;
  cv_exchange_t *next;

  for (x = TAILQ_FIRST (&g->waiting); x != NULL; x = next)
    {
      cv_unplaced_request_t request;
      cv_target_t *t;
      bool must_wait;
      bool is_full;

      next = TAILQ_NEXT (x, waiting);
      if (cv_exchange_refuse_near_stop (x)
          || cv_exchange_refuse_quarantined (x))
        continue;
      if (cv_exchange_can_wait_long (x, now)
          && (!is_tick || now < x->asks_again_at))
        continue;
      must_wait = cv_exchange_must_wait_for_trial (x);
      if (!must_wait && describe (x, &request)
          && cv_unplaced_covers (&unplaced, &request))
        continue;
      t = must_wait ? NULL : cv_choose_target (x);
      if (t == NULL)
        {
          if (!end_hopeless (x, &is_full) && is_full && !must_wait
              && describe (x, &request))
            cv_unplaced_add (&unplaced, &request);
          continue;
        }
      if (cv_client_has_left (x->client))
        {
          cv_client_close (x->client, CV_CLOSE_BY_CALLER);
          continue;
        }
      TAILQ_REMOVE (&g->waiting, x, waiting);
      x->is_queued = false;
      if (!cv_exchange_reserve (x, t))
        cv_attempt_start (x, t);
    }
  g->next_pass_at = cv_now () + PASS_SHARE * (cv_time_t)cv_step_end (&step);
}

void
cv_exchange_place_waiting (cv_gateway_t *g)
{
  place_waiting (g, false);
}

/* ---- timeouts ---- */

/* Ends X if it has become known, since it was sent, that a part of its prompt
   crashes engines: its engine, which has not begun the answer, may drop it in
   time.  */
static bool
recall_quarantined (cv_exchange_t *x, cv_time_t now)
{
  if (x->identity.part_count == 0 || x->state != CV_EXCHANGE_SENT
      || cv_exchange_content_state (x) != CV_CONTENT_QUARANTINED)
    return false;
  x->may_have_run = true;
  cv_suspect_request_finish (&x->target->recalled);
  cv_suspect_request_init_copy (&x->target->recalled, &x->identity);
  x->target->recalled_at = now;
  cv_attempt_stop (x);
  return cv_exchange_refuse_quarantined (x);
}

static void
check_timeouts (cv_exchange_t *x, cv_time_t now)
{
  if (now >= x->deadline)
    {
      x->may_have_run |= x->target != NULL;
      cv_attempt_stop (x);
      cv_exchange_fail (x, "time is over", true);
      return;
    }
  if (x->reservation_target != NULL)
    {
      cv_exchange_reserve_tick (x, now);
      return;
    }
  if (cv_resume_is_pending (x))
    {
      cv_resume_tick (x, now);
      return;
    }
  if (x->permit.target != NULL)
    {
      cv_permit_tick (x, now);
      return;
    }
  if (x->state == CV_EXCHANGE_WAITING)
    {
      if (x->awaited_target != NULL && now >= x->awaited_until)
        {
          cv_crash_check_forget (x);
          cv_exchange_place (x);
        }
      else if (is_wait_over (x, now))
        cv_exchange_fail (x, "no target has room in time", false);
      return;
    }
  if (recall_quarantined (x, now))
    return;
  cv_attempt_tick (x, now);
  if (cv_exchange_is_overdue (x, now))
    cv_attempt_record_outcome (x, false);
  if (cv_exchange_is_silent (x, now))
    {
      cv_attempt_record_outcome (x, false);
      cv_exchange_replace_silent_target (x);
    }
}

void
cv_exchanges_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_exchange_t *x;
  cv_exchange_t *next;

  cv_waiting_tick (g, now);
  place_waiting (g, true);
  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = next)
    {
      next = TAILQ_NEXT (x, entry);
      check_timeouts (x, now);
    }
}

void
cv_exchanges_end (cv_gateway_t *g, bool cut_responses)
{
  cv_exchange_t *x;
  cv_exchange_t *next;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = next)
    {
      next = TAILQ_NEXT (x, entry);
      if (x->head_sent && !cut_responses)
        continue;
      x->may_have_run |= x->target != NULL;
      cv_attempt_stop (x);
      if (x->may_have_run)
        cv_exchange_fail (x, "gateway stops", false);
      else
        cv_exchange_refuse_stopping (x, "gateway stops");
    }
}
