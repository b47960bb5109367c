/* The response of a target to an attempt: forwards it to the caller, or has it
   sent again.  */

#include "gateway/state.h"

/* Response bodies up to this size are buffered before they are forwarded, so
   that the request can be retried if the response fails.  */
#define BUFFERED_BODY_MAX_BYTES (256u * 1024)
/* The same in a stop, when the request can still be refused that way.  */
#define STOP_BUFFERED_BODY_MAX_BYTES (4u * 1024 * 1024)
/* Most responses to earlier requests that precede the right one; a target sends
   one for each request that was given up on the connection.  */
#define SKIPPED_RESPONSES_MAX 8
/* A response of which more than this waits for its caller is not read on while
   those of all callers take their part of the memory.  */
#define UNREAD_MAX_BYTES (1024u * 1024)
/* These leave this part of the limit of large callers free, so that callers
   that read slowly are not shed.  */
#define UNREAD_FREE_DIVISOR 16

static void on_head (cv_exchange_t *x);
static void on_body (cv_exchange_t *x, cv_slice_t data);
static void on_done (cv_exchange_t *x, cv_body_end_t end);
static void on_failed (cv_exchange_t *x, cv_http_link_failure_t failure);

void
cv_attempt_handle_event (void *owner, const cv_http_link_event_t *event)
{
  cv_exchange_t *x = owner;

  switch (event->kind)
    {
    case CV_LINK_HEAD:
      on_head (x);
      return;
    case CV_LINK_BODY:
      on_body (x, event->u.body);
      return;
    case CV_LINK_DONE:
      on_done (x, event->u.end);
      return;
    case CV_LINK_FAILED:
      on_failed (x, event->u.failure);
      return;
    }
}

static cv_framing_t
caller_framing (const cv_exchange_t *x)
{
  return x->client->reader.head.http_1_0 ? CV_FRAMING_CLOSE
                                         : CV_FRAMING_CHUNKED;
}

static void
send_head (cv_exchange_t *x, cv_framing_t framing, size_t length)
{
  cv_buf_t head;

  if (framing == CV_FRAMING_CLOSE)
    x->client->close_after = x->client->body_ends_at_close = true;
  cv_buf_init (&head);
  cv_response_encode_head (&head, &x->link->reader.head, framing, length,
                           cv_client_decide_close (x->client));
  cv_client_send (x->client, (cv_slice_t){ head.p, head.n },
                  (cv_slice_t){ NULL, 0 });
  cv_buf_finish (&head);
  x->head_sent = true;
}

/* Why a success response H must not be forwarded, or NULL.  It must have the
   field with the target's signature of the body, which is not verified here,
   and no Content-Encoding, which a proxy adds.  */
static const char *
success_fault (const cv_http_head_t *h, const cv_answer_fields_t *fields)
{
  if (h->status < 200 || h->status > 299)
    return NULL;
  if (!fields->is_signed)
    return "success without the target's signature";
  if (cv_http_field (h, "Content-Encoding").p != NULL)
    return "encoded answer";
  return NULL;
}

/* Whether the response of X is a stream, which is whole only if it ends between
   two events.  */
static bool
is_stream (const cv_exchange_t *x, const cv_answer_fields_t *fields)
{
  unsigned status = x->link->reader.head.status;

  return fields->is_event_stream && status >= 200 && status <= 299
         && !cv_http_reader_has_no_body (&x->link->reader);
}

static void
begin_buffering (cv_exchange_t *x)
{
  x->state = CV_EXCHANGE_BUFFERING;
  x->last_activity_at = cv_now ();
}

/* Records what the target's answer says of the target.  A rejection may lack
   the limit that the other answers name.  */
static void
observe_target (cv_exchange_t *x, const cv_answer_fields_t *fields)
{
  if (!x->is_rejected || fields->limit != CV_LIMIT_NONE)
    cv_limit_observe (x->target, fields, x->sent_at);
  cv_leaving_observe (x->target, fields);
  cv_target_observe_pause (x->target, fields);
}

