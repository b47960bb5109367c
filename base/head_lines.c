#include "base/head_lines.h"

#include <string.h>

static const char version[] = "HTTP/";

/* Whether the N bytes at LINE are a status line of an informational response:
   the first digit of its status is 1.  */
static bool
is_informational (const char *line, size_t n)
{
  const char *space = memchr (line, ' ', n);

  return space != NULL && space + 1 < line + n && space[1] == '1';
}

size_t
cv_head_lines_add (char *line, size_t size, size_t count, void *head)
{
  cv_head_lines_t *h = head;
  size_t n = size * count;

  if (n >= strlen (version) && memcmp (line, version, strlen (version)) == 0)
    {
      h->is_final = !is_informational (line, n);
      h->is_whole = false;
    }
  else if (n > 0 && (line[0] == '\r' || line[0] == '\n'))
    h->is_whole = h->is_final;
  return n;
}
