/* Whole events of a stream, each once and in order.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/events.h"

/* Largest event; targets send a few hundred bytes.  */
#define EVENT_MAX (1024u * 1024)
#define ID_FIELD "id:"
#define ID_TEXT 24

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
cv_events_at_boundary (const cv_events_t *e)
{
  return e->partial.n == 0;
}

/* Bytes up to the end of the line at P, its line end included; 0 when the
   line is not whole.  */
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

/* Bytes of the first event in the N at P, its blank line included; 0 when it
   is not whole.  *ID receives its id where it has one.  */
static size_t
event_length (const char *p, size_t n, bool *has_id, uint64_t *id)
{
  size_t at = 0;

  *has_id = false;
  while (at < n)
    {
      size_t line = line_length (p + at, n - at);
      char text[ID_TEXT];
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

/* Pass the event at P on, unless the caller has it already.  */
static bool
pass (cv_events_t *e, const char *p, size_t n, bool has_id, uint64_t id,
      cv_buf_t *out, cv_error_t *err)
{
  if (has_id && e->has_last && id <= e->last)
    return true;
  if (has_id && e->has_last && id != e->last + 1)
    return cv_fail (err, CV_ERR_INVALID, "event %llu follows event %llu",
                    (unsigned long long)id, (unsigned long long)e->last);
  if (has_id)
    {
      e->has_last = true;
      e->last = id;
    }
  e->count++;
  cv_buf_add (out, p, n);
  return true;
}

bool
cv_events_take (cv_events_t *e, cv_slice_t data, cv_buf_t *out, cv_error_t *err)
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
      if (!pass (e, e->partial.p + at, n, has_id, id, out, err))
        return false;
      at += n;
    }
  e->partial.n -= at;
  memmove (e->partial.p, e->partial.p + at, e->partial.n);
  if (e->partial.n > EVENT_MAX)
    return cv_fail (err, CV_ERR_LIMIT, "event of more than %u bytes",
                    EVENT_MAX);
  return true;
}
