/* Seeded workloads of the two deployments: who asks when for what.  */

#ifndef CV_BENCH_WORKLOAD_H
#define CV_BENCH_WORKLOAD_H

#include "bench/decisions/engine.h"

#define CLASSES 3
#define ACCOUNTS 10
#define TARGETS_MAX 12
#define ENTRIES_MAX 4
/* Output that no caller may exceed, tokens.  */
#define OUTPUT_MAX 4096

typedef struct
{
  const char *name;
  double part;          /* of the requests */
  double prompt_median; /* tokens */
  double prompt_sigma;  /* of the logarithm */
  double output_median;
  double output_sigma;
  uint32_t prefix_tokens;
  uint32_t priority;
  cv_time_t deadline; /* to the first token */
} class_t;

typedef struct
{
  const char *name;
  uint32_t domains;
  uint32_t targets;
  uint32_t entries;
  double account[ACCOUNTS]; /* part of the requests; its weight in percent */
  class_t class[CLASSES];
  engine_model_t engine;
  double best_tokens_per_s; /* of one engine, by setup_init */
  double mean_output;       /* of a request, of the seed */
} setup_t;

typedef enum
{
  CASE_STEADY,
  CASE_BURST,
  CASE_LOST,    /* a target dies */
  CASE_STALLED, /* a target stands still for a while */
  CASE_OUTAGE,  /* no news from the store while an entry is gone */
  CASE_GREEDY,  /* a small account asks for half the fleet besides */
  CASE_SHIFT    /* outputs of half the accounts grow by half, others shrink */
} case_t;

#define CASES 7
/* The account that turns greedy.  */
#define GREEDY (ACCOUNTS - 1)

typedef struct
{
  cv_time_t at;
  uint32_t account;
  uint32_t class;
  uint32_t entry;
  uint32_t prompt;
  uint32_t prefix;
  uint32_t output;
} arrival_t;

typedef struct
{
  arrival_t *list;
  size_t n;
} workload_t;

extern const char *const case_name[CASES];

size_t setup_count (void);
/* Fill S with setup I and measure its engine's best throughput.  */
void setup_init (setup_t *s, size_t i);
/* The arrivals of LENGTH at LOAD times the best throughput.  */
void workload_init (workload_t *w, const setup_t *s, case_t what, double load,
                    cv_time_t length, uint64_t seed);
void workload_finish (workload_t *w);

#endif
