/* Histories of a store that may be restored from a copy.  Load pattern: the
   store is away for a moment and returns some seconds older; what was written
   since the copy is lost, and its revisions are given out again.  Calls of
   several readers are in flight meanwhile, and their answers arrive in any
   order.

   The store names its history, called an era, in its answers.  What was read in
   one history says nothing about positions (revisions, names in a list) in
   another.  */

#ifndef CV_POLICY_STORE_HISTORY_H
#define CV_POLICY_STORE_HISTORY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* For this time after a restoration, what the copy says of an object that has
   changed since is not relied on.  The entry of a target that has ended is
   dropped after three of its heartbeats (1.2 s), and one of a target that runs
   stays; time until the store takes heartbeats again is added.  */
#define CV_COPY_DOUBT_PERIOD (6 * CV_SECOND)

/* Era that an answer names.  */
typedef struct
{
  bool is_named;
  uint64_t number;
} cv_era_t;

/* The history that a process follows.  */
typedef struct
{
  uint64_t number; /* counted by this process; 0: none was named yet */
  cv_era_t era;
  cv_time_t began_at; /* when this process learnt of it */
} cv_store_history_t;

/* What the position of a call to the store rests on.  */
typedef struct
{
  uint64_t history;  /* number of the history as the call was sent */
  bool continues;    /* goes on from a position that was read before */
  bool may_be_stale; /* the store may answer with data of some seconds ago */
} cv_call_basis_t;

/* Records the ERA of an answer to a call with BASIS.  Returns false when the
   answer does not belong to the current history: its reader starts over.  */
bool cv_store_history_admit (cv_store_history_t *h, cv_era_t era,
                             const cv_call_basis_t *basis, cv_time_t now);
/* Whether the store was restored less than PERIOD ago, as far as known.  */
bool cv_store_history_is_recent (const cv_store_history_t *h, cv_time_t now,
                                 cv_time_t period);

#ifdef __cplusplus
}
#endif

#endif
