/* Cold targets: this gateway's share of the requests that they take, and how
   long they stay cold.  */

#include <math.h>
#include <string.h>

#include "gateway/state.h"

/* In the log, rates are in these parts of a request a second.  */
#define LOG_UNIT 1e3
/* The list of gateways changes every 2 s at most.  */
#define PLACE_MAX_AGE (100 * CV_MS)

/* ---- what is known of the gateways and of the targets ---- */

void
cv_warmup_heard_gateways (cv_gateway_t *g, uint32_t count, cv_time_t now)
{
  if (count > 0)
    cv_warmup_fleet_heard (&g->warmup_fleet, count,
                           g->settings.warmup_overshoot, now);
}

/* Gateways in the store's list, with this one: its entry may be missing.  */
static uint32_t
count_listed (const cv_gateway_t *g)
{
  const cv_roster_t *roster = &g->evidence.roster;

  return roster->count + !cv_roster_has (roster, &g->loads_address);
}

void
cv_warmup_tick (cv_gateway_t *g, cv_time_t now)
{
  if (g->evidence.roster.count > 0)
    cv_warmup_heard_gateways (g, count_listed (g), now);
}

static cv_warmup_place_t
find_place (const cv_target_t *t, cv_time_t now)
{
  const cv_gateway_t *g = t->gateway;
  const cv_roster_t *roster = &g->evidence.roster;
  uint64_t key = cv_hash (t->record.id, strlen (t->record.id), 0);
  uint64_t own = cv_gateway_rank (&g->loads_address, key);
  uint32_t ahead = 0;

  for (uint32_t i = 0; i < roster->count; i++)
    ahead += cv_gateway_rank (&roster->gateways[i], key) > own;
  return cv_warmup_place (ahead, count_listed (g),
                          cv_warmup_fleet_count (&g->warmup_fleet, now));
}

static const cv_warmup_place_t *
place_for (cv_target_t *t, cv_time_t now)
{
  if (t->warmup_place_at == 0 || now - t->warmup_place_at > PLACE_MAX_AGE)
    {
      t->warmup_place = find_place (t, now);
      t->warmup_place_at = now;
    }
  return &t->warmup_place;
}

void
cv_warmup_note_start (cv_target_t *t)
{
  t->warmup.started_at = cv_now ();
}

void
cv_warmup_note_added (cv_target_t *t)
{
  int64_t age_s = cv_wall_s () - (int64_t)(t->record.started_ms / 1000);

  /* The first list has targets that started at any time.  Their clocks may
     differ from this one's.  */
  if (t->gateway->instance_watcher.is_synced && !cv_target_was_known (t))
    cv_warmup_note_start (t);
  else if (age_s >= 0 && age_s * CV_SECOND < cv_now ())
    t->warmup.started_at = cv_now () - age_s * CV_SECOND;
}

void
cv_warmup_note_successor (cv_target_t *t, const cv_warmup_t *former)
{
  cv_time_t started_at = t->warmup.started_at;

  t->warmup = *former;
  t->warmup.started_at = started_at;
  t->warmup.stated_at = 0;
  t->warmup.stated_until = 0;
}

void
cv_warmup_note_entry (cv_target_t *t, const cv_instance_record_t *r,
                      bool is_change)
{
  /* A list that is read again repeats what was stated long ago.  */
  if (!is_change && t->warmup.stated_at != 0
      && r->warmup_ms == t->record.warmup_ms)
    return;
  cv_warmup_state (&t->warmup, r->warmup_ms * CV_MS, cv_now ());
  if (is_change)
    t->warmup.returned_at = 0;
}

void
cv_warmup_domain_returned (cv_gateway_t *g, const char *domain)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  if (strcmp (t->record.failure_domain, domain) == 0)
    t->warmup.returned_at = cv_now ();
}

/* ---- shares ---- */

