// Expiry of claims by several entries, in virtual time, against a fake object
// API in this process.

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "entry/store_claims.h"
#include "store/tests/fake_store.h"

namespace
{

constexpr cv_time_t kHour = 3600 * CV_SECOND;

struct ClaimsEntry
{
  ClaimsEntry (const FakeStore &fake, cv_time_t now, uint64_t seed)
  {
    cv_store_init (&store, fake.url ().c_str (), FakeStore::TimeoutMs);
    cv_store_claims_init (&claims, now, seed);
  }
  ~ClaimsEntry ()
  {
    cv_store_claims_finish (&claims);
    cv_store_finish (&store);
  }
  ClaimsEntry (const ClaimsEntry &) = delete;
  ClaimsEntry &operator= (const ClaimsEntry &) = delete;
  cv_store_t store;
  cv_store_claims_t claims;
};

class Claims : public testing::Test
{
protected:
  FakeStore fake;
  cv_time_t now = 0;
  std::vector<std::unique_ptr<ClaimsEntry>> entries;

  void
  start (size_t n)
  {
    for (size_t i = 0; i < n; i++)
      entries.push_back (std::make_unique<ClaimsEntry> (fake, now, ++seed_));
  }
  // Runs each entry at its due times until UNTIL.
  void
  run (cv_time_t until)
  {
    for (;;)
      {
        ClaimsEntry *next = entries[0].get ();
        for (auto &e : entries)
          if (cv_store_claims_due (&e->claims)
              < cv_store_claims_due (&next->claims))
            next = e.get ();
        if (cv_store_claims_due (&next->claims) > until)
          break;
        now = std::max (now, cv_store_claims_due (&next->claims));
        cv_store_claims_run (&next->claims, &next->store, now);
      }
    now = until;
  }
  uint64_t
  calls () const
  {
    uint64_t n = 0;
    for (auto &e : entries)
      n += e->store.counts.reads + e->store.counts.writes;
    return n;
  }
  // Creates KEY and returns the virtual time until it is deleted.
  cv_time_t
  time_to_deletion (const std::string &key)
  {
    cv_time_t created = now;
    fake.overwrite (key, "{}");
    while (fake.value (key) != "" && now < created + 60 * kHour)
      run (now + kHour / 12);
    return now - created;
  }

private:
  uint64_t seed_ = 0;
};

TEST_F (Claims, ExpireAfter25To33Hours)
{
  start (3);
  run (2 * kHour);
  for (int i = 0; i < 3; i++)
    {
      cv_time_t t = time_to_deletion ("claims/a/" + std::to_string (i));
      EXPECT_GE (t, 25 * kHour);
      EXPECT_LE (t, 33 * kHour);
      RecordProperty ("minutes", static_cast<int> (t / (60 * CV_SECOND)));
    }
}

TEST_F (Claims, LiveFor24HoursDespiteLostResponsesAndRestarts)
{
  start (3);
  run (2 * kHour);
  fake.overwrite ("claims/a/b", "{}");
  cv_time_t created = now;
  for (int i = 0; now < created + 24 * kHour; i++)
    {
      fake.fault (i % 3 == 0 ? Fault::LoseResponse : Fault::Error500);
      entries.erase (entries.begin ());
      start (1);
      run (now + kHour);
    }
  EXPECT_EQ ("{}", fake.value ("claims/a/b"));
}

// Guards against a call rate that grows beyond one check per entry and ten
// minutes, and against more than one write of the clock object per interval.
TEST_F (Claims, CostFewCalls)
{
  start (20);
  run (24 * kHour);
  int writes = fake.writes;
  uint64_t before = calls ();
  run (48 * kHour);
  RecordProperty ("calls", static_cast<int> (calls () - before));
  RecordProperty ("clock_writes", fake.writes - writes);
  // One check per entry and ten minutes, and up to five calls per interval.
  EXPECT_LE (calls () - before, 20u * 6 * 24 * 11 / 10 + 24 * 5);
  EXPECT_LE (fake.writes - writes, 24);
  EXPECT_GE (fake.writes - writes, 20);
}

TEST_F (Claims, AreDeletedAtABoundedRate)
{
  start (2);
  run (2 * kHour);
  for (int i = 0; i < 300; i++)
    fake.overwrite ("claims/a/" + std::to_string (i), "{}");
  uint64_t deleted = 0;
  uint64_t most_calls = 0;
  for (cv_time_t end = now + 34 * kHour; now < end;)
    {
      uint64_t before = calls ();
      run (now + CV_SECOND);
      most_calls = std::max (most_calls, calls () - before);
    }
  for (auto &e : entries)
    deleted += e->claims.deleted;
  EXPECT_EQ (300u, deleted);
  EXPECT_EQ ("", fake.value ("claims/a/299"));
  // Two batches of eleven calls, and one check of three calls per entry.
  EXPECT_LE (most_calls, 2u * 11 + 2 * 3);
  RecordProperty ("most_calls_a_second", static_cast<int> (most_calls));
}

TEST_F (Claims, ExpireByTheirLatestCreation)
{
  start (1);
  run (2 * kHour);
  fake.overwrite ("claims/a/b", "{}");
  run (now + 20 * kHour);
  fake.overwrite ("claims/a/b", "{\"n\":2}");
  run (now + 24 * kHour);
  EXPECT_EQ ("{\"n\":2}", fake.value ("claims/a/b"));
}

// The clock object is written 30 times, with a claim created before each
// write.  The entry that writes it next deletes exactly the claims created
// before the 25th last of these 30 writes.
TEST_F (Claims, AreDeletedUpToTheOldestMark)
{
  std::string marks;
  for (int i = 10; i < 40; i++)
    {
      fake.overwrite ("claims/a/" + std::to_string (i), "{}");
      fake.overwrite (CV_CLAIMS_CLOCK_KEY, "{\"marks\":[" + marks + "]}");
      // Writes of claims and clock alternate: this one has version 2 (i - 9).
      marks
          = std::to_string (2 * (i - 9)) + (marks.empty () ? "" : ",") + marks;
    }
  start (1);
  run (now + kHour * 3 / 2);
  EXPECT_EQ (1u, entries[0]->store.counts.writes - entries[0]->claims.deleted);
  std::string left;
  for (int i = 10; i < 40; i++)
    if (fake.value ("claims/a/" + std::to_string (i)) != "")
      left += std::to_string (i) + " ";
  // The 25 marks are the versions of the clock object written in the rounds
  // i = 39, 38, ... 15.  Claim i was created before the write in round i.
  EXPECT_EQ (
      "16 17 18 19 20 21 22 23 24 25 26 27 28 29 30 31 32 33 34 35 36 37 "
      "38 39 ",
      left);
}

// Marks above the version of the clock object are invalid: they must not
// expire claims.
TEST_F (Claims, AreKeptWhenTheMarksAreInvalid)
{
  start (1);
  fake.overwrite ("claims/a/b", "{}");
  std::string marks = "900000";
  for (int i = 1; i < CV_CLAIMS_MARKS_MAX; i++)
    marks += "," + std::to_string (900000 - i);
  fake.overwrite (CV_CLAIMS_CLOCK_KEY, "{\"marks\":[" + marks + "]}");
  run (now + 24 * kHour);
  EXPECT_EQ ("{}", fake.value ("claims/a/b"));
}

}
