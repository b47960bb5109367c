/* How long refused callers should wait before they retry.  */

#include "policy/refusal.h"

/* Weight of a new request in the refused share: about the last thirty
   (1 / 0.03) count.  */
#define REQUEST_WEIGHT 0.03
/* Wait added at this share of refused requests, and in proportion at others:
   about the duration of a run on a full engine.  With one request in three
   refused, the engines can just serve the other two.  */
#define LONG_WAIT_MS 8000
#define LONG_WAIT_REFUSED_SHARE 0.33

void
cv_refusal_record (cv_refusal_t *r, bool refused)
{
  r->refused_share += REQUEST_WEIGHT * ((refused ? 1 : 0) - r->refused_share);
}

uint32_t
cv_refusal_retry_after (const cv_refusal_t *r, uint32_t base_ms,
                        uint32_t left_ms, double draw)
{
  double wait
      = base_ms + LONG_WAIT_MS * r->refused_share / LONG_WAIT_REFUSED_SHARE;
  double jittered = wait * (1 + draw);
  double limit = left_ms / 3.0 - 1;

  if (jittered > limit)
    jittered = limit * (0.8 + 0.2 * draw);
  return jittered > 1 ? (uint32_t)jittered : 1;
}
