/* Replays of the load patterns that the decisions on engines answer.  */

#include <gtest/gtest.h>

#include <vector>

#include "policy/evacuation.h"
#include "policy/health.h"
#include "policy/placement.h"
#include "policy/policy.h"
#include "policy/refusal.h"
#include "policy/room.h"
#include "policy/turns.h"

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
  cv_placement_work_t work = { 3000, false };

  EXPECT_EQ (CV_PLACEMENT_NONE, cv_placement_pick (c.data (), 2, &work, 0.5));
  c[1].memory_used = 10000;
  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.5));
  c[1].usable = false;
  EXPECT_EQ (CV_PLACEMENT_NONE, cv_placement_pick (c.data (), 2, &work, 0.5));
}

TEST (Placement, PromptsThatWaitCountMoreThanMemory)
{
  std::vector<cv_candidate_t> c = { engine (4000, 9000), engine (9000) };
  cv_placement_work_t work = { 3000, false };

  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.1));
}

TEST (Placement, AMoveStaysInItsFailureDomain)
{
  std::vector<cv_candidate_t> c
      = { engine (5000, 0, false), engine (14000, 0, true) };
  cv_placement_work_t work = { 3000, true };

  EXPECT_EQ (1u, cv_placement_pick (c.data (), 2, &work, 0.5));
  work.is_move = false;
  EXPECT_EQ (0u, cv_placement_pick (c.data (), 2, &work, 0.5));
}

TEST (Placement, EqualEnginesAreNotAllChosenAlike)
{
  std::vector<cv_candidate_t> c (8, engine (5000));
  cv_placement_work_t work = { 3000, false };
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

/* Ten gateways ask at the same moment for the memory that one run has left. */
TEST (Room, IsGrantedOnce)
{
  cv_room_t room;
  cv_room_run_t run = { 99, 15000 };
  cv_room_report_t report = { &run, 1, 15000, 0, 20000 };
  int granted = 0;

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  for (uint64_t i = 1; i <= 10; i++)
    granted += cv_room_ask (&room, 0, i, 3500, 3000);
  EXPECT_EQ (1, granted);
  EXPECT_TRUE (cv_room_ask (&room, 0, 1, 3500, 3000)) << "asked again";
}

TEST (Room, CountsWhatRunsWillHaveAtTheirEnd)
{
  cv_room_t room;
  cv_room_run_t runs[] = { { 1, 3100 }, { 2, 3100 } };
  cv_room_report_t report = { nullptr, 0, 0, 0, 20000 };

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  EXPECT_TRUE (cv_room_ask (&room, 0, 1, 9000, 3000));
  EXPECT_TRUE (cv_room_ask (&room, 0, 2, 9000, 3000));
  report = { runs, 2, 6200, 0, 20000 };
  cv_room_report (&room, CV_SECOND, &report);
  EXPECT_EQ (18000u, room.promised);
  EXPECT_FALSE (cv_room_ask (&room, CV_SECOND, 3, 4000, 3000));
}

TEST (Room, AShortOutputUsesTheMemoryKeptForGrowth)
{
  cv_room_t room;
  cv_room_run_t run = { 1, 10000 };
  cv_room_report_t report = { nullptr, 0, 0, 0, 20000 };

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  EXPECT_TRUE (cv_room_ask (&room, 0, 1, 19000, 9000));
  report = { &run, 1, 10000, 0, 20000 };
  cv_room_report (&room, CV_SECOND, &report);
  EXPECT_FALSE (cv_room_ask (&room, CV_SECOND, 2, 3500, 3000));
  EXPECT_TRUE (cv_room_ask (&room, CV_SECOND, 3, 3012, 3000));
}

TEST (Room, BoundsThePromptsThatWaitToBeRead)
{
  cv_room_t room;
  cv_room_report_t report = { nullptr, 0, 0, 0, 100000 };
  int granted = 0;

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  for (uint64_t i = 1; i <= 10; i++)
    granted += cv_room_ask (&room, 0, i, 3500, 3000);
  EXPECT_EQ (2, granted) << "whose prompts come to more than 4000";
}

TEST (Room, ComesFreeWhenARunEndsOrIsReleased)
{
  cv_room_t room;
  cv_room_run_t run = { 1, 3000 };
  cv_room_report_t report = { nullptr, 0, 0, 0, 10000 };

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  EXPECT_TRUE (cv_room_ask (&room, 0, 1, 9000, 3000));
  cv_room_release (&room, 1);
  EXPECT_TRUE (cv_room_ask (&room, 0, 2, 9000, 3000));
  run.run = 2;
  report = { &run, 1, 3000, 0, 10000 };
  cv_room_report (&room, CV_SECOND, &report);
  report = { nullptr, 0, 0, 0, 10000 };
  cv_room_report (&room, 2 * CV_SECOND, &report);
  EXPECT_EQ (0u, room.promised);
}

/* A large prompt is not passed over for ever by small ones. */
TEST (Room, ThePromptThatComesCountsNotAgainstItself)
{
  cv_room_t room;
  cv_room_report_t report = { nullptr, 0, 0, 0, 100000 };

  cv_room_init (&room);
  cv_room_report (&room, 0, &report);
  EXPECT_TRUE (cv_room_ask (&room, 0, 1, 1500, 1000));
  EXPECT_TRUE (cv_room_ask (&room, 0, 2, 9000, 8000));
  EXPECT_FALSE (cv_room_ask (&room, 0, 3, 1500, 1000));
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

  cv_health_init (&h);
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
