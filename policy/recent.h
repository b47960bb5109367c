/* The contents that completed lately, as a bounded set.  Content that crashes
   its targets never completes, so what is in this set was in flight at a crash
   by chance.  */

#ifndef CV_POLICY_RECENT_H
#define CV_POLICY_RECENT_H

#include "base/base.h"
#include "policy/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Contents kept; the ones added longest ago are dropped first.  */
#define CV_RECENT_MAX 4096
/* Time for which a completion shows that content is sound.  New versions of a
   target may fail on content that the former one completed.  */
#define CV_RECENT_PERIOD (30 * CV_SECOND)

typedef struct
{
  uint64_t hash;
  cv_time_t at;
} cv_recent_entry_t;

typedef struct
{
  cv_map_t index; /* hash to position in ENTRIES */
  cv_recent_entry_t entries[CV_RECENT_MAX];
  uint32_t next; /* position of the next new entry */
  uint32_t count;
} cv_recent_t;

void cv_recent_init (cv_recent_t *r);
void cv_recent_finish (cv_recent_t *r);
void cv_recent_add (cv_recent_t *r, uint64_t hash, cv_time_t now);
/* Whether HASH was added within CV_RECENT_PERIOD.  */
bool cv_recent_has (const cv_recent_t *r, uint64_t hash, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
