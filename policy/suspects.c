/* Suspect content: content that was in flight when an engine crashed.  Each
   entry holds its strikes, each with the time and the identity of a crash.
   Merging two documents takes the union of the strikes, so that it is
   idempotent and independent of order.  Crashes in the same second are
   distinguished by their identity and count as two strikes.  */

#include <inttypes.h>
#include <stdlib.h>

#include <json-c/json.h>

#include "policy/map.h"
#include "policy/policy.h"

#define SUSPECTS_MAX 1024
/* Time for which a strike counts.  */
#define STRIKE_LIFETIME_S (6 * 3600)
/* Bits of a version that hold a hash of the body.  */
#define VERSION_HASH_BITS 16

/* One engine crash.  */
typedef struct
{
  int64_t wall_s; /* 0: none */
  uint64_t crash; /* its identity; stored under `deaths` */
} strike_t;

typedef struct
{
  uint64_t hash;
  strike_t strike[CV_SUSPECT_STRIKES]; /* newest first */
  int64_t cleared; /* time of the newest cleared strike, seconds; strikes up to
                      then do not count */
} suspect_t;

struct cv_suspects_t
{
  cv_map_t index;
  suspect_t entries[SUSPECTS_MAX];
  uint32_t count;
};

static int count_strikes (const suspect_t *e, int64_t wall_s);
static suspect_t *suspect_get (cv_suspects_t *s, uint64_t hash);
static bool is_older (int64_t strike, uint64_t hash, const suspect_t *e);
static uint32_t oldest_entry (const cv_suspects_t *s);
static bool is_newer (const strike_t *a, const strike_t *b);
static void strike_add (suspect_t *e, strike_t strike);
static int compare_hashes (const void *a, const void *b);
static bool merge_strikes (suspect_t *e, json_object *list,
                           json_object *deaths);
static bool merge_entry (cv_suspects_t *s, json_object *item);

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

static int
count_strikes (const suspect_t *e, int64_t wall_s)
{
  int n = 0;

  for (int i = 0; i < CV_SUSPECT_STRIKES; i++)
    if (e->strike[i].wall_s > e->cleared
        && wall_s - e->strike[i].wall_s < STRIKE_LIFETIME_S)
      n++;
  return n;
}

cv_content_state_t
cv_suspects_state (const cv_suspects_t *s, uint64_t content_hash,
                   int64_t wall_s)
{
  uint32_t i = cv_map_get (&s->index, content_hash);
  int n = i == CV_MAP_NONE ? 0 : count_strikes (&s->entries[i], wall_s);

  if (n >= CV_SUSPECT_STRIKES)
    return CV_CONTENT_QUARANTINED;
  return n > 0 ? CV_CONTENT_SUSPECT : CV_CONTENT_CLEAR;
}

/* Order in which entries are replaced when the table is full.  It is total, so
   that merges in any order keep the same entries.  */
static bool
is_older (int64_t strike, uint64_t hash, const suspect_t *e)
{
  return strike < e->strike[0].wall_s
         || (strike == e->strike[0].wall_s && hash < e->hash);
}

static uint32_t
oldest_entry (const cv_suspects_t *s)
{
  uint32_t i = 0;

  for (uint32_t k = 1; k < s->count; k++)
    if (is_older (s->entries[k].strike[0].wall_s, s->entries[k].hash,
                  &s->entries[i]))
      i = k;
  return i;
}

/* Finds or makes the entry of HASH, replacing the oldest in a full table.  */
static suspect_t *
suspect_get (cv_suspects_t *s, uint64_t hash)
{
  uint32_t i = cv_map_get (&s->index, hash);

  if (i != CV_MAP_NONE)
    return &s->entries[i];
  if (s->count < SUSPECTS_MAX)
    i = s->count++;
  else
    {
      i = oldest_entry (s);
      cv_map_remove (&s->index, s->entries[i].hash);
    }
  s->entries[i] = (suspect_t){ .hash = hash };
  cv_map_put (&s->index, hash, i);
  return &s->entries[i];
}

static bool
is_newer (const strike_t *a, const strike_t *b)
{
  if (a->wall_s != b->wall_s)
    return a->wall_s > b->wall_s;
  return a->crash > b->crash;
}

/* Keeps the newest strikes, one for each crash.  */
static void
strike_add (suspect_t *e, strike_t strike)
{
  for (int i = 0; i < CV_SUSPECT_STRIKES; i++)
    {
      strike_t other = e->strike[i];

      if (other.wall_s == strike.wall_s && other.crash == strike.crash)
        return;
      if (is_newer (&other, &strike))
        continue;
      e->strike[i] = strike;
      strike = other;
    }
}

void
cv_suspects_strike (cv_suspects_t *s, const uint64_t *hashes, size_t n,
                    int64_t wall_s, uint64_t crash)
{
  size_t suspect_count = 0;

  for (size_t i = 0; i < n; i++)
    suspect_count
        += cv_suspects_state (s, hashes[i], wall_s) != CV_CONTENT_CLEAR;
  for (size_t i = 0; i < n; i++)
    if (suspect_count == 0
        || cv_suspects_state (s, hashes[i], wall_s) != CV_CONTENT_CLEAR)
      {
        suspect_t *e = suspect_get (s, hashes[i]);

        /* A strike in the same second as the newest cleared one counts too.  */
        strike_add (
            e,
            (strike_t){ .wall_s = wall_s > e->cleared ? wall_s : e->cleared + 1,
                        .crash = crash });
      }
}

