/* Inside of the gate, shared by gate.c (its tables) and gate_plan.c (its
   decisions).  */

#ifndef CV_POLICY_GATE_H
#define CV_POLICY_GATE_H

#include "policy/forecast.h"
#include "policy/length.h"
#include "policy/map.h"

#define GATE_LENGTH_KEYS 1024
/* Standard deviations kept free above the expected need.  */
#define GATE_SIGMAS 1.0
/* Part of the memory that the forecast may fill.  */
#define GATE_FILL 0.97
/* Tokens of each running stream for which room must be there at once.  */
#define GATE_NEAR_TOKENS 4
/* Prompt tokens that may be in prefill at once beside a running stream.  */
#define GATE_PREFILL_TOKENS 512
/* Assumed time of a token until one was seen.  */
#define GATE_STEP_US 30000.0

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
  bool prefilling;   /* started or resumed, no token since */
  uint32_t share;    /* index of its account */
  uint32_t expected; /* memory at its end, tokens, as of its arrival */
  cv_time_t arrived;
  cv_time_t progress; /* last token, start or resume */
  cv_time_t paused;
} cv_gate_stream_t;

typedef TAILQ_HEAD (cv_gate_list_t, cv_gate_stream_t) cv_gate_list_t;

/* Work that an account has received, over its weight.  */
typedef struct
{
  double received;
} cv_gate_share_t;

struct cv_gate_t
{
  uint64_t kv_total;
  uint32_t max_batch;
  cv_length_t *lengths;
  cv_map_t by_slot;
  cv_gate_stream_t **slots;
  uint32_t slot_cap;
  uint32_t *free_slots;
  uint32_t free_count;
  cv_map_t share_index;
  cv_gate_share_t *shares;
  uint32_t share_count;
  double share_clock; /* received by the account served last */
  cv_gate_list_t running;
  cv_gate_list_t waiting;
  cv_gate_list_t paused;
  uint32_t running_count;
  uint32_t waiting_count;
  uint32_t paused_count;
  uint64_t used;         /* memory of running streams, tokens */
  uint64_t prefilling;   /* of these, prompts without a token yet */
  uint64_t waiting_need; /* expected memory of waiting streams */
  uint32_t suspects;     /* running */
  double step_us;        /* time of a token, smoothed */
  double freed;          /* memory freed since the last rate sample */
  double freed_per_s;    /* smoothed while streams were waiting, 0: unknown */
  cv_time_t rate_at;
};

uint32_t cv_gate_expected (const cv_gate_t *g, const cv_gate_work_t *work,
                           uint32_t produced);
void cv_gate_move (cv_gate_t *g, cv_gate_stream_t *s, cv_gate_state_t to,
                   cv_time_t now);
void cv_gate_drop (cv_gate_t *g, cv_gate_stream_t *s);
/* Sample the rate at which memory comes free.  */
void cv_gate_rate (cv_gate_t *g, cv_time_t now);
/* When a refused stream may come back: what waits now should be gone.  */
uint32_t cv_gate_retry_ms (const cv_gate_t *g);

#endif
