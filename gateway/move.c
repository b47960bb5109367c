/* Migration of one run with its KV cache to another engine: reserve memory at
   the destination, copy while the run continues, stop the run and copy the
   rest, then resume the stream at the destination.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* Copying the largest run to another failure domain takes about 0.5 s, and the
   copy may queue behind others.  */
#define MIGRATION_CALL_TIMEOUT (2500 * CV_MS)
/* Size limit of an engine's answer to an order: a handle and a number.  */
#define RESPONSE_BODY_MAX_BYTES (16u * 1024)
/* Time from the loss of the source's response until its stream ends, if the
   source itself is lost.  Its connections end after up to 2 s (link.c).  An
   event that arrives this much later shows that the run goes on.  */
#define SOURCE_END_WAIT (2500 * CV_MS)
#define LAST_EVENTS_WAIT (250 * CV_MS)
/* An engine answers the order as soon as it has copied the rest; while it does
   not, the caller waits.  Twice the time of the largest copy.  */
#define ANSWER_WAIT CV_SECOND
/* Most orders to stop a run that goes on although their outcome is unknown.  */
#define UNSETTLED_ORDERS_MAX 3
/* A source that carries out an order is asked again at this interval, for as
   long as it may take to answer one.  */
#define IN_PROGRESS_INTERVAL (250 * CV_MS)
#define IN_PROGRESS_MAX MIGRATION_CALL_TIMEOUT
/* Growth of a run while it is copied.  */
#define GROWTH_MARGIN_TOKENS 64

/* An observer replies in about 2 ms; the same time as in ask.c.  */
#define REPLY_TIMEOUT (40 * CV_MS)
/* Most destinations at which one migration requests a reservation.  */
#define DESTINATIONS_MAX 8
/* A destination whose observer refused a migration or did not reply is not
   tried again for this time.  An observer polls its engine's load about as
   often (report_ms).  */
#define REFUSED_BACKOFF (60 * CV_MS)
/* The same for one to which the source could not copy: it has no room for the
   copy, or does not answer.  Without an observer nothing tells when it has.  */
#define COPY_REFUSED_BACKOFF (500 * CV_MS)
/* Backoff of a run for which no engine had room.  A draining engine gives at
   least 1.4 s notice, and full engines stay full for seconds.  */
#define RESCUE_BACKOFF (50 * CV_MS)
#define BALANCE_BACKOFF (300 * CV_MS)

/* Log lines have the number of the phase.  */
typedef enum
{
  CV_MIGRATION_RESERVE = 1, /* requested memory at the destination */
  CV_MIGRATION_COPY,        /* the source copies, the run continues */
  CV_MIGRATION_STOP,        /* the source stops the run and copies the rest */
  CV_MIGRATION_FREE_AT_SOURCE,      /* the source frees an unused copy */
  CV_MIGRATION_FREE_AT_DESTINATION, /* the destination frees its side */
  CV_MIGRATION_AWAIT_END,   /* the response to STOP was lost; the run may end */
  CV_MIGRATION_IN_PROGRESS, /* an order is carried out; asked again */
  CV_MIGRATION_HOLD /* no further orders; the copy is kept until the stream
                       ends */
} cv_migration_phase_t;

struct cv_migration_t
{
  TAILQ_ENTRY (cv_migration_t) entry; /* in the list of all migrations */
  cv_exchange_t *exchange;            /* NULL after its end */
  cv_target_t *source;
  cv_target_t *destination;
  uint64_t incoming_tokens; /* counted in the destination's incoming_tokens */
  cv_http_call_t call;
  cv_migration_phase_t phase;
  cv_reservation_purpose_t purpose;
  cv_time_t reservation_sent_at;
  uint32_t reservation_requests;
  cv_time_t started_at;
  cv_time_t ticked_at;
  cv_time_t response_lost_at;  /* of CV_MIGRATION_AWAIT_END */
  cv_time_t in_progress_since; /* first answer that says so */
  cv_time_t in_progress_at;    /* the last one */
  bool is_link_requested;      /* the destination's lease, or it has it */
  bool is_resumed; /* at the destination: the reservation stays in use */
  uint32_t stop_orders;
  cv_time_t stop_sent_at;    /* the last of them */
  uint32_t unsettled_orders; /* of them, those whose outcome is unknown */
  const char *outcome;
  unsigned status; /* of the source's last answer to an order to copy, or 0 */
  char run[CV_RUN_MAX];
  char handle[CV_NAME_MAX]; /* of the copy, empty when there is none */
};