static cv_answer_name_t
answer_name (const cv_exchange_t *x, const cv_answer_fields_t *fields)
{
  if (x->request.attempt.p == NULL
      && (fields->attempt.p == NULL || x->link->exchanges == 1))
    return CV_ANSWER_TO_UNNAMED;
  if (fields->attempt.p == NULL)
    return CV_ANSWER_UNNAMED;
  return cv_slice_equal (fields->attempt, x->request.attempt)
             ? CV_ANSWER_OF_THIS
             : CV_ANSWER_OF_ANOTHER;
}

static cv_answer_verdict_t
judge_answer (cv_exchange_t *x, const cv_answer_fields_t *fields)
{
  x->answer_name = answer_name (x, fields);
  x->skip_response = false;
  return cv_answer_judge (x->answer_name, x->link->exchanges);
}

static void
on_head (cv_exchange_t *x)
{
  const cv_http_head_t *h = &x->link->reader.head;
  cv_answer_fields_t fields;
  const char *fault;

  cv_platform_decode_answer (h, &fields);
  switch (judge_answer (x, &fields))
    {
    case CV_ANSWER_IS_DUE:
      break;
    case CV_ANSWER_IS_SKIPPED:
      x->skip_response = true;
      return;
    case CV_ANSWER_IN_DOUBT:
      cv_attempt_record_outcome (x, false);
      cv_exchange_handle_failure (x, "answer names no request", true);
      return;
    }
  x->is_rejected = fields.not_run;
  x->is_signed = fields.is_signed;
  /* A response with status 421 is another target's.  */
  if (h->status != 421)
    observe_target (x, &fields);
  if (x->is_rejected)
    return;
  fault = success_fault (h, &fields);
  if (fault != NULL)
    {
      cv_exchange_handle_failure (x, fault, true);
      return;
    }
  if (x->head_sent)
    {
      if (h->status != 200 || !fields.is_event_stream)
        cv_exchange_handle_failure (x, "target did not resume the stream",
                                    true);
      return;
    }
  if (!is_stream (x, &fields))
    {
      begin_buffering (x);
      return;
    }
  if (cv_exchange_can_begin_response (x))
    {
      x->state = CV_EXCHANGE_STREAMING;
      return;
    }
  if (cv_exchange_is_generation (x))
    cv_exchange_handle_failure (x, "stream cannot end before the stop", true);
  else
    x->state = CV_EXCHANGE_COLLECTING;
}

/* Forwards the buffered part of a large response, then the rest as it
   arrives.  */
static void
start_relaying (cv_exchange_t *x)
{
  send_head (x, caller_framing (x), 0);
  cv_response_send_data (
      x->client, caller_framing (x),
      (cv_slice_t){ x->response_body.p, x->response_body.n });
  cv_buf_finish (&x->response_body);
  x->state = CV_EXCHANGE_RELAYING;
}

/* Adds N events of X to the pace of its engine, unless an observer tells it. */
static void
observe_pace (cv_exchange_t *x, uint64_t n, cv_time_t now)
{
  cv_target_t *t = x->target;

  if (!x->resume_pending && !cv_target_is_observed (t, now))
    cv_event_pace_add (&t->event_pace, now, now - x->last_event_at,
                       n * x->service->engine.event_tokens,
                       t->candidate.in_flight);
}

