/* Suspect content: content that was in flight when an engine crashed, and the
   parts of its prompt, which stand beside contents in the same table.  Each
   entry holds its strikes, each with the time and the identity of a crash.
   Merging two documents takes the union of the strikes, so that it is
   idempotent and independent of order.  A crash counts once, however many
   reports of it arrive.

   A strike adds to the former ones only as far as they were known when the
   attempt was sent.  Several targets that end at the same time, with copies of
   the same content in flight, are therefore one strike: their end need not have
   to do with it.  */

#include <stdlib.h>

#include "policy/suspects_table.h"

static bool was_always_beside (const cv_suspect_t *e, uint64_t companion);
static bool has_companions (const cv_suspects_t *s, const cv_suspect_t *e,
                            const cv_suspect_request_t *r, int64_t wall_s);
static cv_content_state_t state_in_request (const cv_suspects_t *s,
                                            const cv_suspect_hash_t *h,
                                            const cv_suspect_request_t *r,
                                            int64_t wall_s);
static cv_content_state_t find_worst (const cv_suspects_t *s,
                                      const cv_suspect_request_t *r,
                                      int64_t wall_s, uint64_t *out);

cv_suspects_t *
cv_suspects_new (void)
{
  cv_suspects_t *s = cv_calloc (1, sizeof *s);

  cv_map_init (&s->index);
  return s;
}

void
cv_suspects_free (cv_suspects_t *s)
{
  if (s == NULL)
    return;
  cv_map_finish (&s->index);
  free (s);
}

const cv_suspect_t *
cv_suspect_find (const cv_suspects_t *s, uint64_t hash)
{
  uint32_t i = cv_map_get (&s->index, hash);

  return i == CV_MAP_NONE ? NULL : &s->entries[i];
}

uint32_t
cv_suspects_strikes (const cv_suspects_t *s, uint64_t content_hash,
                     int64_t wall_s)
{
  const cv_suspect_t *e = cv_suspect_find (s, content_hash);
  uint32_t n = e == NULL ? 0 : cv_suspect_count_strikes (e);

  return n < CV_SUSPECT_STRIKES && n > 0
                 && wall_s - cv_suspect_newest_time (e)
                        >= cv_suspect_lifetime (s, e, n)
             ? 0
             : n;
}

cv_content_state_t
cv_suspects_state (const cv_suspects_t *s, uint64_t content_hash,
                   int64_t wall_s)
{
  uint32_t n = cv_suspects_strikes (s, content_hash, wall_s);

  if (n == 0)
    return CV_CONTENT_CLEAR;
  return n >= CV_SUSPECT_STRIKES
                 && cv_suspects_time_left (s, content_hash, wall_s) > 0
                 && cv_suspect_find (s, content_hash)->named_count
                        >= CV_SUSPECT_STRIKES
             ? CV_CONTENT_QUARANTINED
             : CV_CONTENT_SUSPECT;
}

bool
cv_suspect_has_hash (const uint64_t *hashes, uint32_t n, uint64_t hash)
{
  for (uint32_t i = 0; i < n; i++)
    if (hashes[i] == hash)
      return true;
  return false;
}

/* Whether COMPANION was beside the part E at all strikes that tell what was:
   also at those that do not count, as what was not there explains none.  */
static bool
was_always_beside (const cv_suspect_t *e, uint64_t companion)
{
  for (int i = 0; i < STRIKES_KEPT; i++)
    if (cv_strike_is_current (e, i) && !e->strike[i].is_common
        && !cv_suspect_was_beside (e, i, companion))
      return false;
  return true;
}

/* Whether R has all companions of the part E that are suspect themselves.  A
   crash at which E was in too many requests tells nothing of it.  */
static bool
has_companions (const cv_suspects_t *s, const cv_suspect_t *e,
                const cv_suspect_request_t *r, int64_t wall_s)
{
  uint32_t telling = 0;

  for (int i = 0; i < STRIKES_KEPT; i++)
    {
      const cv_strike_t *strike = &e->strike[i];

      if (!cv_strike_is_current (e, i) || strike->is_common)
        continue;
      telling += cv_strike_counts (e, i);
      for (uint32_t k = 0; k < strike->companion_count; k++)
        if (cv_suspects_strikes (s, strike->companions[k], wall_s) > 0
            && was_always_beside (e, strike->companions[k])
            && !cv_suspect_request_has_part (r, strike->companions[k]))
          return false;
    }
  return telling >= CV_SUSPECT_STRIKES;
}

bool
cv_suspect_accuses (const cv_suspects_t *s, uint64_t hash,
                    const cv_suspect_request_t *r, int64_t wall_s)
{
  return hash == r->content.hash
         || has_companions (s, cv_suspect_find (s, hash), r, wall_s);
}

/* The state of H, the content or a part of R, in R.  */
static cv_content_state_t
state_in_request (const cv_suspects_t *s, const cv_suspect_hash_t *h,
                  const cv_suspect_request_t *r, int64_t wall_s)
{
  cv_content_state_t state = cv_suspects_state (s, h->hash, wall_s);

  if (state == CV_CONTENT_QUARANTINED
      && (cv_suspect_is_granted (cv_suspect_find (s, h->hash), h)
          || !cv_suspect_accuses (s, h->hash, r, wall_s)))
    return CV_CONTENT_SUSPECT;
  return state;
}