static void on_result (void *owner, const cv_http_result_t *r);
static void release_destination (cv_migration_t *m);
static void release_link (cv_migration_t *m);
static void reserve_elsewhere (cv_migration_t *m, cv_time_t backoff);

static const char *
purpose_text (cv_reservation_purpose_t purpose)
{
  switch (purpose)
    {
    case CV_RESERVE_NEW:
    case CV_RESERVE_LATE:
      return "new run";
    case CV_RESERVE_BALANCE:
      return "frees memory of a full engine";
    case CV_RESERVE_RESCUE:
      return "engine is draining or out of memory";
    }
  return "";
}

/* Logs the start of M with its purpose in the field `outcome`, or its end with
   the outcome.  */
static void
log_migration (const cv_migration_t *m, cv_event_t event, const char *text)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_text (&l, "from", cv_slice (m->source->record.id));
  cv_line_text (
      &l, "to",
      cv_slice (m->destination != NULL ? m->destination->record.id : ""));
  cv_line_text (&l, "outcome", cv_slice (text));
  cv_line_number (&l, "phase", m->phase);
  cv_line_number (&l, "status", m->status);
  cv_line_number (&l, "after_us", cv_now () - m->started_at);
  cv_line_end (&l);
}

void
cv_migration_log_source_end (const cv_migration_t *m, const char *how)
{
  const cv_events_t *events = &m->exchange->events;
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_MOVE_SOURCE_ENDED);
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_text (&l, "target", cv_slice (m->source->record.id));
  cv_line_text (&l, "end", cv_slice (how));
  cv_line_number (&l, "events", (int64_t)events->count);
  cv_line_number (&l, "partial_bytes", (int64_t)events->partial.n);
  cv_line_number (&l, "phase", m->phase);
  cv_line_number (&l, "after_us", cv_now () - m->started_at);
  cv_line_end (&l);
}

static void
log_stop_sent (const cv_migration_t *m)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_MOVE_STOP_SENT);
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_text (&l, "target", cv_slice (m->source->record.id));
  cv_line_number (&l, "orders", m->stop_orders);
  cv_line_number (&l, "after_us", cv_now () - m->started_at);
  cv_line_end (&l);
}

/* Frees M, which is in no list.  */
static void
release (cv_migration_t *m)
{
  if (!m->is_resumed && m->destination != NULL)
    cv_reserve_send_end (m->destination, cv_slice (m->run),
                         CV_RESERVATION_RELEASED);
  cv_lease_send (m->source, cv_slice (m->run), CV_LEASE_RELEASED, 0);
  log_migration (m, CV_EV_GATEWAY_MOVE_ENDED, m->outcome);
  if (m->exchange != NULL)
    m->exchange->migration = NULL;
  if (m->source->migration == m)
    m->source->migration = NULL;
  if (m->destination != NULL)
    release_destination (m);
  cv_http_call_finish (&m->call);
  cv_target_unref (m->source);
  free (m);
}

static void
finish (cv_migration_t *m)
{
  TAILQ_REMOVE (&m->source->gateway->migrations, m, entry);
  release (m);
}

static void
send_order (cv_migration_t *m, bool is_final)
{
  cv_buf_t body;

  cv_buf_init (&body);
  cv_platform_encode_migration (&body, cv_slice (m->run),
                                &m->destination->record.address, is_final);
  cv_http_call_start (&m->call, "POST", cv_platform_migration_path (),
                      (cv_slice_t){ body.p, body.n }, MIGRATION_CALL_TIMEOUT);
  cv_buf_finish (&body);
}

