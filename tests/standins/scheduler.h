/* Scheduler of the stand-in engine: continuous batching in a bounded KV cache.
   It does no I/O and no locking, and gets the time as an argument.  */

#ifndef STANDIN_SCHEDULER_H
#define STANDIN_SCHEDULER_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "prefix_cache.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SCHED_ID_MAX 65
#define SCHED_HEAD_MAX 32
#define SCHED_TEXT_MAX 64       /* longest token text with its terminator */
#define SCHED_BUCKETS 4096      /* of the hash table of streams */
#define SCHED_SNAPSHOTS 64      /* of the load; they span four load lags */
#define SCHED_BYTES_PER_TOKEN 4 /* prompt bytes per token */

typedef enum
{
  SCHED_WAITING,
  SCHED_RUNNING,
  SCHED_PAUSED,
  SCHED_ENDED
} sched_state_t;

typedef enum
{
  SCHED_END_NONE,
  SCHED_END_STOP,
  SCHED_END_LENGTH,
  SCHED_END_CANCELLED
} sched_end_t;

typedef enum
{
  SCHED_OK,
  SCHED_FULL,    /* the queue is full */
  SCHED_EXISTS,  /* a stream has this id */
  SCHED_TOO_LONG /* the prompt exceeds the KV cache */
} sched_result_t;

typedef struct sched_stream
{
  TAILQ_ENTRY (sched_stream) link; /* in the waiting or running list */
  TAILQ_ENTRY (sched_stream) all;  /* in the list of all, by arrival */
  LIST_ENTRY (sched_stream) bucket;
  char id[SCHED_ID_MAX];
  uint64_t arrival; /* sequence number */
  uint64_t prompt_hash;
  char prompt_head[SCHED_HEAD_MAX]; /* first word, for the audit */
  int64_t submitted_ms;             /* monotonic clock */
  char *prompt;                     /* NULL after the end */
  size_t prompt_bytes;
  int priority; /* greater ones are scheduled first */
  uint32_t prompt_tokens;
  uint32_t output_tokens; /* tokens after which the stream ends */
  uint32_t produced;
  uint32_t preempted;    /* times it was preempted or paused */
  uint32_t preempted_at; /* tokens produced before the last preemption */
  bool poison;           /* makes the engine crash at the second token */
  bool in_iteration;     /* part of the current iteration */
  sched_state_t state;
  sched_end_t end;            /* reason, once ended */
  sched_end_t last_token_end; /* reason when all tokens are produced */
  /* Set by the HTTP handlers: */
  uint32_t sent; /* greatest index of a token written to a body, plus one */
  void *user;    /* pthread_cond_t that wakes the senders of its bodies */
} sched_stream_t;

TAILQ_HEAD (sched_list, sched_stream);
LIST_HEAD (sched_bucket, sched_stream);

typedef struct
{
  int64_t at_us;
  uint32_t running;
  uint32_t waiting;
  uint64_t kv_used;
  uint64_t preemptions; /* for lack of memory, since the start */
  int64_t iteration_us; /* duration of the last iteration */
} sched_load_t;

typedef struct
{
  uint64_t kv_tokens; /* capacity of the KV cache */
  uint32_t batch;     /* most streams that run at once */
  uint32_t queue;     /* most streams that wait */
  int64_t token_us;   /* duration of an iteration, without prefill, unslowed */
  int64_t prefill_us_per_1k;
  int64_t load_lag_us;
  uint32_t cache_blocks;
  uint32_t event_loss_percent;
  uint64_t seed;
  /* Called when a stream got a token, was preempted or ended.  May be
     NULL.  */
  void (*changed) (sched_stream_t *stream);
} sched_config_t;

typedef struct
{
  sched_config_t config;
  struct sched_list waiting; /* by priority, then by arrival */
  struct sched_list running; /* in order of admission */
  struct sched_list streams;
  struct sched_bucket table[SCHED_BUCKETS];
  uint32_t n_waiting;
  uint32_t n_running;
  uint64_t kv_used;
  uint64_t preemptions;
  uint64_t next_arrival;
  double slow_factor;
  bool iterating;
  bool poisoned; /* a poison stream produced its second token */
  int64_t due_us;
  int64_t iteration_us;
  prefix_cache_t cache;
  sched_load_t snapshots[SCHED_SNAPSHOTS];
  uint32_t n_snapshots;
} sched_t;

void sched_init (sched_t *s, const sched_config_t *config);
void sched_finish (sched_t *s);

/* Returns the stream, ended or not, or NULL.  */
sched_stream_t *sched_find (sched_t *s, const char *id);
/* Adds a waiting stream; STREAM is set only if the result is SCHED_OK.  */
sched_result_t sched_submit (sched_t *s, const char *id, const char *prompt,
                             uint32_t max_tokens, int priority,
                             sched_stream_t **stream);
/* Takes a waiting or running stream out of scheduling until sched_run.  */
void sched_pause (sched_t *s, sched_stream_t *stream);
/* Queues a paused stream again.  */
void sched_run (sched_t *s, sched_stream_t *stream);
/* Ends the stream unless it has ended.  */
void sched_cancel (sched_t *s, sched_stream_t *stream);

/* Finishes the current iteration if it is due, admits streams and starts the
   next iteration.  Returns the time of the next call in microseconds, or -1 if
   no stream runs.  */
int64_t sched_step (sched_t *s, int64_t now_us);

/* Sets LOAD to the newest snapshot that is at least as old as the load lag.
   If there is none, sets LOAD to the oldest snapshot, if any, and returns
   false.  */
bool sched_load (const sched_t *s, int64_t now_us, sched_load_t *load);
const char *sched_end_name (sched_end_t end);
/* Writes the text of token I of stream ID to TEXT.  */
void sched_token_text (char text[SCHED_TEXT_MAX], uint64_t boot, const char *id,
                       uint32_t i);

#ifdef __cplusplus
}
#endif

#endif
