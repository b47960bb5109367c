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

TEST (StreamEnd, AnOrderIsAnsweredOnlyByWhatSaysWhetherTheRunStopped)
{
  EXPECT_EQ (cv_order_answer_read (200, true, false), CV_ORDER_MADE);
  EXPECT_EQ (cv_order_answer_read (503, true, false), CV_ORDER_COPY_FAILED);
  EXPECT_EQ (cv_order_answer_read (503, false, false), CV_ORDER_REFUSED);
  EXPECT_EQ (cv_order_answer_read (404, false, false), CV_ORDER_HAS_NO_RUN);
  EXPECT_EQ (cv_order_answer_read (409, false, false), CV_ORDER_IN_PROGRESS);
  EXPECT_EQ (cv_order_answer_read (429, false, true), CV_ORDER_REFUSED);
  for (unsigned status : { 0, 200, 400, 500, 502 })
    EXPECT_EQ (cv_order_answer_read (status, false, false),
               CV_ORDER_IS_UNANSWERED);
  EXPECT_EQ (cv_order_answer_read (421, false, true), CV_ORDER_IS_UNANSWERED);
}

TEST (StreamEnd, AnEarlierOrderIsSettledByAnAnswerOfARunThatGoesOn)
{
  for (cv_order_answer_t answer :
       { CV_ORDER_MADE, CV_ORDER_COPY_FAILED, CV_ORDER_REFUSED })
    EXPECT_TRUE (cv_order_answer_settles_earlier (answer));
  for (cv_order_answer_t answer :
       { CV_ORDER_HAS_NO_RUN, CV_ORDER_IN_PROGRESS, CV_ORDER_IS_UNANSWERED })
    EXPECT_FALSE (cv_order_answer_settles_earlier (answer));
}

} // namespace
