/* Streams: their table, token buffers, readers and replay.  */

#include <stdlib.h>
#include <string.h>

#include "side/core.h"

#define SLOTS_INITIAL 64
#define UNKNOWN_MODEL_MAX_TOKENS 8192 /* model not in the configuration */

static bool admit_stream (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                          const cv_msg_submit_t *m);
static cv_stream_t *stream_new (cv_side_core_t *c, const cv_msg_submit_t *m);
static void stream_free (cv_side_core_t *c, cv_time_t now, cv_stream_t *s);
static uint32_t slot_alloc (cv_side_core_t *c, cv_stream_t *s);
static void attach_reader (cv_side_core_t *c, cv_stream_t *s, uint32_t peer,
                           uint32_t offset);
static void discard (cv_side_core_t *c, cv_time_t now, cv_stream_t *s);
static void send_tokens (cv_side_core_t *c, cv_stream_t *s);
static void send_end (cv_side_core_t *c, cv_stream_t *s);
static bool limit_buffers (cv_side_core_t *c, cv_time_t now);
static void discard_unread (cv_side_core_t *c, cv_time_t now, bool ended);
static void tombstone_add (cv_side_core_t *c, cv_time_t now, cv_id_t id);
static void tombstone_remove (cv_side_core_t *c, cv_tombstone_t *t);
static cv_stream_t *find_stream (const cv_side_core_t *c, cv_id_t id);

void
cv_streams_init (cv_side_core_t *c)
{
  cv_idmap_init (&c->stream_ids);
  cv_idmap_init (&c->tombstone_ids);
  TAILQ_INIT (&c->streams);
  TAILQ_INIT (&c->dirty);
  TAILQ_INIT (&c->tombstones);
}

void
cv_streams_finish (cv_side_core_t *c)
{
  cv_stream_t *s;
  cv_tombstone_t *t;

  while ((s = TAILQ_FIRST (&c->streams)) != NULL)
    stream_free (c, 0, s);
  while ((t = TAILQ_FIRST (&c->tombstones)) != NULL)
    tombstone_remove (c, t);
  cv_idmap_finish (&c->stream_ids);
  cv_idmap_finish (&c->tombstone_ids);
  free (c->slots);
}

/* ---- messages ---- */

void
cv_streams_submit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                   const cv_msg_submit_t *m)
{
  cv_stream_t *s = find_stream (c, m->stream);
  uint32_t retry_after_ms = CV_RETRY_AFTER_DEFAULT_MS;

  c->counts.submits++;
  if (m->incarnation != c->settings.incarnation)
    {
      cv_side_reject (c, peer, m->stream, CV_REJECT_OLD_EPOCH, 0);
      return;
    }
  if (s != NULL && strcmp (s->account, m->account) == 0)
    {
      attach_reader (c, s, peer, 0);
      return;
    }
  if (s != NULL || cv_idmap_find (&c->tombstone_ids, m->stream) != NULL)
    {
      cv_side_reject (c, peer, m->stream, CV_REJECT_NOT_FOUND, 0);
      return;
    }
  if (!admit_stream (c, now, peer, m))
    {
      tombstone_add (c, now, m->stream);
      return;
    }
  if (!limit_buffers (c, now))
    {
      cv_side_reject (c, peer, m->stream, CV_REJECT_NO_MEMORY,
                      CV_RETRY_AFTER_DEFAULT_MS);
      tombstone_add (c, now, m->stream);
      return;
    }
  s = stream_new (c, m);
  s->deadline = now + m->deadline_ms * CV_MS;
  if (cv_running_enqueue (c, now, s, &retry_after_ms))
    {
      attach_reader (c, s, peer, 0);
      return;
    }
  cv_side_reject (c, peer, m->stream, CV_REJECT_NO_MEMORY, retry_after_ms);
  stream_free (c, now, s);
}

