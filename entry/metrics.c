/* Counters and histograms of an entry in the Prometheus text format.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core.h"
#include "entry/metrics.h"

#define METRICS_BUCKETS 256
#define OUTCOMES 5
/* Histogram bins per exported bucket; cv_hist_t has 33 bins per decade, which
   gives three buckets per decade.  */
#define BINS_PER_BUCKET 11

/* Metrics of one account and class.  */
struct cv_series_t
{
  LIST_ENTRY (cv_series_t) link;
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  uint64_t outcomes[OUTCOMES];
  uint64_t failures[CV_FAIL_COUNT];
  cv_hist_t hist[CV_MEASURE_LAST];
};

struct cv_entry_metrics_t
{
  uint64_t counts[CV_COUNT_LAST];
  LIST_HEAD (cv_series_bucket_t, cv_series_t) series[METRICS_BUCKETS];
};

static const char *const count_names[CV_COUNT_LAST] = {
  [CV_COUNT_FRAMES_DROPPED] = "frames_dropped",
  [CV_COUNT_REATTACHES] = "reattaches",
  [CV_COUNT_RETRIES] = "retries",
  [CV_COUNT_RETRIES_DENIED] = "retries_denied",
  [CV_COUNT_TARGETS_LOST] = "targets_lost",
  [CV_COUNT_REVOKES] = "revokes",
  [CV_COUNT_CONFIGS_ADOPTED] = "configs_adopted",
};

typedef struct
{
  const char *name;
  double low;
  double high;
} cv_measure_info_t;

static const cv_measure_info_t measure_infos[CV_MEASURE_LAST] = {
  [CV_MEASURE_FIRST_TOKEN] = { "first_token_seconds", 1e-4, 100 },
  [CV_MEASURE_TOKEN_GAP] = { "token_gap_seconds", 1e-5, 100 },
  [CV_MEASURE_STALL] = { "stall_seconds", 1e-3, 1000 },
  [CV_MEASURE_DURATION] = { "duration_seconds", 1e-4, 1e4 },
  [CV_MEASURE_TOKENS] = { "answer_tokens", 1, 1e6 },
};

static void each_series (const cv_entry_metrics_t *m,
                         void (*write) (const cv_series_t *s, int what,
                                        cv_buf_t *out),
                         int what, cv_buf_t *out);
static void write_outcomes (const cv_series_t *s, int what, cv_buf_t *out);
static void write_failures (const cv_series_t *s, int what, cv_buf_t *out);
static void write_buckets (const cv_series_t *s, int what, cv_buf_t *out);
static void write_quantiles (const cv_series_t *s, int what, cv_buf_t *out);

cv_entry_metrics_t *
cv_entry_metrics_new (void)
{
  return cv_calloc (1, sizeof (cv_entry_metrics_t));
}

void
cv_entry_metrics_free (cv_entry_metrics_t *m)
{
  cv_series_t *s;

  for (size_t b = 0; b < METRICS_BUCKETS; b++)
    while ((s = LIST_FIRST (&m->series[b])) != NULL)
      {
        LIST_REMOVE (s, link);
        for (int i = 0; i < CV_MEASURE_LAST; i++)
          cv_hist_finish (&s->hist[i]);
        free (s);
      }
  free (m);
}

void
cv_entry_metrics_count (cv_entry_metrics_t *m, cv_count_t what)
{
  m->counts[what]++;
}

uint64_t
cv_entry_metrics_get (const cv_entry_metrics_t *m, cv_count_t what)
{
  return m->counts[what];
}

void
cv_entry_metrics_observe (cv_series_t *s, cv_measure_t what, double value)
{
  cv_hist_add (&s->hist[what], value);
}

void
cv_entry_metrics_outcome (cv_series_t *s, cv_outcome_t outcome)
{
  CV_INVARIANT ((int)outcome < OUTCOMES);
  s->outcomes[outcome]++;
}

void
cv_entry_metrics_failure (cv_series_t *s, int code)
{
  CV_INVARIANT (code >= 0 && code < CV_FAIL_COUNT);
  s->failures[code]++;
}

void
cv_entry_metrics_write (const cv_entry_metrics_t *m, cv_buf_t *out)
{
  for (int i = 0; i < CV_COUNT_LAST; i++)
    cv_buf_printf (out,
                   "# TYPE catkinvale_entry_%s_total counter\n"
                   "catkinvale_entry_%s_total %llu\n",
                   count_names[i], count_names[i],
                   (unsigned long long)m->counts[i]);
  cv_buf_printf (out, "# TYPE catkinvale_entry_requests_total counter\n");
  each_series (m, write_outcomes, 0, out);
  cv_buf_printf (out, "# TYPE catkinvale_entry_failures_total counter\n");
  each_series (m, write_failures, 0, out);
  for (int i = 0; i < CV_MEASURE_LAST; i++)
    {
      cv_buf_printf (out, "# TYPE catkinvale_entry_%s histogram\n",
                     measure_infos[i].name);
      each_series (m, write_buckets, i, out);
      cv_buf_printf (out, "# TYPE catkinvale_entry_%s_quantile gauge\n",
                     measure_infos[i].name);
      each_series (m, write_quantiles, i, out);
    }
}

