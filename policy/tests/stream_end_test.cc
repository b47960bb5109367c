/* Ends of streams whose run may have been stopped.  */

#include <gtest/gtest.h>

#include "policy/stream_end.h"

namespace
{

TEST (StreamEnd, ThatIsToldIsCompleteWhateverWasOrdered)
{
  for (cv_stop_order_t order :
       { CV_STOP_NOT_ORDERED, CV_STOP_PENDING, CV_STOP_IN_DOUBT })
    {
      EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_TOLD, true, order),
                 CV_STREAM_IS_COMPLETE);
      EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_TOLD, false, order),
                 CV_STREAM_IS_INTERRUPTED);
    }
}

TEST (StreamEnd, OfAConnectionIsCompleteOnlyWithoutAnOrder)
{
  EXPECT_EQ (
      cv_stream_end_judge (CV_STREAM_END_CLOSED, true, CV_STOP_NOT_ORDERED),
      CV_STREAM_IS_COMPLETE);
  EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_CLOSED, true, CV_STOP_PENDING),
             CV_STREAM_WAITS_FOR_MIGRATION);
  EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_CLOSED, true, CV_STOP_IN_DOUBT),
             CV_STREAM_IS_INTERRUPTED);
}

TEST (StreamEnd, WithinAnEventIsNeverComplete)
{
  EXPECT_EQ (
      cv_stream_end_judge (CV_STREAM_END_CLOSED, false, CV_STOP_NOT_ORDERED),
      CV_STREAM_IS_INTERRUPTED);
  EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_CLOSED, false, CV_STOP_PENDING),
             CV_STREAM_WAITS_FOR_MIGRATION);
}

TEST (StreamEnd, OfABrokenConnectionIsNeverComplete)
{
  for (bool may_end : { false, true })
    {
      EXPECT_EQ (cv_stream_end_judge (CV_STREAM_END_BROKEN, may_end,
                                      CV_STOP_NOT_ORDERED),
                 CV_STREAM_IS_INTERRUPTED);
      EXPECT_EQ (
          cv_stream_end_judge (CV_STREAM_END_BROKEN, may_end, CV_STOP_PENDING),
          CV_STREAM_WAITS_FOR_MIGRATION);
      EXPECT_EQ (
          cv_stream_end_judge (CV_STREAM_END_BROKEN, may_end, CV_STOP_IN_DOUBT),
          CV_STREAM_IS_INTERRUPTED);
    }
}

cv_order_outcome_t
outcome (unsigned status, cv_order_body_t body, bool not_run = false,
         bool is_not_sent = false)
{
  const cv_order_reply_t reply = { status, body, not_run, is_not_sent };

  return cv_order_read (&reply);
}

TEST (StreamEnd, AnOrderIsAnsweredOnlyByWhatSaysWhetherTheRunStopped)
{
  const cv_order_body_t none = CV_ORDER_BODY_WITHOUT_HANDLE;
  const cv_order_body_t handle = CV_ORDER_BODY_WITH_HANDLE;
  const cv_order_body_t unreadable = CV_ORDER_BODY_UNREADABLE;

  EXPECT_EQ (outcome (200, handle), CV_ORDER_DONE);
  EXPECT_EQ (outcome (503, handle), CV_ORDER_COPY_FAILED);
  EXPECT_EQ (outcome (503, none), CV_ORDER_REFUSED);
  EXPECT_EQ (outcome (429, none, true), CV_ORDER_REFUSED);
  EXPECT_EQ (outcome (0, none, false, true), CV_ORDER_NOT_SENT);
  for (cv_order_body_t body : { none, handle, unreadable })
    {
      EXPECT_EQ (outcome (404, body), CV_ORDER_HAS_NO_RUN);
      EXPECT_EQ (outcome (409, body), CV_ORDER_IN_PROGRESS);
      /* The answer of another process at the engine's address.  */
      EXPECT_EQ (outcome (421, body, true), CV_ORDER_UNANSWERED);
    }
  for (unsigned status : { 0, 200, 400, 500, 502 })
    EXPECT_EQ (outcome (status, none), CV_ORDER_UNANSWERED);
  for (unsigned status : { 200, 503 })
    EXPECT_EQ (outcome (status, unreadable), CV_ORDER_UNANSWERED);
}

} // namespace
