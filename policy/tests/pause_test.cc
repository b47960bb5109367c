/* Pauses that targets ask for.  */

#include <gtest/gtest.h>

#include "policy/pause.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;

TEST (Pause, LastsUntilTheLatestTimeAskedFor)
{
  cv_pause_t p = {};

  EXPECT_FALSE (cv_pause_is_in_force (&p, kStart));
  EXPECT_TRUE (cv_pause_ask (&p, kStart, 2 * CV_SECOND));
  EXPECT_FALSE (cv_pause_ask (&p, kStart + CV_SECOND, CV_SECOND / 2));
  EXPECT_TRUE (cv_pause_is_in_force (&p, kStart + 2 * CV_SECOND - 1));
  EXPECT_FALSE (cv_pause_is_in_force (&p, kStart + 2 * CV_SECOND));
  EXPECT_TRUE (cv_pause_ask (&p, kStart + 2 * CV_SECOND, CV_SECOND));
  EXPECT_FALSE (cv_pause_ask (&p, kStart + 2 * CV_SECOND, 3 * CV_SECOND));
  EXPECT_TRUE (cv_pause_is_in_force (&p, kStart + 4 * CV_SECOND));
}

TEST (Pause, AdmitsOneRunThatCanGoOnThereOnly)
{
  cv_pause_t p = {};

  (void)cv_pause_ask (&p, kStart, CV_SECOND);
  EXPECT_TRUE (cv_pause_exempt_run (&p));
  EXPECT_FALSE (cv_pause_exempt_run (&p));
  (void)cv_pause_ask (&p, kStart, 2 * CV_SECOND);
  EXPECT_FALSE (cv_pause_exempt_run (&p)) << "the same pause";
  (void)cv_pause_ask (&p, kStart + 3 * CV_SECOND, CV_SECOND);
  EXPECT_TRUE (cv_pause_exempt_run (&p));
}

TEST (Pause, IsOfTheTimeAtWhichItWasLastAskedFor)
{
  cv_pause_t p = {};

  EXPECT_FALSE (cv_pause_was_asked_within (&p, CV_SECOND, CV_SECOND / 2));
  (void)cv_pause_ask (&p, kStart, 5 * CV_SECOND);
  (void)cv_pause_ask (&p, kStart + CV_SECOND, CV_SECOND);
  EXPECT_TRUE (
      cv_pause_was_asked_within (&p, CV_SECOND, kStart + 2 * CV_SECOND - 1));
  EXPECT_FALSE (
      cv_pause_was_asked_within (&p, CV_SECOND, kStart + 2 * CV_SECOND));
}

// Requests that take 0.3 s each arrive faster than a target can serve them.
TEST (Pause, LoadReturnsGraduallyAfterIt)
{
  cv_pause_t p = {};
  const cv_time_t end = kStart + CV_SECOND;
  cv_time_t ends_at[64];
  uint32_t in_flight = 0;
  uint32_t most[2] = {};

  EXPECT_TRUE (cv_pause_has_room (&p, 1000, kStart)) << "none was asked for";
  (void)cv_pause_ask (&p, kStart, CV_SECOND);
  EXPECT_FALSE (cv_pause_has_room (&p, 0, end - 1));
  for (cv_time_t now = end; now < end + CV_SECOND; now += 5 * CV_MS)
    {
      for (uint32_t i = 0; i < in_flight;)
        if (ends_at[i] <= now)
          ends_at[i] = ends_at[--in_flight];
        else
          i++;
      if (cv_pause_has_room (&p, in_flight, now))
        ends_at[in_flight++] = now + 300 * CV_MS;
      uint32_t *m = &most[now >= end + CV_SECOND / 2];
      *m = in_flight > *m ? in_flight : *m;
    }
  EXPECT_EQ (5u, most[0]);
  EXPECT_EQ (10u, most[1]);
  EXPECT_TRUE (cv_pause_has_room (&p, 1000, end + CV_SECOND));
}

TEST (Pause, RetriesFollowItsEndSpreadOverASecond)
{
  EXPECT_EQ (501u, cv_pause_retry_after (500, 0));
  EXPECT_EQ (1001u, cv_pause_retry_after (500, 0.5));
  EXPECT_LE (cv_pause_retry_after (500, 0.999), 1501u);
}

}
