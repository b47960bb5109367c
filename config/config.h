/* The declared configuration: models, pools, classes and client accounts,
   as one document with one version, and the operators' language over it.
   docs/CONFIGURATION.md describes the object kinds.  */

#ifndef CV_CONFIG_H
#define CV_CONFIG_H

#include "base/base.h"
#include "policy/policy.h"

#ifdef __cplusplus
extern "C"
{
#endif

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
    char key_hash[65]; /* hexadecimal SHA-256 or BLAKE2b of the bearer key */
    char default_class[CV_NAME_MAX];
    cv_account_limits_t limits;
  } cv_account_t;

  /* One accepted version.  Immutable once parsed; shared by reference.  */
  typedef struct cv_config_t
  {
    uint64_t version;
    int refs;
    cv_model_t *models;
    size_t model_count;
    cv_pool_t *pools;
    size_t pool_count;
    cv_class_t *classes;
    size_t class_count;
    cv_account_t *accounts; /* sorted by name */
    size_t account_count;
    uint32_t limit_share; /* entries that share each account's limits */
    char *text;           /* the document as it was accepted */
    size_t text_size;
  } cv_config_t;

  /* Parse and check a document; NULL with ERR naming line and field.  */
  cv_config_t *cv_config_parse (uint64_t version, cv_slice_t json,
                                cv_error_t *err);
  cv_config_t *cv_config_ref (cv_config_t *c);
  void cv_config_unref (cv_config_t *c);

  const cv_model_t *cv_config_model (const cv_config_t *c, const char *name);
  const cv_pool_t *cv_config_pool (const cv_config_t *c, const char *name);
  const cv_class_t *cv_config_class (const cv_config_t *c, const char *name);
  const cv_account_t *cv_config_account (const cv_config_t *c,
                                         const char *name);
  /* The account whose bearer key is KEY, compared in constant time.  */
  const cv_account_t *cv_config_account_by_key (const cv_config_t *c,
                                                cv_slice_t key);

  /* ---- the operators' language ---- */

  /* Apply a change ("set account X weight 3; ...") to BASE and write the new
     document to OUT and a line per difference to DIFF; false with line and
     column in ERR, and nothing changed.  */
  bool cv_change_apply (const cv_config_t *base, cv_slice_t text, cv_buf_t *out,
                        cv_buf_t *diff, cv_error_t *err);

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
  /* "targets", "accounts", "models", "pools", "classes", "entries".  */
  const char *cv_query_thing (const cv_query_t *q);
  bool cv_query_match (const cv_query_t *q, const cv_row_t *row);
  /* Rows of a declared thing; calls FN for each match.  */
  void cv_query_config (const cv_query_t *q, const cv_config_t *c,
                        void (*fn) (const cv_row_t *row, void *arg), void *arg);

#ifdef __cplusplus
}
#endif

#endif
