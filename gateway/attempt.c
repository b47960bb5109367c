/* One attempt at one target: accounting and sending the request.  relay.c
   forwards the response.  */

#include <string.h>

#include "gateway/state.h"

/* Engines accept priorities from 0 to 9.  */
#define PRIORITY_MAX 9
/* Route priorities that are distinguished within one account priority.  */
#define ROUTE_PRIORITIES 2

static uint32_t
remaining_ms (const cv_exchange_t *x, cv_time_t now)
{
  cv_time_t left = x->deadline - now;

  return left > 0 ? (uint32_t)(left / CV_MS) : 0;
}

/* The gateway's own queue uses only the route's priority, unless the service is
   ranked.  */
uint32_t
cv_exchange_rank (const cv_exchange_t *x)
{
  uint64_t account = x->account != NULL && x->account->has_priority
                         ? x->account->priority
                         : 0;
  uint64_t rank = ROUTE_PRIORITIES * account + x->route->priority;

  return rank < CV_SHORTAGE_RANK_MAX ? (uint32_t)rank : CV_SHORTAGE_RANK_MAX;
}

static uint32_t
engine_priority (const cv_exchange_t *x)
{
  uint32_t rank = cv_exchange_rank (x);

  return rank < PRIORITY_MAX ? rank : PRIORITY_MAX;
}

static void
encode_request (cv_exchange_t *x, cv_buf_t *out)
{
  const cv_http_head_t *head = &x->client->reader.head;
  cv_forwarding_t f = { .instance = x->target->record.id,
                        .account = x->account != NULL ? x->account->name : NULL,
                        .remaining_ms = remaining_ms (x, cv_now ()),
                        .body_bytes = cv_client_body (x->client).n,
                        .has_body = head->has_length || head->chunked,
                        .has_priority = x->service->is_engine,
                        .priority = engine_priority (x),
                        .has_last_event = x->request.has_last_event,
                        .last_event = x->request.last_event };

  if (x->events.has_last_id || x->from_copy)
    {
      f.has_last_event = true;
      f.last_event = x->events.last_id;
    }
  if (x->from_copy)
    {
      f.from = &x->copy_source->record.address;
      f.from_handle = cv_slice (x->copy_handle);
    }
  cv_platform_encode_request (out, head, &f);
}

static void
assign_target (cv_exchange_t *x, cv_target_t *t)
{
  x->target = cv_target_ref (t);
  x->gateway->are_sums_current = false;
  t->in_flight++;
  t->expected_tokens += x->need_tokens;
  t->prefill_tokens += x->request.prompt_tokens;
  x->is_prefill_counted = true;
  if (x->tried_count < CV_TRIED_MAX)
    {
      cv_tried_t *tried = &x->tried[x->tried_count++];

      (void)cv_copy (tried->id, sizeof tried->id, t->record.id);
      tried->started_ms = t->record.started_ms;
    }
}

static void
log_sent (cv_exchange_t *x)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_SENT);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "route", cv_slice (x->route->name));
  cv_line_text (&l, "target", cv_slice (x->target->record.id));
  cv_line_text (&l, "software", cv_slice (x->target->record.software));
  cv_exchange_log_content (x, &l);
  cv_line_number (&l, "attempt", x->sends);
  cv_line_number (&l, "waited_us", cv_now () - x->started_at);
  cv_line_number (&l, "late", cv_exchange_is_late (x, cv_now ()));
  if (x->target->leaving_since > 0)
    {
      cv_line_number (&l, "leaving_us", x->sent_at - x->target->leaving_since);
      x->gateway->counts.sent_to_leaving += !x->from_copy;
    }
  cv_line_number (&l, "version", (int64_t)x->routing->version);
  if (x->gateway->stopping)
    cv_line_number (&l, "stop_left_us", x->gateway->stop.ends_at - x->sent_at);
  if (x->service->is_engine)
    {
      cv_line_number (&l, "need_tokens", (int64_t)x->need_tokens);
      cv_line_number (&l, "memory_used",
                      (int64_t)x->target->candidate.memory_used);
      cv_line_number (&l, "prompt_backlog",
                      (int64_t)x->target->candidate.prompt_backlog);
      cv_line_number (&l, "load_age_us",
                      x->target->load_received_at > 0
                          ? x->sent_at - x->target->load_received_at
                          : -1);
    }
  cv_line_end (&l);
}

