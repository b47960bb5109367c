/* Evacuation of failure domains: nothing new is sent to the targets of a domain
   that the store's evacuations name.  Runs that are there may end there.  */

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "gateway/state.h"

/* Whether evacuations are followed at all.  */
static bool
is_enabled (const cv_gateway_t *g)
{
  return g->settings.evacuate_ms > 0;
}

bool
cv_domain_is_evacuated (const cv_gateway_t *g, const char *domain)
{
  return g->domains.count > 0 && cv_domains_has (&g->domains, domain);
}

bool
cv_target_is_evacuated (const cv_target_t *t)
{
  return cv_domain_is_evacuated (t->gateway, t->record.failure_domain);
}

/* Time from the last answer of the store, or the last list of another gateway,
   until this process stood still.  */
static cv_time_t
silence_before_stall (const cv_gateway_t *g, cv_time_t now)
{
  cv_time_t began_at = now - g->last_tick_at > CV_STALL_MAX ? g->last_tick_at
                                                            : g->stall_began_at;

  return began_at - g->evacuation_watcher.confirmed_at;
}

static cv_time_t
asked_for (const cv_gateway_t *g, cv_time_t now)
{
  return g->evacuations_asked_at > 0 ? now - g->evacuations_asked_at : 0;
}

bool
cv_evacuations_must_wait (const cv_gateway_t *g, cv_time_t now)
{
  const cv_watcher_t *w = &g->evacuation_watcher;
  const cv_domains_basis_t basis = { .is_known = w->is_synced,
                                     .asked = asked_for (g, now),
                                     .is_behind = cv_watcher_is_behind (w, now),
                                     .silence = silence_before_stall (g, now) };

  return is_enabled (g) && cv_domains_must_wait (&basis);
}

bool
cv_evacuations_are_known (const cv_gateway_t *g)
{
  const cv_domains_basis_t basis
      = { .is_known = g->evacuation_watcher.is_synced,
          .asked = asked_for (g, cv_now ()) };

  return !is_enabled (g) || !cv_domains_must_wait (&basis);
}

/* ---- the list ---- */

/* Counts the targets of DOMAIN, and the requests of this gateway there.  */
static uint32_t
count_targets (const cv_gateway_t *g, const char *domain, uint32_t *in_flight)
{
  const cv_target_t *t;
  uint32_t n = 0;

  *in_flight = 0;
  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    if (strcmp (t->record.failure_domain, domain) == 0)
      {
        n++;
        *in_flight += t->in_flight;
      }
  return n;
}

/* The name of an object may be of any length.  */
static cv_slice_t
name_start (const char *name)
{
  return (cv_slice_t){ name, strnlen (name, CV_NAME_MAX) };
}

static void
log_evacuation (const cv_gateway_t *g, cv_event_t event, const char *domain,
                const char *reason)
{
  uint32_t in_flight;
  uint32_t targets = count_targets (g, domain, &in_flight);
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "failure_domain", name_start (domain));
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "targets", targets);
  cv_line_number (&l, "in_flight", in_flight);
  cv_line_number (&l, "era", (int64_t)g->store_history.era.number);
  cv_line_end (&l);
}

static void
end_evacuation (cv_gateway_t *g, const char *domain, const char *reason)
{
  log_evacuation (g, CV_EV_GATEWAY_EVACUATION_ENDED, domain, reason);
  g->counts.evacuations_ended++;
  /* The targets may have been replaced or restarted meanwhile.  */
  cv_warmup_domain_returned (g, domain);
  /* The name may be that of the domain which is freed.  */
  (void)cv_domains_remove (&g->domains, domain);
}

static void
add_domain (cv_gateway_t *g, const cv_store_object_t *o)
{
  if (strlen (o->name) >= CV_NAME_MAX)
    {
      log_evacuation (g, CV_EV_GATEWAY_EVACUATION_INVALID, o->name,
                      "name is too long for a failure domain");
      return;
    }
  if (!cv_domains_add (&g->domains, o->name))
    return;
  g->counts.evacuations_begun++;
  log_evacuation (g, CV_EV_GATEWAY_EVACUATION_BEGUN, o->name, "listed");
  if (!json_object_is_type (o->spec, json_type_object))
    log_evacuation (g, CV_EV_GATEWAY_EVACUATION_INVALID, o->name,
                    "object cannot be read, its name takes effect");
}

void
cv_evacuations_apply (cv_gateway_t *g, const cv_store_object_t *o)
{
  if (!o->deleted)
    add_domain (g, o);
  else if (cv_domains_has (&g->domains, o->name))
    end_evacuation (g, o->name, "removed");
}