void
cv_streams_attach (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                   const cv_msg_attach_t *m)
{
  cv_stream_t *s = find_stream (c, m->stream);

  (void)now;
  if (m->incarnation != c->settings.incarnation)
    {
      cv_side_reject (c, peer, m->stream, CV_REJECT_OLD_EPOCH, 0);
      return;
    }
  if (s == NULL || strcmp (s->account, m->account) != 0 || m->offset > s->count)
    {
      cv_side_reject (c, peer, m->stream, CV_REJECT_NOT_FOUND, 0);
      return;
    }
  attach_reader (c, s, peer, m->offset);
}

void
cv_streams_detach (cv_side_core_t *c, cv_time_t now, uint32_t peer, cv_id_t id)
{
  cv_stream_t *s = find_stream (c, id);

  if (s == NULL || s->peer != peer)
    return; /* another entry reads it now */
  s->peer = CV_NO_PEER;
  s->idle_since = now;
}

void
cv_streams_cancel (cv_side_core_t *c, cv_time_t now, uint32_t peer, cv_id_t id)
{
  cv_stream_t *s = find_stream (c, id);

  if (s == NULL)
    {
      /* A SUBMIT that arrives later must not start the stream.  */
      tombstone_add (c, now, id);
      return;
    }
  if (s->peer != peer && s->peer != CV_NO_PEER)
    return; /* another entry reads it now */
  discard (c, now, s);
}

void
cv_streams_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer)
{
  cv_stream_t *s;

  TAILQ_FOREACH (s, &c->streams, link)
  if (s->peer == peer)
    {
      s->peer = CV_NO_PEER;
      s->idle_since = now;
    }
}

/* ---- lifecycle ---- */

cv_stream_t *
cv_streams_lookup (cv_side_core_t *c, cv_stream_ref_t ref)
{
  cv_stream_t *s;

  if (ref.slot >= c->slot_count)
    return NULL;
  s = c->slots[ref.slot];
  if (s == NULL || s->state == CV_STREAM_ENDED
      || !cv_id_equal (s->node.id, ref.id))
    return NULL;
  return s;
}

void
cv_streams_end (cv_side_core_t *c, cv_time_t now, cv_stream_t *s, cv_end_t end)
{
  CV_INVARIANT (s->state != CV_STREAM_ENDED);
  cv_running_remove (c, now, s, end == CV_END_STOP);
  s->state = CV_STREAM_ENDED;
  s->end = end;
  if (s->peer != CV_NO_PEER)
    s->idle_since = now;
  c->counts.ends++;
  cv_streams_mark_dirty (c, s);
}

void
cv_streams_reject (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                   cv_reject_t reason, uint32_t retry_after_ms)
{
  CV_INVARIANT (s->state == CV_STREAM_WAITING && !s->at_engine);
  cv_side_reject (c, s->peer, s->node.id, reason, retry_after_ms);
  cv_running_remove (c, now, s, false);
  stream_free (c, now, s);
}

void
cv_streams_mark_dirty (cv_side_core_t *c, cv_stream_t *s)
{
  if (s->dirty)
    return;
  s->dirty = true;
  TAILQ_INSERT_TAIL (&c->dirty, s, dirty_link);
}

void
cv_streams_tick (cv_side_core_t *c, cv_time_t now)
{
  cv_stream_t *s;
  cv_tombstone_t *t;

  if (now - c->last_sweep < CV_SWEEP_INTERVAL)
    return;
  c->last_sweep = now;
  (void)limit_buffers (c, now);
  s = TAILQ_FIRST (&c->streams);
  while (s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);
      bool is_idle = s->peer == CV_NO_PEER || s->end_sent;

      if (is_idle && now - s->idle_since >= c->settings.resume)
        discard (c, now, s);
      s = next;
    }
  while ((t = TAILQ_FIRST (&c->tombstones)) != NULL
         && now - t->since >= CV_TOMBSTONE_AGE)
    tombstone_remove (c, t);
}

