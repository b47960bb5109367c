/* The I/O thread of an entry and the queue in front of it.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <zmq.h>

#include "entry/link_internal.h"

#define ZMQ_SOCKETS_MAX 16384

static void *run (void *arg);
static void run_commands (cv_entry_link_t *l);
static void run_command (cv_entry_link_t *l, cv_time_t now, cv_command_t *c);
static void free_command (cv_command_t *c);
static void publish_config (cv_entry_link_t *l);
static void publish_suspects (cv_entry_link_t *l);
static void push (cv_entry_link_t *l, cv_command_t *c);
static cv_command_t *command (cv_command_type_t type, cv_caller_t *caller);
static cv_slice_t move_in (char **at, cv_slice_t s);
static size_t poll_items (cv_entry_link_t *l, zmq_pollitem_t **items,
                          size_t *cap, uint32_t **slots);
static void reply (void *arg, void *caller, const cv_reply_t *r);
static cv_id_t new_id (void *arg);

cv_entry_link_t *
cv_entry_link_new (const cv_entry_settings_t *s, cv_error_t *err)
{
  cv_entry_link_t *l = cv_calloc (1, sizeof *l);
  cv_entry_options_t o = { .out = { .send = cv_entry_link_send,
                                    .reply = reply,
                                    .reset = cv_entry_link_reset,
                                    .new_id = new_id,
                                    .arg = l } };

  STAILQ_INIT (&l->queue);
  cv_buf_init (&l->frame);
  CV_INVARIANT (pthread_mutex_init (&l->lock, NULL) == 0);
  (void)cv_copy (o.instance, sizeof o.instance, s->instance);
  o.incarnation = cv_u64_random ();
  (void)snprintf (l->routing_id, sizeof l->routing_id, "%s~%llx", o.instance,
                  (unsigned long long)o.incarnation);
  o.seed = cv_u64_random ();
  l->wake = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  l->zmq = zmq_ctx_new ();
  if (l->wake < 0 || l->zmq == NULL)
    {
      (void)cv_fail (err, CV_ERR_SYSTEM, "I/O thread: %s", strerror (errno));
      free (l);
      return NULL;
    }
  (void)zmq_ctx_set (l->zmq, ZMQ_MAX_SOCKETS, ZMQ_SOCKETS_MAX);
  l->core = cv_entry_new (&o);
  if (pthread_create (&l->thread, NULL, run, l) != 0)
    {
      (void)cv_fail (err, CV_ERR_SYSTEM, "I/O thread cannot be started");
      cv_entry_free (l->core);
      (void)zmq_ctx_term (l->zmq);
      (void)close (l->wake);
      free (l);
      return NULL;
    }
  return l;
}

void
cv_entry_link_free (cv_entry_link_t *l)
{
  cv_command_t *c;

  push (l, command (COMMAND_QUIT, NULL));
  (void)pthread_join (l->thread, NULL);
  while ((c = STAILQ_FIRST (&l->queue)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&l->queue, link);
      free_command (c);
    }
  cv_entry_free (l->core);
  if (l->config != NULL)
    cv_config_unref (l->config);
  free (l->suspects);
  cv_entry_link_close_peers (l);
  (void)zmq_ctx_term (l->zmq);
  (void)close (l->wake);
  cv_buf_finish (&l->frame);
  (void)pthread_mutex_destroy (&l->lock);
  free (l);
}

void
cv_entry_link_submit (cv_entry_link_t *l, cv_caller_t *caller,
                      const cv_stream_spec_t *spec)
{
  cv_command_t *c = command (COMMAND_SUBMIT, caller);

  c->u.submit = *spec;
  c->bytes = cv_strdup_n (spec->prompt.p, spec->prompt.n);
  c->u.submit.prompt.p = c->bytes;
  push (l, c);
}

void
cv_entry_link_attach (cv_entry_link_t *l, cv_caller_t *caller,
                      const char *account, const cv_position_t *first)
{
  cv_command_t *c = command (COMMAND_ATTACH, caller);

  (void)cv_copy (c->u.attach.account, sizeof c->u.attach.account, account);
  c->u.attach.first = *first;
  push (l, c);
}

void
cv_entry_link_call (cv_entry_link_t *l, cv_caller_t *caller,
                    const cv_call_spec_t *spec)
{
  cv_command_t *c = command (COMMAND_CALL, caller);
  char *at;

  c->u.call = *spec;
  c->bytes
      = cv_calloc (1, spec->path.n + spec->content_type.n + spec->body.n + 1);
  at = c->bytes;
  c->u.call.path = move_in (&at, spec->path);
  c->u.call.content_type = move_in (&at, spec->content_type);
  c->u.call.body = move_in (&at, spec->body);
  push (l, c);
}

void
cv_entry_link_ticket (cv_entry_link_t *l, cv_caller_t *caller, const char *pool)
{
  cv_command_t *c = command (COMMAND_TICKET, caller);

  (void)cv_copy (c->u.pool, sizeof c->u.pool, pool);
  push (l, c);
}

void
cv_entry_link_gone (cv_entry_link_t *l, cv_caller_t *caller)
{
  push (l, command (COMMAND_GONE, caller));
}

void
cv_entry_link_adopt (cv_entry_link_t *l, cv_config_t *config)
{
  cv_command_t *c = command (COMMAND_ADOPT, NULL);

  c->u.config = cv_config_ref (config);
  push (l, c);
}

void
cv_entry_link_instances (cv_entry_link_t *l, const cv_instance_t *list,
                         size_t count, uint32_t entries)
{
  cv_command_t *c = command (COMMAND_INSTANCES, NULL);

  c->u.instances.list = cv_calloc (count + 1, sizeof *list);
  if (count > 0)
    memcpy (c->u.instances.list, list, count * sizeof *list);
  c->u.instances.count = count;
  c->u.instances.entries = entries;
  push (l, c);
}

void
cv_entry_link_merge_suspects (cv_entry_link_t *l, const char *json)
{
  cv_command_t *c = command (COMMAND_SUSPECTS, NULL);

  c->bytes = cv_strdup_n (json, strlen (json));
  push (l, c);
}

char *
cv_entry_link_suspects (cv_entry_link_t *l, uint64_t *version)
{
  char *text = NULL;

  (void)pthread_mutex_lock (&l->lock);
  *version = l->suspects_version;
  if (l->suspects != NULL)
    text = cv_strdup_n (l->suspects, strlen (l->suspects));
  (void)pthread_mutex_unlock (&l->lock);
  return text;
}

uint32_t
cv_entry_link_entries (cv_entry_link_t *l)
{
  uint32_t n;

  (void)pthread_mutex_lock (&l->lock);
  n = l->entries;
  (void)pthread_mutex_unlock (&l->lock);
  return n;
}

void
cv_entry_link_drain (cv_entry_link_t *l)
{
  push (l, command (COMMAND_DRAIN, NULL));
}

void
cv_entry_link_inspect (cv_entry_link_t *l,
                       void (*fn) (cv_entry_core_t *core, cv_time_t now,
                                   void *arg),
                       void *arg)
{
  cv_command_t *c = command (COMMAND_INSPECT, NULL);
  cv_waiter_t w = { .done = false };

  CV_INVARIANT (pthread_mutex_init (&w.lock, NULL) == 0);
  CV_INVARIANT (pthread_cond_init (&w.done_cond, NULL) == 0);
  c->u.inspect.fn = fn;
  c->u.inspect.arg = arg;
  c->u.inspect.waiter = &w;
  push (l, c);
  (void)pthread_mutex_lock (&w.lock);
  while (!w.done)
    (void)pthread_cond_wait (&w.done_cond, &w.lock);
  (void)pthread_mutex_unlock (&w.lock);
  (void)pthread_cond_destroy (&w.done_cond);
  (void)pthread_mutex_destroy (&w.lock);
}

cv_config_t *
cv_entry_link_config (cv_entry_link_t *l)
{
  cv_config_t *config;

  (void)pthread_mutex_lock (&l->lock);
  config = l->config == NULL ? NULL : cv_config_ref (l->config);
  (void)pthread_mutex_unlock (&l->lock);
  return config;
}

/* ---- the I/O thread ---- */

