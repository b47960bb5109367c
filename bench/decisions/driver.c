/* Processes the events of a run in the order of their virtual time: arrivals,
   ends of engine steps, load reports and the fault of the test case.  */

#include <stdlib.h>

#include "bench/decisions/fleet.h"

#define RUN_DURATION (120 * CV_SECOND)
#define MEASURE_FROM (30 * CV_SECOND)
/* Equal to CHANGE_AT in workload.c.  */
#define FAULT_AT (60 * CV_SECOND)
#define STALL_DURATION (15 * CV_SECOND)

const char *const strategy_name[STRATEGIES]
    = { "catkinvale", "round_robin", "least_in_flight", "two_choices" };

static void find_groups (fleet_t *f, const request_t *r, group_t *group[3]);
static void count_preemptions (fleet_t *f, target_t *t);
static gap_kind_t step_kind (const target_t *t);
static gap_kind_t gap_kind (const target_t *t, const request_t *r);
static void handle_token (void *arg, job_t *job);
static void finish_request (fleet_t *f, request_t *r, group_t *group[3]);
static void finish_step (fleet_t *f, target_t *t);
static void inject_fault (fleet_t *f);
static void crash_target (fleet_t *f, target_t *t);
static void count_open_gaps (fleet_t *f);
static cv_time_t next_event_time (const fleet_t *f, size_t arrival,
                                  cv_time_t fault_at);

/* Returns in GROUP the groups of R: all requests, its class and its account. */
static void
find_groups (fleet_t *f, const request_t *r, group_t *group[3])
{
  group[0] = &f->metrics->all;
  group[1] = &f->metrics->class[r->arrival->class];
  group[2] = &f->metrics->account[r->arrival->account];
}

bool
fleet_is_measuring (const fleet_t *f)
{
  return f->now >= f->metrics->from && f->now < f->metrics->to;
}

void
fleet_count (fleet_t *f, const request_t *r, size_t field)
{
  group_t *group[3];

  if (!fleet_is_measuring (f))
    return;
  find_groups (f, r, group);
  for (int i = 0; i < 3; i++)
    ++*(uint64_t *)((char *)group[i] + field);
}

static void
count_preemptions (fleet_t *f, target_t *t)
{
  job_t *job;

  TAILQ_FOREACH (job, &t->engine.waiting, link)
  if (job->preempted)
    {
      fleet_count (f, &f->requests[job->slot], offsetof (group_t, preempted));
      if (t->gate != NULL)
        cv_gate_preempted (t->gate, f->now, job->slot);
    }
}

void
fleet_start_step (fleet_t *f, target_t *t)
{
  cv_time_t length;

  if (t->down || t->step_end != 0)
    return;
  length = engine_plan_step (&t->engine);
  if (length == 0)
    return;
  count_preemptions (f, t);
  t->step_from = f->now;
  t->step_end = f->now + length;
}

static void
finish_request (fleet_t *f, request_t *r, group_t *group[3])
{
  uint32_t tokens = r->job.output;
  bool good
      = r->first_token_at - r->arrival->at <= fleet_class (f, r)->deadline;

  for (int i = 0; i < 3 && fleet_is_measuring (f); i++)
    {
      group[i]->finished++;
      group[i]->answer_tokens += tokens;
      group[i]->good_tokens += good ? tokens : 0;
      group[i]->answer_time += f->now - r->arrival->at;
    }
  engine_remove (&f->targets[r->target].engine, &r->job);
  fleet_end_request (f, r);
}

static gap_kind_t
step_kind (const target_t *t)
{
  if (t->engine.prefilled == 0)
    return GAP_PLAIN;
  return t->engine.prefilled <= SHORT_PREFILL ? GAP_SHORT : GAP_LONG;
}

/* Returns the cause of the gap that ends with the current token of R.  */
static gap_kind_t
gap_kind (const target_t *t, const request_t *r)
{
  return r->last_token_at < t->step_from ? GAP_PAUSED : step_kind (t);
}

