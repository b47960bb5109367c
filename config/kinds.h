/* Descriptions of the declared object kinds, so that one implementation of
   reading, writing, comparing, editing and querying serves all kinds.  */

#ifndef CV_CONFIG_KINDS_H
#define CV_CONFIG_KINDS_H

#include "base/json.h"
#include "config/config.h"

/* One object kind.  An item is a struct whose first member is its name.  */
typedef struct
{
  const char *singular;
  const char *plural; /* key of the objects in the document */
  size_t item_size;
  size_t items_offset; /* of the pointer to the items in cv_config_t */
  size_t count_offset; /* of the number of items in cv_config_t */
  const cv_field_t *fields;
} cv_object_kind_t;

#define CV_KIND_COUNT 4
extern const cv_object_kind_t cv_kinds[CV_KIND_COUNT];

/* Top-level fields of the document, read into cv_config_t.  */
extern const cv_field_t cv_system_fields[];

/* The kind whose singular or plural is WORD, or NULL.  */
const cv_object_kind_t *cv_kind_find (const char *word);
/* The field of the table FIELDS with this key, or NULL.  */
const cv_field_t *cv_kind_find_field (const cv_field_t *fields,
                                      const char *key);

/* The items of KIND in C and their number; none when C is NULL.  */
char *cv_kind_items (const cv_object_kind_t *kind, const cv_config_t *c);
size_t cv_kind_count (const cv_object_kind_t *kind, const cv_config_t *c);
/* Make C own the array ITEMS; the previous array is not freed.  */
void cv_kind_set_items (const cv_object_kind_t *kind, cv_config_t *c,
                        char *items, size_t count);
/* The item of KIND with this name, or NULL.  */
char *cv_kind_find_item (const cv_object_kind_t *kind, const cv_config_t *c,
                         const char *name);

/* Format the value of field F of ITEM as text; empty for an object.  */
void cv_field_format (const cv_field_t *f, const char *item, char *out,
                      size_t size);

/* Append C to OUT as a JSON document.  */
void cv_config_write (const cv_config_t *c, cv_buf_t *out);

/* A reference from an object to one that is missing or unsuitable.  */
typedef struct
{
  const cv_object_kind_t *kind; /* of the referring object */
  const char *name;
  const char *key;        /* field that holds the reference */
  const char *referenced; /* name that the reference gives */
  char text[200];         /* diagnostic */
} cv_dangling_ref_t;

/* Call FN for each dangling reference of C.  */
void cv_config_find_dangling (const cv_config_t *c,
                              void (*fn) (const cv_dangling_ref_t *d,
                                          void *arg),
                              void *arg);

/* An empty configuration whose top-level fields have their defaults.  */
cv_config_t *cv_config_new (uint64_t version);
/* An editable copy of the objects and top-level fields of BASE, without its
   document and nonces; empty when BASE is NULL.  */
cv_config_t *cv_config_copy (const cv_config_t *base);
/* Sort the objects of C and build its key index, which lookups need.  Returns
   false and sets DUPLICATE when two accounts have the same key.  */
bool cv_config_index (cv_config_t *c, const cv_account_t **duplicate);
/* Compares two pointers to accounts by key hash, for qsort and bsearch.  */
int cv_config_compare_key_hashes (const void *a, const void *b);

#endif
