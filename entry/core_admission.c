/* Admission control of an entry: account limits, divided among the entries,
   and the memory pressure of each pool.  */

#include <string.h>

#include "entry/core_internal.h"

#define PRESSURES_INITIAL 16

static cv_pool_pressure_t *find_pressure (cv_entry_core_t *c, uint64_t pool);

void
cv_entry_set_entries (cv_entry_core_t *c, uint32_t entries)
{
  c->entries = entries;
  if (c->config != NULL)
    cv_entry_apply_limits (c);
}

void
cv_entry_apply_limits (cv_entry_core_t *c)
{
  const cv_config_t *config = c->config;
  uint32_t share = config->limit_share > 0 ? config->limit_share : c->entries;

  for (size_t i = 0; i < config->account_count; i++)
    cv_limits_set (c->limits, cv_entry_name_hash (config->accounts[i].name),
                   &config->accounts[i].limits);
  cv_limits_set_entries (c->limits, share > 0 ? share : 1);
}

void
cv_entry_admission_tick (cv_entry_core_t *c)
{
  for (uint32_t i = 0; i < c->pressure_count; i++)
    c->pressures[i].pressure
        = cv_router_pressure (c->router, c->pressures[i].pool);
}

bool
cv_entry_admit (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                uint32_t expect)
{
  cv_admission_t a;

  cv_limits_set_pressure (c->limits, find_pressure (c, r->pool)->pressure);
  a = cv_limits_admit (c->limits, now, r->account_hash, expect);
  if (!a.admitted)
    {
      cv_request_fail (c, now, r,
                       strcmp (a.reason, "overload") == 0 ? CV_FAIL_OVERLOADED
                                                          : CV_FAIL_LIMIT,
                       a.retry_after_ms);
      return false;
    }
  r->admitted = true;
  return true;
}

/* Linear search, because there are few pools.  */
static cv_pool_pressure_t *
find_pressure (cv_entry_core_t *c, uint64_t pool)
{
  uint32_t i = 0;

  while (i < c->pressure_count && c->pressures[i].pool != pool)
    i++;
  if (i < c->pressure_count)
    return &c->pressures[i];
  if (i == c->pressure_cap)
    {
      c->pressure_cap = i == 0 ? PRESSURES_INITIAL : 2 * i;
      c->pressures
          = cv_realloc (c->pressures, c->pressure_cap * sizeof *c->pressures);
    }
  c->pressures[i].pool = pool;
  c->pressures[i].pressure = cv_router_pressure (c->router, pool);
  c->pressure_count++;
  return &c->pressures[i];
}