static void
order_copy (cv_migration_t *m)
{
  m->phase = CV_MIGRATION_COPY;
  send_order (m, false);
}

static void
order_stop (cv_migration_t *m)
{
  m->phase = CV_MIGRATION_STOP;
  m->stop_orders++;
  m->stop_sent_at = cv_now ();
  log_stop_sent (m);
  send_order (m, true);
}

/* Frees a copy that is not used.  The source frees both sides AT_SOURCE.
   Otherwise the destination frees only its own side: the source did not
   respond, or the source resumes the run and still needs the source's side.  */
static void
free_copy (cv_migration_t *m, bool at_source)
{
  cv_buf_t path;

  m->phase = at_source ? CV_MIGRATION_FREE_AT_SOURCE
                       : CV_MIGRATION_FREE_AT_DESTINATION;
  if (!at_source)
    {
      cv_http_call_finish (&m->call);
      cv_http_call_init (&m->call, m->destination->gateway->base,
                         &m->destination->record.address,
                         RESPONSE_BODY_MAX_BYTES, on_result, m);
    }
  cv_buf_init (&path);
  cv_platform_kv_handle_path (&path, m->handle);
  cv_http_call_start (&m->call, "DELETE", cv_buf_text (&path),
                      (cv_slice_t){ NULL, 0 }, MIGRATION_CALL_TIMEOUT);
  cv_buf_finish (&path);
}

/* Ends M without success and frees its copy, if any.  */
static void
fail (cv_migration_t *m, const char *outcome)
{
  cv_exchange_t *x = m->exchange;
  bool awaits = x != NULL && x->awaits_migration;

  m->outcome = outcome;
  if (x != NULL)
    cv_migration_detach (m);
  if (m->handle[0] == '\0')
    finish (m);
  else
    free_copy (m, true);
  if (awaits)
    cv_exchange_handle_failure (x, "migration failed and the run ended", true);
}

/* Resumes the stream at T, the destination or the source, from the copied KV
   cache.  */
static void
resume_at (cv_migration_t *m, cv_target_t *t, const char *outcome)
{
  cv_exchange_t *x = m->exchange;
  cv_target_t *next = cv_target_ref (t);
  cv_target_t *source = cv_target_ref (m->source);
  char handle[CV_NAME_MAX];

  (void)cv_copy (handle, sizeof handle, m->handle);
  m->outcome = outcome;
  m->is_resumed = t == m->destination;
  cv_migration_detach (m);
  if (m->is_resumed)
    finish (m);
  else
    free_copy (m, false);
  cv_exchange_resume_from_copy (x, next, source, handle,
                                "stopped by its migration");
  cv_target_unref (next);
  cv_target_unref (source);
}

/* Resumes the stream, which the source has ended or the gateway ends, at the
   end of the migration that may get requests.  OUTCOME: of the usual end.  */
static void
resume (cv_migration_t *m, cv_final_copy_t copy, const char *outcome)
{
  cv_exchange_t *x = m->exchange;

  switch (cv_domains_takeover (copy, cv_target_is_evacuated (m->source),
                               cv_target_is_evacuated (m->destination)))
    {
    case CV_TAKEOVER_DESTINATION:
      resume_at (m, m->destination,
                 copy == CV_FINAL_COPY_FAILED
                     ? "source is evacuated; resumed from the partial copy"
                     : outcome);
      return;
    case CV_TAKEOVER_SOURCE:
      resume_at (m, m->source,
                 copy == CV_FINAL_COPY_MADE
                     ? "destination is evacuated; resumed at the source"
                     : outcome);
      return;
    case CV_TAKEOVER_NONE:
      x->awaits_migration = true;
      fail (m, "both ends are evacuated");
      return;
    }
}

/* Reads the answer R to an order to copy or to stop the run.  Without a handle
   in it the one of an earlier copy stays.  */