static void *
run (void *arg)
{
  cv_entry_link_t *l = arg;
  zmq_pollitem_t *items = NULL;
  uint32_t *slots = NULL;
  size_t cap = 0;
  cv_time_t next_tick = cv_now ();

  while (!l->quit)
    {
      size_t n = poll_items (l, &items, &cap, &slots);
      cv_time_t wait = next_tick - cv_now ();

      (void)zmq_poll (items, (int)n,
                      wait > 0 ? (long)((wait + CV_MS - 1) / CV_MS) : 0);
      if ((items[0].revents & ZMQ_POLLIN) != 0)
        run_commands (l);
      for (size_t i = 1; i < n; i++)
        if ((items[i].revents & ZMQ_POLLIN) == 0)
          continue;
        else if (items[i].socket == l->peers[slots[i]].monitor)
          cv_entry_link_watch (l, slots[i]);
        else
          cv_entry_link_receive (l, slots[i]);
      if (cv_now () >= next_tick)
        {
          cv_entry_wall (l->core, time (NULL));
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

/* Item 0 is the queue's eventfd, the others are the sides and monitors.  */
static size_t
poll_items (cv_entry_link_t *l, zmq_pollitem_t **items, size_t *cap,
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
  (*items)[0].fd = l->wake;
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

  (void)!read (l->wake, &count, sizeof count);
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
      free_command (c);
    }
}

static void
run_command (cv_entry_link_t *l, cv_time_t now, cv_command_t *c)
{
  cv_caller_t *caller = c->caller;
  cv_waiter_t *w;

  switch (c->type)
    {
    case COMMAND_SUBMIT:
      cv_entry_submit (l->core, now, cv_caller_ref (caller), &c->u.submit);
      break;
    case COMMAND_ATTACH:
      cv_entry_attach (l->core, now, cv_caller_ref (caller),
                       c->u.attach.account, &c->u.attach.first);
      break;
    case COMMAND_CALL:
      cv_entry_call (l->core, now, cv_caller_ref (caller), &c->u.call);
      break;
    case COMMAND_TICKET:
      cv_entry_ticket (l->core, now, cv_caller_ref (caller), c->u.pool);
      break;
    case COMMAND_GONE:
      cv_entry_gone (l->core, now, caller);
      break;
    case COMMAND_ADOPT:
      if (cv_entry_adopt (l->core, now, c->u.config))
        cv_log (CV_EV_ENTRY_CONFIG_ADOPTED, "version %llu",
                (unsigned long long)c->u.config->version);
      cv_entry_confirmed (l->core, now, c->u.config->version);
      break;
    case COMMAND_INSTANCES:
      l->entries = c->u.instances.entries;
      cv_entry_link_apply_instances (l, now, c->u.instances.list,
                                     c->u.instances.count);
      break;
    case COMMAND_SUSPECTS:
      (void)cv_entry_suspects_merge (l->core, now, cv_slice (c->bytes));
      break;
    case COMMAND_DRAIN:
      cv_entry_stop (l->core);
      break;
    case COMMAND_INSPECT:
      c->u.inspect.fn (l->core, now, c->u.inspect.arg);
      w = c->u.inspect.waiter;
      (void)pthread_mutex_lock (&w->lock);
      w->done = true;
      (void)pthread_cond_signal (&w->done_cond);
      (void)pthread_mutex_unlock (&w->lock);
      break;
    case COMMAND_QUIT:
      l->quit = true;
      break;
    }
}

static void
free_command (cv_command_t *c)
{
  if (c->type == COMMAND_ADOPT)
    cv_config_unref (c->u.config);
  if (c->type == COMMAND_INSTANCES)
    free (c->u.instances.list);
  if (c->caller != NULL)
    cv_caller_unref (c->caller);
  free (c->bytes);
  free (c);
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

static void
push (cv_entry_link_t *l, cv_command_t *c)
{
  uint64_t one = 1;

  (void)pthread_mutex_lock (&l->lock);
  STAILQ_INSERT_TAIL (&l->queue, c, link);
  (void)pthread_mutex_unlock (&l->lock);
  (void)!write (l->wake, &one, sizeof one);
}

static cv_command_t *
command (cv_command_type_t type, cv_caller_t *caller)
{
  cv_command_t *c = cv_calloc (1, sizeof *c);

  c->type = type;
  c->caller = caller == NULL ? NULL : cv_caller_ref (caller);
  return c;
}

static cv_slice_t
move_in (char **at, cv_slice_t s)
{
  cv_slice_t moved = { .p = *at, .n = s.n };

  if (s.n > 0)
    memcpy (*at, s.p, s.n);
  *at += s.n;
  return moved;
}

/* ---- outputs of the core ---- */

static void
reply (void *arg, void *caller, const cv_reply_t *r)
{
  cv_caller_t *c = caller;

  (void)arg;
  cv_caller_put (c, r);
  if (r->type != CV_REPLY_TOKENS)
    cv_caller_unref (c);
}

static cv_id_t
new_id (void *arg)
{
  (void)arg;
  return cv_id_random ();
}
