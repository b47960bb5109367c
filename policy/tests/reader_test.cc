/* Gateways that read the store for each other: a fleet of them on one store,
   with readers that end, stand still or are cut off, and lost datagrams.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/reader.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;
const cv_time_t kStep = 5 * CV_MS;
// Of a call that does not wait; with a slow store.
const cv_time_t kAnswer = 4 * CV_MS;
const cv_time_t kSlowAnswer = 300 * CV_MS;
// A configuration is to be in force within this time.
const cv_time_t kInForce = 2 * CV_SECOND;

struct Gateway
{
  cv_reader_t reader;
  bool runs = true;
  bool reaches_store = true;
  bool reaches_others = true;
  bool knows_others = true;
  cv_time_t answer_at = 0; // of the call in progress, 0: there is none
  cv_time_t next_call = 0; // after a failure
  uint64_t revision = 0;
  cv_time_t changed_at = 0; // revision was learnt
};

// The store changes at some times; each change is a revision.
class Fleet
{
public:
  Fleet (size_t count, double loss) : gateways (count), loss_ (loss)
  {
    cv_rng_init (&rng_, 1);
    for (size_t i = 0; i < count; i++)
      cv_reader_init (&gateways[i].reader,
                      static_cast<double> (i) / static_cast<double> (count),
                      kStart);
  }
  ~Fleet () { cv_rng_finish (&rng_); }

  void
  run (cv_time_t period)
  {
    for (cv_time_t end = now + period; now < end; now += kStep)
      for (Gateway &g : gateways)
        if (g.runs)
          tick (g);
  }

  void
  change ()
  {
    revision++;
    changed_at = now;
  }

  // The longest time since the last change until a gateway knew of it; of those
  // that run.  INT64_MAX: one does not know it.
  cv_time_t
  longest_delay () const
  {
    cv_time_t longest = 0;

    for (const Gateway &g : gateways)
      if (g.runs)
        longest = std::max (longest, g.revision == revision
                                         ? g.changed_at - changed_at
                                         : INT64_MAX);
    return longest;
  }

  size_t
  readers () const
  {
    return std::count_if (
        gateways.begin (), gateways.end (),
        [] (const Gateway &g) { return g.runs && g.reader.is_reader; });
  }

  std::vector<Gateway> gateways;
  cv_time_t now = kStart;
  cv_time_t answer_time = kAnswer;
  uint64_t revision = 1;
  cv_time_t changed_at = kStart;
  uint32_t calls = 0;

private:
  void
  learn (Gateway &g)
  {
    if (g.revision != revision)
      g.changed_at = now;
    g.revision = revision;
  }

  void
  tick (Gateway &g)
  {
    if (g.answer_at != 0)
      {
        // A call that waits is answered at a change.
        bool is_due = now >= g.answer_at
                      || (g.reaches_store && g.revision != revision
                          && now >= changed_at + answer_time);
        if (is_due)
          answer (g);
        return;
      }
    if (now < cv_reader_next_call (&g.reader) || now < g.next_call)
      return;
    calls++;
    g.answer_at = now + answer_time + cv_reader_wait_ms (&g.reader) * CV_MS;
  }

  void
  answer (Gateway &g)
  {
    uint64_t from = g.revision;

    g.answer_at = 0;
    if (!g.reaches_store)
      {
        cv_reader_failed (&g.reader);
        g.next_call = now + 400 * CV_MS;
        return;
      }
    learn (g);
    cv_reader_answered (&g.reader, g.knows_others, now);
    if (!g.reader.is_reader)
      return;
    for (Gateway &other : gateways)
      if (&other != &g && other.runs && other.reaches_others && g.reaches_others
          && cv_rng_uniform (&rng_) >= loss_)
        hear (other, g.reader.rank, from);
  }

  void
  hear (Gateway &g, double rank, uint64_t from)
  {
    if (from > g.revision)
      cv_reader_missed (&g.reader, now);
    else if (cv_reader_heard (&g.reader, rank, 0, now))
      learn (g);
  }

  double loss_;
  cv_rng_t rng_;
};

// Changes the store and returns the longest time until all know of it.
cv_time_t
delay_of_change (Fleet *fleet)
{
  fleet->change ();
  fleet->run (4 * CV_SECOND);
  return fleet->longest_delay ();
}

TEST (Reader, OneOfAFleetReadsAndAllKnow)
{
  for (size_t count : { 1, 4, 68, 300 })
    {
      Fleet fleet (count, 0);

      fleet.run (10 * CV_SECOND);
      EXPECT_EQ (1u, fleet.readers ()) << count;
      fleet.calls = 0;
      fleet.run (30 * CV_SECOND);
      EXPECT_LE (fleet.calls, 40u) << count << ": whatever the size";
      EXPECT_LE (delay_of_change (&fleet), 20 * CV_MS) << count;
    }
}

TEST (Reader, AllKnowInTimeWhenTheReaderEnds)
{
  Fleet fleet (68, 0);

  fleet.run (10 * CV_SECOND);
  for (int i = 0; i < 20; i++)
    {
      for (Gateway &g : fleet.gateways)
        if (g.reader.is_reader)
          g.runs = false;
      EXPECT_LT (delay_of_change (&fleet), kInForce) << i;
      EXPECT_EQ (1u, fleet.readers ());
    }
}

TEST (Reader, OneThatTheStoreTurnsAwayHearsTheOthers)
{
  Fleet fleet (60, 0);

  fleet.run (10 * CV_SECOND);
  for (size_t i = 0; i < fleet.gateways.size (); i += 3)
    fleet.gateways[i].reaches_store = false;
  EXPECT_LT (delay_of_change (&fleet), kInForce);
  fleet.calls = 0;
  fleet.run (9 * CV_SECOND);
  EXPECT_LE (fleet.calls, 14u) << "those of one reader";
  EXPECT_LE (delay_of_change (&fleet), 20 * CV_MS);
}

TEST (Reader, OneThatHearsNobodyReadsByItself)
{
  Fleet fleet (20, 0);

  fleet.run (10 * CV_SECOND);
  for (size_t i = 0; i < fleet.gateways.size (); i += 2)
    fleet.gateways[i].reaches_others = false;
  EXPECT_LT (delay_of_change (&fleet), kInForce);
  EXPECT_EQ (11u, fleet.readers ()) << "of them alone, and one of the others";
  for (Gateway &g : fleet.gateways)
    g.reaches_others = true;
  fleet.run (4 * CV_SECOND);
  EXPECT_EQ (1u, fleet.readers ());
}

TEST (Reader, LostDatagramsCostCallsNotTime)
{
  Fleet fleet (68, 0.33);

  fleet.run (10 * CV_SECOND);
  for (int i = 0; i < 20; i++)
    EXPECT_LT (delay_of_change (&fleet), kInForce) << i;
}

TEST (Reader, ASlowStoreMakesNoFurtherReaders)
{
  Fleet fleet (68, 0);

  fleet.run (10 * CV_SECOND);
  fleet.answer_time = kSlowAnswer;
  fleet.run (10 * CV_SECOND);
  EXPECT_EQ (1u, fleet.readers ());
  EXPECT_LE (delay_of_change (&fleet), kSlowAnswer + 20 * CV_MS);
}

// All start at once, and none knows the others for some seconds; instances
// register all the while.
TEST (Reader, AFleetThatStartsDoesNotReadEachChange)
{
  Fleet fleet (68, 0);

  for (Gateway &g : fleet.gateways)
    g.knows_others = false;
  for (int i = 0; i < 60; i++)
    {
      fleet.change ();
      fleet.run (50 * CV_MS);
    }
  EXPECT_LE (fleet.calls, 3 * 68u);
  fleet.run (kInForce);
  EXPECT_LT (fleet.longest_delay (), kInForce);
  for (Gateway &g : fleet.gateways)
    g.knows_others = true;
  fleet.run (4 * CV_SECOND);
  EXPECT_EQ (1u, fleet.readers ());
}

TEST (Reader, AsksAfterAStallAndHearsNothingOld)
{
  cv_reader_t r;

  cv_reader_init (&r, 0.5, kStart);
  EXPECT_GT (cv_reader_next_call (&r), kStart);
  cv_reader_stalled (&r, kStart + CV_SECOND);
  EXPECT_EQ (0, cv_reader_next_call (&r));
  EXPECT_FALSE (cv_reader_heard (&r, 0.1, 0, kStart + CV_SECOND + 1));
  EXPECT_EQ (0, cv_reader_next_call (&r));
  EXPECT_TRUE (cv_reader_heard (&r, 0.1, 0, kStart + 2 * CV_SECOND));
  EXPECT_GT (cv_reader_next_call (&r), kStart + 2 * CV_SECOND);
}

/* A page that reached the reader late was true that long ago.  */
TEST (Reader, AsksSoonerAfterALatePage)
{
  cv_reader_t prompt;
  cv_reader_t late;

  cv_reader_init (&prompt, 0.5, kStart);
  cv_reader_init (&late, 0.5, kStart);
  EXPECT_TRUE (cv_reader_heard (&prompt, 0.1, 0, kStart + CV_SECOND));
  EXPECT_TRUE (cv_reader_heard (&late, 0.1, 350 * CV_MS, kStart + CV_SECOND));
  EXPECT_EQ (cv_reader_next_call (&prompt),
             cv_reader_next_call (&late) + 350 * CV_MS);
}

TEST (Reader, DoesNotWaitWhenSomethingIsMissing)
{
  cv_reader_t r;

  cv_reader_init (&r, 0.5, kStart);
  cv_reader_missed (&r, kStart + CV_SECOND);
  EXPECT_EQ (0, cv_reader_next_call (&r));
  EXPECT_EQ (1u, cv_reader_wait_ms (&r));
  cv_reader_answered (&r, true, kStart + CV_SECOND + kAnswer);
  EXPECT_FALSE (r.is_reader) << "another one is heard";
}

}
