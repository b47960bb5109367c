/* The gate's decisions.

   A stream is started only when no stream runs, or when the forecast memory of
   all running streams at a few points ahead, with a safety margin, fits the
   engine.  When memory would still run out, the gate pauses the stream whose
   pause costs least, before the engine preempts one of its own choice.  */

#include <math.h>

#include "policy/gate.h"

/* Priority levels that a waiting stream gains until its deadline.  */
#define AGING_LEVELS 2.0

typedef struct
{
  cv_gate_action_t *out;
  size_t n;
  size_t max;
} plan_t;

static void add_action (plan_t *p, cv_gate_verb_t verb,
                        const cv_gate_stream_t *s);
static void forecast_add_stream (const cv_gate_t *g, cv_forecast_t *need,
                                 const cv_gate_stream_t *s);
static void forecast_running (const cv_gate_t *g, cv_forecast_t *need);
static bool fits (const cv_gate_t *g, cv_forecast_t *need,
                  const cv_gate_stream_t *s);
static void refuse_expired (cv_gate_t *g, cv_time_t now, plan_t *p);
static void pause_streams (cv_gate_t *g, cv_time_t now, plan_t *p);
static void start_streams (cv_gate_t *g, cv_time_t now, plan_t *p);
static bool is_cheaper_to_pause (const cv_gate_stream_t *a,
                                 const cv_gate_stream_t *b);
static cv_gate_stream_t *pause_victim (const cv_gate_t *g);
static bool is_started_before (const cv_gate_t *g, const cv_gate_stream_t *a,
                               double level_a, const cv_gate_stream_t *b,
                               double level_b);
static double aged_priority (const cv_gate_stream_t *s, cv_time_t now);
static cv_gate_stream_t *next_waiting (const cv_gate_t *g, cv_time_t now);

static void
add_action (plan_t *p, cv_gate_verb_t verb, const cv_gate_stream_t *s)
{
  p->out[p->n++] = (cv_gate_action_t){ .verb = verb, .slot = s->work.slot };
}

static void
forecast_add_stream (const cv_gate_t *g, cv_forecast_t *need,
                     const cv_gate_stream_t *s)
{
  double survival[CV_FORECAST_POINTS];

  cv_length_survivals (g->lengths, &s->work.key, s->produced, cv_forecast_ahead,
                       CV_FORECAST_POINTS, survival);
  for (int k = 0; k < CV_FORECAST_POINTS; k++)
    if (s->produced + cv_forecast_ahead[k] >= s->work.max_tokens)
      survival[k] = 0;
  cv_forecast_add (need, (double)s->work.prompt_tokens + s->produced, survival);
}

static void
forecast_running (const cv_gate_t *g, cv_forecast_t *need)
{
  const cv_gate_stream_t *s;

  cv_forecast_init (need);
  TAILQ_FOREACH (s, &g->running, link)
  forecast_add_stream (g, need, s);
}

/* Returns whether S fits beside the streams in NEED; if so, adds it there.  */
static bool
fits (const cv_gate_t *g, cv_forecast_t *need, const cv_gate_stream_t *s)
{
  cv_forecast_t with = *need;
  double limit = GATE_FILL_MAX * (double)g->kv_total;
  double used = (double)g->used + s->work.prompt_tokens + s->produced;

  if (g->running_count == 0)
    {
      forecast_add_stream (g, need, s);
      return true;
    }
  if (used + (double)GATE_HEADROOM_TOKENS * (g->running_count + 1) > limit)
    return false;
  forecast_add_stream (g, &with, s);
  if (cv_forecast_peak (&with, GATE_FORECAST_SIGMAS) > limit)
    return false;
  *need = with;
  return true;
}

static void
refuse_expired (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  cv_gate_stream_t *s = TAILQ_FIRST (&g->waiting);

  while (s != NULL && p->n < p->max)
    {
      cv_gate_stream_t *next = TAILQ_NEXT (s, link);

      if (now >= s->work.deadline)
        {
          add_action (p, CV_GATE_REFUSE, s);
          p->out[p->n - 1].retry_after_ms = cv_gate_retry_ms (g);
          cv_gate_remove (g, s);
        }
      s = next;
    }
}

/* Returns whether pausing A costs less than pausing B: the lower priority
   number (less urgent), then fewer pauses, then less work lost.  */
