/* Choice of a target from stale load reports and the entry's own work.

   Each pool keeps a dense array of its targets.  A pick compares a few random
   targets of the pool and the one that last got the same prefix, and takes the
   cheapest, so that its cost does not grow with the pool and entries with equal
   reports do not all choose the same target.  */

#include <stdlib.h>

#include "policy/map.h"
#include "policy/policy.h"

/* Random candidates of one pick.  In a pool of less than twice as many, all
   targets are compared.  */
#define PICK_CANDIDATES 3
/* Loads, gains and costs below are fractions of a target's memory.  */
/* Memory assumed for a target that has not reported its size, tokens.  */
#define DEFAULT_KV_TOTAL_TOKENS 1e5
/* Cells of the table of prefixes and their last target; a power of two.  */
#define AFFINITY_CELLS 8192
/* Fraction of a prompt's memory that a cached prefix takes off the cost.  */
#define AFFINITY_GAIN 1.0
/* A target is stalled after this time without a token of own streams.  */
#define STALL_TIMEOUT (2 * CV_SECOND)
#define PROBE_INTERVAL_MIN (1 * CV_SECOND)
#define PROBE_INTERVAL_MAX (30 * CV_SECOND)
/* Load of a stream that waits at the gate, in addition to its memory.  */
#define WAITING_COST 0.05
/* Largest random cost, to break ties.  */
#define NOISE_COST 0.005
/* Load per unit of RELATIVE_STREAM_MEMORY, subtracted for a prompt longer than
   the pool's mean and added for any other.  Long prompts thus go to targets
   that have few streams with much memory each, so that few streams wait for
   their prefill.  */
#define LENGTH_GAIN 0.5
/* Weight of the old value in the pool's means.  */
#define MEAN_DECAY 0.99
/* Most targets, the first of the pool's array, over which the pool's pressure
   is averaged.  */
#define PRESSURE_TARGETS_MAX 64
/* Load of an own stream in addition to its memory: it slows down the batch, and
   its prefill is not in the last report yet.  */
#define IN_FLIGHT_COST 0.03

typedef struct
{
  bool in_use;
  uint64_t pool;
  uint32_t index; /* in the pool's array */
  cv_target_state_t state;
  cv_load_t load;
  cv_time_t reported_at;
  /* Mean memory of a stream relative to the pool's mean: -1 lowest, 0 equal, 1
     twice or more.  */
  double relative_stream_memory;
  double unreported; /* own work started since the report, tokens */
  uint32_t in_flight;
  /* Own streams taken to be decoding: all in flight at the last token, 0 after
     any has ended since.  */
  uint32_t decoding;
  /* Last token of an own stream, or start of one when none was in flight.  */
  cv_time_t progress_at;
  cv_time_t probe_at; /* next probe of a target that failed a request */
  /* Doubles with each failed probe; 0: no failed request since a token.  */
  cv_time_t probe_interval;
} target_t;

typedef struct
{
  uint64_t name;
  uint32_t *targets;
  uint32_t count;
  uint32_t cap;
  double mean_prompt;        /* smoothed, tokens */
  double mean_stream_memory; /* memory of a running stream, smoothed, tokens */
} pool_t;

typedef struct
{
  uint64_t prefix;
  uint32_t target;
} affinity_t;

struct cv_router_t
{
  target_t *targets;
  uint32_t cap;
  cv_map_t pool_index;
  pool_t *pools;
  uint32_t pool_count;
  affinity_t affinity[AFFINITY_CELLS];
  cv_rng_t rng;
};

static pool_t *pool_get (cv_router_t *r, uint64_t name);
static void pool_add (cv_router_t *r, pool_t *p, uint32_t target);
static void pool_remove (cv_router_t *r, uint32_t target);
static double smooth (double mean, double value);
static void update_stream_memory (cv_router_t *r, target_t *t);
static affinity_t *affinity_cell (cv_router_t *r,
                                  const cv_route_request_t *req);
static bool is_stalled (const target_t *t, cv_time_t now);
static bool is_usable (const target_t *t, cv_time_t now, uint32_t id,
                       const cv_route_request_t *req);
static double request_cost (cv_router_t *r, const pool_t *p, const target_t *t,
                            const cv_route_request_t *req, bool cached);
static double target_load (const target_t *t);

cv_router_t *
cv_router_new (uint64_t seed)
{
  cv_router_t *r = cv_calloc (1, sizeof *r);

  cv_map_init (&r->pool_index);
  cv_rng_init (&r->rng, seed);
  return r;
}

