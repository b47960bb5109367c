/* Regression bounds of the decisions.  */

#ifndef CV_BENCH_CHECK_H
#define CV_BENCH_CHECK_H

#include "bench/decisions/workload.h"

/* Whether the bound NAME holds; prints each figure with its bound.  */
bool check (const char *name, const setup_t *setups);

#endif
