/* Replays of the load patterns that the decisions on engines answer.  */

#include <gtest/gtest.h>

#include <vector>

#include "policy/evacuation.h"
#include "policy/health.h"
#include "policy/output.h"
#include "policy/placement.h"
#include "policy/policy.h"
#include "policy/refusal.h"
#include "policy/room.h"
#include "policy/turns.h"
#include "policy/urgency.h"

namespace
{

cv_candidate_t
engine (uint64_t used, uint64_t backlog = 0, bool near = true)
{
  cv_candidate_t c = {};

  c.usable = true;
  c.same_domain = near;
  c.memory_total = 20000;
  c.memory_used = used;
  c.prompt_backlog = backlog;
  return c;
}

TEST (Placement, FullEnginesGetNothing)
{
  std::vector<cv_candidate_t> c = { engine (18000), engine (17500) };
  cv_placement_work_t work = { 3000, false, 1 };

  EXPECT_EQ (CV_PLACEMENT_NONE, cv_placement_pick (c.data (), 2, &work, 0.5));
  c[1].memory_used = 10000;
  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.5));
  c[1].usable = false;
  EXPECT_EQ (CV_PLACEMENT_NONE, cv_placement_pick (c.data (), 2, &work, 0.5));
}

TEST (Placement, PromptsThatWaitCountMoreThanMemory)
{
  std::vector<cv_candidate_t> c = { engine (4000, 9000), engine (9000) };
  cv_placement_work_t work = { 3000, false, 1 };

  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.1));
}

TEST (Placement, AMoveStaysInItsFailureDomain)
{
  std::vector<cv_candidate_t> c
      = { engine (5000, 0, false), engine (14000, 0, true) };
  cv_placement_work_t work = { 3000, true, 1 };

  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.5));
  work.is_move = false;
  EXPECT_EQ (0u, cv_placement_pick (c.data (), 2, &work, 0.5));
}

TEST (Placement, EqualEnginesAreNotAllChosenAlike)
{
  std::vector<cv_candidate_t> c (8, engine (5000));
  cv_placement_work_t work = { 3000, false, 1 };
  std::vector<int> chosen (8);

  for (int i = 0; i < 100; i++)
    chosen[cv_placement_pick (c.data (), 8, &work, i / 100.0)]++;
  for (int n : chosen)
    EXPECT_LT (n, 50);
}

TEST (Placement, APlainServiceIsFilledToItsSlots)
{
  cv_candidate_t c = {};
  cv_placement_work_t work = {};

  c.usable = true;
  c.slots = 6;
  c.in_flight = 5;
  EXPECT_EQ (0u, cv_placement_pick (&c, 1, &work, 0.5));
  c.in_flight = 6;
  EXPECT_EQ (CV_PLACEMENT_NONE, cv_placement_pick (&c, 1, &work, 0.5));
}

cv_room_need_t
need (uint64_t run, uint32_t prompt, uint32_t expected, uint32_t limit = 4000)
{
  return { run, CV_ROOM_NEW, prompt, 0, { expected, limit } };
}

cv_room_need_t
moving (uint64_t run, cv_room_purpose_t purpose, uint32_t prompt,
        uint32_t produced)
{
  return { run, purpose, prompt, produced, { 400, 2000 } };
}

/* An engine of TOTAL tokens that reports RUNS, and PENDING requests without an
   event.  */
void
report (cv_room_t *room, cv_time_t now, std::vector<cv_room_run_t> runs,
        uint32_t pending, uint64_t total, uint64_t copies = 0)
{
  cv_room_report_t r = {};

  r.runs = runs.data ();
  r.run_count = static_cast<uint32_t> (runs.size ());
  r.pending = pending;
  r.used = copies;
  for (const auto &run : runs)
    r.used += run.tokens;
  r.copies = copies;
  r.total = total;
  cv_room_report (room, now, &r);
}

bool
ask (cv_room_t *room, cv_time_t now, cv_room_need_t n)
{
  return cv_room_ask (room, now, &n);
}

