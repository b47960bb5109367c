/* Which software version began a stream.  */

#include <gtest/gtest.h>

#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

#include "policy/origins.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;

class Origins : public testing::Test
{
protected:
  Origins () : table (new cv_origins_t) { cv_origins_init (table.get ()); }
  ~Origins () override { cv_origins_finish (table.get ()); }

  bool
  is_ambiguous (uint64_t key, cv_time_t now)
  {
    return cv_origins_find (table.get (), key, now)->is_ambiguous;
  }

  std::unique_ptr<cv_origins_t> table;
};

TEST_F (Origins, AreKeptForTheLifeOfAStream)
{
  cv_origins_add (table.get (), 1, 7, 0, kStart);
  ASSERT_NE (nullptr, cv_origins_find (table.get (), 1, kStart + CV_SECOND));
  EXPECT_EQ (7u, cv_origins_find (table.get (), 1, kStart)->version);
  EXPECT_EQ (nullptr, cv_origins_find (table.get (), 2, kStart));
  EXPECT_EQ (nullptr,
             cv_origins_find (table.get (), 1, kStart + CV_STREAM_LIFE));
}

TEST_F (Origins, AKeyOfTwoVersionsIsAmbiguous)
{
  cv_origins_add (table.get (), 1, 7, 0, kStart);
  cv_origins_add (table.get (), 1, 7, 0, kStart + 1);
  EXPECT_FALSE (cv_origins_find (table.get (), 1, kStart + 1)->is_ambiguous);
  cv_origins_add (table.get (), 1, 8, 0, kStart + 2);
  cv_origins_add (table.get (), 1, 8, 0, kStart + 3);
  EXPECT_TRUE (cv_origins_find (table.get (), 1, kStart + 3)->is_ambiguous);
  cv_origins_add (table.get (), 1, 9, 0, kStart + 2 * CV_STREAM_LIFE);
  EXPECT_FALSE (cv_origins_find (table.get (), 1, kStart + 2 * CV_STREAM_LIFE)
                    ->is_ambiguous);
}

TEST_F (Origins, ThoseOfARestartedInstanceAreInDoubt)
{
  std::vector<uint64_t> told;
  const auto tell = [] (void *owner, uint64_t key) {
    static_cast<std::vector<uint64_t> *> (owner)->push_back (key);
  };

  cv_origins_add (table.get (), 1, 7, 5, kStart);
  cv_origins_add (table.get (), 2, 7, 5, kStart + 1);
  cv_origins_add (table.get (), 3, 7, 6, kStart + 1);
  cv_origins_doubt (table.get (), 5, kStart + CV_RESTART_LAG, tell, &told);
  EXPECT_EQ (std::vector<uint64_t>{ 2 }, told);
  for (uint64_t key = 1; key <= 3; key++)
    EXPECT_EQ (key == 2, is_ambiguous (key, kStart + CV_RESTART_LAG));
}

TEST_F (Origins, OneThatCannotBeToldIsAmbiguous)
{
  cv_origins_add (table.get (), 1, CV_VERSION_UNCERTAIN, 0, kStart);
  EXPECT_TRUE (is_ambiguous (1, kStart));
}

TEST_F (Origins, TheOldestIsDroppedAndCounted)
{
  for (uint64_t key = 1; key <= CV_ORIGINS_MAX + 3; key++)
    cv_origins_add (table.get (), key, 7, 0, kStart + (cv_time_t)key);
  EXPECT_EQ (3u, table->dropped);
  EXPECT_EQ (nullptr, cv_origins_find (table.get (), 3, kStart));
  EXPECT_NE (nullptr, cv_origins_find (table.get (), 4, kStart));
  EXPECT_EQ (CV_ORIGINS_MAX + 3u,
             cv_origins_newest (table.get (), 0, kStart)->key);
  EXPECT_EQ (nullptr, cv_origins_newest (table.get (), CV_ORIGINS_MAX, kStart));
}

