/* The software versions of targets, and which streams may be sent to them.  */

#include <string.h>

#include "gateway/state.h"

/* The versions that serve are recorded at this interval.  */
#define UPDATE_INTERVAL (250 * CV_MS)
/* Most records that are sent when a service becomes mixed.  Gateways answer
   questions about the others as long as they run.  */
#define PUBLISHED_MAX 512

uint64_t
cv_target_version (const cv_target_t *t)
{
  const cv_instance_record_t *r = &t->record;
  uint64_t service = cv_hash (r->service, strlen (r->service), 0);
  uint64_t id = t->newer_started_ms != 0
                    ? cv_hash (&t->newer_started_ms, sizeof t->newer_started_ms,
                               service)
                    : cv_hash (r->software, strlen (r->software), service);

  return id != CV_VERSION_NONE ? id : 1;
}

bool
cv_version_admits (const cv_exchange_t *x, const cv_target_t *t)
{
  return x->version == CV_VERSION_NONE || x->version == cv_target_version (t);
}

bool
cv_version_is_served (const cv_gateway_t *g, const char *service,
                      uint64_t version)
{
  const cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  if (strcmp (t->record.service, service) == 0 && !cv_target_is_draining (t)
      && cv_target_version (t) == version)
    return true;
  return false;
}

bool
cv_version_was_seen (const cv_gateway_t *g, uint64_t version, cv_time_t now)
{
  const cv_service_state_t *s;

  TAILQ_FOREACH (s, &g->services, entry)
  if (cv_versions_has (&s->versions, version, now))
    return true;
  return false;
}

bool
cv_version_is_gone (const cv_exchange_t *x)
{
  return x->version != CV_VERSION_NONE
         && !cv_version_is_served (x->gateway, x->service->name, x->version);
}

/* Identifies the instance of T, whichever process it is.  */
static uint64_t
source_of (const cv_target_t *t)
{
  return cv_hash (t->record.id, strlen (t->record.id), 0);
}

void
cv_version_note_event (cv_exchange_t *x)
{
  cv_gateway_t *g = x->gateway;
  cv_time_t now = cv_now ();

  if (x->is_version_recorded)
    return;
  x->is_version_recorded = true;
  x->version = x->is_target_in_doubt ? CV_VERSION_UNCERTAIN
                                     : cv_target_version (x->target);
  if (x->stream_key == 0)
    return;
  cv_origins_add (&g->origins, x->stream_key, x->version, source_of (x->target),
                  now);
  /* Whether the target has started again is not known yet.  */
  if (cv_watcher_is_behind (&g->instance_watcher, now))
    return;
  cv_resume_keep (g, x->stream_key, x->version, x->service->name);
  if (cv_versions_are_mixed (&x->service_state->versions, now))
    cv_resume_publish (g, x->stream_key, x->version);
}

/* Streams of a target that started again.  */
typedef struct
{
  const cv_target_t *target;
  int64_t count;
} doubt_t;

/* Tells those that were told of the stream KEY.  */
static void
publish_doubt (void *owner, uint64_t key)
{
  doubt_t *doubt = owner;
  const cv_target_t *t = doubt->target;

  doubt->count++;
  cv_resume_keep (t->gateway, key, CV_VERSION_UNCERTAIN, t->record.service);
  cv_resume_publish (t->gateway, key, CV_VERSION_UNCERTAIN);
}

void
cv_version_note_restart (cv_target_t *t)
{
  cv_time_t now = cv_now ();
  doubt_t doubt = { .target = t };
  cv_exchange_t *x;
  cv_line_t l;

  cv_origins_doubt (&t->gateway->origins, source_of (t), now, publish_doubt,
                    &doubt);
  TAILQ_FOREACH (x, &t->gateway->exchanges, entry)
  if (x->target == t && now - x->sent_at < CV_RESTART_LAG)
    {
      x->is_target_in_doubt = true;
      if (x->is_version_recorded)
        x->version = CV_VERSION_UNCERTAIN;
    }
  if (doubt.count == 0)
    return;
  cv_line_begin (&l, CV_EV_GATEWAY_STREAMS_IN_DOUBT);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_number (&l, "started_ms", (int64_t)t->record.started_ms);
  cv_line_number (&l, "streams", doubt.count);
  cv_line_end (&l);
}

/* Sends the newest records to others, as this gateway may be killed.  */
static void
publish_all (const cv_gateway_t *g, cv_time_t now)
{
  const cv_origin_t *r;

  for (uint32_t i = 0; i < PUBLISHED_MAX
                       && (r = cv_origins_newest (&g->origins, i, now)) != NULL;
       i++)
    cv_resume_publish (g, r->key, r->version);
}

/* Whether T is listed or has requests.  Others are kept as they pause.  */
static bool
is_present (const cv_target_t *t)
{
  return t->presence != CV_TARGET_REMOVED || t->in_flight > 0;
}

void
cv_versions_update (cv_gateway_t *g, cv_time_t now)
{
  bool is_changed = false;
  cv_service_state_t *s;
  const cv_target_t *t;

  g->versions_updated_at = now;
  TAILQ_FOREACH (s, &g->services, entry)
  {
    cv_versions_begin_count (&s->versions);
    TAILQ_FOREACH (t, &g->targets, entry)
    if (is_present (t) && strcmp (t->record.service, s->name) == 0
        && t->newer_started_ms == 0
        && cv_versions_see (&s->versions, cv_target_version (t),
                            cv_target_is_draining (t), now))
      is_changed = true;
  }
  if (is_changed)
    publish_all (g, now);
}

void
cv_versions_tick (cv_gateway_t *g, cv_time_t now)
{
  if (now - g->versions_updated_at >= UPDATE_INTERVAL)
    cv_versions_update (g, now);
}
