/* Expiry of claims: the objects that bind a caller's idempotency key to a
   ticket.

   Expiry does not depend on any wall clock.  All objects take their versions
   from one counter, so of two objects the one with the lower version was
   written earlier.  One object, the clock object, lists its own earlier
   versions, the marks.  An entry that has observed the same version of the
   clock object for CV_CLAIMS_CLOCK_INTERVAL writes the object again, with the
   replaced version as the newest mark.  The oldest of CV_CLAIMS_MARKS_MAX marks
   is therefore at least that many intervals old, and so is every claim with a
   lower version.  The entry that wrote the clock object deletes these claims,
   at a bounded rate, until it reads a version written by another entry.  */

#ifndef CV_ENTRY_STORE_CLAIMS_H
#define CV_ENTRY_STORE_CLAIMS_H

#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_CLAIMS_PREFIX "claims/"
#define CV_CLAIMS_CLOCK_KEY "claims-sweep/current"
/* Callers' keys are valid for 24 h.  The 25th interval allows for monotonic
   clocks that run up to 4% fast and for the duration of the reads.  Claims
   exist for longer than 25 h, because the clock object is written only at a
   check after the interval (CV_CLAIMS_CHECK_INTERVAL).  */
#define CV_CLAIMS_CLOCK_INTERVAL (3600 * CV_SECOND)
#define CV_CLAIMS_MARKS_MAX 25
/* Mean time between one entry's checks of the clock object.  */
#define CV_CLAIMS_CHECK_INTERVAL (600 * CV_SECOND)
/* A sweep runs in batches: each lists at most CV_CLAIMS_LIST_MAX keys and
   deletes at most CV_CLAIMS_DELETES_MAX of them.  */
#define CV_CLAIMS_BATCH_INTERVAL (500 * CV_MS)
#define CV_CLAIMS_LIST_MAX 200
#define CV_CLAIMS_DELETES_MAX 10
/* A batch starts no further delete after this time, because the thread also
   serves the jobs of other threads.  */
#define CV_CLAIMS_BATCH_TIME (100 * CV_MS)

typedef struct
{
  cv_rng_t rng;
  cv_time_t next_check;      /* of the clock object */
  cv_time_t next_batch;      /* of the running sweep */
  cv_time_t version_seen_at; /* when clock_version was first read */
  uint64_t clock_version;    /* 0: not read yet */
  uint64_t expired_version;  /* claims up to it are deleted; 0: no sweep */
  char last_key[CV_STORE_KEY_TEXT]; /* last key the sweep has processed */
  uint64_t deleted;
} cv_store_claims_t;

void cv_store_claims_init (cv_store_claims_t *c, cv_time_t now, uint64_t seed);
void cv_store_claims_finish (cv_store_claims_t *c);
/* Time of the next check or batch.  */
cv_time_t cv_store_claims_due (const cv_store_claims_t *c);
/* Runs what is due at NOW: at most one check of the clock object (two reads
   and one write) and one batch of a sweep.  */
void cv_store_claims_run (cv_store_claims_t *c, cv_store_t *store,
                          cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
