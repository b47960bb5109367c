/* When refused callers should come back.  */

#include "policy/refusal.h"

/* Weight of a new request: about the last thirty count.  */
#define SMOOTHING 0.03
/* Wait at a share of one refused in three, the most that was seen while a
   fleet could still serve the rest; the runs of full engines last as long.  */
#define LONG_WAIT_MS 8000
#define LONG_WAIT_PRESSURE 0.33

void
cv_refusal_note (cv_refusal_t *r, bool refused)
{
  r->pressure += SMOOTHING * ((refused ? 1 : 0) - r->pressure);
}

uint32_t
cv_refusal_retry_after (const cv_refusal_t *r, uint32_t base_ms,
                        uint32_t left_ms, double draw)
{
  double wait = base_ms + LONG_WAIT_MS * r->pressure / LONG_WAIT_PRESSURE;
  double spread = wait * (1 + draw);
  double most = left_ms / 3.0 - 1;

  if (spread > most)
    spread = most * (0.8 + 0.2 * draw);
  return spread > 1 ? (uint32_t)spread : 1;
}
