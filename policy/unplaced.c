/* Requests for which no target has room in one pass over the queue.  */

#include "policy/unplaced.h"

static bool
is_covered (const cv_unplaced_request_t *r, const cv_unplaced_request_t *by)
{
  return r->kind == by->kind && r->need_tokens >= by->need_tokens
         && r->prompt_tokens >= by->prompt_tokens;
}

void
cv_unplaced_add (cv_unplaced_t *u, const cv_unplaced_request_t *r)
{
  for (uint32_t i = 0; i < u->count; i++)
    if (is_covered (&u->requests[i], r))
      {
        u->requests[i] = *r;
        return;
      }
  if (u->count < CV_UNPLACED_MAX)
    u->requests[u->count++] = *r;
}

bool
cv_unplaced_covers (const cv_unplaced_t *u, const cv_unplaced_request_t *r)
{
  for (uint32_t i = 0; i < u->count; i++)
    if (is_covered (r, &u->requests[i]))
      return true;
  return false;
}
