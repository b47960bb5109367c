#include "base/head_lines.h"

#include <string.h>

#include "base/base.h"

static const char version[] = "HTTP/";

/* Whether the N bytes at LINE are a status line of an informational response:
   the first digit of its status is 1.  */
static bool
is_informational (const char *line, size_t n)
{
  const char *space = memchr (line, ' ', n);

  return space != NULL && space + 1 < line + n && space[1] == '1';
}

static bool
is_status_line (const char *line, size_t n)
{
  return n >= strlen (version) && memcmp (line, version, strlen (version)) == 0;
}

/* Whether the line is a field: a name, which is a token, before a colon.  A
   folded line, which begins with a blank, is none (RFC 9112, 5.2).  */
static bool
is_field (const char *line, size_t n)
{
  const char *colon = memchr (line, ':', n);

  return colon != NULL
         && cv_is_token ((cv_slice_t){ line, (size_t)(colon - line) });
}

size_t
cv_head_lines_add (char *line, size_t size, size_t count, void *head)
{
  cv_head_lines_t *h = head;
  size_t n = size * count;

  if (n > 0 && (line[0] == '\r' || line[0] == '\n'))
    {
      h->is_whole = h->is_final;
      h->has_status = h->is_final;
      return n;
    }
  if (!h->has_status && is_status_line (line, n))
    {
      h->has_status = true;
      h->is_final = !is_informational (line, n);
      return n;
    }
  if (h->has_status && is_field (line, n))
    return n;
  h->is_invalid = true;
  return 0;
}
