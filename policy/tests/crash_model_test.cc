/* A model of several gateways that share the evidence on crashes: each has its
   own table, tells the others with a delay, and loses messages.  Bad contents,
   or requests with a bad part, crash each target that runs them; targets also
   end by themselves; popular sound content is at most targets all the time.
   What must hold for each seed: what is bad reaches a bounded number of
   targets, and sound requests are served at the end.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "policy/policy.h"
#include "policy/recent.h"
#include "policy/tests/suspect_requests.h"

namespace
{

const int64_t kWall = 1000000;
const int kGateways = 5;
const int kTargets = 12;
const cv_time_t kStep = 5 * CV_MS;
const cv_time_t kRunTime = 60 * CV_MS;
/* Until a crash is known at its own gateway, and a message at another one.  */
const cv_time_t kDelay = 5 * CV_MS;
const cv_time_t kRestartTime = 1200 * CV_MS;
/* Contents below this are bad.  */
const uint64_t kBad = 3;
const uint64_t kPopular = 10;
/* Parts; the bad one crashes targets whatever else a request has.  */
const uint64_t kBadPart = 500;
const uint64_t kFirstParts = 510;
const uint64_t kSecondParts = 520;

struct Attempt
{
  int gateway;
  cv_suspect_request_t request;
  bool is_bad;
  cv_time_t ends_at;
};

struct Target
{
  std::list<Attempt> running;
  cv_time_t up_at = 0;
};

struct Gateway
{
  cv_suspects_t *table = cv_suspects_new ();
  cv_recent_t completed;
};

struct Message
{
  cv_time_t at;
  int to;
  std::string text;
};

class CrashModel : public testing::TestWithParam<unsigned>
{
protected:
  CrashModel () : random (GetParam ()), gateways (kGateways), targets (kTargets)
  {
    for (Gateway &g : gateways)
      cv_recent_init (&g.completed);
  }
  ~CrashModel () override
  {
    for (Gateway &g : gateways)
      {
        cv_suspects_free (g.table);
        cv_recent_finish (&g.completed);
      }
  }

  bool
  chance (double p)
  {
    return std::uniform_real_distribution<> (0, 1) (random) < p;
  }

  int64_t
  wall () const
  {
    return kWall + now / CV_SECOND;
  }

  cv_content_state_t
  state (int g, const cv_suspect_request_t &r) const
  {
    return cv_suspects_request_state (gateways[(size_t)g].table, &r, wall ());
  }

  cv_suspect_request_t
  make (uint64_t content, const std::vector<uint64_t> &parts = {})
  {
    std::vector<cv_suspect_hash_t> hashes;

    for (uint64_t part : parts)
      hashes.push_back ({ part, 0, 0 });
    return requests.make ({ content, 0, 0 }, hashes);
  }

  void
  note_strikes (int g, cv_suspect_request_t &r) const
  {
    const cv_suspects_t *table = gateways[(size_t)g].table;

    r.content.seen = cv_suspects_strikes (table, r.content.hash, wall ());
    for (uint32_t i = 0; i < r.part_count; i++)
      r.parts[i].seen = cv_suspects_strikes (table, r.parts[i].hash, wall ());
  }

  /* Tells the other gateways; one message in ten is lost, and each is sent
     three times.  */
  void
  tell (int from)
  {
    cv_buf_t text;

    cv_buf_init (&text);
    cv_suspects_dump (gateways[(size_t)from].table, nullptr, nullptr, &text);
    for (int to = 0; to < kGateways; to++)
      for (int i = 0; i < 3; i++)
        if (to != from && !chance (0.1))
          messages.push_back (
              { now + kDelay + i * 250 * CV_MS, to, cv_buf_text (&text) });
    cv_buf_finish (&text);
  }

  void
  clear (int g, uint64_t content)
  {
    if (cv_suspects_strikes (gateways[(size_t)g].table, content, wall ()) == 0)
      return;
    cv_suspects_clear (gateways[(size_t)g].table, content);
    tell (g);
  }

  void
  deliver ()
  {
    for (auto m = messages.begin (); m != messages.end ();)
      {
        if (m->at > now)
          {
            m++;
            continue;
          }
        Gateway &g = gateways[(size_t)m->to];

        ASSERT_TRUE (cv_suspects_merge (
            g.table, { m->text.data (), m->text.size () }, nullptr));
        for (size_t i = 0; i < cv_suspects_count (g.table); i++)
          {
            uint64_t hash = cv_suspects_hash (g.table, i);

            if (cv_recent_has (&g.completed, hash, now))
              clear (m->to, hash);
          }
        m = messages.erase (m);
      }
  }

  void
  crash (Target &t)
  {
    uint64_t crash_id = ++crashes;
    std::map<int, std::vector<cv_suspect_request_t>> lost;

    for (const Attempt &a : t.running)
      {
        const cv_recent_t *completed = &gateways[(size_t)a.gateway].completed;
        std::vector<cv_suspect_hash_t> parts;

        if (cv_recent_has (completed, a.request.content.hash, now))
          continue;
        for (uint32_t i = 0; i < a.request.part_count; i++)
          if (!cv_recent_has (completed, a.request.parts[i].hash, now))
            parts.push_back (a.request.parts[i]);
        lost[a.gateway].push_back (requests.make (a.request.content, parts));
      }
    t.running.clear ();
    t.up_at = now + kRestartTime;
    for (auto &[g, contents] : lost)
      {
        cv_suspects_strike (gateways[(size_t)g].table, contents.data (),
                            contents.size (), wall (), crash_id);
        tell (g);
      }
  }

