/* Moves the memory of runs off engines that end soon, one run of an engine
   at a time: first a copy while the run goes on, then the run stops, the rest
   is copied, and the stream goes on at the other engine.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"
#include "policy/evacuation.h"

/* A copy of the largest run between failure domains takes about 0.5 s, and
   it may queue behind others.  */
#define CALL_TIMEOUT (2500 * CV_MS)
/* Runs of one engine that are looked at for a move.  */
#define RUNS_MAX 128
/* Destinations that are tried for one run.  */
#define TRIES_MAX 6
/* What a run grows by while it is copied.  */
#define MARGIN_TOKENS 64
/* Time per token of a run where it is not yet known.  */
#define TOKEN_US_PRESET 10000

typedef enum
{
  CV_MOVE_COPY = 1, /* the run goes on meanwhile */
  CV_MOVE_STOP,     /* the run stops, the rest is copied */
  CV_MOVE_FREE      /* nobody needs the copy any more */
} cv_move_phase_t;

struct cv_move_t
{
  cv_exchange_t *exchange; /* NULL once it ended */
  cv_target_t *from;
  cv_target_t *to;
  uint64_t tokens; /* reserved at TO */
  cv_http_call_t call;
  cv_move_phase_t phase;
  cv_time_t started;
  char run[CV_RUN_MAX];
  char handle[CV_NAME_MAX];
};

static void on_result (void *owner, const cv_http_result_t *r);

static void
log_move (const cv_move_t *m, cv_event_t event, const char *outcome)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_text (&l, "from", cv_slice (m->from->record.id));
  cv_line_text (&l, "to", cv_slice (m->to->record.id));
  cv_line_text (&l, "outcome", cv_slice (outcome));
  cv_line_number (&l, "phase", m->phase);
  cv_line_number (&l, "after_us", cv_now () - m->started);
  cv_line_end (&l);
}

/* Tell the observer of T about the turn of a run.  */
static void
send_turn (const cv_target_t *t, cv_slice_t run, cv_turn_t turn,
           uint64_t tokens)
{
  cv_msg_t msg = { .type = CV_MSG_MOVE };

  msg.u.move.turn = turn;
  msg.u.move.tokens = tokens;
  (void)cv_copy (msg.u.move.target, CV_NAME_MAX, t->record.id);
  (void)cv_copy_slice (msg.u.move.run, CV_RUN_MAX, run);
  cv_loads_send (t, &msg);
}

static void
finish (cv_move_t *m, const char *outcome)
{
  send_turn (m->from, cv_slice (m->run), CV_TURN_OVER, 0);
  log_move (m, CV_EV_GATEWAY_MOVE_ENDED, outcome);
  if (m->exchange != NULL)
    m->exchange->move = NULL;
  m->from->move = NULL;
  m->to->copy_tokens -= m->tokens;
  cv_http_call_finish (&m->call);
  cv_target_unref (m->from);
  cv_target_unref (m->to);
  free (m);
}

static void
order (cv_move_t *m, bool stop)
{
  cv_buf_t body;

  m->phase = stop ? CV_MOVE_STOP : CV_MOVE_COPY;
  cv_buf_init (&body);
  cv_platform_encode_move (&body, cv_slice (m->run), &m->to->record.address,
                           stop);
  cv_http_call_start (&m->call, "POST", cv_platform_move_path (),
                      (cv_slice_t){ body.p, body.n }, CALL_TIMEOUT);
  cv_buf_finish (&body);
}

static void
free_copy (cv_move_t *m)
{
  cv_buf_t path;

  m->phase = CV_MOVE_FREE;
  cv_buf_init (&path);
  cv_platform_copy_path (&path, m->handle);
  cv_http_call_start (&m->call, "DELETE", cv_buf_text (&path),
                      (cv_slice_t){ NULL, 0 }, CALL_TIMEOUT);
  cv_buf_finish (&path);
}

/* The move did not come about.  */
static void
give_up (cv_move_t *m, const char *outcome)
{
  cv_exchange_t *x = m->exchange;
  bool parted = x != NULL && x->is_parted;

  finish (m, outcome);
  if (parted)
    cv_exchange_failed (x, "move failed and the run ended", true);
}

static void
on_stopped (cv_move_t *m, const cv_http_result_t *r)
{
  cv_exchange_t *x = m->exchange;
  bool has_handle = cv_platform_decode_move (r->body, m->handle);
  cv_target_t *next;
  char handle[CV_NAME_MAX];
  struct sockaddr_in source = m->from->record.address;

  if (!has_handle || (r->status != 200 && r->status != 503))
    {
      give_up (m, "run was not stopped");
      return;
    }
  if (x == NULL)
    {
      free_copy (m);
      return;
    }
  /* Where the rest could not be copied, the source still keeps it all.  */
  next = cv_target_ref (r->status == 200 ? m->to : m->from);
  (void)cv_copy (handle, sizeof handle, m->handle);
  finish (m, r->status == 200 ? "moved" : "goes on at the source");
  cv_exchange_resume (x, next, &source, handle, "moved off its engine");
  cv_target_unref (next);
}

