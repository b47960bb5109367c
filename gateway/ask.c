/* Reserves engine memory with the engine's observer before a request is sent,
   so that several gateways do not use the same free memory at once.  */

#include <string.h>

#include "gateway/state.h"

/* An observer replies in about 2 ms; the datagram may be lost.  move.c has the
   same time.  */
#define REPLY_TIMEOUT (40 * CV_MS)
/* A refused exchange is queued once it has sent this many reservation requests
   in a row; before that, another target is chosen.  */
#define RESERVATION_REQUESTS_MAX 4

/* Late requests with a far deadline wait for tens of seconds in a shortage,
   many at a time; they ask one observer each in this time.  */
#define FAR_RETRY_TIME (250 * CV_MS)
/* After an observer did not reply to a request that states a rank, but to one
   without, the rank is left out for this time.  */
#define RANK_UNREAD_TIME (30 * CV_SECOND)

/* Sends M about RUN to the observer of T.  */
static void
send_message (const cv_target_t *t, cv_slice_t run,
              const cv_msg_reservation_t *m)
{
  cv_msg_t msg = { .type = CV_MSG_ROOM };

  msg.u.reservation = *m;
  (void)cv_copy (msg.u.reservation.target, CV_NAME_MAX, t->record.id);
  (void)cv_copy_slice (msg.u.reservation.run, CV_RUN_MAX, run);
  cv_observer_send (t, &msg);
}

static cv_msg_reservation_t
reservation_request (const cv_exchange_t *x, cv_reservation_purpose_t purpose)
{
  return (cv_msg_reservation_t){ .step = CV_RESERVATION_REQUESTED,
                                 .purpose = purpose,
                                 .prompt_tokens = x->request.prompt_tokens,
                                 .produced
                                 = (uint32_t)cv_exchange_output_tokens (x),
                                 .expected = x->expected_output.median,
                                 .limit = x->expected_output.limit };
}

static uint32_t
ms_until (cv_time_t at, cv_time_t now)
{
  cv_time_t ms = (at - now + CV_MS - 1) / CV_MS;

  if (at <= now)
    return 0;
  return ms < UINT32_MAX ? (uint32_t)ms : UINT32_MAX;
}

/* States in M how urgent X is.  */
static void
state_rank (cv_exchange_t *x, cv_msg_reservation_t *m, cv_time_t now)
{
  bool is_first = x->claim.is_begun || x->claim.is_starved;

  m->has_rank = true;
  m->rank = is_first ? 0 : x->claim.rank;
  if (is_first)
    m->in_time_ms = 1;
  else if (cv_claim_is_in_time (&x->claim, now))
    m->in_time_ms = ms_until (x->claim.objective_at, now);
  m->left_ms = ms_until (x->claim.deadline_at, now);
  x->stated_level = cv_shortage_level (m->rank, m->in_time_ms, m->left_ms);
}

/* Requests a reservation of X for an attempt, with its rank if the observer of
   T reads it.  */
static void
request_for_attempt (cv_exchange_t *x, const cv_target_t *t, cv_time_t now)
{
  cv_msg_reservation_t m = reservation_request (
      x, cv_exchange_is_late (x, now) ? CV_RESERVE_LATE : CV_RESERVE_NEW);

  x->is_rank_stated = x->is_ranked && now >= t->rank_unread_until;
  if (x->is_rank_stated)
    state_rank (x, &m, now);
  send_message (t, x->request.attempt, &m);
}

void
cv_reserve_send_request (const cv_exchange_t *x, const cv_target_t *t,
                         cv_reservation_purpose_t purpose)
{
  cv_msg_reservation_t m = reservation_request (x, purpose);

  send_message (t, x->request.attempt, &m);
}

void
cv_reserve_send_end (const cv_target_t *t, cv_slice_t run,
                     cv_reservation_step_t how)
{
  cv_msg_reservation_t m = { .step = how, .purpose = CV_RESERVE_NEW };

  send_message (t, run, &m);
}

bool
cv_exchange_reserve (cv_exchange_t *x, cv_target_t *t)
{
  cv_time_t now = cv_now ();

  if (!x->request.is_generation || x->request.attempt.p == NULL
      || x->request.attempt.n >= CV_RUN_MAX || !cv_target_is_observed (t, now))
    return false;
  if (x->target == NULL)
    x->state = CV_EXCHANGE_RESERVING;
  x->reservation_target = cv_target_ref (t);
  x->reservation_sent_at = now;
  x->reservation_requests++;
  request_for_attempt (x, t, now);
  return true;
}

static void
clear_reservation_target (cv_exchange_t *x)
{
  cv_target_unref (x->reservation_target);
  x->reservation_target = NULL;
}

