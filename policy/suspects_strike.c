/* Strikes of suspects: what a crash adds to the table, and how reports of the
   same crash are joined.  */

#include <stdlib.h>
#include <string.h>

#include "policy/suspects_table.h"

/* A strike that a crash adds to the content or part OF.  */
typedef struct
{
  const cv_suspect_hash_t *of;
  cv_strike_t strike;
} new_strike_t;

/* That a content or a part is in a request.  */
typedef struct
{
  uint64_t hash;
  size_t request; /* index */
} occurrence_t;

/* What a crash strikes of a request: the lowest hashes, one more than the
   companions that are kept and the one that they are beside.  */
typedef struct
{
  uint64_t hashes[COMPANIONS_MAX + 2];
  uint32_t count;
  bool has_suspects; /* in the request, before the crash */
} struck_t;

/* An engine crash and the requests that may have caused it.  */
typedef struct
{
  const cv_suspect_request_t *requests;
  size_t n;
  int64_t wall_s;
  uint64_t crash;
  bool has_suspects;         /* in REQUESTS, before the crash */
  size_t hash_count;         /* contents and parts in REQUESTS */
  occurrence_t *occurrences; /* HASH_COUNT, by hash */
  struck_t *struck;          /* of each request */
} crash_t;

static void add_unknown (cv_strike_t *kept, cv_strike_t strike);
static void set_common (cv_strike_t *strike);
static void add_companion (cv_strike_t *strike, uint64_t hash);
static void join_companions (cv_strike_t *kept, const cv_strike_t *other);
static void join_reports (cv_strike_t *kept, const cv_strike_t *other);
static void share_companions (cv_suspect_t *e, cv_strike_t *strike);
static void add_known (cv_strike_t *level, cv_strike_t strike);
static bool is_suspect (const cv_suspects_t *s, uint64_t hash, int64_t wall_s);
static bool has_suspect (const cv_suspects_t *s, const cv_suspect_request_t *r,
                         int64_t wall_s);
static bool was_cleared (const cv_suspects_t *s, uint64_t hash);
static bool is_struck (const cv_suspects_t *s, const crash_t *c, size_t request,
                       uint64_t hash);
static void add_strike (cv_suspects_t *s, const cv_suspect_hash_t *h,
                        cv_strike_t strike);
static int compare_hashes (const void *a, const void *b);
static const cv_suspect_hash_t *hash_at (const cv_suspect_request_t *r,
                                         uint32_t i);
static int compare_occurrences (const void *a, const void *b);
static void index_occurrences (crash_t *c);
static void insert_lowest (struck_t *struck, uint64_t hash);
static void note_struck (const cv_suspects_t *s, crash_t *c);
static void crash_init (crash_t *c, const cv_suspects_t *s,
                        const cv_suspect_request_t *requests, size_t n,
                        int64_t wall_s, uint64_t crash);
static void crash_finish (crash_t *c);
static size_t find_occurrence (const crash_t *c, uint64_t hash);
static void add_companions (const crash_t *c, uint64_t hash,
                            cv_strike_t *strike);
static size_t collect_strikes (const cv_suspects_t *s, const crash_t *c,
                               size_t request, new_strike_t *out);
static size_t select_quarantined (const cv_suspects_t *s,
                                  const cv_suspect_request_t *requests,
                                  size_t n, int64_t wall_s,
                                  cv_suspect_request_t *out);

bool
cv_strike_is_newer (const cv_strike_t *a, const cv_strike_t *b)
{
  if (a->wall_s != b->wall_s)
    return a->wall_s > b->wall_s;
  return a->crash > b->crash;
}

/* Keeps the newest strikes for which nothing is known, one for each crash.  */
static void
add_unknown (cv_strike_t *kept, cv_strike_t strike)
{
  for (int i = 0; i < UNKNOWN_KEPT; i++)
    if (kept[i].wall_s != 0 && kept[i].crash == strike.crash)
      {
        if (kept[i].wall_s >= strike.wall_s)
          return;
        memmove (&kept[i], &kept[i + 1],
                 (size_t)(UNKNOWN_KEPT - 1 - i) * sizeof *kept);
        kept[UNKNOWN_KEPT - 1] = (cv_strike_t){ 0 };
        break;
      }
  for (int i = 0; i < UNKNOWN_KEPT; i++)
    if (!cv_strike_is_newer (&kept[i], &strike))
      {
        cv_strike_t other = kept[i];

        kept[i] = strike;
        strike = other;
      }
}

