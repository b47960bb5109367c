/* Connected entries: heartbeats, load reports, detection of freezes.  */

#include <string.h>

#include "side/core.h"

static cv_time_t report_interval (const cv_peer_t *p);
static void drop_old_connections (cv_side_core_t *c, cv_time_t now,
                                  uint32_t peer, const cv_msg_hello_t *hello);

bool
cv_peers_is_connected (const cv_side_core_t *c, uint32_t peer)
{
  return peer < c->peer_count && c->peers[peer].used;
}

void
cv_peers_record_activity (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_peer_t *p;

  if (peer >= c->peer_count)
    {
      uint32_t count = peer + 1;

      c->peers = cv_realloc (c->peers, count * sizeof *c->peers);
      memset (c->peers + c->peer_count, 0,
              (count - c->peer_count) * sizeof *c->peers);
      c->peer_count = count;
    }
  p = &c->peers[peer];
  if (!p->used)
    *p = (cv_peer_t){ .used = true };
  p->last_received = now;
}

void
cv_peers_detect_freeze (cv_side_core_t *c, cv_time_t now)
{
  uint32_t i;

  if (now - c->last_tick < CV_PEER_TIMEOUT)
    return;
  cv_log (CV_EV_SIDE_WOKE, "no tick for %lld ms",
          (long long)((now - c->last_tick) / CV_MS));
  c->counts.freezes++;
  c->last_tick = now;
  c->freeze_end = now;
  /* The entries may have sent messages while this process did not read.  */
  for (i = 0; i < c->peer_count; i++)
    c->peers[i].last_received = now;
}

bool
cv_peers_has_recent_hello (const cv_side_core_t *c, uint32_t peer)
{
  return c->freeze_end == 0
         || (cv_peers_is_connected (c, peer)
             && c->peers[peer].last_hello >= c->freeze_end + CV_FREEZE_SETTLE);
}

void
cv_peers_hello (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                const cv_msg_hello_t *hello)
{
  cv_peer_t *p = &c->peers[peer];
  bool first = p->instance[0] == '\0';

  if (!first && p->incarnation != hello->incarnation)
    {
      /* The entry was restarted under the same identity.  */
      cv_streams_peer_lost (c, now, peer);
      first = true;
    }
  if (first)
    drop_old_connections (c, now, peer, hello);
  (void)cv_copy (p->instance, sizeof p->instance, hello->instance);
  p->incarnation = hello->incarnation;
  p->versions = hello->versions;
  p->hello_ms = hello->report_ms;
  p->last_hello = now;
  cv_docs_receive_versions (c, now, peer, &hello->versions);
  cv_peers_report (c, now, peer);
}

void
cv_side_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_side_out_t out = { .type = CV_OUT_PEER_LOST };

  if (!cv_peers_is_connected (c, peer))
    return;
  c->peers[peer].used = false;
  cv_streams_peer_lost (c, now, peer);
  out.u.lost_peer = peer;
  c->emit (c->arg, &out);
}

void
cv_peers_tick (cv_side_core_t *c, cv_time_t now)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    {
      const cv_peer_t *p = &c->peers[i];

      if (!p->used)
        continue;
      if (now - p->last_received >= cv_peer_timeout (p->hello_ms))
        cv_side_peer_lost (c, now, i);
      else if (now - p->last_report >= report_interval (p))
        cv_peers_report (c, now, i);
    }
}

void
cv_peers_report (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_msg_t msg = { .type = CV_MSG_REPORT };
  cv_msg_report_t *r = &msg.u.report;

  memcpy (r->target, c->settings.target, sizeof r->target);
  memcpy (r->pool, c->settings.pool, sizeof r->pool);
  memcpy (r->failure_domain, c->settings.failure_domain,
          sizeof r->failure_domain);
  r->incarnation = c->settings.incarnation;
  r->generation = c->ticket_generation;
  r->state = cv_side_state (c);
  cv_side_load (c, now, &r->load);
  cv_docs_get_versions (c, now, &r->versions);
  if (cv_peers_is_connected (c, peer))
    c->peers[peer].last_report = now;
  cv_side_send (c, peer, &msg);
}

void
cv_peers_report_all (cv_side_core_t *c, cv_time_t now)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    if (c->peers[i].used)
      cv_peers_report (c, now, i);
}

/* Each HELLO is answered by a REPORT, so periodic reports are needed only when
   HELLOs are late.  */
static cv_time_t
report_interval (const cv_peer_t *p)
{
  cv_time_t overdue = p->hello_ms * CV_MS * 3 / 2;

  return overdue > CV_REPORT_INTERVAL ? overdue : CV_REPORT_INTERVAL;
}

/* Drops older connections of an entry that has reconnected.  Messages sent to
   them may be lost, so the streams wait for an ATTACH.  */
static void
drop_old_connections (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_hello_t *hello)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    if (i != peer && c->peers[i].used
        && strcmp (c->peers[i].instance, hello->instance) == 0)
      cv_side_peer_lost (c, now, i);
}
