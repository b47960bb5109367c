/* Log lines in syslog form on standard error, one write a line.  */

#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "base/base.h"

#define LOG_LINE_MAX 1024
#define FACILITY_DAEMON (3 << 3)

static const struct
{
  int number;
  int priority;
  const char *name;
} events[] = {
#define CV_EVENT(number, priority, name, text) { number, priority, #name },
#include "base/events.def"
#undef CV_EVENT
};

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
  const char *name = "UNKNOWN";
  int priority = 3;
  int n;
  va_list args;

  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    if (events[i].number == (int)event)
      {
        name = events[i].name;
        priority = events[i].priority;
      }
  va_start (args, format);
  (void)vsnprintf (text, sizeof text, format, args);
  va_end (args);
  for (char *p = text; *p != '\0'; p++)
    if ((unsigned char)*p < ' ')
      *p = ' ';
  n = snprintf (line, sizeof line, "<%d>%s[%ld]: %d %s: %s\n",
                FACILITY_DAEMON | priority, log_ident, (long)getpid (),
                (int)event, name, text);
  if (n <= 0 || (size_t)n >= sizeof line)
    return;
  /* Nothing is left to do when standard error is gone.  */
  if (write (STDERR_FILENO, line, (size_t)n) < 0)
    return;
}
