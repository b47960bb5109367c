/* Calls of a plain service.  A ticket runs at most once: this side remembers
   each one that it used for CV_GENERATIONS_KEPT generations and never runs
   one of an older generation or of another incarnation.  A used ticket is
   answered with the result of its one run.  */

#include <stdlib.h>
#include <string.h>

#include "side/core.h"

static bool epoch_known (const cv_core_t *c, const cv_ticket_t *t);
static bool take_known (cv_core_t *c, uint32_t peer, cv_id_t request,
                        const char *account, cv_call_t *call);
static bool admit (cv_core_t *c, cv_time_t now, uint32_t peer,
                   const cv_msg_call_t *m);
static cv_call_t *call_new (cv_core_t *c, cv_id_t id, bool ticketed,
                            uint32_t generation, const char *account);
static void call_free (cv_core_t *c, cv_call_t *call);
static void request_free (cv_call_t *call);
static void body_free (cv_core_t *c, cv_call_t *call);
static void wait_for (cv_call_t *call, uint32_t peer, cv_id_t request);
static void reject_waiters (cv_core_t *c, cv_call_t *call, cv_reject_t reason);
static void answer_waiters (cv_core_t *c, cv_call_t *call);
static void answer (cv_core_t *c, uint32_t peer, cv_id_t request,
                    const cv_call_t *call, bool replayed);
static void answer_plain (cv_core_t *c, uint32_t peer, cv_id_t request,
                          cv_outcome_t outcome);
static void store_result (cv_core_t *c, cv_call_t *call,
                          const cv_call_end_t *end);
static void hand_over (cv_core_t *c, cv_time_t now, cv_call_t *call);
static void give_up_running (cv_core_t *c, cv_time_t now, cv_idmap_t *m);
static void drop_queued (cv_core_t *c, cv_call_t *call, cv_reject_t reason);
static void queue_add (cv_core_t *c, cv_call_t *call);
static void queue_remove (cv_core_t *c, cv_call_t *call);
static void forget_old (cv_core_t *c);
static void map_finish (cv_core_t *c, cv_idmap_t *m);
static cv_call_t *find (const cv_core_t *c, cv_id_t id);

/* What a caller gets in place of an answer that was dropped for room.  */
static const char dropped_body[]
    = "{\"error\":{\"code\":\"answer_dropped\",\"message\":\"the call ran "
      "once; its answer is no longer stored\"}}";

void
cv_calls_init (cv_core_t *c, cv_time_t now)
{
  cv_idmap_init (&c->tickets);
  cv_idmap_init (&c->plain_calls);
  TAILQ_INIT (&c->call_queue);
  TAILQ_INIT (&c->calls_done);
  c->generation = 1;
  c->generation_since = now;
}

void
cv_calls_finish (cv_core_t *c)
{
  map_finish (c, &c->tickets);
  map_finish (c, &c->plain_calls);
}

/* ---- messages ---- */

void
cv_calls_call (cv_core_t *c, cv_time_t now, uint32_t peer,
               const cv_msg_call_t *m)
{
  bool ticketed = !cv_id_is_zero (m->ticket.nonce);
  cv_id_t id = ticketed ? m->ticket.nonce : m->request;
  cv_call_t *call;

  c->counts.calls++;
  if (ticketed && !epoch_known (c, &m->ticket))
    {
      answer_plain (c, peer, m->request, CV_OUTCOME_UNKNOWN);
      return;
    }
  call = find (c, id);
  if (call != NULL && call->ticketed == ticketed)
    {
      (void)take_known (c, peer, m->request, m->account, call);
      return;
    }
  if (call != NULL || !admit (c, now, peer, m))
    return;
  call = call_new (c, id, ticketed, m->ticket.generation, m->account);
  (void)cv_copy (call->method, sizeof call->method, m->method);
  call->path = cv_strdup_n (m->path.p, m->path.n);
  call->request_type = cv_strdup_n (m->content_type.p, m->content_type.n);
  call->request_body = cv_strdup_n (m->body.p, m->body.n);
  call->request_size = m->body.n;
  call->deadline = now + m->deadline_ms * CV_MS;
  wait_for (call, peer, m->request);
  queue_add (c, call);
}

