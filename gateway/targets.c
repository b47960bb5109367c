/* Table of the targets listed in the store, and their idle connections.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* Idle connections kept to one target; more are opened under load only.  */
#define IDLE_MAX 8
/* An idle connection is closed this long before the target would close it, so
   that no request is sent while the target closes.  */
#define IDLE_MARGIN (300 * CV_MS)
/* A request that must not be retried uses an idle connection only within this
   time, since targets may drop an idle connection unnoticed.  */
#define FRESH_MAX_AGE (500 * CV_MS)
/* The store entry of a stopped instance expires within this time.  */
#define DISPLACED_PERIOD (5 * CV_SECOND)
/* An observer sends a load report at least every 0.4 s.  After this time
   without one it may have stopped.  */
#define OBSERVER_TIMEOUT (1 * CV_SECOND)

static void on_idle_event (void *owner, const cv_http_link_event_t *event);

static struct cv_target_bucket_t *
bucket_of_id (cv_gateway_t *g, const char *id)
{
  return &g->targets_by_id[cv_hash (id, strlen (id), 0) % CV_TARGET_BUCKETS];
}

static struct cv_target_bucket_t *
bucket_of_address (cv_gateway_t *g, const struct sockaddr_in *address)
{
  return &g->targets_by_address[cv_gateway_rank (address, 0)
                                % CV_TARGET_BUCKETS];
}

cv_target_t *
cv_target_find (cv_gateway_t *g, const char *id)
{
  cv_target_t *t;

  LIST_FOREACH (t, bucket_of_id (g, id), by_id)
  if (strcmp (t->record.id, id) == 0)
    return t;
  return NULL;
}

cv_target_t *
cv_target_ref (cv_target_t *t)
{
  t->refs++;
  return t;
}

void
cv_target_unref (cv_target_t *t)
{
  if (--t->refs > 0)
    return;
  CV_INVARIANT (TAILQ_EMPTY (&t->idle));
  cv_suspect_request_finish (&t->recalled);
  free (t);
}

void
cv_target_hold (cv_target_t **holder, cv_target_t *t)
{
  cv_target_t *old = *holder;

  *holder = t != NULL ? cv_target_ref (t) : NULL;
  if (old != NULL)
    cv_target_unref (old);
}

static void
remove_idle (cv_target_t *t, cv_http_link_t *l)
{
  TAILQ_REMOVE (&t->idle, l, entry);
  t->idle_count--;
}

static void
close_idle (cv_target_t *t, cv_http_link_t *l)
{
  remove_idle (t, l);
  cv_http_link_close (l);
}

static void
close_all_idle (cv_target_t *t)
{
  cv_http_link_t *l;

  while ((l = TAILQ_FIRST (&t->idle)) != NULL)
    close_idle (t, l);
}

void
cv_target_log (cv_event_t event, const cv_target_t *t, const char *reason)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "started_ms", (int64_t)t->record.started_ms);
  cv_line_number (&l, "in_flight", t->in_flight);
  cv_line_end (&l);
}

static void
mark_removed (cv_target_t *t, const char *reason)
{
  cv_target_log (CV_EV_GATEWAY_TARGET_LEAVING, t, reason);
  cv_target_note_removed (t);
  t->presence = CV_TARGET_REMOVED;
  close_all_idle (t);
}

static void
delete_target (cv_target_t *t)
{
  cv_crash_check_cancel (t);
  close_all_idle (t);
  TAILQ_REMOVE (&t->gateway->targets, t, entry);
  LIST_REMOVE (t, by_id);
  LIST_REMOVE (t, by_address);
  cv_target_unref (t);
}

void
cv_target_mark_displaced (cv_target_t *t)
{
  cv_time_t now = cv_now ();

  if (now < t->displaced_until)
    return;
  t->displaced_until = now + DISPLACED_PERIOD;
  cv_target_log (CV_EV_GATEWAY_TARGET_AVOIDED, t,
                 "address now used by another instance");
}

static bool
has_same_address (const cv_target_t *a, const cv_target_t *b)
{
  return a->record.address.sin_addr.s_addr == b->record.address.sin_addr.s_addr
         && a->record.address.sin_port == b->record.address.sin_port;
}

/* Marks the older of two targets with the same address.  After a power failure
   the store lists the stopped instances for seconds beside the new instances of
   the same machines.  */
