/* Which targets an entry sees when the fleet is too large to see all.  Each
   entry decides alone from the list of targets; entries that have the same
   list cover the targets evenly.  */

#ifndef CV_POLICY_SUBSET_H
#define CV_POLICY_SUBSET_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Entries by which a target is seen on average, at least.  */
#define CV_SUBSET_COVER 12
/* Targets that an entry sees when the fleet is large.  */
#define CV_SUBSET_WANT 64

typedef struct
{
  uint64_t name;   /* hash of the target's name */
  uint64_t domain; /* hash of its failure domain's name */
} cv_subset_target_t;

/* Choose about WANT of the N TARGETS for ENTRY, one of ENTRIES: more when
   these would otherwise cover the targets less than CV_SUBSET_COVER times,
   each failure domain by its part of the targets.  Write their indices to
   OUT, of room for N, and return their number.  The choice does not depend
   on the order of TARGETS.  */
size_t cv_subset_choose (const char *entry, uint32_t entries,
                         const cv_subset_target_t *targets, size_t n,
                         size_t want, uint32_t *out);

#ifdef __cplusplus
}
#endif

#endif
