/* Which entries of instances count.  Load pattern: a target is leaving or gone,
   and an entry shows it as ready: the store was restored from a copy, the entry
   is of an earlier start of the instance, or of another writer.

   An instance may start again under its id.  What is known of a start does not
   pass on to a later one, and a start that has ended does not come back.  */

#ifndef CV_POLICY_STARTS_H
#define CV_POLICY_STARTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Starts that are kept; the one that changed longest ago is dropped first.
   Above the targets that leave while an entry may be older.  */
#define CV_STARTS_MAX 1024

typedef enum
{
  CV_START_SERVES = 1,
  CV_START_REMOVED, /* its entry was removed */
  CV_START_LEAVING  /* by its own word, which is final */
} cv_start_state_t;

/* The latest start of an instance that left or was removed.  */
typedef struct
{
  uint64_t instance; /* hash of its id; 0: none */
  uint64_t started_ms;
  cv_start_state_t state;
  uint64_t history;     /* of the store, in which it was removed */
  cv_time_t changed_at; /* of STATE */
} cv_start_t;

typedef struct
{
  cv_start_t starts[CV_STARTS_MAX];
} cv_starts_t;

/* An entry that shows an instance as ready.  */
typedef struct
{
  uint64_t instance;
  uint64_t started_ms; /* 0: not stated; before all others */
  uint64_t history;    /* of the store, in which it was read */
  bool is_change;      /* it was written in this history, not copied */
} cv_start_entry_t;

/* What follows from an entry.  */
typedef enum
{
  CV_ENTRY_COUNTS = 1,
  CV_ENTRY_OLDER,   /* of an earlier start */
  CV_ENTRY_LEAVING, /* the start is leaving */
  CV_ENTRY_COPIED   /* removed before the store was restored: counts only if it
                       stays */
} cv_entry_verdict_t;

cv_entry_verdict_t cv_starts_judge (const cv_starts_t *s,
                                    const cv_start_entry_t *entry);
/* Whether the start STARTED_MS is the latest one kept of INSTANCE.  */
bool cv_starts_has (const cv_starts_t *s, uint64_t instance,
                    uint64_t started_ms);
/* The start STARTED_MS of INSTANCE is in STATE since NOW, as known in HISTORY.
   Of an earlier start, and against a leaving, nothing is recorded; nor that an
   instance serves of which nothing is known.  */
void cv_starts_record (cv_starts_t *s, uint64_t instance, uint64_t started_ms,
                       cv_start_state_t state, uint64_t history, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
