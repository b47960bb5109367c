/* Asks observers for room in their engines' memory before a request is sent,
   so that gateways do not fill the same free memory all at once.  */

#include <string.h>

#include "gateway/state.h"

/* An answer takes about 2 ms; a lost one is not waited for longer.  */
#define ANSWER_TIMEOUT (40 * CV_MS)
/* Engines that are asked in a row before a request waits.  */
#define ASKS_MAX 4

/* Send M on RUN to the observer of T.  */
static void
tell (const cv_target_t *t, cv_slice_t run, const cv_msg_room_t *m)
{
  cv_msg_t msg = { .type = CV_MSG_ROOM };

  msg.u.room = *m;
  (void)cv_copy (msg.u.room.target, CV_NAME_MAX, t->record.id);
  (void)cv_copy_slice (msg.u.room.run, CV_RUN_MAX, run);
  cv_loads_send (t, &msg);
}

void
cv_ask_tell (const cv_exchange_t *x, const cv_target_t *t,
             cv_room_purpose_t purpose)
{
  cv_msg_room_t m = { .step = CV_ROOM_ASKED,
                      .purpose = purpose,
                      .prompt_tokens = x->request.prompt_tokens,
                      .produced = (uint32_t)cv_exchange_produced (x),
                      .expected = x->output.median,
                      .limit = x->output.limit };

  tell (t, x->request.attempt, &m);
}

void
cv_ask_end (const cv_target_t *t, cv_slice_t run, cv_room_step_t how)
{
  cv_msg_room_t m = { .step = how, .purpose = CV_ROOM_NEW };

  tell (t, run, &m);
}

bool
cv_ask_room (cv_exchange_t *x, cv_target_t *t)
{
  cv_time_t now = cv_now ();

  if (!x->request.is_generation || x->request.attempt.p == NULL
      || x->request.attempt.n >= CV_RUN_MAX || !cv_target_is_observed (t, now))
    return false;
  x->state = CV_EXCHANGE_ASKING;
  x->asked = cv_target_ref (t);
  x->asked_at = now;
  x->asks++;
  cv_ask_tell (x, t, x->urgency.is_late ? CV_ROOM_LATE : CV_ROOM_NEW);
  return true;
}

static void
forget (cv_exchange_t *x)
{
  cv_target_unref (x->asked);
  x->asked = NULL;
}

/* The answer may be a grant.  */
void
cv_ask_stop (cv_exchange_t *x)
{
  if (x->asked == NULL)
    return;
  cv_ask_end (x->asked, x->request.attempt, CV_ROOM_RELEASED);
  forget (x);
}

static void
send_now (cv_exchange_t *x)
{
  cv_target_t *t = cv_target_ref (x->asked);

  forget (x);
  x->asks = 0;
  x->has_grant = true;
  cv_attempt_start (x, t);
  cv_target_unref (t);
}

/* The exchange that asked T for room, or that is under way there.  */
static cv_exchange_t *
find (cv_gateway_t *g, const cv_target_t *t, cv_slice_t run)
{
  cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  if ((x->asked == t || x->target == t)
      && cv_slice_equal (x->request.attempt, run))
    return x;
  return NULL;
}

static void
note_refusal (cv_target_t *t, const cv_exchange_t *x)
{
  uint64_t *least
      = x->urgency.is_late ? &t->refused_late_tokens : &t->refused_tokens;

  if (*least == 0 || x->need_tokens < *least)
    *least = x->need_tokens;
}

void
cv_ask_answered (cv_gateway_t *g, cv_target_t *t, const cv_msg_room_t *m)
{
  cv_exchange_t *x = find (g, t, cv_slice (m->run));

  if (x == NULL)
    {
      /* The grant came too late to be waited for.  */
      if (m->step == CV_ROOM_GRANTED)
        cv_ask_end (t, cv_slice (m->run), CV_ROOM_RELEASED);
      return;
    }
  if (x->asked != t)
    return;
  if (m->step == CV_ROOM_GRANTED)
    {
      send_now (x);
      return;
    }
  note_refusal (t, x);
  forget (x);
  if (x->asks < ASKS_MAX)
    {
      cv_exchange_place (x);
      return;
    }
  x->asks = 0;
  cv_exchange_wait (x);
}

void
cv_ask_tick (cv_exchange_t *x, cv_time_t now)
{
  if (now - x->asked_at < ANSWER_TIMEOUT)
    return;
  if (cv_target_usable (x->asked, now))
    send_now (x);
  else
    {
      cv_ask_stop (x);
      cv_exchange_place (x);
    }
}
