/* Answers gateways that want to move runs off the engine: one at a time.  */

#include <string.h>
#include <sys/socket.h>

#include "observer/state.h"

#define FRAME_MAX 1024

static void
grant (cv_observer_t *o, uint32_t place)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };
  cv_buf_t frame;
  cv_line_t l;

  msg.u.move = o->asked[place].move;
  msg.u.move.turn = CV_TURN_GRANTED;
  cv_buf_init (&frame);
  cv_msg_encode (&msg, &frame);
  /* A lost grant is sent again when the gateway asks again.  */
  (void)sendto (o->socket, frame.p, frame.n, MSG_NOSIGNAL,
                (const struct sockaddr *)&o->asked[place].gateway,
                sizeof o->asked[place].gateway);
  cv_buf_finish (&frame);
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
take (cv_observer_t *o, const cv_msg_move_t *m,
      const struct sockaddr_in *gateway, cv_time_t now)
{
  uint64_t run = cv_hash (m->run, strlen (m->run), 1);
  uint32_t place;
  uint32_t holder;

  switch (m->turn)
    {
    case CV_TURN_WANTED:
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

void
cv_observer_on_datagram (evutil_socket_t fd, short what, void *arg)
{
  cv_observer_t *o = arg;
  char frame[FRAME_MAX];

  (void)what;
  for (;;)
    {
      struct sockaddr_in from;
      socklen_t size = sizeof from;
      ssize_t n = recvfrom (fd, frame, sizeof frame, 0,
                            (struct sockaddr *)&from, &size);
      cv_error_t err = { 0 };
      cv_msg_t msg;
      cv_line_t l;

      if (n < 0)
        return;
      if (cv_msg_decode (&msg, frame, (size_t)n, &err)
          && msg.type == CV_MSG_MOVE)
        {
          take (o, &msg.u.move, &from, cv_now ());
          continue;
        }
      cv_line_begin (&l, CV_EV_OBSERVER_BAD_DATAGRAM);
      cv_line_text (&l, "reason", cv_slice (err.text));
      cv_line_end (&l);
    }
}
