/* Streams at the engine: what the gate orders and what the engine tells.  */

#include <stdlib.h>

#include "side/core.h"

#define GATE_BATCH 32     /* actions taken from the gate at once */
#define BYTES_PER_TOKEN 4 /* of a prompt, estimated */
#define TOKENS_FIRST 64   /* room for so many tokens at first */

static void act (cv_side_core_t *c, cv_time_t now, const cv_gate_action_t *a);
static void start (cv_side_core_t *c, cv_stream_t *s);
static void append (cv_side_core_t *c, cv_stream_t *s, cv_slice_t text);
static void review_waiting (cv_side_core_t *c, cv_time_t now, cv_stream_t *s);
static bool strike (cv_side_core_t *c);
static void note_natural_end (cv_side_core_t *c, cv_time_t now,
                              const cv_stream_t *s);

bool
cv_running_offer (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                  uint32_t *retry_after_ms)
{
  cv_gate_work_t work = { .slot = s->slot, .key = s->key, .weight = 1 };
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
  c->gate_due = true;
  return cv_gate_offer (c->gate, now, &work, retry_after_ms);
}

void
cv_running_ended (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s,
                  bool natural)
{
  cv_gate_ended (c->gate, now, s->slot, natural);
  c->gate_due = true;
}

void
cv_running_gate (cv_side_core_t *c, cv_time_t now)
{
  cv_gate_action_t action[GATE_BATCH];
  size_t n;
  size_t i;

  if (!c->gate_due || !c->backend_up || c->set.kind != CV_POOL_ENGINE)
    return;
  c->gate_due = false;
  do
    {
      n = cv_gate_tick (c->gate, now, action, GATE_BATCH);
      for (i = 0; i < n; i++)
        act (c, now, &action[i]);
    }
  while (n == GATE_BATCH);
}

void
cv_running_review (cv_side_core_t *c, cv_time_t now)
{
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  while (s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING)
        review_waiting (c, now, s);
      else if (s->state != CV_STREAM_ENDED
               && cv_suspects_state (c->suspects, s->content_hash, c->wall_s)
                      == CV_CONTENT_CONDEMNED)
        {
          /* Condemned elsewhere: do not wait for this engine to die too.  */
          cv_engine_order (c, CV_OUT_ENGINE_CANCEL, s);
          cv_streams_end (c, now, s, CV_END_RECLAIMED);
        }
      s = next;
    }
}

void
cv_engine_order (cv_side_core_t *c, cv_out_type_t type, const cv_stream_t *s)
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
  cv_stream_t *s = cv_streams_at (c, ref);

  if (s == NULL || index != s->count)
    return;
  append (c, s, text);
  c->counts.tokens++;
  cv_gate_progress (c->gate, now, s->slot, 1);
  cv_streams_mark (c, s);
}

void
cv_side_preempted (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref)
{
  cv_stream_t *s = cv_streams_at (c, ref);

  if (s == NULL || s->state != CV_STREAM_RUNNING)
    return; /* the pause that this side asked for */
  c->counts.preemptions++;
  c->gate_due = true;
  cv_gate_preempted (c->gate, now, s->slot);
}

void
cv_side_engine_refused (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                        cv_reject_t reason)
{
  cv_stream_t *s = cv_streams_at (c, ref);

  if (s == NULL)
    return;
  CV_INVARIANT (s->count == 0);
  s->at_engine = false;
  s->state = CV_STREAM_WAITING;
  cv_streams_reject (c, now, s, reason, CV_RETRY_DEFAULT_MS);
}

void
cv_side_stream_end (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                    cv_end_t end, uint32_t total)
{
  cv_stream_t *s = cv_streams_at (c, ref);

  if (s == NULL)
    return;
  if (total != s->count)
    end = CV_END_ENGINE_LOST; /* tokens are missing: never call it whole */
  if (end == CV_END_STOP || end == CV_END_LENGTH)
    note_natural_end (c, now, s);
  cv_streams_end (c, now, s, end);
}

void
cv_side_engine_lost (cv_side_core_t *c, cv_time_t now)
{
  cv_stream_t *s;
  bool struck;

  c->counts.engine_losses++;
  struck = c->reclaim_at == 0 && strike (c);
  TAILQ_FOREACH (s, &c->streams, link)
  if (s->at_engine && s->state != CV_STREAM_ENDED)
    cv_streams_end (c, now, s, CV_END_ENGINE_LOST);
  if (struck)
    cv_docs_suspects_changed (c, now);
}

void
cv_side_engine_load (cv_side_core_t *c, cv_time_t now, const cv_load_t *load)
{
  c->engine = *load;
  c->engine_seen = now;
  cv_gate_set_total (c->gate, load->kv_total);
  c->gate_due = true;
}

