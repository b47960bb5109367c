/* Requests of services whose routes differ in priority or objective: their
   order in the queue, and which of them are refused at once.  */

#include <string.h>

#include "gateway/state.h"
#include "policy/shortage.h"

/* Time that a newly sent prompt waits while the engine prefills others; the
   same as in exchange.c.  */
#define PREFILL_QUEUE_TIME (250 * CV_MS)
/* Callers of streams wait four objectives for the first event; one is left for
   the run to begin.  */
#define WAIT_OBJECTIVES 3

/* The expected wait is wrong by up to this factor either way; a request that
   waits in vain loses less than one that is refused and could have been
   served.  */
#define WAIT_MARGIN 2

static cv_time_t
hold_time (const cv_exchange_t *x)
{
  return cv_shortage_hold (x->request.prompt_tokens, x->expected_output.median);
}

static cv_use_request_t
use_request (const cv_exchange_t *x)
{
  cv_use_request_t q = { .tokens = x->need_tokens, .work = x->work };

  q.class_key = cv_hash (x->route->name, strlen (x->route->name), 0);
  if (x->account != NULL)
    q.account_key = cv_hash (x->account->name, strlen (x->account->name), 0);
  return q;
}

static void
update_claim (cv_exchange_t *x, cv_time_t now)
{
  cv_use_request_t q = use_request (x);

  x->claim.is_begun = x->head_sent;
  x->claim.is_starved = cv_use_is_starved (&x->service_state->use, now, &q);
  x->claim.is_of_largest = cv_use_is_largest (&x->service_state->use, now, &q);
}

/* A late answer is worth something, until the caller takes the stream for dead
   or a run could no longer end before the deadline.  */
static void
extend_wait (cv_exchange_t *x, cv_time_t last_start)
{
  cv_time_t until
      = x->started_at + WAIT_OBJECTIVES * x->route->objective_ms * CV_MS;

  if (until > last_start)
    until = last_start;
  if (until > x->placement_deadline)
    x->placement_deadline = until;
}

void
cv_exchange_set_claim (cv_exchange_t *x, cv_time_t in_time_wait)
{
  cv_time_t last_start;

  x->is_ranked
      = x->service->is_ranked
        && cv_names_find (&x->gateway->settings.features, "pressure") != NULL;
  if (!x->is_ranked)
    return;
  x->work = (double)x->need_tokens * (double)hold_time (x) / (double)CV_SECOND;
  last_start = x->deadline;
  if (x->service->is_engine)
    last_start -= PREFILL_QUEUE_TIME + hold_time (x);
  x->claim = (cv_claim_t){ .rank = cv_exchange_rank (x),
                           .is_late = x->urgency.is_late,
                           .objective_at = x->started_at + in_time_wait,
                           .deadline_at = last_start };
  if (cv_exchange_is_generation (x))
    extend_wait (x, last_start);
  update_claim (x, x->started_at);
}

bool
cv_exchange_is_late (const cv_exchange_t *x, cv_time_t now)
{
  return x->is_ranked ? !cv_claim_is_in_time (&x->claim, now)
                      : x->urgency.is_late;
}

bool
cv_exchange_can_wait_long (const cv_exchange_t *x, cv_time_t now)
{
  return x->is_ranked && cv_claim_is_far (&x->claim, now);
}

bool
cv_exchange_ends_soon (const cv_exchange_t *x)
{
  return x->is_ranked && x->request.is_generation
         && cv_shortage_is_short (hold_time (x));
}

/* ---- the queue ---- */

/* Whether the order of A and B in the queue matters.  */
static bool
competes (const cv_exchange_t *a, const cv_exchange_t *b)
{
  if (!a->is_ranked || !b->is_ranked)
    return a->is_ranked == b->is_ranked;
  return a->service_state == b->service_state;
}

bool
cv_exchange_precedes (const cv_exchange_t *a, const cv_exchange_t *b,
                      cv_time_t now)
{
  return a->is_ranked ? cv_claim_precedes (&a->claim, &b->claim, now)
                      : cv_urgency_precedes (&a->urgency, &b->urgency);
}

void
cv_exchange_enqueue (cv_exchange_t *x, cv_time_t now)
{
  cv_exchange_t *other;

  x->is_queued = true;
  if (x->is_ranked)
    update_claim (x, now);
  TAILQ_FOREACH_REVERSE (other, &x->gateway->waiting, cv_exchanges_t, waiting)
  if (competes (x, other) && !cv_exchange_precedes (x, other, now))
    {
      TAILQ_INSERT_AFTER (&x->gateway->waiting, other, x, waiting);
      return;
    }
  TAILQ_INSERT_HEAD (&x->gateway->waiting, x, waiting);
}

/* Expected time until X and the exchanges ahead of it are sent; -1 if not
   known.  AHEAD receives their number.  */
static cv_time_t
expected_wait (const cv_exchange_t *x, cv_time_t now, uint32_t *ahead)
{
  const cv_exchange_t *other;
  double work = x->work;

  *ahead = 0;
  for (other = TAILQ_FIRST (&x->gateway->waiting); other != NULL;
       other = TAILQ_NEXT (other, waiting))
    {
      if (other == x)
        break;
      if (!competes (x, other)
          || (!x->is_queued && cv_exchange_precedes (x, other, now)))
        continue;
      work += other->work;
      ++*ahead;
    }
  return cv_drain_wait (&x->service_state->drain, work);
}

