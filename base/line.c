/* Structured log lines with a rate limit and a bounded buffer.  */

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/events.h"
#include "base/line.h"

/* Holds the lines of about 0.9 s when both classes of lines reach the rate
   limit with 150 bytes per line.  */
#define QUEUE_BYTES (128u * 1024)
/* Rate limit, which applies separately to lines of priority warning and above
   and to all other lines.  At 150 bytes per line each class has 75 kB/s.  */
#define LINES_PER_S_MAX 500
#define WARNING_PRIORITY 4
/* PIPE_BUF: a pipe that polls as writable accepts this many bytes without
   blocking.  */
#define WRITE_MAX_BYTES 4096
/* Bytes reserved for the closing brace and the newline, with two to spare.  */
#define LINE_END_BYTES 4

static struct
{
  int fd;
  char bytes[QUEUE_BYTES];
  size_t n;
  uint64_t dropped;
  uint64_t reported; /* dropped lines already counted in a LINES_DROPPED line */
  time_t second;     /* of the monotonic clock */
  unsigned lines;    /* lines below priority warning in this second */
  unsigned warnings; /* lines of priority warning and above in this second */
} out = { .fd = -1 };

void
cv_line_open (int fd)
{
  out.fd = fd;
}

static void
append (cv_line_t *l, const char *text, size_t n)
{
  if (l->n + n + LINE_END_BYTES > sizeof l->text)
    return;
  memcpy (l->text + l->n, text, n);
  l->n += n;
}

static void append_format (cv_line_t *l, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
append_format (cv_line_t *l, const char *format, ...)
{
  char text[256];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (n > 0 && (size_t)n < sizeof text)
    append (l, text, (size_t)n);
}

/* Each line has the monotonic and the wall-clock time, so that a step of the
   wall clock does not obscure the order of lines.  */
void
cv_line_begin (cv_line_t *l, cv_event_t event)
{
  struct timespec day = { 0 };

  (void)clock_gettime (CLOCK_REALTIME, &day);
  l->event = event;
  l->n = 0;
  append_format (l,
                 "{\"steady_us\":%lld,\"time\":%lld.%06ld,\"event\":%d,"
                 "\"name\":\"%s\"",
                 (long long)cv_now (), (long long)day.tv_sec,
                 day.tv_nsec / 1000, (int)event, cv_event_info (event)->name);
}

void
cv_line_text (cv_line_t *l, const char *key, cv_slice_t value)
{
  char text[256];
  size_t n = 0;

  for (size_t i = 0; i < value.n && n + 2 < sizeof text; i++)
    {
      char c = value.p[i];

      if (c == '"' || c == '\\')
        text[n++] = '\\';
      text[n++] = (unsigned char)c < ' ' ? ' ' : c;
    }
  text[n] = '\0';
  append_format (l, ",\"%s\":\"%s\"", key, text);
}

void
cv_line_number (cv_line_t *l, const char *key, int64_t value)
{
  append_format (l, ",\"%s\":%lld", key, (long long)value);
}

/* Counts a line; returns whether it is within the rate limit of this second. */
static bool
is_within_rate (bool is_warning)
{
  time_t now = (time_t)(cv_now () / CV_SECOND);

  if (now != out.second)
    {
      out.second = now;
      out.lines = 0;
      out.warnings = 0;
    }
  return is_warning ? out.warnings++ < LINES_PER_S_MAX
                    : out.lines++ < LINES_PER_S_MAX;
}

static bool
enqueue (const char *text, size_t n, bool is_warning)
{
  size_t limit = is_warning ? QUEUE_BYTES : QUEUE_BYTES / 2;

  if (out.n + n > limit)
    return false;
  memcpy (out.bytes + out.n, text, n);
  out.n += n;
  return true;
}

void
cv_line_end (cv_line_t *l)
{
  bool is_warning = cv_event_info (l->event)->priority <= WARNING_PRIORITY;

  if (out.fd < 0)
    return;
  l->text[l->n++] = '}';
  l->text[l->n++] = '\n';
  if (!is_within_rate (is_warning) || !enqueue (l->text, l->n, is_warning))
    out.dropped++;
}

static void
queue_dropped_count (void)
{
  cv_line_t l;

  if (out.dropped == out.reported || out.n > QUEUE_BYTES / 4)
    return;
  cv_line_begin (&l, CV_EV_LINES_DROPPED);
  cv_line_number (&l, "dropped", (int64_t)(out.dropped - out.reported));
  cv_line_number (&l, "dropped_in_all", (int64_t)out.dropped);
  l.text[l.n++] = '}';
  l.text[l.n++] = '\n';
  if (enqueue (l.text, l.n, true))
    out.reported = out.dropped;
}

void
cv_line_flush (void)
{
  size_t sent = 0;

  if (out.fd < 0)
    return;
  queue_dropped_count ();
  while (sent < out.n)
    {
      struct pollfd ready = { .fd = out.fd, .events = POLLOUT };
      size_t n
          = out.n - sent < WRITE_MAX_BYTES ? out.n - sent : WRITE_MAX_BYTES;
      ssize_t done;

      if (poll (&ready, 1, 0) != 1 || !(ready.revents & POLLOUT))
        break;
      done = write (out.fd, out.bytes + sent, n);
      if (done <= 0)
        break;
      sent += (size_t)done;
    }
  if (sent > 0)
    {
      out.n -= sent;
      memmove (out.bytes, out.bytes + sent, out.n);
    }
}

uint64_t
cv_line_dropped (void)
{
  return out.dropped;
}
