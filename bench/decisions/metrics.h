/* Metrics of one run as callers see them, within its measurement window.  */

#ifndef CV_BENCH_METRICS_H
#define CV_BENCH_METRICS_H

#include "bench/decisions/workload.h"

/* A longer gap between two tokens of a generation is a stall.  */
#define STALL_GAP (200 * CV_MS)
#define HISTOGRAM_BINS 800

/* Prompt tokens whose prefill adds at most half of a step's base cost: 8 ms
   with the engine models of workload.c.  */
#define SHORT_PREFILL 200

/* Cause of a gap between two tokens.  */
typedef enum
{
  GAP_PLAIN,  /* a step without prefill */
  GAP_SHORT,  /* a step with up to SHORT_PREFILL prompt tokens */
  GAP_LONG,   /* a step with more prompt tokens */
  GAP_PAUSED, /* several steps: the generation was paused or preempted;
                 printed as "broken" */
  GAP_KINDS
} gap_kind_t;

/* Histogram of times in microseconds, with bins of equal ratio.  */
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
  uint64_t interrupted; /* after their first token */
  uint64_t tokens;
  uint64_t good_tokens;   /* of finished requests that met their deadline */
  uint64_t answer_tokens; /* of finished requests */
  uint64_t preempted;     /* by the engine */
  uint64_t paused;        /* by the gate */
  cv_time_t stall_time;   /* sum of the gaps above STALL_GAP */
  cv_time_t answer_time;  /* from arrival to end, of finished requests */
  histogram_t first_token;
  histogram_t gap;
  histogram_t gap_by_kind[GAP_KINDS];
} group_t;

typedef struct
{
  cv_time_t from;
  cv_time_t to;
  group_t class[CLASSES];
  group_t account[ACCOUNTS];
  group_t all;
  histogram_t step[GAP_KINDS]; /* durations of steps */
  /* Lengths of prompts in 1/1000 token, since the first bin ends at 1,000.  */
  histogram_t uncached_millitokens; /* tokens to prefill */
  histogram_t unshared_millitokens; /* tokens after the shared prefix */
} metrics_t;

/* One result of a run.  */
typedef enum
{
  FIGURE_STALL,   /* seconds of stalls per 1,000 tokens */
  FIGURE_PREEMPT, /* preemptions and pauses per 1,000 finished requests */
  FIGURE_GAP,     /* 99th percentile of gaps, ms */
  FIGURE_FIRST_TOKEN_P50, /* time to first token, ms */
  FIGURE_FIRST_TOKEN_P95,
  FIGURE_GOODPUT, /* tokens/s of finished requests that met their deadline */
  FIGURE_REFUSED, /* percent of arrivals */
  FIGURE_INTERRUPTED, /* percent of arrivals */
  FIGURE_FAIRNESS,    /* Jain's index of good tokens relative to each account's
                         weighted share, or its demand if less; 1: equal */
  FIGURE_ANSWER_TOKEN_TIME /* ms per output token, mean over the accounts except
                     GREEDY_ACCOUNT */
} figure_t;

#define FIGURES 10

extern const char *const figure_name[FIGURES];

extern const char *const gap_name[GAP_KINDS];

void histogram_add (histogram_t *h, cv_time_t t);
void histogram_merge (histogram_t *h, const histogram_t *with);
/* Quantile Q in milliseconds; 0 when the histogram is empty.  */
double histogram_quantile (const histogram_t *h, double q);
/* Number of values above MIN, which has the unit of the added values.  */
double histogram_count_above (const histogram_t *h, double min);
/* Sum of the values' excess over MIN, both in the unit of the added values.  */
double histogram_excess_above (const histogram_t *h, double min);
/* Result F of the requests in G; 1 for FIGURE_FAIRNESS, which only a whole run
   has.  */
double group_figure (const metrics_t *m, const group_t *g, figure_t f);
/* Result F of the whole run.  */
double metrics_figure (const metrics_t *m, const deployment_t *s, figure_t f);

#endif