void
cv_attempt_start (cv_exchange_t *x, cv_target_t *t)
{
  cv_buf_t head;

  if (x->from_copy && cv_exchange_avoid_evacuated (x, t))
    return;
  if (!cv_target_admits (x, t, cv_now ()) || cv_trial_is_needed (x))
    {
      /* T has said that it is leaving or pauses, its domain is evacuated, the
         stream got its first event, or the quarantine of what X holds has
         ended, while T was reserved.  */
      x->gateway->counts.evacuation_diversions += cv_target_is_evacuated (t);
      cv_exchange_release_reservation (x, t);
      if (x->from_copy)
        {
          cv_exchange_handle_failure (x, "target of the copy takes no requests",
                                      false);
          return;
        }
      cv_exchange_place (x);
      return;
    }
  if (cv_exchange_avoid_pause (x, t))
    return;
  if (cv_exchange_avoid_cold (x, t) || cv_permit_await (x, t))
    return;
  assign_target (x, t);
  if (cv_exchange_refuse_quarantined (x))
    return;
  x->state = x->head_sent ? CV_EXCHANGE_STREAMING : CV_EXCHANGE_SENT;
  x->resume_pending = x->head_sent;
  x->sent_at = cv_now ();
  x->gateway->are_sums_current = false;
  x->last_activity_at = x->sent_at;
  x->skip_response = false;
  x->answer_name = CV_ANSWER_UNNAMED;
  x->is_target_in_doubt = false;
  x->skipped_responses = 0;
  x->is_paused = false;
  x->is_rejected = false;
  x->is_signed = false;
  cv_exchange_note_strikes (x);
  x->awaits_migration = false;
  x->is_outcome_recorded = false;
  cv_buf_reset (&x->response_body);
  if (x->head_sent)
    cv_events_restart (&x->events);
  else
    cv_exchange_rewind (x);
  x->link = cv_target_acquire_link (t, !cv_route_is_repeatable (x->route));
  x->sends++;
  cv_refusal_record (&x->service_state->refusals, false);
  x->gateway->counts.sends++;
  cv_warmup_note_sent (x, t);
  cv_shortage_note_sent (x);
  log_sent (x);
  cv_buf_init (&head);
  encode_request (x, &head);
  cv_http_link_send (x->link, (cv_slice_t){ head.p, head.n },
                     (cv_slice_t){ NULL, 0 }, cv_attempt_handle_event, x);
  if (x->client->body != NULL)
    cv_http_link_send_body (x->link, x->client->body);
  x->link->reader.no_body = x->client->reader.head.method == HTTP_HEAD;
  cv_buf_finish (&head);
}

void
cv_attempt_prefill_done (cv_exchange_t *x)
{
  if (!x->is_prefill_counted)
    return;
  x->is_prefill_counted = false;
  x->target->prefill_tokens -= x->request.prompt_tokens;
}

void
cv_attempt_record_outcome (cv_exchange_t *x, bool served)
{
  bool is_late = x->is_outcome_recorded;

  if (is_late && !served)
    return;
  x->is_outcome_recorded = true;
  if (is_late)
    cv_health_late_success (&x->target->health);
  else if (served)
    cv_health_success (&x->target->health);
  else
    cv_target_record_failure (x->target);
  if (x->request.is_generation)
    cv_reserve_send_end (x->target, x->request.attempt,
                         served ? CV_RESERVATION_RUN_COMPLETED
                                : CV_RESERVATION_RUN_FAILED);
}

void
cv_attempt_stop (cv_exchange_t *x)
{
  cv_exchange_cancel_reservation (x);
  cv_permit_cancel (x);
  if (x->migration != NULL)
    cv_migration_detach (x->migration);
  if (x->link != NULL)
    {
      cv_http_link_close (x->link);
      x->link = NULL;
    }
  if (x->target != NULL)
    {
      cv_attempt_prefill_done (x);
      cv_exchange_release_reservation (x, x->target);
      x->target->in_flight--;
      x->target->expected_tokens -= x->need_tokens;
      cv_target_unref (x->target);
      x->target = NULL;
      x->gateway->are_sums_current = false;
    }
}
