/* What callers saw in one run, within its window of measurement.  */

#ifndef CV_BENCH_METRICS_H
#define CV_BENCH_METRICS_H

#include "bench/decisions/workload.h"

/* A gap between two tokens of a stream above this is a stall.  */
#define STALL_GAP (200 * CV_MS)
#define HISTOGRAM_BINS 800

/* Prompt tokens whose prefill lengthens a step by a third at most.  */
#define SHORT_PREFILL 200

/* What a gap between two tokens consists of.  */
typedef enum
{
  GAP_PLAIN,  /* a step without prefill */
  GAP_SHORT,  /* a step with up to SHORT_PREFILL prompt tokens */
  GAP_LONG,   /* a step with more */
  GAP_BROKEN, /* several steps: paused or preempted */
  GAP_KINDS
} gap_kind_t;

/* Times in bins of equal ratio.  */
typedef struct
{
  uint32_t bin[HISTOGRAM_BINS];
  uint64_t n;
} histogram_t;

typedef struct
{
  uint64_t arrived;
  uint64_t finished;
  uint64_t refused;
  uint64_t lost; /* interrupted after their first token */
  uint64_t tokens;
  uint64_t good_tokens;   /* of finished answers that met their deadline */
  uint64_t answer_tokens; /* of finished answers */
  uint64_t preempted;     /* by the engine */
  uint64_t paused;        /* by the gate */
  cv_time_t stalled;
  cv_time_t answering; /* from arrival to end, of finished answers */
  histogram_t first;
  histogram_t gap;
  histogram_t gap_of[GAP_KINDS];
} group_t;

typedef struct
{
  cv_time_t from;
  cv_time_t to;
  group_t class[CLASSES];
  group_t account[ACCOUNTS];
  group_t all;
  histogram_t step[GAP_KINDS]; /* lengths of steps */
  /* Tokens of each prompt, times 1,000: to prefill, and without prefix.  */
  histogram_t uncached;
  histogram_t own;
} metrics_t;

/* One figure of a run.  */
typedef enum
{
  FIGURE_STALL,   /* stalled seconds per 1,000 tokens */
  FIGURE_PREEMPT, /* preemptions and pauses per 1,000 finished answers */
  FIGURE_GAP,     /* 99th percentile of gaps, ms */
  FIGURE_FIRST50, /* time to first token, ms */
  FIGURE_FIRST95,
  FIGURE_GOODPUT,  /* tokens/s of finished answers within their deadline */
  FIGURE_REFUSED,  /* percent of arrivals */
  FIGURE_LOST,     /* percent of arrivals */
  FIGURE_FAIRNESS, /* Jain's index of good tokens over weights, capped at what
                      was asked; 1: equal */
  FIGURE_SLOWNESS  /* ms per token of answer, mean over the accounts but
                      GREEDY */
} figure_t;

#define FIGURES 10

extern const char *const figure_name[FIGURES];

extern const char *const gap_name[GAP_KINDS];

void histogram_add (histogram_t *h, cv_time_t t);
void histogram_merge (histogram_t *h, const histogram_t *with);
/* Quantile Q in milliseconds, 0 when empty.  */
double histogram_quantile (const histogram_t *h, double q);
/* Entries above MIN, and the sum of what they are above it.  */
double histogram_count_above (const histogram_t *h, double min);
/* Sum of what the entries have above MIN.  */
double histogram_above (const histogram_t *h, double min);
double group_figure (const metrics_t *m, const group_t *g, figure_t f);
double metrics_figure (const metrics_t *m, const setup_t *s, figure_t f);

#endif
