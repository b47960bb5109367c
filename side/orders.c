/* Orders to the engine.  One at a time; a repeat changes nothing.  */

#include <stdlib.h>
#include <string.h>

#include "side/core.h"

#define STATUS_OK 200
#define STATUS_CONFLICT 409

static bool may_order (const cv_side_core_t *c, cv_time_t now);
static bool next_order (const cv_side_core_t *c, cv_order_t *out);
static bool differs (const cv_side_core_t *c, cv_order_t *out);
static cv_order_t *find_loaded (const cv_orders_t *o, const char *model);
static bool same (const cv_order_t *a, const cv_order_t *b);
static void name_model (cv_order_t *o, const cv_model_t *m);
static void taken (cv_orders_t *o);
static void unload (cv_orders_t *o, const char *model);
static void refused (cv_orders_t *o, uint64_t fence);
static void wait_for (cv_side_core_t *c, cv_time_t now, uint32_t least_ms);

void
cv_orders_init (cv_side_core_t *c, cv_time_t now)
{
  c->orders.phase = CV_ORDERS_PROBE;
  c->orders.since = now;
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

  if (!may_order (c, now) || !next_order (c, &order))
    return;
  if (!same (&order, &o->current))
    o->granted = false;
  o->current = order;
  o->busy = true;
  if (order.kind == CV_ORDER_LOAD && c->set.fetches && !o->granted)
    out.type = CV_OUT_FETCH;
  out.u.order = &o->current;
  c->emit (c->arg, &out);
}

void
cv_side_order_end (cv_side_core_t *c, cv_time_t now, const cv_order_end_t *end)
{
  cv_orders_t *o = &c->orders;
  bool outdated = o->outdated;

  o->busy = false;
  o->outdated = false;
  if (outdated)
    return;
  if (end->answered && end->status == STATUS_CONFLICT)
    {
      refused (o, end->fence);
      return;
    }
  if (!end->answered || end->status != STATUS_OK)
    {
      cv_log (CV_EV_SIDE_ORDER_FAILED, "fence %llu, model %s, status %u",
              (unsigned long long)o->current.fence, o->current.model,
              end->answered ? end->status : 0);
      wait_for (c, now, 0);
      return;
    }
  o->tries = 0;
  taken (o);
}

void
cv_side_fetch_end (cv_side_core_t *c, cv_time_t now, bool granted,
                   uint32_t retry_after_ms)
{
  cv_orders_t *o = &c->orders;

  o->busy = false;
  o->outdated = false;
  o->granted = granted;
  if (granted)
    o->tries = 0;
  else
    wait_for (c, now, retry_after_ms);
}

void
cv_side_engine_booted (cv_side_core_t *c)
{
  cv_orders_t *o = &c->orders;

  o->count = 0;
  o->outdated = o->busy;
  if (o->phase != CV_ORDERS_LAPSED)
    o->phase = CV_ORDERS_PROBE;
}

/* ---- local ---- */

static bool
may_order (const cv_side_core_t *c, cv_time_t now)
{
  const cv_orders_t *o = &c->orders;
  const cv_pool_t *pool;

  if (c->set.kind != CV_POOL_ENGINE || !c->backend_up || c->config == NULL
      || c->leaving || o->busy || o->phase == CV_ORDERS_LAPSED || now < o->next)
    return false;
  /* No order under a configuration that is known to be old, or that may have
     become old during a freeze.  */
  if (c->doc[CV_DOC_CONFIG].seen > c->doc[CV_DOC_CONFIG].version)
    return false;
  if (c->woke != 0 && c->config_heard < c->woke + CV_WAKE_SETTLE)
    return false;
  pool = cv_config_pool (c->config, c->set.pool);
  return pool != NULL
         && (pool->checks_fence || now - o->since >= CV_ORDER_SETTLE);
}

