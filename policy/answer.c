#include "policy/answer.h"

cv_answer_verdict_t
cv_answer_judge (cv_answer_name_t name, uint32_t exchange)
{
  switch (name)
    {
    case CV_ANSWER_OF_THIS:
    /* Copies on this connection are named, as the answers before.  */
    case CV_ANSWER_TO_UNNAMED:
      return CV_ANSWER_IS_DUE;
    case CV_ANSWER_OF_ANOTHER:
      return CV_ANSWER_IS_SKIPPED;
    case CV_ANSWER_UNNAMED:
      /* A new connection has carried no earlier request.  */
      return exchange > 1 ? CV_ANSWER_IN_DOUBT : CV_ANSWER_IS_DUE;
    }
  return CV_ANSWER_IN_DOUBT;
}

bool
cv_answer_keeps_connection (cv_answer_name_t name)
{
  return name == CV_ANSWER_OF_THIS;
}
