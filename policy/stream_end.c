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

cv_order_answer_t
cv_order_answer_read (unsigned status, bool has_handle, bool not_run)
{
  switch (status)
    {
    case 200:
      return has_handle ? CV_ORDER_MADE : CV_ORDER_IS_UNANSWERED;
    case 404:
      return CV_ORDER_HAS_NO_RUN;
    case 409:
      return CV_ORDER_IN_PROGRESS;
    /* Of another process at the engine's address.  */
    case 421:
      return CV_ORDER_IS_UNANSWERED;
    case 503:
      return has_handle ? CV_ORDER_COPY_FAILED : CV_ORDER_REFUSED;
    default:
      return not_run ? CV_ORDER_REFUSED : CV_ORDER_IS_UNANSWERED;
    }
}

bool
cv_order_answer_settles_earlier (cv_order_answer_t answer)
{
  switch (answer)
    {
    case CV_ORDER_MADE:
    case CV_ORDER_COPY_FAILED:
    case CV_ORDER_REFUSED:
      return true;
    /* An earlier order may be why there is no run.  */
    case CV_ORDER_HAS_NO_RUN:
    case CV_ORDER_IN_PROGRESS:
    case CV_ORDER_IS_UNANSWERED:
      return false;
    }
  return false;
}