void
cv_side_backend_state (cv_side_core_t *c, cv_time_t now, bool up)
{
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  if (c->backend_up == up)
    return;
  c->backend_up = up;
  c->gate_due = true;
  while (!up && s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING)
        cv_streams_reject (c, now, s, CV_REJECT_ENGINE, CV_RETRY_DEFAULT_MS);
      s = next;
    }
  cv_peers_report_all (c, now);
}

/* Queue S anew when its content fell under suspicion, or was cleared.  */
static void
review_waiting (cv_side_core_t *c, cv_time_t now, cv_stream_t *s)
{
  cv_content_state_t state
      = cv_suspects_state (c->suspects, s->content_hash, c->wall_s);
  uint32_t retry_after_ms = CV_RETRY_DEFAULT_MS;

  if (state == CV_CONTENT_CONDEMNED)
    {
      cv_streams_reject (c, now, s, CV_REJECT_CONDEMNED, 0);
      return;
    }
  if (s->suspect == (state == CV_CONTENT_SUSPECT))
    return;
  cv_running_ended (c, now, s, false);
  if (cv_running_offer (c, now, s, &retry_after_ms))
    return;
  cv_streams_reject (c, now, s, CV_REJECT_FULL, retry_after_ms);
}

static void
act (cv_side_core_t *c, cv_time_t now, const cv_gate_action_t *a)
{
  cv_stream_t *s;

  CV_INVARIANT (a->slot < c->slot_count);
  s = c->slots[a->slot];
  CV_INVARIANT (s != NULL && s->state != CV_STREAM_ENDED);
  switch (a->verb)
    {
    case CV_GATE_START:
      start (c, s);
      break;
    case CV_GATE_PAUSE:
      s->state = CV_STREAM_PAUSED;
      c->counts.preemptions++;
      cv_engine_order (c, CV_OUT_ENGINE_PAUSE, s);
      break;
    case CV_GATE_RESUME:
      if (!s->at_engine)
        {
          start (c, s);
          break;
        }
      s->state = CV_STREAM_RUNNING;
      cv_engine_order (c, CV_OUT_ENGINE_RUN, s);
      break;
    case CV_GATE_REFUSE:
      cv_streams_reject (c, now, s, CV_REJECT_FULL, a->retry_after_ms);
      break;
    }
}

static void
start (cv_side_core_t *c, cv_stream_t *s)
{
  cv_side_out_t out = { .type = CV_OUT_ENGINE_START };
  cv_engine_start_t *order = &out.u.start;

  s->state = CV_STREAM_RUNNING;
  s->at_engine = true;
  order->ref.slot = s->slot;
  order->ref.id = s->node.id;
  order->model = s->model;
  order->prompt.p = s->prompt;
  order->prompt.n = s->prompt_size;
  order->max_tokens = s->max_tokens;
  order->priority = s->priority;
  c->emit (c->arg, &out);
  free (s->prompt); /* the engine has it */
  s->prompt = NULL;
  s->prompt_size = 0;
}

static void
append (cv_side_core_t *c, cv_stream_t *s, cv_slice_t text)
{
  c->buffered += text.n + sizeof *s->token_end;
  if (s->count == s->cap)
    {
      s->cap = s->cap == 0 ? TOKENS_FIRST : s->cap * 2;
      s->token_end = cv_realloc (s->token_end, s->cap * sizeof *s->token_end);
    }
  cv_buf_add (&s->text, text.p, text.n);
  s->token_end[s->count++] = (uint32_t)s->text.n;
}

/* Everything that was decoding when the engine died is under suspicion.
   False when nothing was.  */
static bool
strike (cv_side_core_t *c)
{
  uint64_t *hashes = cv_calloc (c->stream_ids.count + 1, sizeof *hashes);
  size_t n = 0;
  cv_stream_t *s;

  TAILQ_FOREACH (s, &c->streams, link)
  if (s->state == CV_STREAM_RUNNING)
    hashes[n++] = s->content_hash;
  if (n > 0)
    cv_suspects_strike (c->suspects, hashes, n, c->wall_s,
                        cv_hash (&c->set.incarnation, sizeof c->set.incarnation,
                                 c->counts.engine_losses));
  free (hashes);
  return n > 0;
}

static void
note_natural_end (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s)
{
  cv_length_observe (c->lengths, &s->key, s->count);
  if (cv_suspects_state (c->suspects, s->content_hash, c->wall_s)
      == CV_CONTENT_CLEAR)
    return;
  cv_suspects_clear (c->suspects, s->content_hash);
  cv_docs_suspects_changed (c, now);
}
