/* Scheduler of the stand-in engine: continuous batching over a bounded
   memory of tokens.  Pure: time is an argument, no lock, no I/O.  */

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
#define SCHED_TEXT_MAX 64       /* longest token text with its null byte */
#define SCHED_BUCKETS 4096      /* of the table of streams */
#define SCHED_SNAPSHOTS 64      /* kept for the lagged load report */
#define SCHED_BYTES_PER_TOKEN 4 /* of a prompt */

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
  SCHED_FULL,    /* too many streams wait */
  SCHED_EXISTS,  /* the id is known */
  SCHED_TOO_LONG /* the prompt alone exceeds the memory */
} sched_result_t;

typedef struct sched_stream
{
  TAILQ_ENTRY (sched_stream) link; /* of the waiting or running streams */
  TAILQ_ENTRY (sched_stream) all;  /* every stream, in order of arrival */
  LIST_ENTRY (sched_stream) bucket;
  char id[SCHED_ID_MAX];
  uint64_t order; /* of arrival */
  uint64_t prompt_hash;
  char prompt_head[SCHED_HEAD_MAX]; /* its first word, for the audit */
  int64_t submitted_ms;             /* of the process's clock */
  char *prompt;                     /* NULL once ended */
  size_t prompt_bytes;
  int priority; /* the greater goes first */
  uint32_t prompt_tokens;
  uint32_t target; /* tokens after which it ends */
  uint32_t produced;
  uint32_t preempted;    /* times it lost its memory or was paused */
  uint32_t preempted_at; /* tokens produced at the last time */
  bool poison;
  bool joined; /* part of the iteration under way */
  sched_state_t state;
  sched_end_t end;      /* as announced when ended */
  sched_end_t full_end; /* what reaching the target means */
  uint32_t sent;        /* tokens handed to some body; kept by the caller */
  void *user;           /* the caller's */
} sched_stream_t;

TAILQ_HEAD (sched_list, sched_stream);
LIST_HEAD (sched_bucket, sched_stream);

typedef struct
{
  int64_t at_us;
  uint32_t running;
  uint32_t waiting;
  uint64_t kv_used;
  uint64_t preemptions; /* for memory, since the start */
  int64_t iteration_us; /* the last iteration's length */
} sched_load_t;

typedef struct
{
  uint64_t kv_tokens;
  uint32_t batch;
  uint32_t queue;
  int64_t token_us;
  int64_t prefill_us_per_1k;
  int64_t load_lag_us;
  uint32_t cache_blocks;
  uint32_t event_loss_percent;
  uint64_t seed;
  /* Called when a stream's tokens, notices or end changed; may be NULL.  */
  void (*changed) (sched_stream_t *stream);
} sched_config_t;

typedef struct
{
  sched_config_t config;
  struct sched_list waiting; /* greatest priority first, then oldest */
  struct sched_list running; /* in order of admission */
  struct sched_list streams;
  struct sched_bucket table[SCHED_BUCKETS];
  uint32_t n_waiting;
  uint32_t n_running;
  uint64_t kv_used;
  uint64_t preemptions;
  uint64_t next_order;
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

sched_stream_t *sched_find (sched_t *s, const char *id);
sched_result_t sched_submit (sched_t *s, const char *id, const char *prompt,
                             uint32_t max_tokens, int priority,
                             sched_stream_t **stream);
void sched_pause (sched_t *s, sched_stream_t *stream);
void sched_run (sched_t *s, sched_stream_t *stream);
void sched_cancel (sched_t *s, sched_stream_t *stream);

/* Finish the iteration that is due, admit streams and start the next one.
   Returns when to call again, or -1 when there is nothing to run.  */
int64_t sched_step (sched_t *s, int64_t now_us);

/* The newest snapshot at least as old as the lag; false when none is.  */
bool sched_load (const sched_t *s, int64_t now_us, sched_load_t *load);
const char *sched_end_name (sched_end_t end);
/* The text of token I of stream ID.  */
void sched_token_text (char text[SCHED_TEXT_MAX], uint64_t boot, const char *id,
                       uint32_t i);

#ifdef __cplusplus
}
#endif

#endif
