/* Regression bounds of the policy decisions.  */

#ifndef CV_BENCH_CHECK_H
#define CV_BENCH_CHECK_H

#include "bench/decisions/workload.h"

/* Whether all bounds hold; prints each result with its bound.  */
bool check_regression_bounds (const deployment_t *deployments);

#endif
