/* The kinds of declared objects as tables, so that reading, writing,
   comparing, editing and querying each stand once for all kinds.  */

#ifndef CV_CONFIG_KINDS_H
#define CV_CONFIG_KINDS_H

#include "base/json.h"
#include "config/config.h"

/* One kind.  An item is a struct that starts with its name.  */
typedef struct
{
  const char *singular;
  const char *plural; /* key in the document */
  size_t item_size;
  size_t items_offset; /* of the array pointer in cv_config_t */
  size_t count_offset; /* of its length */
  const cv_field_t *fields;
} cv_kind_t;

#define CV_KIND_COUNT 4
extern const cv_kind_t cv_kinds[CV_KIND_COUNT];

/* Fields of the document itself, read into cv_config_t.  */
extern const cv_field_t cv_system_fields[];

/* By singular or plural; NULL when unknown.  */
const cv_kind_t *cv_kind_find (const char *word);
const cv_field_t *cv_kind_field (const cv_field_t *fields, const char *key);

char *cv_kind_items (const cv_kind_t *kind, const cv_config_t *c);
size_t cv_kind_count (const cv_kind_t *kind, const cv_config_t *c);
void cv_kind_set (const cv_kind_t *kind, cv_config_t *c, char *items,
                  size_t count);
/* Item NAME of KIND, or NULL.  */
char *cv_kind_item (const cv_kind_t *kind, const cv_config_t *c,
                    const char *name);

/* The value of field F of ITEM as text, for rows and differences.  */
void cv_field_text (const cv_field_t *f, const char *item, char *out,
                    size_t size);

/* Append C as a document.  */
void cv_config_write (const cv_config_t *c, cv_buf_t *out);

/* A reference from one object to another that does not exist.  */
typedef struct
{
  const cv_kind_t *kind; /* of the object that refers */
  const char *name;
  const char *key;
  const char *target; /* name that is not there */
  char text[200];
} cv_dangling_t;

/* Report each broken reference to FN.  */
void cv_config_references (const cv_config_t *c,
                           void (*fn) (const cv_dangling_t *d, void *arg),
                           void *arg);

/* A new, empty configuration, and a copy of BASE's objects that may be
   edited; cv_config_index makes it ready for lookups and is false when two
   accounts have one key.  */
cv_config_t *cv_config_new (uint64_t version);
cv_config_t *cv_config_copy (const cv_config_t *base);
bool cv_config_index (cv_config_t *c, const cv_account_t **twice);
/* Order of pointers to accounts by key hash, for qsort and bsearch.  */
int cv_config_compare_keys (const void *a, const void *b);

#endif