/* Ten gateways ask at the same moment for the memory that one run has left. */
TEST (Room, IsGrantedOnce)
{
  cv_room_t room;
  int granted = 0;

  cv_room_init (&room);
  report (&room, 0, { { 99, 15000 } }, 0, 20000);
  for (uint64_t i = 1; i <= 10; i++)
    granted += ask (&room, 0, need (i, 3000, 500));
  EXPECT_EQ (1, granted);
  EXPECT_TRUE (ask (&room, 0, need (1, 3000, 500))) << "asked again";
}

/* Long outputs are under way: they grow beyond the memory that is free now. */
TEST (Room, CountsWhatRunsWillGrowTo)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 20000);
  EXPECT_TRUE (ask (&room, 0, need (1, 3000, 6000, 8000)));
  EXPECT_TRUE (ask (&room, 0, need (2, 1000, 6000, 8000)));
  report (&room, CV_SECOND, { { 1, 7000 }, { 2, 5000 } }, 0, 20000);
  EXPECT_FALSE (ask (&room, CV_SECOND, need (3, 6000, 6000, 8000)));
  EXPECT_TRUE (ask (&room, CV_SECOND, need (4, 1000, 100, 200)));
}

/* Five runs of 3,500 tokens that grow by some 500 more: their ends would need
   all of the memory, but they do not end together.  A sixth fits. */
TEST (Room, DoesNotKeepWhatAllRunsNeedAtTheirEnds)
{
  cv_room_t room;
  std::vector<cv_room_run_t> runs;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 21877);
  for (uint64_t i = 1; i <= 5; i++)
    {
      EXPECT_TRUE (ask (&room, 0, need (i, 3000, 800, 1780)));
      runs.push_back ({ i, 3400 });
      report (&room, i, runs, 0, 21877);
    }
  EXPECT_TRUE (ask (&room, CV_SECOND, need (6, 3000, 800, 1780)));
  runs.push_back ({ 6, 3500 });
  report (&room, CV_SECOND, runs, 0, 21877);
  EXPECT_FALSE (ask (&room, CV_SECOND, need (7, 3000, 800, 1780)));
}

TEST (Room, AShortOutputUsesTheMemoryKeptForGrowth)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 20000);
  EXPECT_TRUE (ask (&room, 0, need (1, 9000, 9000, 11000)));
  report (&room, CV_SECOND, { { 1, 14000 } }, 0, 20000);
  EXPECT_FALSE (ask (&room, CV_SECOND, need (2, 3000, 6000, 9000)));
  EXPECT_TRUE (ask (&room, CV_SECOND, need (3, 3000, 7, 28)));
}

TEST (Room, BoundsThePromptsThatWaitToBeRead)
{
  cv_room_t room;
  int granted = 0;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 100000);
  for (uint64_t i = 1; i <= 10; i++)
    granted += ask (&room, 0, need (i, 3000, 500));
  EXPECT_EQ (2, granted) << "whose prompts come to more than 4000";
}

TEST (Room, ComesFreeWhenARunEndsOrIsReleased)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 10000);
  EXPECT_TRUE (ask (&room, 0, need (1, 6000, 1000)));
  cv_room_release (&room, 1);
  report (&room, 0, {}, 0, 10000);
  EXPECT_TRUE (ask (&room, 0, need (2, 6000, 1000)));
  report (&room, CV_SECOND, { { 2, 6000 } }, 0, 10000);
  report (&room, 2 * CV_SECOND, {}, 0, 10000);
  EXPECT_EQ (0u, room.peak);
}

/* A large prompt is not passed over for ever by small ones. */
TEST (Room, ThePromptThatComesCountsNotAgainstItself)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 100000);
  EXPECT_TRUE (ask (&room, 0, need (1, 1000, 500)));
  EXPECT_TRUE (ask (&room, 0, need (2, 8000, 1000)));
  EXPECT_FALSE (ask (&room, 0, need (3, 1000, 500)));
}

/* Datagrams that give room back are lost, under load above all: the engine
   shows that nothing comes.  */
