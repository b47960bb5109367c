/* Watches one kind of store object: reads the list, then polls for changes, and
   reads the list again when the store no longer keeps them.  The last known
   state stays in use while the store is unreachable.  */

#include <string.h>

#include "gateway/state.h"

/* Long-poll time of a call that waits for changes.  A store that stopped
   responding is noticed only STORE_CALL_TIMEOUT after the poll's end, and a
   configuration should be in force about 2 s after the store is reachable
   again.  Shorter polls cost more calls.  */
#define POLL_ROUTING_MS 1800
#define POLL_INSTANCES_MS 2000
/* Long-poll time after a failure, since the store may fail again.  */
#define POLL_AFTER_FAILURE_MS 300
/* Changes of instances are read in batches: a large fleet has about ten a
   second, and each would cost a call by each gateway.  Load reports announce
   new and draining engines sooner.  Draining plain services are not announced
   otherwise, but serve for at least 2 s more.  */
#define INSTANCES_BATCH_PERIOD (1200 * CV_MS)
/* Shortest time between two immediate polls: engines start in groups, and one
   call returns the whole group.  */
#define POLL_NOW_INTERVAL (300 * CV_MS)
/* Timeout of a call beyond its long-poll time; a slow store takes about
   300 ms.  */
#define STORE_CALL_TIMEOUT (600 * CV_MS)
/* Backoff after a failed call, doubled up to the maximum.  */
#define BACKOFF_FIRST (100 * CV_MS)
#define BACKOFF_MAX (800 * CV_MS)
/* A removal within this time after an outage of the store may be an entry that
   expired during the outage.  */
#define EXPIRY_WINDOW (2500 * CV_MS)

static void on_result (void *owner, const cv_http_result_t *r,
                       bool is_outdated);

void
cv_watcher_init (cv_watcher_t *w, cv_gateway_t *g, cv_store_kind_t kind)
{
  memset (w, 0, sizeof *w);
  w->gateway = g;
  w->kind = kind;
  w->phase = CV_WATCHER_LIST;
  cv_replica_call_init (&w->call, g->base, &g->store, &g->store_history,
                        on_result, w);
}

void
cv_watcher_finish (cv_watcher_t *w)
{
  cv_replica_call_finish (&w->call);
}

static const char *
kind_text (cv_store_kind_t kind)
{
  return kind == CV_STORE_ROUTING ? "configuration" : "instances";
}

static void
log_store (const cv_watcher_t *w, cv_event_t event, const char *reason,
           cv_time_t outage)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "kind", cv_slice (kind_text (w->kind)));
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "revision", (int64_t)w->revision);
  cv_line_number (&l, "away_ms", outage / CV_MS);
  cv_line_end (&l);
}

static void
start_call (cv_watcher_t *w)
{
  bool watch = w->phase == CV_WATCHER_WATCH;
  uint32_t poll_ms
      = w->kind == CV_STORE_ROUTING ? POLL_ROUTING_MS : POLL_INSTANCES_MS;
  cv_replica_request_t request
      = { .method = "GET", .continues = watch || w->list_cursor[0] != '\0' };
  cv_buf_t path;

  if (w->failures > 0)
    poll_ms = POLL_AFTER_FAILURE_MS;
  cv_buf_init (&path);
  if (watch)
    cv_platform_watch_path (&path, w->kind, w->revision, poll_ms);
  else
    cv_platform_list_path (&path, w->kind, w->list_cursor);
  request.path = cv_buf_text (&path);
  request.timeout = STORE_CALL_TIMEOUT + (watch ? poll_ms * CV_MS : 0);
  cv_replica_call_start (&w->call, &request);
  cv_buf_finish (&path);
}

/* Reads the list from its first page on.  */
static void
restart_list (cv_watcher_t *w)
{
  w->phase = CV_WATCHER_LIST;
  w->list_cursor[0] = '\0';
}

