/* Orders to the engine, one at a time.  An order without an answer is sent
   again: the engine must accept a repeated order without further effect.  */

#include <stdlib.h>
#include <string.h>

#include "side/core.h"

#define STATUS_OK 200
#define STATUS_CONFLICT 409

static bool can_order (const cv_side_core_t *c, cv_time_t now);
static bool next_order (const cv_side_core_t *c, cv_order_t *out);
static bool find_difference (const cv_side_core_t *c, cv_order_t *out);
static cv_order_t *find_loaded (const cv_orders_t *o, const char *model);
static bool is_same_order (const cv_order_t *a, const cv_order_t *b);
static void set_model (cv_order_t *o, const cv_model_t *m);
static void order_accepted (cv_orders_t *o);
static void remove_loaded (cv_orders_t *o, const char *model);
static void on_engine_token (cv_orders_t *o, uint64_t fence);
static void back_off (cv_side_core_t *c, cv_time_t now, uint32_t min_ms);

void
cv_orders_init (cv_side_core_t *c, cv_time_t now)
{
  c->orders.phase = CV_ORDERS_PROBE;
  c->orders.start_time = now;
}

void
cv_orders_finish (cv_side_core_t *c)
{
  free (c->orders.loaded);
}

void
cv_orders_tick (cv_side_core_t *c, cv_time_t now)
{
  cv_orders_t *o = &c->orders;
  cv_side_out_t out = { .type = CV_OUT_ORDER };
  cv_order_t order = { 0 };

  if (!can_order (c, now) || !next_order (c, &order))
    return;
  if (!is_same_order (&order, &o->current))
    o->load_permitted = false;
  o->current = order;
  o->in_flight = true;
  if (order.kind == CV_ORDER_LOAD && c->settings.needs_load_permission
      && !o->load_permitted)
    out.type = CV_OUT_LOAD_PERMISSION;
  out.u.order = &o->current;
  c->emit (c->arg, &out);
}

void
cv_side_order_end (cv_side_core_t *c, cv_time_t now, const cv_order_end_t *end)
{
  cv_orders_t *o = &c->orders;
  bool answer_stale = o->answer_stale;

  o->in_flight = false;
  o->answer_stale = false;
  if (answer_stale)
    return;
  if (end->answered && end->status == STATUS_CONFLICT)
    {
      on_engine_token (o, end->fence);
      return;
    }
  if (!end->answered || end->status != STATUS_OK)
    {
      cv_log (
          CV_EV_SIDE_ORDER_FAILED,
          "fence %llu, model %s (empty: role order), status %u (0: no answer)",
          (unsigned long long)o->current.fence, o->current.model,
          end->answered ? end->status : 0);
      back_off (c, now, 0);
      return;
    }
  o->failures = 0;
  order_accepted (o);
}

void
cv_side_load_permission_end (cv_side_core_t *c, cv_time_t now, bool granted,
                             uint32_t retry_after_ms)
{
  cv_orders_t *o = &c->orders;

  o->in_flight = false;
  o->answer_stale = false;
  o->load_permitted = granted;
  if (granted)
    o->failures = 0;
  else
    back_off (c, now, retry_after_ms);
}

void
cv_side_engine_restarted (cv_side_core_t *c)
{
  cv_orders_t *o = &c->orders;

  o->count = 0;
  o->answer_stale = o->in_flight;
  if (o->phase != CV_ORDERS_LAPSED)
    o->phase = CV_ORDERS_PROBE;
}

/* ---- helpers ---- */

static bool
can_order (const cv_side_core_t *c, cv_time_t now)
{
  const cv_orders_t *o = &c->orders;
  const cv_pool_t *pool;

  if (c->settings.kind != CV_POOL_ENGINE || !c->backend_up || c->config == NULL
      || c->draining || o->in_flight || o->phase == CV_ORDERS_LAPSED
      || now < o->retry_at)
    return false;
  /* No order under a configuration that is stale, or may have become stale
     during a freeze.  */
  if (c->doc[CV_DOC_CONFIG].newest_seen > c->doc[CV_DOC_CONFIG].version)
    return false;
  if (c->freeze_end != 0
      && c->config_age_time < c->freeze_end + CV_FREEZE_SETTLE)
    return false;
  pool = cv_config_pool (c->config, c->settings.pool);
  return pool != NULL
         && (pool->checks_fence || now - o->start_time >= CV_ORDER_SETTLE);
}

/* The next order to send; false when there is none.  */
static bool
next_order (const cv_side_core_t *c, cv_order_t *out)
{
  const cv_orders_t *o = &c->orders;

  if (!find_difference (c, out))
    return false;
  if (o->phase == CV_ORDERS_HELD)
    {
      out->fence = o->fence;
      return true;
    }
  *out = (cv_order_t){ .kind = CV_ORDER_ROLE };
  if (o->phase == CV_ORDERS_CLAIM)
    out->fence = o->fence;
  return true;
}

/* The order for the first difference between the configuration and the loaded
   models.  Models are unloaded before others are loaded.  */
