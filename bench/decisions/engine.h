/* A small fake of a model engine in virtual time: continuous batching with
   chunked prefill, memory of one token of cache per token of prompt and
   output, preemption of the stream admitted last when memory runs out, and a
   prefix cache of limited size.  */

#ifndef CV_BENCH_ENGINE_H
#define CV_BENCH_ENGINE_H

#include "base/base.h"

/* Prefixes that the cache holds.  */
#define ENGINE_PREFIXES 6

typedef enum
{
  JOB_OUT, /* not at an engine */
  JOB_WAITING,
  JOB_RUNNING
} job_state_t;

/* A stream at the engine; embedded in the driver's request.  */
typedef struct job_t
{
  TAILQ_ENTRY (job_t) link;
  job_state_t state;
  uint32_t slot; /* the driver's number */
  uint32_t prompt;
  uint32_t prefix;        /* number of the shared prefix */
  uint32_t prefix_tokens; /* of the prompt */
  uint32_t output;        /* tokens that it will produce */
  uint32_t produced;
  uint32_t prefill;  /* tokens still to prefill */
  uint32_t uncached; /* tokens to prefill when last admitted */
  bool preempted;    /* in the present step */
} job_t;

typedef TAILQ_HEAD (job_list_t, job_t) job_list_t;

/* Costs and sizes of an engine.  */
typedef struct
{
  uint64_t kv_total; /* tokens */
  uint32_t max_batch;
  uint32_t prefill_chunk; /* prompt tokens of one step */
  double step_us;         /* of any step */
  double stream_us;       /* more for each decoding stream */
  double context_us;      /* more for each token of their context */
  double prefill_us;      /* more for each token prefilled */
} engine_model_t;

typedef struct
{
  engine_model_t model;
  job_list_t running; /* in the order of admission */
  job_list_t waiting; /* first come, first served */
  uint32_t running_count;
  uint32_t waiting_count;
  uint64_t used;
  uint32_t prefilled;               /* prompt tokens in the present step */
  uint32_t prefix[ENGINE_PREFIXES]; /* last used first */
} engine_t;

void engine_init (engine_t *e, const engine_model_t *model);
void engine_submit (engine_t *e, job_t *job);
/* Take JOB out; its produced tokens are kept.  */
void engine_remove (engine_t *e, job_t *job);
/* Plan the next step: make room, admit, prefill.  Return its length, 0 when
   there is nothing to do; preempted jobs are marked.  */
cv_time_t engine_plan (engine_t *e);
/* The step is over: every decoding job has one token more.  Calls TOKEN for
   each; the job may be removed there.  */
void engine_finish (engine_t *e, void (*token) (void *arg, job_t *job),
                    void *arg);

#endif
