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
cv_events_follow (cv_events_t *e, uint64_t id)
{
  e->has_last_id = true;
  e->last_id = id;
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
  e->is_behind = false;
}

bool
cv_events_may_end (const cv_events_t *e)
{
  return e->partial.n == 0 && !e->is_behind;
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

/* An event with its blank line.  */
typedef struct
{
  const char *p;
  size_t n;
  bool has_id;
  uint64_t id;     /* if HAS_ID */
  bool is_comment; /* it has lines of comments only, or none */
} event_t;

/* Reads the first event in the N bytes at P; false when it is incomplete.  */
static bool
read_event (const char *p, size_t n, event_t *out)
{
  size_t at = 0;

  *out = (event_t){ .p = p, .is_comment = true };
  while (at < n)
    {
      size_t line = line_length (p + at, n - at);
      char text[ID_TEXT_BYTES];
      char *end;

      if (line == 0)
        return false;
      if (is_blank (p + at, line))
        {
          out->n = at + line;
          return true;
        }
      out->is_comment &= p[at] == ':';
      if (line > strlen (ID_FIELD)
          && memcmp (p + at, ID_FIELD, strlen (ID_FIELD)) == 0
          && cv_copy_slice (text, sizeof text,
                            (cv_slice_t){ p + at + strlen (ID_FIELD),
                                          line - strlen (ID_FIELD) }))
        {
          out->id = strtoull (text, &end, 10);
          out->has_id = end != text;
        }
      at += line;
    }
  return false;
}

/* Appends EVENT to OUT, unless it was forwarded before.  */
static bool
forward_event (cv_events_t *e, const event_t *event, cv_buf_t *out,
               cv_error_t *err)
{
  uint64_t id = event->id;

  if (event->has_id)
    e->is_behind = e->has_last_id && id < e->last_id;
  if (event->has_id && e->has_last_id && id <= e->last_id)
    return true;
  if (event->has_id && e->has_last_id && id != e->last_id + 1)
    return cv_fail (err, CV_ERR_INVALID, "event %llu follows event %llu",
                    (unsigned long long)id, (unsigned long long)e->last_id);
  if (event->has_id)
    {
      e->has_last_id = true;
      e->last_id = id;
    }
  e->count += !event->is_comment;
  cv_buf_add (out, event->p, event->n);
  return true;
}

bool
cv_events_feed (cv_events_t *e, cv_slice_t data, cv_buf_t *out, cv_error_t *err)
{
  size_t at = 0;

  cv_buf_add (&e->partial, data.p, data.n);
  while (at < e->partial.n)
    {
      event_t event;

      if (!read_event (e->partial.p + at, e->partial.n - at, &event))
        break;
      if (!forward_event (e, &event, out, err))
        return false;
      at += event.n;
    }
  e->partial.n -= at;
  memmove (e->partial.p, e->partial.p + at, e->partial.n);
  if (e->partial.n > EVENT_MAX_BYTES)
    return cv_fail (err, CV_ERR_LIMIT, "event of more than %u bytes",
                    EVENT_MAX_BYTES);
  return true;
}