TEST (Room, ALostGrantIsForgottenWhenTheEngineHasNoSuchRequest)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 10000);
  EXPECT_TRUE (ask (&room, 0, need (1, 4000, 500)));
  EXPECT_TRUE (ask (&room, 100 * CV_MS, need (2, 3000, 500)));
  report (&room, 150 * CV_MS, {}, 0, 10000);
  EXPECT_EQ (7000u, room.sum.unread) << "both may still be on their way";
  report (&room, 400 * CV_MS, {}, 1, 10000);
  EXPECT_EQ (3000u, room.sum.unread) << "one of them is there";
  report (&room, 450 * CV_MS, {}, 0, 10000);
  EXPECT_EQ (0u, room.sum.unread);
}

TEST (Room, AMovingRunIsCountedOnceAndReadsNothing)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, {}, 0, 10000);
  EXPECT_TRUE (ask (&room, 0, moving (1, CV_ROOM_RESCUE, 3000, 200)));
  report (&room, 50 * CV_MS, {}, 0, 10000, 3200);
  EXPECT_EQ (0u, room.sum.unread);
  EXPECT_EQ (3200u, room.sum.held) << "its copy is already there";
  report (&room, 5 * CV_SECOND, {}, 0, 10000);
  EXPECT_EQ (0u, room.sum.held) << "it never came";
}

/* Eight engines end at once, and all of their runs look for a new one.  */
TEST (Room, TakesOneMovingRunAtATime)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, { { 9, 3000 } }, 0, 20000);
  EXPECT_TRUE (ask (&room, 0, moving (1, CV_ROOM_RESCUE, 3000, 200)));
  EXPECT_FALSE (ask (&room, 0, moving (2, CV_ROOM_RESCUE, 3000, 200)));
  report (&room, 100 * CV_MS, { { 9, 3000 }, { 1, 3200 } }, 0, 20000);
  EXPECT_TRUE (ask (&room, 100 * CV_MS, moving (2, CV_ROOM_RESCUE, 3000, 200)));
}

/* Full engines have nothing to read while new ones are empty.  */
TEST (Room, ABalancingRunNeedsMuchMoreRoomThanARescuedOne)
{
  cv_room_t room;

  cv_room_init (&room);
  report (&room, 0, { { 9, 12500 } }, 0, 20000);
  EXPECT_FALSE (ask (&room, 0, moving (1, CV_ROOM_BALANCE, 3000, 200)));
  EXPECT_TRUE (ask (&room, 0, moving (1, CV_ROOM_RESCUE, 3000, 200)));
}

/* Callers that were refused come back while engines are nearly full.  */
TEST (Room, ALateRequestLeavesRoomForOneInTime)
{
  cv_room_t room;
  cv_room_need_t late = need (1, 3000, 100);

  cv_room_init (&room);
  report (&room, 0, { { 9, 14500 } }, 0, 20000);
  late.purpose = CV_ROOM_LATE;
  EXPECT_FALSE (ask (&room, 0, late));
  EXPECT_TRUE (ask (&room, 0, need (2, 3000, 100)));
}

TEST (Urgency, WhoLacksTimeHasComeBefore)
{
  cv_patience_t p = {};

  EXPECT_FALSE (cv_patience_note (&p, 36000));
  EXPECT_FALSE (cv_patience_note (&p, 39000));
  EXPECT_FALSE (cv_patience_note (&p, 33200)) << "less patient by a sixth";
  EXPECT_TRUE (cv_patience_note (&p, 28000)) << "came back after 8 s";
}

TEST (Urgency, ASinglePatientCallerIsForgotten)
{
  cv_patience_t p = {};
  int late = 0;

  (void)cv_patience_note (&p, 60000);
  for (int i = 0; i < 1000; i++)
    late += cv_patience_note (&p, 39000);
  EXPECT_LT (late, 600);
  EXPECT_FALSE (cv_patience_note (&p, 39000));
}

