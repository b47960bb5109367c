/* Scheduler of the stand-in engine.  */

#include "scheduler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* An iteration starts when the last one was due, or now if that was at least
   this time ago.  */
#define MAX_DELAY_US 100000
#define MIN_OUTPUT_TOKENS 16 /* shortest pseudorandom output */
#define OUTPUT_RANGES 7      /* powers of two that output lengths span */

static uint32_t output_length (const char *prompt, uint64_t hash);
static void enqueue (sched_t *s, sched_stream_t *stream);
static void release (sched_t *s, sched_stream_t *stream);
static void finish_stream (sched_t *s, sched_stream_t *stream, sched_end_t end);
static void preempt (sched_t *s, sched_stream_t *stream, sched_state_t state);
static sched_stream_t *preemption_victim (sched_t *s);
static bool make_room (sched_t *s, sched_stream_t *stream);
static void decode (sched_t *s);
static void decode_one (sched_t *s, sched_stream_t *stream);
static int64_t admit (sched_t *s, int64_t now_us);
static void take_snapshot (sched_t *s, int64_t now_us);
static void notify_changed (sched_t *s, sched_stream_t *stream);
static uint64_t kv_tokens_used (const sched_stream_t *stream);

void
sched_init (sched_t *s, const sched_config_t *config)
{
  size_t i;

  memset (s, 0, sizeof *s);
  s->config = *config;
  s->slow_factor = 1;
  TAILQ_INIT (&s->waiting);
  TAILQ_INIT (&s->running);
  TAILQ_INIT (&s->streams);
  for (i = 0; i < SCHED_BUCKETS; i++)
    LIST_INIT (&s->table[i]);
  prefix_cache_init (&s->cache, config->cache_blocks,
                     config->event_loss_percent, config->seed);
}

void
sched_finish (sched_t *s)
{
  sched_stream_t *stream;

  while ((stream = TAILQ_FIRST (&s->streams)) != NULL)
    {
      TAILQ_REMOVE (&s->streams, stream, all);
      free (stream->prompt);
      free (stream);
    }
  prefix_cache_finish (&s->cache);
}

sched_stream_t *
sched_find (sched_t *s, const char *id)
{
  uint64_t hash = XXH3_64bits (id, strlen (id));
  sched_stream_t *stream;

  LIST_FOREACH (stream, &s->table[hash % SCHED_BUCKETS], bucket)
  if (strcmp (stream->id, id) == 0)
    return stream;
  return NULL;
}

sched_result_t
sched_submit (sched_t *s, const char *id, const char *prompt,
              uint32_t max_tokens, int priority, sched_stream_t **stream)
{
  size_t bytes = strlen (prompt);
  uint64_t tokens = bytes / SCHED_BYTES_PER_TOKEN + 1;
  uint64_t hash = XXH3_64bits (id, strlen (id));
  sched_stream_t *new;
  uint32_t length;

  if (sched_find (s, id) != NULL)
    return SCHED_EXISTS;
  if (tokens >= s->config.kv_tokens)
    return SCHED_TOO_LONG;
  if (s->n_waiting >= s->config.queue)
    return SCHED_FULL;
  new = calloc (1, sizeof *new);
  if (new == NULL || (new->prompt = strdup (prompt)) == NULL)
    abort ();
  snprintf (new->id, sizeof new->id, "%s", id);
  new->arrival = s->next_arrival++;
  new->prompt_hash = XXH3_64bits (prompt, bytes);
  new->prompt_bytes = bytes;
  snprintf (new->prompt_head, sizeof new->prompt_head, "%.*s",
            (int)strcspn (prompt, " \n"), prompt);
  new->prompt_tokens = (uint32_t)tokens;
  new->priority = priority;
  new->poison = strstr (prompt, "poison") != NULL;
  length = output_length (prompt, new->prompt_hash);
  new->output_tokens = length < max_tokens ? length : max_tokens;
  new->last_token_end
      = length <= max_tokens ? SCHED_END_STOP : SCHED_END_LENGTH;
  TAILQ_INSERT_TAIL (&s->streams, new, all);
  LIST_INSERT_HEAD (&s->table[hash % SCHED_BUCKETS], new, bucket);
  enqueue (s, new);
  *stream = new;
  return SCHED_OK;
}

/* Returns the output length given as "len=N" in the prompt, or a pseudorandom
   length derived from HASH.  */
