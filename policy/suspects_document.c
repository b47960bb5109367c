/* The JSON document of the table of suspects.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "policy/suspects_table.h"

/* Strikes always written, also empty ones.  */
#define STRIKES_WRITTEN_MIN 2
/* Bits of a version that hold a hash of the body.  */
#define VERSION_HASH_BITS 16

static int compare_entries (const void *a, const void *b);
static int compare_strikes (const void *a, const void *b);
static void dump_companions (const cv_strike_t *strike, bool follows,
                             cv_buf_t *out);
static void dump_entry (const cv_suspect_t *e, cv_buf_t *out);
static bool parse_hash (json_object *item, uint64_t *out);
static bool parse_companions (json_object *list, cv_strike_t *strike);
static bool find_list (json_object *item, const char *key, size_t n,
                       json_object **out);
static bool parse_strikes (json_object *item, cv_suspect_t *e);
static bool parse_claim (json_object *item, cv_trial_claim_t *claim);
static bool parse_entry (json_object *item, cv_suspect_t *e);

static int
compare_entries (const void *a, const void *b)
{
  const cv_suspect_t *const *x = a;
  const cv_suspect_t *const *y = b;

  return ((*x)->hash > (*y)->hash) - ((*x)->hash < (*y)->hash);
}

static int
compare_strikes (const void *a, const void *b)
{
  const cv_strike_t *x = a;
  const cv_strike_t *y = b;

  if (cv_strike_is_newer (x, y) || cv_strike_is_newer (y, x))
    return cv_strike_is_newer (x, y) ? -1 : 1;
  return (x->seen < y->seen) - (x->seen > y->seen);
}

static void
dump_companions (const cv_strike_t *strike, bool follows, cv_buf_t *out)
{
  cv_buf_printf (out, "%s[%s", follows ? "," : "",
                 strike->is_common ? "true" : "");
  for (uint32_t i = 0; i < strike->companion_count; i++)
    cv_buf_printf (out, "%s\"%016" PRIx64 "\"",
                   i > 0 || strike->is_common ? "," : "",
                   strike->companions[i]);
  cv_buf_printf (out, "]");
}

/* Strikes are written newest first.  */
static void
dump_entry (const cv_suspect_t *e, cv_buf_t *out)
{
  cv_strike_t sorted[STRIKES_KEPT];
  bool is_seen_known = false;
  bool has_companion_list = false;
  bool is_part = false;
  bool was_suspect = false;
  int n = STRIKES_KEPT;

  memcpy (sorted, e->strike, sizeof sorted);
  qsort (sorted, STRIKES_KEPT, sizeof *sorted, compare_strikes);
  while (n > STRIKES_WRITTEN_MIN && sorted[n - 1].wall_s == 0)
    n--;
  cv_buf_printf (out, "{\"hash\":\"%016" PRIx64 "\",\"strikes\":[", e->hash);
  for (int i = 0; i < n; i++)
    cv_buf_printf (out, "%s%" PRId64, i > 0 ? "," : "", sorted[i].wall_s);
  cv_buf_printf (out, "],\"deaths\":[");
  for (int i = 0; i < n; i++)
    {
      cv_buf_printf (out, "%s\"%016" PRIx64 "\"", i > 0 ? "," : "",
                     sorted[i].crash);
      is_seen_known |= sorted[i].wall_s != 0 && sorted[i].seen != CV_SEEN_ALL;
      has_companion_list |= sorted[i].companion_count > 0;
      is_part |= sorted[i].source != 0;
      was_suspect |= sorted[i].was_suspect && sorted[i].seen != CV_SEEN_ALL;
    }
  cv_buf_printf (out, "]");
  if (is_seen_known)
    {
      cv_buf_printf (out, ",\"seen\":[");
      for (int i = 0; i < n; i++)
        cv_buf_printf (out, "%s%" PRIu32, i > 0 ? "," : "", sorted[i].seen);
      cv_buf_printf (out, "]");
    }
  if (was_suspect)
    {
      cv_buf_printf (out, ",\"again\":[");
      for (int i = 0; i < n; i++)
        cv_buf_printf (out, "%s%s", i > 0 ? "," : "",
                       sorted[i].was_suspect ? "true" : "false");
      cv_buf_printf (out, "]");
    }
  if (is_part)
    {
      cv_buf_printf (out, ",\"of\":[");
      for (int i = 0; i < n; i++)
        cv_buf_printf (out, "%s\"%016" PRIx64 "\"", i > 0 ? "," : "",
                       sorted[i].source);
      cv_buf_printf (out, "]");
    }
  if (has_companion_list)
    {
      cv_buf_printf (out, ",\"with\":[");
      for (int i = 0; i < n; i++)
        dump_companions (&sorted[i], i > 0, out);
      cv_buf_printf (out, "]");
    }
  if (e->claim.wall_s > e->cleared)
    cv_buf_printf (out, ",\"trial\":[%" PRIu32 ",%" PRId64 "]", e->claim.number,
                   e->claim.wall_s);
  cv_buf_printf (out, ",\"cleared\":%" PRId64 "}", e->cleared);
}

