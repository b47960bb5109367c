/* Parallel runs, medians, the table and the JSON file.  */

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
  size_t ways;
  uint64_t first;
  size_t seeds;
  atomic_size_t next;
} work_t;

static void *worker (void *arg);
static int by_value (const void *a, const void *b);
static spread_t spread (double *v, size_t n);
static bool higher_is_better (figure_t f);
static void floor_of (const line_t *line, size_t seeds);
static void gaps_of (const line_t *line, way_t way, size_t seeds, int class);
static void json_group (FILE *out, const char *name, const line_t *line,
                        way_t way, size_t seeds, int class, int account);
static void json_line (FILE *out, const line_t *line, size_t seeds);

static void *
worker (void *arg)
{
  work_t *w = arg;
  size_t i;

  while ((i = atomic_fetch_add (&w->next, 1)) < w->n * w->ways * w->seeds)
    {
      line_t *line = &w->lines[i / (w->ways * w->seeds)];
      way_t way = (way_t)(i / w->seeds % w->ways);
      size_t seed = i % w->seeds;
      run_t r = { .setup = line->setup,
                  .what = line->what,
                  .load = line->load,
                  .way = way,
                  .seed = w->first + seed };

      run (&r, &line->runs[way][seed]);
    }
  return NULL;
}

size_t
report_lines_bounded (line_t *lines, const setup_t *setups)
{
  size_t n = 0;

  for (size_t s = 0; s < setup_count (); s++)
    for (int what = CASE_STEADY; what <= CASE_BURST; what++)
      for (int i = 0; i < 2; i++)
        lines[n++] = (line_t){ .setup = &setups[s],
                               .what = (case_t)what,
                               .load = i == 0 ? .95 : 1.2 };
  return n;
}

void
report_run (line_t *lines, size_t n, size_t ways, uint64_t first, size_t seeds)
{
  work_t w = {
    .lines = lines, .n = n, .ways = ways, .first = first, .seeds = seeds
  };
  pthread_t thread[THREADS_MAX];
  int started = 0;

  for (size_t i = 0; i < n; i++)
    for (size_t way = 0; way < ways; way++)
      lines[i].runs[way] = cv_calloc (seeds, sizeof (metrics_t));
  while (started < THREADS_MAX
         && pthread_create (&thread[started], NULL, worker, &w) == 0)
    started++;
  (void)worker (&w);
  while (started > 0)
    (void)pthread_join (thread[--started], NULL);
}

void
report_free (line_t *lines, size_t n)
{
  for (size_t i = 0; i < n; i++)
    for (int way = 0; way < WAYS; way++)
      free (lines[i].runs[way]);
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static spread_t
spread (double *v, size_t n)
{
  qsort (v, n, sizeof *v, by_value);
  return (spread_t){ .median = (v[(n - 1) / 2] + v[n / 2]) / 2,
                     .low = v[0],
                     .high = v[n - 1] };
}

spread_t
report_spread (const line_t *line, way_t way, size_t seeds, figure_t f)
{
  double v[SEEDS_MAX] = { 0 };

  for (size_t i = 0; i < seeds; i++)
    v[i] = metrics_figure (&line->runs[way][i], line->setup, f);
  return spread (v, seeds);
}

static bool
higher_is_better (figure_t f)
{
  return f == FIGURE_GOODPUT || f == FIGURE_FAIRNESS;
}

double
report_best (const line_t *line, size_t seeds, figure_t f)
{
  double best = 0;

  for (int way = WAY_ROUND_ROBIN; way < WAYS; way++)
    {
      double x = report_spread (line, (way_t)way, seeds, f).median;

      if (way == WAY_ROUND_ROBIN || (x > best) == higher_is_better (f))
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

      printf ("\n%s %s load %.2f\n  %-16s", l->setup->name, case_name[l->what],
              l->load, "");
      printf (" %20s %20s %17s %8s %8s %18s %7s %7s %5s %6s\n",
              "stall s/1k tok", "preempt/1k answers", "gap p99 ms", "ttft p50",
              "ttft p95", "goodput tok/s", "refus%", "inter%", "fair",
              "ms/tok");
      for (int way = 0; way < WAYS; way++)
        {
          spread_t s[FIGURES];

          for (int f = 0; f < FIGURES; f++)
            s[f] = report_spread (l, (way_t)way, seeds, (figure_t)f);
          printf ("  %-16s %6.3f (%5.3f-%6.3f) %5.0f (%4.0f - %4.0f) "
                  "%5.0f (%4.0f-%4.0f) %8.0f %8.0f %6.0f (%4.0f-%4.0f) %7.2f "
                  "%7.2f %5.3f %6.1f\n",
                  way_name[way], s[0].median, s[0].low, s[0].high, s[1].median,
                  s[1].low, s[1].high, s[2].median, s[2].low, s[2].high,
                  s[3].median, s[4].median, s[5].median, s[5].low, s[5].high,
                  s[6].median, s[7].median, s[8].median, s[9].median);
        }
    }
}

/* One line: of one class, or of all when negative, over all seeds.  */
static void
gaps_of (const line_t *line, way_t way, size_t seeds, int class)
{
  histogram_t gap = { 0 };
  histogram_t first = { 0 };
  histogram_t of[GAP_KINDS] = { 0 };
  histogram_t step[GAP_KINDS] = { 0 };
  uint64_t steps = 0;

  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[way][i];
      const group_t *g = class < 0 ? &m->all : &m->class[class];

      histogram_merge (&gap, &g->gap);
      histogram_merge (&first, &g->first);
      for (int k = 0; k < GAP_KINDS; k++)
        {
          histogram_merge (&of[k], &g->gap_of[k]);
          histogram_merge (&step[k], &m->step[k]);
          steps += m->step[k].n;
        }
    }
  printf ("  %-16s %-7s gap p99 %4.0f  ttft p50 %5.0f p95 %5.0f", way_name[way],
          class < 0 ? "all" : line->setup->class[class].name,
          histogram_quantile (&gap, .99), histogram_quantile (&first, .5),
          histogram_quantile (&first, .95));
  for (int k = 0; k < GAP_KINDS; k++)
    printf ("  %s %6.2f%% (%3.0f, %3.0f)", gap_name[k],
            gap.n > 0 ? 100 * (double)of[k].n / (double)gap.n : 0,
            histogram_quantile (&of[k], .5), histogram_quantile (&of[k], .99));
  for (int k = 0; k < GAP_BROKEN && class < 0; k++)
    printf ("  %s steps %5.2f%% (%3.0f)", gap_name[k],
            steps > 0 ? 100 * (double)step[k].n / (double)steps : 0,
            histogram_quantile (&step[k], .5));
  printf ("\n");
}