/* Too many companions: the strike tells nothing.  */
static void
set_common (cv_strike_t *strike)
{
  strike->is_common = true;
  strike->companion_count = 0;
  memset (strike->companions, 0, sizeof strike->companions);
}

static void
add_companion (cv_strike_t *strike, uint64_t hash)
{
  if (strike->is_common
      || cv_suspect_has_hash (strike->companions, strike->companion_count,
                              hash))
    return;
  if (strike->companion_count == COMPANIONS_MAX)
    {
      set_common (strike);
      return;
    }
  strike->companions[strike->companion_count++] = hash;
  qsort (strike->companions, strike->companion_count, sizeof (uint64_t),
         compare_hashes);
}

static void
join_companions (cv_strike_t *kept, const cv_strike_t *other)
{
  if (other->is_common)
    set_common (kept);
  for (uint32_t i = 0; i < other->companion_count; i++)
    add_companion (kept, other->companions[i]);
}

/* Joins two reports of the same crash, level and time.  */
static void
join_reports (cv_strike_t *kept, const cv_strike_t *other)
{
  kept->was_suspect |= other->was_suspect;
  if (other->source > kept->source)
    kept->source = other->source;
  join_companions (kept, other);
}

/* Joins the companions of STRIKE and of the reports of its crash at all levels.
   Gateways that knew of different numbers of strikes report a crash at
   different levels, and a later crash may displace one of the reports.  */
static void
share_companions (cv_suspect_t *e, cv_strike_t *strike)
{
  for (int i = 0; i < KNOWN_KEPT; i++)
    if (e->strike[i].wall_s != 0 && e->strike[i].crash == strike->crash)
      {
        join_companions (&e->strike[i], strike);
        join_companions (strike, &e->strike[i]);
      }
}

/* Adds STRIKE to its level, which is sorted, the newest first.  */
static void
add_known (cv_strike_t *level, cv_strike_t strike)
{
  int i;

  for (i = 0; i < LEVEL_KEPT - 1; i++)
    if (level[i].wall_s != 0 && level[i].crash == strike.crash)
      break;
  if (level[i].crash == strike.crash && level[i].wall_s == strike.wall_s)
    {
      join_reports (&level[i], &strike);
      return;
    }
  if (!cv_strike_is_newer (&strike, &level[i]))
    return;
  for (; i > 0 && cv_strike_is_newer (&strike, &level[i - 1]); i--)
    level[i] = level[i - 1];
  level[i] = strike;
}

void
cv_suspect_add (cv_suspect_t *e, cv_strike_t strike)
{
  if (strike.seen == CV_SEEN_ALL)
    {
      strike.was_suspect = false;
      add_unknown (&e->strike[KNOWN_KEPT], strike);
      return;
    }
  if (strike.wall_s == 0)
    return;
  if (strike.seen >= STRIKE_LEVELS)
    strike.seen = STRIKE_LEVELS - 1;
  share_companions (e, &strike);
  add_known (&e->strike[strike.seen * LEVEL_KEPT], strike);
}

static bool
is_suspect (const cv_suspects_t *s, uint64_t hash, int64_t wall_s)
{
  return cv_suspects_state (s, hash, wall_s) != CV_CONTENT_CLEAR;
}

/* Whether the content or a part of R is suspect.  */
static bool
has_suspect (const cv_suspects_t *s, const cv_suspect_request_t *r,
             int64_t wall_s)
{
  for (uint32_t i = 0; i <= r->part_count; i++)
    if (is_suspect (s, hash_at (r, i)->hash, wall_s))
      return true;
  return false;
}

static bool
was_cleared (const cv_suspects_t *s, uint64_t hash)
{
  const cv_suspect_t *e = cv_suspect_find (s, hash);

  return e != NULL && e->cleared > 0;
}

