/* Fixtures of the tests of the table of suspects.  */

#ifndef CV_POLICY_TESTS_SUSPECTS_FIXTURE_H
#define CV_POLICY_TESTS_SUSPECTS_FIXTURE_H

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "policy/policy.h"
#include "policy/tests/suspect_requests.h"

const int64_t kNow = 1000000;

class Suspects : public testing::Test
{
protected:
  Suspects () : table (cv_suspects_new ()) {}
  ~Suspects () override { cv_suspects_free (table); }

  void
  strike (uint64_t hash, uint32_t seen, int64_t wall_s, uint64_t crash)
  {
    cv_suspect_request_t content = { { hash, seen, 0 }, {}, 0 };

    cv_suspects_strike (table, &content, 1, wall_s, crash);
  }

  static std::string
  dump (const cv_suspects_t *t)
  {
    cv_buf_t out;

    cv_buf_init (&out);
    cv_suspects_dump (t, nullptr, nullptr, &out);
    std::string text = cv_buf_text (&out);
    cv_buf_finish (&out);
    return text;
  }

  cv_suspects_t *table;
};

/* Requests with parts; contents are numbers from 100 on.  */
class Parts : public Suspects
{
protected:
  cv_suspect_request_t
  request (uint64_t content, const std::vector<uint64_t> &parts)
  {
    std::vector<cv_suspect_hash_t> hashes;

    for (uint64_t part : parts)
      hashes.push_back (seen (part));
    return made.make (seen (content), hashes);
  }

  cv_suspect_hash_t
  seen (uint64_t hash)
  {
    return { hash, cv_suspects_strikes (table, hash, kNow), 0 };
  }

  void
  crash (const std::vector<cv_suspect_request_t> &requests)
  {
    cv_suspects_strike (table, requests.data (), requests.size (), kNow,
                        ++crashes);
  }

  cv_content_state_t
  state (uint64_t content, const std::vector<uint64_t> &parts)
  {
    cv_suspect_request_t r = request (content, parts);

    return cv_suspects_request_state (table, &r, kNow);
  }

  SuspectRequests made;
  uint64_t crashes = 0;
};

#endif
