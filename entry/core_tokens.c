/* Tokens of generations.  Tokens are accepted only at the next offset and
   delivered once.  An answer is complete only if the number of accepted tokens
   equals the total in the END message.  */

#include <stdlib.h>
#include <string.h>

#include "entry/core_internal.h"

static void buffer_tokens (cv_request_t *r, const cv_msg_tokens_t *m);
static void deliver (cv_entry_core_t *c, cv_request_t *r, uint32_t offset,
                     uint32_t count, const cv_slice_t *token);
static void deliver_buffered (cv_entry_core_t *c, cv_request_t *r);
static void observe_tokens (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
static void complete_stream (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                             const cv_msg_end_t *m);

void
cv_entry_streams_tokens (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                         const cv_msg_tokens_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->stream);
  cv_request_stream_t *s;

  if (r == NULL || r->kind != REQUEST_STREAM || r->target != target
      || m->offset != r->u.stream.next || m->count == 0
      || m->count > UINT32_MAX - m->offset)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      if (r != NULL && r->kind == REQUEST_STREAM && r->target == target
          && m->offset > r->u.stream.next)
        {
          r->u.stream.gap = true;
          cv_entry_streams_reattach (c, now, r);
        }
      return;
    }
  s = &r->u.stream;
  r->phase = PHASE_RUNNING;
  observe_tokens (c, now, r);
  s->next += m->count;
  s->gap = false;
  cv_router_progress (c->router, now, target, m->count);
  if (r->admitted)
    cv_limits_charge (c->limits, now, r->account_hash, m->count);
  if (s->buffered)
    buffer_tokens (r, m);
  else
    deliver (c, r, m->offset, m->count, m->token);
}

void
cv_entry_streams_end (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                      const cv_msg_end_t *m)
{
  cv_request_t *r = cv_request_by_id (c, m->stream);

  if (r == NULL || r->kind != REQUEST_STREAM || r->target != target)
    {
      cv_entry_metrics_count (c->metrics, CV_COUNT_FRAMES_DROPPED);
      return;
    }
  switch (m->end)
    {
    case CV_END_STOP:
    case CV_END_LENGTH:
      complete_stream (c, now, r, m);
      break;
    case CV_END_CANCELLED:
    case CV_END_ENGINE_LOST:
    case CV_END_RECLAIMED:
      r->target_failed = m->end != CV_END_CANCELLED;
      cv_request_mark_may_have_run (r);
      cv_entry_streams_retry (c, now, r, CV_FAIL_INTERRUPTED);
      break;
    }
}

/* ---- local ---- */

static void
buffer_tokens (cv_request_t *r, const cv_msg_tokens_t *m)
{
  for (uint32_t i = 0; i < m->count; i++)
    {
      uint32_t n = (uint32_t)m->token[i].n;

      cv_buf_add (&r->u.stream.text, m->token[i].p, n);
      cv_buf_add (&r->u.stream.sizes, &n, sizeof n);
    }
}

static void
deliver (cv_entry_core_t *c, cv_request_t *r, uint32_t offset, uint32_t count,
         const cv_slice_t *token)
{
  cv_position_t first = { 0 };
  cv_reply_t reply = { .type = CV_REPLY_TOKENS };

  (void)cv_copy (first.target, sizeof first.target, c->targets[r->target].name);
  first.incarnation = r->incarnation;
  first.stream = r->id;
  first.offset = offset;
  reply.u.tokens.first = &first;
  reply.u.tokens.count = count;
  reply.u.tokens.token = token;
  c->options.out.reply (c->options.out.arg, r->caller, &reply);
}

static void
deliver_buffered (cv_entry_core_t *c, cv_request_t *r)
{
  const cv_request_stream_t *s = &r->u.stream;
  uint32_t count = (uint32_t)(s->sizes.n / sizeof (uint32_t));
  cv_slice_t *token;
  const char *p = s->text.p;

  if (count == 0)
    return;
  token = cv_calloc (count, sizeof *token);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t n;

      memcpy (&n, s->sizes.p + i * sizeof n, sizeof n);
      token[i].p = p;
      token[i].n = n;
      p += n;
    }
  deliver (c, r, 0, count, token);
  free (token);
}

static void
observe_tokens (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  cv_request_stream_t *s = &r->u.stream;
  cv_time_t gap = now - s->last_progress;

  if (s->next == 0)
    cv_entry_metrics_observe (cv_request_series (c, r), CV_MEASURE_FIRST_TOKEN,
                              (double)(now - r->submitted) / 1e6);
  else
    {
      cv_entry_metrics_observe (cv_request_series (c, r), CV_MEASURE_TOKEN_GAP,
                                (double)gap / 1e6);
      if (gap > STALL_THRESHOLD)
        s->stall_time += gap - STALL_THRESHOLD;
    }
  s->last_progress = now;
}

/* Handles an END with reason stop or length: ends the request if every token
   was accepted, and otherwise reattaches or retries.  */
static void
complete_stream (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                 const cv_msg_end_t *m)
{
  cv_request_stream_t *s = &r->u.stream;
  cv_reply_t reply = { .type = CV_REPLY_END };
  cv_length_key_t key = cv_entry_streams_length_key (r);

  if (m->total > s->next)
    {
      s->gap = true;
      cv_entry_streams_reattach (c, now, r);
      return;
    }
  if (m->total < s->next)
    {
      cv_log (CV_EV_ENTRY_TOTAL_MISMATCH, "stream total %u, accepted %u",
              m->total, s->next);
      r->target_failed = true;
      cv_request_mark_may_have_run (r);
      cv_entry_streams_retry (c, now, r, CV_FAIL_INTERRUPTED);
      return;
    }
  if (m->end == CV_END_STOP && !s->resumed)
    cv_length_observe (c->length, &key, m->total);
  cv_entry_metrics_observe (cv_request_series (c, r), CV_MEASURE_TOKENS,
                            m->total);
  cv_entry_metrics_observe (cv_request_series (c, r), CV_MEASURE_STALL,
                            (double)s->stall_time / 1e6);
  if (s->buffered)
    deliver_buffered (c, r);
  reply.u.end.end = m->end;
  reply.u.end.total = m->total;
  cv_request_end (c, now, r, &reply, CV_OUTCOME_DONE);
}
