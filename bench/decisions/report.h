/* Runs of all ways over several seeds, and their figures.  */

#ifndef CV_BENCH_REPORT_H
#define CV_BENCH_REPORT_H

#include "bench/decisions/driver.h"

#define SEEDS_MAX 16

/* One line of the table: a deployment under a case at a load.  */
typedef struct
{
  const setup_t *setup;
  case_t what;
  double load;
  metrics_t *runs[WAYS]; /* one for each seed */
} line_t;

typedef struct
{
  double median;
  double low;
  double high;
} spread_t;

/* Write the lines that bounds are held against: both deployments, steady and
   with bursts, at 0.95 and 1.2.  Return their number.  */
#define LINES_BOUNDED 8
size_t report_lines_bounded (line_t *lines, const setup_t *setups);
/* Run LINES by the first WAYS ways over SEEDS seeds from FIRST on.  */
void report_run (line_t *lines, size_t n, size_t ways, uint64_t first,
                 size_t seeds);
void report_free (line_t *lines, size_t n);
spread_t report_spread (const line_t *line, way_t way, size_t seeds,
                        figure_t f);
/* The best baseline's median.  */
double report_best (const line_t *line, size_t seeds, figure_t f);
void report_table (const line_t *lines, size_t n, size_t seeds);
/* How the gaps of all ways divide into kinds, and the first token by class.
 */
void report_gaps (const line_t *lines, size_t n, size_t seeds);
bool report_json (const char *path, const char *revision, const line_t *lines,
                  size_t n, uint64_t first, size_t seeds);

#endif
