/* When gateways tell each other what they have at engines.  */

#include <gtest/gtest.h>

#include "policy/share.h"

namespace
{

constexpr cv_time_t TICK = 25 * CV_MS;

/* Messages of a gateway in 10 s whose work changes at each EACH-th tick.  */
int
messages (int each, uint32_t gateways)
{
  cv_share_pace_t pace = {};
  uint64_t digest = 1;
  int count = 0;

  for (int i = 1; i <= 400; i++)
    {
      digest += i % each == 0;
      count += cv_share_is_due (&pace, digest, true, gateways, i * TICK);
    }
  return count;
}

TEST (Share, IsToldOnceItHasChanged)
{
  cv_share_pace_t pace = {};

  EXPECT_FALSE (cv_share_is_due (&pace, 0, false, 4, CV_SECOND));
  EXPECT_TRUE (cv_share_is_due (&pace, 7, true, 4, CV_SECOND + TICK));
  EXPECT_FALSE (cv_share_is_due (&pace, 7, true, 4, CV_SECOND + 2 * TICK));
  EXPECT_TRUE (cv_share_is_due (&pace, 8, true, 4, CV_SECOND + 3 * TICK));
  EXPECT_TRUE (cv_share_is_due (&pace, 0, false, 4, CV_SECOND + 4 * TICK));
  EXPECT_FALSE (cv_share_is_due (&pace, 0, false, 4, 60 * CV_SECOND));
}

TEST (Share, IsRepeatedWhileThereIsWork)
{
  int count = messages (1000, 4);

  EXPECT_GE (count, 10 * CV_SECOND / CV_SHARE_MAX_AGE * 2);
  EXPECT_LE (count, 21);
}

/* Work that changes all the time: each gateway sends and receives some 500
   datagrams a second, however many there are.  */
TEST (Share, TakesFewDatagramsAmongManyGateways)
{
  for (uint32_t gateways : { 4, 18, 68, 300, 512 })
    EXPECT_LE (messages (1, gateways) * gateways, 10 * 510u) << gateways;
  EXPECT_GE (messages (1, 68), 60);
}

} // namespace
