/* Choice of the targets that an entry connects to when the fleet is too large
   for all of them.  Each entry decides alone from the list of targets; entries
   that have the same list cover the targets evenly.  */

#ifndef CV_POLICY_SUBSET_H
#define CV_POLICY_SUBSET_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* A subset is enlarged until each target is chosen by this many entries on
   average.  */
#define CV_SUBSET_MIN_COVERAGE 12
/* Number of targets that an entry chooses in a large fleet.  */
#define CV_SUBSET_SIZE 64

typedef struct
{
  uint64_t name;   /* hash of the target's name */
  uint64_t domain; /* hash of its failure domain's name */
} cv_subset_target_t;

/* Chooses about WANT of the N TARGETS for ENTRY, one of ENTRIES, or more if
   each target would otherwise be chosen by fewer than CV_SUBSET_MIN_COVERAGE
   entries on average.  Failure domains are represented in proportion to their
   targets.  Writes the indices to OUT, which has N elements, and returns their
   number.  The choice does not depend on the order of TARGETS.  */
size_t cv_subset_choose (const char *entry, uint32_t entries,
                         const cv_subset_target_t *targets, size_t n,
                         size_t want, uint32_t *out);

#ifdef __cplusplus
}
#endif

#endif
