/* Parses a stream into server-sent events and drops repeated ones.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/events.h"

/* Targets send events of a few hundred bytes.  */
#define EVENT_MAX_BYTES (1024u * 1024)
#define ID_FIELD "id:"
#define ID_TEXT_BYTES 24

void
cv_events_init (cv_events_t *e)
{
  memset (e, 0, sizeof *e);
  cv_buf_init (&e->partial);
}

void
cv_events_finish (cv_events_t *e)
{
  cv_buf_finish (&e->partial);
}

void
cv_events_restart (cv_events_t *e)
{
  cv_buf_reset (&e->partial);
}

bool
cv_events_is_at_boundary (const cv_events_t *e)
{
  return e->partial.n == 0;
}

/* Length in bytes of the line at P with its line end; 0 when the line is
   incomplete.  */
static size_t
line_length (const char *p, size_t n)
{
  const char *end = memchr (p, '\n', n);

  return end == NULL ? 0 : (size_t)(end - p) + 1;
}

static bool
is_blank (const char *line, size_t n)
{
  return n == 1 || (n == 2 && line[0] == '\r');
}

/* Length in bytes of the first event in the N bytes at P with its blank line;
   0 when the event is incomplete.  *ID is set if *HAS_ID.  */
static size_t
event_length (const char *p, size_t n, bool *has_id, uint64_t *id)
{
  size_t at = 0;

  *has_id = false;
  while (at < n)
    {
      size_t line = line_length (p + at, n - at);
      char text[ID_TEXT_BYTES];
      char *end;

      if (line == 0)
        return 0;
      if (is_blank (p + at, line))
        return at + line;
      if (line > strlen (ID_FIELD)
          && memcmp (p + at, ID_FIELD, strlen (ID_FIELD)) == 0
          && cv_copy_slice (text, sizeof text,
                            (cv_slice_t){ p + at + strlen (ID_FIELD),
                                          line - strlen (ID_FIELD) }))
        {
          *id = strtoull (text, &end, 10);
          *has_id = end != text;
        }
      at += line;
    }
  return 0;
}

/* Appends the event at P to OUT, unless it was forwarded before.  */
static bool
forward_event (cv_events_t *e, const char *p, size_t n, bool has_id,
               uint64_t id, cv_buf_t *out, cv_error_t *err)
{
  if (has_id && e->has_last_id && id <= e->last_id)
    return true;
  if (has_id && e->has_last_id && id != e->last_id + 1)
    return cv_fail (err, CV_ERR_INVALID, "event %llu follows event %llu",
                    (unsigned long long)id, (unsigned long long)e->last_id);
  if (has_id)
    {
      e->has_last_id = true;
      e->last_id = id;
    }
  e->count++;
  cv_buf_add (out, p, n);
  return true;
}

bool
cv_events_feed (cv_events_t *e, cv_slice_t data, cv_buf_t *out, cv_error_t *err)
{
  size_t at = 0;

  cv_buf_add (&e->partial, data.p, data.n);
  while (at < e->partial.n)
    {
      bool has_id;
      uint64_t id = 0;
      size_t n
          = event_length (e->partial.p + at, e->partial.n - at, &has_id, &id);

      if (n == 0)
        break;
      if (!forward_event (e, e->partial.p + at, n, has_id, id, out, err))
        return false;
      at += n;
    }
  e->partial.n -= at;
  memmove (e->partial.p, e->partial.p + at, e->partial.n);
  if (e->partial.n > EVENT_MAX_BYTES)
    return cv_fail (err, CV_ERR_LIMIT, "event of more than %u bytes",
                    EVENT_MAX_BYTES);
  return true;
}
