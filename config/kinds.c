/* Tables of the declared object kinds and their fields, and access to the
   items of a configuration by kind.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "config/kinds.h"

#define COUNT_MAX 1000000
#define TOKENS_MAX 1000000
#define RATE_MAX 1000000000
#define HOUR_MS (60 * 60 * 1000)

static const char *const pool_kinds[] = { "engine", "service", NULL };

#define NAME(k, req, type, member)                                             \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_NAME, .required = (req),                      \
    .offset = offsetof (type, member), .size = CV_NAME_MAX                     \
  }
#define NUMBER(k, type, member, low, high, value)                              \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_U32, .offset = offsetof (type, member),       \
    .min = (low), .max = (high), .default_value = (value)                      \
  }
#define BOOL(k, type, member)                                                  \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_BOOL, .offset = offsetof (type, member)       \
  }

static const cv_field_t model_fields[]
    = { NAME ("pool", true, cv_model_t, pool),
        NAME ("adapter", false, cv_model_t, adapter),
        NAME ("version", false, cv_model_t, version),
        NUMBER ("max_tokens", cv_model_t, max_tokens, 1, TOKENS_MAX, 4096),
        { .key = NULL } };

static const cv_field_t pool_fields[]
    = { { .key = "kind",
          .kind = CV_FIELD_CHOICE,
          .required = true,
          .offset = offsetof (cv_pool_t, kind),
          .choices = pool_kinds,
          .default_value = CV_POOL_ENGINE },
        BOOL ("checks_fence", cv_pool_t, checks_fence),
        NUMBER ("max_batch", cv_pool_t, max_batch, 1, 4096, 16),
        { .key = "kv_tokens",
          .kind = CV_FIELD_U64,
          .offset = offsetof (cv_pool_t, kv_tokens),
          .min = 0,
          .max = INT64_C (1000000000000),
          .default_value = 0 },
        { .key = NULL } };

static const cv_field_t class_fields[]
    = { NUMBER ("priority", cv_class_t, priority, 0, 100, 50),
        NUMBER ("first_token_ms", cv_class_t, first_token_ms, 1, HOUR_MS,
                10000),
        NUMBER ("max_tokens", cv_class_t, max_tokens, 1, TOKENS_MAX, 4096),
        BOOL ("buffered", cv_class_t, buffered),
        { .key = NULL } };

static const cv_field_t account_fields[] = {
  { .key = "key_hash",
    .kind = CV_FIELD_HASH,
    .required = true,
    .offset = offsetof (cv_account_t, key_hash),
    .size = CV_KEY_HASH_TEXT },
  NAME ("class", true, cv_account_t, default_class),
  NUMBER ("weight", cv_account_t, limits.weight, 1, 1000, 1),
  NUMBER ("concurrency", cv_account_t, limits.concurrency, 0, COUNT_MAX, 0),
  NUMBER ("tokens_per_s", cv_account_t, limits.tokens_per_s, 0, RATE_MAX, 0),
  NUMBER ("burst_tokens", cv_account_t, limits.burst_tokens, 0, RATE_MAX, 0),
  { .key = NULL }
};

const cv_field_t cv_system_fields[]
    = { NUMBER ("limit_share", cv_config_t, limit_share, 0, COUNT_MAX, 0),
        { .key = NULL } };

const cv_object_kind_t cv_kinds[CV_KIND_COUNT] = {
  { "pool", "pools", sizeof (cv_pool_t), offsetof (cv_config_t, pools),
    offsetof (cv_config_t, pool_count), pool_fields },
  { "model", "models", sizeof (cv_model_t), offsetof (cv_config_t, models),
    offsetof (cv_config_t, model_count), model_fields },
  { "class", "classes", sizeof (cv_class_t), offsetof (cv_config_t, classes),
    offsetof (cv_config_t, class_count), class_fields },
  { "account", "accounts", sizeof (cv_account_t),
    offsetof (cv_config_t, accounts), offsetof (cv_config_t, account_count),
    account_fields }
};

_Static_assert(offsetof (cv_pool_t, name) == 0, "items start with the name");
_Static_assert(offsetof (cv_model_t, name) == 0, "items start with the name");
_Static_assert(offsetof (cv_class_t, name) == 0, "items start with the name");
_Static_assert(offsetof (cv_account_t, name) == 0, "items start with the name");

const cv_object_kind_t *
cv_kind_find (const char *word)
{
  size_t i;

  for (i = 0; i < CV_KIND_COUNT; i++)
    if (strcmp (cv_kinds[i].singular, word) == 0
        || strcmp (cv_kinds[i].plural, word) == 0)
      return &cv_kinds[i];
  return NULL;
}

const cv_field_t *
cv_kind_find_field (const cv_field_t *fields, const char *key)
{
  for (; fields->key != NULL; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

char *
cv_kind_items (const cv_object_kind_t *kind, const cv_config_t *c)
{
  char *items = NULL;

  if (c != NULL)
    memcpy (&items, (const char *)c + kind->items_offset, sizeof items);
  return items;
}

size_t
cv_kind_count (const cv_object_kind_t *kind, const cv_config_t *c)
{
  size_t n = 0;

  if (c != NULL)
    memcpy (&n, (const char *)c + kind->count_offset, sizeof n);
  return n;
}

void
cv_kind_set_items (const cv_object_kind_t *kind, cv_config_t *c, char *items,
                   size_t count)
{
  memcpy ((char *)c + kind->items_offset, &items, sizeof items);
  memcpy ((char *)c + kind->count_offset, &count, sizeof count);
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (a, b); /* an item starts with its name */
}

