/* Whether an answer is the one that is due.  Load pattern: a faulty target
   writes an earlier answer once more on a kept connection; taken for the next
   one, it tells a caller that a request did not run which is running.  */

#ifndef CV_POLICY_ANSWER_H
#define CV_POLICY_ANSWER_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Request that an answer names.  */
typedef enum
{
  CV_ANSWER_UNNAMED = 1,
  CV_ANSWER_TO_UNNAMED, /* the request has no name to compare */
  CV_ANSWER_OF_THIS,
  CV_ANSWER_OF_ANOTHER
} cv_answer_name_t;

typedef enum
{
  CV_ANSWER_IS_DUE = 1,
  CV_ANSWER_IS_SKIPPED, /* the one that is due follows */
  CV_ANSWER_IN_DOUBT    /* the request may have run, or not */
} cv_answer_verdict_t;

/* EXCHANGE: which request of its connection is to be answered, from 1; of the
   earlier ones, each got an answer that cv_answer_keeps_connection.  */
cv_answer_verdict_t cv_answer_judge (cv_answer_name_t name, uint32_t exchange);

/* Whether another request may follow on the connection of an answer with NAME.
   A copy of an answer that names no request could not be told from the answer
   to the next one.  */
bool cv_answer_keeps_connection (cv_answer_name_t name);

#ifdef __cplusplus
}
#endif

#endif
