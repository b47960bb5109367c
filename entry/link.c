/* The I/O thread of an entry: event loop, commands and outputs of the core.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <zmq.h>

#include "entry/link_internal.h"

#define ZMQ_SOCKETS_MAX 16384

static void *run_io_thread (void *arg);
static void run_commands (cv_entry_link_t *l);
static void run_command (cv_entry_link_t *l, cv_time_t now, cv_command_t *c);
static void publish_config (cv_entry_link_t *l);
static void publish_suspects (cv_entry_link_t *l);
static size_t fill_poll_items (cv_entry_link_t *l, zmq_pollitem_t **items,
                               size_t *cap, uint32_t **slots);
static void put_reply (void *arg, void *caller, const cv_reply_t *r);
static cv_id_t new_id (void *arg);

cv_entry_link_t *
cv_entry_link_new (const cv_entry_settings_t *s, cv_error_t *err)
{
  cv_entry_link_t *l = cv_calloc (1, sizeof *l);
  cv_entry_options_t o
      = { .out = { .send = cv_entry_link_send,
                   .reply = put_reply,
                   .reset = cv_entry_link_reset,
                   .connect_target = cv_entry_link_require_target,
                   .new_id = new_id,
                   .arg = l } };

  STAILQ_INIT (&l->queue);
  cv_buf_init (&l->send_frame);
  CV_INVARIANT (pthread_mutex_init (&l->lock, NULL) == 0);
  (void)cv_copy (o.instance, sizeof o.instance, s->instance);
  memcpy (l->instance, o.instance, sizeof l->instance);
  o.incarnation = cv_random_u64 ();
  (void)snprintf (l->routing_id, sizeof l->routing_id, "%s~%llx", o.instance,
                  (unsigned long long)o.incarnation);
  o.seed = cv_random_u64 ();
  l->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  l->zmq = zmq_ctx_new ();
  if (l->wake_fd < 0 || l->zmq == NULL)
    {
      (void)cv_fail (err, CV_ERR_SYSTEM,
                     "cannot create the eventfd or ZeroMQ context: %s",
                     strerror (errno));
      free (l);
      return NULL;
    }
  (void)zmq_ctx_set (l->zmq, ZMQ_MAX_SOCKETS, ZMQ_SOCKETS_MAX);
  l->core = cv_entry_new (&o);
  if (pthread_create (&l->thread, NULL, run_io_thread, l) != 0)
    {
      (void)cv_fail (err, CV_ERR_SYSTEM, "cannot start the I/O thread");
      cv_entry_free (l->core);
      (void)zmq_ctx_term (l->zmq);
      (void)close (l->wake_fd);
      free (l);
      return NULL;
    }
  return l;
}

void
cv_entry_link_free (cv_entry_link_t *l)
{
  cv_command_t *c;

  cv_entry_link_quit (l);
  (void)pthread_join (l->thread, NULL);
  while ((c = STAILQ_FIRST (&l->queue)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&l->queue, link);
      cv_entry_link_free_command (c);
    }
  cv_entry_free (l->core);
  if (l->config != NULL)
    cv_config_unref (l->config);
  free (l->suspects);
  cv_entry_link_close_peers (l);
  free (l->instances);
  (void)zmq_ctx_term (l->zmq);
  (void)close (l->wake_fd);
  cv_buf_finish (&l->send_frame);
  (void)pthread_mutex_destroy (&l->lock);
  free (l);
}

/* ---- the I/O thread ---- */

static void *
run_io_thread (void *arg)
{
  cv_entry_link_t *l = arg;
  zmq_pollitem_t *items = NULL;
  uint32_t *slots = NULL;
  size_t cap = 0;
  cv_time_t next_tick = cv_now ();

  while (!l->quit)
    {
      size_t n = fill_poll_items (l, &items, &cap, &slots);
      cv_time_t wait = next_tick - cv_now ();

      (void)zmq_poll (items, (int)n,
                      wait > 0 ? (long)((wait + CV_MS - 1) / CV_MS) : 0);
      if ((items[0].revents & ZMQ_POLLIN) != 0)
        run_commands (l);
      for (size_t i = 1; i < n; i++)
        if ((items[i].revents & ZMQ_POLLIN) == 0)
          continue;
        else if (items[i].socket == l->peers[slots[i]].monitor)
          cv_entry_link_read_monitor (l, slots[i]);
        else
          cv_entry_link_receive (l, slots[i]);
      if (cv_now () >= next_tick)
        {
          cv_entry_set_wall_clock (l->core, time (NULL));
          cv_entry_tick (l->core, cv_now ());
          next_tick = cv_now () + CV_ENTRY_TICK;
        }
      publish_config (l);
      publish_suspects (l);
    }
  free (items);
  free (slots);
  return NULL;
}

/* Fills ITEMS for zmq_poll and returns their number.  Item 0 is the eventfd of
   the command queue; the others are the sockets of the sides and their
   monitors, with the target's slot in SLOTS.  */
