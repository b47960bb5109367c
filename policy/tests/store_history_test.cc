/* Histories of a store that is restored from copies.  */

#include <gtest/gtest.h>

#include "policy/store_history.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;

class StoreHistory : public ::testing::Test
{
protected:
  cv_store_history_t h = {};

  cv_call_basis_t
  list () const
  {
    return { h.number, false, false };
  }
  cv_call_basis_t
  watch () const
  {
    return { h.number, true, false };
  }
  cv_call_basis_t
  stale () const
  {
    return { h.number, false, true };
  }
  bool
  admit (uint64_t era, const cv_call_basis_t &basis, cv_time_t at = kStart)
  {
    return cv_store_history_admit (&h, { true, era }, &basis, at);
  }
  bool
  admitWithout (const cv_call_basis_t &basis)
  {
    return cv_store_history_admit (&h, {}, &basis, kStart);
  }
};

TEST_F (StoreHistory, OfAStoreThatNamesNoneGoesOn)
{
  EXPECT_TRUE (admitWithout (list ()));
  EXPECT_TRUE (admitWithout (watch ()));
  EXPECT_EQ (h.number, 0U);
}

TEST_F (StoreHistory, ListsOfANewOneCountAndWatchesFromTheFormerDoNot)
{
  EXPECT_TRUE (admit (0, list ()));
  EXPECT_TRUE (admit (0, watch ()));
  const cv_call_basis_t old_watch = watch ();
  const cv_call_basis_t old_list = list ();
  EXPECT_TRUE (admit (1, old_list)) << "was answered by the new history";
  EXPECT_FALSE (admit (1, old_watch));
  EXPECT_TRUE (admit (1, watch ()));
}

TEST_F (StoreHistory, AnswersOfAFormerOneThatArriveLateDoNotCount)
{
  EXPECT_TRUE (admit (4, list ()));
  const cv_call_basis_t old_list = list ();
  EXPECT_TRUE (admit (5, list ()));
  EXPECT_TRUE (admit (6, list ())) << "two in a row";
  EXPECT_FALSE (admit (4, old_list));
  EXPECT_FALSE (admit (5, old_list));
  EXPECT_EQ (h.era.number, 6U);
  EXPECT_FALSE (admitWithout (old_list)) << "it may be of either";
  EXPECT_TRUE (admitWithout (watch ()));
}

TEST_F (StoreHistory, AStaleReadLearnsOfANewOneButNotOfAnOlderOne)
{
  EXPECT_TRUE (admit (4, list ()));
  EXPECT_FALSE (admit (3, stale ()));
  EXPECT_EQ (h.era.number, 4U);
  EXPECT_TRUE (admit (5, stale ()));
  EXPECT_EQ (h.era.number, 5U);
}

TEST_F (StoreHistory, ALowerEraOfACallSentSinceIsAnother)
{
  EXPECT_TRUE (admit (7, list ()));
  EXPECT_TRUE (admit (1, list ()));
  EXPECT_EQ (h.number, 2U);
  EXPECT_FALSE (admit (7, { 1, true, false }));
}

TEST_F (StoreHistory, IsRecentAfterARestorationOnly)
{
  EXPECT_TRUE (admit (1, list ()));
  EXPECT_FALSE (cv_store_history_is_recent (&h, kStart, CV_SECOND));
  EXPECT_TRUE (admit (2, list (), kStart + CV_SECOND));
  EXPECT_TRUE (cv_store_history_is_recent (&h, kStart + CV_SECOND, CV_SECOND));
  EXPECT_FALSE (
      cv_store_history_is_recent (&h, kStart + 2 * CV_SECOND, CV_SECOND));
}

} // namespace
