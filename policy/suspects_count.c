/* Which strikes of an entry count.  At each level (the number of strikes that
   was known when the attempt was sent) at most one does; further ones were at
   targets that ended at the same time.  A crash counts once, and so does a
   content whose part the entry is.  */

#include <stdlib.h>

#include "policy/suspects_table.h"

/* An entry that has a strike of a crash.  */
typedef struct
{
  uint64_t crash;
  const cv_suspect_t *entry;
} crash_entry_t;

/* The entries of a table by crash.  */
typedef struct
{
  const cv_suspects_t *table;
  crash_entry_t *entries;
  size_t n;
} crash_index_t;

static int compare_crashes (const void *a, const void *b);
static void crash_index_init (crash_index_t *index, const cv_suspects_t *s);
static size_t find_crash (const crash_index_t *index, uint64_t crash);
static bool is_ambiguous (const crash_index_t *index, const cv_suspect_t *e,
                          int i);
static bool may_have_been_beside (const cv_suspect_t *e, int i, uint64_t hash);
static bool was_suspect_at (const cv_suspect_t *e, uint64_t crash);
static bool is_suspect_elsewhere (const cv_suspects_t *s, uint64_t hash,
                                  uint64_t crash);
static bool names_another (const cv_suspects_t *s, const cv_suspect_t *other,
                           const cv_suspect_t *e, int i);
static bool is_candidate (const crash_index_t *index, const cv_suspect_t *e,
                          int i, uint32_t chosen);
static bool has_source_below (const cv_suspect_t *e, int i);
static uint32_t choose_strikes (const crash_index_t *index,
                                const cv_suspect_t *e);
static bool was_again (const cv_suspect_t *e);

bool
cv_strike_is_current (const cv_suspect_t *e, int i)
{
  return e->strike[i].wall_s > e->cleared;
}

bool
cv_strike_counts (const cv_suspect_t *e, int i)
{
  return (e->counted >> i & 1) != 0;
}

uint32_t
cv_suspect_count_strikes (const cv_suspect_t *e)
{
  return (uint32_t)__builtin_popcount (e->counted);
}

/* Gateways that knew of different numbers of strikes report the same crash at
   different levels.  */
bool
cv_suspect_was_beside (const cv_suspect_t *e, int i, uint64_t companion)
{
  for (int k = 0; k < STRIKES_KEPT; k++)
    if (cv_strike_is_current (e, k) && e->strike[k].crash == e->strike[i].crash
        && cv_suspect_has_hash (e->strike[k].companions,
                                e->strike[k].companion_count, companion))
      return true;
  return false;
}

/* The same as far as it is known: of a long prompt not all companions are
   kept.  */
static bool
may_have_been_beside (const cv_suspect_t *e, int i, uint64_t hash)
{
  for (int k = 0; k < STRIKES_KEPT; k++)
    if (cv_strike_is_current (e, k) && e->strike[k].crash == e->strike[i].crash
        && e->strike[k].companion_count == COMPANIONS_MAX)
      return true;
  return cv_suspect_was_beside (e, i, hash);
}

/* Whether E was suspect before CRASH, which is a strike of it.  */
static bool
was_suspect_at (const cv_suspect_t *e, uint64_t crash)
{
  for (int i = 0; i < KNOWN_KEPT; i++)
    if (e->strike[i].crash == crash && e->strike[i].was_suspect
        && cv_strike_is_current (e, i))
      return true;
  return false;
}

/* Whether HASH is suspect for another crash than CRASH.  */
static bool
is_suspect_elsewhere (const cv_suspects_t *s, uint64_t hash, uint64_t crash)
{
  const cv_suspect_t *e = cv_suspect_find (s, hash);

  for (int i = 0; e != NULL && i < STRIKES_KEPT; i++)
    if (cv_strike_counts (e, i) && e->strike[i].crash != crash)
      return true;
  return false;
}

/* Whether OTHER was at the crash of strike I of E with a suspect, itself or a
   companion, that was not in a request with E.  */
static bool
names_another (const cv_suspects_t *s, const cv_suspect_t *other,
               const cv_suspect_t *e, int i)
{
  uint64_t crash = e->strike[i].crash;

  if (other->was_again && was_suspect_at (other, crash)
      && !may_have_been_beside (e, i, other->hash))
    return true;
  for (int k = 0; k < KNOWN_KEPT; k++)
    {
      const cv_strike_t *strike = &other->strike[k];

      if (strike->crash != crash || !cv_strike_is_current (other, k))
        continue;
      for (uint32_t n = 0; n < strike->companion_count; n++)
        if (strike->companions[n] != e->hash
            && !may_have_been_beside (e, i, strike->companions[n])
            && is_suspect_elsewhere (s, strike->companions[n], crash))
          return true;
    }
  return false;
}

