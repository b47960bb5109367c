#include "policy/stream_end.h"

cv_stream_verdict_t
cv_stream_end_judge (cv_stream_end_t end, bool may_end, cv_stop_order_t order)
{
  /* An engine does not tell the end of a stream that it has stopped.  */
  if (end == CV_STREAM_END_TOLD)
    return may_end ? CV_STREAM_IS_COMPLETE : CV_STREAM_IS_INTERRUPTED;
  switch (order)
    {
    case CV_STOP_NOT_ORDERED:
      return end == CV_STREAM_END_CLOSED && may_end ? CV_STREAM_IS_COMPLETE
                                                    : CV_STREAM_IS_INTERRUPTED;
    case CV_STOP_PENDING:
      return CV_STREAM_WAITS_FOR_MIGRATION;
    case CV_STOP_IN_DOUBT:
      return CV_STREAM_IS_INTERRUPTED;
    }
  return CV_STREAM_IS_INTERRUPTED;
}

cv_order_outcome_t
cv_order_read (const cv_order_reply_t *r)
{
  if (r->is_not_sent)
    return CV_ORDER_NOT_SENT;
  switch (r->status)
    {
    case 200:
      return r->body == CV_ORDER_BODY_WITH_HANDLE ? CV_ORDER_DONE
                                                  : CV_ORDER_UNANSWERED;
    case 404:
      return CV_ORDER_HAS_NO_RUN;
    case 409:
      return CV_ORDER_IN_PROGRESS;
    /* Of another process at the engine's address.  */
    case 421:
      return CV_ORDER_UNANSWERED;
    case 503:
      if (r->body == CV_ORDER_BODY_WITH_HANDLE)
        return CV_ORDER_COPY_FAILED;
      return r->body == CV_ORDER_BODY_WITHOUT_HANDLE ? CV_ORDER_REFUSED
                                                     : CV_ORDER_UNANSWERED;
    default:
      return r->not_run ? CV_ORDER_REFUSED : CV_ORDER_UNANSWERED;
    }
}
