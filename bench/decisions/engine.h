/* Simulation of a model engine in virtual time: continuous batching with
   chunked prefill, KV-cache memory of one token per token of prompt and output,
   preemption of the job admitted last when memory runs out, and an LRU prefix
   cache.  */

#ifndef CV_BENCH_ENGINE_H
#define CV_BENCH_ENGINE_H

#include "base/base.h"

/* Number of prefixes that the prefix cache holds.  */
#define ENGINE_CACHED_PREFIXES 6

typedef enum
{
  JOB_DETACHED, /* not at an engine */
  JOB_WAITING,
  JOB_RUNNING
} job_state_t;

/* A generation, as the engine sees it; embedded in request_t.  */
typedef struct job_t
{
  TAILQ_ENTRY (job_t) link;
  job_state_t state;
  uint32_t slot;          /* index of the request */
  uint32_t prompt;        /* tokens */
  uint32_t prefix;        /* identifies the shared prefix */
  uint32_t prefix_tokens; /* length of the shared prefix */
  uint32_t output;        /* tokens that the job will produce */
  uint32_t produced;      /* tokens */
  uint32_t prefill;       /* tokens left to prefill */
  uint32_t uncached;      /* tokens to prefill when last admitted */
  bool preempted;         /* in the current step */
} job_t;

typedef TAILQ_HEAD (job_list_t, job_t) job_list_t;

/* Step costs and capacity of an engine.  */
typedef struct
{
  uint64_t kv_total; /* tokens */
  uint32_t max_batch;
  uint32_t prefill_chunk; /* prompt tokens per step at most */
  double step_us;         /* base cost of a step */
  double decode_us;       /* added per decoding job */
  double context_us;      /* added per context token of the decoding jobs */
  double prefill_us;      /* added per prompt token of the step */
} engine_model_t;

typedef struct
{
  engine_model_t model;
  job_list_t running; /* in the order of admission */
  job_list_t waiting; /* in the order of submission, preempted jobs first */
  uint32_t running_count;
  uint32_t waiting_count;
  uint64_t used_tokens; /* KV-cache memory */
  uint32_t prefilled;   /* prompt tokens in the current step */
  uint32_t prefix[ENGINE_CACHED_PREFIXES]; /* most recently used first */
} engine_t;

void engine_init (engine_t *e, const engine_model_t *model);
void engine_submit (engine_t *e, job_t *job);
/* Remove JOB from the engine; its count of produced tokens is kept.  */
void engine_remove (engine_t *e, job_t *job);
/* Plan the next step: preempt jobs for lack of memory or admit waiting ones,
   then prefill.  Return the duration of the step, or 0 when no job runs.  Jobs
   preempted in the step have their flag set.  */
cv_time_t engine_plan_step (engine_t *e);
/* End the step: each job past its prefill produces one token.  ON_TOKEN is
   called for each of them and may remove the job.  */
void engine_finish_step (engine_t *e, void (*on_token) (void *arg, job_t *job),
                         void *arg);

#endif