  /* Sends R through a gateway as the gateway decides; true if it was sent.  */
  bool
  send (cv_suspect_request_t r, bool is_bad)
  {
    int g = (int)(random () % kGateways);
    bool is_suspect = state (g, r) == CV_CONTENT_SUSPECT;

    if (state (g, r) == CV_CONTENT_QUARANTINED)
      return false;
    for (const Target &t : targets)
      for (const Attempt &a : t.running)
        if (is_suspect && a.gateway == g
            && a.request.content.hash == r.content.hash)
          return false;
    for (int i = 0; i < 20; i++)
      {
        Target &t = targets[random () % kTargets];
        bool is_beside = false;

        for (const Attempt &a : t.running)
          is_beside
              |= a.gateway == g && state (g, a.request) == CV_CONTENT_SUSPECT;
        if (t.up_at > now || (is_suspect && is_beside))
          continue;
        r = requests.copy (r);
        note_strikes (g, r);
        t.running.push_back ({ g, r, is_bad, now + kRunTime });
        arrivals[r.content.hash]++;
        if (is_bad)
          bad_arrivals.push_back (now);
        return true;
      }
    return false;
  }

  void
  complete (const Attempt &a)
  {
    cv_recent_t *completed = &gateways[(size_t)a.gateway].completed;

    cv_recent_add (completed, a.request.content.hash, now);
    clear (a.gateway, a.request.content.hash);
    for (uint32_t i = 0; i < a.request.part_count; i++)
      {
        cv_recent_add (completed, a.request.parts[i].hash, now);
        clear (a.gateway, a.request.parts[i].hash);
      }
  }

  void
  run_targets (bool is_stuck)
  {
    for (Target &t : targets)
      {
        bool is_bad = false;

        for (const Attempt &a : t.running)
          is_bad |= a.is_bad && a.ends_at <= now;
        if (is_bad)
          {
            bad_crashes.push_back (now);
            crash (t);
            continue;
          }
        for (auto a = t.running.begin (); a != t.running.end ();)
          if (is_stuck || a->ends_at > now)
            a++;
          else
            {
              complete (*a);
              a = t.running.erase (a);
            }
      }
  }

  std::mt19937 random;
  std::vector<Gateway> gateways;
  std::vector<Target> targets;
  std::list<Message> messages;
  std::map<uint64_t, int> arrivals;
  SuspectRequests requests;
  uint64_t crashes = 0;
  std::vector<cv_time_t> bad_arrivals;
  std::vector<cv_time_t> bad_crashes;
  cv_time_t now = 0;
};

TEST_P (CrashModel, BadContentIsBoundedAndSoundContentServed)
{
  uint64_t unique = 1000;
  int sent = 0;
  int popular_sent = 0;

  for (; now < 20 * CV_SECOND; now += kStep)
    {
      /* For a second nothing completes, while three targets end.  */
      bool is_stuck = now >= 8 * CV_SECOND && now < 9 * CV_SECOND;
      bool is_end = now >= 18 * CV_SECOND;

      deliver ();
      run_targets (is_stuck);
      if (chance (is_stuck ? 0.015 : 0.002))
        crash (targets[random () % kTargets]);
      for (uint64_t bad = 0; bad < kBad; bad++)
        if (now >= 2 * CV_SECOND && chance (0.015))
          (void)send (make (bad), true);
      if (chance (0.4))
        popular_sent += send (make (kPopular), false) && is_end;
      sent += send (make (unique++), false) && is_end;
    }
  for (uint64_t bad = 0; bad < kBad; bad++)
    {
      /* Two crashes, and the copies that were sent before either was known.  */
      EXPECT_LE (arrivals[bad], 5) << "bad content " << bad;
      for (int g = 0; g < kGateways; g++)
        EXPECT_EQ (CV_CONTENT_QUARANTINED, state (g, make (bad)));
    }
  for (int g = 0; g < kGateways; g++)
    EXPECT_NE (CV_CONTENT_QUARANTINED, state (g, make (kPopular)));
  EXPECT_GT (popular_sent, 100);
  EXPECT_GT (sent, 380);
}

/* Sound requests have one of three first parts, which all bad ones share, and
   one of 20 second parts.  */
TEST_P (CrashModel, ABadPartIsBoundedAndSoundPartsServed)
{
  uint64_t unique = 1000;
  int offered = 0;
  int sent = 0;

  for (; now < 20 * CV_SECOND; now += kStep)
    {
      bool is_end = now >= 14 * CV_SECOND;

      deliver ();
      run_targets (false);
      if (chance (0.002))
        crash (targets[random () % kTargets]);
      if (now >= 2 * CV_SECOND && chance (0.015))
        (void)send (make (unique++, { kFirstParts, kBadPart }), true);
      for (int i = 0; i < 2; i++)
        {
          bool was_sent
              = send (make (unique++, { kFirstParts + random () % 3,
                                        kSecondParts + random () % 20 }),
                      false);

          offered += is_end;
          sent += was_sent && is_end;
        }
    }
  /* At most three arrive later than 3 s after the fifth crash.  */
  if (bad_crashes.size () >= 5)
    {
      cv_time_t bound = bad_crashes[4] + 3 * CV_SECOND;

      EXPECT_LE (std::count_if (bad_arrivals.begin (), bad_arrivals.end (),
                                [bound] (cv_time_t at) { return at > bound; }),
                 3);
    }
  RecordProperty ("bad_crashes", (int)bad_crashes.size ());
  EXPECT_GT (sent, offered * 95 / 100);
}

INSTANTIATE_TEST_SUITE_P (Seeds, CrashModel, testing::Range (1u, 41u));

}
