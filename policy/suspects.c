/* Suspects: contents that were aboard when an engine died.  A content keeps
   the times of its strikes; the union of two documents is the union of these
   times, so that merging is idempotent and works in any order.  */

#include <inttypes.h>
#include <stdlib.h>

#include <json-c/json.h>

#include "policy/map.h"
#include "policy/policy.h"

#define SUSPECTS_MAX 1024
/* A strike counts for so long.  */
#define STRIKE_LIFETIME_S (6 * 3600)
/* Bits of the content's hash in a version.  */
#define VERSION_HASH_BITS 16

typedef struct
{
  uint64_t hash;
  int64_t strike[CV_SUSPECT_STRIKES]; /* newest first, 0: none */
  int64_t cleared;                    /* strikes up to here do not count */
} suspect_t;

struct cv_suspects_t
{
  cv_map_t index;
  suspect_t entry[SUSPECTS_MAX];
  uint32_t count;
};

static int strikes (const suspect_t *e, int64_t wall_s);
static suspect_t *suspect_get (cv_suspects_t *s, uint64_t hash);
static bool older (int64_t strike, uint64_t hash, const suspect_t *e);
static uint32_t oldest (const cv_suspects_t *s);
static int by_hash (const void *a, const void *b);
static void strike_add (suspect_t *e, int64_t wall_s);
static bool merge_one (cv_suspects_t *s, json_object *item);

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
strikes (const suspect_t *e, int64_t wall_s)
{
  int n = 0;

  for (int i = 0; i < CV_SUSPECT_STRIKES; i++)
    if (e->strike[i] > e->cleared && wall_s - e->strike[i] < STRIKE_LIFETIME_S)
      n++;
  return n;
}

cv_content_state_t
cv_suspects_state (const cv_suspects_t *s, uint64_t content_hash,
                   int64_t wall_s)
{
  uint32_t i = cv_map_get (&s->index, content_hash);
  int n = i == CV_MAP_NONE ? 0 : strikes (&s->entry[i], wall_s);

  if (n >= CV_SUSPECT_STRIKES)
    return CV_CONTENT_CONDEMNED;
  return n > 0 ? CV_CONTENT_SUSPECT : CV_CONTENT_CLEAR;
}

/* The order in which entries give way when the table is full; it is total, so
   that merges in any order keep the same ones.  */
static bool
older (int64_t strike, uint64_t hash, const suspect_t *e)
{
  return strike < e->strike[0] || (strike == e->strike[0] && hash < e->hash);
}

static uint32_t
oldest (const cv_suspects_t *s)
{
  uint32_t i = 0;

  for (uint32_t k = 1; k < s->count; k++)
    if (older (s->entry[k].strike[0], s->entry[k].hash, &s->entry[i]))
      i = k;
  return i;
}

/* Find or make the entry of HASH; when full, the oldest gives way.  */
static suspect_t *
suspect_get (cv_suspects_t *s, uint64_t hash)
{
  uint32_t i = cv_map_get (&s->index, hash);

  if (i != CV_MAP_NONE)
    return &s->entry[i];
  if (s->count < SUSPECTS_MAX)
    i = s->count++;
  else
    {
      i = oldest (s);
      cv_map_remove (&s->index, s->entry[i].hash);
    }
  s->entry[i] = (suspect_t){ .hash = hash };
  cv_map_put (&s->index, hash, i);
  return &s->entry[i];
}

/* Keep the newest strikes, each time once.  */
static void
strike_add (suspect_t *e, int64_t wall_s)
{
  for (int i = 0; i < CV_SUSPECT_STRIKES; i++)
    {
      int64_t other = e->strike[i];

      if (other == wall_s)
        return;
      if (wall_s < other)
        continue;
      e->strike[i] = wall_s;
      wall_s = other;
    }
}

void
cv_suspects_strike (cv_suspects_t *s, const uint64_t *hashes, size_t n,
                    int64_t wall_s)
{
  size_t culprits = 0;

  for (size_t i = 0; i < n; i++)
    culprits += cv_suspects_state (s, hashes[i], wall_s) != CV_CONTENT_CLEAR;
  for (size_t i = 0; i < n; i++)
    if (culprits == 0
        || cv_suspects_state (s, hashes[i], wall_s) != CV_CONTENT_CLEAR)
      strike_add (suspect_get (s, hashes[i]), wall_s);
}

void
cv_suspects_clear (cv_suspects_t *s, uint64_t content_hash)
{
  uint32_t i = cv_map_get (&s->index, content_hash);

  if (i != CV_MAP_NONE)
    s->entry[i].cleared = s->entry[i].strike[0];
}

static int
by_hash (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return (*x > *y) - (*x < *y);
}

/* Sorted, so that equal tables give equal documents.  */
void
cv_suspects_dump (const cv_suspects_t *s, cv_buf_t *out)
{
  uint64_t sorted[SUSPECTS_MAX] = { 0 };

  for (uint32_t i = 0; i < s->count; i++)
    sorted[i] = s->entry[i].hash;
  qsort (sorted, s->count, sizeof sorted[0], by_hash);
  cv_buf_printf (out, "{\"suspects\":[");
  for (uint32_t i = 0; i < s->count; i++)
    {
      const suspect_t *e = &s->entry[cv_map_get (&s->index, sorted[i])];

      cv_buf_printf (out,
                     "%s{\"hash\":\"%016" PRIx64 "\",\"strikes\":[%" PRId64
                     ",%" PRId64 "],\"cleared\":%" PRId64 "}",
                     i ? "," : "", e->hash, e->strike[0], e->strike[1],
                     e->cleared);
    }
  cv_buf_printf (out, "]}");
}

static bool
merge_one (cv_suspects_t *s, json_object *item)
{
  json_object *hash;
  json_object *list;
  json_object *cleared;
  const char *text;
  char *end;
  uint64_t h;
  suspect_t *e;
  int64_t newest = 0;

  if (!json_object_object_get_ex (item, "hash", &hash)
      || !json_object_object_get_ex (item, "strikes", &list)
      || !json_object_object_get_ex (item, "cleared", &cleared)
      || !json_object_is_type (hash, json_type_string)
      || !json_object_is_type (list, json_type_array))
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
      && older (newest, h, &s->entry[oldest (s)]))
    return true;
  e = suspect_get (s, h);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    strike_add (e, json_object_get_int64 (json_object_array_get_idx (list, i)));
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
        ok = merge_one (s, json_object_array_get_idx (list, i)) && ok;
    }
  json_object_put (root);
  if (tok != NULL)
    json_tokener_free (tok);
  return ok || cv_fail (err, CV_ERR_INVALID, "suspects: not a valid document");
}

uint64_t
cv_suspects_version (uint64_t newest, cv_slice_t body)
{
  uint64_t mask = (1u << VERSION_HASH_BITS) - 1;
  uint64_t counter = (newest >> VERSION_HASH_BITS) + 1;

  return counter << VERSION_HASH_BITS | (cv_hash (body.p, body.n, 0) & mask);
}