void
cv_calls_revoke (cv_core_t *c, cv_time_t now, uint32_t peer,
                 const cv_msg_revoke_t *m)
{
  cv_call_t *call;

  (void)now;
  if (cv_id_is_zero (m->ticket.nonce) || !epoch_known (c, &m->ticket))
    {
      answer_plain (c, peer, m->request, CV_OUTCOME_UNKNOWN);
      return;
    }
  call = find (c, m->ticket.nonce);
  if (call == NULL && c->tickets.count >= CV_TICKETS_MAX)
    {
      cv_core_reject (c, peer, m->request, CV_REJECT_FULL, CV_RETRY_DEFAULT_MS);
      return;
    }
  if (call == NULL)
    {
      call = call_new (c, m->ticket.nonce, true, m->ticket.generation,
                       m->account);
      call->state = CV_CALL_BARRED;
    }
  if (!take_known (c, peer, m->request, m->account, call))
    return;
  if (call->state != CV_CALL_QUEUED)
    return;
  queue_remove (c, call);
  call->state = CV_CALL_BARRED;
  request_free (call);
  answer_waiters (c, call);
}

/* ---- running ---- */

void
cv_calls_run (cv_core_t *c, cv_time_t now)
{
  cv_call_t *call;

  while (c->backend_up && c->calls_running < c->set.max_calls
         && (call = TAILQ_FIRST (&c->call_queue)) != NULL)
    {
      if (now >= call->deadline)
        drop_queued (c, call, CV_REJECT_FULL);
      else
        hand_over (c, now, call);
    }
}

void
cv_calls_tick (cv_core_t *c, cv_time_t now)
{
  cv_call_t *call = TAILQ_FIRST (&c->call_queue);

  while (call != NULL)
    {
      cv_call_t *next = TAILQ_NEXT (call, link);

      if (now >= call->deadline)
        drop_queued (c, call, CV_REJECT_FULL);
      else if (!c->backend_up)
        drop_queued (c, call, CV_REJECT_ENGINE);
      call = next;
    }
  if (now - c->generation_since < CV_GENERATION_LIFE)
    return;
  c->generation++;
  c->generation_since = now;
  forget_old (c);
}

void
cv_calls_reclaim (cv_core_t *c, cv_time_t now, bool last)
{
  cv_call_t *call;

  while ((call = TAILQ_FIRST (&c->call_queue)) != NULL)
    drop_queued (c, call, CV_REJECT_LEAVING);
  if (!last)
    return;
  give_up_running (c, now, &c->tickets);
  give_up_running (c, now, &c->plain_calls);
}

void
cv_core_call_end (cv_core_t *c, cv_time_t now, const cv_call_end_t *end)
{
  cv_call_t *call = find (c, end->call);

  (void)now;
  if (call == NULL || call->state != CV_CALL_RUNNING)
    return;
  c->calls_running--;
  request_free (call);
  if (!end->ran)
    {
      /* Nothing was sent, so the ticket is as good as unused.  */
      reject_waiters (c, call, CV_REJECT_ENGINE);
      call_free (c, call);
      return;
    }
  if (end->outcome != CV_OUTCOME_DONE)
    c->counts.calls_unknown++;
  store_result (c, call, end);
  answer_waiters (c, call);
  if (!call->ticketed)
    {
      call_free (c, call);
      return;
    }
  while (c->result_bytes > CV_RESULTS_BYTES)
    body_free (c, TAILQ_FIRST (&c->calls_done));
}

/* Answer the running calls of M as unknown; their results come too late.  */
static void
give_up_running (cv_core_t *c, cv_time_t now, cv_idmap_t *m)
{
  cv_call_end_t end = { .ran = true, .outcome = CV_OUTCOME_UNKNOWN };
  size_t i;

  for (i = 0; i < m->buckets; i++)
    {
      cv_idnode_t *node = LIST_FIRST (&m->bucket[i]);

      while (node != NULL)
        {
          cv_idnode_t *next = LIST_NEXT (node, link);

          end.call = node->id;
          cv_core_call_end (c, now, &end);
          node = next;
        }
    }
}

