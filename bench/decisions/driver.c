/* The events of a run in the order of their virtual time: arrivals, ends of
   engine steps, load reports and the fault of the case.  */

#include <stdlib.h>

#include "bench/decisions/fleet.h"

#define RUN_LENGTH (120 * CV_SECOND)
#define MEASURE_FROM (30 * CV_SECOND)
#define FAULT_AT (60 * CV_SECOND)
#define STALL_LENGTH (15 * CV_SECOND)

const char *const way_name[WAYS]
    = { "catkinvale", "round_robin", "least_in_flight", "two_choices" };

static void counted (fleet_t *f, const request_t *r, group_t *group[3]);
static void note_preempted (fleet_t *f, target_t *t);
static gap_kind_t step_kind (const target_t *t);
static gap_kind_t gap_kind (const target_t *t, const request_t *r);
static void token (void *arg, job_t *job);
static void finished (fleet_t *f, request_t *r, group_t *group[3]);
static void step_end (fleet_t *f, target_t *t);
static void fault (fleet_t *f);
static void lose (fleet_t *f, target_t *t);
static void open_gaps (fleet_t *f);
static cv_time_t next_event (const fleet_t *f, size_t arrival,
                             cv_time_t fault_at);

/* The groups that R counts in: all, its class and its account.  */
static void
counted (fleet_t *f, const request_t *r, group_t *group[3])
{
  group[0] = &f->metrics->all;
  group[1] = &f->metrics->class[r->arrival->class];
  group[2] = &f->metrics->account[r->arrival->account];
}

bool
fleet_measures (const fleet_t *f)
{
  return f->now >= f->metrics->from && f->now < f->metrics->to;
}

void
fleet_count (fleet_t *f, const request_t *r, size_t field)
{
  group_t *group[3];

  if (!fleet_measures (f))
    return;
  counted (f, r, group);
  for (int i = 0; i < 3; i++)
    ++*(uint64_t *)((char *)group[i] + field);
}

static void
note_preempted (fleet_t *f, target_t *t)
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
fleet_kick (fleet_t *f, target_t *t)
{
  cv_time_t length;

  if (t->lost || t->step_end != 0)
    return;
  length = engine_plan (&t->engine);
  if (length == 0)
    return;
  note_preempted (f, t);
  t->step_from = f->now;
  t->step_end = f->now + length;
}

static void
finished (fleet_t *f, request_t *r, group_t *group[3])
{
  uint32_t tokens = r->job.output;
  bool good = r->first - r->arrival->at <= fleet_class (f, r)->deadline;

  for (int i = 0; i < 3 && fleet_measures (f); i++)
    {
      group[i]->finished++;
      group[i]->answer_tokens += tokens;
      group[i]->good_tokens += good ? tokens : 0;
      group[i]->answering += f->now - r->arrival->at;
    }
  engine_remove (&f->targets[r->target].engine, &r->job);
  fleet_ended (f, r);
}

static gap_kind_t
step_kind (const target_t *t)
{
  if (t->engine.prefilled == 0)
    return GAP_PLAIN;
  return t->engine.prefilled <= SHORT_PREFILL ? GAP_SHORT : GAP_LONG;
}

/* What the gap that ends with R's token consists of.  */
static gap_kind_t
gap_kind (const target_t *t, const request_t *r)
{
  return r->last < t->step_from ? GAP_BROKEN : step_kind (t);
}