TEST (Urgency, InTimeBeforeLateThenByPriority)
{
  cv_urgency_t tag = { false, 0 };
  cv_urgency_t report = { false, 1 };
  cv_urgency_t late_tag = { true, 0 };

  EXPECT_TRUE (cv_urgency_overtakes (&tag, &report));
  EXPECT_TRUE (cv_urgency_overtakes (&report, &late_tag));
  EXPECT_FALSE (cv_urgency_overtakes (&late_tag, &report));
  EXPECT_FALSE (cv_urgency_overtakes (&report, &report)) << "first come";
}

TEST (Room, TellsHowShortMemoryIs)
{
  cv_room_t room;
  std::vector<cv_room_run_t> runs;

  cv_room_init (&room);
  EXPECT_EQ (CV_STRAIN_NONE, room.strain);
  for (uint64_t i = 1; i <= 6; i++)
    runs.push_back ({ i, 3000 });
  report (&room, 0, runs, 0, 30000);
  EXPECT_EQ (CV_STRAIN_NONE, room.strain);
  report (&room, 0, runs, 0, 20000);
  EXPECT_EQ (CV_STRAIN_FULL, room.strain) << "a seventh would not fit";
  report (&room, 0, runs, 0, 18000);
  EXPECT_EQ (CV_STRAIN_CROWDED, room.strain) << "the six do not either";
}

/* Hints are off by a factor of three either way.  */
TEST (Output, HintAndLimitAreBothBelievedHalf)
{
  EXPECT_EQ (400u, cv_output_expect (400, 1600).median);
  EXPECT_EQ (200u, cv_output_expect (100, 1600).median);
  EXPECT_EQ (1600u, cv_output_expect (20000, 1600).median);
  EXPECT_EQ (400u, cv_output_expect (0, 1600).median);
  EXPECT_EQ (1u, cv_output_expect (1, 1).median);
}

TEST (Output, LongerIsLessLikelyAndNothingPassesTheLimit)
{
  cv_output_t o = cv_output_expect (400, 1600);
  const uint32_t ahead[] = { 1, 100, 400, 1000, 1600 };
  double fresh[5];
  double old[5];

  cv_output_survivals (&o, 0, ahead, 5, fresh);
  for (int i = 1; i < 5; i++)
    EXPECT_LT (fresh[i], fresh[i - 1]);
  EXPECT_NEAR (0.5, fresh[2], 0.02);
  EXPECT_EQ (0, fresh[4]);
  cv_output_survivals (&o, 1200, ahead, 5, old);
  EXPECT_GT (old[1], 0.5) << "who is long already goes on for a while";
  EXPECT_EQ (0, old[2]);
}

/* Engines stay full: the more are refused, the later the others return. */
TEST (Refusal, WaitsGrowWithThePressureAndSpread)
{
  cv_refusal_t calm = { 0 };
  cv_refusal_t full = { 0 };

  for (int i = 0; i < 300; i++)
    cv_refusal_note (&full, i % 3 == 0);
  EXPECT_EQ (700u, cv_refusal_retry_after (&calm, 700, 39000, 0));
  EXPECT_GT (cv_refusal_retry_after (&full, 700, 39000, 0), 6000u);
  EXPECT_LT (cv_refusal_retry_after (&full, 700, 39000, 0.99), 13000u);
  EXPECT_LT (cv_refusal_retry_after (&full, 700, 6000, 0.5), 2000u);
}

/* Four gateways have runs on an engine that ends in a second and a half. */
TEST (Turns, OneAtATimeAndTheSmallestFirst)
{
  cv_turns_t turns;
  cv_time_t now = 0;

  cv_turns_init (&turns);
  uint32_t large = cv_turns_ask (&turns, now, 11, 6000);
  uint32_t first = cv_turns_next (&turns, now);
  EXPECT_EQ (large, first);
  uint32_t mid = cv_turns_ask (&turns, now, 12, 4000);
  uint32_t small = cv_turns_ask (&turns, now, 13, 2000);
  EXPECT_EQ (large, cv_turns_next (&turns, now + 100 * CV_MS));
  cv_turns_over (&turns, 11);
  EXPECT_EQ (small, cv_turns_next (&turns, now + 100 * CV_MS));
  cv_turns_over (&turns, 13);
  EXPECT_EQ (mid, cv_turns_next (&turns, now + 100 * CV_MS));
}

