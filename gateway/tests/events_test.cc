/* Events of a stream that arrive in fragments, in several runs, or with gaps.
 */

#include <gtest/gtest.h>

#include <string>

#include "gateway/events.h"

namespace
{

std::string
event (int id)
{
  return "id: " + std::to_string (id) + "\ndata: x\n\n";
}

class Events : public testing::Test
{
protected:
  Events () { cv_events_init (&e); }
  ~Events () override { cv_events_finish (&e); }

  std::string
  feed (const std::string &data)
  {
    cv_buf_t out;
    cv_error_t err = {};

    cv_buf_init (&out);
    ok = cv_events_feed (&e, { data.data (), data.size () }, &out, &err);
    std::string text (out.n > 0 ? out.p : "", out.n);
    cv_buf_finish (&out);
    return text;
  }

  cv_events_t e;
  bool ok = true;
};

TEST_F (Events, ForwardsOnlyWholeEvents)
{
  std::string all = event (1) + event (2);
  std::string got;

  for (char c : all)
    got += feed (std::string (1, c));
  EXPECT_EQ (all, got);
  EXPECT_EQ ("", feed ("id: 3\ndata: ha"));
  EXPECT_FALSE (cv_events_may_end (&e));
}

TEST_F (Events, ContinuesInANewRunWithoutRepeats)
{
  EXPECT_EQ (event (1), feed (event (1) + "id: 2\nda"));
  cv_events_restart (&e);
  EXPECT_EQ (event (2) + event (3), feed (event (1) + event (2) + event (3)));
  EXPECT_EQ (3u, e.last_id);
}

TEST_F (Events, ARunThatEndsBehindTheFormerOneIsNotComplete)
{
  EXPECT_EQ (event (1) + event (2) + event (3),
             feed (event (1) + event (2) + event (3)));
  cv_events_restart (&e);
  EXPECT_TRUE (cv_events_may_end (&e)) << "nothing was left to send";
  EXPECT_EQ ("", feed (event (1) + event (2)));
  EXPECT_FALSE (cv_events_may_end (&e));
  EXPECT_EQ ("", feed (event (3)));
  EXPECT_TRUE (cv_events_may_end (&e));
}

TEST_F (Events, AStreamThatIsTakenUpGoesOnWithTheNextOne)
{
  cv_events_follow (&e, 2);
  EXPECT_TRUE (cv_events_may_end (&e)) << "the caller may have had all";
  EXPECT_EQ ("", feed (event (0) + event (1)));
  EXPECT_FALSE (cv_events_may_end (&e));
  EXPECT_EQ (event (3), feed (event (2) + event (3)));
  EXPECT_TRUE (cv_events_may_end (&e));
}

TEST_F (Events, AStreamThatIsTakenUpSkipsNoEvent)
{
  cv_events_follow (&e, 2);
  EXPECT_EQ ("", feed (event (5)));
  EXPECT_FALSE (ok);
}

TEST_F (Events, ACommentIsForwardedAndIsNoEvent)
{
  EXPECT_EQ (": alive\n\n", feed (": alive\n\n"));
  EXPECT_EQ (0u, e.count);
  EXPECT_EQ (": alive\n" + event (1), feed (": alive\n" + event (1)));
  EXPECT_EQ (1u, e.count);
  EXPECT_EQ ("data: x\n\n", feed ("data: x\n\n"));
  EXPECT_EQ (2u, e.count);
}

TEST_F (Events, RejectsAMissingEvent)
{
  EXPECT_EQ (event (1), feed (event (1)));
  EXPECT_EQ ("", feed (event (3)));
  EXPECT_FALSE (ok);
}

TEST_F (Events, KeepsLinesBeforeTheId)
{
  std::string versioned = "weight-versions: 4\nid: 7\r\ndata: x\r\n\r\n";

  EXPECT_EQ (versioned, feed (versioned));
  EXPECT_EQ (7u, e.last_id);
}

} // namespace
