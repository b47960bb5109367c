/* Target table of an entry: load reports, heartbeats and the detection of lost
   targets.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

#define PULL_INTERVAL (500 * CV_MS)
/* Bandwidth of an entry's heartbeats once all targets have reported, and the
   size of one HELLO with its REPORT, both including TCP/IP and ZeroMQ
   headers (see bench/slopes).  */
#define HEARTBEAT_BYTES_PER_S 5000
#define HEARTBEAT_PAIR_BYTES 245

static void report_to_router (cv_entry_core_t *c, cv_time_t now,
                              uint32_t target);
static void drop_requests (cv_entry_core_t *c, cv_time_t now, uint32_t target);
static void mark_lost (cv_entry_core_t *c, cv_time_t now, uint32_t target);
static void send_waiting_for_target (cv_entry_core_t *c, cv_time_t now,
                                     const char *name);
static uint32_t hello_interval_ms (const cv_entry_core_t *c);
static void send_hello (cv_entry_core_t *c, cv_time_t now, uint32_t target);
static const char *state_name (const cv_target_t *t);

uint32_t
cv_entry_target_add (cv_entry_core_t *c, cv_time_t now, const char *name,
                     const char *pool)
{
  uint32_t slot = 0;
  cv_target_t *t;

  while (slot < c->target_count && c->targets[slot].used)
    slot++;
  if (slot == c->target_count)
    {
      uint32_t count = c->target_count == 0 ? 16 : c->target_count * 2;

      c->targets = cv_realloc (c->targets, count * sizeof *c->targets);
      memset (c->targets + c->target_count, 0,
              (count - c->target_count) * sizeof *c->targets);
      c->target_count = count;
    }
  t = &c->targets[slot];
  memset (t, 0, sizeof *t);
  t->used = true;
  c->targets_used++;
  t->state = CV_TARGET_STATE_DOWN;
  t->last_report = now;
  (void)cv_copy (t->name, sizeof t->name, name);
  (void)cv_copy (t->pool, sizeof t->pool, pool);
  t->pool_hash = cv_entry_name_hash (pool);
  send_hello (c, now, slot);
  return slot;
}

void
cv_entry_target_set_leaving (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                             bool leaving)
{
  cv_target_t *t = &c->targets[target];

  if (t->listed_leaving == leaving)
    return;
  t->listed_leaving = leaving;
  if (t->reported && !t->lost && !t->stale)
    report_to_router (c, now, target);
}

void
cv_entry_target_remove (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  drop_requests (c, now, target);
  cv_router_remove (c->router, target);
  c->targets[target].used = false;
  c->targets_used--;
}

uint32_t
cv_entry_target_requests (const cv_entry_core_t *c, uint32_t target)
{
  return c->targets[target].requests;
}

bool
cv_entry_target_is_lost (const cv_entry_core_t *c, uint32_t target)
{
  return c->targets[target].lost;
}

void
cv_entry_foreach_target (const cv_entry_core_t *c, cv_time_t now,
                         void (*fn) (const cv_target_row_t *row, void *arg),
                         void *arg)
{
  for (uint32_t i = 0; i < c->target_count; i++)
    {
      const cv_target_t *t = &c->targets[i];
      cv_target_row_t row = { 0 };

      if (!t->used)
        continue;
      (void)cv_copy (row.name, sizeof row.name, t->name);
      (void)cv_copy (row.pool, sizeof row.pool, t->pool);
      (void)cv_copy (row.failure_domain, sizeof row.failure_domain,
                     t->failure_domain);
      row.state = state_name (t);
      row.incarnation = t->incarnation;
      row.versions = t->versions;
      row.load = t->load;
      row.requests = t->requests;
      row.silent_ms = (uint32_t)((now - t->last_report) / CV_MS);
      fn (&row, arg);
    }
}

void
cv_entry_targets_report (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                         const cv_msg_report_t *report)
{
  cv_target_t *t = &c->targets[target];

  /* The address may have been reassigned to another target.  */
  if (strcmp (report->target, t->name) != 0)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  if (t->reported && t->incarnation != report->incarnation)
    {
      drop_requests (c, now, target);
      cv_router_remove (c->router, target);
    }
  t->reported = true;
  t->lost = false;
  t->stale = false;
  t->last_report = now;
  t->incarnation = report->incarnation;
  t->ticket_generation = report->generation;
  t->state = report->state;
  t->load = report->load;
  t->versions = report->versions;
  (void)cv_copy (t->failure_domain, sizeof t->failure_domain,
                 report->failure_domain);
  report_to_router (c, now, target);
  if (c->awaiting > 0)
    send_waiting_for_target (c, now, t->name);
  if (c->config == NULL
      || report->versions.version[CV_DOC_CONFIG] > c->config->version)
    cv_entry_targets_pull_doc (c, now, target, CV_DOC_CONFIG);
  cv_entry_config_peer_version (c, now, &report->versions);
  if (cv_entry_suspects_is_behind (c, target))
    cv_entry_targets_pull_doc (c, now, target, CV_DOC_SUSPECTS);
}