static void
hand_over (cv_core_t *c, cv_time_t now, cv_call_t *call)
{
  cv_side_out_t out = { .type = CV_OUT_SERVICE_CALL };
  cv_service_call_t *order = &out.u.call;

  queue_remove (c, call);
  call->state = CV_CALL_RUNNING;
  c->calls_running++;
  order->call = call->node.id;
  if (call->ticketed)
    order->nonce = call->node.id;
  order->method = call->method;
  order->path = cv_slice (call->path);
  order->content_type = cv_slice (call->request_type);
  order->body.p = call->request_body;
  order->body.n = call->request_size;
  order->timeout_ms = (uint32_t)((call->deadline - now) / CV_MS) + 1;
  c->emit (c->arg, &out);
}

/* CALL has not run and will not by the messages that wait for it.  */
static void
drop_queued (cv_core_t *c, cv_call_t *call, cv_reject_t reason)
{
  queue_remove (c, call);
  reject_waiters (c, call, reason);
  request_free (call);
  call_free (c, call);
}

static void
queue_add (cv_core_t *c, cv_call_t *call)
{
  TAILQ_INSERT_TAIL (&c->call_queue, call, link);
  c->calls_queued++;
}

static void
queue_remove (cv_core_t *c, cv_call_t *call)
{
  TAILQ_REMOVE (&c->call_queue, call, link);
  c->calls_queued--;
}

/* ---- tickets ---- */

static bool
epoch_known (const cv_core_t *c, const cv_ticket_t *t)
{
  return strcmp (t->target, c->set.target) == 0
         && t->incarnation == c->set.incarnation
         && t->generation <= c->generation
         && c->generation - t->generation < CV_GENERATIONS_KEPT;
}

/* REQUEST names a call that is known already: answer it, or let it wait.
   False when it is another account's.  */
static bool
take_known (cv_core_t *c, uint32_t peer, cv_id_t request, const char *account,
            cv_call_t *call)
{
  if (strcmp (call->account, account) != 0)
    {
      cv_core_reject (c, peer, request, CV_REJECT_NOT_FOUND, 0);
      return false;
    }
  switch (call->state)
    {
    case CV_CALL_QUEUED:
    case CV_CALL_RUNNING:
      wait_for (call, peer, request);
      break;
    case CV_CALL_DONE:
    case CV_CALL_BARRED:
      c->counts.calls_replayed++;
      answer (c, peer, request, call, true);
      break;
    }
  return true;
}

static bool
admit (cv_core_t *c, cv_time_t now, uint32_t peer, const cv_msg_call_t *m)
{
  cv_reject_t reason;
  size_t known = c->tickets.count + c->plain_calls.count;

  if (!cv_docs_admit (c, now, peer, m->config_version))
    reason = CV_REJECT_OLD_CONFIG;
  else if (c->leaving)
    reason = CV_REJECT_LEAVING;
  else if (!c->backend_up || c->set.kind != CV_POOL_SERVICE)
    reason = CV_REJECT_ENGINE;
  else if (cv_suspects_state (c->suspects, m->content_hash, c->wall_s)
           == CV_CONTENT_CONDEMNED)
    reason = CV_REJECT_CONDEMNED;
  else if (known >= CV_TICKETS_MAX || c->calls_queued >= CV_CALL_QUEUE_MAX)
    reason = CV_REJECT_FULL;
  else
    return true;
  cv_core_reject (c, peer, m->request, reason,
                  reason == CV_REJECT_FULL ? CV_RETRY_DEFAULT_MS : 0);
  return false;
}

static void
forget_old (cv_core_t *c)
{
  size_t i;

  for (i = 0; i < c->tickets.buckets; i++)
    {
      cv_idnode_t *node = LIST_FIRST (&c->tickets.bucket[i]);

      while (node != NULL)
        {
          cv_call_t *call = (cv_call_t *)node;
          bool over
              = call->state == CV_CALL_DONE || call->state == CV_CALL_BARRED;

          node = LIST_NEXT (node, link);
          if (over && c->generation - call->generation >= CV_GENERATIONS_KEPT)
            call_free (c, call);
        }
    }
}

/* ---- answers ---- */

static void
wait_for (cv_call_t *call, uint32_t peer, cv_id_t request)
{
  cv_waiter_t *w = cv_calloc (1, sizeof *w);

  w->peer = peer;
  w->request = request;
  STAILQ_INSERT_TAIL (&call->waiters, w, link);
}

