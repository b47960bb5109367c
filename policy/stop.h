/* What a gateway that is being stopped may still take on.  Load pattern: the
   gateways of a failure domain are stopped in turn within seconds.  Under half
   of them are then ready, so the load balancer keeps sending new connections to
   those that are stopping, until their processes end.

   Each request that was read must have its complete response, or a refusal,
   before its connection is closed.  A response whose head was sent can no
   longer become a refusal, so it is begun only if it also ends in time.  */

#ifndef CV_POLICY_STOP_H
#define CV_POLICY_STOP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  cv_time_t started_at;
  cv_time_t answer_by; /* requests without a response are refused then */
  cv_time_t ends_at;   /* responses in progress are cut off then */
} cv_stop_t;

/* Times that a request still needs.  */
typedef struct
{
  cv_time_t until_head; /* until its response begins */
  cv_time_t until_end;  /* from the begin of its response to the end */
} cv_stop_work_t;

/* A request of a route, and its service.  */
typedef struct
{
  cv_time_t objective;      /* of the route, for the first event or response */
  cv_time_t gap_objective;  /* of the route, between two events */
  cv_time_t prefill;        /* of its prompt */
  uint32_t event_tokens;    /* tokens of one event; at least 1 */
  uint32_t expected_tokens; /* of output, by the caller's estimate */
  uint32_t output_limit;    /* most tokens of output */
  bool is_generation;       /* at an engine */
} cv_stop_request_t;

/* A stop that begins at NOW in a process that is killed after GRACE.  */
void cv_stop_begin (cv_stop_t *s, cv_time_t now, cv_time_t grace);
/* Whether a request that was read or sent at AT came after the first part of
   the stop, in which the load balancer still counts the gateway as ready.  */
bool cv_stop_is_late (const cv_stop_t *s, cv_time_t at);
/* The time that R needs, with one silence of its engine.  For one taken late
   this is the most that a sound target takes, otherwise what is expected: a
   request that was taken while the gateway counted as ready is rather tried
   than refused.  */
void cv_stop_estimate (const cv_stop_request_t *r, bool is_late,
                       cv_stop_work_t *out);
/* Whether a request that needs W from NOW on ends before the stop does.  */
bool cv_stop_fits (const cv_stop_t *s, cv_time_t now, const cv_stop_work_t *w);

#ifdef __cplusplus
}
#endif

#endif
