/* Runs simulations in parallel, computes medians, and writes the table and the
   JSON file.  */

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "bench/decisions/report.h"

#define THREADS_MAX 8

typedef struct
{
  line_t *lines;
  size_t n;
  size_t strategies;
  uint64_t first;
  size_t seeds;
  atomic_size_t next;
} work_t;

static void *run_worker (void *arg);
static int compare_doubles (const void *a, const void *b);
static spread_t spread (double *v, size_t n);
static bool higher_is_better (figure_t f);
static void print_fewest_slow_steps (const line_t *line, size_t seeds);
static void print_gaps (const line_t *line, strategy_t strategy, size_t seeds,
                        int class);
static void json_group (FILE *out, const char *name, const line_t *line,
                        strategy_t strategy, size_t seeds, int class,
                        int account);
static void json_line (FILE *out, const line_t *line, size_t seeds);

static void *
run_worker (void *arg)
{
  work_t *w = arg;
  size_t i;

  while ((i = atomic_fetch_add (&w->next, 1)) < w->n * w->strategies * w->seeds)
    {
      line_t *line = &w->lines[i / (w->strategies * w->seeds)];
      strategy_t strategy = (strategy_t)(i / w->seeds % w->strategies);
      size_t seed = i % w->seeds;
      run_t r = { .deployment = line->deployment,
                  .test_case = line->test_case,
                  .load = line->load,
                  .strategy = strategy,
                  .seed = w->first + seed };

      simulate (&r, &line->runs[strategy][seed]);
    }
  return NULL;
}

size_t
report_bounded_lines (line_t *lines, const deployment_t *deployments)
{
  size_t n = 0;

  for (size_t s = 0; s < deployment_count (); s++)
    for (int test_case = CASE_STEADY; test_case <= CASE_BURST; test_case++)
      for (int i = 0; i < 2; i++)
        lines[n++] = (line_t){ .deployment = &deployments[s],
                               .test_case = (case_t)test_case,
                               .load = i == 0 ? .95 : 1.2 };
  return n;
}

void
report_run (line_t *lines, size_t n, size_t strategies, uint64_t first,
            size_t seeds)
{
  work_t w = { .lines = lines,
               .n = n,
               .strategies = strategies,
               .first = first,
               .seeds = seeds };
  pthread_t thread[THREADS_MAX];
  int started = 0;

  for (size_t i = 0; i < n; i++)
    for (size_t strategy = 0; strategy < strategies; strategy++)
      lines[i].runs[strategy] = cv_calloc (seeds, sizeof (metrics_t));
  while (started < THREADS_MAX
         && pthread_create (&thread[started], NULL, run_worker, &w) == 0)
    started++;
  (void)run_worker (&w);
  while (started > 0)
    (void)pthread_join (thread[--started], NULL);
}

