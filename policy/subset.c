/* Subsets by rendezvous hashing in each failure domain: targets are ranked by a
   hash of their name and the entry's, so that a target that is added or removed
   changes the subsets only of the few entries that rank it high, by one target
   each.  */

#include <stdlib.h>
#include <string.h>

#include "policy/map.h"
#include "policy/subset.h"

typedef struct
{
  uint64_t name;
  size_t targets;
  size_t quota;
  size_t first; /* index of its first pick */
  size_t picks;
} domain_t;

typedef struct
{
  uint64_t rank;
  uint32_t target;
} pick_t;

static int compare_names (const void *a, const void *b);
static domain_t *domains_collect (const cv_subset_target_t *targets, size_t n,
                                  size_t *count);
static domain_t *domain_find (domain_t *d, size_t count, uint64_t name);
static void quotas_set (domain_t *d, size_t count, size_t n, size_t want,
                        uint64_t seed);
static void pick_add (domain_t *d, pick_t *picks, pick_t pick);

static int
compare_names (const void *a, const void *b)
{
  uint64_t x = ((const domain_t *)a)->name;
  uint64_t y = ((const domain_t *)b)->name;

  return (x > y) - (x < y);
}

static domain_t *
domain_find (domain_t *d, size_t count, uint64_t name)
{
  domain_t key = { .name = name };

  return bsearch (&key, d, count, sizeof *d, compare_names);
}

/* Returns the failure domains of TARGETS, sorted by the hash of their names. */
static domain_t *
domains_collect (const cv_subset_target_t *targets, size_t n, size_t *count)
{
  domain_t *d = cv_calloc (n, sizeof *d);

  *count = 0;
  for (size_t i = 0; i < n; i++)
    {
      domain_t *domain = domain_find (d, *count, targets[i].domain);

      if (domain != NULL)
        {
          domain->targets++;
          continue;
        }
      d[(*count)++] = (domain_t){ .name = targets[i].domain, .targets = 1 };
      qsort (d, *count, sizeof *d, compare_names);
    }
  return d;
}

/* Sets each domain's part of WANT, but at most its number of targets.  The
   exact parts are rounded at an offset that differs by entry (SEED): they add
   up to WANT, and a domain's mean over all entries is its exact part.  */
static void
quotas_set (domain_t *d, size_t count, size_t n, size_t want, uint64_t seed)
{
  double offset = (double)(seed >> 11) / (double)(1ULL << 53);
  double sum = 0;
  size_t assigned = 0;
  size_t first = 0;

  for (size_t i = 0; i < count; i++)
    {
      size_t end;

      sum += (double)want * (double)d[i].targets / (double)n;
      end = i + 1 == count ? want : (size_t)(sum + offset);
      if (end > want)
        end = want;
      d[i].quota = end > assigned ? end - assigned : 0;
      if (d[i].quota > d[i].targets)
        d[i].quota = d[i].targets;
      assigned = end;
      d[i].first = first;
      first += d[i].quota;
    }
}

/* Inserts PICK if it is among the highest ranks of its domain, which are kept
   in descending order.  */
static void
pick_add (domain_t *d, pick_t *picks, pick_t pick)
{
  size_t i = d->picks;

  if (d->quota == 0)
    return;
  if (i == d->quota)
    {
      if (picks[d->first + i - 1].rank >= pick.rank)
        return;
      i--;
    }
  else
    d->picks++;
  for (; i > 0 && picks[d->first + i - 1].rank < pick.rank; i--)
    picks[d->first + i] = picks[d->first + i - 1];
  picks[d->first + i] = pick;
}

size_t
cv_subset_choose (const char *entry, uint32_t entries,
                  const cv_subset_target_t *targets, size_t n, size_t want,
                  uint32_t *out)
{
  uint64_t seed = cv_hash (entry, strlen (entry), 0);
  size_t cover
      = entries > 0 ? (CV_SUBSET_MIN_COVERAGE * n + entries - 1) / entries : n;
  domain_t *d;
  pick_t *picks;
  size_t count;
  size_t chosen = 0;

  if (want < cover)
    want = cover;
  if (want >= n)
    {
      for (size_t i = 0; i < n; i++)
        out[i] = (uint32_t)i;
      return n;
    }
  d = domains_collect (targets, n, &count);
  picks = cv_calloc (want, sizeof *picks);
  quotas_set (d, count, n, want, cv_mix (seed));
  for (size_t i = 0; i < n; i++)
    pick_add (domain_find (d, count, targets[i].domain), picks,
              (pick_t){ .rank = cv_mix (targets[i].name ^ seed),
                        .target = (uint32_t)i });
  for (size_t i = 0; i < count; i++)
    for (size_t k = 0; k < d[i].picks; k++)
      out[chosen++] = picks[d[i].first + k].target;
  free (picks);
  free (d);
  return chosen;
}
