/* Parts of prompts in the table of suspects: which of them crashes name, and
   the trials of those that are quarantined.  */

#include <string>
#include <vector>

#include "policy/tests/suspects_fixture.h"
#include "wire/datagram.h"

namespace
{

TEST_F (Parts, TwoContentsQuarantineTheirCommonPart)
{
  crash ({ request (100, { 1, 2 }) });
  cv_suspects_clear (table, 1);
  crash ({ request (101, { 1, 2 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 5, 2 }));
  EXPECT_EQ (CV_CONTENT_CLEAR, state (102, { 1, 3 }));
}

TEST_F (Parts, TwoCrashesOfOneContentTellNothingOfItsParts)
{
  crash ({ request (100, { 1, 2 }) });
  crash ({ request (100, { 1, 2 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (100, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (101, { 1, 2 }));
  EXPECT_EQ (1u, cv_suspects_strikes (table, 1, kNow));
}

/* Part 1 was at crashes with part 2 only: nothing tells which is bad.  Requests
   with both are refused, and those with either one are tried.  */
TEST_F (Parts, APartThatNeverOccurredAloneIsTriedWithoutItsCompanion)
{
  crash ({ request (100, { 1, 2 }) });
  crash ({ request (101, { 1, 2 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (102, { 1, 3 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (102, { 2, 3 }));
  /* The one with part 1 completes: part 2 is bad, also without part 1.  */
  cv_suspects_clear (table, 1);
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (103, { 2, 3 }));
  EXPECT_EQ (CV_CONTENT_CLEAR, state (103, { 1, 3 }));
}

TEST_F (Parts, ACrashWithoutTheCompanionNamesThePart)
{
  crash ({ request (100, { 1, 2 }) });
  crash ({ request (101, { 1, 2 }) });
  crash ({ request (102, { 2, 3 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (103, { 2, 4 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (103, { 1, 4 }));
}

TEST_F (Parts, TwoBadPartsInDifferentRequestsAreBothQuarantined)
{
  crash ({ request (100, { 1, 2 }), request (200, { 1, 3 }) });
  cv_suspects_clear (table, 1);
  crash ({ request (101, { 1, 2 }) });
  crash ({ request (201, { 1, 3 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (202, { 1, 3 }));
  EXPECT_EQ (CV_CONTENT_CLEAR, state (300, { 1, 4 }));
}

/* Two gateways see the same crash, one with a bad and one with a sound request,
   and know of different numbers of strikes of the part that both share.  */
TEST_F (Parts, ReportsOfOneCrashThatKnewDifferentStrikesAreJoined)
{
  crash ({ request (100, { 1, 2 }) });
  cv_suspect_request_t early = request (101, { 1, 2 });
  crash ({ request (102, { 1, 2 }) });
  cv_suspect_request_t late = request (201, { 1, 3 });
  cv_suspects_strike (table, &early, 1, kNow, 77);
  cv_suspects_strike (table, &late, 1, kNow, 77);
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (300, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (301, { 1, 3 }));
}

/* Two gateways see a crash, one with a bad content and one with a sound request
   that shares a part with it.  The second sends the bad content before it hears
   of the first, and the shared part is quarantined alone, until it completes.
   The strikes that it explained count for the content then.  */
TEST_F (Parts, StrikesThatACompletedPartExplainedCountForTheContent)
{
  cv_suspects_t *first = cv_suspects_new ();
  cv_suspects_t *second = table;
  cv_suspect_request_t bad = request (100, { 1, 2 });
  cv_suspect_request_t sound = request (200, { 1, 3 });

  cv_suspects_strike (first, &bad, 1, kNow, 77);
  cv_suspects_strike (second, &sound, 1, kNow, 77);
  bad = request (100, { 1, 2 });
  ASSERT_TRUE (
      cv_suspects_merge (second, cv_slice (dump (first).c_str ()), nullptr));
  cv_suspects_strike (second, &bad, 1, kNow, 78);
  cv_suspects_clear (second, 1);
  cv_suspects_clear (second, 3);
  cv_suspects_clear (second, 200);
  for (uint64_t crash = 79; crash < 82; crash++)
    {
      bad = request (100, { 1, 2 });
      cv_suspects_strike (second, &bad, 1, kNow + (int64_t)crash - 76, crash);
    }
  EXPECT_EQ (CV_CONTENT_QUARANTINED, cv_suspects_state (second, 100, kNow + 6));
  cv_suspects_free (first);
}

/* The report of a crash arrives before the gateway of the bad content sees it:
   a part that both requests share is suspect already.  The content must get its
   strikes beside suspect parts.  */
TEST_F (Parts, AContentBesideItsSuspectPartIsStruck)
{
  cv_suspect_request_t sound = request (200, { 1, 3 });
  cv_suspect_request_t bad = request (100, { 1, 2 });

  cv_suspects_strike (table, &sound, 1, kNow, 77);
  cv_suspects_strike (table, &bad, 1, kNow, 77);
  for (uint64_t crash = 78; crash < 84; crash++)
    {
      bad = request (100, { 1, 2 });
      cv_suspects_strike (table, &bad, 1, kNow + (int64_t)crash - 77, crash);
      cv_suspects_clear (table, 1);
    }
  EXPECT_EQ (CV_CONTENT_QUARANTINED, cv_suspects_state (table, 100, kNow + 7));
}

/* Four crashes within three seconds: the part is tried as soon as after two.
   Each failed trial makes the next one later.  */
TEST_F (Parts, StrikesInAShortTimeDoNotDelayTheFirstTrial)
{
  for (uint64_t i = 0; i < 4; i++)
    {
      cv_suspect_request_t r = request (100 + i, { 1 });

      cv_suspects_strike (table, &r, 1, kNow + (int64_t)i, ++crashes);
    }
  cv_suspect_request_t r = request (200, { 1 });
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &r, kNow + 5));
  EXPECT_EQ (CV_CONTENT_SUSPECT,
             cv_suspects_request_state (table, &r, kNow + 6));
  cv_suspects_strike (table, &r, 1, kNow + 7, ++crashes);
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &r, kNow + 36));
  EXPECT_EQ (CV_CONTENT_SUSPECT,
             cv_suspects_request_state (table, &r, kNow + 37));
}

/* Part 1 has more strikes, and is refused beside part 9 only.  */
TEST_F (Parts, TheWorstPartIsTheOneThatRefusesTheRequest)
{
  for (uint64_t i = 0; i < 3; i++)
    crash ({ request (100 + i, { 1, 9 }) });
  for (uint64_t i = 0; i < 2; i++)
    crash ({ request (200 + i, { 2 }) });
  cv_suspect_request_t r = request (300, { 1, 2 });
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &r, kNow));
  EXPECT_EQ (2u, cv_suspects_worst (table, &r, kNow));
}

TEST_F (Parts, ADocumentKeepsTheCompanions)
{
  crash ({ request (100, { 1, 2 }) });
  crash ({ request (101, { 1, 2 }) });
  std::string text = dump (table);
  cv_suspects_free (table);
  table = cv_suspects_new ();
  ASSERT_TRUE (
      cv_suspects_merge (table, { text.data (), text.size () }, nullptr));
  EXPECT_EQ (text, dump (table));
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 1, 2 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (102, { 1, 3 }));
}

/* One of the bad requests was sent again when its target had crashed, and is at
   the strikes that count, but not at another crash of the same time.  */
TEST_F (Parts, AContentThatWasNotAtAllCrashesExplainsNone)
{
  cv_suspect_request_t first = request (104, { 9 });
  cv_suspect_request_t again = request (101, { 9 });
  cv_suspect_request_t beside = request (102, { 9 });

  crash ({ first });
  crash ({ again, beside });
  crash ({ request (101, { 9 }), request (103, { 9 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (200, { 9 }));
}

/* Trials of the part 9, which two crashes have quarantined at two gateways.  */
class Trials : public Parts
{
protected:
  Trials () : other (cv_suspects_new ())
  {
    crash ({ request (101, { 9 }) });
    crash ({ request (102, { 9 }) });
    tell ();
  }
  ~Trials () override { cv_suspects_free (other); }

  void
  tell ()
  {
    std::string text = dump (table);

    ASSERT_TRUE (
        cv_suspects_merge (other, { text.data (), text.size () }, nullptr));
  }

  bool
  is_due (const cv_suspects_t *t, int64_t wall_s)
  {
    cv_suspect_request_t r = request (200, { 9 });

    return cv_suspects_trial_is_due (t, &r, wall_s);
  }

  /* Claims a trial in the table, at WALL_S of its gateway's clock.  */
  cv_suspect_request_t
  claim (int64_t wall_s)
  {
    cv_suspect_request_t r = request (200, { 9 });

    EXPECT_TRUE (cv_suspects_claim_trial (table, &r, wall_s));
    return r;
  }

  cv_suspects_t *other;
};

TEST_F (Trials, AreDueAfterTheQuarantine)
{
  EXPECT_FALSE (is_due (table, kNow + 2));
  EXPECT_TRUE (is_due (table, kNow + 3));
}

TEST_F (Trials, AClaimKeepsOthersFromTrying)
{
  cv_suspect_request_t mine = claim (kNow + 4);
  cv_suspect_request_t another = request (201, { 9 });

  tell ();
  EXPECT_FALSE (is_due (other, kNow + 4));
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (other, &another, kNow + 33));
  EXPECT_TRUE (is_due (other, kNow + 34));
  EXPECT_EQ (CV_CONTENT_SUSPECT,
             cv_suspects_request_state (table, &mine, kNow + 4));
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &another, kNow + 4));
}

TEST_F (Trials, AClaimIsGrantedToARequestWithTheSamePart)
{
  cv_suspect_request_t mine = claim (kNow + 4);
  cv_suspect_request_t another = request (201, { 5, 9 });
  cv_suspect_request_t none = request (202, { 5 });

  EXPECT_FALSE (cv_suspect_request_grant (&none, &mine));
  EXPECT_TRUE (cv_suspect_request_grant (&another, &mine));
  EXPECT_EQ (CV_CONTENT_SUSPECT,
             cv_suspects_request_state (table, &another, kNow + 4));
  cv_suspect_request_revoke (&another);
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &another, kNow + 4));
}

TEST_F (Trials, ACrashEndsTheGrant)
{
  cv_suspect_request_t mine = claim (kNow + 4);

  cv_suspects_strike (table, &mine, 1, kNow + 5, ++crashes);
  EXPECT_EQ (CV_CONTENT_QUARANTINED,
             cv_suspects_request_state (table, &mine, kNow + 5));
}

/* More than three requests with a bad part may not reach targets.  */
TEST_F (Trials, EndAfterThree)
{
  int64_t now = kNow;

  for (int64_t lifetime : { 3, 30, 600 })
    {
      EXPECT_FALSE (is_due (table, now + lifetime - 1));
      now += lifetime;
      (void)claim (now);
    }
  EXPECT_FALSE (is_due (table, now + 365 * 86400));
}

TEST_F (Trials, ACompletionEndsTheClaim)
{
  (void)claim (kNow + 4);
  cv_suspects_clear (table, 9);
  tell ();
  EXPECT_EQ (0u, cv_suspects_strikes (other, 9, kNow + 4));
  crash ({ request (301, { 9 }) });
  cv_suspect_request_t r = request (302, { 9 });
  cv_suspects_strike (table, &r, 1, kNow + 6, ++crashes);
  EXPECT_TRUE (is_due (table, kNow + 9));
}

/* The clock of the gateway that claimed was ahead.  */
TEST_F (Trials, AClockThatIsBehindTriesLater)
{
  (void)claim (kNow + 1000);
  tell ();
  cv_suspect_request_t r = request (200, { 9 });
  EXPECT_FALSE (is_due (table, kNow + 20));
  EXPECT_TRUE (cv_suspects_claim_trial (table, &r, kNow + 1030));
  tell ();
  EXPECT_FALSE (is_due (other, kNow + 1030 + 599));
}

/* Each bad request has many parts that no other has: they told nothing of any
   of them.  */
TEST_F (Parts, TwoLongPromptsQuarantineTheirCommonPart)
{
  for (uint64_t i = 1; i <= 2; i++)
    {
      std::vector<uint64_t> parts = { 9 };

      for (uint64_t k = 0; k < 60; k++)
        parts.push_back (1000 * i + k);
      crash ({ request (100 + i, parts) });
    }
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (200, { 9, 7 }));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (200, { 1001, 7 }));
}

TEST_F (Parts, TwoLongPromptsQuarantineAllTheirCommonParts)
{
  std::vector<uint64_t> shared;

  for (uint64_t k = 1; k <= 30; k++)
    shared.push_back (k);
  crash ({ request (101, shared) });
  crash ({ request (102, shared) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (200, shared));
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (200, { 30 }));
}

/* One crash at which a part was in many requests kept it from being refused for
   ever.  */
TEST_F (Parts, ACrashOfManyRequestsWithAPartTellsNothingOfIt)
{
  std::vector<cv_suspect_request_t> many;

  for (uint64_t i = 0; i < 20; i++)
    many.push_back (request (100 + i, { 9 }));
  crash (many);
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (200, { 9 }));
  crash ({ request (201, { 9 }) });
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (200, { 9 }));
  crash ({ request (202, { 9 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (200, { 9 }));
}

TEST_F (Parts, APartInManyRequestsAtEachCrashIsNotRefused)
{
  for (uint64_t n = 0; n < 4; n++)
    {
      std::vector<cv_suspect_request_t> many;

      for (uint64_t i = 0; i < 20; i++)
        many.push_back (request (100 * (n + 1) + i, { 9 }));
      crash (many);
    }
  EXPECT_EQ (CV_CONTENT_SUSPECT, state (900, { 9 }));
}

/* A part with all strikes that are kept, each with all companions.  */
TEST_F (Parts, TheLongestEntryFitsInADatagram)
{
  cv_msg_t msg = {};
  cv_buf_t text;
  cv_buf_t frame;

  for (uint32_t level = 0; level < 8; level++)
    for (uint64_t i = 0; i < 6; i++)
      {
        std::vector<uint64_t> parts;

        for (uint64_t part = 0; part < 20; part++)
          parts.push_back (UINT64_MAX - 100 - part);
        cv_suspect_request_t r = request (UINT64_MAX - i, parts);
        r.parts[0].seen = level < 7 ? level : CV_SEEN_ALL;
        cv_suspects_strike (table, &r, 1, kNow + level,
                            UINT64_MAX - level * 10 - i);
      }
  cv_buf_init (&text);
  cv_buf_init (&frame);
  cv_suspects_dump (
      table,
      [] (const void *, const cv_suspects_t *, uint64_t hash) {
        return hash == UINT64_MAX - 100;
      },
      nullptr, &text);
  msg.type = CV_MSG_DOC;
  msg.u.doc.doc = CV_DOC_SUSPECTS;
  msg.u.doc.body = cv_slice (cv_buf_text (&text));
  cv_msg_encode (&msg, &frame);
  EXPECT_LE (frame.n, (size_t)CV_DATAGRAM_MAX_BYTES);
  RecordProperty ("bytes", (int)frame.n);
  cv_buf_finish (&text);
  cv_buf_finish (&frame);
}

/* Two gateways, each with its own table, and the bad part 9.  Sound requests
   have the parts 1 and 2, bad ones 1 and 9.  */
class PartsAtTwoGateways : public Parts
{
protected:
  PartsAtTwoGateways () : other (cv_suspects_new ()) {}
  ~PartsAtTwoGateways () override { cv_suspects_free (other); }

  cv_suspect_request_t
  request_at (const cv_suspects_t *t, uint64_t content,
              const std::vector<uint64_t> &parts)
  {
    std::vector<cv_suspect_hash_t> hashes;

    for (uint64_t part : parts)
      hashes.push_back ({ part, cv_suspects_strikes (t, part, kNow), 0 });
    return made.make ({ content, cv_suspects_strikes (t, content, kNow), 0 },
                      hashes);
  }

  void
  merge (cv_suspects_t *to, const cv_suspects_t *from)
  {
    std::string text = dump (from);

    ASSERT_TRUE (
        cv_suspects_merge (to, { text.data (), text.size () }, nullptr));
  }

  /* Each gateway had one request at the target, and tells the other.  */
  void
  crash_at_both (const cv_suspect_request_t &here,
                 const cv_suspect_request_t &there, uint64_t id,
                 int64_t there_s = kNow)
  {
    cv_suspects_strike (table, &here, 1, kNow, id);
    cv_suspects_strike (other, &there, 1, there_s, id);
    merge (table, other);
    merge (other, table);
  }

  cv_content_state_t
  sound_state (const cv_suspects_t *t)
  {
    cv_suspect_request_t r = request_at (t, 900, { 1, 2 });

    return cv_suspects_request_state (t, &r, kNow);
  }

  cv_suspects_t *other;
};

/* Before anything has completed, a bad request crashes two engines, and another
   one a third, all in one second.  The identities of the crashes have no order,
   and at the second one the gateways know different numbers of strikes.  */
TEST_F (PartsAtTwoGateways, CrashesAtStartDoNotQuarantineWhatSoundRequestsHave)
{
  std::vector<uint64_t> ids = { 10, 20, 30 };

  do
    {
      cv_suspect_request_t early = request_at (other, 201, { 1, 2 });

      crash_at_both (request_at (table, 100, { 1, 9 }),
                     request_at (other, 200, { 1, 2 }), ids[0]);
      crash_at_both (request_at (table, 100, { 1, 9 }), early, ids[1]);
      crash_at_both (request_at (table, 202, { 1, 2 }),
                     request_at (other, 101, { 1, 9 }), ids[2]);
      EXPECT_NE (CV_CONTENT_QUARANTINED, sound_state (table));
      EXPECT_NE (CV_CONTENT_QUARANTINED, sound_state (other));
      cv_suspects_free (table);
      cv_suspects_free (other);
      table = cv_suspects_new ();
      other = cv_suspects_new ();
    }
  while (std::next_permutation (ids.begin (), ids.end ()));
}

/* As above, and the second gateway hears nothing of the first one before the
   last crash, so that part 9 is no suspect there at the third one; or neither
   hears of the other.  */
TEST_F (PartsAtTwoGateways, APartThatOneGatewayDoesNotSuspectYetExplainsACrash)
{
  for (bool hears : { false, true })
    {
      cv_suspect_request_t early = request_at (other, 201, { 1, 2 });
      auto crash_at
          = [&] (cv_suspects_t *t, const cv_suspect_request_t &r, uint64_t id) {
              cv_suspects_strike (t, &r, 1, kNow, id);
              if (hears)
                merge (table, other);
            };

      crash_at (table, request_at (table, 100, { 1, 9 }), 10);
      crash_at (other, request_at (other, 200, { 1, 2 }), 10);
      crash_at (table, request_at (table, 100, { 1, 9 }), 20);
      crash_at (other, early, 20);
      crash_at (table, request_at (table, 202, { 1, 2 }), 30);
      crash_at (other, request_at (other, 101, { 1, 9 }), 30);
      crash_at (other, request_at (other, 102, { 1, 9 }), 40);
      merge (table, other);
      merge (other, table);
      for (const cv_suspects_t *t : { table, other })
        EXPECT_NE (CV_CONTENT_QUARANTINED, sound_state (t));
      cv_suspects_free (table);
      cv_suspects_free (other);
      table = cv_suspects_new ();
      other = cv_suspects_new ();
    }
}

/* The second gateway tells of a crash before the first one reports it.  Part 1
   is suspect then at each crash, and part 9 in the same requests unknown.  */
TEST_F (PartsAtTwoGateways, WhatIsBesideASuspectIsSuspectToo)
{
  for (uint64_t i = 0; i < 3; i++)
    {
      cv_suspect_request_t bad = request_at (table, 100 + i, { 1, 9 });
      cv_suspect_request_t sound = request_at (other, 200 + i, { 1, 2 + i });

      cv_suspects_strike (other, &sound, 1, kNow, 10 + i);
      merge (table, other);
      cv_suspects_strike (table, &bad, 1, kNow, 10 + i);
      merge (other, table);
    }
  for (const cv_suspects_t *t : { table, other })
    {
      cv_suspect_request_t bad = request_at (t, 109, { 1, 9 });

      EXPECT_EQ (CV_CONTENT_QUARANTINED,
                 cv_suspects_request_state (t, &bad, kNow));
      EXPECT_NE (CV_CONTENT_QUARANTINED, sound_state (t));
    }
}

/* The second gateway reports the first crash in the next second.  */
TEST_F (PartsAtTwoGateways, ReportsOfOneCrashInDifferentSecondsAreJoined)
{
  crash_at_both (request_at (table, 100, { 1, 9 }),
                 request_at (other, 200, { 1, 2 }), 10, kNow + 1);
  crash ({ request (101, { 1, 9 }) });
  EXPECT_EQ (CV_CONTENT_QUARANTINED, state (102, { 1, 9 }));
  EXPECT_NE (CV_CONTENT_QUARANTINED, sound_state (table));
}

}