/* Records the time of N events for the log, the histograms and the pace.  */
static void
record_event (cv_exchange_t *x, uint64_t n, cv_time_t now)
{
  cv_line_t l;

  if (x->last_event_at == 0)
    {
      x->first_event_delay = now - x->started_at;
      cv_hist_add (&x->gateway->first_event,
                   (double)x->first_event_delay / (double)CV_MS);
    }
  else
    {
      observe_pace (x, n, now);
      if (now - x->last_event_at > x->max_gap)
        x->max_gap = now - x->last_event_at;
    }
  if (x->resume_pending)
    {
      x->resume_pending = false;
      cv_line_begin (&l, CV_EV_GATEWAY_RESUMED);
      cv_line_text (&l, "request", x->request.attempt);
      cv_line_text (&l, "target", cv_slice (x->target->record.id));
      cv_line_text (&l, "software", cv_slice (x->target->record.software));
      cv_line_number (&l, "pause_us", now - x->last_event_at);
      cv_line_number (&l, "events", (int64_t)x->events.count);
      cv_line_end (&l);
    }
  x->last_event_at = now;
  x->last_activity_at = now;
}

/* Whether the target of X must not be read for now.  What the target has sent
   is buffered as long as there is memory, since a caller that reads slowly gets
   the rest after the deadline too.  */
static bool
must_pause (const cv_exchange_t *x)
{
  uint64_t most = cv_held_limits (x->gateway).large;

  return cv_client_unread_bytes (x->client) > UNREAD_MAX_BYTES
         && x->gateway->held.unread > most - most / UNREAD_FREE_DIVISOR;
}

static void
pause_if_unread (cv_exchange_t *x)
{
  if (x->is_paused || x->link == NULL || !must_pause (x))
    return;
  x->is_paused = true;
  cv_http_link_set_paused (x->link, true);
}

/* The head of a stream is sent with its first event, or at its end: a run that
   ends before is no loss to the caller, whose request may still be refused.  */
static void
begin_stream (cv_exchange_t *x)
{
  if (!x->head_sent)
    send_head (x, caller_framing (x), 0);
}

static void
forward_events (cv_exchange_t *x, cv_slice_t data)
{
  uint64_t count = x->events.count;
  cv_error_t err = { 0 };
  cv_buf_t out;
  bool ok;

  cv_buf_init (&out);
  ok = cv_events_feed (&x->events, data, &out, &err);
  /* A target that sends comments only makes no progress.  */
  if (x->events.count > count)
    {
      cv_attempt_prefill_done (x);
      cv_version_note_event (x);
      record_event (x, x->events.count - count, cv_now ());
    }
  if (out.n > 0)
    {
      begin_stream (x);
      cv_response_send_data (x->client, caller_framing (x),
                             (cv_slice_t){ out.p, out.n });
    }
  cv_buf_finish (&out);
  if (!ok)
    cv_exchange_handle_failure (x, err.text, true);
  else
    pause_if_unread (x);
}

/* Keeps the events of a stream until its end, since a response that has not
   begun can still be refused.  */
static void
collect_events (cv_exchange_t *x, cv_slice_t data)
{
  uint64_t count = x->events.count;
  cv_error_t err = { 0 };

  if (!cv_events_feed (&x->events, data, &x->response_body, &err))
    {
      cv_exchange_handle_failure (x, err.text, true);
      return;
    }
  if (x->events.count > count)
    {
      cv_attempt_prefill_done (x);
      x->last_activity_at = cv_now ();
    }
  cv_held_update (x->client);
  if (x->response_body.n > STOP_BUFFERED_BODY_MAX_BYTES)
    cv_exchange_handle_failure (
        x, "response is too large to end before the stop", true);
}

void
cv_attempt_tick (cv_exchange_t *x, cv_time_t now)
{
  if (!x->is_paused || x->link == NULL)
    return;
  /* The target is not silent; it is not read.  */
  x->last_activity_at = now;
  if (must_pause (x))
    return;
  x->is_paused = false;
  cv_http_link_set_paused (x->link, false);
}

