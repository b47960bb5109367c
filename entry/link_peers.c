/* ZeroMQ connections of an entry, one DEALER socket for each side.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "entry/link_internal.h"

/* Frames read from one side before the other sockets are polled again.  */
#define RECEIVE_BATCH 256
/* A connection to a target outside the chosen subset is kept for this time
   after a request last named the target.  */
#define REQUESTED_KEEP_TIME (60 * CV_SECOND)
/* Frames queued for a side that does not read.  */
#define SEND_HWM_FRAMES 10000

static bool connect_peer (cv_entry_link_t *l, cv_target_link_t *p);
static void open_monitor (cv_entry_link_t *l, cv_target_link_t *p);
static void close_peer (cv_target_link_t *p);
static uint32_t add_peer (cv_entry_link_t *l, cv_time_t now,
                          const cv_instance_t *i);
static void save_instances (cv_entry_link_t *l, const cv_instance_t *list,
                            size_t count);
static bool is_target_needed (const cv_entry_link_t *l, cv_time_t now,
                              uint32_t t);
static cv_instance_t *find_instance (cv_instance_t *list, size_t count,
                                     const cv_instance_t *peer);
static void remove_peer (cv_entry_link_t *l, cv_time_t now, uint32_t target);

void
cv_entry_link_apply_instances (cv_entry_link_t *l, cv_time_t now,
                               cv_instance_t *list, size_t count)
{
  cv_entry_link_select_targets (l, list, count);
  for (uint32_t t = 0; t < l->peer_count; t++)
    {
      cv_instance_t *i;

      if (l->peers[t].socket == NULL)
        continue;
      i = find_instance (list, count, &l->peers[t].instance);
      if (i != NULL)
        i->has_peer = true;
      /* A target that is no longer listed stays until its side stops
         reporting.  */
      if (i == NULL ? cv_entry_target_is_lost (l->core, t)
                    : !i->chosen && !is_target_needed (l, now, t))
        remove_peer (l, now, t);
      else
        cv_entry_target_set_leaving (l->core, now, t, i == NULL || i->leaving);
    }
  for (size_t k = 0; k < count; k++)
    if (!list[k].has_peer && list[k].chosen)
      (void)add_peer (l, now, &list[k]);
  save_instances (l, list, count);
}

void
cv_entry_link_require_target (void *arg, const char *name)
{
  cv_entry_link_t *l = arg;
  cv_time_t now = cv_now ();

  for (uint32_t t = 0; t < l->peer_count; t++)
    if (l->peers[t].socket != NULL
        && strcmp (l->peers[t].instance.id, name) == 0)
      {
        l->peers[t].requested_at = now;
        return;
      }
  for (size_t k = 0; k < l->instance_count; k++)
    if (strcmp (l->instances[k].id, name) == 0)
      {
        uint32_t slot = add_peer (l, now, &l->instances[k]);

        if (slot != CV_NO_TARGET)
          l->peers[slot].requested_at = now;
        return;
      }
}

void
cv_entry_link_send (void *arg, uint32_t target, const cv_msg_t *msg)
{
  cv_entry_link_t *l = arg;

  if (target >= l->peer_count || l->peers[target].socket == NULL)
    return;
  cv_buf_reset (&l->send_frame);
  cv_msg_encode (msg, &l->send_frame);
  /* A frame that cannot be queued is lost.  The core detects the loss by
     missing reports, an idle stream or an expired deadline.  */
  (void)zmq_send (l->peers[target].socket, l->send_frame.p, l->send_frame.n,
                  ZMQ_DONTWAIT);
}

void
cv_entry_link_reset (void *arg, uint32_t target)
{
  cv_entry_link_t *l = arg;
  cv_target_link_t *p = &l->peers[target];

  if (p->socket == NULL)
    return;
  close_peer (p);
  (void)connect_peer (l, p);
}

void
cv_entry_link_receive (cv_entry_link_t *l, uint32_t target)
{
  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      void *socket = l->peers[target].socket;
      cv_error_t err;
      zmq_msg_t frame;
      cv_msg_t msg;

      if (socket == NULL)
        return;
      (void)zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
        {
          (void)zmq_msg_close (&frame);
          return;
        }
      if (cv_msg_decode (&msg, zmq_msg_data (&frame), zmq_msg_size (&frame),
                         &err))
        cv_entry_message (l->core, cv_now (), target, &msg);
      else
        cv_log (CV_EV_ENTRY_FRAME_INVALID, "target %s: %s",
                l->peers[target].instance.id, err.text);
      (void)zmq_msg_close (&frame);
    }
}

void
cv_entry_link_read_monitor (cv_entry_link_t *l, uint32_t target)
{
  void *monitor = l->peers[target].monitor;
  bool connected = false;
  zmq_msg_t part;

  if (monitor == NULL)
    return;
  for (;;)
    {
      (void)zmq_msg_init (&part);
      if (zmq_msg_recv (&part, monitor, ZMQ_DONTWAIT) < 0)
        break;
      connected = true;
      (void)zmq_msg_close (&part);
    }
  (void)zmq_msg_close (&part);
  if (connected)
    cv_entry_target_connected (l->core, cv_now (), target);
}

