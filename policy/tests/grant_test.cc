/* Grants that arrive late.  */

#include <gtest/gtest.h>

#include "policy/grant.h"

namespace
{

/* A process asks each 25 ms and reads the reply 2 ms later.  It stands still
   from 1 s to 4 s, and finds the reply to its last question as it goes on.  */
TEST (Grant, ThatWaitedInASocketDoesNotHold)
{
  int refused = 0;

  for (cv_time_t asked_at = 0; asked_at < 5 * CV_SECOND; asked_at += 25 * CV_MS)
    {
      cv_time_t read_at = asked_at + 2 * CV_MS;

      if (asked_at == CV_SECOND - 25 * CV_MS)
        read_at = 4 * CV_SECOND;
      else if (asked_at >= CV_SECOND && asked_at < 4 * CV_SECOND)
        continue;
      refused += !cv_grant_holds (asked_at, read_at);
    }
  EXPECT_EQ (refused, 1);
}

TEST (Grant, OfASlowGranterHolds)
{
  EXPECT_TRUE (cv_grant_holds (CV_SECOND, CV_SECOND + 100 * CV_MS));
  EXPECT_FALSE (cv_grant_holds (CV_SECOND, 2 * CV_SECOND));
}

} // namespace