static void
each_series (const cv_entry_metrics_t *m,
             void (*write) (const cv_series_t *s, int what, cv_buf_t *out),
             int what, cv_buf_t *out)
{
  const cv_series_t *s;

  for (size_t b = 0; b < METRICS_BUCKETS; b++)
    LIST_FOREACH (s, &m->series[b], link)
  write (s, what, out);
}

static void
write_outcomes (const cv_series_t *s, int what, cv_buf_t *out)
{
  (void)what;
  for (int i = 0; i < OUTCOMES; i++)
    cv_buf_printf (out,
                   "catkinvale_entry_requests_total{account=\"%s\","
                   "class=\"%s\",outcome=\"%s\"} %llu\n",
                   s->account, s->class_name, cv_outcome_name ((cv_outcome_t)i),
                   (unsigned long long)s->outcomes[i]);
}

static void
write_failures (const cv_series_t *s, int what, cv_buf_t *out)
{
  (void)what;
  for (int i = 0; i < CV_FAIL_COUNT; i++)
    if (s->failures[i] > 0)
      cv_buf_printf (out,
                     "catkinvale_entry_failures_total{account=\"%s\","
                     "class=\"%s\",reason=\"%s\"} %llu\n",
                     s->account, s->class_name,
                     cv_failure_info ((cv_failure_code_t)i)->code,
                     (unsigned long long)s->failures[i]);
}

/* An empty histogram is written with its +Inf bucket, sum and count only.  */
static void
write_buckets (const cv_series_t *s, int what, cv_buf_t *out)
{
  const cv_hist_t *h = &s->hist[what];
  const char *name = measure_infos[what].name;
  size_t bins = cv_hist_bins (h);
  uint64_t below = 0;

  for (size_t i = 0; i < bins && h->count > 0; i++)
    {
      below += cv_hist_bin_count (h, i);
      /* The last bin also counts values above its edge, so it is written as
         +Inf only.  */
      if ((i + 1) % BINS_PER_BUCKET == 0 && i + 1 < bins)
        cv_buf_printf (out,
                       "catkinvale_entry_%s_bucket{account=\"%s\","
                       "class=\"%s\",le=\"%.3g\"} %llu\n",
                       name, s->account, s->class_name,
                       cv_hist_upper_edge (h, i), (unsigned long long)below);
    }
  cv_buf_printf (out,
                 "catkinvale_entry_%s_bucket{account=\"%s\",class=\"%s\","
                 "le=\"+Inf\"} %llu\n"
                 "catkinvale_entry_%s_sum{account=\"%s\",class=\"%s\"} %g\n"
                 "catkinvale_entry_%s_count{account=\"%s\",class=\"%s\"} "
                 "%llu\n",
                 name, s->account, s->class_name, (unsigned long long)h->count,
                 name, s->account, s->class_name, h->sum, name, s->account,
                 s->class_name, (unsigned long long)h->count);
}

static void
write_quantiles (const cv_series_t *s, int what, cv_buf_t *out)
{
  static const double quantiles[] = { 0.5, 0.95, 0.99 };
  const cv_hist_t *h = &s->hist[what];

  for (size_t i = 0; i < sizeof quantiles / sizeof quantiles[0]; i++)
    if (h->count > 0)
      cv_buf_printf (out,
                     "catkinvale_entry_%s_quantile{account=\"%s\","
                     "class=\"%s\",quantile=\"%g\"} %g\n",
                     measure_infos[what].name, s->account, s->class_name,
                     quantiles[i], cv_hist_quantile (h, quantiles[i]));
}

cv_series_t *
cv_entry_metrics_series (cv_entry_metrics_t *m, const char *account,
                         const char *class_name)
{
  uint64_t h = cv_hash (account, strlen (account), 0);
  size_t b = cv_hash (class_name, strlen (class_name), h) % METRICS_BUCKETS;
  cv_series_t *s;

  LIST_FOREACH (s, &m->series[b], link)
  if (strcmp (s->account, account) == 0
      && strcmp (s->class_name, class_name) == 0)
    return s;
  s = cv_calloc (1, sizeof *s);
  (void)cv_copy (s->account, sizeof s->account, account);
  (void)cv_copy (s->class_name, sizeof s->class_name, class_name);
  for (int i = 0; i < CV_MEASURE_LAST; i++)
    cv_hist_init (&s->hist[i], measure_infos[i].low, measure_infos[i].high);
  LIST_INSERT_HEAD (&m->series[b], s, link);
  return s;
}
