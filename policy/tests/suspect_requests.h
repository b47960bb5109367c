/* Requests with parts for tests, whose parts live as long as the object.  */

#ifndef CV_POLICY_TESTS_SUSPECT_REQUESTS_H
#define CV_POLICY_TESTS_SUSPECT_REQUESTS_H

#include <deque>
#include <vector>

#include "policy/policy.h"

class SuspectRequests
{
public:
  cv_suspect_request_t
  make (cv_suspect_hash_t content, std::vector<cv_suspect_hash_t> parts)
  {
    cv_suspect_request_t r = {};

    kept.push_back (std::move (parts));
    r.content = content;
    r.parts = kept.back ().data ();
    r.part_count = (uint32_t)kept.back ().size ();
    return r;
  }

  cv_suspect_request_t
  copy (const cv_suspect_request_t &r)
  {
    return make (r.content, { r.parts, r.parts + r.part_count });
  }

private:
  std::deque<std::vector<cv_suspect_hash_t>> kept;
};

#endif