static void
displace_older (cv_target_t *t)
{
  cv_target_t *other;

  LIST_FOREACH (other, bucket_of_address (t->gateway, &t->record.address),
                by_address)
  {
    if (other == t || !has_same_address (t, other))
      continue;
    if (other->record.started_ms < t->record.started_ms)
      cv_target_mark_displaced (other);
    else if (other->record.started_ms > t->record.started_ms)
      cv_target_mark_displaced (t);
  }
}

static cv_target_t *
add_target (cv_gateway_t *g, const cv_instance_record_t *r)
{
  cv_target_t *t = cv_calloc (1, sizeof *t);

  t->gateway = g;
  t->refs = 1;
  t->record = *r;
  t->presence = CV_TARGET_LISTED;
  t->listed_at = cv_now ();
  TAILQ_INIT (&t->idle);
  cv_health_init (&t->health, CV_HEALTH_DECAY_GATEWAY);
  TAILQ_INSERT_TAIL (&g->targets, t, entry);
  LIST_INSERT_HEAD (bucket_of_id (g, r->id), t, by_id);
  LIST_INSERT_HEAD (bucket_of_address (g, &r->address), t, by_address);
  cv_warmup_note_added (t);
  cv_target_log (CV_EV_GATEWAY_TARGET_ADDED, t, "listed");
  displace_older (t);
  return t;
}

/* The instance of T has started again as R.  The new target has none of the
   state kept for T, but a pause that either process may have asked for.  */
static cv_target_t *
replace_target (cv_target_t *t, const cv_instance_record_t *r)
{
  cv_gateway_t *g = t->gateway;
  cv_pause_t pause = t->pause;
  cv_warmup_t warmup = t->warmup;
  cv_target_t *successor;

  if (t->newer_started_ms != r->started_ms
      && strcmp (t->record.software, r->software) != 0)
    cv_version_note_restart (t);
  mark_removed (t, "instance restarted");
  delete_target (t);
  successor = add_target (g, r);
  cv_warmup_note_successor (successor, &warmup);
  if (cv_pause_was_asked_within (&pause, CV_RESTART_LAG, cv_now ()))
    successor->pause = pause;
  return successor;
}

void
cv_targets_update (cv_gateway_t *g, const cv_instance_record_t *r,
                   bool is_change)
{
  cv_target_t *t;

  if (!cv_entry_counts (g, r))
    return;
  t = cv_target_find (g, r->id);
  if (t == NULL)
    t = add_target (g, r);
  else if (t->record.started_ms != r->started_ms && t->record.started_ms != 0)
    t = replace_target (t, r);
  t->in_current_list = true;
  cv_warmup_note_entry (t, r, is_change);
  LIST_REMOVE (t, by_address);
  t->record = *r;
  LIST_INSERT_HEAD (bucket_of_address (g, &r->address), t, by_address);
  /* The reason means: marked as draining in the store.  */
  if (r->draining)
    cv_target_note_leaving (t, "leaving");
  else
    cv_target_admit_entry (t, is_change);
  t->presence = t->is_leaving ? CV_TARGET_DRAINING : CV_TARGET_LISTED;
}

/* Entries expire while the store is unreachable.  A running target registers
   again soon after the store is reachable.  */
static void
remove_target (cv_target_t *t, bool may_have_expired)
{
  if (t->presence == CV_TARGET_REMOVED)
    return;
  if (!may_have_expired || t->presence == CV_TARGET_DRAINING)
    {
      mark_removed (t, "removed from the list");
      return;
    }
  if (t->presence == CV_TARGET_MISSING)
    return;
  t->presence = CV_TARGET_MISSING;
  t->missing_until
      = cv_now ()
        + (cv_time_t)(t->gateway->settings.lapse_s * (double)CV_SECOND);
}

void
cv_targets_remove (cv_gateway_t *g, const char *id, bool may_have_expired)
{
  cv_target_t *t = cv_target_find (g, id);

  if (t != NULL)
    remove_target (t, may_have_expired);
}

void
cv_targets_list_begin (cv_gateway_t *g)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  t->in_current_list = false;
}

void
cv_targets_list_end (cv_gateway_t *g, bool may_have_expired)
{
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      if (!t->in_current_list)
        remove_target (t, may_have_expired);
    }
}

static void
close_expired (cv_target_t *t, cv_time_t now)
{
  cv_http_link_t *l;
  cv_http_link_t *next;

  for (l = TAILQ_FIRST (&t->idle); l != NULL; l = next)
    {
      next = TAILQ_NEXT (l, entry);
      if (now - l->idle_since >= l->idle_limit - IDLE_MARGIN)
        close_idle (t, l);
    }
}

