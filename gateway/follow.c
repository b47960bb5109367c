/* Watches one kind of store object: reads the list, then polls for changes or
   hears of them from other gateways, and reads the list again when the store no
   longer keeps them.  The last known state stays in use while the store is
   unreachable.  */

#include <string.h>

#include "gateway/state.h"

/* Long-poll time after a failure, since the store may fail again.  */
#define POLL_AFTER_FAILURE_MS 300
/* Changes of instances are read in batches: a large fleet has about ten a
   second, and each would cost a call.  */
#define INSTANCES_BATCH_PERIOD (200 * CV_MS)
/* Shortest time between two immediate calls: engines start in groups, and one
   call returns the whole group.  */
#define ASK_NOW_INTERVAL (300 * CV_MS)
/* Without an answer for this time after a stall, as the store is away, what was
   known before it is used.  */
#define BEHIND_MAX CV_SECOND
/* Gateways that have all learnt of the same change ask within this time.  */
#define ASK_NOW_SPREAD (50 * CV_MS)
/* Time without a byte of the answer, beyond the call's long-poll time; a slow
   store takes about 300 ms.  */
#define STORE_CALL_TIMEOUT (600 * CV_MS)
/* A smaller delay of an answer is not worth telling.  */
#define LATE_MIN (50 * CV_MS)
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
  cv_reader_init (&w->reader, cv_pages_rank (w, &g->loads_address), cv_now ());
}

void
cv_watcher_finish (cv_watcher_t *w)
{
  cv_replica_call_finish (&w->call);
}

