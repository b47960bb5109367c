/* Requests that may run in some regions only, by their route or by their client
   account.  */

#include <string.h>

#include "gateway/state.h"

static const cv_regions_t *
regions_of_account (const cv_exchange_t *x)
{
  return x->account != NULL ? &x->account->regions : NULL;
}

static bool
is_restricted (const cv_exchange_t *x)
{
  const cv_regions_t *account = regions_of_account (x);

  return x->route->regions.count > 0 || (account != NULL && account->count > 0);
}

bool
cv_exchange_may_run_at (const cv_exchange_t *x, const cv_target_t *t)
{
  if (!is_restricted (x))
    return true;
  return cv_regions_allow (
      &x->route->regions, regions_of_account (x),
      cv_names_find (&x->gateway->settings.regions, t->record.failure_domain));
}

bool
cv_exchange_has_no_region (const cv_exchange_t *x)
{
  const cv_target_t *t;

  if (!is_restricted (x))
    return false;
  TAILQ_FOREACH (t, &x->gateway->targets, entry)
  if (strcmp (t->record.service, x->service->name) == 0
      && t->presence != CV_TARGET_REMOVED && cv_exchange_may_run_at (x, t))
    return false;
  return true;
}

/* ---- regions that no failure domain has ---- */

static bool
is_known (const cv_gateway_t *g, const char *region)
{
  const cv_names_t *regions = &g->settings.regions;

  for (uint32_t i = 0; i < regions->count; i++)
    if (strcmp (regions->names[i].value, region) == 0)
      return true;
  return false;
}

static bool
was_logged (const cv_gateway_t *g, uint64_t region)
{
  for (uint32_t i = 0; i < g->unknown_region_count; i++)
    if (g->unknown_regions[i] == region)
      return true;
  return false;
}

/* Logs once each region of R, which KIND NAME allows, that nobody has; only the
   first CV_UNKNOWN_REGIONS_MAX of a process.  */
static void
log_unknown (cv_gateway_t *g, const cv_regions_t *r, const char *kind,
             const char *name)
{
  cv_line_t l;

  for (uint32_t i = 0; i < r->count; i++)
    {
      uint64_t hash = cv_hash (r->names[i], strlen (r->names[i]), 0);

      if (is_known (g, r->names[i]) || was_logged (g, hash)
          || g->unknown_region_count == CV_UNKNOWN_REGIONS_MAX)
        continue;
      g->unknown_regions[g->unknown_region_count++] = hash;
      cv_line_begin (&l, CV_EV_GATEWAY_REGION_UNKNOWN);
      cv_line_text (&l, "region", cv_slice (r->names[i]));
      cv_line_text (&l, kind, cv_slice (name));
      cv_line_end (&l);
    }
}

void
cv_regions_log_unknown (cv_gateway_t *g, const cv_routing_t *r)
{
  for (uint32_t i = 0; i < r->route_count; i++)
    log_unknown (g, &r->routes[i].regions, "route", r->routes[i].name);
  for (uint32_t i = 0; i < r->account_count; i++)
    log_unknown (g, &r->accounts[i].regions, "account", r->accounts[i].name);
}