/* The fewest steps that our prompts need beyond the gaps' bound.  A step
   within the bound carries at most SPARE prompt tokens, and only the last of a
   prompt's can be so short, as the engine fills its chunk.  */
static void
floor_of (const line_t *line, size_t seeds)
{
  const engine_model_t *e = &line->setup->engine;
  double bound = report_best (line, seeds, FIGURE_GAP) / 2;
  histogram_t plain = { 0 };
  double steps = 0;
  double uncached = 0;
  double own = 0;
  double beyond = 0;
  double all = 0;
  double spare;

  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[WAY_CATKINVALE][i];

      histogram_merge (&plain, &m->step[GAP_PLAIN]);
      for (int k = 0; k < GAP_KINDS; k++)
        steps += (double)m->step[k].n;
    }
  spare = 1000 * (bound - histogram_quantile (&plain, .5)) / e->prefill_us;
  for (size_t i = 0; i < seeds; i++)
    {
      const metrics_t *m = &line->runs[WAY_CATKINVALE][i];

      beyond += histogram_count_above (&m->all.gap, 1000 * bound);
      all += (double)m->all.gap.n;
      uncached += histogram_above (&m->uncached, 1000 * spare) / 1000;
      own += histogram_above (&m->own, 1000 * spare) / 1000;
    }
  printf ("  bound %.1f ms, %.0f prompt tokens of a step within it; gaps "
          "beyond %.2f%%, fewest steps beyond %.2f%%, with every prefix cached "
          "%.2f%%\n",
          bound, spare, 100 * beyond / all,
          100 * uncached / e->prefill_chunk / steps,
          100 * own / e->prefill_chunk / steps);
}

void
report_gaps (const line_t *lines, size_t n, size_t seeds)
{
  printf ("\nkinds of gaps over all seeds: part (p50, p99 ms); steps: part "
          "(p50 ms)\n");
  for (size_t i = 0; i < n; i++)
    {
      printf ("%s %s load %.2f\n", lines[i].setup->name,
              case_name[lines[i].what], lines[i].load);
      floor_of (&lines[i], seeds);
      for (int way = 0; way < WAYS; way++)
        gaps_of (&lines[i], (way_t)way, seeds, -1);
      for (int c = 0; c < CLASSES; c++)
        gaps_of (&lines[i], WAY_CATKINVALE, seeds, c);
    }
}

/* Figures of one class or account, or of all when both are negative.  */
static void
json_group (FILE *out, const char *name, const line_t *line, way_t way,
            size_t seeds, int class, int account)
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
          const metrics_t *m = &line->runs[way][i];

          v[i] = class >= 0 ? group_figure (m, &m->class[class], (figure_t)f)
                 : account >= 0
                     ? group_figure (m, &m->account[account], (figure_t)f)
                     : metrics_figure (m, line->setup, (figure_t)f);
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
           line->setup->name, case_name[line->what], line->load);
  for (int way = 0; way < WAYS; way++)
    {
      fprintf (out, "%s\n{\"way\":\"%s\",\"all\":", way ? "," : "",
               way_name[way]);
      json_group (out, "all", line, (way_t)way, seeds, -1, -1);
      fprintf (out, ",\"classes\":[");
      for (int c = 0; c < CLASSES; c++)
        {
          fprintf (out, "%s", c ? "," : "");
          json_group (out, line->setup->class[c].name, line, (way_t)way, seeds,
                      c, -1);
        }
      fprintf (out, "],\"accounts\":[");
      for (int a = 0; a < ACCOUNTS; a++)
        {
          char name[16];

          (void)snprintf (name, sizeof name, "account-%d", a);
          fprintf (out, "%s", a ? "," : "");
          json_group (out, name, line, (way_t)way, seeds, -1, a);
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
