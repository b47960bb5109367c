/* Which of the listed targets an entry connects to: all of a small fleet, a
   balanced subset of each pool of a large one (policy/subset.h).  */

#include <stdlib.h>
#include <string.h>

#include "entry/link_internal.h"
#include "policy/subset.h"

/* Least number of targets seen of a pool.  */
#define POOL_LEAST 6

static size_t pool_members (const cv_instance_t *list, size_t count,
                            size_t first, uint32_t *member);
static size_t pool_count (const cv_instance_t *list, size_t count);
static void choose_pool (const cv_entry_link_t *l, cv_instance_t *list,
                         const uint32_t *member, size_t n, size_t want);
static bool first_of_pool (const cv_instance_t *list, size_t k);
static uint64_t hash_of (const char *text);

void
cv_entry_link_choose (const cv_entry_link_t *l, cv_instance_t *list,
                      size_t count)
{
  uint32_t *member = cv_calloc (count + 1, sizeof *member);
  size_t pools = pool_count (list, count);
  size_t want = CV_SUBSET_WANT / (pools > 0 ? pools : 1);

  if (want < POOL_LEAST)
    want = POOL_LEAST;
  if (count <= CV_SUBSET_WANT)
    want = count;
  for (size_t k = 0; k < count; k++)
    if (first_of_pool (list, k))
      {
        size_t n = pool_members (list, count, k, member);

        choose_pool (l, list, member, n, want);
      }
  free (member);
}

static size_t
pool_count (const cv_instance_t *list, size_t count)
{
  size_t pools = 0;

  for (size_t k = 0; k < count; k++)
    pools += first_of_pool (list, k);
  return pools;
}

/* The pools are few, so that an earlier member is found soon.  */
static bool
first_of_pool (const cv_instance_t *list, size_t k)
{
  for (size_t i = 0; i < k; i++)
    if (strcmp (list[i].pool, list[k].pool) == 0)
      return false;
  return true;
}

/* Write the indices of the targets in the pool of FIRST to MEMBER.  */
static size_t
pool_members (const cv_instance_t *list, size_t count, size_t first,
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
             const uint32_t *member, size_t n, size_t want)
{
  cv_subset_target_t *targets = cv_calloc (n, sizeof *targets);
  uint32_t *chosen = cv_calloc (n, sizeof *chosen);
  size_t picked;

  for (size_t i = 0; i < n; i++)
    {
      targets[i].name = hash_of (list[member[i]].id);
      targets[i].domain = hash_of (list[member[i]].failure_domain);
    }
  picked = cv_subset_choose (l->instance, l->entries, targets, n, want, chosen);
  for (size_t i = 0; i < picked; i++)
    list[member[chosen[i]]].chosen = true;
  free (targets);
  free (chosen);
}

static uint64_t
hash_of (const char *text)
{
  return cv_hash (text, strlen (text), 0);
}
