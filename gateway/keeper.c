/* Which gateway counts the requests for a target with a limit.  The first one
   that is asked while none is known becomes the keeper and announces itself; of
   two, the one of the lower rank resigns.  A gateway that knows no keeper asks
   the others in the order of their ranks, so that most ask the same.  */

#include <string.h>

#include "gateway/state.h"

/* The keeper's reply to a request for a permit that was not answered in time is
   not awaited again for this long.  */
#define SILENCE_BACKOFF (50 * CV_MS)
/* Longest wait taken over from a message.  */
#define WAIT_MAX (5 * CV_SECOND)

/* Rank of the gateway at ADDRESS for T, in the same order at all gateways.  */
static uint64_t
rank_of (const cv_target_t *t, const struct sockaddr_in *address)
{
  return cv_gateway_rank (address,
                          cv_hash (t->record.id, strlen (t->record.id), 0));
}

static uint64_t
own_rank (const cv_target_t *t)
{
  return rank_of (t, &t->gateway->loads_address);
}

/* The gateway of the highest rank for T below LIMIT; NULL when there is none.
 */
static const struct sockaddr_in *
highest_below (const cv_target_t *t, uint64_t limit)
{
  const cv_roster_t *roster = &t->gateway->evidence.roster;
  const struct sockaddr_in *best = NULL;
  uint64_t own = own_rank (t);

  if (own < limit)
    best = &t->gateway->loads_address;
  for (uint32_t i = 0; i < roster->count; i++)
    {
      uint64_t rank = rank_of (t, &roster->gateways[i]);

      if (rank < limit && (best == NULL || rank > rank_of (t, best)))
        best = &roster->gateways[i];
    }
  return best;
}

const struct sockaddr_in *
cv_keeper_first_gateway (const cv_target_t *t)
{
  const struct sockaddr_in *first = highest_below (t, UINT64_MAX);

  return first != NULL ? first : &t->gateway->loads_address;
}

/* The gateway to ask for a permit of T while no keeper is known; this one after
   all that did not reply.  */
static const struct sockaddr_in *
first_to_ask (const cv_target_t *t)
{
  const struct sockaddr_in *best = highest_below (t, UINT64_MAX);

  for (uint32_t i = 0; i < t->limit.silent_gateways && best != NULL; i++)
    best = highest_below (t, rank_of (t, best));
  return best != NULL ? best : &t->gateway->loads_address;
}

static void
announce (cv_target_t *t, const struct sockaddr_in *to)
{
  cv_msg_rate_t m = { .step = CV_RATE_KEEPER };

  cv_limit_send (t, &m, to);
}

static void
become_keeper (cv_target_t *t)
{
  cv_time_t now = cv_now ();
  cv_line_t l;

  cv_rate_keeper_begin (&t->limit.keeper, now);
  t->limit.next_send_at = now + CV_RATE_KEEPER_INTERVAL;
  announce (t, NULL);
  cv_line_begin (&l, CV_EV_GATEWAY_LIMIT_KEEPER);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_end (&l);
}

bool
cv_keeper_ask (cv_target_t *t, uint64_t number, uint32_t priority,
               cv_rate_reply_t *reply)
{
  cv_target_limit_t *l = &t->limit;
  cv_time_t now = cv_now ();
  cv_msg_rate_t m = { .step = CV_RATE_ASKED };
  const struct sockaddr_in *to = cv_rate_keeper_is_known (&l->keeper, now)
                                     ? &l->keeper_address
                                     : first_to_ask (t);

  if (!l->keeper.is_keeper && to == &t->gateway->loads_address)
    become_keeper (t);
  if (l->keeper.is_keeper)
    {
      *reply = cv_rate_keeper_ask (&l->keeper, l->known.per_s, priority, now);
      return true;
    }
  m.number = number;
  m.priority = priority;
  cv_limit_send (t, &m, to);
  return false;
}

void
cv_keeper_silent (cv_target_t *t)
{
  cv_time_t now = cv_now ();

  if (!cv_rate_keeper_is_known (&t->limit.keeper, now))
    t->limit.silent_gateways++;
  t->limit.blocked_until = now + SILENCE_BACKOFF;
}

/* ---- messages ---- */

/* The gateway at ADDRESS is the keeper of T.  */
static void
note_keeper (cv_target_t *t, const struct sockaddr_in *address)
{
  if (!cv_rate_keeper_heard (&t->limit.keeper, own_rank (t),
                             rank_of (t, address), cv_now ()))
    {
      /* It may not know of this one.  */
      if (t->limit.keeper.is_keeper)
        announce (t, address);
      return;
    }
  t->limit.keeper_address = *address;
  t->limit.silent_gateways = 0;
}

