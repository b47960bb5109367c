/* What the end of a generation's stream proves.  Load pattern: engines drain
   while they generate, and each run is stopped by an order so that another
   engine goes on with it.  The engine closes a stream that it has stopped.  In
   a response without a length or chunks this looks like the end of the body,
   and the order may be answered before that, after it, or never.  */

#ifndef CV_POLICY_STREAM_END_H
#define CV_POLICY_STREAM_END_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* How the connection of a stream ended it.  */
typedef enum
{
  CV_STREAM_END_TOLD = 1, /* the length or the last chunk was reached */
  CV_STREAM_END_CLOSED,   /* the connection was closed in order, and nothing
                             else tells the end of the body */
  CV_STREAM_END_BROKEN    /* reset, or closed before the end that was told */
} cv_stream_end_t;

/* What is known of the orders to stop the run.  */
typedef enum
{
  CV_STOP_NOT_ORDERED = 1, /* none was sent, or all were answered */
  CV_STOP_PENDING,         /* a migration decides, by the answer or without */
  CV_STOP_IN_DOUBT         /* one has got no answer: it may be carried out as
                              long as the run goes on */
} cv_stop_order_t;

typedef enum
{
  CV_STREAM_IS_COMPLETE = 1,
  CV_STREAM_WAITS_FOR_MIGRATION,
  CV_STREAM_IS_INTERRUPTED
} cv_stream_verdict_t;

/* MAY_END: the stream is between two events, and its run has repeated all that
   were forwarded before.  */
cv_stream_verdict_t cv_stream_end_judge (cv_stream_end_t end, bool may_end,
                                         cv_stop_order_t order);

/* What the body of an engine's answer to an order says.  */
typedef enum
{
  CV_ORDER_BODY_WITHOUT_HANDLE = 1, /* empty, or whole without a handle */
  CV_ORDER_BODY_WITH_HANDLE,        /* names the copy */
  CV_ORDER_BODY_UNREADABLE          /* malformed, or may be cut */
} cv_order_body_t;

typedef struct
{
  unsigned status; /* 0: no answer */
  cv_order_body_t body;
  bool not_run;     /* the engine states that it has done nothing */
  bool is_not_sent; /* with status 0: the engine has not got the order */
} cv_order_reply_t;

/* What is known of an order to copy or to stop a run.  */
typedef enum
{
  CV_ORDER_DONE = 1,    /* the destination has the copy */
  CV_ORDER_COPY_FAILED, /* stopped; only the source can go on */
  CV_ORDER_REFUSED,     /* not carried out, and the run goes on */
  CV_ORDER_NOT_SENT,
  CV_ORDER_HAS_NO_RUN,  /* the run has ended */
  CV_ORDER_IN_PROGRESS, /* another order is being carried out */
  CV_ORDER_UNANSWERED   /* no answer, or none that can be read */
} cv_order_outcome_t;

cv_order_outcome_t cv_order_read (const cv_order_reply_t *r);

#ifdef __cplusplus
}
#endif

#endif
