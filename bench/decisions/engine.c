/* Simulation of a model engine.  */

#include "bench/decisions/engine.h"

/* Share of the KV-cache memory that the engine leaves free when it admits jobs
   to its batch.  */
#define FREE_MEMORY_SHARE 0.01

static uint64_t context_tokens (const job_t *job);
static bool cache_prefix (engine_t *e, uint32_t prefix);
static bool preempt_jobs (engine_t *e);
static void admit_jobs (engine_t *e);

void
engine_init (engine_t *e, const engine_model_t *model)
{
  *e = (engine_t){ .model = *model };
  TAILQ_INIT (&e->running);
  TAILQ_INIT (&e->waiting);
  for (int i = 0; i < ENGINE_CACHED_PREFIXES; i++)
    e->prefix[i] = UINT32_MAX;
}

static uint64_t
context_tokens (const job_t *job)
{
  return (uint64_t)job->prompt + job->produced;
}

void
engine_submit (engine_t *e, job_t *job)
{
  job->state = JOB_WAITING;
  job->prefill = (uint32_t)context_tokens (job);
  TAILQ_INSERT_TAIL (&e->waiting, job, link);
  e->waiting_count++;
}

void
engine_remove (engine_t *e, job_t *job)
{
  if (job->state == JOB_WAITING)
    {
      TAILQ_REMOVE (&e->waiting, job, link);
      e->waiting_count--;
    }
  else if (job->state == JOB_RUNNING)
    {
      TAILQ_REMOVE (&e->running, job, link);
      e->running_count--;
      e->used_tokens -= context_tokens (job);
    }
  job->state = JOB_DETACHED;
}

/* Makes PREFIX the most recently used prefix of the cache and returns whether
   it was cached.  */
static bool
cache_prefix (engine_t *e, uint32_t prefix)
{
  int i = 0;
  bool found;

  while (i < ENGINE_CACHED_PREFIXES - 1 && e->prefix[i] != prefix)
    i++;
  found = e->prefix[i] == prefix;
  for (; i > 0; i--)
    e->prefix[i] = e->prefix[i - 1];
  e->prefix[0] = prefix;
  return found;
}

/* Preempts the jobs admitted last until each running job has memory for one
   token.  Returns whether any was preempted.  */
static bool
preempt_jobs (engine_t *e)
{
  bool any = false;

  while (e->running_count > 1
         && e->used_tokens + e->running_count > e->model.kv_total)
    {
      job_t *last = TAILQ_LAST (&e->running, job_list_t);

      engine_remove (e, last);
      last->state = JOB_WAITING;
      last->preempted = true;
      last->prefill = (uint32_t)context_tokens (last);
      TAILQ_INSERT_HEAD (&e->waiting, last, link);
      e->waiting_count++;
      any = true;
    }
  return any;
}

static void
admit_jobs (engine_t *e)
{
  uint64_t limit
      = (uint64_t)((1 - FREE_MEMORY_SHARE) * (double)e->model.kv_total);
  job_t *job;

  while (
      (job = TAILQ_FIRST (&e->waiting)) != NULL
      && e->running_count < e->model.max_batch
      && (e->running_count == 0
          || e->used_tokens + context_tokens (job) + e->running_count < limit))
    {
      TAILQ_REMOVE (&e->waiting, job, link);
      e->waiting_count--;
      TAILQ_INSERT_TAIL (&e->running, job, link);
      e->running_count++;
      e->used_tokens += context_tokens (job);
      job->state = JOB_RUNNING;
      if (cache_prefix (e, job->prefix))
        job->prefill -= job->prefix_tokens;
      job->uncached = job->prefill;
    }
}

cv_time_t
engine_plan_step (engine_t *e)
{
  uint32_t budget = e->model.prefill_chunk;
  double us = e->model.step_us;
  job_t *job;

  TAILQ_FOREACH (job, &e->waiting, link)
  job->preempted = false;
  if (!preempt_jobs (e))
    admit_jobs (e);
  if (e->running_count == 0)
    return 0;
  TAILQ_FOREACH (job, &e->running, link)
  {
    uint32_t chunk = job->prefill < budget ? job->prefill : budget;

    if (job->prefill == 0)
      us += e->model.decode_us
            + e->model.context_us * (double)context_tokens (job);
    us += e->model.prefill_us * chunk;
    budget -= chunk;
    job->prefill -= chunk;
  }
  e->prefilled = e->model.prefill_chunk - budget;
  return (cv_time_t)us;
}

void
engine_finish_step (engine_t *e, void (*on_token) (void *arg, job_t *job),
                    void *arg)
{
  job_t *job = TAILQ_FIRST (&e->running);

  while (job != NULL)
    {
      job_t *next = TAILQ_NEXT (job, link);

      if (job->prefill == 0)
        {
          job->produced++;
          e->used_tokens++;
          on_token (arg, job);
        }
      job = next;
    }
}