void
cv_router_free (cv_router_t *r)
{
  if (r == NULL)
    return;
  for (uint32_t i = 0; i < r->pool_count; i++)
    free (r->pools[i].targets);
  free (r->pools);
  free (r->targets);
  cv_map_finish (&r->pool_index);
  cv_rng_finish (&r->rng);
  free (r);
}

static pool_t *
pool_get (cv_router_t *r, uint64_t name)
{
  uint32_t i = cv_map_get (&r->pool_index, name);

  if (i == CV_MAP_NONE)
    {
      i = r->pool_count++;
      r->pools = cv_realloc (r->pools, r->pool_count * sizeof *r->pools);
      r->pools[i] = (pool_t){ .name = name };
      cv_map_put (&r->pool_index, name, i);
    }
  return &r->pools[i];
}

static void
pool_add (cv_router_t *r, pool_t *p, uint32_t target)
{
  if (p->count == p->cap)
    {
      p->cap = p->cap ? p->cap * 2 : 16;
      p->targets = cv_realloc (p->targets, p->cap * sizeof *p->targets);
    }
  r->targets[target].index = p->count;
  p->targets[p->count++] = target;
}

static void
pool_remove (cv_router_t *r, uint32_t target)
{
  target_t *t = &r->targets[target];
  pool_t *p = pool_get (r, t->pool);
  uint32_t last = p->targets[--p->count];

  p->targets[t->index] = last;
  r->targets[last].index = t->index;
}

static double
smooth (double mean, double value)
{
  return mean > 0 ? MEAN_DECAY * mean + (1 - MEAN_DECAY) * value : value;
}

/* Updates the mean memory per stream of the pool, and that of T relative to it,
   from the report of T.  */
static void
update_stream_memory (cv_router_t *r, target_t *t)
{
  pool_t *p = pool_get (r, t->pool);
  double own;

  t->relative_stream_memory = 0;
  if (t->load.running == 0 || t->load.kv_used == 0)
    return;
  own = (double)t->load.kv_used / t->load.running;
  p->mean_stream_memory = smooth (p->mean_stream_memory, own);
  t->relative_stream_memory
      = own < 2 * p->mean_stream_memory ? own / p->mean_stream_memory - 1 : 1;
}

void
cv_router_report (cv_router_t *r, cv_time_t now, uint32_t target, uint64_t pool,
                  cv_target_state_t state, const cv_load_t *load)
{
  target_t *t;

  if (target >= r->cap)
    {
      uint32_t cap = r->cap ? r->cap : 16;

      while (cap <= target)
        cap *= 2;
      r->targets = cv_realloc (r->targets, cap * sizeof *r->targets);
      for (uint32_t i = r->cap; i < cap; i++)
        r->targets[i] = (target_t){ 0 };
      r->cap = cap;
    }
  t = &r->targets[target];
  if (t->in_use && t->pool != pool)
    cv_router_remove (r, target);
  if (!t->in_use)
    {
      *t = (target_t){ .in_use = true, .pool = pool, .progress_at = now };
      pool_add (r, pool_get (r, pool), target);
    }
  t->state = state;
  t->load = *load;
  t->reported_at = now;
  t->unreported = 0;
  update_stream_memory (r, t);
}

void
cv_router_remove (cv_router_t *r, uint32_t target)
{
  if (target >= r->cap || !r->targets[target].in_use)
    return;
  pool_remove (r, target);
  r->targets[target] = (target_t){ 0 };
}

static affinity_t *
affinity_cell (cv_router_t *r, const cv_route_request_t *req)
{
  return &r->affinity[cv_mix (req->prefix_hash ^ req->pool)
                      & (AFFINITY_CELLS - 1)];
}

/* Returns whether own streams were decoding at T and have stopped producing
   tokens.  */
static bool
is_stalled (const target_t *t, cv_time_t now)
{
  return t->decoding > 0 && now - t->progress_at > STALL_TIMEOUT;
}

static bool
is_usable (const target_t *t, cv_time_t now, uint32_t id,
           const cv_route_request_t *req)
{
  if (t->state != CV_TARGET_STATE_LIVE || id == req->avoid)
    return false;
  if (now - t->reported_at > CV_PEER_TIMEOUT)
    return false;
  if (t->probe_interval > 0 || is_stalled (t, now))
    return now >= t->probe_at && t->probe_interval > 0;
  return true;
}

static double
target_load (const target_t *t)
{
  double total = t->load.kv_total > 0 ? (double)t->load.kv_total
                                      : DEFAULT_KV_TOTAL_TOKENS;

  return ((double)t->load.kv_used + (double)t->load.kv_promised + t->unreported)
             / total
         + WAITING_COST * t->load.waiting;
}