/* Whether the crash C is a strike of HASH, the content or a part of REQUEST: it
   was suspect already, or nothing was.  What is beside a suspect in a request
   is struck too, as the suspect may have become one for being beside it, unless
   it has ever completed.  */
static bool
is_struck (const cv_suspects_t *s, const crash_t *c, size_t request,
           uint64_t hash)
{
  return !c->has_suspects || is_suspect (s, hash, c->wall_s)
         || (!was_cleared (s, hash) && c->struck[request].has_suspects);
}

static void
add_strike (cv_suspects_t *s, const cv_suspect_hash_t *h, cv_strike_t strike)
{
  cv_suspect_t *e = cv_suspect_get (s, h->hash);

  strike.seen = h->seen;
  /* A strike in the same second as the newest cleared one counts too.  */
  if (strike.wall_s <= e->cleared)
    strike.wall_s = e->cleared + 1;
  cv_suspect_add (e, strike);
  cv_suspect_count (e);
}

static int
compare_hashes (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return (*x > *y) - (*x < *y);
}

/* The content (I 0) or a part (I from 1 on) of R.  */
static const cv_suspect_hash_t *
hash_at (const cv_suspect_request_t *r, uint32_t i)
{
  return i == 0 ? &r->content : &r->parts[i - 1];
}

static int
compare_occurrences (const void *a, const void *b)
{
  const occurrence_t *x = a;
  const occurrence_t *y = b;

  if (x->hash != y->hash)
    return x->hash > y->hash ? 1 : -1;
  return (x->request > y->request) - (x->request < y->request);
}

static void
index_occurrences (crash_t *c)
{
  size_t n = 0;

  for (size_t i = 0; i < c->n; i++)
    c->hash_count += c->requests[i].part_count + 1;
  c->occurrences = cv_calloc (c->hash_count + 1, sizeof *c->occurrences);
  for (size_t i = 0; i < c->n; i++)
    for (uint32_t k = 0; k <= c->requests[i].part_count; k++)
      c->occurrences[n++]
          = (occurrence_t){ hash_at (&c->requests[i], k)->hash, i };
  qsort (c->occurrences, n, sizeof *c->occurrences, compare_occurrences);
}

static void
insert_lowest (struck_t *struck, uint64_t hash)
{
  const uint32_t max = sizeof struck->hashes / sizeof struck->hashes[0];
  uint32_t i;

  if (cv_suspect_has_hash (struck->hashes, struck->count, hash)
      || (struck->count == max && hash >= struck->hashes[max - 1]))
    return;
  if (struck->count < max)
    struck->count++;
  for (i = struck->count - 1; i > 0 && struck->hashes[i - 1] > hash; i--)
    struck->hashes[i] = struck->hashes[i - 1];
  struck->hashes[i] = hash;
}

static void
note_struck (const cv_suspects_t *s, crash_t *c)
{
  c->struck = cv_calloc (c->n + 1, sizeof *c->struck);
  for (size_t i = 0; i < c->n; i++)
    {
      c->struck[i].has_suspects = has_suspect (s, &c->requests[i], c->wall_s);
      c->has_suspects |= c->struck[i].has_suspects;
    }
  for (size_t i = 0; i < c->n; i++)
    for (uint32_t k = 0; k <= c->requests[i].part_count; k++)
      {
        uint64_t hash = hash_at (&c->requests[i], k)->hash;

        if (is_struck (s, c, i, hash))
          insert_lowest (&c->struck[i], hash);
      }
}

static void
crash_init (crash_t *c, const cv_suspects_t *s,
            const cv_suspect_request_t *requests, size_t n, int64_t wall_s,
            uint64_t crash)
{
  *c = (crash_t){
    .requests = requests, .n = n, .wall_s = wall_s, .crash = crash
  };
  index_occurrences (c);
  note_struck (s, c);
}

static void
crash_finish (crash_t *c)
{
  free (c->occurrences);
  free (c->struck);
}

