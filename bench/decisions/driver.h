/* One run: a workload through entries, sides and fake engines under one way
   to decide.  */

#ifndef CV_BENCH_DRIVER_H
#define CV_BENCH_DRIVER_H

#include "bench/decisions/metrics.h"

typedef enum
{
  WAY_CATKINVALE,
  WAY_ROUND_ROBIN,
  WAY_LEAST_IN_FLIGHT,
  WAY_TWO_CHOICES
} way_t;

#define WAYS 4

extern const char *const way_name[WAYS];

typedef struct
{
  const setup_t *setup;
  case_t what;
  double load;
  way_t way;
  uint64_t seed;
} run_t;

/* Run R in virtual time and fill M.  */
void run (const run_t *r, metrics_t *m);

#endif