static void
on_body (cv_exchange_t *x, cv_slice_t data)
{
  if (x->skip_response || x->is_rejected)
    return;
  switch (x->state)
    {
    case CV_EXCHANGE_BUFFERING:
      x->last_activity_at = cv_now ();
      cv_buf_add (&x->response_body, data.p, data.n);
      cv_held_update (x->client);
      if (x->response_body.n <= BUFFERED_BODY_MAX_BYTES)
        return;
      if (cv_exchange_can_begin_response (x))
        start_relaying (x);
      else if (x->response_body.n > STOP_BUFFERED_BODY_MAX_BYTES)
        cv_exchange_handle_failure (
            x, "response is too large to end before the stop", true);
      return;
    case CV_EXCHANGE_RELAYING:
      cv_response_send_data (x->client, caller_framing (x), data);
      pause_if_unread (x);
      return;
    case CV_EXCHANGE_STREAMING:
      forward_events (x, data);
      return;
    case CV_EXCHANGE_COLLECTING:
      collect_events (x, data);
      return;
    case CV_EXCHANGE_WAITING:
    case CV_EXCHANGE_RESERVING:
    case CV_EXCHANGE_SENT:
      return;
    }
}

/* Returns the connection to the target's idle connections, or closes it.  */
static void
release_link (cv_exchange_t *x)
{
  cv_http_link_t *l = x->link;

  x->link = NULL;
  if (cv_answer_keeps_connection (x->answer_name))
    cv_target_release_link (x->target, l);
  else
    cv_http_link_close (l);
}

static void
send_buffered_response (cv_exchange_t *x)
{
  bool head_only = x->client->reader.head.method == HTTP_HEAD;

  send_head (x, head_only ? CV_FRAMING_NONE : CV_FRAMING_LENGTH,
             x->response_body.n);
  if (x->response_body.n > 0)
    cv_client_send (x->client,
                    (cv_slice_t){ x->response_body.p, x->response_body.n },
                    (cv_slice_t){ NULL, 0 });
}

static cv_failure_retries_t *
failure_retries (const cv_exchange_t *x)
{
  return &cv_route_state (x->gateway, x->route->name)->failure_retries;
}

/* A status of 500 may belong to the request: any target answers the same.  */
static bool
should_retry_response (cv_exchange_t *x)
{
  unsigned status = x->link->reader.head.status;

  if (x->route->kind != CV_ROUTE_IDEMPOTENT)
    return false;
  if (x->is_failure_retry)
    cv_failure_retries_record (failure_retries (x), status < 500);
  x->is_failure_retry = false;
  if (status < 500 || !cv_exchange_can_retry (x))
    return false;
  if (status != 500)
    return true;
  x->is_failure_retry = cv_failure_retries_take (failure_retries (x));
  x->gateway->counts.failures_passed_on += !x->is_failure_retry;
  return x->is_failure_retry;
}

static cv_stop_order_t
stop_order (const cv_exchange_t *x)
{
  if (x->migration != NULL && cv_migration_is_stopping_run (x->migration))
    return CV_STOP_PENDING;
  return x->doubted_target != NULL && x->doubted_target == x->target
             ? CV_STOP_IN_DOUBT
             : CV_STOP_NOT_ORDERED;
}

static cv_stream_verdict_t
judge_stream_end (const cv_exchange_t *x, cv_stream_end_t end)
{
  return cv_stream_end_judge (end, cv_events_may_end (&x->events),
                              stop_order (x));
}

/* The connection has ended while the run is being stopped: the migration
   decides how the stream goes on, or that it is complete.  */
static void
await_migration (cv_exchange_t *x, cv_stream_end_t end)
{
  cv_migration_log_source_end (x->migration, end == CV_STREAM_END_CLOSED
                                                 ? "connection closed"
                                                 : "connection failed");
  cv_http_link_close (x->link);
  x->link = NULL;
  x->awaits_migration = true;
  x->stream_ended_at = cv_now ();
  x->stream_end = end;
}

void
cv_attempt_complete_stream (cv_exchange_t *x)
{
  cv_attempt_record_outcome (x, true);
  cv_evidence_completed (&x->gateway->evidence, x);
  if (x->state == CV_EXCHANGE_COLLECTING)
    {
      if (x->events.count > 0)
        cv_version_note_event (x);
      send_buffered_response (x);
    }
  else
    {
      begin_stream (x);
      cv_response_end_body (x->client, caller_framing (x));
    }
  if (x->link != NULL)
    release_link (x);
  cv_exchange_end (x, true);
}

