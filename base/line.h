/* Structured log lines on standard output: one JSON object a line, for each
   decision that touches a request and each change of what the process
   believes.  Lines wait in a bounded buffer and are written by cv_line_flush,
   which never blocks: what has no room is dropped and counted.  */

#ifndef CV_LINE_H
#define CV_LINE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Longest line; longer ones lose their last fields.  */
#define CV_LINE_MAX 1024

typedef struct
{
  cv_event_t event;
  size_t n;
  char text[CV_LINE_MAX];
} cv_line_t;

/* Lines are written to FD from now on; none are before.  */
void cv_line_open (int fd);
void cv_line_begin (cv_line_t *l, cv_event_t event);
void cv_line_text (cv_line_t *l, const char *key, cv_slice_t value);
void cv_line_number (cv_line_t *l, const char *key, int64_t value);
/* Queue the line.  Lines of priority warning and above have half of the
   buffer for themselves.  */
void cv_line_end (cv_line_t *l);
/* Write what is queued, as far as FD takes it now.  */
void cv_line_flush (void);
/* Lines dropped since the start.  */
uint64_t cv_line_dropped (void);

#ifdef __cplusplus
}
#endif

#endif
