/* Error descriptions and failed invariants.  */

#include <stdlib.h>

#include "base/base.h"

static void fill (cv_error_t *err, cv_error_code_t code, int line, int column,
                  const char *format, va_list args);

static void
fill (cv_error_t *err, cv_error_code_t code, int line, int column,
      const char *format, va_list args)
{
  if (err == NULL)
    return;
  err->code = code;
  err->line = line;
  err->column = column;
  /* Text that does not fit is truncated, so messages name the object first.  */
  (void)vsnprintf (err->text, sizeof err->text, format, args);
}

bool
cv_fail (cv_error_t *err, cv_error_code_t code, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fill (err, code, 0, 0, format, args);
  va_end (args);
  return false;
}

bool
cv_fail_at (cv_error_t *err, int line, int column, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  fill (err, CV_ERR_INVALID, line, column, format, args);
  va_end (args);
  return false;
}

void
cv_invariant_failed (const char *cond, const char *file, int line)
{
  cv_log (CV_EV_INVARIANT_FAILED, "%s:%d: %s", file, line, cond);
  abort ();
}