void
cv_entry_targets_pull_doc (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           cv_doc_t doc)
{
  cv_target_t *t = &c->targets[target];
  cv_msg_t msg = { .type = CV_MSG_DOC_PULL };

  if (t->last_pull[doc] != 0 && now - t->last_pull[doc] < PULL_INTERVAL)
    return;
  t->last_pull[doc] = now;
  msg.u.doc_pull.doc = doc;
  if (doc == CV_DOC_CONFIG && c->config != NULL)
    msg.u.doc_pull.have = c->config->version;
  cv_entry_send (c, target, &msg);
}

void
cv_entry_targets_doc (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                      const cv_msg_doc_t *doc)
{
  cv_config_t *config;
  cv_error_t err;

  (void)target;
  if (doc->doc == CV_DOC_SUSPECTS)
    cv_entry_suspects_doc (c, now, doc);
  if (doc->doc != CV_DOC_CONFIG)
    return;
  if (c->config != NULL && doc->version <= c->config->version)
    return;
  config = cv_entry_config_parse_doc (c, doc, &err);
  if (config == NULL)
    {
      /* A patch for another base version is ignored; the next pull states the
         current version.  */
      if (err.code != CV_ERR_CONFLICT)
        cv_log (CV_EV_ENTRY_DOC_INVALID,
                "configuration from a side, version %llu: %s",
                (unsigned long long)doc->version, err.text);
      return;
    }
  (void)cv_entry_adopt_config (c, now, config);
  cv_config_unref (config);
}

void
cv_entry_targets_doc_pull (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           const cv_msg_doc_pull_t *m)
{
  (void)now;
  if (m->doc == CV_DOC_SUSPECTS)
    cv_entry_suspects_send (c, target);
  else if (c->config != NULL)
    cv_entry_config_send (c, target, m->have);
}

void
cv_entry_targets_mark_stale (cv_entry_core_t *c, cv_time_t now)
{
  for (uint32_t i = 0; i < c->target_count; i++)
    {
      cv_target_t *t = &c->targets[i];

      if (!t->used)
        continue;
      t->stale = true;
      t->last_report = now;
      cv_router_remove (c->router, i);
      /* Closing the connection drops stale frames queued in its socket.  */
      c->options.out.reset (c->options.out.arg, i);
      send_hello (c, now, i);
    }
}

void
cv_entry_targets_tick (cv_entry_core_t *c, cv_time_t now)
{
  cv_time_t timeout = cv_peer_timeout (hello_interval_ms (c));

  for (uint32_t i = 0; i < c->target_count; i++)
    {
      cv_target_t *t = &c->targets[i];

      if (!t->used)
        continue;
      if (!t->lost && now - t->last_report >= timeout)
        mark_lost (c, now, i);
      else if (!t->reported || t->stale)
        send_hello (c, now, i);
    }
  if (now - c->last_hello >= hello_interval_ms (c) * CV_MS)
    cv_entry_targets_hello (c, now);
}

void
cv_entry_targets_hello (cv_entry_core_t *c, cv_time_t now)
{
  c->last_hello = now;
  for (uint32_t i = 0; i < c->target_count; i++)
    if (c->targets[i].used)
      send_hello (c, now, i);
}

uint32_t
cv_entry_targets_find (const cv_entry_core_t *c, const char *name,
                       uint64_t incarnation)
{
  for (uint32_t i = 0; i < c->target_count; i++)
    {
      const cv_target_t *t = &c->targets[i];

      if (t->used && t->reported && !t->lost && !t->stale
          && t->incarnation == incarnation && strcmp (t->name, name) == 0)
        return i;
    }
  return CV_NO_TARGET;
}

