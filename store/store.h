/* Client of the platform's object API, called the store.  Calls block the
   calling thread; a cv_store_t can be used by one thread at a time.
   docs/PLATFORM.md describes the protocol.  */

#ifndef CV_STORE_H
#define CV_STORE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Counts of requests to the store since cv_store_init.  The store limits their
   rate.  */
typedef struct
{
  uint64_t reads;
  uint64_t writes;
  uint64_t failures;
  uint64_t resolved; /* lost responses whose outcome a read determined */
} cv_store_counts_t;

typedef struct
{
  char url[128]; /* http://IP:PORT */
  int timeout_ms;
  cv_store_counts_t counts;
  void *curl;   /* CURL handle; reads reuse its connection */
  int stopping; /* atomic */
} cv_store_t;

typedef struct
{
  uint64_t version; /* 0: the object does not exist */
  char *json;       /* value, owned; NULL if there is none */
} cv_object_t;

void cv_store_init (cv_store_t *s, const char *url, int timeout_ms);
void cv_store_finish (cv_store_t *s);
/* Makes cv_store_put_resolved give up after the call that it waits for; may be
   called by another thread.  */
void cv_store_stop (cv_store_t *s);
void cv_object_finish (cv_object_t *o);

/* Reads KEY.  An object that does not exist is returned with version 0 and
   counts as success.  ERR: UNAVAILABLE when the store did not
   respond or the response is not usable.  */
bool cv_store_get (cv_store_t *s, const char *key, cv_object_t *out,
                   cv_error_t *err);

/* Reads the version of KEY without its value; 0 when it does not exist.  The
   store counts it as a read.  */
bool cv_store_get_version (cv_store_t *s, const char *key, uint64_t *version,
                           cv_error_t *err);

/* Conditional write: succeeds only if the object has VERSION (0: does not
   exist).  Sets *NEW_VERSION on success.  ERR: CONFLICT, UNAVAILABLE (not
   applied) or UNKNOWN (the response was lost).  */
bool cv_store_put (cv_store_t *s, const char *key, uint64_t version,
                   const char *json, uint64_t *new_version, cv_error_t *err);

/* Like cv_store_put, but determines the outcome when the response is lost.
   JSON has NONCE under the key "nonce" (cv_store_add_nonce).  Until DEADLINE
   (on cv_now), the object is read: the write was applied if the object has
   NONCE, and is repeated if the object still has VERSION.  ERR is UNKNOWN only
   when the store does not respond until DEADLINE.  A writer that overwrites an
   object keeps earlier nonces in the array "nonces"; if NONCE is found there,
   *NEW_VERSION is the later version that was read.  */
bool cv_store_put_resolved (cv_store_t *s, const char *key, uint64_t version,
                            const char *json, const char *nonce,
                            cv_time_t deadline, uint64_t *new_version,
                            cv_error_t *err);

/* Deletes KEY if it has VERSION.  An object that does not exist is success.
   ERR: CONFLICT (another version), UNAVAILABLE or UNKNOWN.  The store counts it
   as a write.  */
bool cv_store_delete (cv_store_t *s, const char *key, uint64_t version,
                      cv_error_t *err);

/* Size of the key of a listed object, including the terminating null byte.  */
#define CV_STORE_KEY_TEXT 128

typedef struct
{
  char key[CV_STORE_KEY_TEXT];
  uint64_t version;
} cv_store_entry_t;

/* Lists keys that begin with PREFIX and follow AFTER ("": from the first), in
   order, at most MAX.  When *COUNT is less than MAX there are no more keys.
   The store counts it as one read.  */
bool cv_store_list (cv_store_t *s, const char *prefix, const char *after,
                    cv_store_entry_t *out, size_t max, size_t *count,
                    cv_error_t *err);

/* Appends the JSON object JSON to OUT with "nonce" as its first key.  */
void cv_store_add_nonce (cv_slice_t json, const char *nonce, cv_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