static void
token (void *arg, job_t *job)
{
  fleet_t *f = arg;
  request_t *r = &f->requests[job->slot];
  cv_time_t gap = f->now - r->last;
  gap_kind_t kind = gap_kind (&f->targets[r->target], r);
  group_t *group[3];

  if (fleet_measures (f) && r->first == 0)
    {
      histogram_add (&f->metrics->uncached, 1000 * (cv_time_t)job->uncached);
      histogram_add (&f->metrics->own,
                     1000 * (cv_time_t)(job->prompt - job->prefix_tokens));
    }
  counted (f, r, group);
  for (int i = 0; i < 3 && fleet_measures (f); i++)
    {
      group[i]->tokens++;
      if (r->first == 0)
        histogram_add (&group[i]->first, f->now - r->arrival->at);
      else
        {
          histogram_add (&group[i]->gap, gap);
          histogram_add (&group[i]->gap_of[kind], gap);
        }
      if (r->first != 0 && gap > STALL_GAP)
        group[i]->stalled += gap;
    }
  if (r->first == 0)
    r->first = f->now;
  r->last = f->now;
  fleet_token (f, r);
  if (job->produced >= job->output)
    finished (f, r, group);
}

static void
step_end (fleet_t *f, target_t *t)
{
  t->step_end = 0;
  if (fleet_measures (f))
    histogram_add (&f->metrics->step[step_kind (t)], f->now - t->step_from);
  engine_finish (&t->engine, token, f);
  t->dirty = true;
}

/* Everything aboard T is gone: what the callers have seen a part of is
   interrupted, the rest is run again elsewhere.  */
static void
lose (fleet_t *f, target_t *t)
{
  t->lost = true;
  t->step_end = 0;
  for (uint32_t e = 0; e < f->setup->entries; e++)
    fleet_report (f, t, e);
  for (size_t i = 0; i < f->workload.n; i++)
    {
      request_t *r = &f->requests[i];

      if (r->state != REQUEST_PLACED || &f->targets[r->target] != t)
        continue;
      engine_remove (&t->engine, &r->job);
      if (r->first != 0)
        {
          fleet_count (f, r, offsetof (group_t, lost));
          fleet_ended (f, r);
          continue;
        }
      fleet_place_again (f, r, true);
    }
}

static void
fault (fleet_t *f)
{
  target_t *t = &f->targets[0];

  if (f->what == CASE_LOST)
    lose (f, t);
  if (f->what == CASE_STALLED && t->step_end != 0)
    t->step_end += STALL_LENGTH;
}

/* Count the gaps that are still open at the end.  */
static void
open_gaps (fleet_t *f)
{
  for (size_t i = 0; i < f->workload.n; i++)
    {
      request_t *r = &f->requests[i];
      group_t *group[3];

      if (r->state != REQUEST_PLACED || r->first == 0
          || f->now - r->last <= STALL_GAP)
        continue;
      counted (f, r, group);
      for (int k = 0; k < 3; k++)
        group[k]->stalled += f->now - r->last;
    }
}

static cv_time_t
next_event (const fleet_t *f, size_t arrival, cv_time_t fault_at)
{
  cv_time_t at = fault_at;

  if (arrival < f->workload.n && f->workload.list[arrival].at < at)
    at = f->workload.list[arrival].at;
  for (uint32_t i = 0; i < f->setup->targets; i++)
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
run (const run_t *r, metrics_t *m)
{
  fleet_t f;
  size_t next = 0;
  cv_time_t fault_at = FAULT_AT;

  *m = (metrics_t){ .from = MEASURE_FROM, .to = RUN_LENGTH };
  fleet_init (&f, r, m, RUN_LENGTH);
  while ((f.now = next_event (&f, next, fault_at)) < RUN_LENGTH)
    {
      if (f.now == fault_at)
        {
          fault (&f);
          fault_at = RUN_LENGTH;
        }
      for (; next < f.workload.n && f.workload.list[next].at == f.now; next++)
        fleet_arrive (&f, &f.requests[next]);
      for (uint32_t i = 0; i < r->setup->targets; i++)
        {
          target_t *t = &f.targets[i];

          if (t->step_end == f.now)
            step_end (&f, t);
          if (t->report_at == f.now)
            fleet_report_all (&f, t);
        }
      fleet_settle (&f);
    }
  f.now = RUN_LENGTH - 1;
  open_gaps (&f);
  fleet_finish (&f);
}
