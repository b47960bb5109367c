/* Simulates one run: a workload passes through entries, sides and simulated
   engines under one strategy.  */

#ifndef CV_BENCH_DRIVER_H
#define CV_BENCH_DRIVER_H

#include "bench/decisions/metrics.h"

/* Admission by the entries and placement on targets: those of this system, or
   those of a baseline.  */
typedef enum
{
  STRATEGY_CATKINVALE,
  STRATEGY_ROUND_ROBIN,
  STRATEGY_LEAST_IN_FLIGHT,
  STRATEGY_TWO_CHOICES
} strategy_t;

#define STRATEGIES 4

extern const char *const strategy_name[STRATEGIES];

typedef struct
{
  const deployment_t *deployment;
  case_t test_case;
  double load;
  strategy_t strategy;
  uint64_t seed;
} run_t;

/* Simulate R in virtual time and fill M.  */
void simulate (const run_t *r, metrics_t *m);

#endif
