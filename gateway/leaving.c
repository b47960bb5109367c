/* Targets that are leaving, by their entry, by their observer or by their own
   answers, and targets that were removed.  A gateway sends them nothing new
   until it has another instance or a later start at the address, whatever an
   older entry says.  */

#include <string.h>

#include "gateway/state.h"

static uint64_t
instance_of (const char *id)
{
  uint64_t hash = cv_hash (id, strlen (id), 0);

  return hash != 0 ? hash : 1;
}

static void
record_state (const cv_target_t *t, cv_start_state_t state)
{
  cv_gateway_t *g = t->gateway;

  cv_starts_record (&g->starts, instance_of (t->record.id),
                    t->record.started_ms, state, g->store_history.number,
                    cv_now ());
}

/* REASON is the one that is logged.  */
void
cv_target_note_leaving (cv_target_t *t, const char *reason)
{
  if (t->leaving_since == 0)
    t->leaving_since = cv_now ();
  if (t->is_leaving)
    return;
  t->is_leaving = true;
  record_state (t, CV_START_LEAVING);
  cv_target_log (CV_EV_GATEWAY_TARGET_LEAVING, t, reason);
}

void
cv_target_note_removed (cv_target_t *t)
{
  if (t->leaving_since == 0)
    t->leaving_since = cv_now ();
  record_state (t, CV_START_REMOVED);
}

bool
cv_target_was_known (const cv_target_t *t)
{
  return t->record.started_ms != 0
         && cv_starts_has (&t->gateway->starts, instance_of (t->record.id),
                           t->record.started_ms);
}

static void
log_returned (const cv_gateway_t *g, const cv_instance_record_t *r,
              const char *next)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_RETURNED);
  cv_line_text (&l, "target", cv_slice (r->id));
  cv_line_text (&l, "service", cv_slice (r->service));
  cv_line_text (&l, "next", cv_slice (next));
  cv_line_number (&l, "started_ms", (int64_t)r->started_ms);
  cv_line_number (&l, "era", (int64_t)g->store_history.era.number);
  cv_line_end (&l);
}

bool
cv_entry_counts (cv_gateway_t *g, const cv_instance_record_t *r)
{
  const cv_start_entry_t entry
      = { .instance = instance_of (r->id), .started_ms = r->started_ms };
  const cv_target_t *t = cv_target_find (g, r->id);

  if ((t == NULL || t->record.started_ms <= r->started_ms)
      && cv_starts_judge (&g->starts, &entry) != CV_ENTRY_OLDER)
    return true;
  log_returned (g, r, "an earlier start, is ignored");
  return false;
}

void
cv_target_admit_entry (cv_target_t *t, bool is_change)
{
  cv_gateway_t *g = t->gateway;
  const cv_start_entry_t entry = { .instance = instance_of (t->record.id),
                                   .started_ms = t->record.started_ms,
                                   .history = g->store_history.number,
                                   .is_change = is_change };

  switch (cv_starts_judge (&g->starts, &entry))
    {
    case CV_ENTRY_COUNTS:
      t->copied_until = 0;
      t->leaving_since = 0;
      record_state (t, CV_START_SERVES);
      return;
    case CV_ENTRY_COPIED:
      if (t->copied_until == 0 || t->copied_in != entry.history)
        {
          t->copied_until = cv_now () + CV_COPY_DOUBT_PERIOD;
          t->copied_in = entry.history;
          log_returned (g, &t->record, "was removed, is used if it stays");
        }
      return;
    case CV_ENTRY_LEAVING:
      if (!t->is_leaving)
        log_returned (g, &t->record, "stays leaving");
      t->is_leaving = true;
      return;
    case CV_ENTRY_OLDER:
      return; /* cv_entry_counts */
    }
}

void
cv_target_tick_copied (cv_target_t *t, cv_time_t now)
{
  if (t->copied_until == 0 || now < t->copied_until
      || t->presence != CV_TARGET_LISTED)
    return;
  t->copied_until = 0;
  t->leaving_since = 0;
  record_state (t, CV_START_SERVES);
}

/* Logs an unknown value once for each target.  */
static void
log_malformed (cv_target_t *t, cv_slice_t text)
{
  cv_line_t l;

  if (t->has_malformed_leaving)
    return;
  t->has_malformed_leaving = true;
  cv_line_begin (&l, CV_EV_GATEWAY_LEAVING_INVALID);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "leaving", text);
  cv_line_end (&l);
}

void
cv_leaving_observe (cv_target_t *t, const cv_answer_fields_t *fields)
{
  switch (fields->leaving)
    {
    case CV_LEAVING_NOT_SAID:
      return;
    case CV_LEAVING_ANNOUNCED:
      t->gateway->counts.leavings += !t->is_leaving;
      cv_target_note_leaving (t, "announced in an answer");
      return;
    case CV_LEAVING_MALFORMED:
      log_malformed (t, fields->leaving_text);
      return;
    }
}
