/* Histograms and results of a run.  */

#include <math.h>

#include "bench/decisions/metrics.h"

#define BIN_RATIO 1.02
/* The first bin holds all smaller values.  */
#define FIRST_BIN_END_US 1000.0

const char *const figure_name[FIGURES] = {
  "stall_s_per_1k_tokens", "preemptions_per_1k_answers", "gap_p99_ms",
  "first_token_p50_ms",    "first_token_p95_ms",         "goodput_tokens_per_s",
  "refused_percent",       "interrupted_percent",        "fairness",
  "ms_per_answer_token"
};

const char *const gap_name[GAP_KINDS] = { "plain", "short", "long", "broken" };

static double ratio (double a, double b);
static double fairness (const metrics_t *m, const deployment_t *s);
static double mean_answer_token_time (const metrics_t *m);

void
histogram_add (histogram_t *h, cv_time_t t)
{
  double b = t <= FIRST_BIN_END_US
                 ? 0
                 : 1 + log ((double)t / FIRST_BIN_END_US) / log (BIN_RATIO);

  h->bin[b >= HISTOGRAM_BINS ? HISTOGRAM_BINS - 1 : (int)b]++;
  h->n++;
}

void
histogram_merge (histogram_t *h, const histogram_t *with)
{
  for (int i = 0; i < HISTOGRAM_BINS; i++)
    h->bin[i] += with->bin[i];
  h->n += with->n;
}

double
histogram_quantile (const histogram_t *h, double q)
{
  uint64_t want = (uint64_t)(q * (double)h->n);
  uint64_t seen = 0;
  int i = 0;

  if (h->n == 0)
    return 0;
  while (i < HISTOGRAM_BINS - 1 && (seen += h->bin[i]) <= want)
    i++;
  return FIRST_BIN_END_US / 1000 * pow (BIN_RATIO, i);
}

double
histogram_count_above (const histogram_t *h, double min)
{
  double n = 0;

  for (int i = 0; i < HISTOGRAM_BINS; i++)
    n += FIRST_BIN_END_US * pow (BIN_RATIO, i) > min ? h->bin[i] : 0;
  return n;
}

double
histogram_excess_above (const histogram_t *h, double min)
{
  double sum = 0;

  for (int i = 0; i < HISTOGRAM_BINS; i++)
    {
      double value = FIRST_BIN_END_US * pow (BIN_RATIO, i - .5);

      sum += value > min ? h->bin[i] * (value - min) : 0;
    }
  return sum;
}

static double
ratio (double a, double b)
{
  return b > 0 ? a / b : 0;
}

/* Jain's index of the ratio between the good tokens of an account and its
   entitlement: its demand or its weighted share of all output tokens, whichever
   is less.  */
static double
fairness (const metrics_t *m, const deployment_t *s)
{
  double sum = 0;
  double squares = 0;

  for (int i = 0; i < ACCOUNTS; i++)
    {
      const group_t *g = &m->account[i];
      double demand = ratio ((double)g->arrived, (double)m->all.arrived)
                      * (double)m->all.answer_tokens;
      double share = s->account_share[i] * (double)m->all.answer_tokens;
      double x
          = ratio ((double)g->good_tokens, demand < share ? demand : share);

      if (x > 1)
        x = 1;
      sum += x;
      squares += x * x;
    }
  return ratio (sum * sum, ACCOUNTS * squares);
}

static double
mean_answer_token_time (const metrics_t *m)
{
  double sum = 0;

  for (int i = 0; i < ACCOUNTS; i++)
    if (i != GREEDY_ACCOUNT)
      sum += ratio ((double)m->account[i].answer_time / 1000,
                    (double)m->account[i].answer_tokens);
  return sum / (ACCOUNTS - 1);
}

double
group_figure (const metrics_t *m, const group_t *g, figure_t f)
{
  switch (f)
    {
    case FIGURE_STALL:
      return ratio ((double)g->stall_time / 1000, (double)g->tokens);
    case FIGURE_PREEMPT:
      return 1000
             * ratio ((double)(g->preempted + g->paused), (double)g->finished);
    case FIGURE_GAP:
      return histogram_quantile (&g->gap, .99);
    case FIGURE_FIRST_TOKEN_P50:
      return histogram_quantile (&g->first_token, .5);
    case FIGURE_FIRST_TOKEN_P95:
      return histogram_quantile (&g->first_token, .95);
    case FIGURE_GOODPUT:
      return 1e6 * ratio ((double)g->good_tokens, (double)(m->to - m->from));
    case FIGURE_REFUSED:
      return 100 * ratio ((double)g->refused, (double)g->arrived);
    case FIGURE_INTERRUPTED:
      return 100 * ratio ((double)g->interrupted, (double)g->arrived);
    case FIGURE_FAIRNESS:
      return 1;
    case FIGURE_ANSWER_TOKEN_TIME:
      break;
    }
  return ratio ((double)g->answer_time / 1000, (double)g->answer_tokens);
}

double
metrics_figure (const metrics_t *m, const deployment_t *s, figure_t f)
{
  if (f == FIGURE_FAIRNESS)
    return fairness (m, s);
  if (f == FIGURE_ANSWER_TOKEN_TIME)
    return mean_answer_token_time (m);
  return group_figure (m, &m->all, f);
}