void
report_free (line_t *lines, size_t n)
{
  for (size_t i = 0; i < n; i++)
    for (int strategy = 0; strategy < STRATEGIES; strategy++)
      free (lines[i].runs[strategy]);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static spread_t
spread (double *v, size_t n)
{
  qsort (v, n, sizeof *v, compare_doubles);
  return (spread_t){ .median = (v[(n - 1) / 2] + v[n / 2]) / 2,
                     .low = v[0],
                     .high = v[n - 1] };
}

spread_t
report_spread (const line_t *line, strategy_t strategy, size_t seeds,
               figure_t f)
{
  double v[SEEDS_MAX] = { 0 };

  for (size_t i = 0; i < seeds; i++)
    v[i] = metrics_figure (&line->runs[strategy][i], line->deployment, f);
  return spread (v, seeds);
}

static bool
higher_is_better (figure_t f)
{
  return f == FIGURE_GOODPUT || f == FIGURE_FAIRNESS;
}

double
report_best_baseline (const line_t *line, size_t seeds, figure_t f)
{
  double best = 0;

  for (int strategy = STRATEGY_ROUND_ROBIN; strategy < STRATEGIES; strategy++)
    {
      double x = report_spread (line, (strategy_t)strategy, seeds, f).median;

      if (strategy == STRATEGY_ROUND_ROBIN
          || (x > best) == higher_is_better (f))
        best = x;
    }
  return best;
}

void
report_table (const line_t *lines, size_t n, size_t seeds)
{
  printf ("median over %zu seeds (lowest to highest)\n", seeds);
  for (size_t i = 0; i < n; i++)
    {
      const line_t *l = &lines[i];

      printf ("\n%s %s load %.2f\n  %-16s", l->deployment->name,
              case_name[l->test_case], l->load, "");
      printf (" %20s %20s %17s %8s %8s %18s %7s %7s %5s %6s\n",
              "stall s/1k tok", "preempt/1k answers", "gap p99 ms", "ttft p50",
              "ttft p95", "goodput tok/s", "refus%", "inter%", "fair",
              "ms/tok");
      for (int strategy = 0; strategy < STRATEGIES; strategy++)
        {
          spread_t s[FIGURES];

          for (int f = 0; f < FIGURES; f++)
            s[f] = report_spread (l, (strategy_t)strategy, seeds, (figure_t)f);
          printf ("  %-16s %6.3f (%5.3f-%6.3f) %5.0f (%4.0f - %4.0f) "
                  "%5.0f (%4.0f-%4.0f) %8.0f %8.0f %6.0f (%4.0f-%4.0f) %7.2f "
                  "%7.2f %5.3f %6.1f\n",
                  strategy_name[strategy], s[0].median, s[0].low, s[0].high,
                  s[1].median, s[1].low, s[1].high, s[2].median, s[2].low,
                  s[2].high, s[3].median, s[4].median, s[5].median, s[5].low,
                  s[5].high, s[6].median, s[7].median, s[8].median,
                  s[9].median);
        }
    }
}

/* Prints one line for CLASS, or for all classes when negative, over all
   seeds.  */
static void
print_gaps (const line_t *line, strategy_t strategy, size_t seeds, int class)
{
  histogram_t gap = { 0 };
  histogram_t first = { 0 };
  histogram_t gap_by_kind[GAP_KINDS] = { 0 };
  histogram_t step[GAP_KINDS] = { 0 };
  uint64_t steps = 0;

  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[strategy][i];
      const group_t *g = class < 0 ? &m->all : &m->class[class];

      histogram_merge (&gap, &g->gap);
      histogram_merge (&first, &g->first_token);
      for (int k = 0; k < GAP_KINDS; k++)
        {
          histogram_merge (&gap_by_kind[k], &g->gap_by_kind[k]);
          histogram_merge (&step[k], &m->step[k]);
          steps += m->step[k].n;
        }
    }
  printf ("  %-16s %-7s gap p99 %4.0f  ttft p50 %5.0f p95 %5.0f",
          strategy_name[strategy],
          class < 0 ? "all" : line->deployment->class[class].name,
          histogram_quantile (&gap, .99), histogram_quantile (&first, .5),
          histogram_quantile (&first, .95));
  for (int k = 0; k < GAP_KINDS; k++)
    printf ("  %s %6.2f%% (%3.0f, %3.0f)", gap_name[k],
            gap.n > 0 ? 100 * (double)gap_by_kind[k].n / (double)gap.n : 0,
            histogram_quantile (&gap_by_kind[k], .5),
            histogram_quantile (&gap_by_kind[k], .99));
  for (int k = 0; k < GAP_PAUSED && class < 0; k++)
    printf ("  %s steps %5.2f%% (%3.0f)", gap_name[k],
            steps > 0 ? 100 * (double)step[k].n / (double)steps : 0,
            histogram_quantile (&step[k], .5));
  printf ("\n");
}

/* Prints the smallest possible share of steps that exceed the bound on gaps,
   given the prompts of this system's runs.  A step within the bound prefills at
   most prefill_budget prompt tokens.  Only the last step of a prompt can be
   that short, since the engine fills its prefill chunk.  */
static void
print_fewest_slow_steps (const line_t *line, size_t seeds)
{
  const engine_model_t *e = &line->deployment->engine;
  double bound = report_best_baseline (line, seeds, FIGURE_GAP) / 2;
  histogram_t plain = { 0 };
  double steps = 0;
  double uncached = 0;
  double unshared = 0;
  double beyond = 0;
  double all = 0;
  double prefill_budget;

  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[STRATEGY_CATKINVALE][i];

      histogram_merge (&plain, &m->step[GAP_PLAIN]);
      for (int k = 0; k < GAP_KINDS; k++)
        steps += (double)m->step[k].n;
    }
  prefill_budget
      = 1000 * (bound - histogram_quantile (&plain, .5)) / e->prefill_us;
  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[STRATEGY_CATKINVALE][i];

      beyond += histogram_count_above (&m->all.gap, 1000 * bound);
      all += (double)m->all.gap.n;
      uncached += histogram_excess_above (&m->uncached_millitokens,
                                          1000 * prefill_budget)
                  / 1000;
      unshared += histogram_excess_above (&m->unshared_millitokens,
                                          1000 * prefill_budget)
                  / 1000;
    }
  printf ("  bound %.1f ms, steps within it prefill at most %.0f tokens; "
          "%.2f%% of gaps exceed it, and at least %.2f%% of steps must, or "
          "%.2f%% if every shared prefix is cached\n",
          bound, prefill_budget, 100 * beyond / all,
          100 * uncached / e->prefill_chunk / steps,
          100 * unshared / e->prefill_chunk / steps);
}

