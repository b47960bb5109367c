/* Follows one kind of object in the store: reads the list once, then waits
   for changes.  What is known stays in use while the store is away.  */

#include <string.h>

#include "gateway/state.h"

/* A call that waits for changes returns after this at the latest.  A store
   that fell silent is noticed by the end of the wait, and after its return a
   configuration has to be in force within about two seconds; shorter waits
   cost more calls.  */
#define WAIT_ROUTING_MS 1800
#define WAIT_INSTANCES_MS 2000
/* After a failure; the store may fall silent again.  */
#define WAIT_FAILED_MS 300
/* Changes of instances are gathered for so long: a large fleet has some ten a
   second, and each would be a call of each gateway.  Of engines that leave or
   are new, their observers tell sooner; of plain services that leave, nobody,
   and these serve on for 2 s at least.  */
#define GATHER_INSTANCES (1200 * CV_MS)
/* Engines come in groups; one call finds them all.  */
#define HURRY_AGAIN (300 * CV_MS)
/* Beyond its wait, a call without an answer is given up after this; a slow
   store takes some 300 ms.  */
#define CALL_TIMEOUT (600 * CV_MS)
/* Pause after a call that failed, doubled up to the longest.  */
#define PAUSE_FIRST (100 * CV_MS)
#define PAUSE_MAX (800 * CV_MS)
/* Removals seen this soon after the store's return may be lapsed entries.  */
#define DOUBT_FOR (2500 * CV_MS)

static void on_result (void *owner, const cv_http_result_t *r);

void
cv_follow_init (cv_follow_t *f, cv_gateway_t *g, cv_store_kind_t kind)
{
  memset (f, 0, sizeof *f);
  f->gateway = g;
  f->kind = kind;
  f->phase = CV_FOLLOW_LIST;
  cv_http_call_init (&f->call, g->base, &g->store, on_result, f);
}

void
cv_follow_finish (cv_follow_t *f)
{
  cv_http_call_finish (&f->call);
}

static const char *
kind_text (cv_store_kind_t kind)
{
  return kind == CV_STORE_ROUTING ? "configuration" : "instances";
}

static void
log_store (const cv_follow_t *f, cv_event_t event, const char *reason,
           cv_time_t away)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "kind", cv_slice (kind_text (f->kind)));
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "revision", (int64_t)f->at);
  cv_line_number (&l, "away_ms", away / CV_MS);
  cv_line_end (&l);
}

static void
call (cv_follow_t *f)
{
  bool watch = f->phase == CV_FOLLOW_WATCH;
  uint32_t wait_ms
      = f->kind == CV_STORE_ROUTING ? WAIT_ROUTING_MS : WAIT_INSTANCES_MS;
  cv_buf_t path;

  if (f->failures > 0)
    wait_ms = WAIT_FAILED_MS;
  cv_buf_init (&path);
  if (watch)
    cv_platform_watch_path (&path, f->kind, f->at, wait_ms);
  else
    cv_platform_list_path (&path, f->kind, f->after);
  cv_http_call_start (&f->call, "GET", cv_buf_text (&path),
                      (cv_slice_t){ NULL, 0 },
                      CALL_TIMEOUT + (watch ? wait_ms * CV_MS : 0));
  cv_buf_finish (&path);
}

/* The call failed: what is known stays, and the call is made again.  */
static void
fail (cv_follow_t *f, const char *reason)
{
  cv_time_t now = cv_now ();
  cv_time_t pause = PAUSE_FIRST << (f->failures < 3 ? f->failures : 3);

  f->failures++;
  /* A waiting call may be cut off; only a second failure tells of loss.  */
  if (!f->lost && f->failures > 1)
    {
      f->lost = true;
      f->lost_at = now;
      log_store (f, CV_EV_GATEWAY_STORE_LOST, reason, 0);
    }
  if (pause > PAUSE_MAX)
    pause = PAUSE_MAX;
  f->next_call
      = now + pause / 2
        + (cv_time_t)((double)pause / 2 * cv_rng_uniform (&f->gateway->rng));
}

static void
regained (cv_follow_t *f)
{
  cv_time_t now = cv_now ();

  f->failures = 0;
  f->confirmed_at = now;
  if (!f->lost)
    return;
  f->lost = false;
  f->regained_at = now;
  log_store (f, CV_EV_GATEWAY_STORE_REGAINED, "answers", now - f->lost_at);
}

/* Whether a removal may be an entry that lapsed while the store was away.  */
static bool
in_doubt (const cv_follow_t *f)
{
  return f->lost
         || (f->regained_at > 0 && cv_now () - f->regained_at < DOUBT_FOR);
}

