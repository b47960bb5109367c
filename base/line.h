/* Structured log lines, one JSON object per line, for each decision about a
   request and each change of the process's state.  Lines are queued in a buffer
   of fixed size and written by cv_line_flush, which never blocks.  Lines that
   do not fit, or that exceed the rate limit, are dropped and counted.  */

#ifndef CV_LINE_H
#define CV_LINE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum length of a line, in bytes; a field that does not fit, or has more
   than 255 bytes after escaping, is omitted.  */
#define CV_LINE_MAX 1024

typedef struct
{
  cv_event_t event;
  size_t n;
  char text[CV_LINE_MAX];
} cv_line_t;

/* Sets the descriptor for lines; lines before this call are discarded.  */
void cv_line_open (int fd);
void cv_line_begin (cv_line_t *l, cv_event_t event);
void cv_line_text (cv_line_t *l, const char *key, cv_slice_t value);
void cv_line_number (cv_line_t *l, const char *key, int64_t value);
/* Queues the line.  Half of the buffer is reserved for lines of priority
   warning and above.  */
void cv_line_end (cv_line_t *l);
/* Writes queued lines as far as possible without blocking.  */
void cv_line_flush (void);
/* Number of lines dropped since the process started.  */
uint64_t cv_line_dropped (void);

#ifdef __cplusplus
}
#endif

#endif
