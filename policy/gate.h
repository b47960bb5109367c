/* Internal declarations of the gate, shared by gate.c (its tables) and
   gate_plan.c (its decisions).  */

#ifndef CV_POLICY_GATE_H
#define CV_POLICY_GATE_H

#include "policy/forecast.h"
#include "policy/length.h"
#include "policy/map.h"

#define GATE_LENGTH_KEYS 1024
/* Safety margin of the forecast, in standard deviations.  A larger one starts
   fewer streams; a smaller one pauses more.  */
#define GATE_FORECAST_SIGMAS 1.0
/* Fraction of the memory that streams may fill when one is started, now and by
   the forecast.  */
#define GATE_FILL_MAX 0.97
/* Further tokens of each running stream for which memory must be free; with
   less, streams are paused.  */
#define GATE_HEADROOM_TOKENS 4
/* Most tokens in prefill at once when several streams are: their prompts, and
   the output so far of resumed streams.  One stream alone may exceed it.  */
#define GATE_PREFILL_MAX_TOKENS 512
/* Time per token assumed until one has been measured.  */
#define GATE_DEFAULT_TOKEN_US 30000.0

typedef enum
{
  GATE_WAITING,
  GATE_RUNNING,
  GATE_PAUSED
} cv_gate_state_t;

typedef struct cv_gate_stream_t
{
  TAILQ_ENTRY (cv_gate_stream_t) link;
  cv_gate_work_t work;
  cv_gate_state_t state;
  uint32_t produced;
  uint32_t pauses;
  bool is_prefilling; /* started or resumed, no token since */
  uint32_t account;   /* index in accounts */
  uint32_t expected;  /* final memory as estimated at its arrival, tokens */
  cv_time_t arrived_at;
  cv_time_t progress_at; /* last token, start or resume */
  cv_time_t paused_at;
} cv_gate_stream_t;

typedef TAILQ_HEAD (cv_gate_list_t, cv_gate_stream_t) cv_gate_list_t;

typedef struct
{
  double received; /* tokens produced for the account / its weight */
} cv_gate_account_t;

struct cv_gate_t
{
  uint64_t kv_total;
  uint32_t max_batch;
  cv_length_t *lengths;
  cv_map_t by_slot; /* slot to index in STREAMS */
  cv_gate_stream_t **streams;
  uint32_t stream_cap;
  uint32_t *free_indexes; /* in STREAMS */
  uint32_t free_count;
  cv_map_t account_index;
  cv_gate_account_t *accounts;
  uint32_t account_count;
  double virtual_time; /* RECEIVED of the account served last */
  cv_gate_list_t running;
  cv_gate_list_t waiting;
  cv_gate_list_t paused;
  uint32_t running_count;
  uint32_t waiting_count;
  uint32_t paused_count;
  uint64_t used;           /* memory of running streams, tokens */
  uint64_t prefill_tokens; /* memory of running streams in prefill */
  uint64_t waiting_need;   /* expected memory of waiting streams */
  uint32_t running_suspects;
  double token_us;    /* time per token, smoothed */
  double freed;       /* tokens freed since the last rate sample */
  double freed_per_s; /* smoothed while streams were waiting, 0: unknown */
  cv_time_t rate_sampled_at;
};

/* Returns the expected memory of WORK at its end, in tokens.  */
uint32_t cv_gate_expected_memory (const cv_gate_t *g,
                                  const cv_gate_work_t *work,
                                  uint32_t produced);
void cv_gate_set_state (cv_gate_t *g, cv_gate_stream_t *s, cv_gate_state_t to,
                        cv_time_t now);
void cv_gate_remove (cv_gate_t *g, cv_gate_stream_t *s);
/* Samples the rate at which memory is freed.  */
void cv_gate_sample_rate (cv_gate_t *g, cv_time_t now);
/* Returns the time in milliseconds until a refused stream should be retried:
   the time in which the memory that the streams waiting now will need is freed
   at the current rate, but 250 to 30000 ms.  */
uint32_t cv_gate_retry_ms (const cv_gate_t *g);

#endif