char *
cv_kind_find_item (const cv_object_kind_t *kind, const cv_config_t *c,
                   const char *name)
{
  char *items = cv_kind_items (kind, c);
  size_t n = cv_kind_count (kind, c);

  if (n == 0)
    return NULL;
  return bsearch (name, items, n, kind->item_size, compare_names);
}

void
cv_field_format (const cv_field_t *f, const char *item, char *out, size_t size)
{
  const char *value = item + f->offset;
  uint32_t narrow;
  uint64_t wide;
  int choice;

  out[0] = '\0';
  switch (f->kind)
    {
    case CV_FIELD_U32:
      memcpy (&narrow, value, sizeof narrow);
      (void)snprintf (out, size, "%" PRIu32, narrow);
      break;
    case CV_FIELD_U64:
      memcpy (&wide, value, sizeof wide);
      (void)snprintf (out, size, "%" PRIu64, wide);
      break;
    case CV_FIELD_BOOL:
      (void)cv_copy (out, size, *(const bool *)value ? "true" : "false");
      break;
    case CV_FIELD_CHOICE:
      memcpy (&choice, value, sizeof choice);
      (void)cv_copy (out, size, choice > 0 ? f->choices[choice - 1] : "");
      break;
    case CV_FIELD_OBJECT:
      break;
    default:
      (void)cv_copy (out, size, value);
      break;
    }
}

/* ---- creating and indexing a configuration ---- */

cv_config_t *
cv_config_new (uint64_t version)
{
  cv_config_t *c = cv_calloc (1, sizeof *c);

  c->version = version;
  c->refs = 1;
  cv_fields_set_defaults (cv_system_fields, c);
  return c;
}

cv_config_t *
cv_config_copy (const cv_config_t *base)
{
  cv_config_t *c = cv_config_new (base != NULL ? base->version : 0);
  const cv_object_kind_t *kind;
  char *items;
  size_t i;
  size_t n;

  if (base == NULL)
    return c;
  c->limit_share = base->limit_share;
  for (i = 0; i < CV_KIND_COUNT; i++)
    {
      kind = &cv_kinds[i];
      n = cv_kind_count (kind, base);
      if (n == 0)
        continue;
      items = cv_calloc (n, kind->item_size);
      memcpy (items, cv_kind_items (kind, base), n * kind->item_size);
      cv_kind_set_items (kind, c, items, n);
    }
  return c;
}

int
cv_config_compare_key_hashes (const void *a, const void *b)
{
  const cv_account_t *const *x = a;
  const cv_account_t *const *y = b;

  return strcmp ((*x)->key_hash, (*y)->key_hash);
}

bool
cv_config_index (cv_config_t *c, const cv_account_t **duplicate)
{
  size_t i;

  for (i = 0; i < CV_KIND_COUNT; i++)
    if (cv_kind_count (&cv_kinds[i], c) > 0)
      qsort (cv_kind_items (&cv_kinds[i], c), cv_kind_count (&cv_kinds[i], c),
             cv_kinds[i].item_size, compare_names);
  free (c->by_key);
  c->by_key = cv_calloc (c->account_count + 1, sizeof (cv_account_t *));
  for (i = 0; i < c->account_count; i++)
    c->by_key[i] = &c->accounts[i];
  qsort (c->by_key, c->account_count, sizeof (cv_account_t *),
         cv_config_compare_key_hashes);
  for (i = 1; i < c->account_count; i++)
    if (strcmp (c->by_key[i - 1]->key_hash, c->by_key[i]->key_hash) == 0)
      {
        *duplicate = c->by_key[i];
        return false;
      }
  return true;
}
