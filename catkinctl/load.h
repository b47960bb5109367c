/* Load on one entry: a bounded mix of summaries, tags and bookings.  */

#ifndef CV_CTL_LOAD_H
#define CV_CTL_LOAD_H

#include <pthread.h>

#include "catkinctl/ctl.h"

typedef enum
{
  CV_LOAD_SUMMARY,
  CV_LOAD_TAG,
  CV_LOAD_BOOKING,
  CV_LOAD_KINDS
} cv_load_kind_t;

/* The outcomes of the API, and that none was told.  */
typedef enum
{
  CV_LOAD_DONE,
  CV_LOAD_REFUSED,
  CV_LOAD_NOT_RUN,
  CV_LOAD_UNKNOWN,
  CV_LOAD_INTERRUPTED,
  CV_LOAD_CUT, /* no answer, or one without its end */
  CV_LOAD_OUTCOMES
} cv_load_outcome_t;

/* What became of one request.  */
typedef struct
{
  cv_load_outcome_t outcome;
  char reason[CV_NAME_MAX]; /* code of the error, or "" */
  char broken[80];          /* promise that the answer broke, or "" */
  uint32_t retry_after_ms;
  uint64_t tokens;
  cv_time_t stalled; /* in gaps, beyond a second each */
} cv_load_result_t;

#define CV_LOAD_REASONS 32

typedef struct
{
  uint64_t outcomes[CV_LOAD_OUTCOMES];
  uint64_t broken;
  uint64_t tokens;
  cv_time_t stalled;
  cv_hist_t first_token; /* s */
  cv_hist_t gap;         /* s */
} cv_load_stats_t;

typedef struct
{
  char code[CV_NAME_MAX];
  uint64_t count;
} cv_load_reason_t;

/* Shared by the callers; all but CTL under LOCK.  */
typedef struct
{
  const cv_ctl_t *ctl;
  pthread_mutex_t lock;
  uint32_t begun;
  cv_time_t start;
  cv_time_t stop_at;
  cv_load_stats_t stats[CV_LOAD_KINDS];
  cv_load_reason_t reasons[CV_LOAD_REASONS];
  size_t reason_count;
  char broken[80]; /* the first broken promise */
} cv_load_t;

/* Outcome of that name in the API; CUT for any other.  */
cv_load_outcome_t cv_load_outcome (const char *name);
/* Code, outcome and time to come back of an error answer.  */
void cv_load_error (const char *body, cv_load_result_t *r);

/* One streamed generation, and one booking that is sent twice.  */
void cv_load_stream (cv_load_t *l, cv_load_kind_t kind, uint32_t number,
                     cv_load_result_t *r);
void cv_load_booking (cv_load_t *l, uint32_t number, cv_load_result_t *r);

void cv_load_print (const cv_load_t *l, cv_time_t elapsed, double preemptions);
void cv_load_print_json (const cv_load_t *l, cv_time_t elapsed,
                         double preemptions);

#endif
