/* Log lines in syslog format on standard error, one write per line; the
   structured lines are in line.c.  */

#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "base/events.h"

#define LOG_LINE_MAX 1024
#define FACILITY_DAEMON (3 << 3)

static char log_ident[CV_NAME_MAX] = "catkinvale";

void
cv_log_init (const char *ident)
{
  (void)cv_copy (log_ident, sizeof log_ident, ident);
}

void
cv_log (cv_event_t event, const char *format, ...)
{
  char line[LOG_LINE_MAX];
  char text[LOG_LINE_MAX / 2];
  const cv_event_info_t *info = cv_event_info (event);
  int n;
  va_list args;

  va_start (args, format);
  (void)vsnprintf (text, sizeof text, format, args);
  va_end (args);
  for (char *p = text; *p != '\0'; p++)
    if ((unsigned char)*p < ' ')
      *p = ' ';
  n = snprintf (line, sizeof line, "<%d>%s[%ld]: %d %s: %s\n",
                FACILITY_DAEMON | info->priority, log_ident, (long)getpid (),
                (int)event, info->name, text);
  if (n <= 0 || (size_t)n >= sizeof line)
    return;
  /* A failure to write to standard error cannot be reported.  */
  if (write (STDERR_FILENO, line, (size_t)n) < 0)
    return;
}