static void
reject_waiters (cv_core_t *c, cv_call_t *call, cv_reject_t reason)
{
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      cv_core_reject (c, w->peer, w->request, reason, CV_RETRY_DEFAULT_MS);
      free (w);
    }
}

static void
answer_waiters (cv_core_t *c, cv_call_t *call)
{
  bool replayed = false;
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      answer (c, w->peer, w->request, call, replayed);
      replayed = true;
      free (w);
    }
}

static void
answer (cv_core_t *c, uint32_t peer, cv_id_t request, const cv_call_t *call,
        bool replayed)
{
  cv_msg_t msg = { .type = CV_MSG_CALL_RESULT };
  cv_msg_call_result_t *r = &msg.u.call_result;

  if (call->state == CV_CALL_BARRED)
    {
      answer_plain (c, peer, request, CV_OUTCOME_NOT_RUN);
      return;
    }
  r->request = request;
  r->outcome = call->outcome;
  r->status = call->status;
  r->replayed = replayed;
  r->content_type = cv_slice (call->content_type ? call->content_type : "");
  r->body.p = call->body != NULL ? call->body : "";
  r->body.n = call->body_size;
  if (call->body_dropped)
    {
      r->content_type = cv_slice ("application/json");
      r->body = cv_slice (dropped_body);
    }
  cv_core_send (c, peer, &msg);
}

static void
answer_plain (cv_core_t *c, uint32_t peer, cv_id_t request,
              cv_outcome_t outcome)
{
  cv_msg_t msg = { .type = CV_MSG_CALL_RESULT };

  msg.u.call_result.request = request;
  msg.u.call_result.outcome = outcome;
  msg.u.call_result.content_type = cv_slice ("");
  msg.u.call_result.body = cv_slice ("");
  cv_core_send (c, peer, &msg);
}

/* ---- records ---- */

static cv_call_t *
call_new (cv_core_t *c, cv_id_t id, bool ticketed, uint32_t generation,
          const char *account)
{
  cv_call_t *call = cv_calloc (1, sizeof *call);

  call->ticketed = ticketed;
  call->generation = generation;
  (void)cv_copy (call->account, sizeof call->account, account);
  STAILQ_INIT (&call->waiters);
  cv_idmap_add (ticketed ? &c->tickets : &c->plain_calls, &call->node, id);
  return call;
}

static void
call_free (cv_core_t *c, cv_call_t *call)
{
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      free (w);
    }
  request_free (call);
  body_free (c, call);
  cv_idmap_remove (call->ticketed ? &c->tickets : &c->plain_calls, &call->node);
  free (call->content_type);
  free (call);
}

static void
request_free (cv_call_t *call)
{
  free (call->path);
  free (call->request_type);
  free (call->request_body);
  call->path = NULL;
  call->request_type = NULL;
  call->request_body = NULL;
}

static void
store_result (cv_core_t *c, cv_call_t *call, const cv_call_end_t *end)
{
  call->state = CV_CALL_DONE;
  call->outcome = end->outcome;
  call->status = end->status;
  call->content_type = cv_strdup_n (end->content_type.p, end->content_type.n);
  call->body = cv_strdup_n (end->body.p, end->body.n);
  call->body_size = end->body.n;
  c->result_bytes += call->body_size;
  TAILQ_INSERT_TAIL (&c->calls_done, call, link);
}

/* Drop the stored answer of CALL; its status stays.  */
static void
body_free (cv_core_t *c, cv_call_t *call)
{
  if (call->body == NULL)
    return;
  TAILQ_REMOVE (&c->calls_done, call, link);
  c->result_bytes -= call->body_size;
  call->body_dropped = call->body_size > 0;
  call->body_size = 0;
  free (call->body);
  call->body = NULL;
}

static void
map_finish (cv_core_t *c, cv_idmap_t *m)
{
  size_t i;

  for (i = 0; i < m->buckets; i++)
    {
      cv_idnode_t *node;

      while ((node = LIST_FIRST (&m->bucket[i])) != NULL)
        call_free (c, (cv_call_t *)node);
    }
  cv_idmap_finish (m);
}

static cv_call_t *
find (const cv_core_t *c, cv_id_t id)
{
  cv_idnode_t *node = cv_idmap_find (&c->tickets, id);

  if (node == NULL)
    node = cv_idmap_find (&c->plain_calls, id);
  return (cv_call_t *)node;
}