void
report_gaps (const line_t *lines, size_t n, size_t seeds)
{
  printf ("\nkinds of gaps over all seeds: percent of gaps (p50, p99 ms); "
          "percent of steps (p50 ms)\n");
  for (size_t i = 0; i < n; i++)
    {
      printf ("%s %s load %.2f\n", lines[i].deployment->name,
              case_name[lines[i].test_case], lines[i].load);
      print_fewest_slow_steps (&lines[i], seeds);
      for (int strategy = 0; strategy < STRATEGIES; strategy++)
        print_gaps (&lines[i], (strategy_t)strategy, seeds, -1);
      for (int c = 0; c < CLASSES; c++)
        print_gaps (&lines[i], STRATEGY_CATKINVALE, seeds, c);
    }
}

/* Writes the results of one class or account, or of the whole run when both
   are negative.  */
static void
json_group (FILE *out, const char *name, const line_t *line,
            strategy_t strategy, size_t seeds, int class, int account)
{
  fprintf (out, "{\"name\":\"%s\"", name);
  for (int f = 0; f < FIGURES; f++)
    {
      spread_t s;
      double v[SEEDS_MAX] = { 0 };

      if (f == FIGURE_FAIRNESS && (class >= 0 || account >= 0))
        continue;
      for (size_t i = 0; i < seeds; i++)
        {
          const metrics_t *m = &line->runs[strategy][i];

          v[i] = class >= 0 ? group_figure (m, &m->class[class], (figure_t)f)
                 : account >= 0
                     ? group_figure (m, &m->account[account], (figure_t)f)
                     : metrics_figure (m, line->deployment, (figure_t)f);
        }
      s = spread (v, seeds);
      fprintf (out, ",\"%s\":[%.6g,%.6g,%.6g]", figure_name[f], s.median, s.low,
               s.high);
    }
  fprintf (out, "}");
}

static void
json_line (FILE *out, const line_t *line, size_t seeds)
{
  fprintf (out,
           "{\"deployment\":\"%s\",\"case\":\"%s\",\"load\":%.2f,\"ways\":[",
           line->deployment->name, case_name[line->test_case], line->load);
  for (int strategy = 0; strategy < STRATEGIES; strategy++)
    {
      fprintf (out, "%s\n{\"way\":\"%s\",\"all\":", strategy ? "," : "",
               strategy_name[strategy]);
      json_group (out, "all", line, (strategy_t)strategy, seeds, -1, -1);
      fprintf (out, ",\"classes\":[");
      for (int c = 0; c < CLASSES; c++)
        {
          fprintf (out, "%s", c ? "," : "");
          json_group (out, line->deployment->class[c].name, line,
                      (strategy_t)strategy, seeds, c, -1);
        }
      fprintf (out, "],\"accounts\":[");
      for (int a = 0; a < ACCOUNTS; a++)
        {
          char name[16];

          (void)snprintf (name, sizeof name, "account-%d", a);
          fprintf (out, "%s", a ? "," : "");
          json_group (out, name, line, (strategy_t)strategy, seeds, -1, a);
        }
      fprintf (out, "]}");
    }
  fprintf (out, "]}");
}

bool
report_json (const char *path, const char *revision, const line_t *lines,
             size_t n, uint64_t first, size_t seeds)
{
  FILE *out = fopen (path, "w");

  if (out == NULL)
    return false;
  fprintf (out,
           "{\"bench\":\"decisions\",\"revision\":\"%s\",\"first_seed\":%llu,"
           "\"seeds\":%zu,\"figures\":\"[median, lowest, highest]\","
           "\"lines\":[\n",
           revision, (unsigned long long)first, seeds);
  for (size_t i = 0; i < n; i++)
    {
      json_line (out, &lines[i], seeds);
      fprintf (out, i + 1 < n ? ",\n" : "\n");
    }
  fprintf (out, "]}\n");
  return fclose (out) == 0;
}
