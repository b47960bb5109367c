/* Streams at the engine: actions of the gate and events of the engine.  */

#include <stdlib.h>

#include "side/core.h"

#define GATE_BATCH 32     /* actions fetched from the gate at once */
#define BYTES_PER_TOKEN 4 /* estimate for prompts */
#define TOKENS_INITIAL 64

static void apply_action (cv_side_core_t *c, cv_time_t now,
                          const cv_gate_action_t *a);
static void start_stream (cv_side_core_t *c, cv_stream_t *s);
static void append_token (cv_side_core_t *c, cv_stream_t *s, cv_slice_t text);
static void recheck_waiting (cv_side_core_t *c, cv_time_t now, cv_stream_t *s);
static bool report_crash_contents (cv_side_core_t *c);
static void record_completion (cv_side_core_t *c, cv_time_t now,
                               const cv_stream_t *s);

bool
cv_running_enqueue (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                    uint32_t *retry_after_ms)
{
  cv_gate_work_t work = { .slot = s->slot, .key = s->length_key, .weight = 1 };
  const cv_account_t *account = NULL;

  if (c->config != NULL)
    account = cv_config_account (c->config, s->account);
  if (account != NULL && account->limits.weight > 0)
    work.weight = account->limits.weight;
  s->suspect = cv_suspects_state (c->suspects, s->content_hash, c->wall_s)
               == CV_CONTENT_SUSPECT;
  work.priority = s->priority;
  work.prompt_tokens = (uint32_t)(s->prompt_size / BYTES_PER_TOKEN) + 1;
  work.max_tokens = s->max_tokens;
  work.deadline = s->deadline;
  work.suspect = s->suspect;
  c->gate_stale = true;
  return cv_gate_offer (c->gate, now, &work, retry_after_ms);
}

void
cv_running_remove (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s,
                   bool natural)
{
  cv_gate_ended (c->gate, now, s->slot, natural);
  c->gate_stale = true;
}

void
cv_running_schedule (cv_side_core_t *c, cv_time_t now)
{
  cv_gate_action_t action[GATE_BATCH];
  size_t n;
  size_t i;

  if (!c->gate_stale || !c->backend_up || c->settings.kind != CV_POOL_ENGINE)
    return;
  c->gate_stale = false;
  do
    {
      n = cv_gate_tick (c->gate, now, action, GATE_BATCH);
      for (i = 0; i < n; i++)
        apply_action (c, now, &action[i]);
    }
  while (n == GATE_BATCH);
}

void
cv_running_check_suspects (cv_side_core_t *c, cv_time_t now)
{
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  while (s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING)
        recheck_waiting (c, now, s);
      else if (s->state != CV_STREAM_ENDED
               && cv_suspects_state (c->suspects, s->content_hash, c->wall_s)
                      == CV_CONTENT_QUARANTINED)
        {
          /* Quarantined after crashes elsewhere: cancel the stream before it
             crashes this engine too.  CV_END_RECLAIMED also stands for
             this end, though nothing is reclaimed.  */
          cv_running_send_command (c, CV_OUT_ENGINE_CANCEL, s);
          cv_streams_end (c, now, s, CV_END_RECLAIMED);
        }
      s = next;
    }
}

void
cv_running_send_command (cv_side_core_t *c, cv_out_type_t type,
                         const cv_stream_t *s)
{
  cv_side_out_t out = { .type = type };

  out.u.stream.slot = s->slot;
  out.u.stream.id = s->node.id;
  c->emit (c->arg, &out);
}

void
cv_side_token (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
               uint32_t index, cv_slice_t text)
{
  cv_stream_t *s = cv_streams_lookup (c, ref);

  if (s == NULL || index != s->count)
    return;
  append_token (c, s, text);
  c->counts.tokens++;
  cv_gate_progress (c->gate, now, s->slot, 1);
  cv_streams_mark_dirty (c, s);
}

void
cv_side_stream_preempted (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref)
{
  cv_stream_t *s = cv_streams_lookup (c, ref);

  if (s == NULL || s->state != CV_STREAM_RUNNING)
    return; /* this side paused the stream itself */
  c->counts.preemptions++;
  c->gate_stale = true;
  cv_gate_preempted (c->gate, now, s->slot);
}

void
cv_side_start_failed (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                      cv_reject_t reason)
{
  cv_stream_t *s = cv_streams_lookup (c, ref);

  if (s == NULL)
    return;
  CV_INVARIANT (s->count == 0);
  s->at_engine = false;
  s->state = CV_STREAM_WAITING;
  cv_streams_reject (c, now, s, reason, CV_RETRY_AFTER_DEFAULT_MS);
}

void
cv_side_stream_end (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                    cv_end_t end, uint32_t total)
{
  cv_stream_t *s = cv_streams_lookup (c, ref);

  if (s == NULL)
    return;
  if (total != s->count)
    end = CV_END_ENGINE_LOST; /* tokens are missing: incomplete */
  if (end == CV_END_STOP || end == CV_END_LENGTH)
    record_completion (c, now, s);
  cv_streams_end (c, now, s, end);
}

void
cv_side_engine_lost (cv_side_core_t *c, cv_time_t now)
{
  cv_stream_t *s;
  bool has_suspects;

  c->counts.engine_losses++;
  /* Once reclaim_at is set, a loss of the engine strikes no content.  */
  has_suspects = c->reclaim_at == 0 && report_crash_contents (c);
  TAILQ_FOREACH (s, &c->streams, link)
  if (s->at_engine && s->state != CV_STREAM_ENDED)
    cv_streams_end (c, now, s, CV_END_ENGINE_LOST);
  if (has_suspects)
    cv_docs_suspects_changed (c, now);
}

