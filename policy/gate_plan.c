/* The gate's decisions.

   A stream is started only when the memory that all started streams are
   expected to need at a few points ahead, with a margin of their spread, fits
   the engine.  When memory would still run out, the gate pauses the stream
   whose pause costs least, before the engine chooses one.  */

#include <math.h>

#include "policy/gate.h"

/* A waiting stream gains this many levels until its deadline.  */
#define AGING_LEVELS 2.0

typedef struct
{
  cv_gate_action_t *out;
  size_t n;
  size_t max;
} plan_t;

static void act (plan_t *p, cv_gate_verb_t verb, const cv_gate_stream_t *s);
static void need_add (const cv_gate_t *g, cv_forecast_t *need,
                      const cv_gate_stream_t *s);
static void need_all (const cv_gate_t *g, cv_forecast_t *need);
static bool fits (const cv_gate_t *g, cv_forecast_t *need,
                  const cv_gate_stream_t *s);
static void refuse_late (cv_gate_t *g, cv_time_t now, plan_t *p);
static void pause_some (cv_gate_t *g, cv_time_t now, plan_t *p);
static void start_some (cv_gate_t *g, cv_time_t now, plan_t *p);
static bool cheaper (const cv_gate_stream_t *a, const cv_gate_stream_t *b);
static cv_gate_stream_t *victim (const cv_gate_t *g);
static bool before (const cv_gate_t *g, const cv_gate_stream_t *a,
                    double level_a, const cv_gate_stream_t *b, double level_b);
static double level_of (const cv_gate_stream_t *s, cv_time_t now);
static cv_gate_stream_t *next_waiting (const cv_gate_t *g, cv_time_t now);

static void
act (plan_t *p, cv_gate_verb_t verb, const cv_gate_stream_t *s)
{
  p->out[p->n++] = (cv_gate_action_t){ .verb = verb, .slot = s->work.slot };
}

static void
need_add (const cv_gate_t *g, cv_forecast_t *need, const cv_gate_stream_t *s)
{
  double alive[CV_FORECAST_POINTS];

  cv_length_survivals (g->lengths, &s->work.key, s->produced, cv_forecast_ahead,
                       CV_FORECAST_POINTS, alive);
  for (int k = 0; k < CV_FORECAST_POINTS; k++)
    if (s->produced + cv_forecast_ahead[k] >= s->work.max_tokens)
      alive[k] = 0;
  cv_forecast_add (need, (double)s->work.prompt_tokens + s->produced, alive);
}

static void
need_all (const cv_gate_t *g, cv_forecast_t *need)
{
  const cv_gate_stream_t *s;

  cv_forecast_init (need);
  TAILQ_FOREACH (s, &g->running, link)
  need_add (g, need, s);
}

/* Whether S fits beside the streams of NEED, which then counts it too.  */
static bool
fits (const cv_gate_t *g, cv_forecast_t *need, const cv_gate_stream_t *s)
{
  cv_forecast_t with = *need;
  double room = GATE_FILL * (double)g->kv_total;
  double now = (double)g->used + s->work.prompt_tokens + s->produced;

  if (g->running_count == 0)
    {
      need_add (g, need, s);
      return true;
    }
  if (now + (double)GATE_NEAR_TOKENS * (g->running_count + 1) > room)
    return false;
  need_add (g, &with, s);
  if (cv_forecast_peak (&with, GATE_SIGMAS) > room)
    return false;
  *need = with;
  return true;
}

static void
refuse_late (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  cv_gate_stream_t *s = TAILQ_FIRST (&g->waiting);

  while (s != NULL && p->n < p->max)
    {
      cv_gate_stream_t *next = TAILQ_NEXT (s, link);

      if (now >= s->work.deadline)
        {
          act (p, CV_GATE_REFUSE, s);
          p->out[p->n - 1].retry_after_ms = cv_gate_retry_ms (g);
          cv_gate_drop (g, s);
        }
      s = next;
    }
}

/* Whether pausing A costs less than pausing B: the lower class, then the one
   paused less often, then less work lost.  */
