/* Inputs of the placement decisions: the gateway's view of its targets.  */

#include <string.h>

#include "gateway/state.h"
#include "policy/placement.h"
#include "policy/room.h"

/* Targets of one service that are looked at.  */
#define CANDIDATES_MAX 256
/* Ranges of the time to come back after a refusal.  Engines free memory
   within about a second, plain services within their work time.  */
#define RETRY_ENGINE_MS 700
#define RETRY_SERVICE_MS 150

/* An observer tells its load at least every 0.4 s.  */
#define LOAD_FRESH (1200 * CV_MS)
/* An observer has found its engine and the gateways after this.  */
#define FIRST_WORD (1500 * CV_MS)
/* Between the sending of a request and its being seen by an observer whose
   word has come back.  */
#define LOAD_DELAY (5 * CV_MS)
typedef struct
{
  cv_candidate_t seen[CANDIDATES_MAX];
  cv_target_t *target[CANDIDATES_MAX];
  uint32_t n;
} candidates_t;

static bool
was_tried (const cv_exchange_t *x, const cv_target_t *t)
{
  for (uint32_t i = 0; i < x->tried_count; i++)
    if (strcmp (x->tried[i], t->record.id) == 0)
      return true;
  return false;
}

/* What the engine has and is promised, by its observer's word, and own
   requests since.  */
static void
fill_from_load (cv_candidate_t *out, const cv_target_t *t)
{
  const cv_msg_engine_load_t *l = &t->load;

  out->memory_used = l->kv_peak + t->unseen_tokens;
  out->prompt_backlog = l->unread + t->unseen_prompt;
  out->in_flight = l->running + l->waiting + t->unseen;
}

/* Nobody has told of the engine.  All gateways see a new one empty at the same
   moment, so it is left alone until its observer has had time to speak; later
   each gateway takes it that the others do as it does.  */
static void
fill_unobserved (cv_candidate_t *out, const cv_target_t *t, cv_time_t now)
{
  bool known = t->gateway->observed_at > 0;
  uint64_t gateways = known ? t->gateway->gateway_count : 1;

  out->memory_used = (t->run_tokens + t->copy_tokens) * gateways;
  out->prompt_backlog = t->unread_tokens * gateways;
  out->in_flight = t->in_flight;
  if (now - t->gateway->observed_at < LOAD_FRESH
      && now - t->listed_at < FIRST_WORD)
    out->usable = false;
}

/* Own requests that went out after the last word of an observer.  */
static void
count_unseen (cv_gateway_t *g)
{
  cv_target_t *t;
  cv_exchange_t *x;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      t->unseen_tokens = 0;
      t->unseen_prompt = 0;
      t->unseen = 0;
    }
  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = TAILQ_NEXT (x, entry))
    {
      if (x->target != NULL && x->sent_at > x->target->load_at - LOAD_DELAY)
        {
          x->target->unseen_tokens += x->need_tokens;
          x->target->unseen_prompt += x->request.prompt_tokens;
          x->target->unseen++;
        }
    }
}

static void
add (candidates_t *c, const cv_exchange_t *x, cv_target_t *t,
     const char *domain, cv_time_t now)
{
  const cv_service_t *s = x->service;
  cv_candidate_t *out = &c->seen[c->n];

  out->usable = cv_target_usable (t, now) && !was_tried (x, t);
  out->same_domain = strcmp (t->record.failure_domain, domain) == 0;
  out->memory_total = s->is_engine ? s->engine.memory_tokens : 0;
  out->slots = s->is_engine ? s->engine.slots : t->record.slots;
  if (s->is_engine && now - t->load_at < LOAD_FRESH)
    fill_from_load (out, t);
  else if (s->is_engine)
    fill_unobserved (out, t, now);
  else
    out->in_flight = t->in_flight;
  t->seen_as = *out;
  c->target[c->n++] = t;
}

static void
collect (candidates_t *c, cv_exchange_t *x, const char *domain)
{
  cv_time_t now = cv_now ();
  cv_target_t *t;

  c->n = 0;
  if (x->service->is_engine)
    count_unseen (x->gateway);
  for (t = TAILQ_FIRST (&x->gateway->targets); t != NULL;
       t = TAILQ_NEXT (t, entry))
    if (c->n < CANDIDATES_MAX
        && strcmp (t->record.service, x->service->name) == 0)
      add (c, x, t, domain, now);
}

/* Whether the observer of T would refuse X: it has done so and has told of no
   change since, or too many prompts wait there.  */
static bool
would_refuse (const cv_target_t *t, const cv_exchange_t *x, bool is_move)
{
  cv_time_t now = cv_now ();

  if (is_move)
    return now < t->no_room_until;
  if (t->refused_tokens > 0 && x->need_tokens >= t->refused_tokens)
    return true;
  if (x->urgency.is_late && t->refused_late_tokens > 0
      && x->need_tokens >= t->refused_late_tokens)
    return true;
  return now - t->load_at < LOAD_FRESH && x->service->is_engine
         && t->load.unread + t->unseen_prompt > CV_ROOM_UNREAD_MAX;
}

static cv_target_t *
choose (cv_exchange_t *x, const cv_placement_work_t *work, const char *domain,
        bool rescue)
{
  candidates_t c;
  uint32_t i;

  collect (&c, x, domain);
  for (i = 0; i < c.n; i++)
    c.seen[i].usable &= !would_refuse (c.target[i], x, work->is_move);
  /* Off an engine that ends, a run goes wherever its present memory fits; its
     growth comes later.  */
  for (i = 0; rescue && i < c.n; i++)
    c.seen[i].memory_used = c.target[i]->load.kv_used + c.target[i]->copy_tokens
                            + c.target[i]->unseen_tokens;
  i = cv_placement_pick (c.seen, c.n, work, cv_rng_uniform (&x->gateway->rng));
  return i == CV_PLACEMENT_NONE ? NULL : c.target[i];
}

cv_target_t *
cv_choose_target (cv_exchange_t *x)
{
  cv_placement_work_t work = { .memory = x->request.prompt_tokens, .fill = 1 };

  return choose (x, &work, x->gateway->settings.failure_domain, false);
}

cv_target_t *
cv_choose_destination (cv_exchange_t *x, const cv_target_t *t, uint64_t tokens,
                       cv_room_purpose_t purpose)
{
  cv_placement_work_t work = { .memory = tokens, .is_move = true, .fill = 1 };
  cv_target_t *to;

  if (purpose == CV_ROOM_BALANCE)
    work.fill = CV_ROOM_BALANCE_FILL;
  to = choose (x, &work, t->record.failure_domain, false);
  if (to == NULL && purpose == CV_ROOM_RESCUE)
    to = choose (x, &work, t->record.failure_domain, true);
  return to;
}

uint32_t
cv_choose_retry_after (cv_exchange_t *x)
{
  bool engine = x->service != NULL && x->service->is_engine;
  cv_time_t left = x->expires - cv_now ();

  if (x->service_state == NULL)
    return RETRY_SERVICE_MS;
  return cv_refusal_retry_after (&x->service_state->refusals,
                                 engine ? RETRY_ENGINE_MS : RETRY_SERVICE_MS,
                                 left > 0 ? (uint32_t)(left / CV_MS) : 0,
                                 cv_rng_uniform (&x->gateway->rng));
}