static cv_order_outcome_t
read_outcome (cv_migration_t *m, const cv_http_result_t *r)
{
  char handle[CV_NAME_MAX];
  cv_answer_fields_t fields = { 0 };
  cv_order_reply_t reply
      = { .status = r->status, .is_not_sent = r->is_not_sent };
  cv_order_outcome_t outcome;

  if (r->head != NULL)
    {
      cv_platform_decode_answer (r->head, &fields);
      reply.not_run = fields.not_run;
    }
  reply.body = cv_platform_decode_migration (r->body, handle);
  outcome = cv_order_read (&reply);
  if (outcome == CV_ORDER_DONE
      || (outcome == CV_ORDER_COPY_FAILED && m->phase == CV_MIGRATION_STOP))
    (void)cv_copy (m->handle, sizeof m->handle, handle);
  return outcome;
}

/* Stops the run at the source, so that it goes on from what was copied.  */
static void
stop_run (cv_migration_t *m)
{
  /* The run could not go on at a source that has stopped it and then fails to
     copy the rest: the destination computes that again.  */
  if (cv_target_is_evacuated (m->source))
    resume (m, CV_FINAL_COPY_UNKNOWN,
            "source is evacuated; resumed from the first copy");
  else if (cv_target_is_evacuated (m->destination)
           && !m->exchange->awaits_migration)
    fail (m, "destination is evacuated");
  else
    order_stop (m);
}

static bool
is_stop_in_doubt (const cv_migration_t *m)
{
  return m->exchange->doubted_target == m->source;
}

static bool
run_goes_on (const cv_migration_t *m)
{
  return m->exchange->last_event_at > m->response_lost_at + LAST_EVENTS_WAIT;
}

/* Ends M: the run was not stopped, and its stream has ended by itself.  */
static void
complete (cv_migration_t *m)
{
  cv_exchange_t *x = m->exchange;

  m->outcome = "run has ended by itself";
  cv_migration_detach (m);
  free_copy (m, true);
  cv_attempt_complete_stream (x);
}

/* Whether the end of the stream is that of a whole one, if no order has stopped
   the run.  */
static bool
is_stream_whole (const cv_exchange_t *x)
{
  return x->stream_end == CV_STREAM_END_CLOSED
         && cv_events_may_end (&x->events);
}

/* The stream has ended, and no order was carried out.  OUTCOME: unless the
   stream is whole.  */
static void
end_unstopped (cv_migration_t *m, const char *outcome)
{
  if (is_stream_whole (m->exchange))
    complete (m);
  else
    fail (m, outcome);
}

/* Sends no more orders.  The run goes on, and if an order is in doubt the copy
   is kept until the stream ends.  Other runs may be migrated meanwhile.  */
static void
stop_ordering (cv_migration_t *m)
{
  if (!is_stop_in_doubt (m))
    {
      fail (m, "run was not stopped");
      return;
    }
  m->phase = CV_MIGRATION_HOLD;
  log_migration (m, CV_EV_GATEWAY_MOVE_HELD, "an order may be carried out");
  m->source->migration = NULL;
  cv_lease_send (m->source, cv_slice (m->run), CV_LEASE_RELEASED, 0);
  release_link (m);
}

/* No order is known to have been carried out or refused.  If the stream has
   ended, the run goes on from what was copied while it ran; if the stream goes
   on, the run is not stopped yet, and the order is sent again.  */
static void
check_stream_end (cv_migration_t *m, cv_time_t now)
{
  const cv_exchange_t *x = m->exchange;

  if (x == NULL)
    fail (m, "run has ended");
  else if (x->awaits_migration && is_stop_in_doubt (m))
    resume (m, CV_FINAL_COPY_UNKNOWN,
            "order is in doubt; resumed from the partial copy");
  else if (x->awaits_migration)
    end_unstopped (m, "stream was broken");
  else if (run_goes_on (m) && m->unsettled_orders < UNSETTLED_ORDERS_MAX)
    stop_run (m);
  else if (run_goes_on (m) || now - m->response_lost_at > SOURCE_END_WAIT)
    stop_ordering (m);
}

