/* Load generator of the relay bench.

   relay-load IP PORT PATH KEY STREAMS RAMP_MS TOKENS PROMPT
     opens STREAMS streams over RAMP_MS ms, reads TOKENS tokens from each, and
     prints the latencies as one line of JSON.  PATH selects the format of the
     request body: /v1/streams for an engine, else that of the entry.  */

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/base.h"
#include "bench/relay/chunks.h"

#define EVENTS_MAX 256
#define READ_BYTES 16384
#define REQUEST_BYTES 2048
#define RUN_TIMEOUT (120 * CV_SECOND)
#define GAPS_MAX 4000000

typedef struct
{
  int fd;
  bool closed;
  cv_time_t opened_at;
  cv_time_t first_token_at;
  cv_time_t last_token_at;
  chunks_t parser;
} stream_t;

typedef struct
{
  struct sockaddr_in address;
  const char *path;
  const char *key;
  unsigned tokens;
  const char *prompt;
  int epoll;
  stream_t *streams;
  unsigned count;
  unsigned opened;  /* streams opened since the start */
  cv_time_t jitter; /* delay added to the opening of the next stream */
  unsigned open;    /* streams open at present */
  double *gaps;     /* times between tokens of a stream, in microseconds */
  size_t gap_count;
} load_t;

static void run (load_t *l, cv_time_t ramp);
static cv_time_t random_jitter (cv_time_t max);
static void open_stream (load_t *l, stream_t *s);
static int format_request (const load_t *l, char *out, size_t size);
static void handle_readable (load_t *l, stream_t *s);
static void record_tokens (load_t *l, stream_t *s, unsigned before);
static void close_stream (load_t *l, stream_t *s);
static void report (const load_t *l);
static void print_quantiles (const char *name, double *value, size_t n);
static int compare_doubles (const void *a, const void *b);

int
main (int argc, char **argv)
{
  load_t l = { .epoll = epoll_create1 (EPOLL_CLOEXEC) };

  if (argc != 9 || inet_pton (AF_INET, argv[1], &l.address.sin_addr) != 1)
    {
      fprintf (stderr, "usage: relay-load IP PORT PATH KEY STREAMS RAMP_MS "
                       "TOKENS PROMPT\n");
      return 2;
    }
  l.address.sin_family = AF_INET;
  l.address.sin_port = htons ((uint16_t)atoi (argv[2]));
  l.path = argv[3];
  l.key = argv[4];
  l.count = (unsigned)atoi (argv[5]);
  l.tokens = (unsigned)atoi (argv[7]);
  l.prompt = argv[8];
  l.streams = cv_calloc (l.count, sizeof *l.streams);
  l.gaps = cv_calloc (GAPS_MAX, sizeof *l.gaps);
  run (&l, atoi (argv[6]) * CV_MS);
  report (&l);
  free (l.streams);
  free (l.gaps);
  return 0;
}

/* Opens the streams evenly over RAMP and reads until all of them are closed or
   RUN_TIMEOUT has passed.  */
static void
run (load_t *l, cv_time_t ramp)
{
  struct epoll_event event[EVENTS_MAX];
  cv_time_t begin = cv_now ();

  l->jitter = random_jitter (ramp / l->count);
  while ((l->opened < l->count || l->open > 0)
         && cv_now () - begin < RUN_TIMEOUT)
    {
      cv_time_t due = begin + ramp * l->opened / l->count + l->jitter;
      cv_time_t left = due - cv_now ();
      int n;
      int i;

      if (l->opened < l->count && left <= 0)
        {
          open_stream (l, &l->streams[l->opened++]);
          l->jitter = random_jitter (ramp / l->count);
          continue;
        }
      if (l->opened == l->count)
        left = CV_SECOND;
      n = epoll_wait (l->epoll, event, EVENTS_MAX, (int)(left / CV_MS));
      for (i = 0; i < n; i++)
        handle_readable (l, event[i].data.ptr);
    }
}

/* Returns a random time from 0 to MAX.  Without jitter, evenly spaced openings
   can fall at the same phase of the engine's iterations.  */
static cv_time_t
random_jitter (cv_time_t max)
{
  return (cv_time_t)(cv_random_u64 () % (uint64_t)(max + 1));
}

static void
open_stream (load_t *l, stream_t *s)
{
  struct epoll_event ev = { .events = EPOLLIN, .data.ptr = s };
  char text[REQUEST_BYTES];
  int n = format_request (l, text, sizeof text);

  s->opened_at = cv_now ();
  s->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  l->open++;
  if (n < 0 || s->fd < 0
      || connect (s->fd, (const struct sockaddr *)&l->address,
                  sizeof l->address)
             != 0
      || send (s->fd, text, (size_t)n, MSG_NOSIGNAL) != n
      || epoll_ctl (l->epoll, EPOLL_CTL_ADD, s->fd, &ev) != 0)
    close_stream (l, s);
}

