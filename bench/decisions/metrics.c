/* Figures of a run.  */

#include <math.h>

#include "bench/decisions/metrics.h"

#define BIN_RATIO 1.02
/* Start of the second bin, microseconds.  */
#define BIN_FIRST 1000.0

const char *const figure_name[FIGURES] = {
  "stall_s_per_1k_tokens", "preemptions_per_1k_answers", "gap_p99_ms",
  "first_token_p50_ms",    "first_token_p95_ms",         "goodput_tokens_per_s",
  "refused_percent",       "interrupted_percent",        "fairness",
  "ms_per_answer_token"
};

const char *const gap_name[GAP_KINDS] = { "plain", "short", "long", "broken" };

static double ratio (double a, double b);
static double fairness (const metrics_t *m, const setup_t *s);
static double slowness (const metrics_t *m);

void
histogram_add (histogram_t *h, cv_time_t t)
{
  double b
      = t <= BIN_FIRST ? 0 : 1 + log ((double)t / BIN_FIRST) / log (BIN_RATIO);

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
  return BIN_FIRST / 1000 * pow (BIN_RATIO, i);
}

double
histogram_count_above (const histogram_t *h, double min)
{
  double n = 0;

  for (int i = 0; i < HISTOGRAM_BINS; i++)
    n += BIN_FIRST * pow (BIN_RATIO, i) > min ? h->bin[i] : 0;
  return n;
}

double
histogram_above (const histogram_t *h, double min)
{
  double sum = 0;

  for (int i = 0; i < HISTOGRAM_BINS; i++)
    {
      double value = BIN_FIRST * pow (BIN_RATIO, i - .5);

      sum += value > min ? h->bin[i] * (value - min) : 0;
    }
  return sum;
}

static double
ratio (double a, double b)
{
  return b > 0 ? a / b : 0;
}

/* Jain's index of what each account got of what it could claim: the least of
   what it asked for and its weighted part of all that was served.  */
static double
fairness (const metrics_t *m, const setup_t *s)
{
  double sum = 0;
  double squares = 0;

  for (int i = 0; i < ACCOUNTS; i++)
    {
      const group_t *g = &m->account[i];
      double asked = ratio ((double)g->arrived, (double)m->all.arrived)
                     * (double)m->all.answer_tokens;
      double part = s->account[i] * (double)m->all.answer_tokens;
      double x = ratio ((double)g->good_tokens, asked < part ? asked : part);

      if (x > 1)
        x = 1;
      sum += x;
      squares += x * x;
    }
  return ratio (sum * sum, ACCOUNTS * squares);
}

static double
slowness (const metrics_t *m)
{
  double sum = 0;

  for (int i = 0; i < ACCOUNTS; i++)
    if (i != GREEDY)
      sum += ratio ((double)m->account[i].answering / 1000,
                    (double)m->account[i].answer_tokens);
  return sum / (ACCOUNTS - 1);
}

double
group_figure (const metrics_t *m, const group_t *g, figure_t f)
{
  switch (f)
    {
    case FIGURE_STALL:
      return ratio ((double)g->stalled / 1000, (double)g->tokens);
    case FIGURE_PREEMPT:
      return 1000
             * ratio ((double)(g->preempted + g->paused), (double)g->finished);
    case FIGURE_GAP:
      return histogram_quantile (&g->gap, .99);
    case FIGURE_FIRST50:
      return histogram_quantile (&g->first, .5);
    case FIGURE_FIRST95:
      return histogram_quantile (&g->first, .95);
    case FIGURE_GOODPUT:
      return 1e6 * ratio ((double)g->good_tokens, (double)(m->to - m->from));
    case FIGURE_REFUSED:
      return 100 * ratio ((double)g->refused, (double)g->arrived);
    case FIGURE_LOST:
      return 100 * ratio ((double)g->lost, (double)g->arrived);
    case FIGURE_FAIRNESS:
      return 1;
    case FIGURE_SLOWNESS:
      break;
    }
  return ratio ((double)g->answering / 1000, (double)g->answer_tokens);
}

double
metrics_figure (const metrics_t *m, const setup_t *s, figure_t f)
{
  if (f == FIGURE_FAIRNESS)
    return fairness (m, s);
  if (f == FIGURE_SLOWNESS)
    return slowness (m);
  return group_figure (m, &m->all, f);
}
