/* Rate of configuration reads by all entries together, in virtual time.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "entry/poll.h"

namespace
{

/* Maximum number of reads in any second from FROM_S to UNTIL_S, by ENTRIES
   that start together.  */
uint32_t
max_reads_per_second (uint32_t entries, unsigned from_s, unsigned until_s)
{
  std::vector<uint32_t> reads (until_s);
  for (uint32_t e = 0; e < entries; e++)
    {
      cv_poll_schedule_t poll;
      cv_poll_init (&poll, e + 1);
      cv_time_t at = cv_poll_first_wait (&poll);
      for (; at < until_s * CV_SECOND;
           at += cv_poll_next_wait (&poll, CV_SECOND, entries))
        reads[static_cast<size_t> (at / CV_SECOND)]++;
      cv_poll_finish (&poll);
    }
  return *std::max_element (reads.begin () + from_s, reads.end ());
}

TEST (Poll, AllEntriesTogetherStayWithinTheRateLimit)
{
  /* The schedule does not depend on the success of reads, so the bounds hold
     during and after an outage as well.  */
  EXPECT_LE (max_reads_per_second (3, 1, 120), 3u);
  EXPECT_LE (max_reads_per_second (100, 1, 120), 100u);
  EXPECT_LE (max_reads_per_second (1000, 1, 120), 100u);
  /* The interval of 7,400 entries is 122 s, so 120 s would be too short.  */
  EXPECT_LE (max_reads_per_second (7400, 1, 600), 100u);
}

/* Number of reads in each second by 1,800 entries that start within a minute
   and each get the instance list LIST_S seconds after their start.  */
std::vector<uint32_t>
reads_after_restart (unsigned list_s, unsigned until_s)
{
  constexpr uint32_t kEntries = 1800;
  std::vector<uint32_t> reads (until_s);
  for (uint32_t e = 0; e < kEntries; e++)
    {
      cv_poll_schedule_t poll;
      cv_poll_init (&poll, e + 1);
      cv_time_t start = 60 * CV_SECOND * e / kEntries;
      cv_time_t listed = start + list_s * CV_SECOND;
      bool unlisted = true;
      for (cv_time_t at = start + cv_poll_first_wait (&poll);
           at < until_s * CV_SECOND;)
        {
          reads[static_cast<size_t> (at / CV_SECOND)]++;
          unlisted = at < listed;
          at += cv_poll_next_wait (&poll, CV_SECOND, unlisted ? 0 : kEntries);
          if (unlisted && at > listed)
            at = listed + cv_poll_next_wait (&poll, CV_SECOND, kEntries);
        }
      cv_poll_finish (&poll);
    }
  return reads;
}

TEST (Poll, RestartOfAllEntriesStaysWithinTheRateLimit)
{
  for (unsigned list_s : { 1u, 10u, 30u, 3600u })
    {
      std::vector<uint32_t> reads = reads_after_restart (list_s, 300);
      uint32_t peak = *std::max_element (reads.begin (), reads.end ());
      uint32_t sum = 0;
      for (unsigned s = 0; s < 120; s++)
        sum += reads[s];
      printf (
          "list after %u s: maximum %u reads per second, %u reads in 120 s\n",
          list_s, peak, sum);
      /* Single seconds may exceed the rate; the mean over 120 s must not.  */
      EXPECT_LE (peak, 200u) << list_s;
      EXPECT_LE (sum, 120 * 100u) << list_s;
    }
}

}