static void
await_stream_end (cv_migration_t *m)
{
  m->phase = CV_MIGRATION_AWAIT_END;
  m->unsettled_orders++;
  m->response_lost_at = cv_now ();
  check_stream_end (m, cv_now ());
}

static void
on_unanswered (cv_migration_t *m)
{
  cv_target_hold (&m->exchange->doubted_target, m->source);
  await_stream_end (m);
}

/* The source carries out an order, maybe one of which this process does not
   know.  */
static void
on_in_progress (cv_migration_t *m)
{
  cv_target_hold (&m->exchange->doubted_target, m->source);
  m->phase = CV_MIGRATION_IN_PROGRESS;
  m->in_progress_at = cv_now ();
  if (m->in_progress_since == 0)
    m->in_progress_since = m->in_progress_at;
}

/* Asks a source that carries out an order for its outcome.  */
static void
check_in_progress (cv_migration_t *m, cv_time_t now)
{
  const cv_exchange_t *x = m->exchange;
  cv_time_t since = m->in_progress_since;

  if (x != NULL && x->awaits_migration && x->stream_ended_at > since)
    since = x->stream_ended_at;
  if (x == NULL)
    fail (m, "run has ended");
  else if (now - m->in_progress_at < IN_PROGRESS_INTERVAL)
    return;
  else if (now - since <= IN_PROGRESS_MAX)
    stop_run (m);
  else if (x->awaits_migration)
    resume (m, CV_FINAL_COPY_UNKNOWN,
            "order stays in progress; resumed from the partial copy");
  else
    stop_ordering (m);
}

/* The source says that it has no such run.  An order that is in doubt may have
   stopped it.  */
static void
on_no_run (cv_migration_t *m)
{
  cv_exchange_t *x = m->exchange;

  /* A further migration is useless.  */
  x->no_migration_until = x->deadline;
  if (is_stop_in_doubt (m))
    await_stream_end (m);
  else if (!x->awaits_migration)
    fail (m, "no such run");
  else if (is_stream_whole (x))
    complete (m);
  else
    resume (m, CV_FINAL_COPY_UNKNOWN,
            "stream was broken; resumed from the partial copy");
}

/* The source says that the run goes on.  It may not have begun with an earlier
   order.  */
static void
on_stop_refused (cv_migration_t *m)
{
  const cv_exchange_t *x = m->exchange;

  if (!x->awaits_migration)
    stop_ordering (m);
  else if (is_stop_in_doubt (m) && x->stream_end == CV_STREAM_END_CLOSED)
    await_stream_end (m);
  else
    end_unstopped (m, "stream was broken");
}

static void
on_not_sent (cv_migration_t *m)
{
  if (m->exchange->awaits_migration)
    on_stop_refused (m);
  else
    await_stream_end (m);
}

static void
on_stop_answered (cv_migration_t *m, const cv_http_result_t *r)
{
  cv_order_outcome_t outcome = read_outcome (m, r);

  if (m->exchange == NULL)
    {
      fail (m, "run has ended");
      return;
    }
  switch (outcome)
    {
    case CV_ORDER_DONE:
      resume (m, CV_FINAL_COPY_MADE, "moved");
      return;
    case CV_ORDER_COPY_FAILED:
      resume (m, CV_FINAL_COPY_FAILED, "resumed at the source");
      return;
    case CV_ORDER_HAS_NO_RUN:
      on_no_run (m);
      return;
    case CV_ORDER_REFUSED:
      on_stop_refused (m);
      return;
    case CV_ORDER_NOT_SENT:
      on_not_sent (m);
      return;
    case CV_ORDER_IN_PROGRESS:
      on_in_progress (m);
      return;
    case CV_ORDER_UNANSWERED:
      on_unanswered (m);
      return;
    }
}