/* Releases the reservation, which may have been granted already.  */
void
cv_exchange_cancel_reservation (cv_exchange_t *x)
{
  if (x->reservation_target == NULL)
    return;
  cv_reserve_send_end (x->reservation_target, x->request.attempt,
                       CV_RESERVATION_RELEASED);
  clear_reservation_target (x);
}

void
cv_exchange_release_reservation (cv_exchange_t *x, const cv_target_t *t)
{
  if (x->has_reservation)
    cv_reserve_send_end (t, x->request.attempt, CV_RESERVATION_RELEASED);
  x->has_reservation = false;
}

static void
send_now (cv_exchange_t *x)
{
  cv_target_t *t = cv_target_ref (x->reservation_target);

  clear_reservation_target (x);
  x->reservation_requests = 0;
  if (x->target == NULL || cv_exchange_leave_silent_target (x))
    {
      x->has_reservation = true;
      cv_attempt_start (x, t);
    }
  else
    cv_reserve_send_end (t, x->request.attempt, CV_RESERVATION_RELEASED);
  cv_target_unref (t);
}

/* The exchange of RUN that requested a reservation at T or was sent there.  */
static cv_exchange_t *
find_exchange (cv_gateway_t *g, const cv_target_t *t, cv_slice_t run)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  if ((x->reservation_target == t || x->target == t)
      && cv_slice_equal (x->request.attempt, run))
    return x;
  return NULL;
}

/* Records that the observer of T refused a reservation for X.  */
static void
record_reservation_refusal (cv_target_t *t, const cv_exchange_t *x)
{
  uint64_t *min_tokens = cv_exchange_is_late (x, cv_now ())
                             ? &t->min_refused_late_tokens
                             : &t->min_refused_tokens;

  if (x->is_rank_stated)
    {
      cv_refused_sizes_add (&t->refused_sizes, x->stated_level, x->need_tokens);
      return;
    }
  if (*min_tokens == 0 || x->need_tokens < *min_tokens)
    *min_tokens = x->need_tokens;
}

/* A grant that does not hold is given back: the observer may have given the
   memory to another run.  */
static void
handle_grant (cv_exchange_t *x)
{
  if (cv_gateway_grant_holds (x->reservation_target, x->request.attempt,
                              "reservation", x->reservation_sent_at))
    {
      send_now (x);
      return;
    }
  cv_exchange_cancel_reservation (x);
  if (x->target == NULL)
    cv_exchange_place (x);
}

void
cv_reserve_handle_reply (cv_gateway_t *g, cv_target_t *t,
                         const cv_msg_reservation_t *m)
{
  cv_exchange_t *x = find_exchange (g, t, cv_slice (m->run));

  if (x == NULL)
    {
      /* Granted after the exchange ended.  */
      if (m->step == CV_RESERVATION_GRANTED)
        cv_reserve_send_end (t, cv_slice (m->run), CV_RESERVATION_RELEASED);
      return;
    }
  if (x->reservation_target != t)
    return;
  if (m->has_rank)
    t->reads_rank = true;
  if (m->step == CV_RESERVATION_GRANTED)
    {
      handle_grant (x);
      return;
    }
  record_reservation_refusal (t, x);
  clear_reservation_target (x);
  if (x->target != NULL)
    {
      x->reservation_requests = 0;
      return;
    }
  if (cv_exchange_can_wait_long (x, cv_now ()))
    x->asks_again_at = cv_now () + FAR_RETRY_TIME;
  else if (x->reservation_requests < RESERVATION_REQUESTS_MAX)
    {
      cv_exchange_place (x);
      return;
    }
  x->reservation_requests = 0;
  cv_exchange_wait (x);
}

/* T did not reply to X.  Observers of earlier versions drop requests that state
   a rank: unless this one has answered such a request, X asks again without it.
   Returns whether it does.  */
static bool
ask_without_rank (cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  if (!x->is_rank_stated)
    {
      /* No reply either way tells nothing of its version.  */
      t->rank_unread_until = 0;
      return false;
    }
  if (t->reads_rank)
    {
      t->reads_rank = false;
      return false;
    }
  t->rank_unread_until = now + RANK_UNREAD_TIME;
  x->reservation_sent_at = now;
  request_for_attempt (x, t, now);
  return true;
}

void
cv_exchange_reserve_tick (cv_exchange_t *x, cv_time_t now)
{
  /* After a stall of this process the reply may be in its socket.  */
  if (now - x->reservation_sent_at < REPLY_TIMEOUT
      || now == x->gateway->stall_ended_at)
    return;
  if (ask_without_rank (x, x->reservation_target, now))
    return;
  if (cv_target_admits (x, x->reservation_target, now))
    send_now (x);
  else
    {
      cv_exchange_cancel_reservation (x);
      if (x->target == NULL)
        cv_exchange_place (x);
    }
}