static const char *
kind_text (cv_store_kind_t kind)
{
  switch (kind)
    {
    case CV_STORE_ROUTING:
      return "configuration";
    case CV_STORE_INSTANCES:
      return "instances";
    case CV_STORE_EVACUATIONS:
      return "domains";
    case CV_STORE_GATEWAYS:
    case CV_STORE_SUSPECTS:
      break; /* not watched */
    }
  return "";
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

static cv_time_t
first_byte_timeout (const cv_watcher_t *w, bool watch)
{
  return watch && w->failures == 0 && !w->reader.is_reader
             ? CV_READER_FIRST_TIMEOUT
             : STORE_CALL_TIMEOUT;
}

static void
start_call (cv_watcher_t *w)
{
  bool watch = w->phase == CV_WATCHER_WATCH;
  uint32_t poll_ms = cv_reader_wait_ms (&w->reader);
  cv_replica_request_t request
      = { .method = "GET", .continues = watch || w->list_cursor[0] != '\0' };
  cv_buf_t path;

  if (w->failures > 0)
    poll_ms = POLL_AFTER_FAILURE_MS;
  w->call_revision = w->revision;
  w->called_at = cv_now ();
  w->call_wait = watch ? poll_ms * CV_MS : 0;
  cv_buf_init (&path);
  if (watch)
    cv_platform_watch_path (&path, w->kind, w->revision, poll_ms);
  else
    cv_platform_list_path (&path, w->kind, w->list_cursor);
  request.path = cv_buf_text (&path);
  request.timeout = first_byte_timeout (w, watch) + w->call_wait;
  request.progress_timeout = STORE_CALL_TIMEOUT;
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

/* Schedules a retry of a failed call, which had an answer if IS_ANSWERED.  */
static void
handle_failure (cv_watcher_t *w, const char *reason, bool is_answered)
{
  cv_time_t now = cv_now ();
  cv_time_t backoff = BACKOFF_FIRST << (w->failures < 3 ? w->failures : 3);

  w->failures++;
  cv_reader_failed (&w->reader);
  cv_pages_ask (w);
  /* A long poll may be cut off, so one failure is no outage.  */
  if (!w->is_unreachable && w->failures > 1)
    {
      w->is_unreachable = true;
      w->unreachable_since = now;
      log_store (w, CV_EV_GATEWAY_STORE_LOST, reason, 0);
    }
  if (backoff > BACKOFF_MAX)
    backoff = BACKOFF_MAX;
  if (w->failures == 1 && !is_answered)
    backoff = CV_READER_LOST_BACKOFF;
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
  cv_reader_answered (
      &w->reader,
      cv_roster_has (&w->gateway->evidence.roster, &w->gateway->loads_address),
      now);
  if (!w->is_unreachable)
    return;
  w->is_unreachable = false;
  w->reachable_since = now;
  /* The reason means: the store responds.  */
  log_store (w, CV_EV_GATEWAY_STORE_REGAINED, "answers",
             now - w->unreachable_since);
}

bool
cv_watcher_may_have_expired (const cv_watcher_t *w)
{
  /* What another gateway read is of its calls to the store.  */
  if (w->is_applying_heard)
    return w->has_heard_expired;
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
  cv_step_t step;
  cv_routing_t *r;
  cv_line_t l;

  if (o->deleted || !cv_platform_is_active_routing (o))
    return;
  step = cv_step_begin (g, CV_JOB_CONFIGURATION);
  r = cv_platform_decode_routing (o, &err);
  (void)cv_step_end (&step);
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
  cv_warmup_log_malformed (r);
  cv_regions_log_unknown (g, r);
}

static void
update_instance (cv_watcher_t *w, const cv_store_object_t *o, bool is_change)
{
  cv_instance_record_t record;
  cv_error_t err = { 0 };
  cv_line_t l;

  if (o->deleted)
    {
      cv_targets_remove (w->gateway, o->name, cv_watcher_may_have_expired (w));
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
    case CV_STORE_EVACUATIONS:
      cv_evacuations_apply (w->gateway, o);
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
      w->page_revision = page->revision;
      /* Later changes may have been heard of during the call.  */
      if (page->revision > w->revision)
        w->revision = page->revision;
      return;
    }
  if (page->has_more)
    return;
  if (w->kind == CV_STORE_INSTANCES)
    cv_targets_list_end (w->gateway, cv_watcher_may_have_expired (w)
                                         || was_restored_lately (w));
  if (w->kind == CV_STORE_EVACUATIONS)
    cv_evacuations_list_end (w->gateway);
  w->is_synced = true;
  w->revision = w->list_revision;
  w->list_cursor[0] = '\0';
  w->phase = CV_WATCHER_WATCH;
}

/* Number of the first changes in BODY that are included in REVISION.  They are
   in the store's order; a removal bears no revision of its own, so that one
   behind the last such change counts as new.  */
static uint32_t
count_included (cv_slice_t body, uint64_t revision)
{
  cv_store_page_t page;
  cv_store_object_t o;
  uint32_t included = 0;

  if (!cv_platform_decode_page (body, true, &page, NULL))
    return 0;
  page.skips_specs = true;
  for (uint32_t i = 1; cv_platform_page_next (&page, &o); i++)
    {
      if (o.deleted)
        continue;
      if (o.revision > revision)
        break;
      included = i;
    }
  cv_platform_page_finish (&page);
  return included;
}

/* What is heard of W's kind are whole lists.  */
static bool
hears_lists (const cv_watcher_t *w)
{
  return w->kind == CV_STORE_EVACUATIONS;
}

static bool
apply_objects (cv_watcher_t *w, cv_slice_t body, cv_error_t *err)
{
  cv_store_page_t page;
  cv_store_object_t o;
  uint32_t skipped;

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
      if (w->kind == CV_STORE_EVACUATIONS)
        cv_domains_list_begin (&w->gateway->domains);
    }
  /* An older state must not follow a newer one that was heard of.  A list that
     was heard may have a domain again whose removal BODY tells.  */
  skipped = page.is_change ? count_included (body, w->revision) : 0;
  if (page.is_change && hears_lists (w) && page.revision <= w->revision)
    skipped = UINT32_MAX;
  w->has_changes = false;
  while (cv_platform_page_next (&page, &o))
    {
      w->has_changes = true;
      if (skipped > 0)
        {
          skipped--;
          continue;
        }
      apply_object (w, &o, page.is_change);
      if (!page.is_change)
        cv_platform_page_cursor (&o, w->list_cursor);
    }
  finish_page (w, &page);
  cv_platform_page_finish (&page);
  return true;
}

static bool
apply_page (cv_watcher_t *w, cv_slice_t body, cv_error_t *err)
{
  cv_step_t step = cv_step_begin (w->gateway, CV_JOB_PAGE);
  bool is_page = apply_objects (w, body, err);

  (void)cv_step_end (&step);
  return is_page;
}

bool
cv_watcher_can_hear (const cv_watcher_t *w)
{
  /* A call for the list may have been lost on the way.  */
  return w->phase == CV_WATCHER_WATCH || (hears_lists (w) && w->failures > 0);
}

/* The list that W hears of replaces what it knows, or what it is reading.  */
static void
begin_heard_list (cv_watcher_t *w)
{
  if (w->phase == CV_WATCHER_LIST)
    cv_replica_call_cancel (&w->call);
  restart_list (w);
}

bool
cv_watcher_apply_heard (cv_watcher_t *w, const cv_msg_page_t *m,
                        cv_error_t *err)
{
  cv_store_page_t page;
  bool is_page
      = cv_platform_decode_page (m->body, !hears_lists (w), &page, err);

  if (!is_page)
    return false;
  cv_platform_page_finish (&page);
  if (page.revision != m->to || (hears_lists (w) && page.has_more))
    return cv_fail (err, CV_ERR_INVALID, "page: body is of another revision");
  if (hears_lists (w))
    begin_heard_list (w);
  w->is_applying_heard = true;
  w->has_heard_expired = m->may_have_expired;
  is_page = apply_page (w, m->body, err);
  w->is_applying_heard = false;
  cv_exchange_place_waiting (w->gateway);
  return is_page;
}

static void
log_reader (const cv_watcher_t *w)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_READER);
  cv_line_text (&l, "kind", cv_slice (kind_text (w->kind)));
  cv_line_number (&l, "revision", (int64_t)w->revision);
  cv_line_end (&l);
}