static bool
cheaper (const cv_gate_stream_t *a, const cv_gate_stream_t *b)
{
  if (a->work.priority != b->work.priority)
    return a->work.priority < b->work.priority;
  if (a->pauses != b->pauses)
    return a->pauses < b->pauses;
  return a->produced <= b->produced;
}

/* The running stream whose pause costs least.  */
static cv_gate_stream_t *
victim (const cv_gate_t *g)
{
  cv_gate_stream_t *best = NULL;
  cv_gate_stream_t *s;

  TAILQ_FOREACH (s, &g->running, link)
  if (best == NULL || cheaper (s, best))
    best = s;
  return best;
}

static void
pause_some (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  while (p->n < p->max && g->running_count > 1
         && g->used + (uint64_t)GATE_NEAR_TOKENS * g->running_count
                > g->kv_total)
    {
      cv_gate_stream_t *s = victim (g);

      s->pauses++;
      act (p, CV_GATE_PAUSE, s);
      cv_gate_move (g, s, GATE_PAUSED, now);
    }
}

/* Whether A goes before B: by class, raised as the deadline comes near, then
   by what the account has received, then by arrival.  */
static bool
before (const cv_gate_t *g, const cv_gate_stream_t *a, double level_a,
        const cv_gate_stream_t *b, double level_b)
{
  if (level_a != level_b)
    return level_a > level_b;
  return g->shares[a->share].received < g->shares[b->share].received;
}

static double
level_of (const cv_gate_stream_t *s, cv_time_t now)
{
  double span = (double)(s->work.deadline - s->arrived);
  double part = span > 0 ? (double)(now - s->arrived) / span : 1;

  return s->work.priority + floor (AGING_LEVELS * part);
}

static cv_gate_stream_t *
next_waiting (const cv_gate_t *g, cv_time_t now)
{
  cv_gate_stream_t *best = NULL;
  double best_level = 0;
  cv_gate_stream_t *s;

  TAILQ_FOREACH (s, &g->waiting, link)
  {
    double level = level_of (s, now);

    if (s->work.suspect && g->suspects > 0)
      continue;
    if (best == NULL || before (g, s, level, best, best_level))
      {
        best = s;
        best_level = level;
      }
  }
  return best;
}

/* Resume and start while the forecast fits.  The first that does not fit
   holds back those behind it, so that large work is not starved by small.  */
static void
start_some (cv_gate_t *g, cv_time_t now, plan_t *p)
{
  cv_forecast_t need;
  cv_gate_stream_t *s;

  need_all (g, &need);
  while (p->n < p->max && g->running_count < g->max_batch)
    {
      bool resume = g->paused_count > 0;

      s = resume ? TAILQ_FIRST (&g->paused) : next_waiting (g, now);
      if (s == NULL)
        return;
      if (g->prefilling > 0
          && g->prefilling + s->work.prompt_tokens + s->produced
                 > GATE_PREFILL_TOKENS)
        return;
      if (!fits (g, &need, s))
        return;
      if (!resume)
        g->share_clock = g->shares[s->share].received;
      act (p, resume ? CV_GATE_RESUME : CV_GATE_START, s);
      cv_gate_move (g, s, GATE_RUNNING, now);
    }
}

size_t
cv_gate_tick (cv_gate_t *g, cv_time_t now, cv_gate_action_t *out, size_t max)
{
  plan_t p = { .out = out, .max = max };

  cv_gate_rate (g, now);
  refuse_late (g, now, &p);
  pause_some (g, now, &p);
  start_some (g, now, &p);
  return p.n;
}

void
cv_gate_load (const cv_gate_t *g, cv_load_t *load)
{
  cv_forecast_t need;
  double peak;

  need_all (g, &need);
  peak = fmax ((double)g->used, cv_forecast_peak (&need, 0));
  load->running = g->running_count;
  load->waiting = g->waiting_count + g->paused_count;
  load->kv_used = g->used;
  load->kv_total = g->kv_total;
  load->kv_promised = (uint64_t)(peak - (double)g->used) + g->waiting_need;
}