static uint32_t
output_length (const char *prompt, uint64_t hash)
{
  const char *given = strstr (prompt, "len=");
  uint32_t low;

  if (given != NULL)
    return (uint32_t)strtoul (given + strlen ("len="), NULL, 10);
  low = (uint32_t)MIN_OUTPUT_TOKENS << (hash % OUTPUT_RANGES);
  return low + (uint32_t)((hash >> 8) % low);
}

/* Inserts STREAM into the waiting list by priority, then by arrival.  */
static void
enqueue (sched_t *s, sched_stream_t *stream)
{
  sched_stream_t *before = TAILQ_LAST (&s->waiting, sched_list);

  while (before != NULL
         && (before->priority < stream->priority
             || (before->priority == stream->priority
                 && before->arrival > stream->arrival)))
    before = TAILQ_PREV (before, sched_list, link);
  if (before != NULL)
    TAILQ_INSERT_AFTER (&s->waiting, before, stream, link);
  else
    TAILQ_INSERT_HEAD (&s->waiting, stream, link);
  stream->state = SCHED_WAITING;
  s->n_waiting++;
}

/* Removes STREAM from its list and releases its KV-cache memory.  */
static void
release (sched_t *s, sched_stream_t *stream)
{
  if (stream->state == SCHED_WAITING)
    {
      TAILQ_REMOVE (&s->waiting, stream, link);
      s->n_waiting--;
    }
  else if (stream->state == SCHED_RUNNING)
    {
      TAILQ_REMOVE (&s->running, stream, link);
      s->n_running--;
      s->kv_used -= kv_tokens_used (stream);
    }
  stream->in_iteration = false;
}

static uint64_t
kv_tokens_used (const sched_stream_t *stream)
{
  return (uint64_t)stream->prompt_tokens + stream->produced;
}

static void
finish_stream (sched_t *s, sched_stream_t *stream, sched_end_t end)
{
  release (s, stream);
  stream->state = SCHED_ENDED;
  stream->end = end;
  free (stream->prompt);
  stream->prompt = NULL;
  notify_changed (s, stream);
}

static void
preempt (sched_t *s, sched_stream_t *stream, sched_state_t state)
{
  release (s, stream);
  stream->preempted++;
  stream->preempted_at = stream->produced;
  if (state == SCHED_WAITING)
    {
      s->preemptions++;
      enqueue (s, stream);
    }
  stream->state = state;
  notify_changed (s, stream);
}

void
sched_pause (sched_t *s, sched_stream_t *stream)
{
  if (stream->state == SCHED_RUNNING || stream->state == SCHED_WAITING)
    preempt (s, stream, SCHED_PAUSED);
}

void
sched_run (sched_t *s, sched_stream_t *stream)
{
  if (stream->state == SCHED_PAUSED)
    enqueue (s, stream);
}

void
sched_cancel (sched_t *s, sched_stream_t *stream)
{
  if (stream->state != SCHED_ENDED)
    finish_stream (s, stream, SCHED_END_CANCELLED);
}

int64_t
sched_step (sched_t *s, int64_t now_us)
{
  int64_t start = now_us;
  int64_t prefill;

  take_snapshot (s, now_us);
  if (s->iterating && now_us < s->due_us)
    return s->due_us;
  if (s->iterating)
    {
      if (now_us - s->due_us < MAX_DELAY_US)
        start = s->due_us;
      decode (s);
      s->iterating = false;
    }
  prefill = admit (s, now_us);
  if (s->n_running == 0)
    return -1;
  s->iterating = true;
  s->iteration_us
      = (int64_t)((double)(s->config.token_us + prefill) * s->slow_factor);
  s->due_us = start + s->iteration_us;
  return s->due_us;
}

/* Produces a token for each stream of the current iteration.  */
static void
decode (sched_t *s)
{
  sched_stream_t *stream, *next;

  for (stream = TAILQ_FIRST (&s->running); stream != NULL; stream = next)
    {
      bool has_room = !stream->in_iteration || make_room (s, stream);

      next = TAILQ_NEXT (stream, link);
      if (!stream->in_iteration)
        continue;
      if (has_room)
        decode_one (s, stream);
      else if (s->n_running == 1)
        finish_stream (s, stream, SCHED_END_LENGTH);
      else
        preempt (s, stream, SCHED_WAITING);
    }
}

