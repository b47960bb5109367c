/* Leaving: a planned stop finishes what is in flight; before a reclaim what
   cannot finish in time is ended early enough to be run elsewhere.  */

#include "side/core.h"

#define MEDIAN 0.5

static void reclaim_streams (cv_side_core_t *c, cv_time_t now);
static bool finishes (const cv_side_core_t *c, const cv_stream_t *s,
                      cv_time_t left);

void
cv_side_leave (cv_side_core_t *c, cv_time_t now, cv_time_t within)
{
  cv_time_t at = now + within;

  if (within > 0 && (c->reclaim_at == 0 || at < c->reclaim_at))
    c->reclaim_at = at;
  if (!c->leaving)
    {
      c->leaving = true;
      c->leave_since = now;
      cv_peers_report_all (c, now);
    }
  cv_drain_tick (c, now);
}

bool
cv_side_drained (const cv_side_core_t *c, cv_time_t now)
{
  const cv_stream_t *s;

  if (!c->leaving || now - c->leave_since < CV_DRAIN_MIN)
    return c->reclaim_at != 0 && now >= c->reclaim_at;
  if (c->reclaim_at != 0 && now >= c->reclaim_at)
    return true;
  if (c->calls_running > 0 || !TAILQ_EMPTY (&c->call_queue))
    return false;
  TAILQ_FOREACH (s, &c->streams, link)
  if (!s->end_sent)
    return false; /* running, or kept for a reader that may come back */
  return true;
}

void
cv_drain_tick (cv_side_core_t *c, cv_time_t now)
{
  if (c->leaving && c->reclaim_at == 0 && c->set.drain > 0
      && now - c->leave_since >= c->set.drain - CV_RECLAIM_MARGIN)
    c->reclaim_at = c->leave_since + c->set.drain;
  if (c->reclaim_at == 0)
    return;
  reclaim_streams (c, now);
  cv_calls_reclaim (c, now, c->reclaim_at - CV_RECLAIM_MARGIN <= now);
}

static void
reclaim_streams (cv_side_core_t *c, cv_time_t now)
{
  cv_time_t left = c->reclaim_at - CV_RECLAIM_MARGIN - now;
  cv_stream_t *s = TAILQ_FIRST (&c->streams);

  while (s != NULL)
    {
      cv_stream_t *next = TAILQ_NEXT (s, link);

      if (s->state == CV_STREAM_WAITING && !s->at_engine)
        cv_streams_reject (c, now, s, CV_REJECT_LEAVING, 0);
      else if (s->state != CV_STREAM_ENDED && !finishes (c, s, left))
        {
          cv_engine_order (c, CV_OUT_ENGINE_CANCEL, s);
          cv_streams_end (c, now, s, CV_END_RECLAIMED);
        }
      s = next;
    }
}

/* Whether S is expected to end within LEFT.  */
static bool
finishes (const cv_side_core_t *c, const cv_stream_t *s, cv_time_t left)
{
  uint32_t tokens = cv_length_remaining (c->lengths, &s->key, s->count,
                                         s->max_tokens, MEDIAN);

  if (left <= 0)
    return false;
  return (cv_time_t)tokens * c->engine.token_us <= left;
}