TEST (Turns, AHolderThatFallsSilentLosesItsTurn)
{
  cv_turns_t turns;

  cv_turns_init (&turns);
  (void)cv_turns_ask (&turns, 0, 11, 6000);
  (void)cv_turns_next (&turns, 0);
  uint32_t second = cv_turns_ask (&turns, 2 * CV_SECOND, 12, 4000);
  EXPECT_EQ (second, cv_turns_next (&turns, 2 * CV_SECOND));
}

TEST (Turns, WhoNoLongerAsksIsPassedOver)
{
  cv_turns_t turns;

  cv_turns_init (&turns);
  (void)cv_turns_ask (&turns, 0, 11, 1000);
  uint32_t other = cv_turns_ask (&turns, CV_SECOND, 12, 4000);
  EXPECT_EQ (other, cv_turns_next (&turns, CV_SECOND));
}

TEST (Evacuation, RunsThatEndInTimeStay)
{
  cv_evacuee_t runs[] = { { 3000, 900, 10000 }, { 2000, 20, 10000 } };

  EXPECT_EQ (0u, cv_evacuation_pick (runs, 2, 1500 * CV_MS));
  EXPECT_EQ (1u, cv_evacuation_pick (runs, 2, 0)) << "time not known";
  EXPECT_EQ (CV_EVACUATION_NONE,
             cv_evacuation_pick (&runs[1], 1, 1500 * CV_MS));
}

/* A seventh of the requests of a service fails by nature; a grey target
   fails most of them. */
TEST (Health, AGreyTargetIsAvoidedAndTriedAgain)
{
  cv_health_t h;
  int avoided = 0;

  cv_health_init (&h, CV_HEALTH_KEEP_OWN);
  for (int i = 0; i < 70; i++)
    if (i % 7 == 0)
      avoided += cv_health_failure (&h, 0);
    else
      cv_health_success (&h);
  EXPECT_EQ (0, avoided);
  for (int i = 0; i < 20 && avoided == 0; i++)
    avoided += cv_health_failure (&h, 0);
  EXPECT_EQ (1, avoided);
  EXPECT_FALSE (cv_health_usable (&h, 500 * CV_MS));
  EXPECT_TRUE (cv_health_usable (&h, 1 * CV_SECOND));
  EXPECT_TRUE (cv_health_failure (&h, 1 * CV_SECOND)) << "trial failed";
  EXPECT_FALSE (cv_health_usable (&h, 2 * CV_SECOND));
}

/* Ten gateways have runs on an engine that hangs them; half a second later
   each says so.  */
TEST (Health, FailuresDuringAnAvoidanceDoNotProlongIt)
{
  cv_health_t h;

  cv_health_init (&h, CV_HEALTH_KEEP_ALL);
  EXPECT_FALSE (cv_health_failure (&h, 0));
  EXPECT_TRUE (cv_health_failure (&h, 0)) << "two in a row";
  for (int i = 0; i < 8; i++)
    EXPECT_FALSE (cv_health_failure (&h, 500 * CV_MS));
  EXPECT_FALSE (cv_health_usable (&h, 900 * CV_MS));
  EXPECT_TRUE (cv_health_on_trial (&h, 1100 * CV_MS));
  cv_health_success (&h);
  EXPECT_FALSE (cv_health_on_trial (&h, 1100 * CV_MS));
}

TEST (Retries, AreBoundedInAnySpanOfTime)
{
  cv_retry_budget_t b;
  int taken = 0;

  cv_retry_budget_init (&b);
  cv_retry_budget_set (&b, 0.2, 5);
  for (int i = 0; i < 100; i++)
    cv_retry_budget_first (&b);
  for (int i = 0; i < 100; i++)
    {
      cv_retry_budget_first (&b);
      taken += cv_retry_budget_take (&b);
    }
  EXPECT_LE (taken, 5 + 20);
  EXPECT_GE (taken, 20);
}

} // namespace