static void
adopt_routing (cv_gateway_t *g, const cv_store_object_t *o)
{
  cv_error_t err = { 0 };
  cv_routing_t *r;
  cv_line_t l;

  if (o->deleted || !cv_platform_is_routing (o))
    return;
  /* A version in force never gives way to an older one.  */
  if (g->routing != NULL && o->revision <= g->routing->revision)
    return;
  r = cv_platform_decode_routing (o, &err);
  if (r == NULL)
    {
      cv_line_begin (&l, CV_EV_GATEWAY_ROUTING_INVALID);
      cv_line_text (&l, "reason", cv_slice (err.text));
      cv_line_number (&l, "revision", (int64_t)o->revision);
      cv_line_end (&l);
      return;
    }
  cv_routing_unref (g->routing);
  g->routing = r;
  cv_line_begin (&l, CV_EV_GATEWAY_ROUTING_ADOPTED);
  cv_line_number (&l, "version", (int64_t)r->version);
  cv_line_number (&l, "revision", (int64_t)r->revision);
  cv_line_number (&l, "routes", r->route_count);
  cv_line_number (&l, "keys", r->key_count);
  cv_line_end (&l);
}

static void
note_instance (cv_follow_t *f, const cv_store_object_t *o)
{
  cv_instance_record_t record;
  cv_error_t err = { 0 };
  cv_line_t l;

  if (o->deleted)
    {
      cv_targets_remove (f->gateway, o->name, in_doubt (f));
      return;
    }
  if (cv_platform_decode_instance (o, &record, &err))
    {
      cv_targets_note (f->gateway, &record);
      return;
    }
  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_INVALID);
  cv_line_text (&l, "reason", cv_slice (err.text));
  cv_line_end (&l);
}

static void
take_object (cv_follow_t *f, const cv_store_object_t *o)
{
  switch (f->kind)
    {
    case CV_STORE_ROUTING:
      adopt_routing (f->gateway, o);
      return;
    case CV_STORE_INSTANCES:
      note_instance (f, o);
      return;
    case CV_STORE_GATEWAYS:
      return; /* read by observers */
    }
}

/* The whole list was read, or a page of changes.  */
static void
page_taken (cv_follow_t *f, const cv_store_page_t *page)
{
  if (page->is_change)
    {
      f->at = page->at;
      return;
    }
  if (page->more)
    return;
  if (f->kind == CV_STORE_INSTANCES)
    cv_targets_list_end (f->gateway, in_doubt (f));
  f->is_synced = true;
  f->at = f->list_at;
  f->after[0] = '\0';
  f->phase = CV_FOLLOW_WATCH;
}

static bool
take_page (cv_follow_t *f, cv_slice_t body, cv_error_t *err)
{
  cv_store_page_t page;

  if (!cv_platform_decode_page (body, f->phase == CV_FOLLOW_WATCH, &page, err))
    return false;
  if (f->phase == CV_FOLLOW_LIST && f->after[0] == '\0')
    {
      /* Changes between two pages are read again from the first one's
         revision.  */
      f->list_at = page.at;
      if (f->kind == CV_STORE_INSTANCES)
        cv_targets_list_begin (f->gateway);
    }
  for (size_t i = 0; i < cv_platform_page_count (&page); i++)
    {
      cv_store_object_t o;

      if (!cv_platform_page_object (&page, i, &o))
        continue;
      take_object (f, &o);
      if (!page.is_change)
        (void)cv_copy (f->after, sizeof f->after, o.name);
    }
  page_taken (f, &page);
  cv_platform_page_finish (&page);
  return true;
}

static void
on_result (void *owner, const cv_http_result_t *r)
{
  cv_follow_t *f = owner;
  cv_error_t err = { 0 };

  switch (r->status)
    {
    case 0:
      fail (f, r->failure);
      return;
    case 200:
      if (!take_page (f, r->body, &err))
        {
          fail (f, err.text);
          return;
        }
      break;
    case 410:
      /* The changes since are no longer kept.  */
      f->phase = CV_FOLLOW_LIST;
      f->after[0] = '\0';
      break;
    default:
      fail (f, r->status == 429 ? "over its rate" : "refuses");
      return;
    }
  regained (f);
  cv_exchange_place_waiting (f->gateway);
  if (f->kind == CV_STORE_INSTANCES && f->phase == CV_FOLLOW_WATCH)
    f->next_call = cv_now () + GATHER_INSTANCES;
  else
    call (f);
}

void
cv_follow_tick (cv_follow_t *f, cv_time_t now)
{
  cv_http_call_tick (&f->call, now);
  if (!f->call.busy && now >= f->next_call)
    call (f);
}

void
cv_follow_hurry (cv_follow_t *f, cv_time_t now)
{
  bool gathers = f->is_synced && f->failures == 0 && !f->call.busy;

  if (!gathers || now - f->hurried_at < HURRY_AGAIN)
    return;
  f->hurried_at = now;
  call (f);
}
