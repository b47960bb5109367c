/* Counters and histograms of an entry, one set for each account and class,
   exported in the Prometheus text format.  */

#ifndef CV_ENTRY_METRICS_H
#define CV_ENTRY_METRICS_H

#include "base/base.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_entry_metrics_t cv_entry_metrics_t;
typedef struct cv_series_t cv_series_t;

/* Counters of the whole entry.  */
typedef enum
{
  CV_COUNT_FRAMES_DROPPED, /* late, misdirected or duplicate */
  CV_COUNT_REATTACHES,     /* ATTACH sent because frames are or may be lost */
  CV_COUNT_RETRIES,
  CV_COUNT_RETRIES_DENIED, /* by the retry budget */
  CV_COUNT_TARGETS_LOST,
  CV_COUNT_REVOKES,
  CV_COUNT_CONFIGS_ADOPTED,
  CV_COUNT_LAST
} cv_count_t;

/* Measures of one account and class; times are in seconds.  */
typedef enum
{
  CV_MEASURE_FIRST_TOKEN, /* from request to first token */
  CV_MEASURE_TOKEN_GAP,   /* between token messages of one stream */
  CV_MEASURE_STALL,       /* sum of gap time above 1 s, per answer */
  CV_MEASURE_DURATION,    /* from request to last reply */
  CV_MEASURE_TOKENS,      /* number of tokens of a complete answer */
  CV_MEASURE_LAST
} cv_measure_t;

cv_entry_metrics_t *cv_entry_metrics_new (void);
void cv_entry_metrics_free (cv_entry_metrics_t *m);
void cv_entry_metrics_count (cv_entry_metrics_t *m, cv_count_t what);
uint64_t cv_entry_metrics_get (const cv_entry_metrics_t *m, cv_count_t what);
/* Returns the series of an account and class, created on first use.  It is
   valid until M is freed.  */
cv_series_t *cv_entry_metrics_series (cv_entry_metrics_t *m,
                                      const char *account,
                                      const char *class_name);
void cv_entry_metrics_observe (cv_series_t *s, cv_measure_t what, double value);
void cv_entry_metrics_outcome (cv_series_t *s, cv_outcome_t outcome);
/* CODE is a cv_failure_code_t.  */
void cv_entry_metrics_failure (cv_series_t *s, int code);
/* Appends all metrics to OUT in the Prometheus text format.  */
void cv_entry_metrics_write (const cv_entry_metrics_t *m, cv_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
