/* Reader of one HTTP response with a chunked body that holds server-sent
   events: status, token events and the end.  */

#ifndef RELAY_CHUNKS_H
#define RELAY_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>

#define CHUNKS_LINE_MAX 1024

typedef enum
{
  CHUNKS_HEAD, /* status and header lines */
  CHUNKS_SIZE, /* line with the size of a chunk */
  CHUNKS_DATA
} chunks_state_t;

typedef struct
{
  chunks_state_t state;
  size_t left; /* bytes of the chunk that are still to come */
  char line[CHUNKS_LINE_MAX];
  size_t n;
  char event[CHUNKS_LINE_MAX];
  size_t event_n;
  int status;
  unsigned tokens; /* events with a token so far */
  bool ended;      /* the event that ends the stream was seen */
  bool over;       /* the body's last chunk was seen */
} chunks_t;

/* Take N bytes of the response.  */
void chunks_feed (chunks_t *c, const char *p, size_t n);

#endif
