/* Prints the results of a load as tables or as JSON.  */

#include <inttypes.h>

#include "catkinctl/load.h"

#define CELL_TEXT 32
#define QUANTILES 3

static const double quantiles[QUANTILES] = { 0.5, 0.95, 0.99 };
static const char *const kind_names[CV_LOAD_KINDS]
    = { "summary", "tag", "booking" };
static const char *const outcome_names[CV_LOAD_OUTCOMES]
    = { "done", "refused", "not_run", "unknown", "interrupted", "cut" };

static void
add_count (cv_table_t *t, uint64_t count)
{
  char text[CELL_TEXT];

  (void)snprintf (text, sizeof text, "%" PRIu64, count);
  cv_table_add_cell (t, text);
}

static void
add_quantiles_ms (cv_table_t *t, const cv_hist_t *h)
{
  char text[CELL_TEXT];
  int i;

  for (i = 0; i < QUANTILES; i++)
    {
      (void)snprintf (text, sizeof text, "%.1f",
                      cv_hist_quantile (h, quantiles[i]) * 1000);
      cv_table_add_cell (t, h->count > 0 ? text : "-");
    }
}

static void
print_outcomes (const cv_load_t *l)
{
  cv_table_t *t = cv_table_new ();
  int kind;
  int i;

  cv_table_add_cell (t, "requests");
  for (i = 0; i < CV_LOAD_OUTCOMES; i++)
    cv_table_add_cell (t, outcome_names[i]);
  cv_table_add_cell (t, "broken");
  cv_table_end_row (t);
  for (kind = 0; kind < CV_LOAD_KINDS; kind++)
    {
      cv_table_add_cell (t, kind_names[kind]);
      for (i = 0; i < CV_LOAD_OUTCOMES; i++)
        add_count (t, l->stats[kind].outcomes[i]);
      add_count (t, l->stats[kind].violations);
      cv_table_end_row (t);
    }
  cv_table_print (t, stdout);
  cv_table_free (t);
}

static void
print_times (const cv_load_t *l)
{
  static const char *const titles[]
      = { "times",  "first p50", "p95 ms",  "p99 ms", "gap p50",
          "p95 ms", "p99 ms",    "stall s", "tokens" };
  cv_table_t *t = cv_table_new ();
  char text[CELL_TEXT];
  size_t i;
  int kind;

  for (i = 0; i < sizeof titles / sizeof *titles; i++)
    cv_table_add_cell (t, titles[i]);
  cv_table_end_row (t);
  for (kind = 0; kind < CV_LOAD_BOOKING; kind++)
    {
      cv_table_add_cell (t, kind_names[kind]);
      add_quantiles_ms (t, &l->stats[kind].first_token);
      add_quantiles_ms (t, &l->stats[kind].gap);
      (void)snprintf (text, sizeof text, "%.3f",
                      (double)l->stats[kind].stall_time / (double)CV_SECOND);
      cv_table_add_cell (t, text);
      add_count (t, l->stats[kind].tokens);
      cv_table_end_row (t);
    }
  cv_table_print (t, stdout);
  cv_table_free (t);
}

void
cv_load_print (const cv_load_t *l, cv_time_t elapsed, double preemptions)
{
  size_t i;

  print_outcomes (l);
  printf ("\n");
  print_times (l);
  printf ("\n");
  for (i = 0; i < l->reason_count; i++)
    printf ("reason %s: %" PRIu64 "\n", l->reasons[i].code,
            l->reasons[i].count);
  if (preemptions >= 0)
    printf ("preemptions: %.0f\n", preemptions);
  else
    printf ("preemptions: not reported by the entry\n");
  printf ("%u requests in %.1f s, seed %u\n", l->started,
          (double)elapsed / (double)CV_SECOND, l->ctl->seed);
  if (l->first_violation[0] != '\0')
    printf ("BROKEN: %s\n", l->first_violation);
}

static void
print_json_quantiles_ms (const char *name, const cv_hist_t *h)
{
  printf (",\"%s\":{\"count\":%" PRIu64
          ",\"p50\":%.4g,\"p95\":%.4g,\"p99\":%.4g}",
          name, h->count, cv_hist_quantile (h, quantiles[0]) * 1000,
          cv_hist_quantile (h, quantiles[1]) * 1000,
          cv_hist_quantile (h, quantiles[2]) * 1000);
}

void
cv_load_print_json (const cv_load_t *l, cv_time_t elapsed, double preemptions)
{
  const cv_load_stats_t *s;
  size_t i;
  int kind;

  printf ("{\"requests\":%u,\"elapsed_ms\":%" PRId64 ",\"seed\":%u", l->started,
          elapsed / CV_MS, l->ctl->seed);
  for (kind = 0; kind < CV_LOAD_KINDS; kind++)
    {
      s = &l->stats[kind];
      printf (",\"%s\":{", kind_names[kind]);
      for (i = 0; i < CV_LOAD_OUTCOMES; i++)
        printf ("\"%s\":%" PRIu64 ",", outcome_names[i], s->outcomes[i]);
      printf ("\"broken\":%" PRIu64 ",\"tokens\":%" PRIu64
              ",\"stall_ms\":%" PRId64,
              s->violations, s->tokens, s->stall_time / CV_MS);
      print_json_quantiles_ms ("first_token_ms", &s->first_token);
      print_json_quantiles_ms ("gap_ms", &s->gap);
      printf ("}");
    }
  printf (",\"reasons\":{");
  for (i = 0; i < l->reason_count; i++)
    printf ("%s\"%s\":%" PRIu64, i > 0 ? "," : "", l->reasons[i].code,
            l->reasons[i].count);
  printf ("},\"preemptions\":");
  if (preemptions >= 0)
    printf ("%.0f}\n", preemptions);
  else
    printf ("null}\n");
}
