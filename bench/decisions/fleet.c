/* Simulates entries and sides: calls the policy functions of this system as the
   entry and side processes do, or a baseline in their place.  */

#include <stdlib.h>

#include "bench/decisions/fleet.h"

#define ACTIONS_MAX 32
#define ATTEMPTS_MAX 3
#define POOL_ID 1
#define MODEL_ID 1

static uint64_t account_hash (uint32_t account);
static cv_length_key_t length_key (const request_t *r);
static uint32_t baseline_pick (fleet_t *f, entry_t *e, uint32_t avoid);
static void refuse_request (fleet_t *f, request_t *r);
static void place_request (fleet_t *f, request_t *r);
static bool offer_to_gate (fleet_t *f, request_t *r);
static void apply_action (fleet_t *f, target_t *t, const cv_gate_action_t *a);
static void tick_gate (fleet_t *f, target_t *t);

void
fleet_init (fleet_t *f, const run_t *r, metrics_t *m, cv_time_t length)
{
  *f = (fleet_t){ .deployment = r->deployment,
                  .test_case = r->test_case,
                  .strategy = r->strategy,
                  .metrics = m };
  workload_init (&f->workload, r->deployment, r->test_case, r->load, length,
                 r->seed);
  f->requests = cv_calloc (f->workload.n + 1, sizeof *f->requests);
  cv_rng_init (&f->rng, r->seed + 1);
  for (uint32_t i = 0; i < r->deployment->targets; i++)
    {
      target_t *t = &f->targets[i];

      engine_init (&t->engine, &r->deployment->engine);
      if (r->strategy == STRATEGY_CATKINVALE)
        t->gate = cv_gate_new (r->deployment->engine.kv_total,
                               r->deployment->engine.max_batch);
      t->report_at = 1 + i * CV_REPORT_INTERVAL / r->deployment->targets;
    }
  for (uint32_t i = 0; i < r->deployment->entries; i++)
    {
      entry_t *e = &f->entries[i];

      e->router = cv_router_new (r->seed * 16 + i);
      e->limits = cv_limits_new (r->seed * 16 + i);
      e->length = cv_length_new (256);
      cv_limits_set_entries (e->limits, r->deployment->entries);
      for (uint32_t a = 0; a < ACCOUNTS; a++)
        {
          cv_account_limits_t limits
              = { .weight
                  = (uint32_t)(100 * r->deployment->account_share[a] + .5) };

          cv_limits_set (e->limits, account_hash (a), &limits);
          cv_retry_budget_init (&e->budget[a]);
        }
      for (uint32_t t = 0; t < r->deployment->targets; t++)
        fleet_send_report (f, &f->targets[t], i);
    }
  for (size_t i = 0; i < f->workload.n; i++)
    f->requests[i].arrival = &f->workload.list[i];
}

void
fleet_finish (fleet_t *f)
{
  for (uint32_t i = 0; i < f->deployment->targets; i++)
    cv_gate_free (f->targets[i].gate);
  for (uint32_t i = 0; i < f->deployment->entries; i++)
    {
      cv_router_free (f->entries[i].router);
      cv_limits_free (f->entries[i].limits);
      cv_length_free (f->entries[i].length);
    }
  cv_rng_finish (&f->rng);
  workload_finish (&f->workload);
  free (f->requests);
}

const class_t *
fleet_class (const fleet_t *f, const request_t *r)
{
  return &f->deployment->class[r->arrival->class];
}

static uint64_t
account_hash (uint32_t account)
{
  return cv_hash (&account, sizeof account, 1);
}

static cv_length_key_t
length_key (const request_t *r)
{
  return (cv_length_key_t){ .account = account_hash (r->arrival->account),
                            .class_id = 1 + r->arrival->class,
                            .model = MODEL_ID };
}

