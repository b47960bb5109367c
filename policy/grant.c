#include "policy/grant.h"

/* Some times what a granter takes to reply, and less than what it keeps for one
   that does not use it.  */
#define GRANT_MAX (250 * CV_MS)

bool
cv_grant_holds (cv_time_t asked_at, cv_time_t now)
{
  return now - asked_at <= GRANT_MAX;
}
