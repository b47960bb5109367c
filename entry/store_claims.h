/* Expiry of the claims that bind callers' own keys to tickets.

   No wall clock is trusted.  Versions of objects are revisions of the whole
   store, so that one object, the clock, orders all claims in time: an entry
   that has itself seen one version of it for CV_CLAIMS_STEP writes the next
   one, with the version that it replaces as its newest mark.  A mark that
   CV_CLAIMS_STEPS writes have followed is at least so many steps old, and
   with it every claim of a lower version.  Whoever writes the clock deletes
   these claims, at a bounded rate, until another entry writes it.  */

#ifndef CV_ENTRY_STORE_CLAIMS_H
#define CV_ENTRY_STORE_CLAIMS_H

#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_CLAIMS_PREFIX "claims/"
#define CV_CLAIMS_CLOCK "claims-sweep/current"
/* Callers' keys are valid for 24 h.  The step more than that makes up for
   clocks that run up to 4% fast and for the time of the reads.  */
#define CV_CLAIMS_STEP (3600 * CV_SECOND)
#define CV_CLAIMS_STEPS 25
/* Mean time between an entry's looks at the clock.  */
#define CV_CLAIMS_LOOK (600 * CV_SECOND)
/* One piece of a sweep: one list of at most so many keys, and deletes.  */
#define CV_CLAIMS_PIECE (500 * CV_MS)
#define CV_CLAIMS_LIST 200
#define CV_CLAIMS_DELETES 10
/* A piece begins no more deletes after this time: the thread is needed.  */
#define CV_CLAIMS_BUSY (100 * CV_MS)

typedef struct
{
  cv_rng_t rng;
  cv_time_t look_at;  /* next look at the clock */
  cv_time_t piece_at; /* next piece of the sweep, when there is one */
  cv_time_t since;    /* when VERSION was first seen */
  uint64_t version;   /* of the clock; 0: not seen yet */
  uint64_t horizon;   /* claims up to it are deleted; 0: no sweep */
  char after[CV_STORE_KEY_TEXT]; /* last key that the sweep has done */
  uint64_t deleted;
} cv_store_claims_t;

void cv_store_claims_init (cv_store_claims_t *c, cv_time_t now, uint64_t seed);
void cv_store_claims_finish (cv_store_claims_t *c);
/* When cv_store_claims_run has something to do.  */
cv_time_t cv_store_claims_due (const cv_store_claims_t *c);
/* Do what is due at NOW: at most a look (two reads and a write), and one
   piece of a sweep.  */
void cv_store_claims_run (cv_store_claims_t *c, cv_store_t *store,
                          cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
