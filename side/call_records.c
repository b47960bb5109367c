/* Records of calls: waiting requests, stored results, answers.  */

#include <stdlib.h>

#include "side/calls.h"

/* Sent in place of a body that was dropped to free memory.  */
static const char dropped_body[]
    = "{\"error\":{\"code\":\"answer_dropped\",\"message\":\"the call ran "
      "once; its answer is no longer stored\"}}";

/* ---- answers ---- */

void
cv_call_add_waiter (cv_call_t *call, uint32_t peer, cv_id_t request)
{
  cv_waiter_t *w = cv_calloc (1, sizeof *w);

  w->peer = peer;
  w->request = request;
  STAILQ_INSERT_TAIL (&call->waiters, w, link);
}

void
cv_call_reject_all (cv_side_core_t *c, cv_call_t *call, cv_reject_t reason)
{
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      cv_side_reject (c, w->peer, w->request, reason,
                      CV_RETRY_AFTER_DEFAULT_MS);
      free (w);
    }
}

void
cv_call_answer_all (cv_side_core_t *c, cv_call_t *call)
{
  bool replayed = false;
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      cv_call_answer (c, w->peer, w->request, call, replayed);
      replayed = true;
      free (w);
    }
}

void
cv_call_answer (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                const cv_call_t *call, bool replayed)
{
  cv_msg_t msg = { .type = CV_MSG_CALL_RESULT };
  cv_msg_call_result_t *r = &msg.u.call_result;

  if (call->state == CV_CALL_REVOKED)
    {
      cv_call_answer_outcome (c, peer, request, CV_OUTCOME_NOT_RUN);
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
  cv_side_send (c, peer, &msg);
}

void
cv_call_answer_outcome (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                        cv_outcome_t outcome)
{
  cv_msg_t msg = { .type = CV_MSG_CALL_RESULT };

  msg.u.call_result.request = request;
  msg.u.call_result.outcome = outcome;
  msg.u.call_result.content_type = cv_slice ("");
  msg.u.call_result.body = cv_slice ("");
  cv_side_send (c, peer, &msg);
}

/* ---- records ---- */

cv_call_t *
cv_call_new (cv_side_core_t *c, cv_id_t id, bool ticketed, uint32_t generation,
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

void
cv_call_free (cv_side_core_t *c, cv_call_t *call)
{
  cv_waiter_t *w;

  while ((w = STAILQ_FIRST (&call->waiters)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&call->waiters, link);
      free (w);
    }
  cv_call_request_free (call);
  cv_call_body_free (c, call);
  cv_idmap_remove (call->ticketed ? &c->tickets : &c->plain_calls, &call->node);
  free (call->content_type);
  free (call);
}

void
cv_call_request_free (cv_call_t *call)
{
  free (call->path);
  free (call->request_type);
  free (call->request_body);
  call->path = NULL;
  call->request_type = NULL;
  call->request_body = NULL;
}

void
cv_call_store_result (cv_side_core_t *c, cv_call_t *call,
                      const cv_call_end_t *end)
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

void
cv_call_body_free (cv_side_core_t *c, cv_call_t *call)
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
