/* What follows an attempt that failed, was rejected, or whose target is silent:
   another attempt, within bounds, or the end of the exchange.  */

#include <string.h>

#include "gateway/state.h"

/* Failed connections of one request, including 421 responses, until a response
   head is sent to the caller.  A failure is retried with fewer than this, a
   rejection also with exactly this many.  */
#define CONNECT_FAILURES_MAX 4
/* Most resumes of one stream.  */
#define RESUMES_MAX 6
/* On a retryable route, an attempt is a failure when no first event, and
   nothing of another response, arrives for a time that follows from the route's
   latency objective.  Another attempt replaces it only if it can start.  At a
   plain service it is the objective times this factor, and at least
   SILENCE_MIN; at an engine, the objective plus SILENCE_MIN.  */
#define SILENCE_FACTOR 4
#define SILENCE_MIN (300 * CV_MS)
/* On a retryable route, a stream whose events stop is resumed after this many
   times its objective for a gap, and at least after GAP_MIN: a sound engine may
   send nothing for a second or a little more.  What then follows elsewhere is
   within the silence that a stop allows for (policy/stop.c).  */
#define GAP_FACTOR 5
#define GAP_MIN (1250 * CV_MS)
/* A run does not return to a target that has been leaving for longer: it gets
   no requests after its drain time, of 2 s on the users' platform.  */
#define RETURN_LEAVING_MAX (1500 * CV_MS)
/* A target that rejected a request gets no new one for this time.  */
#define REJECTION_BACKOFF (100 * CV_MS)

/* A failed attempt whose response head was not sent is not retried in the last
   100 ms (SILENCE_MIN / 3) before the deadline, nor when it could not end
   before a stop.  Other attempts may start until the deadline.  */
bool
cv_exchange_can_retry (const cv_exchange_t *x)
{
  return x->sends < x->route->max_targets + x->connect_failures
         && x->connect_failures < CONNECT_FAILURES_MAX
         && cv_now () < x->deadline - SILENCE_MIN / 3
         && (!x->gateway->stopping || cv_exchange_ends_before_stop (x));
}

/* Logs the end of the current attempt, also when a migration ended it as
   planned.  */
static void
log_failure (const cv_exchange_t *x, const char *reason, const char *next)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_ATTEMPT_FAILED);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "target",
                cv_slice (x->target != NULL ? x->target->record.id : ""));
  cv_exchange_log_content (x, &l);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_text (&l, "next", cv_slice (next));
  cv_line_number (&l, "attempt", x->sends);
  cv_line_number (&l, "events", (int64_t)x->events.count);
  if (x->link != NULL)
    {
      cv_line_number (&l, "exchange", x->link->exchanges);
      cv_line_number (&l, "named", x->answer_name == CV_ANSWER_OF_THIS);
      if (x->link->error != 0)
        cv_line_text (&l, "error", cv_slice (strerror (x->link->error)));
    }
  cv_line_number (&l, "after_us", cv_now () - x->sent_at);
  cv_line_end (&l);
}

void
cv_exchange_resume_from_copy (cv_exchange_t *x, cv_target_t *t,
                              cv_target_t *source, const char *handle,
                              const char *reason)
{
  log_failure (x, reason, "is resumed from the copy");
  cv_attempt_stop (x);
  x->may_have_run = true;
  x->resumes++;
  x->gateway->counts.resumes++;
  x->from_copy = true;
  x->has_returned = t == source;
  x->has_reservation = true;
  cv_target_hold (&x->copy_source, source);
  (void)cv_copy (x->copy_handle, sizeof x->copy_handle, handle);
  cv_attempt_start (x, t);
}

/* Resumes X, which the destination of its migration has not begun, at the
   source, which keeps a run that it has stopped; false if X cannot be.  */
static bool
return_to_source (cv_exchange_t *x, const char *reason)
{
  cv_target_t *source = x->copy_source;
  cv_time_t now = cv_now ();
  char handle[CV_HANDLE_MAX];

  if (!x->from_copy || x->has_returned || x->resumes >= RESUMES_MAX
      || cv_target_is_evacuated (source) || !cv_target_admits (x, source, now)
      || (source->leaving_since > 0
          && now - source->leaving_since > RETURN_LEAVING_MAX))
    return false;
  (void)cv_copy (handle, sizeof handle, x->copy_handle);
  cv_exchange_resume_from_copy (x, source, source, handle, reason);
  return true;
}

/* Whether the bounds allow another attempt: those of attempts, failed
   connections and time, or of resumes once the head was sent.  A response that
   is no stream cannot be continued by another attempt.  */
static bool
is_attempt_left (const cv_exchange_t *x)
{
  if (x->state == CV_EXCHANGE_RELAYING)
    return false;
  return x->head_sent ? x->resumes < RESUMES_MAX : cv_exchange_can_retry (x);
}

/* Ends the current attempt of X, which another one follows.  */
static void
end_for_retry (cv_exchange_t *x, const char *reason, const char *next)
{
  log_failure (x, reason, next);
  /* A trial is one request.  */
  if (x->link != NULL && x->link->open)
    cv_suspect_request_revoke (&x->identity);
  cv_attempt_stop (x);
  x->from_copy = false;
  if (x->head_sent)
    x->resumes++;
  if (x->head_sent || x->may_have_run)
    x->placement_deadline = cv_retry_wait_end (cv_now (), x->placement_deadline,
                                               x->deadline, x->head_sent);
  cv_exchange_set_solitary_until (x, cv_now ());
  x->gateway->counts.retries++;
}

