/* Slices, bounded copies, checked allocation and the byte buffer.  */

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "base/base.h"

#define BUF_INITIAL_BYTES 256
/* Characters of a token besides letters and digits.  */
#define TOKEN_SYMBOLS "!#$%&'*+-.^_`|~"

static void buf_reserve (cv_buf_t *b, size_t extra);

cv_slice_t
cv_slice (const char *text)
{
  cv_slice_t s = { text, strlen (text) };

  return s;
}

bool
cv_slice_equal (cv_slice_t a, cv_slice_t b)
{
  return a.n == b.n && (a.n == 0 || memcmp (a.p, b.p, a.n) == 0);
}

bool
cv_is_token (cv_slice_t text)
{
  for (size_t i = 0; i < text.n; i++)
    if (!isalnum ((unsigned char)text.p[i])
        && (text.p[i] == '\0' || strchr (TOKEN_SYMBOLS, text.p[i]) == NULL))
      return false;
  return text.n > 0;
}

bool
cv_copy (char *dst, size_t size, const char *text)
{
  return cv_copy_slice (dst, size, cv_slice (text));
}

bool
cv_copy_slice (char *dst, size_t size, cv_slice_t text)
{
  if (size == 0)
    return false;
  dst[0] = '\0';
  if (text.n >= size)
    return false;
  if (text.n > 0)
    memcpy (dst, text.p, text.n);
  dst[text.n] = '\0';
  return true;
}

void *
cv_calloc (size_t count, size_t size)
{
  void *p = calloc (count, size);

  CV_INVARIANT (p != NULL || count == 0 || size == 0);
  return p;
}

void *
cv_realloc (void *p, size_t size)
{
  void *q = realloc (p, size);

  CV_INVARIANT (q != NULL);
  return q;
}

char *
cv_strdup_n (const char *p, size_t n)
{
  char *q = cv_calloc (n + 1, 1);

  if (n > 0)
    memcpy (q, p, n);
  return q;
}

void
cv_buf_init (cv_buf_t *b)
{
  memset (b, 0, sizeof *b);
}

void
cv_buf_finish (cv_buf_t *b)
{
  free (b->p);
  memset (b, 0, sizeof *b);
}

void
cv_buf_reset (cv_buf_t *b)
{
  b->n = 0;
}

static void
buf_reserve (cv_buf_t *b, size_t extra)
{
  size_t need;
  size_t cap = b->cap > 0 ? b->cap : BUF_INITIAL_BYTES;

  CV_INVARIANT (!__builtin_add_overflow (b->n, extra, &need));
  if (need <= b->cap)
    return;
  while (cap < need)
    CV_INVARIANT (!__builtin_mul_overflow (cap, (size_t)2, &cap));
  b->p = cv_realloc (b->p, cap);
  b->cap = cap;
}

void
cv_buf_add (cv_buf_t *b, const void *data, size_t n)
{
  if (n == 0)
    return;
  buf_reserve (b, n);
  memcpy (b->p + b->n, data, n);
  b->n += n;
}

void
cv_buf_printf (cv_buf_t *b, const char *format, ...)
{
  va_list args;
  va_list again;
  int n;

  va_start (args, format);
  va_copy (again, args);
  n = vsnprintf (NULL, 0, format, args);
  CV_INVARIANT (n >= 0);
  buf_reserve (b, (size_t)n + 1);
  (void)vsnprintf (b->p + b->n, (size_t)n + 1, format, again);
  b->n += (size_t)n;
  va_end (again);
  va_end (args);
}

const char *
cv_buf_text (cv_buf_t *b)
{
  buf_reserve (b, 1);
  b->p[b->n] = '\0';
  return b->p;
}
