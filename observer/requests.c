/* Answers gateways: room in the engine's memory for a request, and turns to
   move runs off it, one at a time.  */

#include "observer/state.h"
#include "wire/datagram.h"

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
      answer_room (o, m, !o->load.leaving && cv_room_ask (&o->room, now, &need),
                   gateway);
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