TEST (Versions, AreMixedForTheLifeOfAStreamAfterTheChange)
{
  cv_versions_t v = {};

  EXPECT_FALSE (cv_versions_see (&v, 1, false, kStart));
  EXPECT_FALSE (cv_versions_are_mixed (&v, kStart));
  EXPECT_TRUE (cv_versions_see (&v, 2, false, kStart + CV_SECOND));
  EXPECT_FALSE (cv_versions_see (&v, 2, false, kStart + 2 * CV_SECOND));
  EXPECT_TRUE (cv_versions_are_mixed (&v, kStart + CV_STREAM_LIFE - 1));
  EXPECT_FALSE (cv_versions_are_mixed (&v, kStart + CV_STREAM_LIFE));
}

TEST (Versions, MoreThanAreToldApartReplaceTheOldest)
{
  cv_versions_t v = {};

  for (uint64_t id = 1; id <= 20; id++)
    (void)cv_versions_see (&v, id, false, kStart + (cv_time_t)id);
  EXPECT_EQ ((uint32_t)CV_VERSIONS_MAX, v.count);
  EXPECT_TRUE (cv_versions_are_mixed (&v, kStart + 20));
}

TEST (Versions, AreKnownForTheLifeOfAStream)
{
  cv_versions_t v = {};

  EXPECT_FALSE (cv_versions_has (&v, 1, kStart));
  (void)cv_versions_see (&v, 1, true, kStart);
  EXPECT_TRUE (cv_versions_has (&v, 1, kStart + CV_STREAM_LIFE - 1));
  EXPECT_FALSE (cv_versions_has (&v, 1, kStart + CV_STREAM_LIFE));
  EXPECT_FALSE (cv_versions_has (&v, 2, kStart));
}

// A list with these instances: version and whether it is about to stop.
cv_versions_t
versions_of (std::initializer_list<std::pair<uint64_t, bool>> instances)
{
  cv_versions_t v = {};

  cv_versions_begin_count (&v);
  for (const auto &[version, is_leaving] : instances)
    (void)cv_versions_see (&v, version, is_leaving, kStart);
  return v;
}

TEST (Versions, OneEndsWithItsLastInstance)
{
  cv_versions_t v
      = versions_of ({ { 1, true }, { 1, false }, { 2, false }, { 2, false } });
  EXPECT_TRUE (cv_versions_is_ending (&v, 1));
  EXPECT_FALSE (cv_versions_is_ending (&v, 2));
  EXPECT_FALSE (cv_versions_is_ending (&v, 3));
  cv_versions_begin_count (&v);
  (void)cv_versions_see (&v, 1, false, kStart);
  (void)cv_versions_see (&v, 2, false, kStart);
  EXPECT_FALSE (cv_versions_is_ending (&v, 1)) << "none of it leaves";
  v = versions_of ({ { 1, true }, { 1, false }, { 1, false }, { 2, false } });
  EXPECT_FALSE (cv_versions_is_ending (&v, 1)) << "two are left";
  v = versions_of ({ { 1, true }, { 1, false }, { 2, true } });
  EXPECT_FALSE (cv_versions_is_ending (&v, 1)) << "no other version serves";
}

// All gateways have ended and started again; the former version may have left.
TEST (Versions, AreCertainOnceFollowedForTheLifeOfAStream)
{
  const cv_versions_t one = versions_of ({ { 1, false } });
  const cv_versions_t two = versions_of ({ { 1, false }, { 2, false } });
  const cv_time_t long_ago = kStart - CV_STREAM_LIFE;
  const cv_time_t lately = kStart - CV_SECOND;

  EXPECT_EQ (cv_versions_sole (&one, long_ago, kStart), 1U);
  EXPECT_EQ (cv_versions_sole (&one, lately, kStart), CV_VERSION_NONE);
  EXPECT_EQ (cv_versions_sole (&two, long_ago, kStart), CV_VERSION_NONE);
  EXPECT_TRUE (
      cv_versions_are_certain (&one, long_ago, CV_VERSION_NONE, kStart));
  EXPECT_FALSE (
      cv_versions_are_certain (&one, lately, CV_VERSION_NONE, kStart));
  EXPECT_TRUE (cv_versions_are_certain (&one, lately, 1, kStart));
  EXPECT_FALSE (cv_versions_are_certain (&one, lately, 2, kStart));
  EXPECT_FALSE (cv_versions_are_certain (&two, long_ago, 1, kStart));
}

}