static uint32_t
baseline_pick (fleet_t *f, entry_t *e, uint32_t avoid)
{
  uint32_t n = f->deployment->targets;
  uint32_t first = cv_rng_below (&f->rng, n);
  uint32_t candidates = f->strategy == STRATEGY_TWO_CHOICES ? 2 : n;
  uint32_t best = CV_NO_TARGET;

  if (f->strategy == STRATEGY_ROUND_ROBIN)
    first = e->next_target++;
  for (uint32_t i = 0; i < n && candidates > 0; i++)
    {
      /* Two choices: the second is drawn uniformly from the others.  */
      uint32_t id = f->strategy == STRATEGY_TWO_CHOICES && i == 1
                        ? first + 1 + cv_rng_below (&f->rng, n - 1)
                        : first + i;

      id %= n;
      if (f->targets[id].down || id == avoid)
        continue;
      candidates--;
      if (best == CV_NO_TARGET || e->in_flight[id] < e->in_flight[best])
        best = id;
      if (f->strategy == STRATEGY_ROUND_ROBIN)
        break;
    }
  return best;
}

static void
refuse_request (fleet_t *f, request_t *r)
{
  fleet_count (f, r, offsetof (group_t, refused));
  r->state = REQUEST_OVER;
}

void
fleet_handle_arrival (fleet_t *f, request_t *r)
{
  const arrival_t *a = r->arrival;
  entry_t *e = &f->entries[a->entry];
  cv_length_key_t key = length_key (r);
  cv_admission_t admission;

  fleet_count (f, r, offsetof (group_t, arrived));
  r->job = (job_t){ .slot = (uint32_t)(r - f->requests),
                    .prompt = a->prompt,
                    .prefix = a->prefix,
                    .prefix_tokens = fleet_class (f, r)->prefix_tokens,
                    .output = a->output };
  r->route = (cv_route_request_t){ .pool = POOL_ID,
                                   .prefix_hash = 1000 + a->prefix,
                                   .prompt_tokens = a->prompt,
                                   .avoid = CV_NO_TARGET };
  if (f->strategy == STRATEGY_CATKINVALE)
    {
      r->route.expect
          = cv_length_remaining (e->length, &key, 0, OUTPUT_MAX, 0.5);
      cv_limits_set_pressure (e->limits,
                              cv_router_pressure (e->router, POOL_ID));
      admission = cv_limits_admit (e->limits, f->now, account_hash (a->account),
                                   r->route.expect);
      if (!admission.admitted)
        {
          refuse_request (f, r);
          return;
        }
      cv_retry_budget_first (&e->budget[a->account]);
    }
  place_request (f, r);
}

static bool
offer_to_gate (fleet_t *f, request_t *r)
{
  const class_t *c = fleet_class (f, r);
  uint32_t retry_after_ms;
  cv_gate_work_t work = { .slot = r->job.slot,
                          .key = length_key (r),
                          .priority = c->priority,
                          .prompt_tokens = r->arrival->prompt,
                          .max_tokens = OUTPUT_MAX,
                          .deadline = r->arrival->at + c->deadline };

  work.weight
      = (uint32_t)(100 * f->deployment->account_share[r->arrival->account]
                   + .5);
  return cv_gate_offer (f->targets[r->target].gate, f->now, &work,
                        &retry_after_ms);
}

/* Picks a target for R and sends R to it.  */
static void
place_request (fleet_t *f, request_t *r)
{
  entry_t *e = &f->entries[r->arrival->entry];
  target_t *t;

  r->target = f->strategy == STRATEGY_CATKINVALE
                  ? cv_router_pick (e->router, f->now, &r->route)
                  : baseline_pick (f, e, r->route.avoid);
  if (r->target == CV_NO_TARGET)
    {
      if (f->strategy == STRATEGY_CATKINVALE)
        cv_limits_ended (e->limits, f->now, account_hash (r->arrival->account));
      refuse_request (f, r);
      return;
    }
  t = &f->targets[r->target];
  r->state = REQUEST_PLACED;
  e->in_flight[r->target]++;
  if (f->strategy != STRATEGY_CATKINVALE)
    engine_submit (&t->engine, &r->job);
  else
    {
      cv_router_started (e->router, f->now, r->target, &r->route);
      if (!offer_to_gate (f, r))
        {
          fleet_retry (f, r, false);
          return;
        }
    }
  t->dirty = true;
}

