/* How long a grant may be used that another process has sent: a permit, a
   reservation, a lease.  Load pattern: the process that asked for it stands
   still for some seconds and finds the reply in its socket as it goes on, when
   the granter has given the same to another one.  */

#ifndef CV_POLICY_GRANT_H
#define CV_POLICY_GRANT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Whether a grant that arrives at NOW, and was asked for at ASKED_AT, both in
   microseconds, may be used.  */
bool cv_grant_holds (cv_time_t asked_at, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