/* Schedules a retry of a failed call.  */
static void
handle_failure (cv_watcher_t *w, const char *reason)
{
  cv_time_t now = cv_now ();
  cv_time_t backoff = BACKOFF_FIRST << (w->failures < 3 ? w->failures : 3);

  w->failures++;
  /* A long poll may be cut off, so one failure is no outage.  */
  if (!w->is_unreachable && w->failures > 1)
    {
      w->is_unreachable = true;
      w->unreachable_since = now;
      log_store (w, CV_EV_GATEWAY_STORE_LOST, reason, 0);
    }
  if (backoff > BACKOFF_MAX)
    backoff = BACKOFF_MAX;
  w->next_call
      = now + backoff / 2
        + (cv_time_t)((double)backoff / 2 * cv_rng_uniform (&w->gateway->rng));
}

static void
handle_success (cv_watcher_t *w)
{
  cv_time_t now = cv_now ();

  w->failures = 0;
  w->confirmed_at = now;
  if (!w->is_unreachable)
    return;
  w->is_unreachable = false;
  w->reachable_since = now;
  /* The reason means: the store responds.  */
  log_store (w, CV_EV_GATEWAY_STORE_REGAINED, "answers",
             now - w->unreachable_since);
}

/* Whether a removal may be an entry that expired while the store was
   unreachable.  */
static bool
entry_may_have_expired (const cv_watcher_t *w)
{
  return w->is_unreachable
         || (w->reachable_since > 0
             && cv_now () - w->reachable_since < EXPIRY_WINDOW);
}

/* Whether an entry that a list lacks may have been registered since the copy
   that the store was restored from.  */
static bool
was_restored_lately (const cv_watcher_t *w)
{
  return cv_store_history_is_recent (&w->gateway->store_history, cv_now (),
                                     EXPIRY_WINDOW);
}

/* Logs that R does not replace the configuration in force, unless it is the one
   in force.  */
static void
log_ignored (const cv_gateway_t *g, const cv_routing_t *r)
{
  cv_line_t l;

  if (r->version == g->routing->version)
    return;
  cv_line_begin (&l, CV_EV_GATEWAY_ROUTING_IGNORED);
  cv_line_number (&l, "version", (int64_t)r->version);
  cv_line_number (&l, "revision", (int64_t)r->revision);
  cv_line_number (&l, "era", (int64_t)g->store_history.era.number);
  cv_line_number (&l, "in_force", (int64_t)g->routing->version);
  cv_line_number (&l, "in_force_revision", (int64_t)g->routing->revision);
  cv_line_end (&l);
}

static void
adopt_routing (cv_watcher_t *w, const cv_store_object_t *o)
{
  cv_gateway_t *g = w->gateway;
  cv_time_t unconfirmed = cv_now () - w->confirmed_at;
  cv_error_t err = { 0 };
  cv_routing_t *r;
  cv_line_t l;

  if (o->deleted || !cv_platform_is_active_routing (o))
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
  r->history = g->store_history.number;
  if (g->routing != NULL && !cv_routing_supersedes (r, g->routing))
    {
      log_ignored (g, r);
      cv_routing_unref (r);
      return;
    }
  if (g->routing != NULL)
    cv_hist_add (&g->adoption_delay, (double)unconfirmed / CV_MS);
  cv_routing_unref (g->routing);
  g->routing = r;
  cv_line_begin (&l, CV_EV_GATEWAY_ROUTING_ADOPTED);
  cv_line_number (&l, "version", (int64_t)r->version);
  cv_line_number (&l, "revision", (int64_t)r->revision);
  cv_line_number (&l, "routes", r->route_count);
  cv_line_number (&l, "keys", r->key_count);
  cv_line_number (&l, "era", (int64_t)g->store_history.era.number);
  /* The most that it was in force late: it was written since.  */
  cv_line_number (&l, "unconfirmed_us", w->confirmed_at > 0 ? unconfirmed : -1);
  cv_line_end (&l);
}

static void
update_instance (cv_watcher_t *w, const cv_store_object_t *o, bool is_change)
{
  cv_instance_record_t record;
  cv_error_t err = { 0 };
  cv_line_t l;

  if (o->deleted)
    {
      cv_targets_remove (w->gateway, o->name, entry_may_have_expired (w));
      return;
    }
  if (cv_platform_decode_instance (o, &record, &err))
    {
      cv_targets_update (w->gateway, &record, is_change);
      return;
    }
  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_INVALID);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "reason", cv_slice (err.text));
  cv_line_end (&l);
}

