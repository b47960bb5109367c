/* Command queue of the I/O thread: functions called by other threads.  */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "entry/link_internal.h"

static void enqueue (cv_entry_link_t *l, cv_command_t *c);
static cv_command_t *new_command (cv_command_type_t type,
                                  cv_reply_queue_t *replies);
static cv_slice_t copy_slice (char **next, cv_slice_t s);

void
cv_entry_link_submit (cv_entry_link_t *l, cv_reply_queue_t *replies,
                      const cv_stream_spec_t *spec)
{
  cv_command_t *c = new_command (COMMAND_SUBMIT, replies);

  c->u.submit = *spec;
  c->bytes = cv_strdup_n (spec->prompt.p, spec->prompt.n);
  c->u.submit.prompt.p = c->bytes;
  enqueue (l, c);
}

void
cv_entry_link_attach (cv_entry_link_t *l, cv_reply_queue_t *replies,
                      const char *account, const cv_position_t *first)
{
  cv_command_t *c = new_command (COMMAND_ATTACH, replies);

  (void)cv_copy (c->u.attach.account, sizeof c->u.attach.account, account);
  c->u.attach.first = *first;
  enqueue (l, c);
}

void
cv_entry_link_call (cv_entry_link_t *l, cv_reply_queue_t *replies,
                    const cv_call_spec_t *spec)
{
  cv_command_t *c = new_command (COMMAND_CALL, replies);
  char *next;

  c->u.call = *spec;
  c->bytes
      = cv_calloc (1, spec->path.n + spec->content_type.n + spec->body.n + 1);
  next = c->bytes;
  c->u.call.path = copy_slice (&next, spec->path);
  c->u.call.content_type = copy_slice (&next, spec->content_type);
  c->u.call.body = copy_slice (&next, spec->body);
  enqueue (l, c);
}

void
cv_entry_link_ticket (cv_entry_link_t *l, cv_reply_queue_t *replies,
                      const char *pool)
{
  cv_command_t *c = new_command (COMMAND_NEW_TICKET, replies);

  (void)cv_copy (c->u.pool, sizeof c->u.pool, pool);
  enqueue (l, c);
}

void
cv_entry_link_caller_gone (cv_entry_link_t *l, cv_reply_queue_t *replies)
{
  enqueue (l, new_command (COMMAND_CALLER_GONE, replies));
}

void
cv_entry_link_adopt (cv_entry_link_t *l, cv_time_t read_start,
                     cv_config_t *config)
{
  cv_command_t *c = new_command (COMMAND_ADOPT, NULL);

  c->read_start = read_start;
  c->u.config = cv_config_ref (config);
  enqueue (l, c);
}

void
cv_entry_link_store_failed (cv_entry_link_t *l, cv_time_t read_start)
{
  cv_command_t *c = new_command (COMMAND_STORE_FAILED, NULL);

  c->read_start = read_start;
  enqueue (l, c);
}

void
cv_entry_link_set_instances (cv_entry_link_t *l, const cv_instance_t *list,
                             size_t count, uint32_t entries)
{
  cv_command_t *c = new_command (COMMAND_SET_INSTANCES, NULL);

  c->u.instances.list = cv_calloc (count + 1, sizeof *list);
  if (count > 0)
    memcpy (c->u.instances.list, list, count * sizeof *list);
  c->u.instances.count = count;
  c->u.instances.entries = entries;
  enqueue (l, c);
}

void
cv_entry_link_merge_suspects (cv_entry_link_t *l, const char *json)
{
  cv_command_t *c = new_command (COMMAND_MERGE_SUSPECTS, NULL);

  c->bytes = cv_strdup_n (json, strlen (json));
  enqueue (l, c);
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
cv_entry_link_entry_count (cv_entry_link_t *l)
{
  uint32_t n;

  (void)pthread_mutex_lock (&l->lock);
  n = l->entries > 0 || !l->has_instance_list ? l->entries : 1;
  (void)pthread_mutex_unlock (&l->lock);
  return n;
}

void
cv_entry_link_refuse_new (cv_entry_link_t *l)
{
  enqueue (l, new_command (COMMAND_REFUSE_NEW, NULL));
}

void
cv_entry_link_end_requests (cv_entry_link_t *l)
{
  enqueue (l, new_command (COMMAND_END_REQUESTS, NULL));
}

void
cv_entry_link_inspect (cv_entry_link_t *l,
                       void (*fn) (cv_entry_core_t *core, cv_time_t now,
                                   void *arg),
                       void *arg)
{
  cv_command_t *c = new_command (COMMAND_INSPECT, NULL);
  cv_command_waiter_t w = { .done = false };

  CV_INVARIANT (pthread_mutex_init (&w.lock, NULL) == 0);
  CV_INVARIANT (pthread_cond_init (&w.done_cond, NULL) == 0);
  c->u.inspect.fn = fn;
  c->u.inspect.arg = arg;
  c->u.inspect.waiter = &w;
  enqueue (l, c);
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

void
cv_entry_link_quit (cv_entry_link_t *l)
{
  enqueue (l, new_command (COMMAND_QUIT, NULL));
}

void
cv_entry_link_free_command (cv_command_t *c)
{
  if (c->type == COMMAND_ADOPT)
    cv_config_unref (c->u.config);
  if (c->type == COMMAND_SET_INSTANCES)
    free (c->u.instances.list);
  if (c->replies != NULL)
    cv_reply_queue_unref (c->replies);
  free (c->bytes);
  free (c);
}

static void
enqueue (cv_entry_link_t *l, cv_command_t *c)
{
  uint64_t one = 1;

  (void)pthread_mutex_lock (&l->lock);
  STAILQ_INSERT_TAIL (&l->queue, c, link);
  (void)pthread_mutex_unlock (&l->lock);
  (void)!write (l->wake_fd, &one, sizeof one);
}

static cv_command_t *
new_command (cv_command_type_t type, cv_reply_queue_t *replies)
{
  cv_command_t *c = cv_calloc (1, sizeof *c);

  c->type = type;
  c->replies = replies == NULL ? NULL : cv_reply_queue_ref (replies);
  return c;
}

static cv_slice_t
copy_slice (char **next, cv_slice_t s)
{
  cv_slice_t copy = { .p = *next, .n = s.n };

  if (s.n > 0)
    memcpy (*next, s.p, s.n);
  *next += s.n;
  return copy;
}
