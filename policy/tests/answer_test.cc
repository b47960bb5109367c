/* Answers that targets write more than once.  */

#include <gtest/gtest.h>

#include "policy/answer.h"

namespace
{

TEST (Answer, ThatNamesNoRequestIsInDoubtOnAKeptConnection)
{
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 2, true), CV_ANSWER_IN_DOUBT);
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 9, true), CV_ANSWER_IN_DOUBT);
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 1, true), CV_ANSWER_IS_DUE);
  EXPECT_EQ (cv_answer_judge (CV_ANSWER_UNNAMED, 2, false), CV_ANSWER_IS_DUE)
      << "none of the target does";
}

TEST (Answer, ThatNamesARequestIsItsOnly)
{
  for (uint32_t exchange : { 1, 2 })
    for (bool target_names : { false, true })
      {
        EXPECT_EQ (cv_answer_judge (CV_ANSWER_OF_THIS, exchange, target_names),
                   CV_ANSWER_IS_DUE);
        EXPECT_EQ (
            cv_answer_judge (CV_ANSWER_OF_ANOTHER, exchange, target_names),
            CV_ANSWER_IS_SKIPPED);
      }
}

} // namespace
