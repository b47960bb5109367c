/* The targets that the platform lists, and idle connections to them.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* Idle connections kept to one target; more are opened under load only.  */
#define IDLE_MAX 8
/* A connection is not used again this close to the end of its idle time,
   which a request on its way could cross.  */
#define IDLE_MARGIN (300 * CV_MS)
/* A request that may not be repeated uses a connection only if it was used
   this lately, since targets may drop an idle one unnoticed.  */
#define FRESH_FOR (500 * CV_MS)
/* The entry of an instance that is gone lapses before.  */
#define DISPLACED_FOR (5 * CV_SECOND)
/* An observer that said nothing for so long may be gone: it speaks at least
   every 0.4 s.  */
#define OBSERVER_SILENT (1 * CV_SECOND)

static void on_idle_event (void *owner, const cv_http_link_event_t *event);

cv_target_t *
cv_target_find (cv_gateway_t *g, const char *id)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
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
  free (t);
}

static void
take_idle (cv_target_t *t, cv_http_link_t *l)
{
  TAILQ_REMOVE (&t->idle, l, entry);
  t->idle_count--;
}

static void
close_idle (cv_target_t *t, cv_http_link_t *l)
{
  take_idle (t, l);
  cv_http_link_close (l);
}

static void
drop_idle (cv_target_t *t)
{
  cv_http_link_t *l;

  while ((l = TAILQ_FIRST (&t->idle)) != NULL)
    close_idle (t, l);
}

static void
log_target (cv_event_t event, const cv_target_t *t, const char *why)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_text (&l, "reason", cv_slice (why));
  cv_line_number (&l, "in_flight", t->in_flight);
  cv_line_end (&l);
}

static void
forget (cv_target_t *t, const char *why)
{
  log_target (CV_EV_GATEWAY_TARGET_LEAVING, t, why);
  t->presence = CV_TARGET_REMOVED;
  drop_idle (t);
}

static void
drop (cv_target_t *t)
{
  drop_idle (t);
  TAILQ_REMOVE (&t->gateway->targets, t, entry);
  cv_target_unref (t);
}

void
cv_target_displaced (cv_target_t *t)
{
  cv_time_t now = cv_now ();

  if (now < t->displaced_until)
    return;
  t->displaced_until = now + DISPLACED_FOR;
  log_target (CV_EV_GATEWAY_TARGET_AVOIDED, t, "another has its address");
}

static bool
has_address (const cv_target_t *a, const cv_target_t *b)
{
  return a->record.address.sin_addr.s_addr == b->record.address.sin_addr.s_addr
         && a->record.address.sin_port == b->record.address.sin_port;
}

/* After a loss of power, entries of before stay on the list for seconds beside
   those of the same machines' new instances.  */
static void
displace_older (cv_target_t *t)
{
  cv_target_t *other;

  for (other = TAILQ_FIRST (&t->gateway->targets); other != NULL;
       other = TAILQ_NEXT (other, entry))
    {
      if (other == t || !has_address (t, other))
        continue;
      if (other->record.started_ms < t->record.started_ms)
        cv_target_displaced (other);
      else if (other->record.started_ms > t->record.started_ms)
        cv_target_displaced (t);
    }
}

static cv_target_t *
add (cv_gateway_t *g, const cv_instance_record_t *r)
{
  cv_target_t *t = cv_calloc (1, sizeof *t);

  t->gateway = g;
  t->refs = 1;
  t->record = *r;
  t->presence = CV_TARGET_LISTED;
  t->listed_at = cv_now ();
  TAILQ_INIT (&t->idle);
  cv_health_init (&t->health, CV_HEALTH_KEEP_OWN);
  TAILQ_INSERT_TAIL (&g->targets, t, entry);
  log_target (CV_EV_GATEWAY_TARGET_ADDED, t, "listed");
  displace_older (t);
  return t;
}

