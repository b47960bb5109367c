/* Incremental parser of an HTTP response whose chunked body holds
   server-sent events: reads the status, counts token events and detects the
   end of the stream.  */

#ifndef RELAY_CHUNKS_H
#define RELAY_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>

#define CHUNKS_LINE_MAX 1024

typedef enum
{
  CHUNKS_HEAD, /* status line and header lines */
  CHUNKS_SIZE, /* chunk-size line */
  CHUNKS_DATA
} chunks_state_t;

typedef struct
{
  chunks_state_t state;
  size_t chunk_left; /* bytes of the current chunk not yet received */
  char line[CHUNKS_LINE_MAX];
  size_t line_size;
  char event[CHUNKS_LINE_MAX];
  size_t event_size;
  int status;
  unsigned tokens; /* token events received */
  bool ended;      /* the final event of the stream was received */
  bool complete;   /* the last chunk was received */
} chunks_t;

/* Parses the next N bytes of the response.  Bytes after the last chunk are
   ignored.  */
void chunks_feed (chunks_t *c, const char *p, size_t n);

#endif
