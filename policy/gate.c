/* The gate's tables: streams by slot and by state, and accounts.  */

#include <stdlib.h>

#include "policy/gate.h"

#define RATE_INTERVAL (500 * CV_MS)
/* Weights of the old value in the smoothed rate and time per token.  */
#define RATE_DECAY 0.8
#define TOKEN_TIME_DECAY 0.95
#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 30000
/* Quantile used as the expected output length of a stream: 60 % of outputs are
   not longer.  */
#define EXPECTED_QUANTILE 0.6

static cv_gate_list_t *state_list (cv_gate_t *g, cv_gate_state_t state);
static cv_gate_stream_t *find_stream (const cv_gate_t *g, uint32_t slot);
static uint32_t account_get (cv_gate_t *g, uint64_t account);
static uint64_t stream_memory (const cv_gate_stream_t *s);
static void count_stream (cv_gate_t *g, const cv_gate_stream_t *s, bool in);
static uint32_t clamp_retry_ms (double us);
static double estimate_wait_us (const cv_gate_t *g, const cv_gate_work_t *work);

cv_gate_t *
cv_gate_new (uint64_t kv_total, uint32_t max_batch)
{
  cv_gate_t *g = cv_calloc (1, sizeof *g);

  g->kv_total = kv_total;
  g->max_batch = max_batch > 0 ? max_batch : 1;
  g->lengths = cv_length_new (GATE_LENGTH_KEYS);
  g->token_us = GATE_DEFAULT_TOKEN_US;
  cv_map_init (&g->by_slot);
  cv_map_init (&g->account_index);
  TAILQ_INIT (&g->running);
  TAILQ_INIT (&g->waiting);
  TAILQ_INIT (&g->paused);
  return g;
}

void
cv_gate_free (cv_gate_t *g)
{
  cv_gate_stream_t *s;

  if (g == NULL)
    return;
  for (int state = GATE_WAITING; state <= GATE_PAUSED; state++)
    while ((s = TAILQ_FIRST (state_list (g, (cv_gate_state_t)state))) != NULL)
      cv_gate_remove (g, s);
  cv_length_free (g->lengths);
  cv_map_finish (&g->by_slot);
  cv_map_finish (&g->account_index);
  free (g->streams);
  free (g->free_indexes);
  free (g->accounts);
  free (g);
}

void
cv_gate_set_total (cv_gate_t *g, uint64_t kv_total)
{
  if (kv_total > 0)
    g->kv_total = kv_total;
}

static cv_gate_list_t *
state_list (cv_gate_t *g, cv_gate_state_t state)
{
  switch (state)
    {
    case GATE_WAITING:
      return &g->waiting;
    case GATE_RUNNING:
      return &g->running;
    case GATE_PAUSED:
      break;
    }
  return &g->paused;
}

static cv_gate_stream_t *
find_stream (const cv_gate_t *g, uint32_t slot)
{
  uint32_t i = cv_map_get (&g->by_slot, slot);

  return i == CV_MAP_NONE ? NULL : g->streams[i];
}

static uint32_t
account_get (cv_gate_t *g, uint64_t account)
{
  uint32_t i = cv_map_get (&g->account_index, account);

  if (i == CV_MAP_NONE)
    {
      i = g->account_count++;
      g->accounts
          = cv_realloc (g->accounts, g->account_count * sizeof *g->accounts);
      g->accounts[i] = (cv_gate_account_t){ 0 };
      cv_map_put (&g->account_index, account, i);
    }
  /* An idle account does not accumulate credit.  */
  if (g->accounts[i].received < g->virtual_time)
    g->accounts[i].received = g->virtual_time;
  return i;
}

static uint64_t
stream_memory (const cv_gate_stream_t *s)
{
  return (uint64_t)s->work.prompt_tokens + s->produced;
}

uint32_t
cv_gate_expected_memory (const cv_gate_t *g, const cv_gate_work_t *work,
                         uint32_t produced)
{
  return work->prompt_tokens + produced
         + cv_length_remaining (g->lengths, &work->key, produced,
                                work->max_tokens, EXPECTED_QUANTILE);
}

/* Adds the stream to the sums of its state (IN), or subtracts it.  */
static void
count_stream (cv_gate_t *g, const cv_gate_stream_t *s, bool in)
{
  /* The largest values subtract 1 by wrap-around.  */
  uint32_t one = in ? 1 : UINT32_MAX;
  uint64_t sign = in ? 1 : UINT64_MAX;

  switch (s->state)
    {
    case GATE_WAITING:
      g->waiting_count += one;
      g->waiting_need += sign * s->expected;
      break;
    case GATE_RUNNING:
      g->running_count += one;
      g->used += sign * stream_memory (s);
      if (s->is_prefilling)
        g->prefill_tokens += sign * stream_memory (s);
      if (s->work.suspect)
        g->running_suspects += one;
      break;
    case GATE_PAUSED:
      g->paused_count += one;
      break;
    }
}

void
cv_gate_set_state (cv_gate_t *g, cv_gate_stream_t *s, cv_gate_state_t to,
                   cv_time_t now)
{
  TAILQ_REMOVE (state_list (g, s->state), s, link);
  count_stream (g, s, false);
  if (s->state == GATE_RUNNING)
    g->freed += (double)stream_memory (s);
  s->state = to;
  s->is_prefilling = to == GATE_RUNNING;
  s->progress_at = now;
  if (to == GATE_PAUSED)
    s->paused_at = now;
  TAILQ_INSERT_TAIL (state_list (g, to), s, link);
  count_stream (g, s, true);
}

