/* Calls to a plain service.  A call with a ticket runs at most once: this side
   keeps a record of each used ticket for CV_TICKET_GENERATIONS_KEPT ticket
   generations and answers CV_OUTCOME_UNKNOWN to a ticket of an expired or
   future generation, another incarnation or another target.  A used ticket gets
   the result of its only run.

   CV_REJECT_NO_MEMORY is also the reason for a call whose deadline passes in
   the queue, and when the queue or the table of records is full.  */

#include <stdlib.h>
#include <string.h>

#include "side/calls.h"

static bool is_ticket_valid (const cv_side_core_t *c, const cv_ticket_t *t);
static bool join_call (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                       const char *account, cv_call_t *call);
static bool admit_call (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        const cv_msg_call_t *m);
static void send_to_service (cv_side_core_t *c, cv_time_t now, cv_call_t *call);
static void end_running (cv_side_core_t *c, cv_time_t now, cv_idmap_t *m);
static void reject_queued (cv_side_core_t *c, cv_call_t *call,
                           cv_reject_t reason);
static void queue_add (cv_side_core_t *c, cv_call_t *call);
static void queue_remove (cv_side_core_t *c, cv_call_t *call);
static void free_expired (cv_side_core_t *c);
static void free_map (cv_side_core_t *c, cv_idmap_t *m);
static cv_call_t *find_call (const cv_side_core_t *c, cv_id_t id);

void
cv_calls_init (cv_side_core_t *c, cv_time_t now)
{
  cv_idmap_init (&c->tickets);
  cv_idmap_init (&c->plain_calls);
  TAILQ_INIT (&c->call_queue);
  TAILQ_INIT (&c->calls_done);
  c->ticket_generation = 1;
  c->ticket_generation_start = now;
}

void
cv_calls_finish (cv_side_core_t *c)
{
  free_map (c, &c->tickets);
  free_map (c, &c->plain_calls);
}

/* ---- messages ---- */

void
cv_calls_submit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                 const cv_msg_call_t *m)
{
  bool ticketed = !cv_id_is_zero (m->ticket.nonce);
  cv_id_t id = ticketed ? m->ticket.nonce : m->request;
  cv_call_t *call;

  c->counts.calls++;
  if (ticketed && !is_ticket_valid (c, &m->ticket))
    {
      cv_call_answer_outcome (c, peer, m->request, CV_OUTCOME_UNKNOWN);
      return;
    }
  call = find_call (c, id);
  if (call != NULL && call->ticketed == ticketed)
    {
      (void)join_call (c, peer, m->request, m->account, call);
      return;
    }
  if (call != NULL || !admit_call (c, now, peer, m))
    return;
  call = cv_call_new (c, id, ticketed, m->ticket.generation, m->account);
  (void)cv_copy (call->method, sizeof call->method, m->method);
  call->path = cv_strdup_n (m->path.p, m->path.n);
  call->request_type = cv_strdup_n (m->content_type.p, m->content_type.n);
  call->request_body = cv_strdup_n (m->body.p, m->body.n);
  call->request_size = m->body.n;
  call->deadline = now + m->deadline_ms * CV_MS;
  cv_call_add_waiter (call, peer, m->request);
  queue_add (c, call);
}

void
cv_calls_revoke (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                 const cv_msg_revoke_t *m)
{
  cv_call_t *call;

  (void)now;
  if (cv_id_is_zero (m->ticket.nonce) || !is_ticket_valid (c, &m->ticket))
    {
      cv_call_answer_outcome (c, peer, m->request, CV_OUTCOME_UNKNOWN);
      return;
    }
  call = find_call (c, m->ticket.nonce);
  if (call == NULL && c->tickets.count >= CV_CALL_RECORDS_MAX)
    {
      cv_side_reject (c, peer, m->request, CV_REJECT_NO_MEMORY,
                      CV_RETRY_AFTER_DEFAULT_MS);
      return;
    }
  if (call == NULL)
    {
      call = cv_call_new (c, m->ticket.nonce, true, m->ticket.generation,
                          m->account);
      call->state = CV_CALL_REVOKED;
    }
  if (!join_call (c, peer, m->request, m->account, call))
    return;
  if (call->state != CV_CALL_QUEUED)
    return;
  queue_remove (c, call);
  call->state = CV_CALL_REVOKED;
  cv_call_request_free (call);
  cv_call_answer_all (c, call);
}