static double
request_cost (cv_router_t *r, const pool_t *p, const target_t *t,
              const cv_route_request_t *req, bool cached)
{
  double total = t->load.kv_total > 0 ? (double)t->load.kv_total
                                      : DEFAULT_KV_TOTAL_TOKENS;
  double c = target_load (t) + IN_FLIGHT_COST * t->in_flight
             + NOISE_COST * cv_rng_uniform (&r->rng);

  c += req->prompt_tokens > p->mean_prompt
           ? -LENGTH_GAIN * t->relative_stream_memory
           : LENGTH_GAIN * t->relative_stream_memory;
  return cached ? c - AFFINITY_GAIN * req->prompt_tokens / total : c;
}

uint32_t
cv_router_pick (cv_router_t *r, cv_time_t now, const cv_route_request_t *req)
{
  pool_t *p = pool_get (r, req->pool);
  const affinity_t *a = affinity_cell (r, req);
  uint32_t best = CV_NO_TARGET;
  double best_cost = 0;
  uint32_t tries = p->count < 2 * PICK_CANDIDATES ? p->count : PICK_CANDIDATES;
  uint32_t start = p->count > 0 ? cv_rng_below (&r->rng, p->count) : 0;

  for (uint32_t i = 0; i < p->count; i++)
    {
      uint32_t id = p->targets[(start + i) % p->count];
      bool cached = a->prefix == req->prefix_hash && a->target == id;
      double c;

      if (i >= tries && best != CV_NO_TARGET)
        break;
      if (!is_usable (&r->targets[id], now, id, req))
        continue;
      c = request_cost (r, p, &r->targets[id], req, cached);
      if (best == CV_NO_TARGET || c < best_cost)
        {
          best = id;
          best_cost = c;
        }
    }
  if (a->prefix == req->prefix_hash && a->target < r->cap
      && r->targets[a->target].in_use && r->targets[a->target].pool == req->pool
      && is_usable (&r->targets[a->target], now, a->target, req)
      && (best == CV_NO_TARGET
          || request_cost (r, p, &r->targets[a->target], req, true)
                 < best_cost))
    best = a->target;
  return best;
}

double
cv_router_pressure (const cv_router_t *r, uint64_t pool)
{
  uint32_t i = cv_map_get (&r->pool_index, pool);
  const pool_t *p;
  double sum = 0;
  uint32_t live = 0;

  if (i == CV_MAP_NONE)
    return 0;
  p = &r->pools[i];
  for (uint32_t k = 0; k < p->count && k < PRESSURE_TARGETS_MAX; k++)
    {
      const target_t *t = &r->targets[p->targets[k]];

      if (t->state != CV_TARGET_STATE_LIVE)
        continue;
      sum += target_load (t);
      live++;
    }
  return live > 0 ? sum / live : 1;
}

void
cv_router_started (cv_router_t *r, cv_time_t now, uint32_t target,
                   const cv_route_request_t *req)
{
  target_t *t;
  pool_t *p;
  affinity_t *a = affinity_cell (r, req);

  if (target >= r->cap || !r->targets[target].in_use)
    return;
  t = &r->targets[target];
  a->prefix = req->prefix_hash;
  a->target = target;
  t->unreported += (double)req->prompt_tokens + req->expect;
  p = pool_get (r, t->pool);
  p->mean_prompt = smooth (p->mean_prompt, req->prompt_tokens);
  if (t->in_flight++ == 0)
    t->progress_at = now;
  if (t->probe_interval > 0)
    t->probe_at = now + t->probe_interval;
}

void
cv_router_progress (cv_router_t *r, cv_time_t now, uint32_t target,
                    uint32_t tokens)
{
  target_t *t;

  if (target >= r->cap || tokens == 0)
    return;
  t = &r->targets[target];
  t->progress_at = now;
  t->probe_interval = 0;
  t->decoding = t->in_flight;
}

void
cv_router_ended (cv_router_t *r, cv_time_t now, uint32_t target,
                 const cv_route_request_t *req, bool ok)
{
  target_t *t;

  (void)req;
  if (target >= r->cap || !r->targets[target].in_use)
    return;
  t = &r->targets[target];
  if (t->in_flight > 0)
    t->in_flight--;
  /* The other streams may still wait at the gate; the next token of one shows
     that they decode.  */
  t->decoding = 0;
  if (ok || now < t->probe_at)
    return;
  t->probe_interval = t->probe_interval == 0 ? PROBE_INTERVAL_MIN
                      : t->probe_interval * 2 > PROBE_INTERVAL_MAX
                          ? PROBE_INTERVAL_MAX
                          : t->probe_interval * 2;
  t->probe_at = now + t->probe_interval;
}
