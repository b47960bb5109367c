/* Incremental parser of an HTTP response with server-sent events.  */

#include <stdlib.h>
#include <string.h>

#include "bench/relay/chunks.h"

#define STATUS_OFFSET 9 /* of the code in "HTTP/1.1 200 OK" */

static void feed_line_byte (chunks_t *c, char byte);
static size_t feed_data (chunks_t *c, const char *p, size_t n);
static void parse_event_line (chunks_t *c);

void
chunks_feed (chunks_t *c, const char *p, size_t n)
{
  while (n > 0 && !c->complete)
    {
      size_t used = 1;

      if (c->state == CHUNKS_DATA)
        used = feed_data (c, p, n);
      else
        feed_line_byte (c, *p);
      p += used;
      n -= used;
    }
}

/* Takes one byte of a header line or of a chunk-size line.  */
static void
feed_line_byte (chunks_t *c, char byte)
{
  if (byte != '\n')
    {
      if (byte != '\r' && c->line_size + 1 < sizeof c->line)
        c->line[c->line_size++] = byte;
      return;
    }
  c->line[c->line_size] = '\0';
  if (c->state == CHUNKS_HEAD)
    {
      if (c->status == 0 && c->line_size > STATUS_OFFSET)
        c->status = atoi (c->line + STATUS_OFFSET);
      if (c->line_size == 0)
        c->state = CHUNKS_SIZE;
    }
  else if (c->line_size > 0)
    {
      c->chunk_left = strtoul (c->line, NULL, 16);
      c->complete = c->chunk_left == 0;
      c->state = CHUNKS_DATA;
    }
  c->line_size = 0;
}

/* Takes up to N bytes of the current chunk; returns how many.  */
static size_t
feed_data (chunks_t *c, const char *p, size_t n)
{
  size_t i;

  if (n > c->chunk_left)
    n = c->chunk_left;
  for (i = 0; i < n; i++)
    if (p[i] == '\n')
      parse_event_line (c);
    else if (c->event_size + 1 < sizeof c->event)
      c->event[c->event_size++] = p[i];
  c->chunk_left -= n;
  if (c->chunk_left == 0)
    c->state = CHUNKS_SIZE;
  return n;
}

static void
parse_event_line (chunks_t *c)
{
  static const char prefix[] = "data: {";

  c->event[c->event_size] = '\0';
  c->event_size = 0;
  if (strncmp (c->event, prefix, sizeof prefix - 1) != 0)
    return;
  if (strstr (c->event, "\"finish_reason\"") != NULL
      || strstr (c->event, "{\"end\":") != NULL)
    c->ended = true;
  else if (strstr (c->event, "\"text\":") != NULL
           || strstr (c->event, "\"t\":") != NULL)
    c->tokens++;
}
