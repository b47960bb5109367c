/* Parses and validates the configuration document, and looks up its objects
   and bearer keys.  */

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "config/kinds.h"

#define PATH_BYTES 160
#define NONCE "nonce"
#define NONCES "nonces"

/* ---- references ---- */

static void
report_dangling (const cv_object_kind_t *kind, const char *name,
                 const char *key, const char *referenced, const char *expected,
                 void (*fn) (const cv_dangling_ref_t *d, void *arg), void *arg)
{
  cv_dangling_ref_t d = { kind, name, key, referenced, "" };

  (void)snprintf (d.text, sizeof d.text, "%s.%s.%s: expected %s, found \"%s\"",
                  kind->plural, name, key, expected, referenced);
  fn (&d, arg);
}

void
cv_config_find_dangling (const cv_config_t *c,
                         void (*fn) (const cv_dangling_ref_t *d, void *arg),
                         void *arg)
{
  const cv_pool_t *pool;
  size_t i;

  for (i = 0; i < c->model_count; i++)
    {
      pool = cv_config_pool (c, c->models[i].pool);
      if (pool == NULL || pool->kind != CV_POOL_ENGINE)
        report_dangling (cv_kind_find ("model"), c->models[i].name, "pool",
                         c->models[i].pool, "a declared pool of kind engine",
                         fn, arg);
    }
  for (i = 0; i < c->account_count; i++)
    if (cv_config_class (c, c->accounts[i].default_class) == NULL)
      report_dangling (cv_kind_find ("account"), c->accounts[i].name, "class",
                       c->accounts[i].default_class, "a declared class", fn,
                       arg);
}

/* ---- reading ---- */

typedef struct
{
  struct json_object *tree;
  cv_problems_t *p;
} reader_t;

/* Returns the value of field KEY of item NAME in the parsed document, or the
   item itself when KEY is NULL; used for its line and column.  */
static struct json_object *
find_value (struct json_object *tree, const cv_object_kind_t *kind,
            const char *name, const char *key)
{
  struct json_object *value = NULL;

  if (!json_object_object_get_ex (tree, kind->plural, &value)
      || !json_object_object_get_ex (value, name, &value))
    return NULL;
  if (key != NULL)
    json_object_object_get_ex (value, key, &value);
  return value;
}

static void
add_dangling (const cv_dangling_ref_t *d, void *arg)
{
  reader_t *r = arg;
  struct json_object *value = find_value (r->tree, d->kind, d->name, d->key);

  cv_problem (r->p, cv_json_line (value), cv_json_column (value), "%s",
              d->text);
}

static void
read_item (const cv_object_kind_t *kind, const char *name,
           struct json_object *value, char *item, cv_problems_t *p)
{
  char path[PATH_BYTES];

  (void)snprintf (path, sizeof path, "%s.%s", kind->plural, name);
  if (!cv_name_is_valid (name))
    cv_problem (p, cv_json_line (value), cv_json_column (value),
                "%s: expected a name (1 to 63 of letters, digits, '-', '_', "
                "'.') as key",
                path);
  else if (!json_object_is_type (value, json_type_object))
    cv_problem (p, cv_json_line (value), cv_json_column (value),
                "%s: expected an object", path);
  else
    {
      cv_fields_read (kind->fields, value, path, item, p);
      (void)cv_copy (item, CV_NAME_MAX, name);
    }
}

static void
read_kind (const cv_object_kind_t *kind, struct json_object *objects,
           cv_config_t *c, cv_problems_t *p)
{
  char *items;
  size_t n;

  if (!json_object_is_type (objects, json_type_object))
    {
      cv_problem (p, cv_json_line (objects), cv_json_column (objects),
                  "%s: expected an object", kind->plural);
      return;
    }
  n = (size_t)json_object_object_length (objects);
  if (n == 0)
    return;
  items = cv_calloc (n, kind->item_size);
  n = 0;
  json_object_object_foreach (objects, name, value)
  {
    if (value != NULL)
      read_item (kind, name, value, items + n++ * kind->item_size, p);
  }
  cv_kind_set_items (kind, c, items, n);
}

static void
add_nonce (cv_config_t *c, struct json_object *value)
{
  if (c->nonce_count < CV_NONCES_MAX
      && json_object_is_type (value, json_type_string)
      && cv_copy (c->nonces[c->nonce_count], CV_ID_TEXT,
                  json_object_get_string (value)))
    c->nonce_count++;
}

static void
read_nonces (struct json_object *tree, cv_config_t *c)
{
  struct json_object *value;
  size_t i;

  if (json_object_object_get_ex (tree, NONCE, &value))
    add_nonce (c, value);
  if (json_object_object_get_ex (tree, NONCES, &value)
      && json_object_is_type (value, json_type_array))
    for (i = 0; i < json_object_array_length (value); i++)
      add_nonce (c, json_object_array_get_idx (value, i));
}

/* Reads the top-level fields: every key that is not an object kind, a nonce or
   null.  */
static void
read_system (struct json_object *tree, cv_config_t *c, cv_problems_t *p)
{
  struct json_object *rest = json_object_new_object ();

  json_object_object_foreach (tree, key, value)
  {
    if (value == NULL || strcmp (key, NONCE) == 0 || strcmp (key, NONCES) == 0)
      continue;
    if (cv_kind_find (key) != NULL
        && strcmp (cv_kind_find (key)->plural, key) == 0)
      continue;
    json_object_object_add (rest, key, json_object_get (value));
  }
  cv_fields_read (cv_system_fields, rest, "", c, p);
  json_object_put (rest);
}