/* The destination did not take the copy; the run goes on at the source.  */
static void
on_copy_refused (cv_migration_t *m)
{
  log_migration (m, CV_EV_GATEWAY_MOVE_REFUSED, "no room, or not reached");
  cv_reserve_send_end (m->destination, cv_slice (m->run),
                       CV_RESERVATION_RELEASED);
  reserve_elsewhere (m, COPY_REFUSED_BACKOFF);
}

static void
on_run_copied (cv_migration_t *m, const cv_http_result_t *r)
{
  cv_exchange_t *x = m->exchange;
  cv_order_outcome_t outcome = read_outcome (m, r);

  if (x == NULL)
    {
      fail (m, "run has ended");
      return;
    }
  if (r->status == 503)
    {
      on_copy_refused (m);
      return;
    }
  x->migrations++;
  switch (outcome)
    {
    case CV_ORDER_DONE:
      stop_run (m);
      return;
    case CV_ORDER_HAS_NO_RUN:
      fail (m, "no such run");
      return;
    case CV_ORDER_IN_PROGRESS:
      x->no_migration_until = cv_now () + BALANCE_BACKOFF;
      fail (m, "an order is in progress");
      return;
    case CV_ORDER_COPY_FAILED:
    case CV_ORDER_REFUSED:
    case CV_ORDER_NOT_SENT:
    case CV_ORDER_UNANSWERED:
      fail (m, "no copy was made");
      return;
    }
}

/* Whether M has waited long enough for the source's answer, whose stream has
   ended.  After a stall of this process the answer may be in its socket.  */
static bool
is_answer_overdue (const cv_migration_t *m, cv_time_t now)
{
  const cv_exchange_t *x = m->exchange;

  if (x == NULL || !x->awaits_migration
      || now == m->source->gateway->stall_ended_at)
    return false;
  return now - x->stream_ended_at > ANSWER_WAIT
         && now - m->stop_sent_at > ANSWER_WAIT;
}

static void
check_stop (cv_migration_t *m, cv_time_t now)
{
  if (!is_answer_overdue (m, now))
    {
      cv_http_call_tick (&m->call, now);
      return;
    }
  cv_http_call_cancel (&m->call);
  m->status = 0;
  on_unanswered (m);
}

/* Records what the answer R says of the engine that gave it.  */
static void
observe_answer (cv_migration_t *m, const cv_http_result_t *r)
{
  cv_target_t *t = m->phase == CV_MIGRATION_FREE_AT_DESTINATION ? m->destination
                                                                : m->source;
  cv_answer_fields_t fields;

  /* A response with status 421 is another target's.  */
  if (r->head == NULL || r->head->status == 421)
    return;
  cv_platform_decode_answer (r->head, &fields);
  cv_leaving_observe (t, &fields);
}

static void
on_result (void *owner, const cv_http_result_t *r)
{
  cv_migration_t *m = owner;

  observe_answer (m, r);
  if (m->phase == CV_MIGRATION_COPY || m->phase == CV_MIGRATION_STOP)
    m->status = r->status;
  switch (m->phase)
    {
    case CV_MIGRATION_RESERVE:
    case CV_MIGRATION_AWAIT_END:
    case CV_MIGRATION_IN_PROGRESS:
    case CV_MIGRATION_HOLD:
      return; /* no call is made in these phases */
    case CV_MIGRATION_COPY:
      on_run_copied (m, r);
      return;
    case CV_MIGRATION_STOP:
      on_stop_answered (m, r);
      return;
    case CV_MIGRATION_FREE_AT_SOURCE:
      if (r->status == 0)
        free_copy (m, false);
      else
        finish (m);
      return;
    case CV_MIGRATION_FREE_AT_DESTINATION:
      finish (m);
      return;
    }
}

bool
cv_migration_is_stopping_run (const cv_migration_t *m)
{
  return m->phase == CV_MIGRATION_STOP || m->phase == CV_MIGRATION_AWAIT_END
         || m->phase == CV_MIGRATION_IN_PROGRESS
         || m->phase == CV_MIGRATION_HOLD;
}

void
cv_migration_detach (cv_migration_t *m)
{
  m->exchange->migration = NULL;
  m->exchange = NULL;
}

