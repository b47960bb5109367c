/* The simulated entries, sides and targets of a run.  */

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
  uint32_t attempts;        /* that failed or were rejected */
  cv_time_t first_token_at; /* 0: none yet */
  cv_time_t last_token_at;
  cv_route_request_t route;
} request_t;

typedef struct
{
  engine_t engine;
  cv_gate_t *gate; /* NULL under a baseline */
  cv_time_t step_from;
  cv_time_t step_end; /* 0: idle */
  cv_time_t report_at;
  bool down;
  bool dirty; /* its gate and engine have events to process */
} target_t;

typedef struct
{
  cv_router_t *router;
  cv_limits_t *limits;
  cv_length_t *length;
  cv_retry_budget_t budget[ACCOUNTS];
  uint32_t in_flight[TARGETS_MAX];
  uint32_t next_target; /* of round robin */
} entry_t;

typedef struct
{
  const deployment_t *deployment;
  case_t test_case;
  strategy_t strategy;
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
bool fleet_is_measuring (const fleet_t *f);
/* Increment the counter at offset FIELD of group_t in the groups of R.  */
void fleet_count (fleet_t *f, const request_t *r, size_t field);
void fleet_handle_arrival (fleet_t *f, request_t *r);
/* Retry R, of which no token was delivered, at another target.  FAILED: the
   target crashed, rather than rejected R.  */
void fleet_retry (fleet_t *f, request_t *r, bool failed);
void fleet_handle_token (fleet_t *f, request_t *r);
/* End R at its target, whether it completed or not.  */
void fleet_end_request (fleet_t *f, request_t *r);
void fleet_send_report (fleet_t *f, target_t *t, uint32_t entry);
void fleet_send_reports (fleet_t *f, target_t *t);
/* Apply the actions of the gates of dirty targets and start steps of their
   engines, until no target is dirty.  */
void fleet_process_dirty (fleet_t *f);
/* Start a step of T's engine when the engine is idle and has jobs.  */
void fleet_start_step (fleet_t *f, target_t *t);

#endif
