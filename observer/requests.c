/* Answers gateways: room in the engine's memory for a request, and turns to
   move runs off it, one at a time.  */

#include "observer/state.h"
#include "wire/datagram.h"

/* A run that tries a failing engine has made its first event by then, or is
   said to have failed.  */
#define TRIAL_MAX (2500 * CV_MS)

static void
grant (cv_observer_t *o, uint32_t place)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };
  cv_line_t l;

  msg.u.move = o->asked[place].move;
  msg.u.move.turn = CV_TURN_GRANTED;
  /* A lost grant is sent again when the gateway asks again.  */
  cv_datagram_send (o->socket, &o->asked[place].gateway, &msg);
  if (o->granted == place && o->granted_at == o->turns.since)
    return;
  o->granted = place;
  o->granted_at = o->turns.since;
  cv_line_begin (&l, CV_EV_OBSERVER_TURN_GRANTED);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (msg.u.move.run));
  cv_line_number (&l, "tokens", (int64_t)msg.u.move.tokens);
  cv_line_number (&l, "ends_in_ms", o->load.leaves_ms);
  cv_line_end (&l);
}

static void
take_move (cv_observer_t *o, const cv_msg_move_t *m,
           const struct sockaddr_in *gateway, cv_time_t now)
{
  uint64_t run = cv_platform_run_hash (cv_slice (m->run));
  uint32_t place;
  uint32_t holder;

  switch (m->turn)
    {
    case CV_TURN_WANTED:
      if (!o->load.leaving && o->room.strain == CV_STRAIN_NONE)
        return;
      place = cv_turns_ask (&o->turns, now, run, m->tokens);
      if (place == CV_TURN_NONE)
        return;
      o->asked[place].move = *m;
      o->asked[place].gateway = *gateway;
      holder = cv_turns_next (&o->turns, now);
      if (holder == place)
        grant (o, place);
      return;
    case CV_TURN_OVER:
      cv_turns_over (&o->turns, run);
      holder = cv_turns_next (&o->turns, now);
      if (holder != CV_TURN_NONE)
        grant (o, holder);
      return;
    case CV_TURN_GRANTED:
      return; /* meant for gateways */
    }
}

static void
log_room (const cv_observer_t *o, cv_event_t event, const cv_msg_room_t *m)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_number (&l, "purpose", m->purpose);
  cv_line_number (&l, "memory_held", (int64_t)o->room.sum.held);
  cv_line_number (&l, "memory_peak", (int64_t)o->room.peak);
  cv_line_number (&l, "unread", (int64_t)o->room.sum.unread);
  cv_line_number (&l, "memory_total", (int64_t)o->room.total);
  cv_line_end (&l);
}

/* Gateways see a few of an engine's runs each; its observer hears of all.  */
static void
note_failure (cv_observer_t *o, const cv_msg_room_t *m, cv_time_t now)
{
  cv_line_t l;

  if (!cv_health_failure (&o->health, now))
    return;
  cv_line_begin (&l, CV_EV_OBSERVER_ENGINE_FAILING);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_number (&l, "avoided_ms", (o->health.avoid_until - now) / CV_MS);
  cv_line_end (&l);
  cv_observer_tell (o);
}

/* Refusals are logged by the gateways, once for all engines that they ask.  */
static void
answer_room (cv_observer_t *o, const cv_msg_room_t *asked, bool granted,
             const struct sockaddr_in *gateway)
{
  cv_msg_t msg = { .type = CV_MSG_ROOM };

  msg.u.room = *asked;
  msg.u.room.step = granted ? CV_ROOM_GRANTED : CV_ROOM_REFUSED;
  if (granted)
    log_room (o, CV_EV_OBSERVER_ROOM_GRANTED, asked);
  /* A lost answer counts at the gateway as a grant.  */
  cv_datagram_send (o->socket, gateway, &msg);
}

/* An engine on trial gets one new run at a time.  */
static bool
may_come (cv_observer_t *o, const cv_room_need_t *need, cv_time_t now)
{
  bool on_trial = cv_health_on_trial (&o->health, now);

  if (o->load.leaving || !cv_health_usable (&o->health, now))
    return false;
  if (on_trial && (need->purpose != CV_ROOM_NEW || now < o->trial_until))
    return false;
  if (!cv_room_ask (&o->room, now, need))
    return false;
  if (on_trial)
    o->trial_until = now + TRIAL_MAX;
  return true;
}

static void
take_room (cv_observer_t *o, const cv_msg_room_t *m,
           const struct sockaddr_in *gateway, cv_time_t now)
{
  cv_room_need_t need = { .run = cv_platform_run_hash (cv_slice (m->run)),
                          .purpose = m->purpose,
                          .prompt_tokens = m->prompt_tokens,
                          .produced = m->produced,
                          .output = { m->expected, m->limit } };

  switch (m->step)
    {
    case CV_ROOM_ASKED:
      answer_room (o, m, may_come (o, &need, now), gateway);
      return;
    case CV_ROOM_SERVED:
      cv_health_success (&o->health);
      (void)cv_room_release (&o->room, need.run);
      return;
    case CV_ROOM_FAILED:
      note_failure (o, m, now);
      (void)cv_room_release (&o->room, need.run);
      return;
    case CV_ROOM_RELEASED:
      if (cv_room_release (&o->room, need.run))
        log_room (o, CV_EV_OBSERVER_ROOM_GIVEN_BACK, m);
      return;
    case CV_ROOM_GRANTED:
    case CV_ROOM_REFUSED:
      return; /* meant for gateways */
    }
}

/* False with ERR when it is no message for an observer.  */
static bool
take_message (void *owner, const cv_msg_t *msg, const struct sockaddr_in *from,
              cv_error_t *err)
{
  cv_observer_t *o = owner;

  switch (msg->type)
    {
    case CV_MSG_MOVE:
      take_move (o, &msg->u.move, from, cv_now ());
      return true;
    case CV_MSG_ROOM:
      take_room (o, &msg->u.room, from, cv_now ());
      return true;
    default:
      return cv_fail (err, CV_ERR_INVALID, "message %s",
                      cv_msg_name (msg->type));
    }
}

void
cv_observer_on_datagram (evutil_socket_t fd, short what, void *arg)
{
  (void)what;
  cv_datagram_drain (fd, CV_EV_OBSERVER_BAD_DATAGRAM, take_message, arg);
}
