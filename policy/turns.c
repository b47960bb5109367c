/* Migration lease of one engine.  */

#include <string.h>

#include "policy/turns.h"

/* Requests not renewed within this time are dropped; gateways renew theirs
   every 25 ms.  */
#define REQUEST_TIMEOUT (150 * CV_MS)
/* Migrating the largest run to another failure domain takes about 0.5 s.  */
#define LEASE_TIMEOUT (900 * CV_MS)

void
cv_migration_lease_init (cv_migration_lease_t *t)
{
  memset (t, 0, sizeof *t);
  t->holder = CV_MIGRATION_LEASE_NONE;
}

uint32_t
cv_migration_lease_request (cv_migration_lease_t *t, cv_time_t now,
                            uint64_t run, uint64_t tokens)
{
  uint32_t index = CV_MIGRATION_LEASE_NONE;

  for (uint32_t i = 0; i < CV_MIGRATION_LEASE_REQUESTS_MAX; i++)
    {
      if (t->entries[i].run == run)
        {
          index = i;
          break;
        }
      if (t->entries[i].run == 0 && index == CV_MIGRATION_LEASE_NONE)
        index = i;
    }
  if (index != CV_MIGRATION_LEASE_NONE)
    t->entries[index] = (cv_migration_lease_entry_t){ run, tokens, now };
  return index;
}

void
cv_migration_lease_release (cv_migration_lease_t *t, uint64_t run)
{
  for (uint32_t i = 0; i < CV_MIGRATION_LEASE_REQUESTS_MAX; i++)
    if (t->entries[i].run == run)
      {
        t->entries[i].run = 0;
        if (t->holder == i)
          t->holder = CV_MIGRATION_LEASE_NONE;
      }
}

/* Picks the smallest first, so that more runs are moved in the same time.  */
uint32_t
cv_migration_lease_grant (cv_migration_lease_t *t, cv_time_t now)
{
  uint32_t best = CV_MIGRATION_LEASE_NONE;

  if (t->holder != CV_MIGRATION_LEASE_NONE && now - t->since < LEASE_TIMEOUT)
    return t->holder;
  if (t->holder != CV_MIGRATION_LEASE_NONE)
    t->entries[t->holder].run = 0;
  for (uint32_t i = 0; i < CV_MIGRATION_LEASE_REQUESTS_MAX; i++)
    {
      cv_migration_lease_entry_t *e = &t->entries[i];

      if (e->run != 0 && now - e->requested_at > REQUEST_TIMEOUT)
        e->run = 0;
      if (e->run != 0
          && (best == CV_MIGRATION_LEASE_NONE
              || e->tokens < t->entries[best].tokens))
        best = i;
    }
  t->holder = best;
  t->since = now;
  return best;
}
