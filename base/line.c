/* Structured log lines; see line.h.  */

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/events.h"
#include "base/line.h"

/* Lines of about a fifth of a second at the rate below.  */
#define QUEUE_BYTES (128u * 1024)
/* Ordinary lines a second that a process may write, and as many warnings.
   At 150 bytes a line this is 75 KB a second.  */
#define LINES_PER_S 500
#define WARNING_PRIORITY 4
/* A pipe that is ready takes so much without blocking (PIPE_BUF).  */
#define WRITE_MAX 4096
/* Room kept for the end of a line and its newline.  */
#define LINE_TAIL 4

static struct
{
  int fd;
  char bytes[QUEUE_BYTES];
  size_t n;
  uint64_t dropped;
  uint64_t told;   /* of the dropped ones */
  time_t second;   /* of the steady clock */
  unsigned lines;  /* ordinary ones in this second */
  unsigned urgent; /* warnings and worse in this second */
} out = { .fd = -1 };

void
cv_line_open (int fd)
{
  out.fd = fd;
}

static void
add (cv_line_t *l, const char *text, size_t n)
{
  if (l->n + n + LINE_TAIL > sizeof l->text)
    return;
  memcpy (l->text + l->n, text, n);
  l->n += n;
}

static void add_format (cv_line_t *l, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
add_format (cv_line_t *l, const char *format, ...)
{
  char text[256];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (text, sizeof text, format, args);
  va_end (args);
  if (n > 0 && (size_t)n < sizeof text)
    add (l, text, (size_t)n);
}

/* Both clocks stand in each line, so that a step of the time of day does not
   confuse the order.  */
void
cv_line_begin (cv_line_t *l, cv_event_t event)
{
  struct timespec day = { 0 };

  (void)clock_gettime (CLOCK_REALTIME, &day);
  l->event = event;
  l->n = 0;
  add_format (l,
              "{\"steady_us\":%lld,\"time\":%lld.%06ld,\"event\":%d,"
              "\"name\":\"%s\"",
              (long long)cv_now (), (long long)day.tv_sec, day.tv_nsec / 1000,
              (int)event, cv_event_info (event)->name);
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
  add_format (l, ",\"%s\":\"%s\"", key, text);
}

void
cv_line_number (cv_line_t *l, const char *key, int64_t value)
{
  add_format (l, ",\"%s\":%lld", key, (long long)value);
}

/* Whether this second has room for another line of that priority.  */
static bool
take_allowance (bool urgent)
{
  time_t now = (time_t)(cv_now () / CV_SECOND);

  if (now != out.second)
    {
      out.second = now;
      out.lines = 0;
      out.urgent = 0;
    }
  return urgent ? out.urgent++ < LINES_PER_S : out.lines++ < LINES_PER_S;
}

static bool
queue (const char *text, size_t n, bool urgent)
{
  size_t room = urgent ? QUEUE_BYTES : QUEUE_BYTES / 2;

  if (out.n + n > room)
    return false;
  memcpy (out.bytes + out.n, text, n);
  out.n += n;
  return true;
}

void
cv_line_end (cv_line_t *l)
{
  bool urgent = cv_event_info (l->event)->priority <= WARNING_PRIORITY;

  if (out.fd < 0)
    return;
  l->text[l->n++] = '}';
  l->text[l->n++] = '\n';
  if (!take_allowance (urgent) || !queue (l->text, l->n, urgent))
    out.dropped++;
}

static void
tell_dropped (void)
{
  cv_line_t l;

  if (out.dropped == out.told || out.n > QUEUE_BYTES / 4)
    return;
  cv_line_begin (&l, CV_EV_LINES_DROPPED);
  cv_line_number (&l, "dropped", (int64_t)(out.dropped - out.told));
  cv_line_number (&l, "dropped_in_all", (int64_t)out.dropped);
  l.text[l.n++] = '}';
  l.text[l.n++] = '\n';
  if (queue (l.text, l.n, true))
    out.told = out.dropped;
}

void
cv_line_flush (void)
{
  size_t sent = 0;

  if (out.fd < 0)
    return;
  tell_dropped ();
  while (sent < out.n)
    {
      struct pollfd ready = { .fd = out.fd, .events = POLLOUT };
      size_t n = out.n - sent < WRITE_MAX ? out.n - sent : WRITE_MAX;
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
