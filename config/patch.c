/* Creates and applies JSON merge patches (RFC 7396) between versions of the
   configuration document.  */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "config/patch.h"

static struct json_object *parse_object (cv_slice_t text);
static bool has_finite_numbers (struct json_object *o);
static bool has_null (struct json_object *o);
static struct json_object *make_merge_patch (struct json_object *from,
                                             struct json_object *to);
static void merge (struct json_object *object, struct json_object *patch);
static struct json_object *get_member (struct json_object *o, const char *key);
static void append_json (struct json_object *o, cv_buf_t *out);

bool
cv_patch_make (cv_slice_t from, cv_slice_t to, cv_buf_t *patch, cv_error_t *err)
{
  struct json_object *a = parse_object (from);
  struct json_object *b = parse_object (to);
  bool ok = a != NULL && b != NULL && !has_null (b);

  if (ok)
    {
      struct json_object *d = make_merge_patch (a, b);

      append_json (d, patch);
      json_object_put (d);
    }
  json_object_put (a);
  json_object_put (b);
  if (!ok)
    return cv_fail (err, CV_ERR_INVALID,
                    "documents: not JSON objects with finite numbers, or the "
                    "new one has a null member");
  return true;
}

bool
cv_patch_apply (cv_slice_t base, cv_slice_t patch, cv_buf_t *out,
                cv_error_t *err)
{
  struct json_object *a = parse_object (base);
  struct json_object *p = parse_object (patch);
  bool ok = a != NULL && p != NULL;

  if (ok)
    {
      merge (a, p);
      append_json (a, out);
    }
  json_object_put (a);
  json_object_put (p);
  if (!ok)
    return cv_fail (err, CV_ERR_INVALID,
                    "patch or document: not a JSON object with finite numbers");
  return true;
}

bool
cv_patch_apply_update (uint64_t current_version, cv_slice_t current,
                       uint64_t base, cv_slice_t body, cv_buf_t *out,
                       cv_error_t *err)
{
  if (base == 0)
    {
      cv_buf_add (out, body.p, body.n);
      return true;
    }
  if (base != current_version)
    return cv_fail (err, CV_ERR_CONFLICT,
                    "patch is for version %llu, which is not the current one",
                    (unsigned long long)base);
  return cv_patch_apply (current, body, out, err);
}

/* ---- history ---- */

void
cv_history_init (cv_history_t *h)
{
  memset (h, 0, sizeof *h);
}

void
cv_history_finish (cv_history_t *h)
{
  for (size_t i = 0; i < CV_HISTORY_PATCHES; i++)
    free (h->patch[i].text);
  memset (h, 0, sizeof *h);
}

void
cv_history_add (cv_history_t *h, uint64_t from, uint64_t to, cv_slice_t text)
{
  cv_patch_t *p = &h->patch[h->next];

  free (p->text);
  p->from = from;
  p->to = to;
  p->text = cv_strdup_n (text.p, text.n);
  p->size = text.n;
  h->next = (h->next + 1) % CV_HISTORY_PATCHES;
}

const cv_patch_t *
cv_history_find (const cv_history_t *h, uint64_t from)
{
  const cv_patch_t *best = NULL;

  for (size_t i = 0; i < CV_HISTORY_PATCHES; i++)
    {
      const cv_patch_t *p = &h->patch[i];

      if (p->text != NULL && p->from == from
          && (best == NULL || p->to > best->to))
        best = p;
    }
  return best;
}

void
cv_history_make_patch (cv_history_t *h, uint64_t from, cv_slice_t old_text,
                       uint64_t to, cv_slice_t new_text)
{
  cv_buf_t patch;

  if (cv_history_connects (h, from, to))
    return;
  cv_buf_init (&patch);
  if (cv_patch_make (old_text, new_text, &patch, NULL))
    cv_history_add (h, from, to, cv_slice (cv_buf_text (&patch)));
  cv_buf_finish (&patch);
}

bool
cv_history_connects (const cv_history_t *h, uint64_t from, uint64_t to)
{
  while (from < to)
    {
      const cv_patch_t *p = cv_history_find (h, from);

      if (p == NULL || p->to <= from)
        return false;
      from = p->to;
    }
  return from == to;
}

/* ---- JSON ---- */

/* Returns the JSON object in TEXT, or NULL when TEXT is not an object or
   contains a number that is not finite.  */
static struct json_object *
parse_object (cv_slice_t text)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *o = NULL;

  if (tok != NULL && text.n <= INT32_MAX)
    o = json_tokener_parse_ex (tok, text.p, (int)text.n);
  json_tokener_free (tok);
  if (json_object_is_type (o, json_type_object) && has_finite_numbers (o))
    return o;
  json_object_put (o);
  return NULL;
}

/* json-c accepts NaN and Infinity, which are not JSON.  NaN also differs from
   itself, so a patched document would never equal the intended one.  */
static bool
has_finite_numbers (struct json_object *o)
{
  if (json_object_is_type (o, json_type_double))
    return isfinite (json_object_get_double (o)) != 0;
  if (json_object_is_type (o, json_type_array))
    for (size_t i = 0; i < json_object_array_length (o); i++)
      if (!has_finite_numbers (json_object_array_get_idx (o, i)))
        return false;
  if (json_object_is_type (o, json_type_object))
    {
      json_object_object_foreach (o, key, value)
      {
        (void)key;
        if (!has_finite_numbers (value))
          return false;
      }
    }
  return true;
}

static bool
has_null (struct json_object *o)
{
  if (o == NULL)
    return true;
  if (!json_object_is_type (o, json_type_object))
    return false;
  json_object_object_foreach (o, key, value)
  {
    (void)key;
    if (has_null (value))
      return true;
  }
  return false;
}

static struct json_object *
get_member (struct json_object *o, const char *key)
{
  struct json_object *value = NULL;

  return json_object_object_get_ex (o, key, &value) ? value : NULL;
}

/* Returns the merge patch: the members of TO that differ from FROM, and null
   for the members of FROM that TO lacks.  */
static struct json_object *
make_merge_patch (struct json_object *from, struct json_object *to)
{
  struct json_object *d = json_object_new_object ();

  CV_INVARIANT (d != NULL);
  json_object_object_foreach (from, old_key, old_value)
  {
    (void)old_value;
    if (!json_object_object_get_ex (to, old_key, NULL))
      (void)json_object_object_add (d, old_key, NULL);
  }
  json_object_object_foreach (to, key, value)
  {
    struct json_object *old = get_member (from, key);

    if (json_object_equal (old, value))
      continue;
    if (json_object_is_type (old, json_type_object)
        && json_object_is_type (value, json_type_object))
      (void)json_object_object_add (d, key, make_merge_patch (old, value));
    else
      (void)json_object_object_add (d, key, json_object_get (value));
  }
  return d;
}

/* Applies PATCH to the object OBJECT as RFC 7396 specifies.  */
static void
merge (struct json_object *object, struct json_object *patch)
{
  json_object_object_foreach (patch, key, value)
  {
    struct json_object *old = get_member (object, key);

    if (value == NULL)
      json_object_object_del (object, key);
    else if (!json_object_is_type (value, json_type_object))
      (void)json_object_object_add (object, key, json_object_get (value));
    else
      {
        struct json_object *member = json_object_is_type (old, json_type_object)
                                         ? json_object_get (old)
                                         : json_object_new_object ();

        CV_INVARIANT (member != NULL);
        merge (member, value);
        (void)json_object_object_add (object, key, member);
      }
  }
}

static void
append_json (struct json_object *o, cv_buf_t *out)
{
  const char *text = json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN);

  cv_buf_add (out, text, strlen (text));
}