static bool
is_cheaper_to_pause (const cv_gate_stream_t *a, const cv_gate_stream_t *b)
{
  if (a->work.priority != b->work.priority)
    return a->work.priority < b->work.priority;
  if (a->pauses != b->pauses)
    return a->pauses < b->pauses;
  return a->produced <= b->produced;
}

/* Returns the running stream whose pause costs least.  */
static cv_gate_stream_t *
pause_victim (const cv_gate_t *g)
{
  cv_gate_stream_t *best = NULL;
  cv_gate_stream_t *s;

  TAILQ_FOREACH (s, &g->running, link)
  if (best == NULL || is_cheaper_to_pause (s, best))
    best = s;
  return best;
}

static void
pause_streams (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  while (p->n < p->max && g->running_count > 1
         && g->used + (uint64_t)GATE_HEADROOM_TOKENS * g->running_count
                > g->kv_total)
    {
      cv_gate_stream_t *s = pause_victim (g);

      s->pauses++;
      add_action (p, CV_GATE_PAUSE, s);
      cv_gate_set_state (g, s, GATE_PAUSED, now);
    }
}

/* Returns whether A is started before B: by level, then by the work that the
   account has received.  Among equals the first to arrive stays first.  */
static bool
is_started_before (const cv_gate_t *g, const cv_gate_stream_t *a,
                   double level_a, const cv_gate_stream_t *b, double level_b)
{
  if (level_a != level_b)
    return level_a > level_b;
  return g->accounts[a->account].received < g->accounts[b->account].received;
}

/* Returns the priority of S, raised in steps until its deadline.  */
static double
aged_priority (const cv_gate_stream_t *s, cv_time_t now)
{
  double span = (double)(s->work.deadline - s->arrived_at);
  double elapsed = span > 0 ? (double)(now - s->arrived_at) / span : 1;

  return s->work.priority + floor (AGING_LEVELS * elapsed);
}

static cv_gate_stream_t *
next_waiting (const cv_gate_t *g, cv_time_t now)
{
  cv_gate_stream_t *best = NULL;
  double best_level = 0;
  cv_gate_stream_t *s;

  TAILQ_FOREACH (s, &g->waiting, link)
  {
    double level = aged_priority (s, now);

    if (s->work.suspect && g->running_suspects > 0)
      continue;
    if (best == NULL || is_started_before (g, s, level, best, best_level))
      {
        best = s;
        best_level = level;
      }
  }
  return best;
}

/* Resumes and starts streams while the forecast fits.  The first that does not
   fit blocks those after it, so that large streams are not starved by small
   ones.  */
static void
start_streams (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  cv_forecast_t need;
  cv_gate_stream_t *s;

  forecast_running (g, &need);
  while (p->n < p->max && g->running_count < g->max_batch)
    {
      bool resume = g->paused_count > 0;

      s = resume ? TAILQ_FIRST (&g->paused) : next_waiting (g, now);
      if (s == NULL)
        return;
      if (g->prefill_tokens > 0
          && g->prefill_tokens + s->work.prompt_tokens + s->produced
                 > GATE_PREFILL_MAX_TOKENS)
        return;
      if (!fits (g, &need, s))
        return;
      if (!resume)
        g->virtual_time = g->accounts[s->account].received;
      add_action (p, resume ? CV_GATE_RESUME : CV_GATE_START, s);
      cv_gate_set_state (g, s, GATE_RUNNING, now);
    }
}

size_t
cv_gate_tick (cv_gate_t *g, cv_time_t now, cv_gate_action_t *out, size_t max)
{
  plan_t p = { .out = out, .max = max };

  cv_gate_sample_rate (g, now);
  refuse_expired (g, now, &p);
  pause_streams (g, now, &p);
  start_streams (g, now, &p);
  return p.n;
}

void
cv_gate_load (const cv_gate_t *g, cv_load_t *load)
{
  cv_forecast_t need;
  double peak;

  forecast_running (g, &need);
  peak = fmax ((double)g->used, cv_forecast_peak (&need, 0));
  load->running = g->running_count;
  load->waiting = g->waiting_count + g->paused_count;
  load->kv_used = g->used;
  load->kv_total = g->kv_total;
  load->kv_promised = (uint64_t)(peak - (double)g->used) + g->waiting_need;
}