static void
end_missing (cv_gateway_t *g, cv_time_t now)
{
  const cv_evacuated_domain_t *e;

  while ((e = cv_domains_next_ended (&g->domains, now)) != NULL)
    end_evacuation (g, e->name, "no longer listed");
}

void
cv_evacuations_list_end (cv_gateway_t *g)
{
  cv_time_t now = cv_now ();

  cv_domains_list_end (
      &g->domains,
      cv_store_history_is_recent (&g->store_history, now, CV_COPY_DOUBT_PERIOD),
      now);
  end_missing (g, now);
}

void
cv_evacuations_encode (const cv_gateway_t *g, uint64_t revision, cv_buf_t *out)
{
  const cv_evacuated_domain_t *e;
  const char **names = cv_calloc (g->domains.count + 1, sizeof *names);
  size_t n = 0;

  for (e = TAILQ_FIRST (&g->domains.list); e != NULL; e = TAILQ_NEXT (e, entry))
    if (e->missing_until == 0)
      names[n++] = e->name;
  cv_platform_encode_list (out, revision, names, n);
  free (names);
}

/* Logs the domains in which no target is, once the targets are known.  */
static void
check_domains (cv_gateway_t *g)
{
  cv_evacuated_domain_t *e;

  if (!g->instance_watcher.is_synced)
    return;
  for (e = TAILQ_FIRST (&g->domains.list); e != NULL; e = TAILQ_NEXT (e, entry))
    {
      uint32_t in_flight;

      if (!e->is_checked && count_targets (g, e->name, &in_flight) == 0)
        log_evacuation (g, CV_EV_GATEWAY_EVACUATION_INVALID, e->name,
                        "no target is in this failure domain");
      e->is_checked = true;
    }
}

/* The settings no longer ask for evacuations.  */
static void
stop_following (cv_gateway_t *g)
{
  const cv_evacuated_domain_t *e;
  const cv_evacuated_domain_t *next;

  for (e = TAILQ_FIRST (&g->domains.list); e != NULL; e = next)
    {
      next = TAILQ_NEXT (e, entry);
      end_evacuation (g, e->name, "not followed any longer");
    }
  g->evacuations_asked_at = 0;
  if (g->evacuation_watcher.is_synced || g->evacuation_watcher.call.http.busy)
    {
      cv_watcher_finish (&g->evacuation_watcher);
      cv_watcher_init (&g->evacuation_watcher, g, CV_STORE_EVACUATIONS);
    }
}

void
cv_evacuations_tick (cv_gateway_t *g, cv_time_t now)
{
  if (!is_enabled (g))
    {
      stop_following (g);
      return;
    }
  if (g->evacuations_asked_at == 0)
    g->evacuations_asked_at = now;
  cv_watcher_tick (&g->evacuation_watcher, now);
  end_missing (g, now);
  check_domains (g);
}

cv_watcher_t *
cv_evacuations_watcher (cv_gateway_t *g)
{
  return is_enabled (g) ? &g->evacuation_watcher : NULL;
}

/* ---- requests ---- */

bool
cv_exchange_avoid_evacuated (cv_exchange_t *x, cv_target_t *t)
{
  if (cv_target_is_evacuated (t))
    {
      cv_exchange_release_reservation (x, t);
      cv_exchange_handle_failure (x, "target of the copy is evacuated", false);
      return true;
    }
  if (!cv_evacuations_must_wait (x->gateway, cv_now ()))
    return false;
  cv_permit_hold (x, t);
  return true;
}

/* Whether targets could take X but for their evacuation, and no other one is
   there.  */
static bool
are_all_evacuated (const cv_exchange_t *x)
{
  const cv_target_t *t;
  bool is_any_evacuated = false;

  if (x->gateway->domains.count == 0)
    return false;
  for (t = TAILQ_FIRST (&x->gateway->targets); t != NULL;
       t = TAILQ_NEXT (t, entry))
    {
      if (strcmp (t->record.service, x->service->name) != 0
          || cv_target_is_draining (t) || !cv_version_admits (x, t))
        continue;
      if (!cv_target_is_evacuated (t))
        return false;
      is_any_evacuated = true;
    }
  return is_any_evacuated;
}

bool
cv_exchange_refuse_evacuated (cv_exchange_t *x)
{
  if (!are_all_evacuated (x))
    return false;
  x->gateway->counts.evacuation_refusals++;
  cv_exchange_fail (x, "all targets are in evacuated failure domains", false);
  return true;
}
