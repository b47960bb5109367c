/* The entries and sides of a run.  */

#ifndef CV_BENCH_FLEET_H
#define CV_BENCH_FLEET_H

#include <stddef.h>

#include "bench/decisions/driver.h"
#include "policy/policy.h"

typedef enum
{
  REQUEST_NEW,
  REQUEST_PLACED, /* at a target */
  REQUEST_OVER
} request_state_t;

typedef struct
{
  job_t job;
  const arrival_t *arrival;
  request_state_t state;
  uint32_t target;
  uint32_t tries;
  cv_time_t first; /* token, 0: none yet */
  cv_time_t last;  /* token */
  cv_route_request_t route;
} request_t;

typedef struct
{
  engine_t engine;
  cv_gate_t *gate; /* NULL under a baseline */
  cv_time_t step_from;
  cv_time_t step_end; /* 0: idle */
  cv_time_t report_at;
  bool lost;
  bool dirty; /* its gate and engine are to be looked at */
} target_t;

typedef struct
{
  cv_router_t *router;
  cv_limits_t *limits;
  cv_length_t *length;
  cv_retry_budget_t budget[ACCOUNTS];
  uint32_t in_flight[TARGETS_MAX];
  uint32_t turn; /* round robin */
} entry_t;

typedef struct
{
  const setup_t *setup;
  case_t what;
  way_t way;
  cv_time_t now;
  metrics_t *metrics;
  workload_t workload;
  request_t *requests; /* one for each arrival */
  target_t targets[TARGETS_MAX];
  entry_t entries[ENTRIES_MAX];
  cv_rng_t rng;
} fleet_t;

void fleet_init (fleet_t *f, const run_t *r, metrics_t *m, cv_time_t length);
void fleet_finish (fleet_t *f);
const class_t *fleet_class (const fleet_t *f, const request_t *r);
bool fleet_measures (const fleet_t *f);
/* Count R in the counter at offset FIELD of its groups.  */
void fleet_count (fleet_t *f, const request_t *r, size_t field);
void fleet_arrive (fleet_t *f, request_t *r);
/* R was not run at its target: try another.  FAILED: by the target's fault. */
void fleet_place_again (fleet_t *f, request_t *r, bool failed);
void fleet_token (fleet_t *f, request_t *r);
/* R is over, however it went.  */
void fleet_ended (fleet_t *f, request_t *r);
void fleet_report (fleet_t *f, target_t *t, uint32_t entry);
void fleet_report_all (fleet_t *f, target_t *t);
/* Let the gates of dirty targets act and their engines step.  */
void fleet_settle (fleet_t *f);
/* Begin a step of T's engine when it is idle and has work.  */
void fleet_kick (fleet_t *f, target_t *t);

#endif
