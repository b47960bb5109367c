/* Gateways tell each other what they have at engines that no observer reports,
   so that each can choose among them by their whole load.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* The sums are renewed after this time without a message, as old ones run
   out.  */
#define SUM_MAX_AGE (100 * CV_MS)

void
cv_shares_init (cv_shares_t *s)
{
  memset (s, 0, sizeof *s);
  TAILQ_INIT (&s->peers);
}

void
cv_shares_finish (cv_shares_t *s)
{
  cv_peer_share_t *p;

  while ((p = TAILQ_FIRST (&s->peers)) != NULL)
    {
      TAILQ_REMOVE (&s->peers, p, entry);
      free (p);
    }
}

/* The place in M for an engine with TOKENS; NULL when M is full of larger
   ones.  */
static cv_share_t *
place_for (cv_msg_share_t *m, uint64_t tokens)
{
  cv_share_t *least = &m->share[0];

  if (m->count < CV_SHARES_MAX)
    return &m->share[m->count++];
  for (uint32_t i = 1; i < m->count; i++)
    if (m->share[i].tokens < least->tokens)
      least = &m->share[i];
  return least->tokens < tokens ? least : NULL;
}

static void
collect_own (const cv_gateway_t *g, cv_msg_share_t *m, cv_time_t now)
{
  const cv_target_t *t;

  m->count = 0;
  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      uint64_t tokens = t->expected_tokens + t->incoming_tokens;
      cv_share_t *s;

      if (tokens == 0 || cv_target_is_observed (t, now))
        continue;
      s = place_for (m, tokens);
      if (s == NULL)
        continue;
      (void)cv_copy (s->target, sizeof s->target, t->record.id);
      s->tokens = tokens;
      s->prefill_tokens = t->prefill_tokens;
      s->requests = t->in_flight;
    }
}

static uint64_t
digest_of (const cv_msg_share_t *m)
{
  uint64_t digest = 0;

  for (uint32_t i = 0; i < m->count; i++)
    {
      const cv_share_t *s = &m->share[i];
      uint64_t figures[] = { s->tokens, s->prefill_tokens, s->requests };

      digest = cv_hash (s->target, strlen (s->target), digest);
      digest = cv_hash (figures, sizeof figures, digest);
    }
  return digest;
}

void
cv_shares_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_msg_t msg = { .type = CV_MSG_SHARE };
  cv_msg_share_t *m = &msg.u.share;

  collect_own (g, m, now);
  if (!cv_share_is_due (&g->shares.pace, digest_of (m), m->count > 0,
                        g->evidence.roster.count, now))
    return;
  m->sequence = ++g->shares.sequence;
  g->counts.shares_sent += cv_gateways_send (g, &msg);
}

static cv_peer_share_t *
find_peer (cv_shares_t *s, const struct sockaddr_in *address)
{
  cv_peer_share_t *p;

  TAILQ_FOREACH (p, &s->peers, entry)
  if (p->address.sin_addr.s_addr == address->sin_addr.s_addr
      && p->address.sin_port == address->sin_port)
    return p;
  return NULL;
}

void
cv_shares_handle (cv_gateway_t *g, const cv_msg_share_t *m,
                  const struct sockaddr_in *from)
{
  cv_shares_t *s = &g->shares;
  cv_time_t now = cv_now ();
  cv_peer_share_t *p = find_peer (s, from);

  if (p == NULL && !cv_roster_has (&g->evidence.roster, from))
    return;
  if (p == NULL)
    {
      p = cv_calloc (1, sizeof *p);
      p->address = *from;
      TAILQ_INSERT_TAIL (&s->peers, p, entry);
    }
  /* A gateway that has started again counts from 1.  */
  else if (m->sequence < p->told.sequence
           && now - p->heard_at < CV_SHARE_MAX_AGE)
    return;
  g->counts.shares_heard++;
  p->told = *m;
  p->heard_at = now;
  s->heard_at = now;
  s->summed_at = 0;
}

static void
add_share (cv_gateway_t *g, const cv_share_t *s)
{
  cv_target_t *t = cv_target_find (g, s->target);

  if (t == NULL)
    return;
  t->shared_tokens += s->tokens;
  t->shared_prefill_tokens += s->prefill_tokens;
  t->shared_requests += s->requests;
}

bool
cv_shares_sum (cv_gateway_t *g, cv_time_t now)
{
  cv_shares_t *s = &g->shares;
  cv_peer_share_t *p;
  cv_peer_share_t *next;
  cv_target_t *t;

  if (s->heard_at == 0 || now - s->heard_at > CV_SHARE_MAX_AGE)
    return false;
  if (now - s->summed_at < SUM_MAX_AGE)
    return true;
  s->summed_at = now;
  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      t->shared_tokens = 0;
      t->shared_prefill_tokens = 0;
      t->shared_requests = 0;
    }
  for (p = TAILQ_FIRST (&s->peers); p != NULL; p = next)
    {
      next = TAILQ_NEXT (p, entry);
      if (now - p->heard_at > CV_SHARE_MAX_AGE)
        {
          TAILQ_REMOVE (&s->peers, p, entry);
          free (p);
          continue;
        }
      for (uint32_t i = 0; i < p->told.count; i++)
        add_share (g, &p->told.share[i]);
    }
  return true;
}
