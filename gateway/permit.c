/* Permits to send requests to targets with a limit.  An exchange that is to be
   sent to such a target waits for the reply of the keeper, some milliseconds;
   when it is refused, another target is chosen for it.  */

#include "gateway/state.h"

/* The keeper replies in about 2 ms; the datagram may be lost.  */
#define REPLY_TIMEOUT (30 * CV_MS)

static void
clear (cv_exchange_t *x)
{
  cv_target_unref (x->permit.target);
  x->permit = (cv_permit_t){ 0 };
}

void
cv_permit_cancel (cv_exchange_t *x)
{
  if (x->permit.target != NULL)
    clear (x);
}

/* X does not get to the target that it waits for: releases what was reserved
   there and chooses another one.  */
static void
place_elsewhere (cv_exchange_t *x)
{
  cv_target_t *t = cv_target_ref (x->permit.target);

  clear (x);
  cv_exchange_release_reservation (x, t);
  cv_target_unref (t);
  cv_exchange_place (x);
}

/* No permit was granted to X now.  A stream that resumes from a copy can go on
   at this target only, and asks again.  */
static void
handle_refusal (cv_exchange_t *x, cv_time_t wait, const char *reason)
{
  const char *next = x->from_copy ? "asks again" : "is sent elsewhere";

  x->gateway->counts.limit_waits++;
  cv_limit_log_wait (x, x->permit.target, wait, reason, next);
  x->permit.number = 0;
  if (!x->from_copy)
    place_elsewhere (x);
}

static void
block (cv_target_t *t, cv_time_t wait)
{
  cv_time_t until = cv_now () + wait;

  if (until > t->limit.blocked_until)
    t->limit.blocked_until = until;
}

/* Requests a permit for X; returns true when it was granted at once.  X may
   have ended otherwise.  */
static bool
request_permit (cv_exchange_t *x)
{
  cv_target_t *t = x->permit.target;
  cv_rate_reply_t reply;

  x->permit.number = ++x->gateway->last_question;
  x->permit.asked_at = cv_now ();
  if (!cv_keeper_ask (t, x->permit.number, x->urgency.priority, &reply))
    return false;
  if (reply.is_granted)
    return true;
  block (t, reply.wait);
  handle_refusal (x, reply.wait, "no permit");
  return false;
}

bool
cv_permit_await (cv_exchange_t *x, cv_target_t *t)
{
  bool is_granted = x->permit.granted_for == t;

  x->permit.granted_for = NULL;
  if (is_granted || !t->limit.known.is_limited)
    return false;
  x->state = CV_EXCHANGE_RESERVING;
  x->permit.target = cv_target_ref (t);
  if (!request_permit (x))
    return true;
  clear (x);
  return false;
}

void
cv_permit_hold (cv_exchange_t *x, cv_target_t *t)
{
  x->state = CV_EXCHANGE_RESERVING;
  x->permit.granted_for = NULL;
  x->permit.target = cv_target_ref (t);
}

static void
send_now (cv_exchange_t *x)
{
  cv_target_t *t = cv_target_ref (x->permit.target);

  clear (x);
  x->permit.granted_for = t;
  cv_attempt_start (x, t);
  cv_target_unref (t);
}

static cv_exchange_t *
find_exchange (const cv_target_t *t, uint64_t number)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &t->gateway->exchanges, entry)
  if (x->permit.target == t && x->permit.number == number)
    return x;
  return NULL;
}

bool
cv_permit_granted (cv_target_t *t, uint64_t number)
{
  cv_exchange_t *x = find_exchange (t, number);

  if (x == NULL)
    return false;
  if (!cv_gateway_grant_holds (t, x->request.attempt, "permit",
                               x->permit.asked_at))
    {
      if (request_permit (x))
        send_now (x);
      return false;
    }
  if (cv_target_admits (x, t, cv_now ()))
    {
      send_now (x);
      return true;
    }
  place_elsewhere (x);
  return false;
}

void
cv_permit_refused (cv_target_t *t, uint64_t number, cv_time_t wait)
{
  cv_exchange_t *x = find_exchange (t, number);

  block (t, wait);
  if (x != NULL)
    handle_refusal (x, wait, "no permit");
}

void
cv_permit_redirected (cv_target_t *t, uint64_t number)
{
  cv_exchange_t *x = find_exchange (t, number);

  if (x == NULL || x->permit.was_redirected)
    return;
  x->permit.was_redirected = true;
  if (request_permit (x))
    send_now (x);
}

void
cv_permit_tick (cv_exchange_t *x, cv_time_t now)
{
  cv_target_t *t = x->permit.target;

  if (!t->limit.known.is_limited)
    {
      send_now (x);
      return;
    }
  if (x->permit.number == 0)
    {
      if (now >= t->limit.blocked_until && request_permit (x))
        send_now (x);
      return;
    }
  /* After a stall of this process the reply may be in its socket.  */
  if (now - x->permit.asked_at < REPLY_TIMEOUT
      || now == x->gateway->stall_ended_at)
    return;
  cv_keeper_silent (t);
  handle_refusal (x, t->limit.blocked_until - now, "keeper does not reply");
}