/* The order that is due; false when there is none.  */
static bool
next_order (const cv_side_core_t *c, cv_order_t *out)
{
  const cv_orders_t *o = &c->orders;

  if (!differs (c, out))
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

/* The first difference between the configuration and what was ordered; what
   goes is unloaded before anything is loaded.  */
static bool
differs (const cv_side_core_t *c, cv_order_t *out)
{
  const cv_orders_t *o = &c->orders;
  const cv_order_t *l;
  size_t i;

  for (i = 0; i < o->count; i++)
    {
      const cv_model_t *m = cv_config_model (c->config, o->loaded[i].model);

      if (m != NULL && strcmp (m->pool, c->set.pool) == 0)
        continue;
      *out = o->loaded[i];
      out->kind = CV_ORDER_UNLOAD;
      return true;
    }
  for (i = 0; i < c->config->model_count; i++)
    {
      const cv_model_t *m = &c->config->models[i];

      if (strcmp (m->pool, c->set.pool) != 0)
        continue;
      *out = (cv_order_t){ .kind = CV_ORDER_LOAD };
      name_model (out, m);
      l = find_loaded (o, m->name);
      if (l == NULL || !same (l, out))
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
same (const cv_order_t *a, const cv_order_t *b)
{
  return a->kind == b->kind && strcmp (a->model, b->model) == 0
         && strcmp (a->adapter, b->adapter) == 0
         && strcmp (a->version, b->version) == 0;
}

static void
name_model (cv_order_t *o, const cv_model_t *m)
{
  (void)cv_copy (o->model, sizeof o->model, m->name);
  (void)cv_copy (o->adapter, sizeof o->adapter, m->adapter);
  (void)cv_copy (o->version, sizeof o->version, m->version);
}

/* The engine took the current order.  */
static void
taken (cv_orders_t *o)
{
  cv_order_t *l;

  cv_log (CV_EV_SIDE_ORDER_ACCEPTED, "fence %llu, kind %d, model %s %s",
          (unsigned long long)o->current.fence, (int)o->current.kind,
          o->current.model, o->current.version);
  o->granted = false;
  switch (o->current.kind)
    {
    case CV_ORDER_ROLE:
      if (o->phase == CV_ORDERS_CLAIM)
        o->phase = CV_ORDERS_HELD;
      else if (o->phase == CV_ORDERS_PROBE)
        refused (o, o->fence); /* the engine has seen no greater one */
      break;
    case CV_ORDER_UNLOAD:
      unload (o, o->current.model);
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
unload (cv_orders_t *o, const char *model)
{
  cv_order_t *l = find_loaded (o, model);

  if (l != NULL)
    *l = o->loaded[--o->count];
}

/* The engine's fencing number is FENCE.  Before this process holds one it
   takes the next; the port keeps any other living process from doing the
   same.  After that a greater one means that this process has lapsed.  */
static void
refused (cv_orders_t *o, uint64_t fence)
{
  if (o->phase == CV_ORDERS_HELD)
    {
      cv_log (CV_EV_SIDE_ORDERS_LAPSED, "fence %llu, engine %llu",
              (unsigned long long)o->fence, (unsigned long long)fence);
      o->phase = CV_ORDERS_LAPSED;
      return;
    }
  if (fence >= o->fence)
    o->fence = fence + 1;
  o->phase = CV_ORDERS_CLAIM;
}

/* No try before a time that doubles with each failure and is not less than
   LEAST_MS; up to as much again is drawn on top, so that the targets of a
   fleet do not come back together.  */
static void
wait_for (cv_side_core_t *c, cv_time_t now, uint32_t least_ms)
{
  cv_orders_t *o = &c->orders;
  uint64_t ms = CV_ORDER_RETRY_MS;
  uint32_t i;

  for (i = 0; i < o->tries && ms < CV_ORDER_RETRY_MAX_MS; i++)
    ms *= 2;
  if (ms > CV_ORDER_RETRY_MAX_MS)
    ms = CV_ORDER_RETRY_MAX_MS;
  if (ms < least_ms)
    ms = least_ms;
  o->tries++;
  o->drawn++;
  ms += cv_hash (&o->drawn, sizeof o->drawn, c->set.seed) % (ms + 1);
  o->next = now + (cv_time_t)ms * CV_MS;
}
