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

/* Find or make the entry of HASH; when full, the one whose newest strike is
   oldest gives way.  */
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
      i = 0;
      for (uint32_t k = 1; k < s->count; k++)
        if (s->entry[k].strike[0] < s->entry[i].strike[0])
          i = k;
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

void
cv_suspects_dump (const cv_suspects_t *s, cv_buf_t *out)
{
  cv_buf_printf (out, "{\"suspects\":[");
  for (uint32_t i = 0; i < s->count; i++)
    {
      const suspect_t *e = &s->entry[i];

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