static void
release_link (cv_migration_t *m)
{
  if (m->is_link_requested)
    cv_lease_send (m->destination, cv_slice (m->run), CV_LEASE_RELEASED, 0);
  m->is_link_requested = false;
}

static void
release_destination (cv_migration_t *m)
{
  release_link (m);
  m->destination->incoming_tokens -= m->incoming_tokens;
  cv_target_unref (m->destination);
  m->destination = NULL;
}

static void
start_copy (cv_migration_t *m)
{
  log_migration (m, CV_EV_GATEWAY_MOVE_STARTED, purpose_text (m->purpose));
  order_copy (m);
}

/* Requests the lease of the destination, which has no observer: one copy at a
   time goes over its network link.  The reply may come at once and end M.  */
static void
request_link (cv_migration_t *m, uint64_t tokens)
{
  m->is_link_requested = true;
  cv_lease_send (m->destination, cv_slice (m->run), CV_LEASE_REQUESTED, tokens);
}

/* Chooses a destination and requests a reservation there; false when there is
   no destination.  */
static bool
reserve (cv_migration_t *m)
{
  cv_exchange_t *x = m->exchange;
  cv_target_t *to;
  cv_evacuation_candidate_t run;

  cv_migration_estimate (x, cv_now (), &run);
  to = cv_choose_destination (
      x, m->source, run.memory_tokens + GROWTH_MARGIN_TOKENS, m->purpose);
  if (to == NULL)
    return false;
  m->destination = cv_target_ref (to);
  to->incoming_tokens += m->incoming_tokens;
  if (!cv_lease_has_granter (to, cv_now ()))
    {
      start_copy (m);
      return true;
    }
  m->phase = CV_MIGRATION_RESERVE;
  m->reservation_sent_at = cv_now ();
  m->reservation_requests++;
  if (cv_target_is_observed (to, cv_now ()))
    cv_reserve_send_request (x, to, m->purpose);
  else
    request_link (m, run.memory_tokens);
  return true;
}

/* No engine granted room for the run now.  */
static void
fail_without_room (cv_migration_t *m)
{
  m->exchange->no_migration_until
      = cv_now ()
        + (m->purpose == CV_RESERVE_RESCUE ? RESCUE_BACKOFF : BALANCE_BACKOFF);
  fail (m, "no engine granted room");
}

void
cv_migration_start (cv_exchange_t *x, cv_target_t *t)
{
  cv_migration_t *m = cv_calloc (1, sizeof *m);

  m->exchange = x;
  m->source = cv_target_ref (t);
  m->incoming_tokens = x->need_tokens;
  m->started_at = cv_now ();
  m->purpose = cv_target_is_draining (t)
                       || t->load.memory_pressure == CV_PRESSURE_OVERCOMMITTED
                   ? CV_RESERVE_RESCUE
                   : CV_RESERVE_BALANCE;
  (void)cv_copy_slice (m->run, sizeof m->run, x->request.attempt);
  t->migration = m;
  x->migration = m;
  TAILQ_INSERT_TAIL (&x->gateway->migrations, m, entry);
  cv_http_call_init (&m->call, x->gateway->base, &t->record.address,
                     RESPONSE_BODY_MAX_BYTES, on_result, m);
  if (!reserve (m))
    fail_without_room (m);
}

/* The destination is refused for BACKOFF: tries another one.  */
static void
reserve_elsewhere (cv_migration_t *m, cv_time_t backoff)
{
  m->destination->migration_refused_until = cv_now () + backoff;
  release_destination (m);
  if (m->reservation_requests >= DESTINATIONS_MAX || !reserve (m))
    fail_without_room (m);
}

/* The migration of RUN to DESTINATION, or NULL.  */
static cv_migration_t *
find_migration (cv_gateway_t *g, const cv_target_t *destination,
                const char *run)
{
  cv_target_t *t;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      cv_migration_t *m = t->migration;

      if (m != NULL && m->destination == destination
          && strcmp (m->run, run) == 0)
        return m;
    }
  return NULL;
}