/* Finds the content or part of R in the worst state, and returns this state. */
static cv_content_state_t
find_worst (const cv_suspects_t *s, const cv_suspect_request_t *r,
            int64_t wall_s, uint64_t *out)
{
  cv_content_state_t worst = state_in_request (s, &r->content, r, wall_s);

  *out = r->content.hash;
  for (uint32_t i = 0; i < r->part_count; i++)
    {
      uint64_t hash = r->parts[i].hash;
      cv_content_state_t state = state_in_request (s, &r->parts[i], r, wall_s);

      if (state < worst
          || (state == worst
              && cv_suspects_strikes (s, hash, wall_s)
                     <= cv_suspects_strikes (s, *out, wall_s)))
        continue;
      worst = state;
      *out = hash;
    }
  return worst;
}

cv_content_state_t
cv_suspects_request_state (const cv_suspects_t *s,
                           const cv_suspect_request_t *r, int64_t wall_s)
{
  uint64_t worst;

  return s->count == 0 ? CV_CONTENT_CLEAR : find_worst (s, r, wall_s, &worst);
}

uint64_t
cv_suspects_worst (const cv_suspects_t *s, const cv_suspect_request_t *r,
                   int64_t wall_s)
{
  uint64_t worst;

  (void)find_worst (s, r, wall_s, &worst);
  return worst;
}

int64_t
cv_suspects_time_left (const cv_suspects_t *s, uint64_t content_hash,
                       int64_t wall_s)
{
  const cv_suspect_t *e = cv_suspect_find (s, content_hash);
  uint32_t n = e == NULL ? 0 : cv_suspect_count_strikes (e);
  int64_t lifetime;
  int64_t age;

  if (n == 0)
    return 0;
  lifetime = cv_suspect_lifetime (s, e, n);
  age = wall_s - cv_suspect_newest_time (e);
  return age >= lifetime         ? 0
         : lifetime == INT64_MAX ? lifetime
                                 : lifetime - age;
}

int64_t
cv_suspects_newest (const cv_suspects_t *s, uint64_t content_hash)
{
  const cv_suspect_t *e = cv_suspect_find (s, content_hash);

  return e == NULL || cv_suspect_count_strikes (e) == 0
             ? 0
             : cv_suspect_newest_time (e);
}

size_t
cv_suspects_count (const cv_suspects_t *s)
{
  return s->count;
}

uint64_t
cv_suspects_hash (const cv_suspects_t *s, size_t i)
{
  return s->entries[i].hash;
}

/* Order in which entries are replaced when the table is full: first those with
   the fewest strikes, so that content that was in flight at one crash only
   cannot displace what is quarantined.  The order is total, so that merges in
   any order keep the same entries.  */
bool
cv_suspect_is_less_important (const cv_suspect_t *a, const cv_suspect_t *b)
{
  uint32_t n = cv_suspect_count_strikes (a);
  uint32_t m = cv_suspect_count_strikes (b);

  if (n != m)
    return n < m;
  if (cv_suspect_newest_time (a) != cv_suspect_newest_time (b))
    return cv_suspect_newest_time (a) < cv_suspect_newest_time (b);
  return a->hash < b->hash;
}

uint32_t
cv_suspect_least_important (const cv_suspects_t *s)
{
  uint32_t i = 0;

  for (uint32_t k = 1; k < s->count; k++)
    if (cv_suspect_is_less_important (&s->entries[k], &s->entries[i]))
      i = k;
  return i;
}

/* Finds or makes the entry of HASH, replacing the least important one in a full
   table.  */
cv_suspect_t *
cv_suspect_get (cv_suspects_t *s, uint64_t hash)
{
  uint32_t i = cv_map_get (&s->index, hash);

  if (i != CV_MAP_NONE)
    return &s->entries[i];
  if (s->count < SUSPECTS_MAX)
    i = s->count++;
  else
    {
      i = cv_suspect_least_important (s);
      cv_map_remove (&s->index, s->entries[i].hash);
    }
  s->entries[i] = (cv_suspect_t){ .hash = hash };
  cv_map_put (&s->index, hash, i);
  return &s->entries[i];
}

void
cv_suspects_clear (cv_suspects_t *s, uint64_t content_hash)
{
  uint32_t i = cv_map_get (&s->index, content_hash);

  if (i == CV_MAP_NONE)
    return;
  s->entries[i].cleared = cv_suspect_newest_time (&s->entries[i]);
  cv_suspect_count (&s->entries[i]);
  cv_suspects_count_named (s);
}

bool
cv_suspects_is_lasting (const void *owner, const cv_suspects_t *s,
                        uint64_t hash)
{
  const cv_suspect_t *e = cv_suspect_find (s, hash);

  (void)owner;
  if (e == NULL)
    return false;
  for (int i = (CV_SUSPECT_STRIKES - 1) * LEVEL_KEPT; i < KNOWN_KEPT; i++)
    if (e->strike[i].wall_s != 0)
      return true;
  return e->strike[STRIKES_KEPT - 1].wall_s != 0;
}
