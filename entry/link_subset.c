/* Selects the listed targets to which an entry connects: all targets of a
   small fleet, a balanced subset of each pool of a large one
   (policy/subset.h).  */

#include <stdlib.h>
#include <string.h>

#include "entry/link_internal.h"
#include "policy/subset.h"

/* Minimum number requested from cv_subset_choose for one pool.  The choice is
   larger when fewer than CV_SUBSET_MIN_COVERAGE entries would choose each
   target on average.  */
#define POOL_TARGETS_MIN 6

static size_t list_pool_members (const cv_instance_t *list, size_t count,
                                 size_t first, uint32_t *member);
static size_t pool_count (const cv_instance_t *list, size_t count);
static void choose_pool (const cv_entry_link_t *l, cv_instance_t *list,
                         const uint32_t *member, size_t n, size_t per_pool);
static bool is_first_of_pool (const cv_instance_t *list, size_t k);
static uint64_t text_hash (const char *text);

void
cv_entry_link_select_targets (const cv_entry_link_t *l, cv_instance_t *list,
                              size_t count)
{
  uint32_t *member = cv_calloc (count + 1, sizeof *member);
  size_t pools = pool_count (list, count);
  size_t per_pool = CV_SUBSET_SIZE / (pools > 0 ? pools : 1);

  if (per_pool < POOL_TARGETS_MIN)
    per_pool = POOL_TARGETS_MIN;
  if (count <= CV_SUBSET_SIZE)
    per_pool = count;
  for (size_t k = 0; k < count; k++)
    if (is_first_of_pool (list, k))
      {
        size_t n = list_pool_members (list, count, k, member);

        choose_pool (l, list, member, n, per_pool);
      }
  free (member);
}

static size_t
pool_count (const cv_instance_t *list, size_t count)
{
  size_t pools = 0;

  for (size_t k = 0; k < count; k++)
    pools += is_first_of_pool (list, k);
  return pools;
}

/* A linear search: there are few pools, so an earlier member of the same pool
   is found after few steps.  */
static bool
is_first_of_pool (const cv_instance_t *list, size_t k)
{
  for (size_t i = 0; i < k; i++)
    if (strcmp (list[i].pool, list[k].pool) == 0)
      return false;
  return true;
}

/* Writes the indices of the targets in the pool of FIRST to MEMBER and returns
   their number.  */
static size_t
list_pool_members (const cv_instance_t *list, size_t count, size_t first,
                   uint32_t *member)
{
  size_t n = 0;

  for (size_t i = first; i < count; i++)
    if (strcmp (list[i].pool, list[first].pool) == 0)
      member[n++] = (uint32_t)i;
  return n;
}

static void
choose_pool (const cv_entry_link_t *l, cv_instance_t *list,
             const uint32_t *member, size_t n, size_t per_pool)
{
  cv_subset_target_t *targets = cv_calloc (n, sizeof *targets);
  uint32_t *chosen = cv_calloc (n, sizeof *chosen);
  size_t chosen_count;

  for (size_t i = 0; i < n; i++)
    {
      targets[i].name = text_hash (list[member[i]].id);
      targets[i].domain = text_hash (list[member[i]].failure_domain);
    }
  chosen_count = cv_subset_choose (l->instance, l->entries, targets, n,
                                   per_pool, chosen);
  for (size_t i = 0; i < chosen_count; i++)
    list[member[chosen[i]]].chosen = true;
  free (targets);
  free (chosen);
}

static uint64_t
text_hash (const char *text)
{
  return cv_hash (text, strlen (text), 0);
}