static void
handle_token (void *arg, job_t *job)
{
  fleet_t *f = arg;
  request_t *r = &f->requests[job->slot];
  cv_time_t gap = f->now - r->last_token_at;
  gap_kind_t kind = gap_kind (&f->targets[r->target], r);
  group_t *group[3];

  if (fleet_is_measuring (f) && r->first_token_at == 0)
    {
      histogram_add (&f->metrics->uncached_millitokens,
                     1000 * (cv_time_t)job->uncached);
      histogram_add (&f->metrics->unshared_millitokens,
                     1000 * (cv_time_t)(job->prompt - job->prefix_tokens));
    }
  find_groups (f, r, group);
  for (int i = 0; i < 3 && fleet_is_measuring (f); i++)
    {
      group[i]->tokens++;
      if (r->first_token_at == 0)
        histogram_add (&group[i]->first_token, f->now - r->arrival->at);
      else
        {
          histogram_add (&group[i]->gap, gap);
          histogram_add (&group[i]->gap_by_kind[kind], gap);
        }
      if (r->first_token_at != 0 && gap > STALL_GAP)
        group[i]->stall_time += gap;
    }
  if (r->first_token_at == 0)
    r->first_token_at = f->now;
  r->last_token_at = f->now;
  fleet_handle_token (f, r);
  if (job->produced >= job->output)
    finish_request (f, r, group);
}

static void
finish_step (fleet_t *f, target_t *t)
{
  t->step_end = 0;
  if (fleet_is_measuring (f))
    histogram_add (&f->metrics->step[step_kind (t)], f->now - t->step_from);
  engine_finish_step (&t->engine, handle_token, f);
  t->dirty = true;
}

/* Target T crashes.  A request whose caller has received tokens is interrupted;
   the others are retried at another target.  */
static void
crash_target (fleet_t *f, target_t *t)
{
  t->down = true;
  t->step_end = 0;
  for (uint32_t e = 0; e < f->deployment->entries; e++)
    fleet_send_report (f, t, e);
  for (size_t i = 0; i < f->workload.n; i++)
    {
      request_t *r = &f->requests[i];

      if (r->state != REQUEST_PLACED || &f->targets[r->target] != t)
        continue;
      engine_remove (&t->engine, &r->job);
      if (r->first_token_at != 0)
        {
          fleet_count (f, r, offsetof (group_t, interrupted));
          fleet_end_request (f, r);
          continue;
        }
      fleet_retry (f, r, true);
    }
}

static void
inject_fault (fleet_t *f)
{
  target_t *t = &f->targets[0];

  if (f->test_case == CASE_LOST)
    crash_target (f, t);
  if (f->test_case == CASE_STALLED && t->step_end != 0)
    t->step_end += STALL_DURATION;
}

/* Counts the stalls that are still open at the end of the run.  */
static void
count_open_gaps (fleet_t *f)
{
  for (size_t i = 0; i < f->workload.n; i++)
    {
      request_t *r = &f->requests[i];
      group_t *group[3];

      if (r->state != REQUEST_PLACED || r->first_token_at == 0
          || f->now - r->last_token_at <= STALL_GAP)
        continue;
      find_groups (f, r, group);
      for (int k = 0; k < 3; k++)
        group[k]->stall_time += f->now - r->last_token_at;
    }
}

static cv_time_t
next_event_time (const fleet_t *f, size_t arrival, cv_time_t fault_at)
{
  cv_time_t at = fault_at;

  if (arrival < f->workload.n && f->workload.list[arrival].at < at)
    at = f->workload.list[arrival].at;
  for (uint32_t i = 0; i < f->deployment->targets; i++)
    {
      const target_t *t = &f->targets[i];

      if (t->step_end != 0 && t->step_end < at)
        at = t->step_end;
      if (t->report_at < at)
        at = t->report_at;
    }
  return at;
}

void
simulate (const run_t *r, metrics_t *m)
{
  fleet_t f;
  size_t next = 0;
  cv_time_t fault_at = FAULT_AT;

  *m = (metrics_t){ .from = MEASURE_FROM, .to = RUN_DURATION };
  fleet_init (&f, r, m, RUN_DURATION);
  while ((f.now = next_event_time (&f, next, fault_at)) < RUN_DURATION)
    {
      if (f.now == fault_at)
        {
          inject_fault (&f);
          fault_at = RUN_DURATION;
        }
      for (; next < f.workload.n && f.workload.list[next].at == f.now; next++)
        fleet_handle_arrival (&f, &f.requests[next]);
      for (uint32_t i = 0; i < r->deployment->targets; i++)
        {
          target_t *t = &f.targets[i];

          if (t->step_end == f.now)
            finish_step (&f, t);
          if (t->report_at == f.now)
            fleet_send_reports (&f, t);
        }
      fleet_process_dirty (&f);
    }
  f.now = RUN_DURATION - 1;
  count_open_gaps (&f);
  fleet_finish (&f);
}
