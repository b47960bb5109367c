/* Table of the failures that are reported to callers.  The comments of
   cv_failure_code_t say when each is used.  */

#include "entry/core.h"

static const cv_failure_info_t failures[CV_FAIL_COUNT] = {
  [CV_FAIL_NO_CONFIG]
  = { 503, "starting", "no configuration is known yet", CV_OUTCOME_REFUSED },
  [CV_FAIL_NO_MODEL]
  = { 404, "model_not_found", "no such model", CV_OUTCOME_REFUSED },
  [CV_FAIL_NO_POOL]
  = { 404, "pool_not_found", "no such pool", CV_OUTCOME_REFUSED },
  [CV_FAIL_NO_CLASS]
  = { 400, "class_not_found", "no such class", CV_OUTCOME_REFUSED },
  [CV_FAIL_LIMIT] = { 429, "rate_limited", "a limit of the account is reached",
                      CV_OUTCOME_REFUSED },
  [CV_FAIL_NO_TARGET]
  = { 503, "no_target", "no target of the pool takes work now",
      CV_OUTCOME_REFUSED },
  [CV_FAIL_OVERLOADED]
  = { 503, "overloaded", "it cannot start in time", CV_OUTCOME_REFUSED },
  [CV_FAIL_QUARANTINED]
  = { 422, "content_refused", "this content has stopped targets before",
      CV_OUTCOME_REFUSED },
  [CV_FAIL_SUSPECT] = { 503, "content_busy",
                        "this content was aboard when a target died; it runs "
                        "at one target at a time",
                        CV_OUTCOME_REFUSED },
  [CV_FAIL_INTERRUPTED]
  = { 502, "interrupted", "the answer is cut", CV_OUTCOME_INTERRUPTED },
  [CV_FAIL_STREAM_GONE]
  = { 410, "stream_gone", "the generation cannot be resumed",
      CV_OUTCOME_INTERRUPTED },
  [CV_FAIL_DEADLINE] = { 504, "deadline", "no answer within the deadline",
                         CV_OUTCOME_INTERRUPTED },
  [CV_FAIL_NOT_RUN]
  = { 503, "not_run", "it did not run and never will", CV_OUTCOME_NOT_RUN },
  [CV_FAIL_UNKNOWN] = { 502, "unknown",
                        "it may have run; ask again with the "
                        "same ticket or key",
                        CV_OUTCOME_UNKNOWN },
  [CV_FAIL_TICKET_EXPIRED] = { 409, "ticket_expired",
                               "the ticket's target has forgotten it; it may "
                               "have run",
                               CV_OUTCOME_UNKNOWN },
  [CV_FAIL_STOPPING]
  = { 503, "stopping", "this entry is being stopped", CV_OUTCOME_REFUSED },
  [CV_FAIL_STOPPED]
  = { 502, "stopped",
      "this entry stopped before the answer was whole; a stream can be resumed "
      "at another entry",
      CV_OUTCOME_INTERRUPTED },
};

const cv_failure_info_t *
cv_failure_info (cv_failure_code_t code)
{
  CV_INVARIANT ((int)code >= 0 && code < CV_FAIL_COUNT);
  return &failures[code];
}