/* ---- running ---- */

void
cv_calls_start_queued (cv_side_core_t *c, cv_time_t now)
{
  cv_call_t *call;

  while (c->backend_up && c->calls_running < c->settings.max_calls
         && (call = TAILQ_FIRST (&c->call_queue)) != NULL)
    {
      if (now >= call->deadline)
        reject_queued (c, call, CV_REJECT_NO_MEMORY);
      else
        send_to_service (c, now, call);
    }
}

void
cv_calls_tick (cv_side_core_t *c, cv_time_t now)
{
  cv_call_t *call = TAILQ_FIRST (&c->call_queue);

  while (call != NULL)
    {
      cv_call_t *next = TAILQ_NEXT (call, link);

      if (now >= call->deadline)
        reject_queued (c, call, CV_REJECT_NO_MEMORY);
      else if (!c->backend_up)
        reject_queued (c, call, CV_REJECT_ENGINE);
      call = next;
    }
  if (now - c->ticket_generation_start < c->settings.ticket_generation_period)
    return;
  c->ticket_generation++;
  c->ticket_generation_start = now;
  free_expired (c);
}

void
cv_calls_reclaim (cv_side_core_t *c, cv_time_t now, bool last)
{
  cv_call_t *call;

  while ((call = TAILQ_FIRST (&c->call_queue)) != NULL)
    reject_queued (c, call, CV_REJECT_DRAINING);
  if (!last)
    return;
  end_running (c, now, &c->tickets);
  end_running (c, now, &c->plain_calls);
}

void
cv_side_call_end (cv_side_core_t *c, cv_time_t now, const cv_call_end_t *end)
{
  cv_call_t *call = find_call (c, end->call);

  (void)now;
  if (call == NULL || call->state != CV_CALL_RUNNING)
    return;
  c->calls_running--;
  cv_call_request_free (call);
  if (!end->ran)
    {
      /* Nothing was sent, so the ticket may be used again.  */
      cv_call_reject_all (c, call, CV_REJECT_ENGINE);
      cv_call_free (c, call);
      return;
    }
  if (end->outcome != CV_OUTCOME_DONE)
    c->counts.calls_unknown++;
  cv_call_store_result (c, call, end);
  cv_call_answer_all (c, call);
  if (!call->ticketed)
    {
      cv_call_free (c, call);
      return;
    }
  while (c->result_bytes > CV_RESULTS_MAX_BYTES)
    cv_call_body_free (c, TAILQ_FIRST (&c->calls_done));
}

/* Ends the running calls in M as unknown: the target is taken away before
   their results arrive.  */
static void
end_running (cv_side_core_t *c, cv_time_t now, cv_idmap_t *m)
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
          cv_side_call_end (c, now, &end);
          node = next;
        }
    }
}

static void
send_to_service (cv_side_core_t *c, cv_time_t now, cv_call_t *call)
{
  cv_side_out_t out = { .type = CV_OUT_SERVICE_CALL };
  cv_service_call_t *request = &out.u.call;

  queue_remove (c, call);
  call->state = CV_CALL_RUNNING;
  c->calls_running++;
  request->call = call->node.id;
  if (call->ticketed)
    request->nonce = call->node.id;
  request->method = call->method;
  request->path = cv_slice (call->path);
  request->content_type = cv_slice (call->request_type);
  request->body.p = call->request_body;
  request->body.n = call->request_size;
  request->timeout_ms = (uint32_t)((call->deadline - now) / CV_MS) + 1;
  c->emit (c->arg, &out);
}

