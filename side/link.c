/* Connections of entries.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "side/link.h"

#define SEND_QUEUE_MESSAGES 100000 /* per entry */
#define RECEIVE_QUEUE_MESSAGES 10000
#define LINGER_MS 2000
#define RECEIVE_BATCH_MESSAGES 256
#define FRAME_OVERHEAD_BYTES (64 * 1024) /* of a frame beyond its body */

static bool set_int_option (void *socket, int option, int value);
static bool open_socket (cv_link_t *l, const char *bind, cv_error_t *err);
static bool receive (cv_link_t *l, cv_side_core_t *core);
static void handle_frame (cv_link_t *l, cv_side_core_t *core,
                          zmq_msg_t *identity, zmq_msg_t *frame);
static uint32_t find_or_add_peer (cv_link_t *l, const void *identity,
                                  size_t size);

bool
cv_link_init (cv_link_t *l, const char *bind, cv_error_t *err)
{
  *l = (cv_link_t){ .fd = -1 };
  cv_buf_init (&l->out);
  if (open_socket (l, bind, err))
    return true;
  cv_link_finish (l);
  return false;
}

void
cv_link_finish (cv_link_t *l)
{
  if (l->socket != NULL)
    (void)zmq_close (l->socket);
  if (l->context != NULL)
    (void)zmq_ctx_term (l->context);
  l->socket = NULL;
  l->context = NULL;
  free (l->peers);
  l->peers = NULL;
  cv_buf_finish (&l->out);
}

bool
cv_link_receive (cv_link_t *l, cv_side_core_t *core)
{
  int i;

  for (i = 0; i < RECEIVE_BATCH_MESSAGES; i++)
    if (!receive (l, core))
      return false;
  return true;
}

void
cv_link_send (cv_link_t *l, uint32_t peer, const cv_msg_t *msg)
{
  cv_link_peer_t *p;

  CV_INVARIANT (peer < l->peer_count && l->peers[peer].used);
  p = &l->peers[peer];
  if (p->failed)
    return;
  cv_buf_reset (&l->out);
  cv_msg_encode (msg, &l->out);
  if (zmq_send (l->socket, p->identity, p->identity_size,
                ZMQ_SNDMORE | ZMQ_DONTWAIT)
          >= 0
      && zmq_send (l->socket, l->out.p, l->out.n, ZMQ_DONTWAIT) >= 0)
    return;
  p->failed = true;
  l->any_failed = true;
}

void
cv_link_free_peer (cv_link_t *l, uint32_t peer)
{
  CV_INVARIANT (peer < l->peer_count);
  l->peers[peer].used = false;
}

void
cv_link_report_failed (cv_link_t *l, cv_side_core_t *core)
{
  uint32_t i;

  if (!l->any_failed)
    return;
  l->any_failed = false;
  for (i = 0; i < l->peer_count; i++)
    if (l->peers[i].used && l->peers[i].failed)
      cv_side_peer_lost (core, cv_now (), i);
}

static bool
set_int_option (void *socket, int option, int value)
{
  return zmq_setsockopt (socket, option, &value, sizeof value) == 0;
}

static bool
open_socket (cv_link_t *l, const char *bind, cv_error_t *err)
{
  size_t size = sizeof l->fd;
  int64_t max_bytes = (int64_t)CV_BODY_MAX + FRAME_OVERHEAD_BYTES;

  l->context = zmq_ctx_new ();
  if (l->context != NULL)
    l->socket = zmq_socket (l->context, ZMQ_ROUTER);
  if (l->socket == NULL || !set_int_option (l->socket, ZMQ_ROUTER_MANDATORY, 1)
      || !set_int_option (l->socket, ZMQ_ROUTER_HANDOVER, 1)
      || !set_int_option (l->socket, ZMQ_SNDHWM, SEND_QUEUE_MESSAGES)
      || !set_int_option (l->socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES)
      || !set_int_option (l->socket, ZMQ_LINGER, LINGER_MS)
      || zmq_setsockopt (l->socket, ZMQ_MAXMSGSIZE, &max_bytes,
                         sizeof max_bytes)
             != 0)
    return cv_fail (err, CV_ERR_SYSTEM,
                    "cannot set up a ZeroMQ ROUTER socket: %s",
                    zmq_strerror (errno));
  if (zmq_bind (l->socket, bind) != 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot bind %s: %s", bind,
                    zmq_strerror (errno));
  if (zmq_getsockopt (l->socket, ZMQ_FD, &l->fd, &size) != 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot get the descriptor of %s: %s",
                    bind, zmq_strerror (errno));
  return true;
}

/* Receive one message; false when there is none.  A message of more than one
   frame after the identity is dropped.  */
static bool
receive (cv_link_t *l, cv_side_core_t *core)
{
  zmq_msg_t identity;
  zmq_msg_t frame;
  bool received;

  zmq_msg_init (&identity);
  zmq_msg_init (&frame);
  received = zmq_msg_recv (&identity, l->socket, ZMQ_DONTWAIT) >= 0;
  if (received && zmq_msg_more (&identity)
      && zmq_msg_recv (&frame, l->socket, ZMQ_DONTWAIT) >= 0)
    {
      bool is_last = !zmq_msg_more (&frame);
      zmq_msg_t rest;

      if (is_last)
        handle_frame (l, core, &identity, &frame);
      while (!is_last)
        {
          zmq_msg_init (&rest);
          is_last = zmq_msg_recv (&rest, l->socket, ZMQ_DONTWAIT) < 0
                    || !zmq_msg_more (&rest);
          zmq_msg_close (&rest);
        }
    }
  zmq_msg_close (&identity);
  zmq_msg_close (&frame);
  return received;
}

static void
handle_frame (cv_link_t *l, cv_side_core_t *core, zmq_msg_t *identity,
              zmq_msg_t *frame)
{
  cv_msg_t msg;
  cv_error_t err = { 0 };
  uint32_t peer;

  if (!cv_msg_decode (&msg, zmq_msg_data (frame), zmq_msg_size (frame), &err))
    {
      cv_log (CV_EV_SIDE_BAD_MESSAGE, "%s", err.text);
      return;
    }
  peer = find_or_add_peer (l, zmq_msg_data (identity), zmq_msg_size (identity));
  cv_side_message (core, cv_now (), peer, &msg);
}

/* The peer number of IDENTITY; a new identity gets a free number.  */
static uint32_t
find_or_add_peer (cv_link_t *l, const void *identity, size_t size)
{
  uint64_t hash = cv_hash (identity, size, 0);
  uint32_t free_index = l->peer_count;
  cv_link_peer_t *p;
  uint32_t i;

  CV_INVARIANT (size <= CV_LINK_IDENTITY_MAX_BYTES);
  for (i = 0; i < l->peer_count; i++)
    {
      p = &l->peers[i];
      if (p->used && p->identity_hash == hash && p->identity_size == size
          && memcmp (p->identity, identity, size) == 0)
        return i;
      if (!p->used && free_index == l->peer_count)
        free_index = i;
    }
  if (free_index == l->peer_count)
    l->peers = cv_realloc (l->peers, ++l->peer_count * sizeof *l->peers);
  p = &l->peers[free_index];
  *p = (cv_link_peer_t){ .used = true,
                         .identity_hash = hash,
                         .identity_size = size };
  memcpy (p->identity, identity, size);
  return free_index;
}
