/* Pauses that targets ask for: a target that turned a request away gets nothing
   from this gateway until the time that it named.  */

#include "gateway/state.h"

static void
log_pause (const cv_target_t *t, cv_time_t length)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_PAUSED);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_number (&l, "pause_ms", length / CV_MS);
  cv_line_number (&l, "in_flight", t->in_flight);
  cv_line_end (&l);
}

/* Logs a malformed pause once for each target.  */
static void
log_malformed (cv_target_t *t, cv_slice_t text)
{
  cv_line_t l;

  if (t->has_malformed_pause)
    return;
  t->has_malformed_pause = true;
  cv_line_begin (&l, CV_EV_GATEWAY_PAUSE_INVALID);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "retry_after", text);
  cv_line_end (&l);
}

/* T has asked for a pause, in the answer to a request that may have been sent
   before it was known to have started again.  */
static void
ask_pause (cv_target_t *t, cv_time_t length)
{
  cv_target_t *successor = cv_target_find (t->gateway, t->record.id);
  cv_time_t now = cv_now ();

  if (successor != NULL && successor != t)
    (void)cv_pause_ask (&successor->pause, now, length);
  if (!cv_pause_ask (&t->pause, now, length))
    return;
  t->gateway->counts.pauses++;
  log_pause (t, length);
}

void
cv_target_observe_pause (cv_target_t *t, const cv_answer_fields_t *fields)
{
  switch (fields->pause)
    {
    case CV_PAUSE_NONE:
      return;
    case CV_PAUSE_ASKED:
      ask_pause (t, (cv_time_t)(fields->pause_s * (double)CV_SECOND));
      return;
    case CV_PAUSE_MALFORMED:
      log_malformed (t, fields->pause_text);
      return;
    }
}

bool
cv_exchange_avoid_pause (cv_exchange_t *x, cv_target_t *t)
{
  if (!cv_pause_is_in_force (&t->pause, cv_now ())
      || (x->from_copy && cv_pause_exempt_run (&t->pause)))
    return false;
  cv_exchange_release_reservation (x, t);
  if (x->from_copy)
    cv_exchange_handle_failure (x, "target of the copy pauses", false);
  else
    cv_exchange_place (x);
  return true;
}
