/* The move of one run's memory to another engine: room is asked for there, then
   comes a copy while the run goes on, then the run stops, the rest is copied,
   and the stream goes on at the other engine.  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"

/* A copy of the largest run between failure domains takes about 0.5 s, and
   it may queue behind others.  */
#define CALL_TIMEOUT (2500 * CV_MS)
/* What a run grows by while it is copied.  */
#define MARGIN_TOKENS 64

/* An answer on room takes about 2 ms.  */
#define ANSWER_TIMEOUT (40 * CV_MS)
/* Destinations that are asked in a row.  */
#define ASKS_MAX 8
/* A destination without room is left alone for so long, a report's time.  */
#define NO_ROOM_FOR (60 * CV_MS)
/* When room for a run is looked for again: a notice of leaving is 1.4 s at
   least, and full engines stay so for seconds.  */
#define RESCUE_AGAIN (50 * CV_MS)
#define BALANCE_AGAIN (300 * CV_MS)

typedef enum
{
  CV_MOVE_ASK = 1,   /* the destination's observer for room */
  CV_MOVE_COPY,      /* the run goes on meanwhile */
  CV_MOVE_STOP,      /* the run stops, the rest is copied */
  CV_MOVE_FREE,      /* nobody needs the copy any more: tell the source */
  CV_MOVE_FREE_THERE /* the source is gone: tell the destination */
} cv_move_phase_t;

struct cv_move_t
{
  cv_exchange_t *exchange; /* NULL once it ended */
  cv_target_t *from;
  cv_target_t *to;
  uint64_t tokens; /* reserved at TO */
  cv_http_call_t call;
  cv_move_phase_t phase;
  cv_room_purpose_t purpose;
  cv_time_t asked_at;
  uint32_t asks;
  cv_time_t started;
  bool is_done; /* the run goes on at TO, which keeps its room */
  const char *outcome;
  char run[CV_RUN_MAX];
  char handle[CV_NAME_MAX]; /* of the copy, empty where there is none */
};

static void on_result (void *owner, const cv_http_result_t *r);
static void leave_destination (cv_move_t *m);

static const char *
purpose_text (cv_room_purpose_t purpose)
{
  switch (purpose)
    {
    case CV_ROOM_NEW:
    case CV_ROOM_LATE:
      return "new run";
    case CV_ROOM_BALANCE:
      return "makes room on a full engine";
    case CV_ROOM_RESCUE:
      return "engine ends or runs out of memory";
    }
  return "";
}

static void
log_move (const cv_move_t *m, cv_event_t event, const char *outcome)
{
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "request", cv_slice (m->run));
  cv_line_text (&l, "from", cv_slice (m->from->record.id));
  cv_line_text (&l, "to", cv_slice (m->to != NULL ? m->to->record.id : ""));
  cv_line_text (&l, "outcome", cv_slice (outcome));
  cv_line_number (&l, "phase", m->phase);
  cv_line_number (&l, "after_us", cv_now () - m->started);
  cv_line_end (&l);
}

