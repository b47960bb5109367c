/* Entries that show as ready a target that left.  */

#include <gtest/gtest.h>

#include <memory>

#include "policy/starts.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;
const uint64_t kInstance = 7;

class Starts : public ::testing::Test
{
protected:
  std::unique_ptr<cv_starts_t> s = std::make_unique<cv_starts_t> ();

  void
  record (uint64_t started_ms, cv_start_state_t state, uint64_t history = 1)
  {
    cv_starts_record (s.get (), kInstance, started_ms, state, history, kStart);
  }
  cv_entry_verdict_t
  judge (uint64_t started_ms, uint64_t history = 1, bool is_change = false)
  {
    const cv_start_entry_t e = { kInstance, started_ms, history, is_change };
    return cv_starts_judge (s.get (), &e);
  }
};

TEST_F (Starts, OfAnUnknownInstanceCount)
{
  EXPECT_EQ (judge (0), CV_ENTRY_COUNTS);
  EXPECT_EQ (judge (5), CV_ENTRY_COUNTS);
}

TEST_F (Starts, ALeavingIsFinalForItsStart)
{
  record (5, CV_START_LEAVING);
  EXPECT_EQ (judge (5, 2, true), CV_ENTRY_LEAVING);
  record (5, CV_START_REMOVED);
  record (5, CV_START_SERVES);
  EXPECT_EQ (judge (5), CV_ENTRY_LEAVING);
  EXPECT_EQ (judge (6), CV_ENTRY_COUNTS);
}

TEST_F (Starts, AnEarlierOneIsNoNewOne)
{
  record (5, CV_START_REMOVED);
  EXPECT_EQ (judge (4, 1, true), CV_ENTRY_OLDER);
  EXPECT_EQ (judge (0, 2), CV_ENTRY_OLDER);
  record (4, CV_START_SERVES);
  EXPECT_EQ (judge (4), CV_ENTRY_OLDER);
  record (6, CV_START_SERVES);
  EXPECT_EQ (judge (5), CV_ENTRY_OLDER);
  EXPECT_EQ (judge (6), CV_ENTRY_COUNTS);
}

TEST_F (Starts, ARemovedOneCountsInTheSameHistoryOrAsItIsWritten)
{
  record (5, CV_START_REMOVED, 3);
  EXPECT_EQ (judge (5, 3), CV_ENTRY_COUNTS);
  EXPECT_EQ (judge (5, 4), CV_ENTRY_COPIED);
  EXPECT_EQ (judge (5, 4, true), CV_ENTRY_COUNTS);
}

TEST_F (Starts, TheOneThatChangedLongestAgoIsDropped)
{
  record (5, CV_START_LEAVING);
  for (uint64_t i = 1; i < CV_STARTS_MAX; i++)
    cv_starts_record (s.get (), 1000 + i, 5, CV_START_LEAVING, 1,
                      kStart + (cv_time_t)i);
  EXPECT_EQ (judge (5), CV_ENTRY_LEAVING);
  cv_starts_record (s.get (), 9, 5, CV_START_LEAVING, 1, kStart + CV_SECOND);
  EXPECT_EQ (judge (5), CV_ENTRY_COUNTS);
}

} // namespace
