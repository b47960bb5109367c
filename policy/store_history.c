#include "policy/store_history.h"

/* Whether the answer was sent before the current history began.  A lower era in
   the answer to a call that was sent since is another history: a store that was
   set up anew counts from the start.  */
static bool
is_late (const cv_store_history_t *h, cv_era_t era,
         const cv_call_basis_t *basis)
{
  return era.number < h->era.number
         && (basis->may_be_stale || basis->history != h->number);
}

bool
cv_store_history_admit (cv_store_history_t *h, cv_era_t era,
                        const cv_call_basis_t *basis, cv_time_t now)
{
  if (!era.is_named)
    return basis->history == h->number;
  if (h->era.is_named && is_late (h, era, basis))
    return false;
  if (!h->era.is_named || era.number != h->era.number)
    {
      h->number++;
      h->era = era;
      h->began_at = now;
    }
  return !basis->continues || basis->history == h->number;
}

bool
cv_store_history_is_recent (const cv_store_history_t *h, cv_time_t now,
                            cv_time_t period)
{
  return h->number > 1 && now - h->began_at < period;
}