static bool
find_difference (const cv_side_core_t *c, cv_order_t *out)
{
  const cv_orders_t *o = &c->orders;
  const cv_order_t *l;
  size_t i;

  for (i = 0; i < o->count; i++)
    {
      const cv_model_t *m = cv_config_model (c->config, o->loaded[i].model);

      if (m != NULL && strcmp (m->pool, c->settings.pool) == 0)
        continue;
      *out = o->loaded[i];
      out->kind = CV_ORDER_UNLOAD;
      return true;
    }
  for (i = 0; i < c->config->model_count; i++)
    {
      const cv_model_t *m = &c->config->models[i];

      if (strcmp (m->pool, c->settings.pool) != 0)
        continue;
      *out = (cv_order_t){ .kind = CV_ORDER_LOAD };
      set_model (out, m);
      l = find_loaded (o, m->name);
      if (l == NULL || !is_same_order (l, out))
        return true;
    }
  return false;
}

static cv_order_t *
find_loaded (const cv_orders_t *o, const char *model)
{
  size_t i;

  for (i = 0; i < o->count; i++)
    if (strcmp (o->loaded[i].model, model) == 0)
      return &o->loaded[i];
  return NULL;
}

static bool
is_same_order (const cv_order_t *a, const cv_order_t *b)
{
  return a->kind == b->kind && strcmp (a->model, b->model) == 0
         && strcmp (a->adapter, b->adapter) == 0
         && strcmp (a->version, b->version) == 0;
}

static void
set_model (cv_order_t *o, const cv_model_t *m)
{
  (void)cv_copy (o->model, sizeof o->model, m->name);
  (void)cv_copy (o->adapter, sizeof o->adapter, m->adapter);
  (void)cv_copy (o->version, sizeof o->version, m->version);
}

/* The engine accepted the current order.  */
static void
order_accepted (cv_orders_t *o)
{
  cv_order_t *l;

  cv_log (CV_EV_SIDE_ORDER_ACCEPTED,
          "fence %llu, kind %d (1: load, 2: unload, 3: role), model %s %s",
          (unsigned long long)o->current.fence, (int)o->current.kind,
          o->current.model, o->current.version);
  o->load_permitted = false;
  switch (o->current.kind)
    {
    case CV_ORDER_ROLE:
      if (o->phase == CV_ORDERS_CLAIM)
        o->phase = CV_ORDERS_HELD;
      else if (o->phase == CV_ORDERS_PROBE)
        /* The engine accepted fencing token 0, so it has seen no token: claim
           the one after our last.  */
        on_engine_token (o, o->fence);
      break;
    case CV_ORDER_UNLOAD:
      remove_loaded (o, o->current.model);
      break;
    case CV_ORDER_LOAD:
      l = find_loaded (o, o->current.model);
      if (l == NULL)
        {
          if (o->count == o->cap)
            {
              o->cap = o->cap * 2 + 4;
              o->loaded = cv_realloc (o->loaded, o->cap * sizeof *o->loaded);
            }
          l = &o->loaded[o->count++];
        }
      *l = o->current;
      break;
    }
}

static void
remove_loaded (cv_orders_t *o, const char *model)
{
  cv_order_t *l = find_loaded (o, model);

  if (l != NULL)
    *l = o->loaded[--o->count];
}

/* The engine's fencing token is FENCE, or 0 when it gave none.  A process
   without a token claims the next one; no other live process does so, as only
   one can bind the target's port for entries.  Once the engine has accepted
   this process's token (CV_ORDERS_HELD), any conflict (status 409) is taken to
   mean that another process took over; the tokens are not compared.  */
static void
on_engine_token (cv_orders_t *o, uint64_t fence)
{
  if (o->phase == CV_ORDERS_HELD)
    {
      cv_log (CV_EV_SIDE_ORDERS_LAPSED,
              "fence %llu, engine's fence %llu (0: none given); this process "
              "sends no more orders",
              (unsigned long long)o->fence, (unsigned long long)fence);
      o->phase = CV_ORDERS_LAPSED;
      return;
    }
  if (fence >= o->fence)
    o->fence = fence + 1;
  o->phase = CV_ORDERS_CLAIM;
}

/* Starts a backoff that doubles with each failure and is at least MIN_MS.
   Jitter then adds up to 100 % of it, also beyond CV_ORDER_BACKOFF_MAX_MS, so
   that the targets of a fleet do not retry at the same time.  */
static void
back_off (cv_side_core_t *c, cv_time_t now, uint32_t min_ms)
{
  cv_orders_t *o = &c->orders;
  uint64_t ms = CV_ORDER_BACKOFF_MS;
  uint32_t i;

  for (i = 0; i < o->failures && ms < CV_ORDER_BACKOFF_MAX_MS; i++)
    ms *= 2;
  if (ms > CV_ORDER_BACKOFF_MAX_MS)
    ms = CV_ORDER_BACKOFF_MAX_MS;
  if (ms < min_ms)
    ms = min_ms;
  o->failures++;
  o->jitter_count++;
  ms += cv_hash (&o->jitter_count, sizeof o->jitter_count, c->settings.seed)
        % (ms + 1);
  o->retry_at = now + (cv_time_t)ms * CV_MS;
}
