/* Migration leases of engines without an observer.  The gateway of the highest
   rank for an engine grants them, as the observer does of other engines: copies
   of several gateways at a time over the network link of one engine would
   lengthen the pauses of all.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* A gateway that has not replied for this time grants no leases; requests are
   repeated every 25 ms.  */
#define REPLY_TIMEOUT (100 * CV_MS)
/* It is not asked again for this time.  */
#define SILENCE_PERIOD (2 * CV_SECOND)
/* Leases of an engine that nobody has asked for are dropped after this time. */
#define UNUSED_PERIOD (10 * CV_SECOND)

static cv_msg_t
lease_message (const cv_target_t *t, cv_slice_t run, cv_lease_step_t step,
               uint64_t tokens)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };

  msg.u.migration_lease.step = step;
  msg.u.migration_lease.tokens = tokens;
  (void)cv_copy (msg.u.migration_lease.target, CV_NAME_MAX, t->record.id);
  (void)cv_copy_slice (msg.u.migration_lease.run, CV_RUN_MAX, run);
  return msg;
}

/* Whether the leases of T are granted by gateways; otherwise by its observer,
   or by nobody.  */
static bool
is_granted_by_gateways (const cv_target_t *t, cv_time_t now)
{
  return !cv_target_is_observed (t, now)
         && t->gateway->evidence.roster.count > 1
         && now >= t->granter.silent_until;
}

bool
cv_lease_has_granter (cv_target_t *t, cv_time_t now)
{
  cv_granter_t *g = &t->granter;

  if (cv_target_is_observed (t, now))
    return true;
  if (!is_granted_by_gateways (t, now))
    return false;
  if (g->asked_at == 0 || now - g->last_asked_at > REPLY_TIMEOUT
      || now - g->asked_at < REPLY_TIMEOUT || now - g->heard_at < REPLY_TIMEOUT)
    return true;
  g->silent_until = now + SILENCE_PERIOD;
  g->asked_at = 0;
  return false;
}

static void
send_step (const cv_gateway_t *g, const cv_msg_migration_lease_t *m,
           cv_lease_step_t step, const struct sockaddr_in *to)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };

  msg.u.migration_lease = *m;
  msg.u.migration_lease.step = step;
  cv_datagram_send (g->loads_fd, to, &msg);
}

/* Handles a reply about a lease of T.  */
static void
handle_reply (cv_target_t *t, const cv_msg_migration_lease_t *m)
{
  t->granter.heard_at = cv_now ();
  if (!cv_migration_handle_link (t, m) && m->step == CV_LEASE_GRANTED)
    cv_migration_lease_granted (t->gateway, t, m->run);
}

/* Handles a reply about a lease of a target that may have been removed.  */
static void
find_and_handle (cv_gateway_t *g, const cv_msg_migration_lease_t *m)
{
  cv_target_t *t = cv_target_find (g, m->target);

  if (t != NULL)
    handle_reply (t, m);
}

static void
send_grant (cv_gateway_t *g, const cv_lease_request_t *r)
{
  cv_msg_migration_lease_t m = r->message;

  if (!cv_gateway_is_own_address (g, &r->gateway))
    {
      send_step (g, &r->message, CV_LEASE_GRANTED, &r->gateway);
      return;
    }
  m.step = CV_LEASE_GRANTED;
  find_and_handle (g, &m);
}

/* The leases of TARGET; begun if there are none.  */
static cv_granted_leases_t *
granted_leases (cv_gateway_t *g, const char *target)
{
  cv_granted_leases_t *l;

  for (l = TAILQ_FIRST (&g->granted_leases); l != NULL;
       l = TAILQ_NEXT (l, entry))
    if (strcmp (l->target, target) == 0)
      break;
  if (l == NULL)
    {
      l = cv_calloc (1, sizeof *l);
      (void)cv_copy (l->target, sizeof l->target, target);
      cv_lease_book_init (&l->book);
    }
  else
    TAILQ_REMOVE (&g->granted_leases, l, entry);
  TAILQ_INSERT_HEAD (&g->granted_leases, l, entry);
  l->used_at = cv_now ();
  return l;
}

void
cv_lease_drop (cv_gateway_t *g, cv_time_t now, bool all)
{
  cv_granted_leases_t *l;
  cv_granted_leases_t *next;

  for (l = TAILQ_FIRST (&g->granted_leases); l != NULL; l = next)
    {
      next = TAILQ_NEXT (l, entry);
      if (!all && now - l->used_at <= UNUSED_PERIOD)
        continue;
      TAILQ_REMOVE (&g->granted_leases, l, entry);
      free (l);
    }
}

static void
send_waits (cv_gateway_t *g, const cv_msg_migration_lease_t *request,
            const struct sockaddr_in *to)
{
  cv_msg_migration_lease_t m = *request;

  if (!cv_gateway_is_own_address (g, to))
    {
      send_step (g, request, CV_LEASE_WAITS, to);
      return;
    }
  m.step = CV_LEASE_WAITS;
  find_and_handle (g, &m);
}

/* Handles a request for a lease, or its end.  */
static void
handle_request (cv_gateway_t *g, const cv_msg_migration_lease_t *m,
                const struct sockaddr_in *from)
{
  cv_granted_leases_t *l = granted_leases (g, m->target);
  uint64_t run = cv_hash (m->run, strlen (m->run), 0);
  uint32_t granted
      = cv_lease_book_handle (&l->book, run != 0 ? run : 1, m, from, cv_now ());

  if (granted != CV_MIGRATION_LEASE_NONE)
    send_grant (g, &l->book.requests[granted]);
  else if (m->step == CV_LEASE_REQUESTED)
    send_waits (g, m, from);
}

void
cv_lease_handle (cv_gateway_t *g, const cv_msg_migration_lease_t *m,
                 const struct sockaddr_in *from)
{
  switch (m->step)
    {
    case CV_LEASE_GRANTED:
    case CV_LEASE_WAITS:
      find_and_handle (g, m);
      return;
    case CV_LEASE_REQUESTED:
    case CV_LEASE_RELEASED:
      handle_request (g, m, from);
      return;
    }
}

/* Notes a request that the granter has to answer.  */
static void
note_asked (cv_granter_t *granter, cv_time_t now)
{
  if (granter->asked_at == 0 || now - granter->last_asked_at > REPLY_TIMEOUT)
    granter->asked_at = now;
  granter->last_asked_at = now;
}

void
cv_lease_send (cv_target_t *t, cv_slice_t run, cv_lease_step_t step,
               uint64_t tokens)
{
  cv_time_t now = cv_now ();
  cv_msg_t msg = lease_message (t, run, step, tokens);
  const struct sockaddr_in *granter;

  if (step == CV_LEASE_REQUESTED)
    t->lease_asked_at = now;
  cv_observer_send (t, &msg);
  if (!is_granted_by_gateways (t, now))
    return;
  granter = cv_keeper_first_gateway (t);
  if (cv_gateway_is_own_address (t->gateway, granter))
    {
      t->granter.heard_at = now;
      handle_request (t->gateway, &msg.u.migration_lease, granter);
      return;
    }
  if (step == CV_LEASE_REQUESTED)
    note_asked (&t->granter, now);
  cv_datagram_send (t->gateway->loads_fd, granter, &msg);
}