/* Sorts the entries, so that equal tables give equal documents.  */
void
cv_suspects_dump (const cv_suspects_t *s, cv_suspects_filter_t *filter,
                  const void *owner, cv_buf_t *out)
{
  const cv_suspect_t **sorted
      = cv_calloc (s->count + 1, sizeof (const cv_suspect_t *));
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->count; i++)
    if (filter == NULL || filter (owner, s, s->entries[i].hash))
      sorted[n++] = &s->entries[i];
  qsort (sorted, n, sizeof (const cv_suspect_t *), compare_entries);
  cv_buf_printf (out, "{\"suspects\":[");
  for (uint32_t i = 0; i < n; i++)
    {
      cv_buf_printf (out, "%s", i > 0 ? "," : "");
      dump_entry (sorted[i], out);
    }
  cv_buf_printf (out, "]}");
  free (sorted);
}

static bool
parse_hash (json_object *item, uint64_t *out)
{
  const char *text;
  char *end;

  if (!json_object_is_type (item, json_type_string))
    return false;
  text = json_object_get_string (item);
  *out = strtoull (text, &end, 16);
  return end != text && *end == '\0';
}

/* The list begins with true if there were more companions.  */
static bool
parse_companions (json_object *list, cv_strike_t *strike)
{
  size_t n;
  size_t first;

  if (!json_object_is_type (list, json_type_array))
    return false;
  n = json_object_array_length (list);
  strike->is_common
      = n > 0
        && json_object_is_type (json_object_array_get_idx (list, 0),
                                json_type_boolean);
  first = strike->is_common ? 1 : 0;
  if (n - first > COMPANIONS_MAX)
    return false;
  for (size_t i = first; i < n; i++)
    if (!parse_hash (json_object_array_get_idx (list, i),
                     &strike->companions[strike->companion_count++]))
      return false;
  return true;
}

/* Finds the list KEY of ITEM, which has N entries; there may be none.  */
static bool
find_list (json_object *item, const char *key, size_t n, json_object **out)
{
  if (!json_object_object_get_ex (item, key, out))
    return true;
  return json_object_is_type (*out, json_type_array)
         && json_object_array_length (*out) == n;
}

/* Adds the strikes of ITEM.  Without `seen`, all other strikes were known at
   each of them.  */
static bool
parse_strikes (json_object *item, cv_suspect_t *e)
{
  json_object *times;
  json_object *crashes;
  json_object *seen = NULL;
  json_object *again = NULL;
  json_object *sources = NULL;
  json_object *with = NULL;
  size_t n;

  if (!json_object_object_get_ex (item, "strikes", &times)
      || !json_object_is_type (times, json_type_array)
      || !json_object_object_get_ex (item, "deaths", &crashes)
      || !json_object_is_type (crashes, json_type_array))
    return false;
  n = json_object_array_length (times);
  if (json_object_array_length (crashes) != n)
    return false;
  if (!find_list (item, "seen", n, &seen)
      || !find_list (item, "again", n, &again)
      || !find_list (item, "of", n, &sources)
      || !find_list (item, "with", n, &with))
    return false;
  for (size_t i = 0; i < n; i++)
    {
      cv_strike_t strike = { .seen = CV_SEEN_ALL };

      strike.wall_s
          = json_object_get_int64 (json_object_array_get_idx (times, i));
      if (!parse_hash (json_object_array_get_idx (crashes, i), &strike.crash))
        return false;
      if (seen != NULL)
        strike.seen = (uint32_t)json_object_get_int64 (
            json_object_array_get_idx (seen, i));
      if (again != NULL)
        strike.was_suspect
            = json_object_get_boolean (json_object_array_get_idx (again, i));
      if (sources != NULL
          && !parse_hash (json_object_array_get_idx (sources, i),
                          &strike.source))
        return false;
      if (with != NULL
          && !parse_companions (json_object_array_get_idx (with, i), &strike))
        return false;
      cv_suspect_add (e, strike);
    }
  return true;
}

/* The number and the time of the newest claim; there may be none.  */
static bool
parse_claim (json_object *item, cv_trial_claim_t *claim)
{
  json_object *list = NULL;

  if (!find_list (item, "trial", 2, &list))
    return false;
  if (list == NULL)
    return true;
  claim->number
      = (uint32_t)json_object_get_int64 (json_object_array_get_idx (list, 0));
  claim->wall_s = json_object_get_int64 (json_object_array_get_idx (list, 1));
  return true;
}

static bool
parse_entry (json_object *item, cv_suspect_t *e)
{
  json_object *hash;
  json_object *cleared;

  memset (e, 0, sizeof *e);
  if (!json_object_object_get_ex (item, "hash", &hash)
      || !parse_hash (hash, &e->hash)
      || !json_object_object_get_ex (item, "cleared", &cleared)
      || !parse_strikes (item, e) || !parse_claim (item, &e->claim))
    return false;
  e->cleared = json_object_get_int64 (cleared);
  cv_suspect_count (e);
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
        {
          cv_suspect_t entry;

          if (parse_entry (json_object_array_get_idx (list, i), &entry))
            cv_suspect_join (s, &entry);
          else
            ok = false;
        }
      cv_suspects_count_named (s);
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