static void
reject_queued (cv_side_core_t *c, cv_call_t *call, cv_reject_t reason)
{
  queue_remove (c, call);
  cv_call_reject_all (c, call, reason);
  cv_call_request_free (call);
  cv_call_free (c, call);
}

static void
queue_add (cv_side_core_t *c, cv_call_t *call)
{
  TAILQ_INSERT_TAIL (&c->call_queue, call, link);
  c->calls_queued++;
}

static void
queue_remove (cv_side_core_t *c, cv_call_t *call)
{
  TAILQ_REMOVE (&c->call_queue, call, link);
  c->calls_queued--;
}

/* ---- tickets ---- */

static bool
is_ticket_valid (const cv_side_core_t *c, const cv_ticket_t *t)
{
  return strcmp (t->target, c->settings.target) == 0
         && t->incarnation == c->settings.incarnation
         && t->generation <= c->ticket_generation
         && c->ticket_generation - t->generation < CV_TICKET_GENERATIONS_KEPT;
}

/* REQUEST names a call with a record: sends the result, or adds REQUEST to the
   waiters.  False when the call belongs to another account.  */
static bool
join_call (cv_side_core_t *c, uint32_t peer, cv_id_t request,
           const char *account, cv_call_t *call)
{
  if (strcmp (call->account, account) != 0)
    {
      cv_side_reject (c, peer, request, CV_REJECT_NOT_FOUND, 0);
      return false;
    }
  switch (call->state)
    {
    case CV_CALL_QUEUED:
    case CV_CALL_RUNNING:
      cv_call_add_waiter (call, peer, request);
      break;
    case CV_CALL_DONE:
    case CV_CALL_REVOKED:
      c->counts.calls_replayed++;
      cv_call_answer (c, peer, request, call, true);
      break;
    }
  return true;
}

static bool
admit_call (cv_side_core_t *c, cv_time_t now, uint32_t peer,
            const cv_msg_call_t *m)
{
  cv_reject_t reason;
  size_t record_count = c->tickets.count + c->plain_calls.count;

  if (cv_side_can_admit (c, now, peer, CV_POOL_SERVICE, m->config_version,
                         m->content_hash, &reason))
    {
      if (record_count < CV_CALL_RECORDS_MAX
          && c->calls_queued < CV_CALL_QUEUE_MAX)
        return true;
      reason = CV_REJECT_NO_MEMORY;
    }
  cv_side_reject (c, peer, m->request, reason,
                  reason == CV_REJECT_NO_MEMORY ? CV_RETRY_AFTER_DEFAULT_MS
                                                : 0);
  return false;
}

static void
free_expired (cv_side_core_t *c)
{
  size_t i;

  for (i = 0; i < c->tickets.buckets; i++)
    {
      cv_idnode_t *node = LIST_FIRST (&c->tickets.bucket[i]);

      while (node != NULL)
        {
          cv_call_t *call = (cv_call_t *)node;
          bool finished
              = call->state == CV_CALL_DONE || call->state == CV_CALL_REVOKED;

          node = LIST_NEXT (node, link);
          if (finished
              && c->ticket_generation - call->generation
                     >= CV_TICKET_GENERATIONS_KEPT)
            cv_call_free (c, call);
        }
    }
}

static void
free_map (cv_side_core_t *c, cv_idmap_t *m)
{
  size_t i;

  for (i = 0; i < m->buckets; i++)
    {
      cv_idnode_t *node;

      while ((node = LIST_FIRST (&m->bucket[i])) != NULL)
        cv_call_free (c, (cv_call_t *)node);
    }
  cv_idmap_finish (m);
}

static cv_call_t *
find_call (const cv_side_core_t *c, cv_id_t id)
{
  cv_idnode_t *node = cv_idmap_find (&c->tickets, id);

  if (node == NULL)
    node = cv_idmap_find (&c->plain_calls, id);
  return (cv_call_t *)node;
}