static int
compare_crashes (const void *a, const void *b)
{
  const crash_entry_t *x = a;
  const crash_entry_t *y = b;

  return (x->crash > y->crash) - (x->crash < y->crash);
}

/* The memory of the entries belongs to the caller.  */
static void
crash_index_init (crash_index_t *index, const cv_suspects_t *s)
{
  index->table = s;
  index->entries
      = cv_calloc ((size_t)s->count * KNOWN_KEPT + 1, sizeof *index->entries);
  index->n = 0;
  for (uint32_t i = 0; i < s->count; i++)
    for (int k = 0; k < KNOWN_KEPT; k++)
      if (cv_strike_is_current (&s->entries[i], k))
        index->entries[index->n++]
            = (crash_entry_t){ s->entries[i].strike[k].crash, &s->entries[i] };
  qsort (index->entries, index->n, sizeof *index->entries, compare_crashes);
}

/* The first place of CRASH, or of the next one.  */
static size_t
find_crash (const crash_index_t *index, uint64_t crash)
{
  size_t low = 0;
  size_t high = index->n;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (index->entries[middle].crash < crash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Whether the crash of strike I of the suspect E may be due to another suspect
   that was at the target in another request.  */
static bool
is_ambiguous (const crash_index_t *index, const cv_suspect_t *e, int i)
{
  const cv_strike_t *strike = &e->strike[i];

  if (strike->seen == 0 || strike->seen == CV_SEEN_ALL)
    return false;
  for (size_t k = find_crash (index, strike->crash);
       k < index->n && index->entries[k].crash == strike->crash; k++)
    if (index->entries[k].entry != e
        && names_another (index->table, index->entries[k].entry, e, i))
      return true;
  return false;
}

/* Whether strike I of E can count beside those CHOSEN.  Without INDEX,
   ambiguous ones do too.  */
static bool
is_candidate (const crash_index_t *index, const cv_suspect_t *e, int i,
              uint32_t chosen)
{
  const cv_strike_t *strike = &e->strike[i];

  if (!cv_strike_is_current (e, i))
    return false;
  for (int k = i + 1; k < STRIKES_KEPT; k++)
    if ((chosen >> k & 1) != 0
        && (e->strike[k].crash == strike->crash
            || (strike->source != 0 && e->strike[k].source == strike->source)))
      return false;
  return index == NULL || !is_ambiguous (index, e, i);
}

/* Whether a lower level has a strike of the same content as strike I.  */
static bool
has_source_below (const cv_suspect_t *e, int i)
{
  for (int k = 0; k < i / LEVEL_KEPT * LEVEL_KEPT; k++)
    if (cv_strike_is_current (e, k)
        && e->strike[k].source == e->strike[i].source)
      return true;
  return false;
}

/* The strikes of E that count, a bit each: from the highest level down, the
   newest candidate, and rather one of a content that no lower level has.  */
static uint32_t
choose_strikes (const crash_index_t *index, const cv_suspect_t *e)
{
  uint32_t chosen = 0;

  for (int i = STRIKES_KEPT - 1; i >= KNOWN_KEPT; i--)
    if (is_candidate (index, e, i, chosen))
      chosen |= 1u << i;
  for (int first = KNOWN_KEPT - LEVEL_KEPT; first >= 0; first -= LEVEL_KEPT)
    {
      int best = -1;

      for (int i = first; i < first + LEVEL_KEPT; i++)
        if (is_candidate (index, e, i, chosen)
            && (best < 0
                || (has_source_below (e, best) && !has_source_below (e, i))))
          best = i;
      if (best >= 0)
        chosen |= 1u << best;
    }
  return chosen;
}

static bool
was_again (const cv_suspect_t *e)
{
  for (int i = 0; i < KNOWN_KEPT; i++)
    if (e->strike[i].was_suspect)
      return true;
  return false;
}

void
cv_suspect_count (cv_suspect_t *e)
{
  e->counted = choose_strikes (NULL, e);
  e->was_again = was_again (e);
}

void
cv_suspects_count_named (cv_suspects_t *s)
{
  crash_index_t index;

  crash_index_init (&index, s);
  for (uint32_t i = 0; i < s->count; i++)
    {
      cv_suspect_t *e = &s->entries[i];
      uint32_t n = cv_suspect_count_strikes (e);

      e->named_count
          = n < CV_SUSPECT_STRIKES
                ? n
                : (uint32_t)__builtin_popcount (choose_strikes (&index, e));
    }
  free (index.entries);
}
