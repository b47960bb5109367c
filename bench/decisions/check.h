/* Regression bounds of the decisions.  */

#ifndef CV_BENCH_CHECK_H
#define CV_BENCH_CHECK_H

#include "bench/decisions/workload.h"

/* Whether all bounds hold; prints each figure with its bound.  */
bool check (const setup_t *setups);

#endif