static void
redirect (const cv_target_t *t, uint64_t number, const struct sockaddr_in *from)
{
  const struct sockaddr_in *keeper = &t->limit.keeper_address;
  cv_msg_rate_t m = { .step = CV_RATE_REDIRECTED,
                      .number = number,
                      .keeper_address = ntohl (keeper->sin_addr.s_addr),
                      .keeper_port = ntohs (keeper->sin_port) };

  cv_limit_send (t, &m, from);
}

static void
handle_ask (cv_target_t *t, const cv_msg_rate_t *m,
            const struct sockaddr_in *from)
{
  cv_target_limit_t *l = &t->limit;
  cv_msg_rate_t reply = { .step = CV_RATE_GRANTED, .number = m->number };
  cv_rate_reply_t decision = { .is_granted = true };

  if (cv_rate_keeper_is_known (&l->keeper, cv_now ()))
    {
      redirect (t, m->number, from);
      return;
    }
  /* The reply tells a sender that does not know it yet if the limit has ended.
   */
  if (l->known.is_limited)
    {
      if (!l->keeper.is_keeper)
        become_keeper (t);
      decision = cv_rate_keeper_ask (&l->keeper, l->known.per_s, m->priority,
                                     cv_now ());
    }
  if (!decision.is_granted)
    {
      reply.step = CV_RATE_REFUSED;
      reply.wait_us = (uint64_t)decision.wait;
    }
  cv_limit_send (t, &reply, from);
}

/* A permit that is not used goes back to the gateway that gave it, which may
   not be the keeper any longer.  */
static void
handle_grant (cv_target_t *t, const cv_msg_rate_t *m,
              const struct sockaddr_in *from)
{
  cv_msg_rate_t returned = { .step = CV_RATE_RETURNED };

  t->limit.silent_gateways = 0;
  if (!cv_permit_granted (t, m->number))
    cv_limit_send (t, &returned, from);
}

static void
handle_redirect (cv_target_t *t, const cv_msg_rate_t *m)
{
  struct sockaddr_in keeper = { .sin_family = AF_INET };

  keeper.sin_addr.s_addr = htonl (m->keeper_address);
  keeper.sin_port = htons ((uint16_t)m->keeper_port);
  note_keeper (t, &keeper);
  cv_permit_redirected (t, m->number);
}

void
cv_keeper_handle (cv_target_t *t, const cv_msg_rate_t *m,
                  const struct sockaddr_in *from)
{
  switch (m->step)
    {
    case CV_RATE_NAMED:
      return;
    case CV_RATE_KEEPER:
      if (t->limit.known.is_limited)
        note_keeper (t, from);
      return;
    case CV_RATE_LEFT:
      cv_rate_keeper_left (&t->limit.keeper, rank_of (t, from));
      return;
    case CV_RATE_ASKED:
      handle_ask (t, m, from);
      return;
    case CV_RATE_GRANTED:
      handle_grant (t, m, from);
      return;
    case CV_RATE_REFUSED:
      t->limit.silent_gateways = 0;
      cv_permit_refused (t, m->number,
                         m->wait_us < WAIT_MAX ? (cv_time_t)m->wait_us
                                               : WAIT_MAX);
      return;
    case CV_RATE_REDIRECTED:
      handle_redirect (t, m);
      return;
    case CV_RATE_RETURNED:
      if (t->limit.keeper.is_keeper)
        cv_rate_keeper_returned (&t->limit.keeper);
      return;
    }
}

void
cv_keeper_tick (cv_target_t *t, cv_time_t now)
{
  cv_target_limit_t *l = &t->limit;

  /* Another gateway may have taken over during a stall.  */
  if (now == t->gateway->stall_ended_at
      || cv_rate_keeper_is_idle (&l->keeper, now))
    {
      cv_keeper_leave (t);
      return;
    }
  if (now < l->next_send_at)
    return;
  l->next_send_at = now + CV_RATE_KEEPER_INTERVAL;
  announce (t, NULL);
}

void
cv_keeper_leave (cv_target_t *t)
{
  cv_msg_rate_t m = { .step = CV_RATE_LEFT };

  if (!t->limit.keeper.is_keeper)
    return;
  cv_rate_keeper_resign (&t->limit.keeper);
  cv_limit_send (t, &m, NULL);
}