static void
on_stream_done (cv_exchange_t *x)
{
  cv_stream_end_t end = x->body_end == CV_BODY_END_CLOSE ? CV_STREAM_END_CLOSED
                                                         : CV_STREAM_END_TOLD;

  switch (judge_stream_end (x, end))
    {
    case CV_STREAM_IS_COMPLETE:
      cv_attempt_complete_stream (x);
      return;
    case CV_STREAM_WAITS_FOR_MIGRATION:
      await_migration (x, end);
      return;
    case CV_STREAM_IS_INTERRUPTED:
      cv_attempt_record_outcome (x, true);
      cv_crash_check_begin (x);
      if (cv_events_may_end (&x->events))
        {
          x->gateway->counts.streams_in_doubt++;
          cv_exchange_handle_failure (x, "run may have been stopped", true);
        }
      else
        cv_exchange_handle_failure (x, "stream ends early", true);
      return;
    }
}

static void
on_done (cv_exchange_t *x, cv_body_end_t end)
{
  const cv_http_head_t *h = &x->link->reader.head;

  x->body_end = end;
  if (x->skip_response)
    {
      if (++x->skipped_responses > SKIPPED_RESPONSES_MAX)
        {
          cv_attempt_record_outcome (x, false);
          cv_exchange_handle_failure (x, "too many answers to other requests",
                                      true);
          return;
        }
      cv_http_link_await_next (x->link);
      return;
    }
  if (x->is_rejected)
    {
      x->rejections++;
      cv_exchange_handle_rejection (x, h->status);
      return;
    }
  if (x->state == CV_EXCHANGE_STREAMING || x->state == CV_EXCHANGE_COLLECTING)
    {
      on_stream_done (x);
      return;
    }
  cv_attempt_record_outcome (x, h->status < 500);
  if (x->is_signed)
    cv_evidence_completed (&x->gateway->evidence, x);
  if (x->state == CV_EXCHANGE_RELAYING)
    cv_response_end_body (x->client, caller_framing (x));
  else if (should_retry_response (x))
    {
      /* The reason means a status of 500 or more.  */
      cv_exchange_handle_failure (x, "target's own failure", true);
      return;
    }
  else
    send_buffered_response (x);
  release_link (x);
  cv_exchange_end (x, true);
}

static const char *
failure_text (cv_http_link_failure_t failure)
{
  switch (failure)
    {
    case CV_LINK_NO_SOCKET:
      return "no socket";
    case CV_LINK_NOT_CONNECTED:
      return "no connection";
    case CV_LINK_RESET:
      return "connection ended early";
    case CV_LINK_INVALID_RESPONSE:
      return "malformed answer";
    }
  return "unknown failure";
}

static void
on_failed (cv_exchange_t *x, cv_http_link_failure_t failure)
{
  if (judge_stream_end (x, CV_STREAM_END_BROKEN)
      == CV_STREAM_WAITS_FOR_MIGRATION)
    {
      await_migration (x, CV_STREAM_END_BROKEN);
      return;
    }
  switch (failure)
    {
    case CV_LINK_NO_SOCKET:
      /* The shortage is this process's, and tells nothing of the target.  */
      x->connect_failures++;
      break;
    case CV_LINK_NOT_CONNECTED:
      cv_health_unreachable (&x->target->health, cv_now ());
      x->connect_failures++;
      break;
    case CV_LINK_RESET:
      cv_attempt_record_outcome (x, false);
      cv_crash_check_begin (x);
      break;
    case CV_LINK_INVALID_RESPONSE:
      cv_attempt_record_outcome (x, false);
      break;
    }
  cv_exchange_handle_failure (x, failure_text (failure),
                              cv_http_link_may_have_sent (failure));
}
