/* Entries that are connected to this side, and their heartbeats.  */

#include <string.h>

#include "side/core.h"

static cv_time_t report_interval (const cv_peer_t *p);
static void supersede (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                       const cv_msg_hello_t *hello);

bool
cv_peers_live (const cv_side_core_t *c, uint32_t peer)
{
  return peer < c->peer_count && c->peers[peer].used;
}

void
cv_peers_hear (cv_side_core_t *c, cv_time_t now, uint32_t peer)
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
  p->heard = now;
}

void
cv_peers_wake (cv_side_core_t *c, cv_time_t now)
{
  uint32_t i;

  if (now - c->ticked < CV_PEER_TIMEOUT)
    return;
  cv_log (CV_EV_SIDE_WOKE, "%lld ms", (long long)((now - c->ticked) / CV_MS));
  c->counts.freezes++;
  c->ticked = now;
  c->woke = now;
  for (i = 0; i < c->peer_count; i++)
    c->peers[i].heard = now; /* their silence was this process's own */
}

bool
cv_peers_fresh (const cv_side_core_t *c, uint32_t peer)
{
  return c->woke == 0
         || (cv_peers_live (c, peer)
             && c->peers[peer].greeted >= c->woke + CV_WAKE_SETTLE);
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
    supersede (c, now, peer, hello);
  (void)cv_copy (p->instance, sizeof p->instance, hello->instance);
  p->incarnation = hello->incarnation;
  p->versions = hello->versions;
  p->report_ms = hello->report_ms;
  p->greeted = now;
  cv_docs_heard (c, now, peer, &hello->versions);
  cv_peers_report (c, now, peer);
}

void
cv_side_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_side_out_t out = { .type = CV_OUT_FORGET_PEER };

  if (!cv_peers_live (c, peer))
    return;
  c->peers[peer].used = false;
  cv_streams_peer_lost (c, now, peer);
  out.u.forget_peer = peer;
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
      if (now - p->heard >= cv_peer_timeout (p->report_ms))
        cv_side_peer_lost (c, now, i);
      else if (now - p->reported >= report_interval (p))
        cv_peers_report (c, now, i);
    }
}

void
cv_peers_report (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_msg_t msg = { .type = CV_MSG_REPORT };
  cv_msg_report_t *r = &msg.u.report;

  memcpy (r->target, c->set.target, sizeof r->target);
  memcpy (r->pool, c->set.pool, sizeof r->pool);
  memcpy (r->failure_domain, c->set.failure_domain, sizeof r->failure_domain);
  r->incarnation = c->set.incarnation;
  r->generation = c->generation;
  r->state = cv_side_state (c);
  cv_side_load (c, now, &r->load);
  cv_docs_versions (c, now, &r->versions);
  if (cv_peers_live (c, peer))
    c->peers[peer].reported = now;
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

/* A HELLO is answered by a REPORT, so that reports without one are needed
   only when HELLOs fail to come.  */
static cv_time_t
report_interval (const cv_peer_t *p)
{
  cv_time_t late = p->report_ms * CV_MS * 3 / 2;

  return late > CV_REPORT_INTERVAL ? late : CV_REPORT_INTERVAL;
}

/* An entry that connected anew leaves its old connection behind; what was
   sent there may be lost, so its streams wait for an ATTACH.  */
static void
supersede (cv_side_core_t *c, cv_time_t now, uint32_t peer,
           const cv_msg_hello_t *hello)
{
  uint32_t i;

  for (i = 0; i < c->peer_count; i++)
    if (i != peer && c->peers[i].used
        && strcmp (c->peers[i].instance, hello->instance) == 0)
      cv_side_peer_lost (c, now, i);
}