static void
finish (cv_move_t *m)
{
  if (!m->is_done && m->to != NULL)
    cv_ask_end (m->to, cv_slice (m->run), CV_ROOM_RELEASED);
  cv_evacuee_turn (m->from, cv_slice (m->run), CV_TURN_OVER, 0);
  log_move (m, CV_EV_GATEWAY_MOVE_ENDED, m->outcome);
  if (m->exchange != NULL)
    m->exchange->move = NULL;
  m->from->move = NULL;
  if (m->to != NULL)
    leave_destination (m);
  cv_http_call_finish (&m->call);
  cv_target_unref (m->from);
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

/* Nobody needs the copy.  The source frees both ends; where it is gone, the
   destination is told.  */
static void
free_copy (cv_move_t *m, bool at_source)
{
  cv_buf_t path;

  m->phase = at_source ? CV_MOVE_FREE : CV_MOVE_FREE_THERE;
  if (!at_source)
    {
      cv_http_call_finish (&m->call);
      cv_http_call_init (&m->call, m->to->gateway->base, &m->to->record.address,
                         on_result, m);
    }
  cv_buf_init (&path);
  cv_platform_copy_path (&path, m->handle);
  cv_http_call_start (&m->call, "DELETE", cv_buf_text (&path),
                      (cv_slice_t){ NULL, 0 }, CALL_TIMEOUT);
  cv_buf_finish (&path);
}

/* The move did not come about; a copy that is there is freed.  */
static void
give_up (cv_move_t *m, const char *outcome)
{
  cv_exchange_t *x = m->exchange;
  bool parted = x != NULL && x->is_parted;

  m->outcome = outcome;
  if (x != NULL)
    cv_move_forget (m);
  if (m->handle[0] == '\0')
    finish (m);
  else
    free_copy (m, true);
  if (parted)
    cv_exchange_failed (x, "move failed and the run ended", true);
}

/* The stream of X goes on from the memory that SOURCE moved or kept.  */
static void
go_on (cv_move_t *m, cv_target_t *t, const char *outcome)
{
  cv_exchange_t *x = m->exchange;
  cv_target_t *next = cv_target_ref (t);
  struct sockaddr_in source = m->from->record.address;
  char handle[CV_NAME_MAX];

  (void)cv_copy (handle, sizeof handle, m->handle);
  m->outcome = outcome;
  m->is_done = t == m->to;
  cv_move_forget (m);
  if (m->is_done)
    finish (m);
  else
    free_copy (m, false);
  cv_exchange_resume (x, next, &source, handle, "moved off its engine");
  cv_target_unref (next);
}

static void
on_stopped (cv_move_t *m, const cv_http_result_t *r)
{
  cv_exchange_t *x = m->exchange;
  bool has_handle = cv_platform_decode_move (r->body, m->handle);

  if (x == NULL)
    give_up (m, "run has ended");
  else if (has_handle && r->status == 200)
    go_on (m, m->to, "moved");
  else if (has_handle && r->status == 503)
    go_on (m, m->from, "goes on at the source");
  else if (r->status == 0 && x->is_parted)
    go_on (m, m->to, "source ended; goes on from what was copied");
  else
    give_up (m, "run was not stopped");
}

static void
on_result (void *owner, const cv_http_result_t *r)
{
  cv_move_t *m = owner;

  switch (m->phase)
    {
    case CV_MOVE_ASK:
      return; /* nothing was called */
    case CV_MOVE_COPY:
      if (r->status != 200 || !cv_platform_decode_move (r->body, m->handle))
        give_up (m, r->status == 404 ? "no such run" : "no copy was made");
      else if (m->exchange != NULL)
        order (m, true);
      else
        give_up (m, "run has ended");
      return;
    case CV_MOVE_STOP:
      on_stopped (m, r);
      return;
    case CV_MOVE_FREE:
      if (r->status == 0)
        free_copy (m, false);
      else
        finish (m);
      return;
    case CV_MOVE_FREE_THERE:
      finish (m);
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

static void
leave_destination (cv_move_t *m)
{
  m->to->copy_tokens -= m->tokens;
  cv_target_unref (m->to);
  m->to = NULL;
}

static void
copy (cv_move_t *m)
{
  m->exchange->moves++;
  log_move (m, CV_EV_GATEWAY_MOVE_STARTED, purpose_text (m->purpose));
  order (m, false);
}

/* Find a destination and ask it; false when there is none.  */
static bool
ask (cv_move_t *m)
{
  cv_exchange_t *x = m->exchange;
  cv_target_t *to;
  cv_evacuee_t run;

  cv_evacuee_describe (x, cv_now (), &run);
  to = cv_choose_destination (x, m->from, run.memory_tokens + MARGIN_TOKENS,
                              m->purpose);
  if (to == NULL)
    return false;
  m->to = cv_target_ref (to);
  to->copy_tokens += m->tokens;
  if (!cv_target_is_observed (to, cv_now ()))
    {
      copy (m);
      return true;
    }
  m->phase = CV_MOVE_ASK;
  m->asked_at = cv_now ();
  m->asks++;
  cv_ask_tell (x, to, m->purpose);
  return true;
}

/* No engine has room for the run at present.  */
static void
give_up_asking (cv_move_t *m)
{
  m->exchange->no_move_until
      = cv_now ()
        + (m->purpose == CV_ROOM_RESCUE ? RESCUE_AGAIN : BALANCE_AGAIN);
  give_up (m, "no engine has room");
}

void
cv_move_start (cv_exchange_t *x, cv_target_t *t)
{
  cv_move_t *m = cv_calloc (1, sizeof *m);

  m->exchange = x;
  m->from = cv_target_ref (t);
  m->tokens = x->need_tokens;
  m->started = cv_now ();
  m->purpose = cv_target_is_departing (t) || t->load.strain == CV_STRAIN_CROWDED
                   ? CV_ROOM_RESCUE
                   : CV_ROOM_BALANCE;
  (void)cv_copy_slice (m->run, sizeof m->run, x->request.attempt);
  t->move = m;
  x->move = m;
  cv_http_call_init (&m->call, x->gateway->base, &t->record.address, on_result,
                     m);
  if (!ask (m))
    give_up_asking (m);
}

/* The destination has no room: ask another one.  */
static void
ask_next (cv_move_t *m)
{
  m->to->no_room_until = cv_now () + NO_ROOM_FOR;
  leave_destination (m);
  if (m->asks >= ASKS_MAX || !ask (m))
    give_up_asking (m);
}

bool
cv_move_answered (cv_gateway_t *g, const cv_target_t *to,
                  const cv_msg_room_t *answer)
{
  cv_target_t *t;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      cv_move_t *m = t->move;

      if (m == NULL || m->phase != CV_MOVE_ASK || m->to != to
          || strcmp (m->run, answer->run) != 0)
        continue;
      if (m->exchange == NULL)
        give_up (m, "run has ended");
      else if (answer->step == CV_ROOM_GRANTED)
        copy (m);
      else
        ask_next (m);
      return true;
    }
  return false;
}

/* No answer: the observer may be gone.  A run that is lost otherwise is copied
   all the same.  */
static void
ask_timeout (cv_move_t *m, cv_time_t now)
{
  if (now - m->asked_at < ANSWER_TIMEOUT)
    return;
  if (m->exchange == NULL)
    give_up (m, "run has ended");
  else if (m->purpose == CV_ROOM_RESCUE)
    copy (m);
  else
    ask_next (m);
}

/* No answer on room, or to a call.  */
void
cv_move_tick (cv_move_t *m, cv_time_t now)
{
  if (m->phase == CV_MOVE_ASK)
    ask_timeout (m, now);
  else
    cv_http_call_tick (&m->call, now);
}

void
cv_move_abandon (cv_move_t *m)
{
  m->outcome = "stopped";
  finish (m);
}