bool
cv_exchange_refuse_unreachable (cv_exchange_t *x, cv_time_t now)
{
  uint32_t ahead;
  cv_time_t wait;

  if (!x->is_ranked || x->is_wait_judged || x->head_sent || x->may_have_run
      || !cv_exchange_is_generation (x))
    return false;
  x->is_wait_judged = true;
  wait = expected_wait (x, now, &ahead);
  if (wait < 0 || now + wait / WAIT_MARGIN <= x->placement_deadline)
    return false;
  x->gateway->counts.shortage_refusals++;
  cv_exchange_fail (x, "the queue is too long for its deadline", false);
  return true;
}

void
cv_waiting_tick (cv_gateway_t *g, cv_time_t now)
{
  struct cv_exchanges_t waiting;
  cv_service_state_t *s;
  cv_exchange_t *x;

  for (s = TAILQ_FIRST (&g->services); s != NULL; s = TAILQ_NEXT (s, entry))
    {
      cv_drain_advance (&s->drain, now, s->has_queue);
      s->has_queue = false;
    }
  TAILQ_INIT (&waiting);
  TAILQ_CONCAT (&waiting, &g->waiting, waiting);
  while ((x = TAILQ_FIRST (&waiting)) != NULL)
    {
      TAILQ_REMOVE (&waiting, x, waiting);
      if (!x->is_ranked)
        {
          TAILQ_INSERT_TAIL (&g->waiting, x, waiting);
          continue;
        }
      x->service_state->has_queue = true;
      cv_exchange_enqueue (x, now);
    }
}

uint32_t
cv_exchange_retry_wait (const cv_exchange_t *x)
{
  uint32_t ahead;
  cv_time_t wait;

  if (!x->is_ranked || !cv_exchange_is_generation (x))
    return 0;
  wait = expected_wait (x, cv_now (), &ahead);
  return wait > 0 ? (uint32_t)(wait / CV_MS) : 0;
}

/* ---- outcomes ---- */

void
cv_shortage_note_sent (cv_exchange_t *x)
{
  cv_service_state_t *s = x->service_state;
  cv_use_request_t q;

  if (!x->is_ranked || x->sends > 1)
    return;
  q = use_request (x);
  cv_use_record (&s->use, cv_now (), &q, true);
  if (s->has_queue)
    cv_drain_sent (&s->drain, x->work);
  s->last_sent_at = cv_now ();
  s->last_sent_rank = x->claim.rank;
  (void)cv_copy (s->last_sent_route, sizeof s->last_sent_route, x->route->name);
}

void
cv_shortage_note_refused (cv_exchange_t *x)
{
  cv_use_request_t q;

  if (!x->is_ranked || x->sends > 0)
    return;
  q = use_request (x);
  cv_use_record (&x->service_state->use, cv_now (), &q, false);
}

void
cv_exchange_log_shortage (const cv_exchange_t *x, cv_line_t *l)
{
  const cv_service_state_t *s = x->service_state;
  cv_time_t now = cv_now ();
  uint32_t ahead;
  cv_time_t wait;

  if (!x->is_ranked)
    return;
  wait = expected_wait (x, now, &ahead);
  cv_line_number (l, "rank", x->claim.rank);
  cv_line_number (l, "ahead", ahead);
  cv_line_number (l, "expected_wait_us", wait);
  cv_line_number (l, "in_time", cv_claim_is_in_time (&x->claim, now));
  cv_line_number (l, "starved", x->claim.is_starved);
  cv_line_number (l, "largest_account", x->claim.is_of_largest);
  if (s->last_sent_at < x->started_at)
    return;
  cv_line_text (l, "lost_to", cv_slice (s->last_sent_route));
  cv_line_number (l, "lost_to_rank", s->last_sent_rank);
}

/* ---- metrics ---- */

/* Ranks of which the waiting requests are counted apart; the last one has all
   others.  */
#define METRIC_RANKS 10

static bool
has_ranked_service (const cv_gateway_t *g)
{
  for (uint32_t i = 0; g->routing != NULL && i < g->routing->service_count; i++)
    if (g->routing->services[i].is_ranked)
      return true;
  return false;
}

void
cv_shortage_add_metrics (cv_buf_t *out, const cv_gateway_t *g)
{
  uint32_t count[METRIC_RANKS] = { 0 };
  cv_time_t longest[METRIC_RANKS] = { 0 };
  cv_time_t now = cv_now ();
  const cv_exchange_t *x;

  if (!has_ranked_service (g))
    return;
  for (x = TAILQ_FIRST (&g->waiting); x != NULL; x = TAILQ_NEXT (x, waiting))
    {
      uint32_t r
          = x->claim.rank < METRIC_RANKS ? x->claim.rank : METRIC_RANKS - 1;

      if (!x->is_ranked)
        continue;
      count[r]++;
      if (now - x->started_at > longest[r])
        longest[r] = now - x->started_at;
    }
  cv_buf_printf (out, "# HELP catkinvale_gateway_waiting Requests that wait "
                      "for a target, by rank.\n"
                      "# TYPE catkinvale_gateway_waiting gauge\n");
  for (uint32_t r = 0; r < METRIC_RANKS; r++)
    cv_buf_printf (out, "catkinvale_gateway_waiting{rank=\"%u\"} %u\n", r,
                   count[r]);
  cv_buf_printf (out, "# HELP catkinvale_gateway_waiting_longest_ms Longest "
                      "time that one of them has waited.\n"
                      "# TYPE catkinvale_gateway_waiting_longest_ms gauge\n");
  for (uint32_t r = 0; r < METRIC_RANKS; r++)
    cv_buf_printf (out,
                   "catkinvale_gateway_waiting_longest_ms{rank=\"%u\"} %lld\n",
                   r, (long long)(longest[r] / CV_MS));
}
