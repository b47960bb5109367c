/* Which runs leave which engines: those of an engine that ends or runs out of
   memory, and, while requests wait, one after the other those of a full one.
   The observer of an engine gives turns.  */

#include <string.h>

#include "gateway/state.h"

/* Runs of one engine that are looked at for a move.  */
#define RUNS_MAX 128
/* Moves of one run.  */
#define MOVES_MAX 6
/* Time per token of a run where it is not yet known.  */
#define TOKEN_US_PRESET 10000
/* Requests that have waited for so long are taken for want of room.  */
#define SHORT_AFTER (100 * CV_MS)

/* Whether the stream of X ends with its engine unless it is moved.  */
static bool
needs_move (const cv_exchange_t *x, const cv_target_t *t, cv_time_t now)
{
  return x->target == t && x->move == NULL && x->moves < MOVES_MAX
         && now >= x->no_move_until && x->state == CV_EXCHANGE_STREAMING
         && x->events.count > 0 && !x->route->resumable
         && x->service->engine.can_move && x->request.attempt.p != NULL
         && x->request.attempt.n < CV_RUN_MAX;
}

void
cv_evacuee_describe (const cv_exchange_t *x, cv_time_t now, cv_evacuee_t *out)
{
  uint32_t per_event = x->service->engine.event_tokens;
  uint64_t made = cv_exchange_produced (x);
  uint32_t limit = x->request.output_limit;

  /* The caller's estimate is too often too low to rest a run's life on it;
     only its limit is certain.  */
  out->memory_tokens = x->request.prompt_tokens + made;
  out->remaining_tokens = limit > made ? (uint32_t)(limit - made) : 0;
  out->token_us
      = made > per_event
            ? (uint32_t)((now - x->started - x->first_event) / (cv_time_t)made)
            : TOKEN_US_PRESET;
}

void
cv_evacuee_turn (const cv_target_t *t, cv_slice_t run, cv_turn_t turn,
                 uint64_t tokens)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };

  msg.u.move.turn = turn;
  msg.u.move.tokens = tokens;
  (void)cv_copy (msg.u.move.target, CV_NAME_MAX, t->record.id);
  (void)cv_copy_slice (msg.u.move.run, CV_RUN_MAX, run);
  cv_loads_send (t, &msg);
}

/* Without an observer that gives turns, the gateway orders its own runs.  */
static void
start_next (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  cv_exchange_t *candidates[RUNS_MAX];
  cv_evacuee_t runs[RUNS_MAX];
  cv_exchange_t *x;
  uint32_t n = 0;
  uint32_t i;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    if (n < RUNS_MAX && needs_move (x, t, now))
      {
        cv_evacuee_describe (x, now, &runs[n]);
        candidates[n++] = x;
      }
  i = cv_evacuation_pick (runs, n, cv_target_time_left (t, now));
  if (i != CV_EVACUATION_NONE)
    cv_move_start (candidates[i], t);
}

static void
ask_turns (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  cv_exchange_t *x;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    {
      cv_evacuee_t run;

      if (!needs_move (x, t, now))
        continue;
      cv_evacuee_describe (x, now, &run);
      if (cv_evacuation_pick (&run, 1, cv_target_time_left (t, now))
          != CV_EVACUATION_NONE)
        cv_evacuee_turn (t, x->request.attempt, CV_TURN_WANTED,
                         run.memory_tokens);
    }
}

void
cv_move_granted (cv_gateway_t *g, cv_target_t *t, const char *run)
{
  cv_time_t now = cv_now ();
  cv_exchange_t *x;

  if (t->move != NULL)
    return;
  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    if (needs_move (x, t, now)
        && cv_slice_equal (x->request.attempt, cv_slice (run)))
      {
        cv_move_start (x, t);
        return;
      }
  cv_evacuee_turn (t, cv_slice (run), CV_TURN_OVER, 0);
}

static void
evacuate (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  if (cv_target_is_observed (t, now))
    ask_turns (g, t, now);
  else
    start_next (g, t, now);
}

/* Whether requests have been waiting for room for a while.  */
static bool
is_short_of_room (const cv_gateway_t *g, cv_time_t now)
{
  const cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->waiting, waiting)
  if (x->request.is_generation && now - x->started > SHORT_AFTER)
    return true;
  return false;
}

/* Whether runs should leave T.  */
static bool
wants_moves (const cv_target_t *t, cv_time_t now, bool is_short)
{
  if (cv_target_is_departing (t))
    return true;
  return cv_target_is_observed (t, now)
         && (t->load.strain == CV_STRAIN_CROWDED
             || (is_short && t->load.strain == CV_STRAIN_FULL));
}

void
cv_moves_tick (cv_gateway_t *g, cv_time_t now)
{
  bool is_short = is_short_of_room (g, now);
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      if (t->move != NULL)
        cv_move_tick (t->move, now);
      else if (t->in_flight > 0 && wants_moves (t, now, is_short))
        evacuate (g, t, now);
    }
}

void
cv_moves_finish (cv_gateway_t *g)
{
  cv_target_t *t;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    if (t->move != NULL)
      cv_move_abandon (t->move);
}
