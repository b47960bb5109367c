/* The declared configuration: models, pools, classes and client accounts,
 as one document with one version, and the operators' language over it.
 docs/CONFIGURATION.md describes the object kinds.  */

#ifndef CV_CONFIG_H
#define CV_CONFIG_H

#include "base/base.h"
#include "policy/policy.h"

#ifdef __cplusplus
extern "C" {
#endif

/* SHA-256 of a bearer key, in hexadecimal, with its null byte.  */
#define CV_KEY_HASH_TEXT 65

typedef struct
{
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];    /* pool that serves it */
  char adapter[CV_NAME_MAX]; /* "" for none */
  char version[CV_NAME_MAX];
  uint32_t max_tokens;
} cv_model_t;

typedef enum
{
  CV_POOL_ENGINE = 1, /* model engines */
  CV_POOL_SERVICE     /* plain services */
} cv_pool_kind_t;

typedef struct
{
  char name[CV_NAME_MAX];
  cv_pool_kind_t kind;
  bool checks_fence;  /* its engines refuse an old fencing number */
  uint32_t max_batch; /* streams that an engine runs at once */
  uint64_t kv_tokens; /* engine memory, in tokens */
} cv_pool_t;

/* How requests of one kind are treated ("report", "tag", ...).  */
typedef struct
{
  char name[CV_NAME_MAX];
  uint32_t priority;       /* higher goes first */
  uint32_t first_token_ms; /* deadline to the first token */
  uint32_t max_tokens;
  bool buffered; /* deliver whole, so that it can be run again */
} cv_class_t;

typedef struct
{
  char name[CV_NAME_MAX];
  char key_hash[CV_KEY_HASH_TEXT]; /* of the account's bearer key */
  char default_class[CV_NAME_MAX];
  cv_account_limits_t limits;
} cv_account_t;

/* Nonces of earlier writes that a document carries.  */
#define CV_NONCES_MAX 16

/* One accepted version.  Immutable once parsed; shared by reference.  */
typedef struct cv_config_t
{
  uint64_t version;
  int refs;
  cv_model_t *models; /* each kind is sorted by name */
  size_t model_count;
  cv_pool_t *pools;
  size_t pool_count;
  cv_class_t *classes;
  size_t class_count;
  cv_account_t *accounts;
  size_t account_count;
  const cv_account_t **by_key; /* the accounts sorted by key_hash */
  uint32_t limit_share; /* entries that share each account's limits; 0: as
                           many as the instance list shows */
  char nonces[CV_NONCES_MAX][CV_ID_TEXT]; /* of its writes, newest first */
  size_t nonce_count;
  char *text; /* the document as it was accepted */
  size_t text_size;
} cv_config_t;

/* Parse and check a document; NULL with ERR naming line and field.  The keys
   "nonce" and "nonces" at the top are left by cv_config_seal.  */
cv_config_t *cv_config_parse (uint64_t version, cv_slice_t json,
                              cv_error_t *err);
/* Check a document and report each problem as "NAME:LINE:COLUMN: text" on
   ERRORS (may be NULL); false when there was any.  */
bool cv_config_check (const char *name, cv_slice_t json, FILE *errors);
cv_config_t *cv_config_ref (cv_config_t *c);
void cv_config_unref (cv_config_t *c);

const cv_model_t *cv_config_model (const cv_config_t *c, const char *name);
const cv_pool_t *cv_config_pool (const cv_config_t *c, const char *name);
const cv_class_t *cv_config_class (const cv_config_t *c, const char *name);
const cv_account_t *cv_config_account (const cv_config_t *c, const char *name);
/* The account whose bearer key is KEY: found by the hash of KEY, and the
   hashes compared in constant time.  */
const cv_account_t *cv_config_account_by_key (const cv_config_t *c,
                                              cv_slice_t key);

/* Hexadecimal SHA-256 of KEY.  */
void cv_key_hash (cv_slice_t key, char out[CV_KEY_HASH_TEXT]);
/* KEY has this hash; compared in constant time.  False for an empty HASH.  */
bool cv_key_matches (cv_slice_t key, const char *hash);

/* Append the document JSON to OUT with "nonce" NONCE and, in "nonces", those
   of BASE's writes (NULL: none), so that a write whose answer was lost is
   recognised also after others have followed it.  False when JSON is no
   object.  */
bool cv_config_seal (const cv_config_t *base, cv_slice_t json,
                     const char *nonce, cv_buf_t *out, cv_error_t *err);

/* ---- the operators' language ---- */

/* Apply a change ("set account X weight 3; ...") to BASE (NULL: the empty
   configuration) and write the new document to OUT and a line per difference
   to DIFF; false with line and column in ERR, and nothing written.
   docs/OPERATORS.md has the grammar.  */
bool cv_change_apply (const cv_config_t *base, cv_slice_t text, cv_buf_t *out,
                      cv_buf_t *diff, cv_error_t *err);

/* A line per difference, as in a change's DIFF: "+ account X ...",
   "- account X ...", "~ account X weight: 1 -> 3".  Either may be NULL for
   the empty configuration.  */
void cv_config_diff (const cv_config_t *from, const cv_config_t *to,
                     cv_buf_t *out);
/* Names of what differs between two configurations ("account X"), a line
   each; both may be NULL for the empty one.  */
void cv_config_changed (const cv_config_t *from, const cv_config_t *to,
                        cv_buf_t *out);

/* One value of a row that a query runs over.  */
typedef struct
{
  const char *column;
  char value[CV_NAME_MAX];
} cv_cell_t;

#define CV_ROW_CELLS 16
typedef struct
{
  cv_cell_t cell[CV_ROW_CELLS];
  size_t count;
} cv_row_t;

/* A parsed `show THING where ...` query.  */
typedef struct cv_query_t cv_query_t;

cv_query_t *cv_query_parse (cv_slice_t text, cv_error_t *err);
void cv_query_free (cv_query_t *q);
/* "targets", "accounts", "models", "pools", "classes", "entries" or
   "system".  */
const char *cv_query_thing (const cv_query_t *q);
/* A column that ROW lacks matches nothing.  */
bool cv_query_match (const cv_query_t *q, const cv_row_t *row);
/* Rows of a declared thing; calls FN for each match.  */
void cv_query_config (const cv_query_t *q, const cv_config_t *c,
                      void (*fn) (const cv_row_t *row, void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