void
cv_entry_link_close_peers (cv_entry_link_t *l)
{
  for (uint32_t t = 0; t < l->peer_count; t++)
    close_peer (&l->peers[t]);
  free (l->peers);
  l->peers = NULL;
  l->peer_count = 0;
}

static bool
connect_peer (cv_entry_link_t *l, cv_target_link_t *p)
{
  char endpoint[80];
  int zero = 0;
  int one = 1;
  int high_water_mark = SEND_HWM_FRAMES;

  p->socket = zmq_socket (l->zmq, ZMQ_DEALER);
  if (p->socket == NULL)
    return false;
  (void)zmq_setsockopt (p->socket, ZMQ_LINGER, &zero, sizeof zero);
  (void)zmq_setsockopt (p->socket, ZMQ_SNDHWM, &high_water_mark,
                        sizeof high_water_mark);
  /* Queue frames only while connected, so that no stale frame is sent over a
     later connection.  */
  (void)zmq_setsockopt (p->socket, ZMQ_IMMEDIATE, &one, sizeof one);
  (void)zmq_setsockopt (p->socket, ZMQ_ROUTING_ID, l->routing_id,
                        strlen (l->routing_id));
  open_monitor (l, p);
  (void)snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", p->instance.address,
                  p->instance.port);
  return zmq_connect (p->socket, endpoint) == 0;
}

/* Creates the monitor of P.  Without a monitor the core is not notified of a
   new connection; frames lost with the old one are then detected only by
   timeouts and gaps in token offsets.  */
static void
open_monitor (cv_entry_link_t *l, cv_target_link_t *p)
{
  char name[40];
  int zero = 0;

  (void)snprintf (name, sizeof name, "inproc://monitor-%u", l->monitor_count++);
  if (zmq_socket_monitor (p->socket, name, ZMQ_EVENT_HANDSHAKE_SUCCEEDED) != 0)
    return;
  p->monitor = zmq_socket (l->zmq, ZMQ_PAIR);
  if (p->monitor == NULL)
    return;
  (void)zmq_setsockopt (p->monitor, ZMQ_LINGER, &zero, sizeof zero);
  (void)zmq_connect (p->monitor, name);
}

static void
close_peer (cv_target_link_t *p)
{
  if (p->socket != NULL)
    (void)zmq_close (p->socket);
  if (p->monitor != NULL)
    (void)zmq_close (p->monitor);
  p->socket = NULL;
  p->monitor = NULL;
}

static void
save_instances (cv_entry_link_t *l, const cv_instance_t *list, size_t count)
{
  free (l->instances);
  l->instances = cv_calloc (count + 1, sizeof *list);
  if (count > 0)
    memcpy (l->instances, list, count * sizeof *list);
  l->instance_count = count;
}

/* Whether the target T, which is not chosen, is still needed.  */
static bool
is_target_needed (const cv_entry_link_t *l, cv_time_t now, uint32_t t)
{
  const cv_target_link_t *p = &l->peers[t];

  return cv_entry_target_requests (l->core, t) > 0
         || (p->requested_at != 0
             && now - p->requested_at < REQUESTED_KEEP_TIME);
}

/* Connects to the target I; returns its slot, or CV_NO_TARGET on failure.  */
static uint32_t
add_peer (cv_entry_link_t *l, cv_time_t now, const cv_instance_t *i)
{
  cv_target_link_t peer = { .instance = *i };
  uint32_t slot;

  if (!connect_peer (l, &peer))
    {
      close_peer (&peer);
      return CV_NO_TARGET;
    }
  slot = cv_entry_target_add (l->core, now, i->id, i->pool);
  if (slot >= l->peer_count)
    {
      uint32_t count = slot + 16;

      l->peers = cv_realloc (l->peers, count * sizeof *l->peers);
      memset (l->peers + l->peer_count, 0,
              (count - l->peer_count) * sizeof *l->peers);
      l->peer_count = count;
    }
  l->peers[slot] = peer;
  cv_entry_target_set_leaving (l->core, now, slot, i->leaving);
  cv_log (CV_EV_ENTRY_TARGET_ADDED, "target %s pool %s at %s:%u", i->id,
          i->pool, i->address, i->port);
  return slot;
}

static cv_instance_t *
find_instance (cv_instance_t *list, size_t count, const cv_instance_t *peer)
{
  for (size_t k = 0; k < count; k++)
    if (strcmp (list[k].id, peer->id) == 0
        && strcmp (list[k].pool, peer->pool) == 0
        && strcmp (list[k].address, peer->address) == 0
        && list[k].port == peer->port)
      return &list[k];
  return NULL;
}

static void
remove_peer (cv_entry_link_t *l, cv_time_t now, uint32_t target)
{
  cv_target_link_t *p = &l->peers[target];

  cv_log (CV_EV_ENTRY_TARGET_REMOVED, "target %s", p->instance.id);
  cv_entry_target_remove (l->core, now, target);
  close_peer (p);
  memset (p, 0, sizeof *p);
}