void
cv_suspects_clear (cv_suspects_t *s, uint64_t content_hash)
{
  uint32_t i = cv_map_get (&s->index, content_hash);

  if (i != CV_MAP_NONE)
    s->entries[i].cleared = s->entries[i].strike[0].wall_s;
}

static int
compare_hashes (const void *a, const void *b)
{
  const suspect_t *const *x = a;
  const suspect_t *const *y = b;

  return ((*x)->hash > (*y)->hash) - ((*x)->hash < (*y)->hash);
}

/* Sorts the entries, so that equal tables give equal documents.  */
void
cv_suspects_dump (const cv_suspects_t *s, cv_buf_t *out)
{
  const suspect_t **sorted
      = cv_calloc (s->count + 1, sizeof (const suspect_t *));

  for (uint32_t i = 0; i < s->count; i++)
    sorted[i] = &s->entries[i];
  qsort (sorted, s->count, sizeof (const suspect_t *), compare_hashes);
  cv_buf_printf (out, "{\"suspects\":[");
  for (uint32_t i = 0; i < s->count; i++)
    {
      const suspect_t *e = sorted[i];

      cv_buf_printf (out,
                     "%s{\"hash\":\"%016" PRIx64 "\",\"strikes\":[%" PRId64
                     ",%" PRId64 "],\"deaths\":[\"%016" PRIx64
                     "\",\"%016" PRIx64 "\"],\"cleared\":%" PRId64 "}",
                     i ? "," : "", e->hash, e->strike[0].wall_s,
                     e->strike[1].wall_s, e->strike[0].crash,
                     e->strike[1].crash, e->cleared);
    }
  cv_buf_printf (out, "]}");
  free (sorted);
}

/* Adds the strikes with the times in LIST and the crashes in DEATHS, which have
   the same order.  */
static bool
merge_strikes (suspect_t *e, json_object *list, json_object *deaths)
{
  size_t n = json_object_array_length (list);

  if (json_object_array_length (deaths) != n)
    return false;
  for (size_t i = 0; i < n; i++)
    {
      json_object *death = json_object_array_get_idx (deaths, i);
      strike_t strike;
      const char *text;
      char *end;

      if (!json_object_is_type (death, json_type_string))
        return false;
      text = json_object_get_string (death);
      strike.wall_s
          = json_object_get_int64 (json_object_array_get_idx (list, i));
      strike.crash = strtoull (text, &end, 16);
      if (end == text || *end != '\0')
        return false;
      strike_add (e, strike);
    }
  return true;
}

static bool
merge_entry (cv_suspects_t *s, json_object *item)
{
  json_object *hash;
  json_object *list;
  json_object *deaths;
  json_object *cleared;
  const char *text;
  char *end;
  uint64_t h;
  suspect_t *e;
  int64_t newest = 0;

  if (!json_object_object_get_ex (item, "hash", &hash)
      || !json_object_object_get_ex (item, "strikes", &list)
      || !json_object_object_get_ex (item, "deaths", &deaths)
      || !json_object_object_get_ex (item, "cleared", &cleared)
      || !json_object_is_type (hash, json_type_string)
      || !json_object_is_type (list, json_type_array)
      || !json_object_is_type (deaths, json_type_array))
    return false;
  text = json_object_get_string (hash);
  h = strtoull (text, &end, 16);
  if (end == text || *end != '\0')
    return false;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      int64_t t = json_object_get_int64 (json_object_array_get_idx (list, i));

      newest = t > newest ? t : newest;
    }
  if (s->count == SUSPECTS_MAX && cv_map_get (&s->index, h) == CV_MAP_NONE
      && is_older (newest, h, &s->entries[oldest_entry (s)]))
    return true;
  e = suspect_get (s, h);
  if (!merge_strikes (e, list, deaths))
    return false;
  if (json_object_get_int64 (cleared) > e->cleared)
    e->cleared = json_object_get_int64 (cleared);
  return true;
}

bool
cv_suspects_merge (cv_suspects_t *s, cv_slice_t json, cv_error_t *err)
{
  json_tokener *tok = json_tokener_new ();
  json_object *root = NULL;
  json_object *list;
  bool ok = false;

  if (tok != NULL && json.n < INT32_MAX)
    root = json_tokener_parse_ex (tok, json.p, (int)json.n);
  if (root != NULL && json_object_object_get_ex (root, "suspects", &list)
      && json_object_is_type (list, json_type_array))
    {
      ok = true;
      for (size_t i = 0; i < json_object_array_length (list); i++)
        ok = merge_entry (s, json_object_array_get_idx (list, i)) && ok;
    }
  json_object_put (root);
  if (tok != NULL)
    json_tokener_free (tok);
  return ok
         || cv_fail (err, CV_ERR_INVALID,
                     "suspects: not a valid document, or an entry is invalid "
                     "(the valid ones are merged)");
}

uint64_t
cv_suspects_version (uint64_t newest, cv_slice_t body)
{
  uint64_t mask = (1u << VERSION_HASH_BITS) - 1;
  uint64_t counter = (newest >> VERSION_HASH_BITS) + 1;

  return counter << VERSION_HASH_BITS | (cv_hash (body.p, body.n, 0) & mask);
}