/* Returns the length of the request, or -1 when it does not fit.  */
static int
format_request (const load_t *l, char *out, size_t size)
{
  char body[REQUEST_BYTES / 2];
  char id[CV_ID_TEXT];
  int n;

  (void)cv_id_format (cv_id_random (), id);
  if (strcmp (l->path, "/v1/streams") == 0)
    n = snprintf (body, sizeof body,
                  "{\"id\":\"%s\",\"model\":\"narrator\",\"prompt\":\"%s\","
                  "\"max_tokens\":%u,\"priority\":1,\"offset\":0}",
                  id, l->prompt, l->tokens);
  else
    n = snprintf (body, sizeof body,
                  "{\"model\":\"narrator\",\"prompt\":\"%s\","
                  "\"max_tokens\":%u,\"stream\":true}",
                  l->prompt, l->tokens);
  if (n < 0 || (size_t)n >= sizeof body)
    return -1;
  n = snprintf (out, size,
                "POST %s HTTP/1.1\r\nHost: bench\r\n"
                "Authorization: Bearer %s\r\nContent-Type: application/json\r\n"
                "Connection: close\r\nContent-Length: %d\r\n\r\n%s",
                l->path, l->key, n, body);
  return n < 0 || (size_t)n >= size ? -1 : n;
}

static void
handle_readable (load_t *l, stream_t *s)
{
  char block[READ_BYTES];
  ssize_t n = recv (s->fd, block, sizeof block, MSG_DONTWAIT);
  unsigned before = s->parser.tokens;

  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n <= 0)
    {
      close_stream (l, s);
      return;
    }
  chunks_feed (&s->parser, block, (size_t)n);
  if (s->parser.tokens != before)
    record_tokens (l, s, before);
  if (s->parser.complete)
    close_stream (l, s);
}

/* Records the gap before each token from index BEFORE on.  Of the tokens that
   arrive in one read, all but the first have a gap of 0.  */
static void
record_tokens (load_t *l, stream_t *s, unsigned before)
{
  cv_time_t now = cv_now ();
  double gap = (double)(now - s->last_token_at);

  if (s->first_token_at == 0)
    s->first_token_at = now;
  for (; before < s->parser.tokens; before++)
    {
      if (s->last_token_at != 0 && l->gap_count < GAPS_MAX)
        l->gaps[l->gap_count++] = gap;
      gap = 0;
      s->last_token_at = now;
    }
}

static void
close_stream (load_t *l, stream_t *s)
{
  if (s->fd >= 0)
    (void)close (s->fd);
  s->fd = -1;
  s->closed = true;
  l->open--;
}

static void
report (const load_t *l)
{
  double *ttft = cv_calloc (l->count, sizeof *ttft);
  double *token_time = cv_calloc (l->count, sizeof *token_time);
  size_t n = 0;
  unsigned whole = 0; /* streams with all tokens and the final event */
  unsigned long tokens = 0;
  unsigned i;

  for (i = 0; i < l->count; i++)
    {
      const stream_t *s = &l->streams[i];

      tokens += s->parser.tokens;
      if (!s->parser.ended || s->parser.tokens != l->tokens)
        continue;
      whole++;
      ttft[n] = (double)(s->first_token_at - s->opened_at);
      token_time[n] = s->parser.tokens < 2
                          ? 0
                          : (double)(s->last_token_at - s->first_token_at)
                                / (s->parser.tokens - 1);
      n++;
    }
  printf ("{\"streams\":%u,\"whole\":%u,\"tokens\":%lu,\"status\":%d", l->count,
          whole, tokens, l->count > 0 ? l->streams[0].parser.status : 0);
  print_quantiles ("ttft_us", ttft, n);
  print_quantiles ("token_us", token_time, n);
  print_quantiles ("gap_us", l->gaps, l->gap_count);
  printf ("}\n");
  free (ttft);
  free (token_time);
}

static void
print_quantiles (const char *name, double *value, size_t n)
{
  static const int percent[] = { 50, 95, 99 };
  size_t i;

  qsort (value, n, sizeof *value, compare_doubles);
  printf (",\"%s\":{", name);
  for (i = 0; i < sizeof percent / sizeof percent[0]; i++)
    printf ("%s\"p%d\":%.1f", i > 0 ? "," : "", percent[i],
            n > 0 ? value[(n - 1) * (size_t)percent[i] / 100] : 0.0);
  printf ("}");
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}
