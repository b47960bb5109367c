#include "policy/share.h"

/* A gateway sends, and receives, one datagram in this time at most.  */
#define DATAGRAM_INTERVAL (2 * CV_MS)
/* Two lost datagrams in a row leave the others informed.  */
#define REPEAT_INTERVAL (CV_SHARE_MAX_AGE / 3)

bool
cv_share_is_due (cv_share_pace_t *p, uint64_t digest, bool has_work,
                 uint32_t gateways, cv_time_t now)
{
  bool is_changed
      = has_work != p->has_work || (has_work && digest != p->digest);
  cv_time_t age = now - p->sent_at;

  if (age < gateways * DATAGRAM_INTERVAL)
    return false;
  if (!is_changed && !(has_work && age >= REPEAT_INTERVAL))
    return false;
  *p = (cv_share_pace_t){ .digest = digest,
                          .has_work = has_work,
                          .sent_at = now };
  return true;
}