bool
cv_entry_targets_is_replaced (const cv_entry_core_t *c, const char *name,
                              uint64_t incarnation)
{
  bool replaced = false;

  for (uint32_t i = 0; i < c->target_count; i++)
    {
      const cv_target_t *t = &c->targets[i];

      if (!t->used || !t->reported || t->lost || t->stale
          || strcmp (t->name, name) != 0)
        continue;
      if (t->incarnation == incarnation)
        return false;
      replaced = true;
    }
  return replaced;
}

void
cv_entry_target_connected (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  cv_request_t *r;

  if (!c->targets[target].used)
    return;
  send_hello (c, now, target);
  TAILQ_FOREACH (r, &c->requests, all)
  if (r->target == target && r->kind == REQUEST_STREAM)
    {
      r->u.stream.last_attach = 0;
      cv_entry_streams_reattach (c, now, r);
    }
  else if (r->target == target)
    cv_entry_calls_resend (c, now, r);
}

/* ---- local ---- */

/* Sends the requests that waited for a report of target NAME.  */
static void
send_waiting_for_target (cv_entry_core_t *c, cv_time_t now, const char *name)
{
  cv_request_t *r;
  cv_request_t *next;

  c->awaiting = 0;
  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase != PHASE_WAIT_TARGET)
        continue;
      c->awaiting++;
      if (strcmp (r->awaited_target, name) != 0)
        continue;
      if (r->kind == REQUEST_STREAM)
        cv_entry_streams_attach_resumed (c, now, r);
      else
        cv_entry_calls_send (c, now, r, CV_FAIL_UNKNOWN);
    }
}

static void
report_to_router (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  const cv_target_t *t = &c->targets[target];
  cv_target_state_t state = t->state;

  if (t->listed_leaving && state == CV_TARGET_STATE_LIVE)
    state = CV_TARGET_STATE_DRAINING;
  cv_router_report (c->router, now, target, t->pool_hash, state, &t->load);
}

/* Retries or fails all requests at TARGET, which was lost, removed or replaced
   by another incarnation.  */
static void
drop_requests (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  cv_request_t *r;
  cv_request_t *next;

  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->target != target)
        continue;
      r->target_failed = true;
      if (r->kind == REQUEST_STREAM)
        cv_entry_streams_attempt_lost (c, now, r);
      else
        cv_entry_calls_attempt_lost (c, now, r);
    }
}

static void
mark_lost (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  cv_target_t *t = &c->targets[target];
  cv_load_t none = { 0 };

  t->lost = true;
  cv_entry_metrics_count (c->metrics, CV_COUNT_TARGETS_LOST);
  cv_log (CV_EV_ENTRY_TARGET_LOST, "target %s pool %s", t->name, t->pool);
  cv_router_report (c->router, now, target, t->pool_hash, CV_TARGET_STATE_DOWN,
                    &none);
  c->options.out.reset (c->options.out.arg, target);
  drop_requests (c, now, target);
}

static void
send_hello (cv_entry_core_t *c, cv_time_t now, uint32_t target)
{
  cv_msg_t msg = { .type = CV_MSG_HELLO };
  cv_msg_hello_t *h = &msg.u.hello;

  (void)cv_copy (h->instance, sizeof h->instance, c->options.instance);
  h->incarnation = c->options.incarnation;
  h->report_ms = hello_interval_ms (c);
  h->versions.version[CV_DOC_CONFIG]
      = c->config == NULL ? 0 : c->config->version;
  h->versions.version[CV_DOC_SUSPECTS] = c->suspects.version;
  h->versions.age_ms = cv_entry_config_age_ms (c, now);
  cv_entry_send (c, target, &msg);
}

/* Interval of HELLO messages, each answered by a REPORT.  It grows with the
   number of targets, so that heartbeats stay within HEARTBEAT_BYTES_PER_S.
   Targets that have not reported get a HELLO in every tick instead.  */
static uint32_t
hello_interval_ms (const cv_entry_core_t *c)
{
  uint32_t ms
      = c->targets_used * (HEARTBEAT_PAIR_BYTES * 1000 / HEARTBEAT_BYTES_PER_S);

  return ms > CV_REPORT_INTERVAL / CV_MS
             ? ms
             : (uint32_t)(CV_REPORT_INTERVAL / CV_MS);
}

static const char *
state_name (const cv_target_t *t)
{
  if (t->lost)
    return "lost";
  if (!t->reported || t->stale)
    return "connecting";
  if (t->state == CV_TARGET_STATE_DOWN)
    return "down";
  if (t->state == CV_TARGET_STATE_DRAINING || t->listed_leaving)
    return "draining";
  return "live";
}
