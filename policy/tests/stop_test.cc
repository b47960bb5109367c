/* Unit tests of what a stopping gateway takes on.  */

#include <gtest/gtest.h>

#include "policy/stop.h"

namespace
{

constexpr cv_time_t GRACE = 8 * CV_SECOND;

cv_stop_t
begin ()
{
  cv_stop_t s = {};

  cv_stop_begin (&s, 0, GRACE);
  return s;
}

/* A short generation: three events of four tokens.  */
cv_stop_request_t
short_generation ()
{
  cv_stop_request_t r = {};

  r.objective = 1500 * CV_MS;
  r.gap_objective = 180 * CV_MS;
  r.prefill = 300 * CV_MS;
  r.event_tokens = 4;
  r.expected_tokens = 12;
  r.output_limit = 12;
  r.is_generation = true;
  return r;
}

bool
admits (const cv_stop_t &s, const cv_stop_request_t &r, cv_time_t now)
{
  cv_stop_work_t work;

  cv_stop_estimate (&r, cv_stop_is_late (&s, now), &work);
  return cv_stop_fits (&s, now, &work);
}

/* Last time at which S admits R, in steps of 10 ms; 0: never.  */
cv_time_t
last_admission (const cv_stop_t &s, const cv_stop_request_t &r)
{
  cv_time_t last = 0;

  for (cv_time_t now = 0; now < GRACE; now += 10 * CV_MS)
    if (admits (s, r, now))
      last = now;
  return last;
}

TEST (Stop, ALateGenerationHasTimeForItsObjectiveAndASilence)
{
  cv_stop_t s = begin ();
  cv_stop_request_t r = short_generation ();
  cv_time_t needed = r.objective + 3 * r.gap_objective + 1500 * CV_MS;

  EXPECT_LE (last_admission (s, r) + needed, s.ends_at);
  EXPECT_GT (last_admission (s, r), 2 * CV_SECOND);
}

TEST (Stop, AnEarlyGenerationIsTriedByItsExpectedLength)
{
  cv_stop_t s = begin ();
  cv_stop_request_t r = short_generation ();

  r.output_limit = 2000;
  r.expected_tokens = 400;
  EXPECT_TRUE (admits (s, r, 1 * CV_SECOND));
  EXPECT_FALSE (admits (s, r, 3 * CV_SECOND));
  r.expected_tokens = 900;
  EXPECT_FALSE (admits (s, r, 1 * CV_SECOND));
}

TEST (Stop, APlainRequestIsAdmittedUntilItMayStillBeAnswered)
{
  cv_stop_t s = begin ();
  cv_stop_request_t r = {};

  r.objective = 100 * CV_MS;
  EXPECT_TRUE (admits (s, r, s.answer_by - 500 * CV_MS));
  EXPECT_FALSE (admits (s, r, s.answer_by - 300 * CV_MS));
}

TEST (Stop, NothingIsAdmittedOnceRequestsAreRefused)
{
  cv_stop_t s = begin ();
  cv_stop_request_t r = {};

  EXPECT_FALSE (admits (s, r, s.answer_by));
  EXPECT_LT (s.answer_by, s.ends_at);
  EXPECT_LT (s.ends_at, GRACE);
}

TEST (Stop, AShortGracePeriodAdmitsNothing)
{
  cv_stop_t s = {};

  cv_stop_begin (&s, 0, 500 * CV_MS);
  EXPECT_EQ (0, last_admission (s, short_generation ()));
}

/* A response that begins has no wait for its head any more, so the time until
   its end alone decides.  */
TEST (Stop, AResponseBeginsOnlyIfItAlsoEnds)
{
  cv_stop_t s = begin ();
  cv_stop_request_t r = short_generation ();
  cv_stop_work_t work;

  cv_stop_estimate (&r, true, &work);
  work.until_head = 0;
  EXPECT_TRUE (
      cv_stop_fits (&s, s.ends_at - work.until_end - 1 * CV_MS, &work));
  EXPECT_FALSE (cv_stop_fits (&s, s.ends_at - work.until_end, &work));
}

} // namespace