void
cv_targets_note (cv_gateway_t *g, const cv_instance_record_t *r)
{
  cv_target_t *t = cv_target_find (g, r->id);

  /* Another start under the same id knows nothing of before.  */
  if (t != NULL && t->record.started_ms != r->started_ms
      && t->record.started_ms != 0)
    {
      forget (t, "started again");
      drop (t);
      t = NULL;
    }
  if (t == NULL)
    t = add (g, r);
  t->seen = true;
  t->record = *r;
  if (!r->leaving)
    t->presence = CV_TARGET_LISTED;
  else if (t->presence != CV_TARGET_DEPARTING)
    {
      t->presence = CV_TARGET_DEPARTING;
      log_target (CV_EV_GATEWAY_TARGET_LEAVING, t, "leaving");
    }
}

/* Entries lapse while the store is away; a live target is back on the list
   soon after the store is.  */
static void
remove_target (cv_target_t *t, bool in_doubt)
{
  if (t->presence == CV_TARGET_REMOVED)
    return;
  if (!in_doubt || t->presence == CV_TARGET_DEPARTING)
    {
      forget (t, "removed from the list");
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
cv_targets_remove (cv_gateway_t *g, const char *id, bool in_doubt)
{
  cv_target_t *t = cv_target_find (g, id);

  if (t != NULL)
    remove_target (t, in_doubt);
}

void
cv_targets_list_begin (cv_gateway_t *g)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  t->seen = false;
}

void
cv_targets_list_end (cv_gateway_t *g, bool in_doubt)
{
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      if (!t->seen)
        remove_target (t, in_doubt);
    }
}

static void
close_stale (cv_target_t *t, cv_time_t now)
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
      close_stale (t, now);
      if (t->presence == CV_TARGET_MISSING && now >= t->missing_until)
        forget (t, "still missing after the store's return");
      if (t->presence == CV_TARGET_REMOVED && t->refs == 1 && t->move == NULL)
        drop (t);
    }
}

void
cv_target_failed (cv_target_t *t)
{
  if (cv_health_failure (&t->health, cv_now ()))
    log_target (CV_EV_GATEWAY_TARGET_AVOIDED, t, "too many failures");
}

bool
cv_target_usable (const cv_target_t *t, cv_time_t now)
{
  return (t->presence == CV_TARGET_LISTED || t->presence == CV_TARGET_MISSING)
         && now >= t->displaced_until && !t->load.leaving && !t->load.failing
         && cv_health_usable (&t->health, now) && now >= t->full_until;
}

bool
cv_target_is_observed (const cv_target_t *t, cv_time_t now)
{
  return t->load_at > 0 && now - t->load_at <= OBSERVER_SILENT;
}

bool
cv_target_is_departing (const cv_target_t *t)
{
  return t->presence == CV_TARGET_DEPARTING || t->presence == CV_TARGET_REMOVED
         || t->load.leaving;
}

cv_time_t
cv_target_time_left (const cv_target_t *t, cv_time_t now)
{
  cv_time_t end = t->load_at + t->load.leaves_ms * CV_MS;

  if (t->load_at == 0 || t->load.leaves_ms == 0)
    return 0;
  return end > now ? end - now : 1;
}

cv_http_link_t *
cv_target_take_link (cv_target_t *t, bool fresh, cv_error_t *err)
{
  cv_http_link_t *l;
  cv_time_t now = cv_now ();

  close_stale (t, now);
  l = TAILQ_FIRST (&t->idle);
  if (l != NULL && (!fresh || now - l->idle_since < FRESH_FOR))
    {
      take_idle (t, l);
      return l;
    }
  t->gateway->counts.connections++;
  return cv_http_link_open (t->gateway->base, &t->record.address, err);
}

void
cv_target_return_link (cv_target_t *t, cv_http_link_t *l)
{
  if (!cv_http_link_reusable (l) || t->idle_count >= IDLE_MAX
      || t->presence == CV_TARGET_REMOVED)
    {
      cv_http_link_close (l);
      return;
    }
  /* The one used last goes first, so that the others can age and close.  */
  TAILQ_INSERT_HEAD (&t->idle, l, entry);
  t->idle_count++;
  cv_http_link_rest (l, on_idle_event, t);
}

/* An idle connection ended, or bytes came that belong to no request.  */
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
      drop (t);
    }
}
