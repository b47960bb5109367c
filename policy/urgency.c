/* Who goes first among requests that wait for room.  */

#include "policy/urgency.h"

/* Callers of one route differ in patience by about a sixth; below this part of
   the longest, time was lost before.  */
#define FRESH_PART 0.83
/* Weight of a caller that waits for less than the longest seen, so that a
   single one with much patience is forgotten after some hundred.  */
#define FORGET 0.002

bool
cv_patience_note (cv_patience_t *p, uint32_t deadline_ms)
{
  if (deadline_ms >= p->patience_ms)
    p->patience_ms = deadline_ms;
  else
    p->patience_ms += FORGET * (deadline_ms - p->patience_ms);
  return deadline_ms < FRESH_PART * p->patience_ms;
}

bool
cv_urgency_overtakes (const cv_urgency_t *a, const cv_urgency_t *b)
{
  if (a->is_late != b->is_late)
    return b->is_late;
  return a->priority < b->priority;
}