static size_t
fill_poll_items (cv_entry_link_t *l, zmq_pollitem_t **items, size_t *cap,
                 uint32_t **slots)
{
  size_t n = 1;

  if (*items == NULL || *cap < 2 * (size_t)l->peer_count + 1)
    {
      *cap = 2 * (size_t)l->peer_count + 16;
      *items = cv_realloc (*items, *cap * sizeof **items);
      *slots = cv_realloc (*slots, *cap * sizeof **slots);
    }
  memset (*items, 0, *cap * sizeof **items);
  (*items)[0].fd = l->wake_fd;
  (*items)[0].events = ZMQ_POLLIN;
  for (uint32_t t = 0; t < l->peer_count; t++)
    {
      if (l->peers[t].socket == NULL)
        continue;
      (*items)[n].socket = l->peers[t].socket;
      (*items)[n].events = ZMQ_POLLIN;
      (*slots)[n] = t;
      n++;
      if (l->peers[t].monitor == NULL)
        continue;
      (*items)[n].socket = l->peers[t].monitor;
      (*items)[n].events = ZMQ_POLLIN;
      (*slots)[n] = t;
      n++;
    }
  return n;
}

static void
run_commands (cv_entry_link_t *l)
{
  uint64_t count;
  cv_command_t *c;

  (void)!read (l->wake_fd, &count, sizeof count);
  for (;;)
    {
      (void)pthread_mutex_lock (&l->lock);
      c = STAILQ_FIRST (&l->queue);
      if (c != NULL)
        STAILQ_REMOVE_HEAD (&l->queue, link);
      (void)pthread_mutex_unlock (&l->lock);
      if (c == NULL)
        return;
      run_command (l, cv_now (), c);
      cv_entry_link_free_command (c);
    }
}

static void
run_command (cv_entry_link_t *l, cv_time_t now, cv_command_t *c)
{
  cv_reply_queue_t *replies = c->replies;
  cv_command_waiter_t *waiter;

  switch (c->type)
    {
    case COMMAND_SUBMIT:
      cv_entry_submit_stream (l->core, now, cv_reply_queue_ref (replies),
                              &c->u.submit);
      break;
    case COMMAND_ATTACH:
      cv_entry_attach (l->core, now, cv_reply_queue_ref (replies),
                       c->u.attach.account, &c->u.attach.first);
      break;
    case COMMAND_CALL:
      cv_entry_submit_call (l->core, now, cv_reply_queue_ref (replies),
                            &c->u.call);
      break;
    case COMMAND_NEW_TICKET:
      cv_entry_issue_ticket (l->core, now, cv_reply_queue_ref (replies),
                             c->u.pool);
      break;
    case COMMAND_CALLER_GONE:
      cv_entry_caller_gone (l->core, now, replies);
      break;
    case COMMAND_ADOPT:
      if (cv_entry_adopt_config (l->core, now, c->u.config))
        cv_log (CV_EV_ENTRY_CONFIG_ADOPTED, "version %llu",
                (unsigned long long)c->u.config->version);
      cv_entry_config_confirmed (l->core, c->read_start, c->u.config->version);
      break;
    case COMMAND_STORE_FAILED:
      cv_entry_store_failed (l->core, c->read_start);
      break;
    case COMMAND_SET_INSTANCES:
      (void)pthread_mutex_lock (&l->lock);
      l->entries = c->u.instances.entries;
      l->has_instance_list = true;
      (void)pthread_mutex_unlock (&l->lock);
      cv_entry_set_entries (l->core, c->u.instances.entries);
      cv_entry_link_apply_instances (l, now, c->u.instances.list,
                                     c->u.instances.count);
      break;
    case COMMAND_MERGE_SUSPECTS:
      (void)cv_entry_suspects_merge (l->core, now, cv_slice (c->bytes));
      break;
    case COMMAND_REFUSE_NEW:
      cv_entry_refuse_new (l->core);
      break;
    case COMMAND_END_REQUESTS:
      cv_entry_end_requests (l->core, now);
      break;
    case COMMAND_INSPECT:
      c->u.inspect.fn (l->core, now, c->u.inspect.arg);
      waiter = c->u.inspect.waiter;
      (void)pthread_mutex_lock (&waiter->lock);
      waiter->done = true;
      (void)pthread_cond_signal (&waiter->done_cond);
      (void)pthread_mutex_unlock (&waiter->lock);
      break;
    case COMMAND_QUIT:
      l->quit = true;
      break;
    }
}

static void
publish_config (cv_entry_link_t *l)
{
  cv_config_t *config = cv_entry_config (l->core);
  cv_config_t *old;

  if (config == l->config)
    return;
  (void)pthread_mutex_lock (&l->lock);
  old = l->config;
  l->config = cv_config_ref (config);
  (void)pthread_mutex_unlock (&l->lock);
  if (old != NULL)
    cv_config_unref (old);
}

static void
publish_suspects (cv_entry_link_t *l)
{
  cv_slice_t json;
  uint64_t version = cv_entry_suspects (l->core, &json);
  char *old;

  if (version == l->suspects_version)
    return;
  (void)pthread_mutex_lock (&l->lock);
  old = l->suspects;
  l->suspects = cv_strdup_n (json.p, json.n);
  l->suspects_version = version;
  (void)pthread_mutex_unlock (&l->lock);
  free (old);
}

/* ---- outputs of the core ---- */

static void
put_reply (void *arg, void *caller, const cv_reply_t *r)
{
  cv_reply_queue_t *replies = caller;

  (void)arg;
  cv_reply_queue_put (replies, r);
  if (r->type != CV_REPLY_TOKENS)
    cv_reply_queue_unref (replies);
}

static cv_id_t
new_id (void *arg)
{
  (void)arg;
  return cv_id_random ();
}