static void
log_phase (cv_target_t *t, const cv_warmup_limit_t *limit, bool cold,
           cv_time_t now)
{
  const cv_gateway_settings_t *s = &t->gateway->settings;
  const cv_warmup_place_t *place = place_for (t, now);
  cv_line_t l;

  t->is_logged_cold = cold;
  cv_line_begin (&l,
                 cold ? CV_EV_GATEWAY_TARGET_COLD : CV_EV_GATEWAY_TARGET_WARM);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_number (&l, "limit_milli", llround (limit->per_s * LOG_UNIT));
  cv_line_number (
      &l, "bound_milli",
      llround ((limit->per_s * s->warmup_overshoot + s->warmup_slack)
               * LOG_UNIT));
  cv_line_number (&l, "left_ms",
                  cold ? (cv_warmup_end (&t->warmup, limit) - now) / CV_MS : 0);
  cv_line_number (&l, "gateway_count", place->gateways);
  cv_line_number (&l, "place", place->place);
  cv_line_number (&l, "sends", (int64_t)t->sends_cold);
  cv_line_end (&l);
  if (!cold)
    t->sends_cold = 0;
}

static bool
is_cold (const cv_target_t *t, const cv_warmup_limit_t *limit, cv_time_t now)
{
  return limit->per_s > 0 && now < cv_warmup_end (&t->warmup, limit);
}

cv_time_t
cv_warmup_takes_at (const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  const cv_warmup_limit_t *limit = &x->service->warmup;
  bool cold = is_cold (t, limit, now);

  if (cold != t->is_logged_cold)
    log_phase (t, limit, cold, now);
  return cold ? cv_warmup_opens_at (&t->warmup, limit, place_for (t, now), now)
              : now;
}

double
cv_warmup_share (const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  const cv_warmup_limit_t *limit = &x->service->warmup;

  return is_cold (t, limit, now) ? cv_warmup_quota (
             cv_warmup_rate (&t->warmup, limit, now), place_for (t, now))
                                 : 0;
}

bool
cv_warmup_admits (const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  return x->service->warmup.per_s <= 0 || cv_warmup_takes_at (x, t, now) <= now;
}

bool
cv_warmup_is_closed (const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  return x->target == NULL ? !cv_warmup_admits (x, t, now)
                           : is_cold (t, &x->service->warmup, now);
}

bool
cv_exchange_avoid_cold (cv_exchange_t *x, cv_target_t *t)
{
  if (x->from_copy || cv_warmup_admits (x, t, cv_now ()))
    return false;
  x->gateway->counts.warmup_waits++;
  cv_exchange_release_reservation (x, t);
  cv_exchange_place (x);
  return true;
}

void
cv_warmup_note_sent (const cv_exchange_t *x, cv_target_t *t)
{
  const cv_warmup_limit_t *limit = &x->service->warmup;

  if (limit->per_s <= 0)
    return;
  cv_warmup_record (&t->warmup, x->sent_at);
  if (!is_cold (t, limit, x->sent_at))
    return;
  t->sends_cold++;
  x->gateway->counts.sent_to_cold++;
}

void
cv_warmup_log_refusal (const cv_exchange_t *x, const cv_target_t *t,
                       cv_time_t wait)
{
  cv_line_t l;

  x->gateway->counts.warmup_refusals++;
  cv_line_begin (&l, CV_EV_GATEWAY_WARMUP_REACHED);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_number (&l, "gateway_count", t->warmup_place.gateways);
  cv_line_number (&l, "place", t->warmup_place.place);
  cv_line_number (&l, "wait_us", wait);
  cv_line_end (&l);
}

void
cv_warmup_log_malformed (const cv_routing_t *r)
{
  cv_line_t l;

  for (uint32_t i = 0; i < r->service_count; i++)
    if (r->services[i].has_malformed_warmup)
      {
        cv_line_begin (&l, CV_EV_GATEWAY_WARMUP_INVALID);
        cv_line_text (&l, "service", cv_slice (r->services[i].name));
        cv_line_number (&l, "version", (int64_t)r->version);
        cv_line_end (&l);
      }
}
