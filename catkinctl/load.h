/* Load generator for one entry: a bounded mix of summaries, tags and
   bookings.  */

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

/* Outcomes of the API, then CUT for a response without one.  */
typedef enum
{
  CV_LOAD_DONE,
  CV_LOAD_REFUSED,
  CV_LOAD_NOT_RUN,
  CV_LOAD_UNKNOWN,
  CV_LOAD_INTERRUPTED,
  CV_LOAD_CUT, /* no response, or an incomplete one */
  CV_LOAD_OUTCOMES
} cv_load_outcome_t;

/* Result of one request.  */
typedef struct
{
  cv_load_outcome_t outcome;
  char reason[CV_NAME_MAX]; /* error code, or "" */
  char violation[80];       /* first guarantee violated, or "" */
  uint32_t retry_after_ms;
  uint64_t tokens;
  cv_time_t stall_time; /* sum of the parts of gaps beyond 1 s */
} cv_load_result_t;

#define CV_LOAD_REASONS 32

typedef struct
{
  uint64_t outcomes[CV_LOAD_OUTCOMES];
  uint64_t violations; /* requests whose response violated a guarantee */
  uint64_t tokens;
  cv_time_t stall_time;
  cv_hist_t first_token; /* s */
  cv_hist_t gap;         /* s */
} cv_load_stats_t;

typedef struct
{
  char code[CV_NAME_MAX];
  uint64_t count;
} cv_load_reason_t;

/* State shared by the callers; LOCK protects all but CTL, START and
   DEADLINE.  */
typedef struct
{
  const cv_ctl_t *ctl;
  pthread_mutex_t lock;
  uint32_t started; /* requests */
  cv_time_t start;
  cv_time_t deadline; /* for starting requests */
  cv_load_stats_t stats[CV_LOAD_KINDS];
  cv_load_reason_t reasons[CV_LOAD_REASONS];
  size_t reason_count;
  char first_violation[80];
} cv_load_t;

/* Returns the outcome with this name in the API, CUT for any other name.  */
cv_load_outcome_t cv_load_parse_outcome (const char *name);
/* Parses code, outcome and retry_after_ms of an error response.  */
void cv_load_parse_error (const char *body, cv_load_result_t *r);

/* Run one streamed generation, and one booking that is sent twice under the
   same ticket.  */
void cv_load_run_stream (cv_load_t *l, cv_load_kind_t kind, uint32_t number,
                         cv_load_result_t *r);
void cv_load_run_booking (cv_load_t *l, uint32_t number, cv_load_result_t *r);

void cv_load_print (const cv_load_t *l, cv_time_t elapsed, double preemptions);
void cv_load_print_json (const cv_load_t *l, cv_time_t elapsed,
                         double preemptions);

#endif
