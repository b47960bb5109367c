/* Regression bounds: results of this system against the best baseline of the
   same seeds, and against its own results under less load.  */

#include <stdio.h>

#include "bench/decisions/check.h"
#include "bench/decisions/report.h"

/* Seeds 1 to 8 are left to the choice of policy constants, so that results do
   not depend on constants fitted to the same seeds.  */
#define CHECK_FIRST_SEED 201
#define CHECK_SEEDS 8

typedef struct
{
  const char *name;
  double factor; /* of the best baseline's median */
  figure_t figure;
  bool at_least;
} bound_t;

static const bound_t bounds[] = {
  { "stall", 1. / 3, FIGURE_STALL, false },
  { "preemptions", 1. / 4, FIGURE_PREEMPT, false },
  { "gap", 1. / 2, FIGURE_GAP, false },
  { "goodput", 1, FIGURE_GOODPUT, true },
};

static bool check_bound (const char *name, const line_t *l, figure_t f,
                         double value, double limit, bool at_least);
static double own_median (const line_t *l, figure_t f);
static bool check_against_baselines (const deployment_t *deployments);
static bool check_against_own (const deployment_t *deployments);

static bool
check_bound (const char *name, const line_t *l, figure_t f, double value,
             double limit, bool at_least)
{
  bool ok = at_least ? value >= limit : value <= limit;

  printf ("%s %s: %s %s load %.2f: %s %.4g, bound %s %.4g\n", name,
          ok ? "holds" : "MISSED", l->deployment->name, case_name[l->test_case],
          l->load, figure_name[f], value, at_least ? ">=" : "<=", limit);
  return ok;
}

static double
own_median (const line_t *l, figure_t f)
{
  return report_spread (l, STRATEGY_CATKINVALE, CHECK_SEEDS, f).median;
}

/* Checks each bounded line against the best baseline.  */
static bool
check_against_baselines (const deployment_t *deployments)
{
  line_t l[BOUNDED_LINES];
  size_t n = report_bounded_lines (l, deployments);
  bool ok = true;

  report_run (l, n, STRATEGIES, CHECK_FIRST_SEED, CHECK_SEEDS);
  for (size_t b = 0; b < sizeof bounds / sizeof *bounds; b++)
    for (size_t i = 0; i < n; i++)
      ok = check_bound (bounds[b].name, &l[i], bounds[b].figure,
                        own_median (&l[i], bounds[b].figure),
                        bounds[b].factor
                            * report_best_baseline (&l[i], CHECK_SEEDS,
                                                    bounds[b].figure),
                        bounds[b].at_least)
           && ok;
  report_free (l, n);
  return ok;
}

/* Checks that a greedy neighbour account raises the time per output token of
   the other accounts by at most 10%, and that goodput at twice the saturation
   load is at least 95% of that at saturation.  */
static bool
check_against_own (const deployment_t *deployments)
{
  bool ok = true;

  for (size_t s = 0; s < deployment_count (); s++)
    {
      line_t l[4] = { { .deployment = &deployments[s], .load = .95 },
                      { .deployment = &deployments[s],
                        .test_case = CASE_GREEDY,
                        .load = .95 },
                      { .deployment = &deployments[s], .load = 1 },
                      { .deployment = &deployments[s], .load = 2 } };

      report_run (l, 4, 1, CHECK_FIRST_SEED, CHECK_SEEDS);
      ok = check_bound ("neighbour", &l[1], FIGURE_ANSWER_TOKEN_TIME,
                        own_median (&l[1], FIGURE_ANSWER_TOKEN_TIME),
                        1.1 * own_median (&l[0], FIGURE_ANSWER_TOKEN_TIME),
                        false)
           && ok;
      ok = check_bound ("collapse", &l[3], FIGURE_GOODPUT,
                        own_median (&l[3], FIGURE_GOODPUT),
                        .95 * own_median (&l[2], FIGURE_GOODPUT), true)
           && ok;
      report_free (l, 4);
    }
  return ok;
}

bool
check_regression_bounds (const deployment_t *deployments)
{
  bool bounded = check_against_baselines (deployments);

  return check_against_own (deployments) && bounded;
}
