/* Text forms of tickets and positions, names of outcomes and message types, and
   the time-out of peers.  */

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "wire/wire.h"

#define FIELD_COUNT 4

static bool split_fields (cv_slice_t text, cv_slice_t field[FIELD_COUNT]);
static bool parse_u64 (cv_slice_t text, int base, uint64_t max,
                       uint64_t *value);
static bool is_printable_name (cv_slice_t name);

/* Splits TEXT at '~'; false unless it has exactly FIELD_COUNT fields.  */
static bool
split_fields (cv_slice_t text, cv_slice_t field[FIELD_COUNT])
{
  for (int i = 0; i < FIELD_COUNT - 1; i++)
    {
      const char *sep = memchr (text.p, '~', text.n);

      if (sep == NULL)
        return false;
      field[i].p = text.p;
      field[i].n = (size_t)(sep - text.p);
      text.p += field[i].n + 1;
      text.n -= field[i].n + 1;
    }
  field[FIELD_COUNT - 1] = text;
  return memchr (text.p, '~', text.n) == NULL;
}

static bool
parse_u64 (cv_slice_t text, int base, uint64_t max, uint64_t *value)
{
  char copy[24];
  char *end;

  if (text.n == 0 || !cv_copy_slice (copy, sizeof copy, text))
    return false;
  if (strspn (copy, "0123456789abcdef") != text.n)
    return false;
  errno = 0;
  *value = strtoull (copy, &end, base);
  return errno == 0 && *end == '\0' && *value <= max;
}

static bool
is_printable_name (cv_slice_t name)
{
  for (size_t i = 0; i < name.n; i++)
    if (name.p[i] <= ' ' || name.p[i] == '"' || name.p[i] >= 127)
      return false;
  return name.n > 0;
}

const char *
cv_ticket_format (const cv_ticket_t *t, char text[CV_TICKET_TEXT])
{
  char id[CV_ID_TEXT];

  (void)snprintf (text, CV_TICKET_TEXT, "%s~%" PRIx64 "~%" PRIu32 "~%s",
                  t->target, t->incarnation, t->generation,
                  cv_id_format (t->nonce, id));
  return text;
}

bool
cv_ticket_parse (cv_ticket_t *t, cv_slice_t text)
{
  cv_slice_t field[FIELD_COUNT];
  uint64_t generation;

  if (!split_fields (text, field) || !is_printable_name (field[0])
      || !cv_copy_slice (t->target, sizeof t->target, field[0])
      || !parse_u64 (field[1], 16, UINT64_MAX, &t->incarnation)
      || !parse_u64 (field[2], 10, UINT32_MAX, &generation)
      || !cv_id_parse (&t->nonce, field[3]))
    return false;
  t->generation = (uint32_t)generation;
  return !cv_id_is_zero (t->nonce);
}

const char *
cv_position_format (const cv_position_t *p, char text[CV_TICKET_TEXT])
{
  char id[CV_ID_TEXT];

  (void)snprintf (text, CV_TICKET_TEXT, "%s~%" PRIx64 "~%s~%" PRIu32, p->target,
                  p->incarnation, cv_id_format (p->stream, id), p->offset);
  return text;
}

bool
cv_position_parse (cv_position_t *p, cv_slice_t text)
{
  cv_slice_t field[FIELD_COUNT];
  uint64_t offset;

  if (!split_fields (text, field) || !is_printable_name (field[0])
      || !cv_copy_slice (p->target, sizeof p->target, field[0])
      || !parse_u64 (field[1], 16, UINT64_MAX, &p->incarnation)
      || !cv_id_parse (&p->stream, field[2])
      || !parse_u64 (field[3], 10, UINT32_MAX, &offset))
    return false;
  p->offset = (uint32_t)offset;
  return true;
}

cv_time_t
cv_peer_timeout (uint32_t report_ms)
{
  cv_time_t three = 3 * (cv_time_t)report_ms * CV_MS;

  return three > CV_PEER_TIMEOUT ? three : CV_PEER_TIMEOUT;
}

const char *
cv_outcome_name (cv_outcome_t outcome)
{
  switch (outcome)
    {
    case CV_OUTCOME_DONE:
      return "done";
    case CV_OUTCOME_REFUSED:
      return "refused";
    case CV_OUTCOME_NOT_RUN:
      return "not_run";
    case CV_OUTCOME_UNKNOWN:
      return "unknown";
    case CV_OUTCOME_INTERRUPTED:
      return "interrupted";
    }
  return "?";
}

const char *
cv_msg_name (cv_msg_type_t type)
{
  static const char *const names[CV_MSG_LAST]
      = { "?",           "HELLO",       "REPORT",   "DOC_PULL", "DOC",
          "SUBMIT",      "ATTACH",      "DETACH",   "CANCEL",   "CALL",
          "REVOKE",      "ACCEPTED",    "REJECTED", "TOKENS",   "END",
          "CALL_RESULT", "ENGINE_LOAD", "MOVE",     "ROOM",     "RATE",
          "ORIGIN",      "PAGE",        "SHARE" };

  return type > 0 && type < CV_MSG_LAST ? names[type] : names[0];
}