/* The first occurrence of HASH, which has one.  */
static size_t
find_occurrence (const crash_t *c, uint64_t hash)
{
  size_t low = 0;
  size_t high = c->hash_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (c->occurrences[middle].hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Adds to STRIKE what is beside HASH in the requests with it: all parts, as one
   that is no suspect here may be one at another gateway, and struck contents.
   A prompt of many parts does not make each of them a common one.  */
static void
add_companions (const crash_t *c, uint64_t hash, cv_strike_t *strike)
{
  size_t first = find_occurrence (c, hash);
  size_t end = first;
  bool is_in_several;

  while (end < c->hash_count && c->occurrences[end].hash == hash)
    end++;
  is_in_several
      = c->occurrences[end - 1].request != c->occurrences[first].request;
  for (size_t i = first; i < end; i++)
    {
      const struck_t *struck = &c->struck[c->occurrences[i].request];

      for (uint32_t k = 0; k < struck->count; k++)
        if (struck->hashes[k] != hash
            && (is_in_several || strike->companion_count < COMPANIONS_MAX))
          add_companion (strike, struck->hashes[k]);
    }
}

/* Collects the strikes of REQUEST before any is added, since they depend on
   what was suspect before the crash.  */
static size_t
collect_strikes (const cv_suspects_t *s, const crash_t *c, size_t request,
                 new_strike_t *out)
{
  const cv_suspect_request_t *r = &c->requests[request];
  size_t n = 0;

  for (uint32_t i = 0; i <= r->part_count; i++)
    {
      const cv_suspect_hash_t *h = hash_at (r, i);
      cv_strike_t strike
          = { .wall_s = c->wall_s,
              .crash = c->crash,
              .was_suspect
              = c->has_suspects && is_suspect (s, h->hash, c->wall_s),
              .source = i > 0 ? r->content.hash : 0 };

      if (!is_struck (s, c, request, h->hash))
        continue;
      add_companions (c, h->hash, &strike);
      out[n++] = (new_strike_t){ h, strike };
    }
  return n;
}

/* Copies the quarantined ones of the N requests to OUT: they explain the crash,
   so that the others are no suspects for it.  */
static size_t
select_quarantined (const cv_suspects_t *s,
                    const cv_suspect_request_t *requests, size_t n,
                    int64_t wall_s, cv_suspect_request_t *out)
{
  size_t count = 0;

  for (size_t i = 0; i < n; i++)
    if (cv_suspects_request_state (s, &requests[i], wall_s)
        == CV_CONTENT_QUARANTINED)
      out[count++] = requests[i];
  return count;
}

void
cv_suspects_strike (cv_suspects_t *s, const cv_suspect_request_t *requests,
                    size_t n, int64_t wall_s, uint64_t crash)
{
  cv_suspect_request_t *quarantined = cv_calloc (n + 1, sizeof *quarantined);
  size_t quarantined_count
      = select_quarantined (s, requests, n, wall_s, quarantined);
  new_strike_t *strikes;
  size_t count = 0;
  crash_t c;

  crash_init (&c, s, quarantined_count > 0 ? quarantined : requests,
              quarantined_count > 0 ? quarantined_count : n, wall_s, crash);
  strikes = cv_calloc (c.hash_count + 1, sizeof *strikes);
  for (size_t i = 0; i < c.n; i++)
    count += collect_strikes (s, &c, i, strikes + count);
  for (size_t i = 0; i < count; i++)
    add_strike (s, strikes[i].of, strikes[i].strike);
  cv_suspects_count_named (s);
  crash_finish (&c);
  free (strikes);
  free (quarantined);
}

void
cv_suspect_join (cv_suspects_t *s, const cv_suspect_t *from)
{
  cv_suspect_t *e;

  if (s->count == SUSPECTS_MAX && cv_suspect_find (s, from->hash) == NULL
      && cv_suspect_is_less_important (
          from, &s->entries[cv_suspect_least_important (s)]))
    return;
  e = cv_suspect_get (s, from->hash);
  for (int i = 0; i < STRIKES_KEPT; i++)
    cv_suspect_add (e, from->strike[i]);
  cv_suspect_join_claim (e, from->claim);
  if (from->cleared > e->cleared)
    e->cleared = from->cleared;
  cv_suspect_count (e);
}
