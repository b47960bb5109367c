/* What a gateway that is being stopped may still take on.  */

#include "policy/stop.h"

/* Responses in progress are cut off this long before the end of the grace
   period, so that a process short of processor time still ends by itself.  */
#define END_MARGIN (700 * CV_MS)
/* Time to write the last refusals before the responses are cut off.  */
#define ANSWER_MARGIN (300 * CV_MS)
/* First part of a stop, until the load balancer has had two failed health
   checks, a second apart.  */
#define EARLY_PERIOD (2 * CV_SECOND)
/* Time per output token of a run beside others.  */
#define TOKEN_TIME (10 * CV_MS)
/* A plain service usually responds within twice its objective, and has failed
   after four times it.  */
#define EXPECTED_OBJECTIVES 2
#define MOST_OBJECTIVES 4
/* A first event later than this after the objective is a failure.  */
#define FIRST_EVENT_MARGIN (300 * CV_MS)
/* A sound engine may send nothing for a second or a little more, and then
   continue.  */
#define SILENCE_ALLOWANCE (1500 * CV_MS)

void
cv_stop_begin (cv_stop_t *s, cv_time_t now, cv_time_t grace)
{
  s->started_at = now;
  s->ends_at = now + grace - END_MARGIN;
  s->answer_by = s->ends_at - ANSWER_MARGIN;
}

bool
cv_stop_is_late (const cv_stop_t *s, cv_time_t at)
{
  return at - s->started_at > EARLY_PERIOD;
}

static void
estimate_expected (const cv_stop_request_t *r, cv_stop_work_t *out)
{
  out->until_head = r->prefill;
  out->until_end
      = (cv_time_t)r->expected_tokens * TOKEN_TIME + SILENCE_ALLOWANCE;
}

static void
estimate_most (const cv_stop_request_t *r, cv_stop_work_t *out)
{
  uint32_t events = (r->output_limit + r->event_tokens - 1) / r->event_tokens;
  cv_time_t gap = (cv_time_t)r->event_tokens * TOKEN_TIME;

  if (gap < r->gap_objective)
    gap = r->gap_objective;
  out->until_head = r->objective + FIRST_EVENT_MARGIN;
  out->until_end = events * gap + SILENCE_ALLOWANCE;
}

void
cv_stop_estimate (const cv_stop_request_t *r, bool is_late, cv_stop_work_t *out)
{
  if (!r->is_generation)
    {
      out->until_head
          = (is_late ? MOST_OBJECTIVES : EXPECTED_OBJECTIVES) * r->objective;
      out->until_end = 0;
    }
  else if (is_late)
    estimate_most (r, out);
  else
    estimate_expected (r, out);
}

bool
cv_stop_fits (const cv_stop_t *s, cv_time_t now, const cv_stop_work_t *w)
{
  return now + w->until_head < s->answer_by
         && now + w->until_head + w->until_end < s->ends_at;
}
