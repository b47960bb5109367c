/* Inputs of the placement decisions: the gateway's view of its targets.  */

#include <string.h>

#include "gateway/state.h"
#include "policy/placement.h"

/* Targets of one service that are looked at.  */
#define CANDIDATES_MAX 256
/* Ranges of the time to come back after a refusal.  Engines free memory
   within about a second, plain services within their work time.  */
#define RETRY_ENGINE_MS 700
#define RETRY_SERVICE_MS 150

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

static void
add (candidates_t *c, const cv_exchange_t *x, cv_target_t *t, cv_time_t now)
{
  const cv_service_t *s = x->service;
  cv_candidate_t *out = &c->seen[c->n];

  out->usable = cv_target_usable (t, now) && !was_tried (x, t);
  out->same_domain
      = strcmp (t->record.failure_domain, x->gateway->settings.failure_domain)
        == 0;
  out->memory_total = s->is_engine ? s->engine.memory_tokens : 0;
  out->memory_used = t->run_tokens + t->copy_tokens;
  out->prompt_backlog = t->unread_tokens;
  out->in_flight = t->in_flight;
  out->slots = s->is_engine ? s->engine.slots : t->record.slots;
  c->target[c->n++] = t;
}

static void
collect (candidates_t *c, cv_exchange_t *x)
{
  cv_time_t now = cv_now ();
  cv_target_t *t;

  c->n = 0;
  TAILQ_FOREACH (t, &x->gateway->targets, entry)
  if (c->n < CANDIDATES_MAX
      && strcmp (t->record.service, x->service->name) == 0)
    add (c, x, t, now);
}

cv_target_t *
cv_choose_target (cv_exchange_t *x)
{
  cv_placement_work_t work
      = { .memory = x->need_tokens, .prompt_tokens = x->request.prompt_tokens };
  candidates_t c;
  uint32_t i;

  collect (&c, x);
  i = cv_placement_pick (c.seen, c.n, &work, cv_rng_uniform (&x->gateway->rng));
  return i == CV_PLACEMENT_NONE ? NULL : c.target[i];
}

cv_target_t *
cv_choose_backup (cv_exchange_t *x, const cv_target_t *t)
{
  candidates_t c;
  uint32_t runner = CV_PLACEMENT_NONE;
  uint32_t i;

  collect (&c, x);
  for (i = 0; i < c.n; i++)
    if (c.target[i] == t)
      runner = i;
  i = cv_placement_backup (c.seen, c.n, runner, x->need_tokens);
  return i == CV_PLACEMENT_NONE ? NULL : c.target[i];
}

uint32_t
cv_choose_retry_after (cv_exchange_t *x)
{
  bool engine = x->service != NULL && x->service->is_engine;

  return cv_retry_after_ms (&x->gateway->rng,
                            engine ? RETRY_ENGINE_MS : RETRY_SERVICE_MS);
}