void
cv_streams_flush (cv_side_core_t *c)
{
  cv_stream_t *s;

  while ((s = TAILQ_FIRST (&c->dirty)) != NULL)
    {
      TAILQ_REMOVE (&c->dirty, s, dirty_link);
      s->dirty = false;
      if (s->peer == CV_NO_PEER)
        continue;
      while (s->sent < s->count)
        send_tokens (c, s);
      if (s->state == CV_STREAM_ENDED && !s->end_sent)
        send_end (c, s);
    }
}

/* ---- helpers ---- */

/* Whether a new stream may be admitted; sends the rejection when not.  */
static bool
admit_stream (cv_side_core_t *c, cv_time_t now, uint32_t peer,
              const cv_msg_submit_t *m)
{
  cv_reject_t reason;

  if (cv_side_can_admit (c, now, peer, CV_POOL_ENGINE, m->config_version,
                         m->content_hash, &reason))
    return true;
  cv_side_reject (c, peer, m->stream, reason, 0);
  return false;
}

static cv_stream_t *
stream_new (cv_side_core_t *c, const cv_msg_submit_t *m)
{
  cv_stream_t *s = cv_calloc (1, sizeof *s);
  const cv_model_t *model = NULL;

  (void)cv_copy (s->account, sizeof s->account, m->account);
  (void)cv_copy (s->model, sizeof s->model, m->model);
  s->length_key.account = cv_hash (m->account, strlen (m->account), 0);
  s->length_key.class_id = cv_hash (m->class_name, strlen (m->class_name), 0);
  s->length_key.model = cv_hash (m->model, strlen (m->model), 0);
  s->content_hash = m->content_hash;
  s->priority = m->priority;
  s->max_tokens = m->max_tokens;
  if (c->config != NULL)
    model = cv_config_model (c->config, m->model);
  if (s->max_tokens == 0)
    s->max_tokens
        = model != NULL ? model->max_tokens : UNKNOWN_MODEL_MAX_TOKENS;
  s->prompt = cv_strdup_n (m->prompt.p, m->prompt.n);
  s->prompt_size = m->prompt.n;
  s->peer = CV_NO_PEER;
  cv_buf_init (&s->text);
  s->slot = slot_alloc (c, s);
  cv_idmap_add (&c->stream_ids, &s->node, m->stream);
  TAILQ_INSERT_TAIL (&c->streams, s, link);
  return s;
}

static void
stream_free (cv_side_core_t *c, cv_time_t now, cv_stream_t *s)
{
  if (s->dirty)
    TAILQ_REMOVE (&c->dirty, s, dirty_link);
  TAILQ_REMOVE (&c->streams, s, link);
  cv_idmap_remove (&c->stream_ids, &s->node);
  c->slots[s->slot] = NULL;
  tombstone_add (c, now, s->node.id);
  c->buffered_bytes -= s->text.n + s->count * sizeof *s->token_end;
  cv_buf_finish (&s->text);
  free (s->token_end);
  free (s->prompt);
  free (s);
}

static uint32_t
slot_alloc (cv_side_core_t *c, cv_stream_t *s)
{
  uint32_t slot = 0;

  while (slot < c->slot_count && c->slots[slot] != NULL)
    slot++;
  if (slot == c->slot_count)
    {
      uint32_t count = slot == 0 ? SLOTS_INITIAL : slot * 2;

      c->slots = cv_realloc (c->slots, count * sizeof (cv_stream_t *));
      memset (c->slots + slot, 0, (count - slot) * sizeof (cv_stream_t *));
      c->slot_count = count;
    }
  c->slots[slot] = s;
  return slot;
}

/* Makes PEER the reader of S from OFFSET on and sends ACCEPTED.  */
static void
attach_reader (cv_side_core_t *c, cv_stream_t *s, uint32_t peer,
               uint32_t offset)
{
  cv_msg_t msg = { .type = CV_MSG_ACCEPTED };

  s->peer = peer;
  s->sent = offset;
  s->end_sent = false;
  msg.u.accepted.stream = s->node.id;
  cv_side_send (c, peer, &msg);
  cv_streams_mark_dirty (c, s);
}

