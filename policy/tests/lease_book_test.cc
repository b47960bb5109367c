/* Requests of several gateways for the migration lease of one engine.  */

#include <gtest/gtest.h>

#include <cstring>
#include <memory>

#include "policy/lease_book.h"

namespace
{

const cv_time_t kStart = 100 * CV_SECOND;

class LeaseBook : public ::testing::Test
{
protected:
  LeaseBook () { cv_lease_book_init (book.get ()); }

  /* STEP of RUN, which has a thousand tokens for each number, by the gateway at
     port RUN.  Returns the port of the gateway that gets the lease, or 0.  */
  int
  handle (cv_lease_step_t step, uint16_t run, cv_time_t at = 0)
  {
    cv_msg_migration_lease_t m = {};
    sockaddr_in gateway = {};

    m.step = step;
    m.tokens = run * 1000;
    gateway.sin_port = run;
    uint32_t index
        = cv_lease_book_handle (book.get (), run, &m, &gateway, kStart + at);
    return index == CV_MIGRATION_LEASE_NONE
               ? 0
               : book->requests[index].gateway.sin_port;
  }

  std::unique_ptr<cv_lease_book_t> book = std::make_unique<cv_lease_book_t> ();
};

TEST_F (LeaseBook, GrantsOneAtATimeTheSmallestFirst)
{
  EXPECT_EQ (3, handle (CV_LEASE_REQUESTED, 3));
  EXPECT_EQ (0, handle (CV_LEASE_REQUESTED, 2));
  EXPECT_EQ (0, handle (CV_LEASE_REQUESTED, 1));
  EXPECT_EQ (1, handle (CV_LEASE_RELEASED, 3));
  EXPECT_EQ (2, handle (CV_LEASE_RELEASED, 1));
  EXPECT_EQ (0, handle (CV_LEASE_RELEASED, 2));
}

TEST_F (LeaseBook, RepeatsAGrantForItsHolderOnly)
{
  EXPECT_EQ (1, handle (CV_LEASE_REQUESTED, 1));
  EXPECT_EQ (1, handle (CV_LEASE_REQUESTED, 1)) << "the grant may be lost";
  EXPECT_EQ (0, handle (CV_LEASE_REQUESTED, 2));
  EXPECT_EQ (0, handle (CV_LEASE_RELEASED, 2)) << "it was not asked for";
  EXPECT_EQ (0, handle (CV_LEASE_RELEASED, 7)) << "no such run";
}

TEST_F (LeaseBook, PassesOnTheLeaseOfAGatewayThatEnded)
{
  EXPECT_EQ (1, handle (CV_LEASE_REQUESTED, 1));
  EXPECT_EQ (0, handle (CV_LEASE_REQUESTED, 2, 500 * CV_MS));
  EXPECT_EQ (2, handle (CV_LEASE_REQUESTED, 2, CV_SECOND));
}

TEST_F (LeaseBook, IgnoresStepsThatItSends)
{
  EXPECT_EQ (0, handle (CV_LEASE_GRANTED, 1));
  EXPECT_EQ (0, handle (CV_LEASE_WAITS, 1));
}

}
