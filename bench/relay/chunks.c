/* Reader of one HTTP response of server-sent events.  */

#include <stdlib.h>
#include <string.h>

#include "bench/relay/chunks.h"

#define STATUS_AT 9 /* of "HTTP/1.1 200 OK" */

static void head_or_size (chunks_t *c, char byte);
static size_t data (chunks_t *c, const char *p, size_t n);
static void event_line (chunks_t *c);

void
chunks_feed (chunks_t *c, const char *p, size_t n)
{
  while (n > 0 && !c->over)
    {
      size_t used = 1;

      if (c->state == CHUNKS_DATA)
        used = data (c, p, n);
      else
        head_or_size (c, *p);
      p += used;
      n -= used;
    }
}

/* One byte outside of a chunk's data.  */
static void
head_or_size (chunks_t *c, char byte)
{
  if (byte != '\n')
    {
      if (byte != '\r' && c->n + 1 < sizeof c->line)
        c->line[c->n++] = byte;
      return;
    }
  c->line[c->n] = '\0';
  if (c->state == CHUNKS_HEAD)
    {
      if (c->status == 0 && c->n > STATUS_AT)
        c->status = atoi (c->line + STATUS_AT);
      if (c->n == 0)
        c->state = CHUNKS_SIZE;
    }
  else if (c->n > 0)
    {
      c->left = strtoul (c->line, NULL, 16);
      c->over = c->left == 0;
      c->state = CHUNKS_DATA;
    }
  c->n = 0;
}

static size_t
data (chunks_t *c, const char *p, size_t n)
{
  size_t i;

  if (n > c->left)
    n = c->left;
  for (i = 0; i < n; i++)
    if (p[i] == '\n')
      event_line (c);
    else if (c->event_n + 1 < sizeof c->event)
      c->event[c->event_n++] = p[i];
  c->left -= n;
  if (c->left == 0)
    c->state = CHUNKS_SIZE;
  return n;
}

static void
event_line (chunks_t *c)
{
  static const char start[] = "data: {";

  c->event[c->event_n] = '\0';
  c->event_n = 0;
  if (strncmp (c->event, start, sizeof start - 1) != 0)
    return;
  if (strstr (c->event, "\"finish_reason\"") != NULL
      || strstr (c->event, "{\"end\":") != NULL)
    c->ended = true;
  else if (strstr (c->event, "\"text\":") != NULL
           || strstr (c->event, "\"t\":") != NULL)
    c->tokens++;
}