void
cv_targets_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      close_expired (t, now);
      if (cv_target_is_evacuated (t))
        close_all_idle (t);
      cv_target_tick_copied (t, now);
      if (t->presence == CV_TARGET_MISSING && now >= t->missing_until)
        mark_removed (t, "not listed again after the store became reachable");
      /* One that pauses may be listed again.  */
      if (t->presence == CV_TARGET_REMOVED && t->refs == 1
          && t->migration == NULL && !cv_pause_is_in_force (&t->pause, now))
        delete_target (t);
    }
}

void
cv_target_record_failure (cv_target_t *t)
{
  if (cv_health_failure (&t->health, cv_now ()))
    cv_target_log (CV_EV_GATEWAY_TARGET_AVOIDED, t, "too many failures");
}

bool
cv_target_is_available (const cv_target_t *t, cv_time_t now)
{
  return (t->presence == CV_TARGET_LISTED || t->presence == CV_TARGET_MISSING)
         && !t->is_leaving && now >= t->copied_until
         && now >= t->displaced_until && !t->load.draining && !t->load.failing
         && cv_health_is_usable (&t->health, now) && now >= t->full_until
         && !cv_target_is_evacuated (t)
         && !cv_evacuations_must_wait (t->gateway, now);
}

bool
cv_target_is_usable (const cv_target_t *t, cv_time_t now)
{
  return cv_target_is_available (t, now)
         && !cv_pause_is_in_force (&t->pause, now);
}

bool
cv_target_admits (const cv_exchange_t *x, const cv_target_t *t, cv_time_t now)
{
  return cv_version_admits (x, t) && cv_exchange_may_run_at (x, t)
         && (x->from_copy || cv_target_is_usable (t, now));
}

cv_time_t
cv_target_returns_at (const cv_target_t *t)
{
  const cv_time_t times[]
      = { t->copied_until, t->displaced_until, t->health.avoid_until,
          t->full_until, t->pause.until };
  cv_time_t latest = 0;

  if (cv_target_is_draining (t) || cv_target_is_evacuated (t))
    return INT64_MAX;
  for (size_t i = 0; i < sizeof times / sizeof *times; i++)
    if (times[i] > latest)
      latest = times[i];
  return latest;
}

bool
cv_target_is_observed (const cv_target_t *t, cv_time_t now)
{
  return t->load_received_at > 0
         && now - t->load_received_at <= OBSERVER_TIMEOUT;
}

bool
cv_target_is_draining (const cv_target_t *t)
{
  return t->presence == CV_TARGET_DRAINING || t->presence == CV_TARGET_REMOVED
         || t->is_leaving || t->load.draining;
}

cv_time_t
cv_target_time_left (const cv_target_t *t, cv_time_t now)
{
  cv_time_t end = t->load_received_at + t->load.leaves_ms * CV_MS;

  if (t->load_received_at == 0 || t->load.leaves_ms == 0)
    return 0;
  return end > now ? end - now : 1;
}

cv_http_link_t *
cv_target_acquire_link (cv_target_t *t, bool fresh)
{
  cv_http_link_t *l;
  cv_time_t now = cv_now ();

  close_expired (t, now);
  l = TAILQ_FIRST (&t->idle);
  if (l != NULL && (!fresh || now - l->idle_since < FRESH_MAX_AGE))
    {
      remove_idle (t, l);
      return l;
    }
  t->gateway->counts.connections++;
  return cv_http_link_open (t->gateway->base, &t->record.address);
}

void
cv_target_release_link (cv_target_t *t, cv_http_link_t *l)
{
  if (!cv_http_link_is_reusable (l) || t->idle_count >= IDLE_MAX
      || t->presence == CV_TARGET_REMOVED || cv_target_is_evacuated (t))
    {
      cv_http_link_close (l);
      return;
    }
  /* Most recently used first, so that surplus connections expire.  */
  TAILQ_INSERT_HEAD (&t->idle, l, entry);
  t->idle_count++;
  cv_http_link_set_idle (l, on_idle_event, t);
}

/* An idle connection was closed, or received bytes that belong to no request.
 */
static void
on_idle_event (void *owner, const cv_http_link_event_t *event)
{
  cv_target_t *t = owner;
  cv_http_link_t *l;
  cv_http_link_t *next;

  (void)event;
  for (l = TAILQ_FIRST (&t->idle); l != NULL; l = next)
    {
      next = TAILQ_NEXT (l, entry);
      if (l->failed)
        close_idle (t, l);
    }
}

void
cv_targets_finish (cv_gateway_t *g)
{
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      delete_target (t);
    }
}