void
cv_gate_remove (cv_gate_t *g, cv_gate_stream_t *s)
{
  uint32_t i = cv_map_get (&g->by_slot, s->work.slot);

  TAILQ_REMOVE (state_list (g, s->state), s, link);
  count_stream (g, s, false);
  if (s->state == GATE_RUNNING)
    g->freed += (double)stream_memory (s);
  cv_map_remove (&g->by_slot, s->work.slot);
  g->streams[i] = NULL;
  g->free_indexes[g->free_count++] = i;
  free (s);
}

/* Estimates the time in us until the streams ahead of WORK have got their
   memory, from the rate at which memory was freed while streams were waiting.
   Without a rate: 0, or 1e12 (over 11 days) when those streams need more than
   the engine has.  */
static double
estimate_wait_us (const cv_gate_t *g, const cv_gate_work_t *work)
{
  double ahead = 0;
  const cv_gate_stream_t *s;

  if (g->waiting_count == 0 && g->paused_count == 0)
    return 0;
  TAILQ_FOREACH (s, &g->waiting, link)
  if (s->work.priority >= work->priority)
    ahead += s->expected;
  TAILQ_FOREACH (s, &g->paused, link)
  ahead += s->expected;
  if (g->freed_per_s <= 0)
    return ahead > (double)g->kv_total ? 1e12 : 0;
  return 1e6 * ahead / g->freed_per_s;
}

static uint32_t
clamp_retry_ms (double us)
{
  double ms = us / 1000;

  if (ms < RETRY_MIN_MS)
    return RETRY_MIN_MS;
  return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

uint32_t
cv_gate_retry_ms (const cv_gate_t *g)
{
  if (g->freed_per_s <= 0)
    return RETRY_MIN_MS;
  return clamp_retry_ms (1e6 * (double)g->waiting_need / g->freed_per_s);
}

bool
cv_gate_offer (cv_gate_t *g, cv_time_t now, const cv_gate_work_t *work,
               uint32_t *retry_after_ms)
{
  double wait = estimate_wait_us (g, work);
  cv_gate_stream_t *s;
  uint32_t i;

  if (wait > (double)(work->deadline - now)
      || work->prompt_tokens >= g->kv_total)
    {
      *retry_after_ms = clamp_retry_ms (wait - (double)(work->deadline - now));
      return false;
    }
  CV_INVARIANT (find_stream (g, work->slot) == NULL);
  if (g->free_count == 0)
    {
      uint32_t cap = g->stream_cap ? g->stream_cap * 2 : 64;

      g->streams = cv_realloc (g->streams, cap * sizeof (cv_gate_stream_t *));
      g->free_indexes
          = cv_realloc (g->free_indexes, cap * sizeof *g->free_indexes);
      for (i = g->stream_cap; i < cap; i++)
        g->free_indexes[g->free_count++] = i;
      g->stream_cap = cap;
    }
  i = g->free_indexes[--g->free_count];
  s = cv_calloc (1, sizeof *s);
  s->work = *work;
  s->arrived_at = now;
  s->account = account_get (g, work->key.account);
  s->expected = cv_gate_expected_memory (g, work, 0);
  g->streams[i] = s;
  cv_map_put (&g->by_slot, work->slot, i);
  TAILQ_INSERT_TAIL (&g->waiting, s, link);
  count_stream (g, s, true);
  return true;
}

void
cv_gate_progress (cv_gate_t *g, cv_time_t now, uint32_t slot, uint32_t tokens)
{
  cv_gate_stream_t *s = find_stream (g, slot);

  if (s == NULL || tokens == 0)
    return;
  if (!s->is_prefilling && now > s->progress_at)
    g->token_us
        = TOKEN_TIME_DECAY * g->token_us
          + (1 - TOKEN_TIME_DECAY) * (double)(now - s->progress_at) / tokens;
  count_stream (g, s, false);
  s->is_prefilling = false;
  s->produced += tokens;
  s->progress_at = now;
  count_stream (g, s, true);
  g->accounts[s->account].received
      += (double)tokens / (s->work.weight > 0 ? s->work.weight : 1);
}

void
cv_gate_preempted (cv_gate_t *g, cv_time_t now, uint32_t slot)
{
  cv_gate_stream_t *s = find_stream (g, slot);

  if (s == NULL || s->state != GATE_RUNNING)
    return;
  /* The engine itself prefills the stream again when it has memory.  */
  count_stream (g, s, false);
  s->is_prefilling = true;
  s->pauses++;
  s->progress_at = now;
  count_stream (g, s, true);
}

void
cv_gate_ended (cv_gate_t *g, cv_time_t now, uint32_t slot, bool natural)
{
  cv_gate_stream_t *s = find_stream (g, slot);

  (void)now;
  if (s == NULL)
    return;
  if (natural)
    cv_length_observe (g->lengths, &s->work.key, s->produced);
  cv_gate_remove (g, s);
}

void
cv_gate_sample_rate (cv_gate_t *g, cv_time_t now)
{
  double rate;

  if (now - g->rate_sampled_at < RATE_INTERVAL)
    return;
  rate = g->freed * 1e6 / (double)(now - g->rate_sampled_at);
  if (g->waiting_count + g->paused_count > 0 && g->rate_sampled_at > 0)
    g->freed_per_s = g->freed_per_s <= 0 ? rate
                                         : RATE_DECAY * g->freed_per_s
                                               + (1 - RATE_DECAY) * rate;
  g->freed = 0;
  g->rate_sampled_at = now;
}