static void
handle_destination (cv_migration_t *m, bool is_granted)
{
  if (m->exchange == NULL)
    {
      fail (m, "run has ended");
      return;
    }
  if (is_granted && !cv_target_is_evacuated (m->destination)
      && cv_gateway_grant_holds (m->destination, cv_slice (m->run),
                                 "place of a migration",
                                 m->reservation_sent_at))
    {
      start_copy (m);
      return;
    }
  if (is_granted)
    cv_reserve_send_end (m->destination, cv_slice (m->run),
                         CV_RESERVATION_RELEASED);
  reserve_elsewhere (m, REFUSED_BACKOFF);
}

bool
cv_migration_handle_reply (cv_gateway_t *g, const cv_target_t *destination,
                           const cv_msg_reservation_t *reply)
{
  cv_migration_t *m = find_migration (g, destination, reply->run);

  if (m == NULL || m->phase != CV_MIGRATION_RESERVE)
    return false;
  handle_destination (m, reply->step == CV_RESERVATION_GRANTED);
  return true;
}

bool
cv_migration_handle_link (cv_target_t *destination,
                          const cv_msg_migration_lease_t *reply)
{
  cv_migration_t *m
      = find_migration (destination->gateway, destination, reply->run);

  if (m == NULL || !m->is_link_requested)
    return false;
  /* A grant may be repeated.  */
  if (m->phase == CV_MIGRATION_RESERVE)
    handle_destination (m, reply->step == CV_LEASE_GRANTED);
  return true;
}

/* Without a reply the observer may have stopped.  A run that would otherwise be
   lost is copied without a reservation.  */
static void
check_reply_timeout (cv_migration_t *m, cv_time_t now)
{
  /* After a stall of this process the reply may be in its socket.  */
  if (now - m->reservation_sent_at < REPLY_TIMEOUT
      || now == m->source->gateway->stall_ended_at)
    return;
  if (m->exchange == NULL)
    fail (m, "run has ended");
  else if (m->purpose == CV_RESERVE_RESCUE
           && !cv_target_is_evacuated (m->destination))
    start_copy (m);
  else
    reserve_elsewhere (m, REFUSED_BACKOFF);
}

static void
tick (cv_migration_t *m, cv_time_t now)
{
  switch (m->phase)
    {
    case CV_MIGRATION_RESERVE:
      check_reply_timeout (m, now);
      return;
    case CV_MIGRATION_AWAIT_END:
      check_stream_end (m, now);
      return;
    case CV_MIGRATION_IN_PROGRESS:
      check_in_progress (m, now);
      return;
    case CV_MIGRATION_HOLD:
      if (m->exchange == NULL || m->exchange->awaits_migration)
        check_stream_end (m, now);
      return;
    case CV_MIGRATION_STOP:
      check_stop (m, now);
      return;
    case CV_MIGRATION_COPY:
    case CV_MIGRATION_FREE_AT_SOURCE:
    case CV_MIGRATION_FREE_AT_DESTINATION:
      cv_http_call_tick (&m->call, now);
      return;
    }
}

static cv_migration_t *
find_not_ticked (const cv_gateway_t *g, cv_time_t now)
{
  cv_migration_t *m;

  TAILQ_FOREACH (m, &g->migrations, entry)
  if (m->ticked_at != now)
    return m;
  return NULL;
}

/* A lease that one migration gives back may end another one.  */
void
cv_migration_tick_all (cv_gateway_t *g, cv_time_t now)
{
  cv_migration_t *m;

  while ((m = find_not_ticked (g, now)) != NULL)
    {
      m->ticked_at = now;
      tick (m, now);
    }
}

void
cv_migrations_finish (cv_gateway_t *g)
{
  cv_migration_t *m;

  while ((m = TAILQ_FIRST (&g->migrations)) != NULL)
    {
      TAILQ_REMOVE (&g->migrations, m, entry);
      m->outcome = "stopped";
      release (m);
    }
}