void
cv_side_engine_load (cv_side_core_t *c, cv_time_t now, const cv_load_t *load)
{
  c->engine_load = *load;
  c->engine_load_time = now;
  cv_gate_set_total (c->gate, load->kv_total);
  c->gate_stale = true;
}

void
cv_side_backend_state (cv_side_core_t *c, cv_time_t now, bool up)
{
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  if (c->backend_up == up)
    return;
  c->backend_up = up;
  c->gate_stale = true;
  while (!up && s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING)
        cv_streams_reject (c, now, s, CV_REJECT_ENGINE,
                           CV_RETRY_AFTER_DEFAULT_MS);
      s = next;
    }
  cv_peers_report_all (c, now);
}

/* Rejects S if its content is quarantined; queues S again if the content became
   suspect or was cleared.  */
static void
recheck_waiting (cv_side_core_t *c, cv_time_t now, cv_stream_t *s)
{
  cv_content_state_t state
      = cv_suspects_state (c->suspects, s->content_hash, c->wall_s);
  uint32_t retry_after_ms = CV_RETRY_AFTER_DEFAULT_MS;

  if (state == CV_CONTENT_QUARANTINED)
    {
      cv_streams_reject (c, now, s, CV_REJECT_QUARANTINED, 0);
      return;
    }
  if (s->suspect == (state == CV_CONTENT_SUSPECT))
    return;
  cv_running_remove (c, now, s, false);
  if (cv_running_enqueue (c, now, s, &retry_after_ms))
    return;
  cv_streams_reject (c, now, s, CV_REJECT_NO_MEMORY, retry_after_ms);
}

static void
apply_action (cv_side_core_t *c, cv_time_t now, const cv_gate_action_t *a)
{
  cv_stream_t *s;

  CV_INVARIANT (a->slot < c->slot_count);
  s = c->slots[a->slot];
  CV_INVARIANT (s != NULL && s->state != CV_STREAM_ENDED);
  switch (a->verb)
    {
    case CV_GATE_START:
      start_stream (c, s);
      break;
    case CV_GATE_PAUSE:
      s->state = CV_STREAM_PAUSED;
      c->counts.preemptions++;
      cv_running_send_command (c, CV_OUT_ENGINE_PAUSE, s);
      break;
    case CV_GATE_RESUME:
      if (!s->at_engine)
        {
          start_stream (c, s);
          break;
        }
      s->state = CV_STREAM_RUNNING;
      cv_running_send_command (c, CV_OUT_ENGINE_RESUME, s);
      break;
    case CV_GATE_REFUSE:
      cv_streams_reject (c, now, s, CV_REJECT_NO_MEMORY, a->retry_after_ms);
      break;
    }
}

static void
start_stream (cv_side_core_t *c, cv_stream_t *s)
{
  cv_side_out_t out = { .type = CV_OUT_ENGINE_START };
  cv_engine_start_t *request = &out.u.start;

  s->state = CV_STREAM_RUNNING;
  s->at_engine = true;
  request->ref.slot = s->slot;
  request->ref.id = s->node.id;
  request->model = s->model;
  request->prompt.p = s->prompt;
  request->prompt.n = s->prompt_size;
  request->max_tokens = s->max_tokens;
  request->priority = s->priority;
  c->emit (c->arg, &out);
  free (s->prompt); /* the engine has its own copy */
  s->prompt = NULL;
  s->prompt_size = 0;
}

static void
append_token (cv_side_core_t *c, cv_stream_t *s, cv_slice_t text)
{
  c->buffered_bytes += text.n + sizeof *s->token_end;
  if (s->count == s->cap)
    {
      s->cap = s->cap == 0 ? TOKENS_INITIAL : s->cap * 2;
      s->token_end = cv_realloc (s->token_end, s->cap * sizeof *s->token_end);
    }
  cv_buf_add (&s->text, text.p, text.n);
  s->token_end[s->count++] = (uint32_t)s->text.n;
}

/* Records an engine crash against the content (the hash of account, model and
   prompt) of each running stream, which may have caused it.  False when no
   stream was running.  */
static bool
report_crash_contents (cv_side_core_t *c)
{
  cv_suspect_request_t *contents
      = cv_calloc (c->stream_ids.count + 1, sizeof *contents);
  size_t n = 0;
  cv_stream_t *s;

  TAILQ_FOREACH (s, &c->streams, link)
  if (s->state == CV_STREAM_RUNNING)
    contents[n++].content
        = (cv_suspect_hash_t){ .hash = s->content_hash, .seen = CV_SEEN_ALL };
  if (n > 0)
    cv_suspects_strike (c->suspects, contents, n, c->wall_s,
                        cv_hash (&c->settings.incarnation,
                                 sizeof c->settings.incarnation,
                                 c->counts.engine_losses));
  free (contents);
  return n > 0;
}

/* The model ended S, or S reached max_tokens.  Both lengths are samples for
   c->lengths, which the drain uses; the gate has an estimator of its own, which
   records only outputs that the model ended.  */
static void
record_completion (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s)
{
  cv_length_observe (c->lengths, &s->length_key, s->count);
  if (cv_suspects_state (c->suspects, s->content_hash, c->wall_s)
      == CV_CONTENT_CLEAR)
    return;
  cv_suspects_clear (c->suspects, s->content_hash);
  cv_docs_suspects_changed (c, now);
}
