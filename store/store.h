/* Client of the platform's object API.  Each call blocks its thread; one
   cv_store_t serves one thread at a time.  docs/PLATFORM.md has the
   protocol.  */

#ifndef CV_STORE_H
#define CV_STORE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Counts of calls, for the budget of the object API.  */
typedef struct
{
  uint64_t reads;
  uint64_t writes;
  uint64_t failures;
  uint64_t settled; /* lost answers that a read settled */
} cv_store_counts_t;

typedef struct
{
  char url[128]; /* http://IP:PORT */
  int timeout_ms;
  cv_store_counts_t counts;
  void *curl; /* CURL handle: keeps the connection of reads open */
} cv_store_t;

typedef struct
{
  uint64_t version; /* 0: does not exist */
  char *json;       /* value, owned; NULL when none */
} cv_object_t;

void cv_store_init (cv_store_t *s, const char *url, int timeout_ms);
void cv_store_finish (cv_store_t *s);
void cv_object_finish (cv_object_t *o);

/* Read KEY; an object that does not exist is version 0 and success.
   ERR is UNAVAILABLE when the store did not answer.  */
bool cv_store_get (cv_store_t *s, const char *key, cv_object_t *out,
                   cv_error_t *err);

/* Version of KEY without its value; 0 when it does not exist.  A read as
   for the limits.  */
bool cv_store_version (cv_store_t *s, const char *key, uint64_t *version,
                       cv_error_t *err);

/* Conditional write: succeeds only on VERSION (0 creates).  *NEW_VERSION is
   set on success.  ERR: CONFLICT, UNAVAILABLE (took no effect) or UNKNOWN
   (the answer was lost).  */
bool cv_store_put (cv_store_t *s, const char *key, uint64_t version,
                   const char *json, uint64_t *new_version, cv_error_t *err);

/* As cv_store_put, but JSON carries "nonce" (cv_store_add_nonce): a lost
   answer is settled by writing again on the same VERSION and reading back
   whose nonce is there, until DEADLINE (on cv_now).  UNKNOWN is left only
   when the store does not answer until then.
   An object that is overwritten keeps the nonces of earlier writes in an
   array "nonces"; when ours is among them the write took effect and
   *NEW_VERSION is the version that was read, which is later than ours.  */
bool cv_store_put_settled (cv_store_t *s, const char *key, uint64_t version,
                           const char *json, const char *nonce,
                           cv_time_t deadline, uint64_t *new_version,
                           cv_error_t *err);

/* Conditional delete of KEY at VERSION.  ERR: CONFLICT (another version),
   UNAVAILABLE or UNKNOWN; an object that does not exist is success.  Counted
   as a write.  */
bool cv_store_delete (cv_store_t *s, const char *key, uint64_t version,
                      cv_error_t *err);

/* Longest key of a listed object, with its null byte.  */
#define CV_STORE_KEY_TEXT 128

typedef struct
{
  char key[CV_STORE_KEY_TEXT];
  uint64_t version;
} cv_listed_t;

/* Keys that begin with PREFIX and follow AFTER ("": from the first), in
   order, at most MAX of them; *COUNT fewer than MAX: there are no more.  One
   read.  */
bool cv_store_list (cv_store_t *s, const char *prefix, const char *after,
                    cv_listed_t *out, size_t max, size_t *count,
                    cv_error_t *err);

/* Append the JSON object JSON to OUT with the first key "nonce".  */
void cv_store_add_nonce (cv_slice_t json, const char *nonce, cv_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
