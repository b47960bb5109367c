/* The declared configuration (models, pools, classes and client accounts) as
   one versioned document, and the operators' language that changes and queries
   it.  docs/CONFIGURATION.md describes the object kinds.  */

#ifndef CV_CONFIG_H
#define CV_CONFIG_H

#include "base/base.h"
#include "policy/policy.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Size in bytes of a bearer key's SHA-256 in hexadecimal, with its null
   byte.  */
#define CV_KEY_HASH_TEXT 65

typedef struct
{
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];    /* pool that serves the model */
  char adapter[CV_NAME_MAX]; /* "" for none */
  char version[CV_NAME_MAX];
  uint32_t max_tokens;
} cv_model_t;

typedef enum
{
  CV_POOL_ENGINE = 1, /* model engines */
  CV_POOL_SERVICE     /* plain services: targets that are no engines */
} cv_pool_kind_t;

typedef struct
{
  char name[CV_NAME_MAX];
  cv_pool_kind_t kind;
  bool checks_fence; /* its engines reject orders with an outdated
                        fencing token */
  /* Of an engine: concurrent generations, and KV-cache memory in tokens.  A
     side uses the values of its own settings instead.  */
  uint32_t max_batch;
  uint64_t kv_tokens;
} cv_pool_t;

/* Priority, deadline of the first token and limits of a request class
   ("report", "tag", ...).  */
typedef struct
{
  char name[CV_NAME_MAX];
  uint32_t priority;       /* higher is served first, unlike the priority of a
                              route */
  uint32_t first_token_ms; /* time limit for the first token */
  uint32_t max_tokens;
  bool buffered; /* send the output only when complete, so that a failed
                    generation can be retried */
} cv_class_t;

typedef struct
{
  char name[CV_NAME_MAX];
  char key_hash[CV_KEY_HASH_TEXT]; /* of the account's bearer key */
  char default_class[CV_NAME_MAX];
  cv_account_limits_t limits;
} cv_account_t;

/* Maximum number of write nonces in a document (cv_config_add_nonces).  */
#define CV_NONCES_MAX 16

/* One accepted version of the configuration.  Immutable once parsed; shared
   through a reference count.  */
typedef struct cv_config_t
{
  uint64_t version;
  int refs;
  cv_model_t *models; /* the array of each kind is sorted by name */
  size_t model_count;
  cv_pool_t *pools;
  size_t pool_count;
  cv_class_t *classes;
  size_t class_count;
  cv_account_t *accounts;
  size_t account_count;
  const cv_account_t **by_key; /* accounts in order of key_hash */
  uint32_t limit_share;        /* count of entries among which each account's
                                  limits are divided; 0: those in the instance
                                  list */
  char nonces[CV_NONCES_MAX][CV_ID_TEXT]; /* latest write first */
  size_t nonce_count;
  char *text; /* the document as accepted */
  size_t text_size;
} cv_config_t;

/* Parse and validate a document; on failure return NULL and set ERR with line
   and field.  The top-level keys "nonce" and "nonces", which
   cv_config_add_nonces writes, are read too.  */
cv_config_t *cv_config_parse (uint64_t version, cv_slice_t json,
                              cv_error_t *err);
/* Validate a document and write each problem as "NAME:LINE:COLUMN: text" to
   ERRORS (may be NULL).  Returns false when there is a problem.  */
bool cv_config_check (const char *name, cv_slice_t json, FILE *errors);
/* Take and drop a reference; C may be NULL in cv_config_unref.  */
cv_config_t *cv_config_ref (cv_config_t *c);
void cv_config_unref (cv_config_t *c);

/* The object with this name, or NULL.  */
const cv_model_t *cv_config_model (const cv_config_t *c, const char *name);
const cv_pool_t *cv_config_pool (const cv_config_t *c, const char *name);
const cv_class_t *cv_config_class (const cv_config_t *c, const char *name);
const cv_account_t *cv_config_account (const cv_config_t *c, const char *name);
/* The account whose bearer key is KEY, or NULL.  The account is looked up by
   the hash of KEY, which does not take constant time; the hash of the account
   found is then compared with it in constant time.  */
const cv_account_t *cv_config_account_by_key (const cv_config_t *c,
                                              cv_slice_t key);

/* Write the SHA-256 of KEY in hexadecimal to OUT.  */
void cv_key_hash (cv_slice_t key, char out[CV_KEY_HASH_TEXT]);
/* Whether KEY has this hash, compared in constant time.  False when HASH is not
   a full hash, such as an empty text.  */
bool cv_key_matches (cv_slice_t key, const char *hash);

/* Append the document JSON to OUT with NONCE as "nonce" and the latest
   CV_NONCES_MAX - 1 nonces of BASE (NULL: none), its own first, as "nonces".  A
   writer that missed the store's response finds its nonce in the document even
   after later writes.  Fails when JSON is not an object.  */
bool cv_config_add_nonces (const cv_config_t *base, cv_slice_t json,
                           const char *nonce, cv_buf_t *out, cv_error_t *err);

/* ---- the operators' language ---- */

/* Apply a change ("set account X weight 3; ...") to BASE.  A change is a list
   of edits (set, add or remove), each ended by a semicolon or a line end.  BASE
   may be NULL for the empty configuration.  Append the new document to OUT and
   a line per difference to DIFF.  On failure nothing is appended and ERR has
   line and column.  docs/OPERATORS.md has the grammar.  */
bool cv_change_apply (const cv_config_t *base, cv_slice_t text, cv_buf_t *out,
                      cv_buf_t *diff, cv_error_t *err);

/* Append a line per difference: "+ account X ...", "- account X ..." or
   "~ account X weight: 1 -> 3".  FROM and TO may be NULL for the empty
   configuration.  */
void cv_config_diff (const cv_config_t *from, const cv_config_t *to,
                     cv_buf_t *out);
/* Append a line with kind and name ("account X") for each object that differs
   between FROM and TO, which may be NULL for the empty configuration.  */
void cv_config_list_changed (const cv_config_t *from, const cv_config_t *to,
                             cv_buf_t *out);

/* One column of a row and its value.  */
typedef struct
{
  const char *column;
  char value[CV_NAME_MAX];
} cv_cell_t;

/* Maximum number of cells of a row.  */
#define CV_ROW_CELLS 16
typedef struct
{
  cv_cell_t cell[CV_ROW_CELLS];
  size_t count;
} cv_row_t;

/* A parsed `show TABLE where ...` query.  */
typedef struct cv_query_t cv_query_t;

cv_query_t *cv_query_parse (cv_slice_t text, cv_error_t *err);
void cv_query_free (cv_query_t *q);
/* The table that the query selects from: "targets", "accounts", "models",
   "pools", "classes", "entries" or "system".  */
const char *cv_query_table (const cv_query_t *q);
/* Whether ROW meets all conditions; a condition on a column that ROW lacks is
   not met.  */
bool cv_query_match (const cv_query_t *q, const cv_row_t *row);
/* Call FN for each matching row of the objects of C.  Tables of run-time state
   ("targets", "entries") have no rows here.  */
void cv_query_select (const cv_query_t *q, const cv_config_t *c,
                      void (*fn) (const cv_row_t *row, void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
