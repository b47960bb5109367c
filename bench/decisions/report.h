/* Simulates all strategies over several seeds and reports the results.  */

#ifndef CV_BENCH_REPORT_H
#define CV_BENCH_REPORT_H

#include "bench/decisions/driver.h"

#define SEEDS_MAX 16

/* One result, printed as a block of text lines: a deployment under a test case
   at a load.  */
typedef struct
{
  const deployment_t *deployment;
  case_t test_case;
  double load;
  metrics_t *runs[STRATEGIES]; /* an array with one element per seed */
} line_t;

typedef struct
{
  double median;
  double low;
  double high;
} spread_t;

/* Fill LINES with those that the regression bounds apply to: both deployments,
   steady and with bursts, at loads 0.95 and 1.2.  Return their number.  */
#define BOUNDED_LINES 8
size_t report_bounded_lines (line_t *lines, const deployment_t *deployments);
/* Simulate LINES under the strategies numbered below `strategies` with the
   seeds FIRST to FIRST + SEEDS - 1, in parallel.  */
void report_run (line_t *lines, size_t n, size_t strategies, uint64_t first,
                 size_t seeds);
void report_free (line_t *lines, size_t n);
spread_t report_spread (const line_t *line, strategy_t strategy, size_t seeds,
                        figure_t f);
/* The median of the best baseline for F.  */
double report_best_baseline (const line_t *line, size_t seeds, figure_t f);
void report_table (const line_t *lines, size_t n, size_t seeds);
/* Print the gaps between tokens by kind for each strategy, and the time to the
   first token by class.  */
void report_gaps (const line_t *lines, size_t n, size_t seeds);
/* Write the results to the file PATH; false on failure, with errno set.  */
bool report_json (const char *path, const char *revision, const line_t *lines,
                  size_t n, uint64_t first, size_t seeds);

#endif
