/* When a gateway tells the others what it has at engines.  Load pattern: many
   gateways place few requests each at engines that no observer reports; each
   sees only its own, and the engines that it takes for empty are full.  */

#ifndef CV_POLICY_SHARE_H
#define CV_POLICY_SHARE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* What a gateway has told holds for this time.  */
#define CV_SHARE_MAX_AGE (1500 * CV_MS)

/* What this gateway told the others last.  */
typedef struct
{
  uint64_t digest;
  bool has_work;
  cv_time_t sent_at;
} cv_share_pace_t;

/* Whether to tell the other ones of GATEWAYS at NOW, and records that they are
   told: after a change, and from time to time while there is work.  DIGEST is
   of what would be told, HAS_WORK unless that is nothing.  */
bool cv_share_is_due (cv_share_pace_t *p, uint64_t digest, bool has_work,
                      uint32_t gateways, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
