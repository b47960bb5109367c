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

}