void
fleet_retry (fleet_t *f, request_t *r, bool failed)
{
  entry_t *e = &f->entries[r->arrival->entry];
  uint32_t account = r->arrival->account;

  e->in_flight[r->target]--;
  r->route.avoid = r->target;
  if (f->strategy != STRATEGY_CATKINVALE)
    {
      place_request (f, r);
      return;
    }
  if (failed)
    cv_gate_ended (f->targets[r->target].gate, f->now, r->job.slot, false);
  cv_router_ended (e->router, f->now, r->target, &r->route, !failed);
  if (++r->attempts < ATTEMPTS_MAX
      && cv_retry_budget_take (&e->budget[account]))
    {
      place_request (f, r);
      return;
    }
  cv_limits_ended (e->limits, f->now, account_hash (account));
  refuse_request (f, r);
}

void
fleet_handle_token (fleet_t *f, request_t *r)
{
  entry_t *e = &f->entries[r->arrival->entry];

  if (f->strategy != STRATEGY_CATKINVALE)
    return;
  cv_gate_progress (f->targets[r->target].gate, f->now, r->job.slot, 1);
  cv_router_progress (e->router, f->now, r->target, 1);
  cv_limits_charge (e->limits, f->now, account_hash (r->arrival->account), 1);
}

void
fleet_end_request (fleet_t *f, request_t *r)
{
  entry_t *e = &f->entries[r->arrival->entry];
  bool completed = r->job.produced >= r->job.output;
  cv_length_key_t key = length_key (r);

  r->state = REQUEST_OVER;
  e->in_flight[r->target]--;
  if (f->strategy != STRATEGY_CATKINVALE)
    return;
  cv_gate_ended (f->targets[r->target].gate, f->now, r->job.slot, completed);
  cv_router_ended (e->router, f->now, r->target, &r->route, completed);
  cv_limits_ended (e->limits, f->now, account_hash (r->arrival->account));
  if (completed)
    cv_length_observe (e->length, &key, r->job.produced);
}

void
fleet_send_report (fleet_t *f, target_t *t, uint32_t entry)
{
  cv_load_t load = { 0 };

  if (t->gate == NULL)
    return;
  cv_gate_load (t->gate, &load);
  cv_router_report (
      f->entries[entry].router, f->now, (uint32_t)(t - f->targets), POOL_ID,
      t->down ? CV_TARGET_STATE_DOWN : CV_TARGET_STATE_LIVE, &load);
}

void
fleet_send_reports (fleet_t *f, target_t *t)
{
  t->report_at = f->now + CV_REPORT_INTERVAL;
  t->dirty = true;
  for (uint32_t e = 0; e < f->deployment->entries; e++)
    fleet_send_report (f, t, e);
}

static void
apply_action (fleet_t *f, target_t *t, const cv_gate_action_t *a)
{
  request_t *r = &f->requests[a->slot];

  switch (a->verb)
    {
    case CV_GATE_START:
    case CV_GATE_RESUME:
      engine_submit (&t->engine, &r->job);
      break;
    case CV_GATE_PAUSE:
      fleet_count (f, r, offsetof (group_t, paused));
      engine_remove (&t->engine, &r->job);
      break;
    case CV_GATE_REFUSE:
      fleet_retry (f, r, false);
      break;
    }
}

/* Applies the pending actions of T's gate.  */
static void
tick_gate (fleet_t *f, target_t *t)
{
  cv_gate_action_t action[ACTIONS_MAX];
  size_t n;

  if (t->gate == NULL || t->down)
    return;
  do
    {
      n = cv_gate_tick (t->gate, f->now, action, ACTIONS_MAX);
      for (size_t i = 0; i < n; i++)
        apply_action (f, t, &action[i]);
    }
  while (n == ACTIONS_MAX);
}

void
fleet_process_dirty (fleet_t *f)
{
  bool again = true;

  while (again)
    {
      again = false;
      for (uint32_t i = 0; i < f->deployment->targets; i++)
        {
          target_t *t = &f->targets[i];

          if (!t->dirty)
            continue;
          t->dirty = false;
          again = true;
          tick_gate (f, t);
          fleet_start_step (f, t);
        }
    }
}
