/* Regions in which requests may run.  */

#include "policy/regions.h"

#include <stdlib.h>
#include <string.h>

static bool
allows (const cv_regions_t *r, const char *region)
{
  if (r == NULL || r->count == 0)
    return true;
  for (uint32_t i = 0; region != NULL && i < r->count; i++)
    if (strcmp (r->names[i], region) == 0)
      return true;
  return false;
}

bool
cv_regions_allow (const cv_regions_t *a, const cv_regions_t *b,
                  const char *region)
{
  return allows (a, region) && allows (b, region);
}

void
cv_regions_add (cv_regions_t *r, const char *name)
{
  r->names = cv_realloc (r->names, (r->count + 1) * sizeof *r->names);
  r->names[r->count++] = cv_strdup_n (name, strlen (name));
}

void
cv_regions_finish (cv_regions_t *r)
{
  for (uint32_t i = 0; i < r->count; i++)
    free (r->names[i]);
  free (r->names);
  *r = (cv_regions_t){ 0 };
}
