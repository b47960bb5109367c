/* Reads of the object API by all entries together, in virtual time.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "entry/poll.h"

namespace
{

/* Most reads in any second from FROM on, of ENTRIES that start together.  */
uint32_t
busiest_second (uint32_t entries, unsigned from_s, unsigned until_s)
{
  std::vector<uint32_t> reads (until_s);
  for (uint32_t e = 0; e < entries; e++)
    {
      cv_poll_t poll;
      cv_poll_init (&poll, e + 1);
      cv_time_t at = cv_poll_first (&poll);
      for (; at < until_s * CV_SECOND;
           at += cv_poll_wait (&poll, CV_SECOND, entries))
        reads[static_cast<size_t> (at / CV_SECOND)]++;
      cv_poll_finish (&poll);
    }
  return *std::max_element (reads.begin () + from_s, reads.end ());
}

TEST (Poll, AllEntriesTogetherStayWithinTheBudget)
{
  /* Whether the reads succeed makes no difference to their times, so that
     these seconds are those of an outage and of its end as well.  */
  EXPECT_LE (busiest_second (3, 1, 120), 3u);
  EXPECT_LE (busiest_second (100, 1, 120), 100u);
  EXPECT_LE (busiest_second (1000, 1, 120), 100u);
  EXPECT_LE (busiest_second (7400, 1, 600), 100u);
}

/* Reads in each second of 1,800 entries that start within a minute and get
   the instance list LIST_S seconds after their start.  */
std::vector<uint32_t>
restart (unsigned list_s, unsigned until_s)
{
  constexpr uint32_t kEntries = 1800;
  std::vector<uint32_t> reads (until_s);
  for (uint32_t e = 0; e < kEntries; e++)
    {
      cv_poll_t poll;
      cv_poll_init (&poll, e + 1);
      cv_time_t start = 60 * CV_SECOND * e / kEntries;
      cv_time_t listed = start + list_s * CV_SECOND;
      bool blind = true;
      for (cv_time_t at = start + cv_poll_first (&poll);
           at < until_s * CV_SECOND;)
        {
          reads[static_cast<size_t> (at / CV_SECOND)]++;
          blind = at < listed;
          at += cv_poll_wait (&poll, CV_SECOND, blind ? 0 : kEntries);
          if (blind && at > listed)
            at = listed + cv_poll_wait (&poll, CV_SECOND, kEntries);
        }
      cv_poll_finish (&poll);
    }
  return reads;
}

TEST (Poll, RestartOfAllEntriesStaysWithinTheBudget)
{
  for (unsigned list_s : { 1u, 10u, 30u, 3600u })
    {
      std::vector<uint32_t> reads = restart (list_s, 300);
      uint32_t most = *std::max_element (reads.begin (), reads.end ());
      uint32_t sum = 0;
      for (unsigned s = 0; s < 120; s++)
        sum += reads[s];
      printf ("list after %u s: %u reads in the busiest second, %u in 120 s\n",
              list_s, most, sum);
      EXPECT_LE (most, 200u) << list_s;
      EXPECT_LE (sum, 120 * 100u) << list_s;
    }
}

}
