/* Answers that targets write more than once.  */

#include <gtest/gtest.h>

#include "policy/answer.h"

namespace
{

TEST (Answer, ThatNamesNoRequestIsInDoubtOnAKeptConnection)
{
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 1), CV_ANSWER_IS_DUE);
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 2), CV_ANSWER_IN_DOUBT);
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 9), CV_ANSWER_IN_DOUBT);
}

TEST (Answer, ThatNamesARequestIsItsOnly)
{
  for (uint32_t exchange : { 1, 2 })
    {
      EXPECT_EQ (cv_answer_judge (CV_ANSWER_OF_THIS, exchange),
                 CV_ANSWER_IS_DUE);
      EXPECT_EQ (cv_answer_judge (CV_ANSWER_TO_UNNAMED, exchange),
                 CV_ANSWER_IS_DUE);
      EXPECT_EQ (cv_answer_judge (CV_ANSWER_OF_ANOTHER, exchange),
                 CV_ANSWER_IS_SKIPPED);
    }
}

/* A target that names no request writes each third answer once more ahead of
   the next one.  */
TEST (Answer, ThatNamesNoRequestIsNeverTakenForAnother)
{
  uint32_t exchange = 0;
  bool has_copy = false;

  for (int i = 0; i < 100; i++)
    {
      exchange++;
      EXPECT_FALSE (has_copy
                    && cv_answer_judge (CV_ANSWER_UNNAMED, exchange)
                           == CV_ANSWER_IS_DUE)
          << "request " << i;
      has_copy = i % 3 == 0;
      if (!cv_answer_keeps_connection (CV_ANSWER_UNNAMED))
        {
          exchange = 0;
          has_copy = false;
        }
    }
  EXPECT_TRUE (cv_answer_keeps_connection (CV_ANSWER_OF_THIS));
  EXPECT_FALSE (cv_answer_keeps_connection (CV_ANSWER_TO_UNNAMED));
}

} // namespace