void
cv_exchange_handle_failure (cv_exchange_t *x, const char *reason,
                            bool may_have_run)
{
  bool is_retryable;

  if (!may_have_run && return_to_source (x, reason))
    return;
  x->may_have_run |= may_have_run;
  is_retryable = !x->may_have_run || cv_route_is_repeatable (x->route);
  if (is_retryable && is_attempt_left (x)
      && (!may_have_run || cv_retry_budget_take (&x->service_state->retries)))
    {
      end_for_retry (x, reason, "is sent again");
      cv_exchange_place (x);
      return;
    }
  /* The bounds are the limits of attempts and failed connections and the
     deadline, or with a sent head that of resumes, and the retry budget.  */
  log_failure (x, reason, is_retryable ? "bounds are reached" : "may have run");
  cv_attempt_stop (x);
  cv_exchange_fail (x, reason, false);
}

void
cv_exchange_handle_rejection (cv_exchange_t *x, unsigned status)
{
  cv_target_t *t = x->target;
  bool is_wrong_instance = status == 421;

  /* A request to the wrong instance counts as a failed connection.  */
  if (is_wrong_instance)
    {
      cv_target_mark_displaced (t);
      x->connect_failures++;
    }
  else
    t->full_until = cv_now () + REJECTION_BACKOFF;
  /* A copy that the destination rejects, and then the source, is lost: the
     stream ends.  */
  if (x->from_copy)
    {
      if (return_to_source (x, "destination rejected it"))
        return;
      log_failure (x, "resume from the copy was rejected", "ends");
      cv_attempt_stop (x);
      cv_exchange_fail (x, "no copy of the run", false);
      return;
    }
  if ((x->head_sent ? x->resumes < RESUMES_MAX
                    : x->sends < x->route->max_targets + x->connect_failures
                          && x->connect_failures <= CONNECT_FAILURES_MAX)
      && cv_retry_budget_take (&x->service_state->retries))
    {
      end_for_retry (x, "rejected", "is sent elsewhere");
      cv_exchange_place (x);
      return;
    }
  /* The same bounds without the deadline.  */
  log_failure (x, "rejected", "bounds are reached");
  cv_attempt_stop (x);
  cv_exchange_fail (x, "target rejected it", false);
}

/* ---- silent targets ---- */

/* Longest time since the request was sent, the last event of the stream or the
   last bytes of a buffered response; 0: no limit.  The head of a stream does
   not count.  */
static cv_time_t
silence_limit (const cv_exchange_t *x)
{
  cv_time_t limit;

  if (x->state == CV_EXCHANGE_RELAYING || !cv_route_is_repeatable (x->route))
    return 0;
  if (x->events.count > 0 && !x->resume_pending)
    {
      limit = GAP_FACTOR * x->route->gap_objective_ms * CV_MS;
      return limit > GAP_MIN ? limit : GAP_MIN;
    }
  if (!x->head_sent && !cv_exchange_can_retry (x))
    return 0;
  if (x->service->is_engine)
    return x->route->objective_ms * CV_MS + SILENCE_MIN;
  limit = SILENCE_FACTOR * x->route->objective_ms * CV_MS;
  return limit > SILENCE_MIN ? limit : SILENCE_MIN;
}

/* Start of the silence of X's target.  Time before the end of a stall of this
   process does not count, since bytes may have arrived during the stall.  */
static cv_time_t
silent_since (const cv_exchange_t *x)
{
  return x->last_activity_at > x->gateway->stall_ended_at
             ? x->last_activity_at
             : x->gateway->stall_ended_at;
}

bool
cv_exchange_is_overdue (const cv_exchange_t *x, cv_time_t now)
{
  if (!x->request.is_generation || x->is_outcome_recorded
      || !(x->state == CV_EXCHANGE_SENT || x->resume_pending))
    return false;
  return now - silent_since (x) > x->route->objective_ms * CV_MS + SILENCE_MIN;
}

bool
cv_exchange_is_silent (const cv_exchange_t *x, cv_time_t now)
{
  cv_time_t limit = silence_limit (x);

  return limit > 0 && now - silent_since (x) > limit;
}

bool
cv_exchange_leave_silent_target (cv_exchange_t *x)
{
  if (!cv_exchange_is_silent (x, cv_now ()) || !is_attempt_left (x)
      || !cv_retry_budget_take (&x->service_state->retries))
    return false;
  x->may_have_run = true;
  end_for_retry (x, "target is silent", "is sent again");
  return true;
}

void
cv_exchange_replace_silent_target (cv_exchange_t *x)
{
  cv_target_t *t;

  if (!is_attempt_left (x) || !cv_retry_budget_has (&x->service_state->retries))
    return;
  t = cv_choose_target (x);
  if (t == NULL || t == x->target || cv_exchange_reserve (x, t))
    return;
  if (cv_exchange_leave_silent_target (x))
    cv_attempt_start (x, t);
}
