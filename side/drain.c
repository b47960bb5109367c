/* Draining.  Without a reclaim, work in flight is finished.  Before a
   reclaim (the target is taken away at a given time), streams that cannot
   finish in time are ended early enough for a retry at another target.  The end
   of the longest drain (settings.drain) is treated as a reclaim.  */

#include "side/core.h"

#define MEDIAN_QUANTILE 0.5

static void reclaim_streams (cv_side_core_t *c, cv_time_t now);
static bool needs_process (const cv_stream_t *s, bool reclaimed);
static bool can_finish (const cv_side_core_t *c, const cv_stream_t *s,
                        cv_time_t remaining);

void
cv_side_start_drain (cv_side_core_t *c, cv_time_t now, cv_time_t within)
{
  cv_time_t reclaim_at = now + within;

  if (within > 0 && (c->reclaim_at == 0 || reclaim_at < c->reclaim_at))
    c->reclaim_at = reclaim_at;
  if (!c->draining)
    {
      c->draining = true;
      c->drain_start = now;
      cv_peers_report_all (c, now);
    }
  cv_drain_tick (c, now);
}

bool
cv_side_is_drained (const cv_side_core_t *c, cv_time_t now)
{
  bool reclaimed = c->reclaim_at != 0 && now >= c->reclaim_at;
  const cv_stream_t *s;

  if (!c->draining || (!reclaimed && now - c->drain_start < CV_DRAIN_MIN))
    return false;
  if (c->calls_running > 0 || !TAILQ_EMPTY (&c->call_queue))
    return false;
  if (c->answered_since_tick || now - c->last_answer < CV_ANSWER_READ_TIME)
    return false;
  TAILQ_FOREACH (s, &c->streams, link)
  if (needs_process (s, reclaimed))
    return false;
  return true;
}

void
cv_drain_tick (cv_side_core_t *c, cv_time_t now)
{
  if (c->answered_since_tick)
    c->last_answer = now;
  c->answered_since_tick = false;
  if (c->draining && c->reclaim_at == 0 && c->settings.drain > 0
      && now - c->drain_start >= c->settings.drain - CV_RECLAIM_MARGIN)
    c->reclaim_at = c->drain_start + c->settings.drain;
  if (c->reclaim_at == 0)
    return;
  reclaim_streams (c, now);
  cv_calls_reclaim (c, now, c->reclaim_at - CV_RECLAIM_MARGIN <= now);
}

static void
reclaim_streams (cv_side_core_t *c, cv_time_t now)
{
  cv_time_t remaining = c->reclaim_at - CV_RECLAIM_MARGIN - now;
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  while (s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING && !s->at_engine)
        cv_streams_reject (c, now, s, CV_REJECT_DRAINING, 0);
      else if (s->state != CV_STREAM_ENDED && !can_finish (c, s, remaining))
        {
          cv_running_send_command (c, CV_OUT_ENGINE_CANCEL, s);
          cv_streams_end (c, now, s, CV_END_RECLAIMED);
        }
      s = next;
    }
}

/* Whether S still runs or has an end to send.  Before a reclaim, an ended
   stream is kept for its reader to reconnect.  */
static bool
needs_process (const cv_stream_t *s, bool reclaimed)
{
  if (s->end_sent)
    return false;
  return !reclaimed || s->state != CV_STREAM_ENDED || s->peer != CV_NO_PEER;
}

/* Whether S is expected to end within REMAINING.  */
static bool
can_finish (const cv_side_core_t *c, const cv_stream_t *s, cv_time_t remaining)
{
  uint32_t tokens = cv_length_remaining (c->lengths, &s->length_key, s->count,
                                         s->max_tokens, MEDIAN_QUANTILE);

  if (remaining <= 0)
    return false;
  return (cv_time_t)tokens * c->engine_load.token_us <= remaining;
}
