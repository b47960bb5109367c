/* Targets that say in their answers that they are leaving.  From then on a
   gateway sends them nothing new, whatever the list of instances says, until it
   has another instance or another start at the address.  */

#include <string.h>

#include "gateway/state.h"

static uint64_t
key_of (const cv_target_t *t)
{
  return cv_hash (t->record.id, strlen (t->record.id), t->record.started_ms);
}

bool
cv_leaving_was_announced (const cv_target_t *t)
{
  const cv_leavings_t *s = &t->gateway->leavings;

  for (uint32_t i = 0; i < CV_LEAVINGS_MAX; i++)
    if (s->keys[i] == key_of (t))
      return true;
  return false;
}

static void
record (cv_target_t *t)
{
  cv_leavings_t *s = &t->gateway->leavings;
  cv_line_t l;

  if (t->has_announced_leaving)
    return;
  t->has_announced_leaving = true;
  if (t->leaving_since == 0)
    t->leaving_since = cv_now ();
  t->gateway->counts.leavings++;
  s->keys[s->next] = key_of (t);
  s->next = (s->next + 1) % CV_LEAVINGS_MAX;
  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_LEAVING);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_text (&l, "reason", cv_slice ("announced in an answer"));
  cv_line_number (&l, "in_flight", t->in_flight);
  cv_line_end (&l);
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
      record (t);
      return;
    case CV_LEAVING_MALFORMED:
      log_malformed (t, fields->leaving_text);
      return;
    }
}
