/* The events of one stream on their way to a caller: only whole events pass,
   each once and in order, across the runs that the stream is made of.  */

#ifndef CV_GATEWAY_EVENTS_H
#define CV_GATEWAY_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  cv_buf_t partial; /* an event that is not yet whole */
  bool has_last;
  uint64_t last;  /* id of the last event passed on */
  uint64_t count; /* events passed on */
} cv_events_t;

void cv_events_init (cv_events_t *e);
void cv_events_finish (cv_events_t *e);
/* A new run follows: forget the event that was under way.  */
void cv_events_restart (cv_events_t *e);
/* Take bytes of the present run and append the whole, new events to OUT.
   False with ERR when an event is missing or too large.  */
bool cv_events_take (cv_events_t *e, cv_slice_t data, cv_buf_t *out,
                     cv_error_t *err);
/* Whether the run ended between two events.  */
bool cv_events_at_boundary (const cv_events_t *e);

#ifdef __cplusplus
}
#endif

#endif
