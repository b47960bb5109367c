/* Benchmark of the policy decisions in simulated deployments.

   bench_decisions [-gq] [-s FIRST_SEED] [-n SEEDS] [-o JSON] [-r REVISION]
     prints the table of results; with -q only for the test cases steady and
     burst at loads 0.95 and 1.2, with -g also the causes of the gaps between
     tokens.
   bench_decisions -c
     checks the regression bounds and prints each result with its bound.  */

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "bench/decisions/check.h"
#include "bench/decisions/report.h"

#define LINES_MAX 64
/* Not among seeds 1 to 8; see CHECK_FIRST_SEED.  */
#define DEFAULT_FIRST_SEED 101
#define DEFAULT_SEEDS 5

static size_t all_lines (line_t *lines, const deployment_t *deployments);

static size_t
all_lines (line_t *lines, const deployment_t *deployments)
{
  static const double loads[] = { .7, .95, 1.2, 2 };
  size_t n = 0;

  for (size_t s = 0; s < deployment_count (); s++)
    {
      for (int test_case = CASE_STEADY; test_case <= CASE_BURST; test_case++)
        for (int i = 0; i < 4; i++)
          lines[n++] = (line_t){ .deployment = &deployments[s],
                                 .test_case = (case_t)test_case,
                                 .load = loads[i] };
      lines[n++] = (line_t){ .deployment = &deployments[s], .load = 1 };
      for (int test_case = CASE_LOST; test_case < CASES; test_case++)
        lines[n++] = (line_t){ .deployment = &deployments[s],
                               .test_case = (case_t)test_case,
                               .load = .95 };
    }
  return n;
}

int
main (int argc, char **argv)
{
  line_t lines[LINES_MAX];
  deployment_t deployments[2];
  uint64_t first = DEFAULT_FIRST_SEED;
  size_t seeds = DEFAULT_SEEDS;
  const char *json = NULL;
  const char *revision = "unknown";
  bool quick = false;
  bool gaps = false;
  size_t n;
  int opt;

  for (size_t i = 0; i < deployment_count (); i++)
    {
      deployment_init (&deployments[i], i);
      printf ("%s: best of one engine %.0f tokens/s\n", deployments[i].name,
              deployments[i].best_tokens_per_s);
    }
  while ((opt = getopt (argc, argv, "cgqs:n:o:r:")) != -1)
    switch (opt)
      {
      case 'c':
        return check_regression_bounds (deployments) ? 0 : 1;
      case 'g':
        gaps = true;
        break;
      case 'q':
        quick = true;
        break;
      case 's':
        first = strtoull (optarg, NULL, 10);
        break;
      case 'n':
        seeds = strtoull (optarg, NULL, 10);
        break;
      case 'o':
        json = optarg;
        break;
      case 'r':
        revision = optarg;
        break;
      default:
        return 2;
      }
  if (seeds < 1 || seeds > SEEDS_MAX)
    return 2;
  n = quick ? report_bounded_lines (lines, deployments)
            : all_lines (lines, deployments);
  report_run (lines, n, STRATEGIES, first, seeds);
  report_table (lines, n, seeds);
  if (gaps)
    report_gaps (lines, n, seeds);
  if (json != NULL && !report_json (json, revision, lines, n, first, seeds))
    perror (json);
  report_free (lines, n);
  return 0;
}