static void
on_result (void *owner, const cv_http_result_t *r)
{
  cv_move_t *m = owner;

  switch (m->phase)
    {
    case CV_MOVE_COPY:
      if (r->status == 200 && cv_platform_decode_move (r->body, m->handle))
        {
          if (m->exchange != NULL)
            order (m, true);
          else
            free_copy (m);
          return;
        }
      give_up (m, r->status == 404 ? "no such run" : "no copy was made");
      return;
    case CV_MOVE_STOP:
      on_stopped (m, r);
      return;
    case CV_MOVE_FREE:
      finish (m, "copy freed");
      return;
    }
}

bool
cv_move_is_stopping (const cv_move_t *m)
{
  return m->phase == CV_MOVE_STOP;
}

void
cv_move_forget (cv_move_t *m)
{
  m->exchange->move = NULL;
  m->exchange = NULL;
}

/* Whether the stream of X ends with its engine unless it is moved.  */
static bool
needs_move (const cv_exchange_t *x, const cv_target_t *t)
{
  return x->target == t && x->move == NULL && x->moves < TRIES_MAX
         && x->state == CV_EXCHANGE_STREAMING && x->events.count > 0
         && !x->route->resumable && x->service->engine.can_move
         && x->request.attempt.p != NULL && x->request.attempt.n < CV_RUN_MAX;
}

static void
describe (const cv_exchange_t *x, cv_time_t now, cv_evacuee_t *out)
{
  uint32_t per_event = x->service->engine.event_tokens;
  uint64_t made = x->events.count * per_event;
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

static void
start (cv_exchange_t *x, cv_target_t *t)
{
  cv_evacuee_t run;
  cv_target_t *to;
  cv_move_t *m;

  describe (x, cv_now (), &run);
  to = cv_choose_destination (x, t, run.memory_tokens + MARGIN_TOKENS);

  x->moves++;
  if (to == NULL)
    {
      send_turn (t, x->request.attempt, CV_TURN_OVER, 0);
      return;
    }
  m = cv_calloc (1, sizeof *m);
  m->exchange = x;
  m->from = cv_target_ref (t);
  m->to = cv_target_ref (to);
  m->tokens = x->need_tokens;
  m->started = cv_now ();
  (void)cv_copy_slice (m->run, sizeof m->run, x->request.attempt);
  to->copy_tokens += m->tokens;
  t->move = m;
  x->move = m;
  cv_http_call_init (&m->call, x->gateway->base, &t->record.address, on_result,
                     m);
  cv_ask_tell (x, to, CV_ROOM_TAKEN);
  log_move (m, CV_EV_GATEWAY_MOVE_STARTED, "copying");
  order (m, false);
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
    if (n < RUNS_MAX && needs_move (x, t))
      {
        describe (x, now, &runs[n]);
        candidates[n++] = x;
      }
  i = cv_evacuation_pick (runs, n, cv_target_time_left (t, now));
  if (i != CV_EVACUATION_NONE)
    start (candidates[i], t);
}

static void
ask_turns (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  cv_exchange_t *x;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    {
      cv_evacuee_t run;

      if (!needs_move (x, t))
        continue;
      describe (x, now, &run);
      if (cv_evacuation_pick (&run, 1, cv_target_time_left (t, now))
          != CV_EVACUATION_NONE)
        send_turn (t, x->request.attempt, CV_TURN_WANTED, run.memory_tokens);
    }
}

void
cv_move_granted (cv_gateway_t *g, cv_target_t *t, const char *run)
{
  cv_exchange_t *x;

  if (t->move != NULL)
    return;
  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    if (needs_move (x, t)
        && cv_slice_equal (x->request.attempt, cv_slice (run)))
      {
        start (x, t);
        return;
      }
  send_turn (t, cv_slice (run), CV_TURN_OVER, 0);
}

static void
evacuate (cv_gateway_t *g, cv_target_t *t, cv_time_t now)
{
  if (cv_target_is_observed (t, now))
    ask_turns (g, t, now);
  else
    start_next (g, t, now);
}

void
cv_moves_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_target_t *t;
  cv_target_t *next;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = next)
    {
      next = TAILQ_NEXT (t, entry);
      if (t->move != NULL)
        cv_http_call_tick (&t->move->call, now);
      else if (t->in_flight > 0 && cv_target_is_departing (t))
        evacuate (g, t, now);
    }
}

void
cv_moves_finish (cv_gateway_t *g)
{
  cv_target_t *t;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    if (t->move != NULL)
      finish (t->move, "stopped");
}
