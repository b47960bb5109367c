/* A bounded set of the contents that completed lately: a ring, indexed by
   hash.  */

#include <string.h>

#include "policy/recent.h"

void
cv_recent_init (cv_recent_t *r)
{
  memset (r, 0, sizeof *r);
  cv_map_init (&r->index);
}

void
cv_recent_finish (cv_recent_t *r)
{
  cv_map_finish (&r->index);
}

void
cv_recent_add (cv_recent_t *r, uint64_t hash, cv_time_t now)
{
  uint32_t i = cv_map_get (&r->index, hash);

  if (i == CV_MAP_NONE)
    {
      i = r->next;
      r->next = (r->next + 1) % CV_RECENT_MAX;
      if (r->count == CV_RECENT_MAX)
        cv_map_remove (&r->index, r->entries[i].hash);
      else
        r->count++;
      cv_map_put (&r->index, hash, i);
    }
  r->entries[i] = (cv_recent_entry_t){ .hash = hash, .at = now };
}

bool
cv_recent_has (const cv_recent_t *r, uint64_t hash, cv_time_t now)
{
  uint32_t i = cv_map_get (&r->index, hash);

  return i != CV_MAP_NONE && now - r->entries[i].at <= CV_RECENT_PERIOD;
}