/* An answer of the store was applied; WAS_READER: before it.  */
static void
go_on (cv_watcher_t *w, bool was_reader)
{
  bool is_batching = w->kind == CV_STORE_INSTANCES && w->has_changes;

  if (w->reader.is_reader && !was_reader)
    log_reader (w);
  w->next_call = is_batching ? cv_now () + INSTANCES_BATCH_PERIOD : 0;
  if (w->phase == CV_WATCHER_LIST
      || (!is_batching && cv_reader_next_call (&w->reader) == 0))
    start_call (w);
}

/* Notes by how much the answer to W's call took longer than answers do: the
   store may have given it so long ago.  */
static void
note_lateness (cv_watcher_t *w, cv_time_t now)
{
  cv_time_t delay = now - w->called_at - w->call_wait;

  if (delay < 0)
    delay = 0;
  w->late = delay > w->usual_delay + LATE_MIN ? delay - w->usual_delay : 0;
  if (delay < w->usual_delay)
    w->usual_delay = delay;
  else
    w->usual_delay += (delay - w->usual_delay) / 4;
}

static void
on_result (void *owner, const cv_http_result_t *r, bool is_outdated)
{
  cv_watcher_t *w = owner;
  bool is_watch = w->phase == CV_WATCHER_WATCH;
  bool was_reader = w->reader.is_reader;
  cv_error_t err = { 0 };

  if (is_outdated)
    {
      if (is_watch)
        cv_pages_send_era (w);
      restart_list (w);
      handle_failure (w, "answer of another era", true);
      if (w->failures == 1)
        w->next_call = 0;
      return;
    }
  switch (r->status)
    {
    case 0:
      /* Changes that exceed the limit together fit into the pages of a list. */
      if (r->is_too_long)
        restart_list (w);
      handle_failure (w, r->failure, r->is_too_long);
      return;
    case 200:
      if (!apply_page (w, r->body, &err))
        {
          handle_failure (w, err.text, true);
          return;
        }
      break;
    case 410:
      /* The store no longer keeps the changes since this revision.  */
      restart_list (w);
      break;
    default:
      /* "refuses" means any other status.  */
      handle_failure (w, r->status == 429 ? "rate limit exceeded" : "refuses",
                      true);
      return;
    }
  handle_success (w);
  note_lateness (w, cv_now ());
  if (w->phase == CV_WATCHER_WATCH)
    w->known_as_of = w->called_at;
  if (is_watch && w->phase == CV_WATCHER_WATCH && w->reader.is_reader)
    cv_pages_send (w, r->body);
  cv_exchange_place_waiting (w->gateway);
  go_on (w, was_reader);
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

/* The process was stalled: an answer that waits for changes may have been sent
   long ago, and so may those of other gateways.  */
static void
ask_after_stall (cv_watcher_t *w, cv_time_t now)
{
  cv_reader_stalled (&w->reader, now);
  if (w->phase != CV_WATCHER_WATCH)
    return;
  cv_replica_call_cancel (&w->call);
  w->next_call = 0;
}

static cv_time_t
next_call_at (const cv_watcher_t *w)
{
  cv_time_t planned
      = w->phase == CV_WATCHER_LIST ? 0 : cv_reader_next_call (&w->reader);

  return planned > w->next_call ? planned : w->next_call;
}

void
cv_watcher_tick (cv_watcher_t *w, cv_time_t now)
{
  cv_replica_call_tick (&w->call, now);
  if (w->history != w->gateway->store_history.number)
    leave_history (w);
  if (w->gateway->stall_ended_at == now)
    ask_after_stall (w, now);
  if (!w->call.http.busy && now >= next_call_at (w))
    start_call (w);
}

void
cv_watcher_poll_now (cv_watcher_t *w, cv_time_t now)
{
  bool is_batching = w->is_synced && w->failures == 0 && !w->call.http.busy
                     && w->reader.is_reader;

  if (!is_batching || now - w->asked_now_at < ASK_NOW_INTERVAL)
    return;
  w->asked_now_at = now;
  start_call (w);
}

bool
cv_watcher_is_behind (const cv_watcher_t *w, cv_time_t now)
{
  const cv_gateway_t *g = w->gateway;

  if (now - g->last_tick_at > CV_STALL_MAX)
    return true;
  return w->confirmed_at < g->stall_ended_at
         && now - g->stall_ended_at < BEHIND_MAX;
}

void
cv_watcher_ask_now (cv_watcher_t *w, cv_time_t now)
{
  cv_time_t earliest = w->asked_now_at + ASK_NOW_INTERVAL;

  w->reader.known_at = 0;
  if (now < w->asked_now_at)
    return; /* such a call is planned */
  w->asked_now_at = (now > earliest ? now : earliest)
                    + (cv_time_t)((double)ASK_NOW_SPREAD
                                  * cv_rng_uniform (&w->gateway->rng));
  w->next_call = w->asked_now_at;
}
