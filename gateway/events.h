/* Server-sent events of one stream, which may consist of several runs: forwards
   only whole events.  Those with an id are forwarded once and in order, those
   without one always.  */

#ifndef CV_GATEWAY_EVENTS_H
#define CV_GATEWAY_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  cv_buf_t partial; /* start of an incomplete event */
  bool has_last_id;
  uint64_t last_id; /* of the last event that the caller has */
  uint64_t count;   /* events forwarded; a comment is none */
  /* The last event of the current run was forwarded before.  */
  bool is_behind;
} cv_events_t;

void cv_events_init (cv_events_t *e);
/* The stream is taken up after the event with ID.  */
void cv_events_follow (cv_events_t *e, uint64_t id);
void cv_events_finish (cv_events_t *e);
/* Discards the incomplete event before a new run.  */
void cv_events_restart (cv_events_t *e);
/* Adds DATA of the current run and appends to OUT the events that are complete,
   except those with an id that was forwarded before.  False with ERR when an id
   skips one or an event is too large.  */
bool cv_events_feed (cv_events_t *e, cv_slice_t data, cv_buf_t *out,
                     cv_error_t *err);
/* Whether the stream may end here: no event is incomplete, and a run that
   repeats events has repeated all that were forwarded.  */
bool cv_events_may_end (const cv_events_t *e);

#ifdef __cplusplus
}
#endif

#endif
