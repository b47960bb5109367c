/* Seeded workloads of the two example deployments: time, account and sizes of
   each request.  */

#ifndef CV_BENCH_WORKLOAD_H
#define CV_BENCH_WORKLOAD_H

#include "bench/decisions/engine.h"

#define CLASSES 3
#define ACCOUNTS 10
#define TARGETS_MAX 12
#define ENTRIES_MAX 4
/* Maximum output of a request, tokens.  */
#define OUTPUT_MAX 4096

typedef struct
{
  const char *name;
  double share;         /* of the requests */
  double prompt_median; /* tokens */
  double prompt_sigma;  /* of the logarithm */
  double output_median; /* tokens */
  double output_sigma;  /* of the logarithm */
  uint32_t prefix_tokens;
  uint32_t priority;
  cv_time_t deadline; /* of the first token, after arrival */
} class_t;

typedef struct
{
  const char *name;
  uint32_t domains;
  uint32_t targets;
  uint32_t entries;
  double account_share[ACCOUNTS]; /* of the requests; the weight is 100 times
                                     the share */
  class_t class[CLASSES];
  engine_model_t engine;
  double best_tokens_per_s; /* of one engine, set by deployment_init */
  double mean_output; /* tokens per request, set in workload_init's copy only */
} deployment_t;

typedef enum
{
  CASE_STEADY,
  CASE_BURST,
  CASE_LOST,    /* a target crashes */
  CASE_STALLED, /* one step of a target is prolonged */
  CASE_OUTAGE,  /* an entry is down; its requests go to the others */
  CASE_GREEDY,  /* a small account adds load of half the fleet's throughput */
  CASE_SHIFT    /* outputs of half the accounts grow by half, others halve */
} case_t;

#define CASES 7
/* The account that adds load in CASE_GREEDY.  */
#define GREEDY_ACCOUNT (ACCOUNTS - 1)

typedef struct
{
  cv_time_t at;
  uint32_t account;
  uint32_t class;
  uint32_t entry;
  uint32_t prompt; /* tokens */
  uint32_t prefix; /* identifies the shared prefix */
  uint32_t output; /* tokens */
} arrival_t;

typedef struct
{
  arrival_t *list;
  size_t n;
} workload_t;

extern const char *const case_name[CASES];

size_t deployment_count (void);
/* Fill S with deployment I and measure the best throughput of its engine.  */
void deployment_init (deployment_t *s, size_t i);
/* Draw the arrivals of a time LENGTH at LOAD times the best throughput of all
   targets.  */
void workload_init (workload_t *w, const deployment_t *s, case_t test_case,
                    double load, cv_time_t length, uint64_t seed);
void workload_finish (workload_t *w);

#endif