static void
apply_object (cv_watcher_t *w, const cv_store_object_t *o, bool is_change)
{
  switch (w->kind)
    {
    case CV_STORE_ROUTING:
      adopt_routing (w, o);
      return;
    case CV_STORE_INSTANCES:
      update_instance (w, o, is_change);
      return;
    case CV_STORE_GATEWAYS:
    case CV_STORE_SUSPECTS:
      return; /* not watched */
    }
}

/* Advances to the state after PAGE.  */
static void
finish_page (cv_watcher_t *w, const cv_store_page_t *page)
{
  if (page->is_change)
    {
      w->revision = page->revision;
      return;
    }
  if (page->has_more)
    return;
  if (w->kind == CV_STORE_INSTANCES)
    cv_targets_list_end (w->gateway,
                         entry_may_have_expired (w) || was_restored_lately (w));
  w->is_synced = true;
  w->revision = w->list_revision;
  w->list_cursor[0] = '\0';
  w->phase = CV_WATCHER_WATCH;
}

static bool
apply_page (cv_watcher_t *w, cv_slice_t body, cv_error_t *err)
{
  cv_store_page_t page;
  cv_store_object_t o;

  if (!cv_platform_decode_page (body, w->phase == CV_WATCHER_WATCH, &page, err))
    return false;
  if (w->phase == CV_WATCHER_LIST && w->list_cursor[0] == '\0')
    {
      /* Changes made between two pages are read later as changes since the
         revision of the first page.  */
      w->list_revision = page.revision;
      w->history = w->gateway->store_history.number;
      if (w->kind == CV_STORE_INSTANCES)
        cv_targets_list_begin (w->gateway);
    }
  while (cv_platform_page_next (&page, &o))
    {
      apply_object (w, &o, page.is_change);
      if (!page.is_change)
        cv_platform_page_cursor (&o, w->list_cursor);
    }
  finish_page (w, &page);
  cv_platform_page_finish (&page);
  return true;
}

static void
on_result (void *owner, const cv_http_result_t *r, bool is_outdated)
{
  cv_watcher_t *w = owner;
  cv_error_t err = { 0 };

  if (is_outdated)
    {
      restart_list (w);
      handle_failure (w, "answer of another era");
      if (w->failures == 1)
        w->next_call = 0;
      return;
    }
  switch (r->status)
    {
    case 0:
      handle_failure (w, r->failure);
      return;
    case 200:
      if (!apply_page (w, r->body, &err))
        {
          handle_failure (w, err.text);
          return;
        }
      break;
    case 410:
      /* The store no longer keeps the changes since this revision.  */
      restart_list (w);
      break;
    default:
      /* "refuses" means any other status.  */
      handle_failure (w, r->status == 429 ? "rate limit exceeded" : "refuses");
      return;
    }
  handle_success (w);
  cv_exchange_place_waiting (w->gateway);
  if (w->kind == CV_STORE_INSTANCES && w->phase == CV_WATCHER_WATCH)
    w->next_call = cv_now () + INSTANCES_BATCH_PERIOD;
  else
    start_call (w);
}

/* Another reader has learnt that the store was restored: what W waits for may
   never come.  */
static void
leave_history (cv_watcher_t *w)
{
  if (w->phase == CV_WATCHER_LIST && w->list_cursor[0] == '\0')
    return;
  cv_replica_call_cancel (&w->call);
  restart_list (w);
  w->next_call = 0;
}

void
cv_watcher_tick (cv_watcher_t *w, cv_time_t now)
{
  cv_replica_call_tick (&w->call, now);
  if (w->history != w->gateway->store_history.number)
    leave_history (w);
  if (!w->call.http.busy && now >= w->next_call)
    start_call (w);
}

void
cv_watcher_poll_now (cv_watcher_t *w, cv_time_t now)
{
  bool is_batching = w->is_synced && w->failures == 0 && !w->call.http.busy;

  if (!is_batching || now - w->polled_now_at < POLL_NOW_INTERVAL)
    return;
  w->polled_now_at = now;
  start_call (w);
}