/* Cancels S if it has not ended, and frees it.  */
static void
discard (cv_side_core_t *c, cv_time_t now, cv_stream_t *s)
{
  if (s->state != CV_STREAM_ENDED)
    {
      if (s->at_engine)
        cv_running_send_command (c, CV_OUT_ENGINE_CANCEL, s);
      cv_running_remove (c, now, s, false);
      c->counts.ends++;
    }
  stream_free (c, now, s);
}

static void
send_tokens (cv_side_core_t *c, cv_stream_t *s)
{
  cv_msg_t msg;
  cv_msg_tokens_t *t = &msg.u.tokens;
  size_t start = s->sent == 0 ? 0 : s->token_end[s->sent - 1];

  msg.type = CV_MSG_TOKENS;
  t->stream = s->node.id;
  t->offset = s->sent;
  t->count = 0;
  while (t->count < CV_TOKENS_MAX && s->sent < s->count)
    {
      size_t end = s->token_end[s->sent];

      t->token[t->count].p = s->text.p + start;
      t->token[t->count].n = end - start;
      t->count++;
      s->sent++;
      start = end;
    }
  c->counts.token_messages++;
  cv_side_send (c, s->peer, &msg);
}

static void
send_end (cv_side_core_t *c, cv_stream_t *s)
{
  cv_msg_t msg = { .type = CV_MSG_END };

  msg.u.end.stream = s->node.id;
  msg.u.end.end = s->end;
  msg.u.end.total = s->count;
  s->end_sent = true;
  cv_side_send (c, s->peer, &msg);
}

/* Keeps the token buffers within buffer_bytes by discarding streams without a
   reader, ended ones first.  A stream has a reader while an entry is attached
   to it and its end has not been sent.  False when streams with a reader use
   all of the memory; no new stream is admitted then.  */
static bool
limit_buffers (cv_side_core_t *c, cv_time_t now)
{
  if (c->settings.buffer_bytes == 0
      || c->buffered_bytes < c->settings.buffer_bytes)
    return true;
  discard_unread (c, now, true);
  discard_unread (c, now, false);
  return c->buffered_bytes < c->settings.buffer_bytes;
}

/* Discards streams without a reader, oldest first, until the token buffers are
   within their limit: only ended streams when ENDED, else only others.  */
static void
discard_unread (cv_side_core_t *c, cv_time_t now, bool ended)
{
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  while (s != NULL && c->buffered_bytes >= c->settings.buffer_bytes)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);
      bool has_reader = s->end_sent ? false : s->peer != CV_NO_PEER;

      if (!has_reader && (s->state == CV_STREAM_ENDED) == ended)
        discard (c, now, s);
      s = next;
    }
}

/* Records that the stream ID must not start.  */
static void
tombstone_add (cv_side_core_t *c, cv_time_t now, cv_id_t id)
{
  cv_tombstone_t *t;

  if (cv_idmap_find (&c->tombstone_ids, id) != NULL)
    return;
  if (c->tombstone_ids.count >= CV_TOMBSTONES_MAX)
    tombstone_remove (c, TAILQ_FIRST (&c->tombstones));
  t = cv_calloc (1, sizeof *t);
  t->since = now;
  cv_idmap_add (&c->tombstone_ids, &t->node, id);
  TAILQ_INSERT_TAIL (&c->tombstones, t, link);
}

static void
tombstone_remove (cv_side_core_t *c, cv_tombstone_t *t)
{
  TAILQ_REMOVE (&c->tombstones, t, link);
  cv_idmap_remove (&c->tombstone_ids, &t->node);
  free (t);
}

static cv_stream_t *
find_stream (const cv_side_core_t *c, cv_id_t id)
{
  return (cv_stream_t *)cv_idmap_find (&c->stream_ids, id);
}