/* Makes room for one more token of STREAM by preempting others.  Returns false
   if STREAM itself is to be preempted.  */
static bool
make_room (sched_t *s, sched_stream_t *stream)
{
  if (stream->produced >= stream->output_tokens)
    return true;
  while (s->kv_used + 1 > s->config.kv_tokens)
    {
      sched_stream_t *v = preemption_victim (s);

      if (v == stream)
        return false;
      preempt (s, v, SCHED_WAITING);
    }
  return true;
}

/* Returns the running stream to preempt: of those with the lowest priority, the
   last one admitted.  */
static sched_stream_t *
preemption_victim (sched_t *s)
{
  sched_stream_t *found = NULL;
  sched_stream_t *stream;

  TAILQ_FOREACH (stream, &s->running, link)
  if (found == NULL || stream->priority <= found->priority)
    found = stream;
  return found;
}

static void
decode_one (sched_t *s, sched_stream_t *stream)
{
  if (stream->produced < stream->output_tokens)
    {
      stream->produced++;
      s->kv_used++;
    }
  if (stream->poison && stream->produced == 2)
    s->poisoned = true;
  if (stream->produced >= stream->output_tokens)
    finish_stream (s, stream, stream->last_token_end);
  else
    notify_changed (s, stream);
}

/* Starts waiting streams while the batch and the KV cache have room.  Returns
   the prefill time that they add to the iteration, in microseconds.  */
static int64_t
admit (sched_t *s, int64_t now_us)
{
  uint64_t tokens = 0;
  sched_stream_t *stream;

  while (s->n_running < s->config.batch
         && (stream = TAILQ_FIRST (&s->waiting)) != NULL
         && s->kv_used + kv_tokens_used (stream) + 1 <= s->config.kv_tokens)
    {
      size_t cached = prefix_cache_add (&s->cache, stream->prompt,
                                        stream->prompt_bytes, now_us);

      release (s, stream);
      stream->state = SCHED_RUNNING;
      TAILQ_INSERT_TAIL (&s->running, stream, link);
      s->n_running++;
      s->kv_used += kv_tokens_used (stream);
      tokens += kv_tokens_used (stream) - cached / SCHED_BYTES_PER_TOKEN;
    }
  TAILQ_FOREACH (stream, &s->running, link) stream->in_iteration = true;
  return (int64_t)tokens * s->config.prefill_us_per_1k / 1000;
}

static void
notify_changed (sched_t *s, sched_stream_t *stream)
{
  if (s->config.changed != NULL)
    s->config.changed (stream);
}

static void
take_snapshot (sched_t *s, int64_t now_us)
{
  sched_load_t *last
      = &s->snapshots[(s->n_snapshots + SCHED_SNAPSHOTS - 1) % SCHED_SNAPSHOTS];

  /* One snapshot per sixteenth of the lag.  */
  if (s->n_snapshots > 0
      && now_us - last->at_us < s->config.load_lag_us / (SCHED_SNAPSHOTS / 4))
    return;
  s->snapshots[s->n_snapshots++ % SCHED_SNAPSHOTS]
      = (sched_load_t){ .at_us = now_us,
                        .running = s->n_running,
                        .waiting = s->n_waiting,
                        .kv_used = s->kv_used,
                        .preemptions = s->preemptions,
                        .iteration_us = s->iteration_us };
}

bool
sched_load (const sched_t *s, int64_t now_us, sched_load_t *load)
{
  uint32_t i = s->n_snapshots;
  uint32_t kept = i < SCHED_SNAPSHOTS ? i : SCHED_SNAPSHOTS;

  for (; kept > 0; kept--)
    {
      *load = s->snapshots[--i % SCHED_SNAPSHOTS];
      if (load->at_us <= now_us - s->config.load_lag_us)
        return true;
    }
  return false;
}

const char *
sched_end_name (sched_end_t end)
{
  switch (end)
    {
    case SCHED_END_STOP:
      return "stop";
    case SCHED_END_LENGTH:
      return "length";
    case SCHED_END_CANCELLED:
      return "cancelled";
    case SCHED_END_NONE:
      break;
    }
  return "";
}

void
sched_token_text (char text[SCHED_TEXT_MAX], uint64_t boot, const char *id,
                  uint32_t i)
{
  snprintf (text, SCHED_TEXT_MAX, "%llu-%.8s-%u ", (unsigned long long)boot, id,
            i);
}
