/* A request as the table of suspects sees it.  */

#include <stdlib.h>
#include <string.h>

#include "policy/policy.h"

void
cv_suspect_request_init (cv_suspect_request_t *r, cv_suspect_hash_t content,
                         uint32_t part_max)
{
  *r = (cv_suspect_request_t){ .content = content };
  if (part_max > 0)
    r->parts = cv_calloc (part_max, sizeof *r->parts);
}

void
cv_suspect_request_init_copy (cv_suspect_request_t *r,
                              const cv_suspect_request_t *other)
{
  cv_suspect_request_init (r, other->content, other->part_count);
  if (other->part_count > 0)
    memcpy (r->parts, other->parts, other->part_count * sizeof *r->parts);
  r->part_count = other->part_count;
}

void
cv_suspect_request_finish (cv_suspect_request_t *r)
{
  free (r->parts);
  *r = (cv_suspect_request_t){ 0 };
}

bool
cv_suspect_request_has_part (const cv_suspect_request_t *r, uint64_t hash)
{
  for (uint32_t i = 0; i < r->part_count; i++)
    if (r->parts[i].hash == hash)
      return true;
  return false;
}