static cv_config_t *
read_document (uint64_t version, cv_slice_t json, cv_problems_t *p)
{
  struct json_object *value;
  const cv_account_t *duplicate;
  struct json_object *tree;
  cv_config_t *c;
  reader_t r;
  size_t i;

  tree = cv_json_parse (json, p);
  if (tree == NULL)
    return NULL;
  c = cv_config_new (version);
  read_nonces (tree, c);
  read_system (tree, c, p);
  for (i = 0; i < CV_KIND_COUNT; i++)
    if (json_object_object_get_ex (tree, cv_kinds[i].plural, &value)
        && value != NULL)
      read_kind (&cv_kinds[i], value, c, p);
  if (p->count == 0 && !cv_config_index (c, &duplicate))
    {
      value = find_value (tree, cv_kind_find ("account"), duplicate->name,
                          "key_hash");
      cv_problem (p, cv_json_line (value), cv_json_column (value),
                  "accounts.%s.key_hash: another account has the same key",
                  duplicate->name);
    }
  if (p->count == 0)
    {
      r = (reader_t){ tree, p };
      cv_config_find_dangling (c, add_dangling, &r);
    }
  json_object_put (tree);
  c->text = cv_strdup_n (json.p, json.n);
  c->text_size = json.n;
  return c;
}

cv_config_t *
cv_config_parse (uint64_t version, cv_slice_t json, cv_error_t *err)
{
  cv_problems_t p;
  cv_config_t *c;

  cv_problems_init (&p, NULL, NULL);
  c = read_document (version, json, &p);
  if (p.count == 0)
    return c;
  if (err != NULL)
    *err = p.first;
  cv_config_unref (c);
  return NULL;
}

bool
cv_config_check (const char *name, cv_slice_t json, FILE *errors)
{
  cv_problems_t p;

  cv_problems_init (&p, errors, name);
  cv_config_unref (read_document (0, json, &p));
  return p.count == 0;
}

bool
cv_config_add_nonces (const cv_config_t *base, cv_slice_t json,
                      const char *nonce, cv_buf_t *out, cv_error_t *err)
{
  struct json_object *earlier;
  struct json_object *tree;
  cv_problems_t p;
  const char *text;
  size_t i;

  cv_problems_init (&p, NULL, NULL);
  tree = cv_json_parse (json, &p);
  if (tree == NULL)
    {
      if (err != NULL)
        *err = p.first;
      return false;
    }
  earlier = json_object_new_array ();
  for (i = 0; base != NULL && i < base->nonce_count && i < CV_NONCES_MAX - 1;
       i++)
    (void)json_object_array_add (earlier,
                                 json_object_new_string (base->nonces[i]));
  (void)json_object_object_add (tree, NONCE, json_object_new_string (nonce));
  (void)json_object_object_add (tree, NONCES, earlier);
  text = json_object_to_json_string_ext (
      tree, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  cv_buf_add (out, text, strlen (text));
  json_object_put (tree);
  return true;
}

/* ---- reference counts ---- */

cv_config_t *
cv_config_ref (cv_config_t *c)
{
  __atomic_add_fetch (&c->refs, 1, __ATOMIC_RELAXED);
  return c;
}

void
cv_config_unref (cv_config_t *c)
{
  size_t i;

  if (c == NULL || __atomic_sub_fetch (&c->refs, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  for (i = 0; i < CV_KIND_COUNT; i++)
    free (cv_kind_items (&cv_kinds[i], c));
  free (c->by_key);
  free (c->text);
  free (c);
}

/* ---- lookups ---- */

const cv_model_t *
cv_config_model (const cv_config_t *c, const char *name)
{
  return (const cv_model_t *)(void *)cv_kind_find_item (&cv_kinds[1], c, name);
}

const cv_pool_t *
cv_config_pool (const cv_config_t *c, const char *name)
{
  return (const cv_pool_t *)(void *)cv_kind_find_item (&cv_kinds[0], c, name);
}

const cv_class_t *
cv_config_class (const cv_config_t *c, const char *name)
{
  return (const cv_class_t *)(void *)cv_kind_find_item (&cv_kinds[2], c, name);
}

const cv_account_t *
cv_config_account (const cv_config_t *c, const char *name)
{
  return (const cv_account_t *)(void *)cv_kind_find_item (&cv_kinds[3], c,
                                                          name);
}

/* ---- keys ---- */

void
cv_key_hash (cv_slice_t key, char out[CV_KEY_HASH_TEXT])
{
  unsigned char raw[crypto_hash_sha256_BYTES];

  (void)crypto_hash_sha256 (raw, (const unsigned char *)key.p, key.n);
  (void)sodium_bin2hex (out, CV_KEY_HASH_TEXT, raw, sizeof raw);
}

bool
cv_key_matches (cv_slice_t key, const char *hash)
{
  char text[CV_KEY_HASH_TEXT];

  if (strlen (hash) != CV_KEY_HASH_TEXT - 1)
    return false;
  cv_key_hash (key, text);
  return sodium_memcmp (text, hash, CV_KEY_HASH_TEXT) == 0;
}

const cv_account_t *
cv_config_account_by_key (const cv_config_t *c, cv_slice_t key)
{
  const cv_account_t *const *found;
  cv_account_t wanted;
  const cv_account_t *p = &wanted;

  if (c == NULL || c->account_count == 0)
    return NULL;
  cv_key_hash (key, wanted.key_hash);
  found = bsearch (&p, c->by_key, c->account_count, sizeof (cv_account_t *),
                   cv_config_compare_key_hashes);
  if (found == NULL
      || sodium_memcmp ((*found)->key_hash, wanted.key_hash, CV_KEY_HASH_TEXT)
             != 0)
    return NULL;
  return *found;
}
