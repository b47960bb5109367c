/* Regions in which requests may run.  Load pattern: requests of some routes and
   client accounts must stay in their home regions while targets elsewhere have
   more room.  */

#ifndef CV_POLICY_REGIONS_H
#define CV_POLICY_REGIONS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Names of regions; none: no restriction.  */
typedef struct
{
  char **names;
  uint32_t count;
} cv_regions_t;

/* Whether a request that both A and B (NULL: no restriction) restrict may run
   in REGION; NULL: it is not known.  */
bool cv_regions_allow (const cv_regions_t *a, const cv_regions_t *b,
                       const char *region);
void cv_regions_add (cv_regions_t *r, const char *name);
void cv_regions_finish (cv_regions_t *r);

#ifdef __cplusplus
}
#endif

#endif
