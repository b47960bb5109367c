/* Handles requests of gateways: reservations of the engine's KV-cache memory,
   and migration leases, one at a time.  On the wire and in event names ROOM is
   a reservation, and MOVE and TURN are a migration lease.  A run is a
   generation.  */

#include "observer/state.h"
#include "wire/datagram.h"

/* After this time without an outcome of a probe, the next one is admitted.  It
   is enough for a first event or for a gateway's report of a failure.  */
#define PROBE_TIMEOUT (2500 * CV_MS)

static void
grant_lease (cv_observer_t *o, uint32_t index)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };
  cv_line_t l;

  msg.u.migration_lease = o->leases.requests[index].message;
  msg.u.migration_lease.step = CV_LEASE_GRANTED;
  /* A gateway that got no answer asks again, and the grant is repeated.  */
  cv_datagram_send (o->socket, &o->leases.requests[index].gateway, &msg);
  if (o->logged_lease == index
      && o->logged_lease_since == o->leases.lease.since)
    return;
  o->logged_lease = index;
  o->logged_lease_since = o->leases.lease.since;
  cv_line_begin (&l, CV_EV_OBSERVER_TURN_GRANTED);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (msg.u.migration_lease.run));
  cv_line_number (&l, "tokens", (int64_t)msg.u.migration_lease.tokens);
  cv_line_number (&l, "ends_in_ms", o->load.leaves_ms);
  cv_line_end (&l);
}

static void
handle_migration (cv_observer_t *o, const cv_msg_migration_lease_t *m,
                  const struct sockaddr_in *gateway, cv_time_t now)
{
  uint32_t granted;

  if (m->step == CV_LEASE_REQUESTED && !o->load.draining
      && o->reservations.memory_pressure == CV_PRESSURE_NONE)
    return;
  granted = cv_lease_book_handle (
      &o->leases, cv_platform_run_hash (cv_slice (m->run)), m, gateway, now);
  if (granted != CV_MIGRATION_LEASE_NONE)
    grant_lease (o, granted);
}

static void
log_reservation (const cv_observer_t *o, cv_event_t event,
                 const cv_msg_reservation_t *m)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_number (&l, "purpose", m->purpose);
  if (m->has_rank)
    cv_line_number (&l, "rank", m->rank);
  cv_line_number (&l, "memory_held", (int64_t)o->reservations.demand.held);
  cv_line_number (&l, "memory_peak", (int64_t)o->reservations.peak);
  cv_line_number (&l, "unread",
                  (int64_t)o->reservations.demand.prefill_backlog);
  cv_line_number (&l, "memory_total", (int64_t)o->reservations.total);
  cv_line_end (&l);
}

/* Failures are counted here because each gateway sees only a few of an
   engine's generations, and the observer gets the outcomes of all.  */
static void
handle_failure (cv_observer_t *o, const cv_msg_reservation_t *m, uint64_t run,
                cv_time_t now)
{
  cv_line_t l;

  if (!cv_engine_health_failure (&o->health, run, now))
    return;
  cv_line_begin (&l, CV_EV_OBSERVER_ENGINE_FAILING);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_number (&l, "avoided_ms",
                  (o->health.health.avoid_until - now) / CV_MS);
  cv_line_end (&l);
  cv_observer_send_load (o);
}

static void
handle_completion (cv_observer_t *o, const cv_msg_reservation_t *m,
                   uint64_t run, cv_time_t now)
{
  bool was_avoided = !cv_health_is_usable (&o->health.health, now);
  bool is_avoided;
  cv_line_t l;

  if (!cv_engine_health_completed (&o->health, run))
    return;
  is_avoided = !cv_health_is_usable (&o->health.health, now);
  cv_line_begin (&l, CV_EV_OBSERVER_FAILURE_TAKEN_BACK);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_number (&l, "avoided", is_avoided);
  cv_line_end (&l);
  if (was_avoided && !is_avoided)
    cv_observer_send_load (o);
}

/* Refused reservations are not logged here: the gateway logs one line for all
   engines it tried.  */
static void
send_reservation_reply (cv_observer_t *o, const cv_msg_reservation_t *request,
                        bool granted, const struct sockaddr_in *gateway)
{
  cv_msg_t msg = { .type = CV_MSG_ROOM };

  msg.u.reservation = *request;
  msg.u.reservation.step
      = granted ? CV_RESERVATION_GRANTED : CV_RESERVATION_REJECTED;
  if (granted)
    log_reservation (o, CV_EV_OBSERVER_ROOM_GRANTED, request);
  /* When no answer arrives, the gateway assumes a grant.  */
  cv_datagram_send (o->socket, gateway, &msg);
}

/* Reserves memory for NEED.  An engine that was avoided gets one request with
   purpose CV_RESERVE_NEW at a time as a probe, and nothing else, until one
   succeeds.  */
static bool
try_reserve (cv_observer_t *o, const cv_reservation_request_t *need,
             cv_time_t now)
{
  bool needs_probe = cv_health_is_probing (&o->health.health, now);

  if (o->load.draining || !cv_health_is_usable (&o->health.health, now))
    return false;
  if (needs_probe && (need->purpose != CV_RESERVE_NEW || now < o->probe_until))
    return false;
  if (!cv_reservations_request (&o->reservations, now, need))
    return false;
  if (needs_probe)
    o->probe_until = now + PROBE_TIMEOUT;
  return true;
}

static void
handle_reservation (cv_observer_t *o, const cv_msg_reservation_t *m,
                    const struct sockaddr_in *gateway, cv_time_t now)
{
  cv_reservation_request_t need
      = { .run = cv_platform_run_hash (cv_slice (m->run)),
          .purpose = m->purpose,
          .prompt_tokens = m->prompt_tokens,
          .produced = m->produced,
          .output = { m->expected, m->limit },
          .has_level = m->has_rank,
          .level = cv_shortage_level (m->rank, m->in_time_ms, m->left_ms) };

  switch (m->step)
    {
    case CV_RESERVATION_REQUESTED:
      cv_engine_health_restarted (&o->health, need.run);
      send_reservation_reply (o, m, try_reserve (o, &need, now), gateway);
      return;
    case CV_RESERVATION_RUN_COMPLETED:
      handle_completion (o, m, need.run, now);
      (void)cv_reservations_release (&o->reservations, need.run);
      return;
    case CV_RESERVATION_RUN_FAILED:
      handle_failure (o, m, need.run, now);
      (void)cv_reservations_release (&o->reservations, need.run);
      return;
    case CV_RESERVATION_RELEASED:
      if (cv_reservations_release (&o->reservations, need.run))
        log_reservation (o, CV_EV_OBSERVER_ROOM_GIVEN_BACK, m);
      return;
    case CV_RESERVATION_GRANTED:
    case CV_RESERVATION_REJECTED:
      return; /* observers send these and never receive them */
    }
}

/* Returns false with ERR set for a message type that observers do not
   handle.  */
static bool
handle_message (void *owner, const cv_msg_t *msg,
                const struct sockaddr_in *from, cv_error_t *err)
{
  cv_observer_t *o = owner;

  switch (msg->type)
    {
    case CV_MSG_MOVE:
      handle_migration (o, &msg->u.migration_lease, from, cv_now ());
      return true;
    case CV_MSG_ROOM:
      handle_reservation (o, &msg->u.reservation, from, cv_now ());
      return true;
    case CV_MSG_ORIGIN:
      cv_observer_handle_origin (o, &msg->u.origin, from);
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
  cv_datagram_dispatch (fd, CV_EV_OBSERVER_BAD_DATAGRAM, handle_message, arg);
}
