/* Estimate of an engine's time per step from its reports.  */

#include <math.h>
#include <string.h>

#include "policy/pace.h"

/* Engines may renew their report every half second, and count whole events: a
   sample is twice as long.  A slow phase lasts little more than half a second.
   */
#define SAMPLE_WINDOW CV_SECOND
#define PHASE_WINDOW (200 * CV_MS)
/* Time between two reports after which the runs may have waited meanwhile.  */
#define WINDOW_MAX (2 * CV_SECOND)
/* Time for which reports may go back to an older state.  Later a run that has
   fewer tokens than before was preempted.  */
#define REVERSAL_MAX CV_SECOND
/* Tokens by which a run's number in a report may lag: that of an event.  */
#define EVENT_TOKENS 4.0
/* Samples before slow phases are recognized.  */
#define PHASE_SAMPLES_MIN 8
/* A phase is slow from this multiple of the usual pace, until below the other
   one.  */
#define SLOW_RATIO 1.7
/* The same of a window longer than this, in which a prompt may have come and
   gone between two reports: a step beside a prompt takes twice as long.  */
#define COARSE_WINDOW (300 * CV_MS)
#define COARSE_SLOW_RATIO 2.1
#define RECOVERED_RATIO 1.3
/* A slow phase that no later report ends is over after this time.  */
#define SLOW_TIMEOUT (600 * CV_MS)
/* An engine whose windows are slow more often has reports that are too
   irregular to recognize phases.  */
#define SLOW_SHARE_MAX 0.35
#define SLOW_SHARE_WEIGHT 0.01
/* Slow phases count from this share of the windows on: two of about the last
   hundred.  A single one may be a late report.  */
#define SLOW_SHARE_MIN 0.012
#define SLOW_RATIO_WEIGHT 0.1
/* An engine without runs gives no samples.  Its hardware stays the same; its
   neighbours on the machine may not.  */
#define HOLD_TIME (120 * CV_SECOND)
#define DECAY_TIME (300 * CV_SECOND)

/* Events before an estimate by events is used; they cover several slow phases
   and prompts.  A longer gap is a pause of the stream or of this process.  */
#define EVENTS_MIN 100
#define EVENT_WEIGHT 0.01
#define EVENT_GAP_MAX CV_SECOND

void
cv_pace_init (cv_pace_t *p)
{
  memset (p, 0, sizeof *p);
}

double
cv_pace_step_ms (double factor, double runs, bool is_prefilling)
{
  return factor
         * (CV_STEP_MS + CV_STEP_RUN_MS * runs
            + (is_prefilling ? CV_STEP_PREFILL_MS : 0));
}

static uint32_t
copy_runs (cv_engine_run_t out[CV_PACE_RUNS_MAX],
           const cv_pace_report_t *report)
{
  uint32_t n = report->run_count < CV_PACE_RUNS_MAX ? report->run_count
                                                    : CV_PACE_RUNS_MAX;

  if (n > 0)
    memcpy (out, report->runs, n * sizeof *out);
  return n;
}

static void
restart_window (cv_pace_window_t *w, cv_time_t now,
                const cv_pace_report_t *report)
{
  w->run_count = copy_runs (w->runs, report);
  w->since = w->run_count > 0 ? now : 0;
  w->run_time = 0;
  w->prefill_time = 0;
}

/* Growth of the runs that are in two reports.  */
typedef struct
{
  double mean; /* tokens, 0: no run has grown */
  double most; /* the same without the rounding to whole events */
} growth_t;

static growth_t
find_growth (const cv_engine_run_t *from, uint32_t count,
             const cv_pace_report_t *report)
{
  double sum = 0;
  uint32_t n = 0;

  for (uint32_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < report->run_count; k++)
      if (from[i].run == report->runs[k].run)
        {
          if (report->runs[k].tokens > from[i].tokens)
            {
              sum += (double)(report->runs[k].tokens - from[i].tokens);
              n++;
            }
          break;
        }
  return n > 0 ? (growth_t){ sum / n, (sum + EVENT_TOKENS) / n }
               : (growth_t){ 0, 0 };
}

static void
advance_window (cv_pace_window_t *w, const cv_pace_t *p, cv_time_t now,
                const cv_pace_report_t *report)
{
  double elapsed = (double)(now - p->last_at);

  w->run_time += elapsed * (p->last_running + report->running) / 2;
  w->prefill_time
      += elapsed
         * ((p->was_prefilling ? 1 : 0) + (report->is_prefilling ? 1 : 0)) / 2;
}

/* Time factor in a window; 0: not known.  */
typedef struct
{
  double factor;
  double least; /* as far as the rounding of reports allows */
} window_factor_t;

/* Ends W if it has lasted LENGTH, and begins it anew.  */
static window_factor_t
end_window (cv_pace_window_t *w, cv_time_t length, cv_time_t now,
            const cv_pace_report_t *report)
{
  cv_time_t elapsed = now - w->since;
  growth_t steps = { 0, 0 };
  double runs;
  double share;
  double nominal;

  if (w->since != 0 && elapsed < length && report->run_count > 0)
    return (window_factor_t){ 0, 0 };
  if (w->since != 0 && elapsed <= WINDOW_MAX)
    steps = find_growth (w->runs, w->run_count, report);
  runs = w->run_time;
  share = w->prefill_time;
  restart_window (w, now, report);
  if (steps.mean <= 0)
    return (window_factor_t){ 0, 0 };
  runs /= (double)elapsed;
  share /= (double)elapsed;
  /* Steps that a nominal engine makes in this time.  */
  nominal = (double)elapsed / (double)CV_MS
            * (share / cv_pace_step_ms (1, runs, true)
               + (1 - share) / cv_pace_step_ms (1, runs, false));
  return (window_factor_t){ nominal / steps.mean, nominal / steps.most };
}

/* Sorts the samples into OUT and returns their number.  */
static uint32_t
sort_samples (const cv_pace_t *p, double out[CV_PACE_SAMPLES])
{
  uint32_t n
      = p->sample_count < CV_PACE_SAMPLES ? p->sample_count : CV_PACE_SAMPLES;

  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t k = i;

      for (; k > 0 && out[k - 1] > p->sample[i]; k--)
        out[k] = out[k - 1];
      out[k] = p->sample[i];
    }
  return n;
}

static void
add_sample (cv_pace_t *p, cv_time_t now, double factor)
{
  double sorted[CV_PACE_SAMPLES] = { 0 };
  uint32_t n;

  p->sample[p->sample_count++ % CV_PACE_SAMPLES] = factor;
  p->sampled_at = now;
  n = sort_samples (p, sorted);
  p->median = sorted[n / 2];
}

static void
note_phase (cv_pace_t *p, cv_time_t now, cv_time_t length, double factor)
{
  double least = length > COARSE_WINDOW ? COARSE_SLOW_RATIO : SLOW_RATIO;
  double ratio;

  if (p->sample_count < PHASE_SAMPLES_MIN)
    return;
  ratio = factor / p->median;
  p->slow_share
      += SLOW_SHARE_WEIGHT * ((ratio > least ? 1 : 0) - p->slow_share);
  if (ratio > least)
    p->slow_ratio
        = p->slow_ratio > 0
              ? p->slow_ratio + SLOW_RATIO_WEIGHT * (ratio - p->slow_ratio)
              : ratio;
  if (ratio > least && p->slow_share < SLOW_SHARE_MAX)
    {
      if (p->slow_since == 0 || now >= p->slow_until)
        p->slow_since = now;
      p->slow_until = now + SLOW_TIMEOUT;
    }
  else if (ratio < RECOVERED_RATIO)
    p->slow_since = 0;
}

static bool
is_unchanged (const cv_pace_t *p, const cv_pace_report_t *report)
{
  if (p->last_run_count
      != (report->run_count < CV_PACE_RUNS_MAX ? report->run_count
                                               : CV_PACE_RUNS_MAX))
    return false;
  for (uint32_t i = 0; i < p->last_run_count; i++)
    if (p->last_runs[i].run != report->runs[i].run
        || p->last_runs[i].tokens != report->runs[i].tokens)
      return false;
  return true;
}

/* Whether REPORT is older than the last one, as some engines answer from
   several copies of their state.  */
static bool
is_older (const cv_pace_t *p, const cv_pace_report_t *report)
{
  for (uint32_t i = 0; i < p->last_run_count; i++)
    for (uint32_t k = 0; k < report->run_count; k++)
      if (p->last_runs[i].run == report->runs[k].run
          && p->last_runs[i].tokens > report->runs[k].tokens)
        return true;
  return false;
}

void
cv_pace_update (cv_pace_t *p, cv_time_t now, const cv_pace_report_t *report)
{
  cv_time_t phase_length = now - p->phase_window.since;
  window_factor_t factor;

  if (is_unchanged (p, report)
      || (is_older (p, report) && now - p->last_at < REVERSAL_MAX))
    return;
  advance_window (&p->sample_window, p, now, report);
  advance_window (&p->phase_window, p, now, report);
  factor = end_window (&p->sample_window, SAMPLE_WINDOW, now, report);
  if (factor.factor > 0)
    add_sample (p, now, factor.factor);
  factor = end_window (&p->phase_window, PHASE_WINDOW, now, report);
  if (factor.factor > 0)
    note_phase (p, now, phase_length, factor.least);
  p->last_run_count = copy_runs (p->last_runs, report);
  p->last_running = report->running;
  p->was_prefilling = report->is_prefilling;
  p->last_at = now;
}

/* Weight of an estimate of AGE; 0: too old to be used.  */
static double
age_weight (cv_time_t age)
{
  if (age <= HOLD_TIME)
    return 1;
  return age < HOLD_TIME + DECAY_TIME
             ? 1 - (double)(age - HOLD_TIME) / (double)DECAY_TIME
             : 0;
}

cv_pace_estimate_t
cv_pace_estimate (const cv_pace_t *p, cv_time_t now)
{
  cv_pace_estimate_t e = { 0 };
  double weight = age_weight (now - p->sampled_at);

  if (p->median <= 0 || weight <= 0)
    return e;
  e.factor = 1 + weight * (p->median - 1);
  e.worst = e.factor;
  if (p->slow_share > SLOW_SHARE_MIN && p->slow_share < SLOW_SHARE_MAX)
    e.worst *= 1 + weight * (p->slow_ratio - 1);
  e.is_slow = p->slow_since != 0 && now < p->slow_until;
  return e;
}

void
cv_event_pace_add (cv_event_pace_t *p, cv_time_t now, cv_time_t gap,
                   uint64_t tokens, uint32_t runs)
{
  double factor = (double)gap / (double)CV_MS
                  / ((double)tokens * cv_pace_step_ms (1, runs, false));

  if (gap > EVENT_GAP_MAX || tokens == 0)
    return;
  if (p->count < EVENTS_MIN)
    p->factor += (factor - p->factor) / ++p->count;
  else
    p->factor += EVENT_WEIGHT * (factor - p->factor);
  p->at = now;
}

double
cv_event_pace_factor (const cv_event_pace_t *p, cv_time_t now)
{
  double weight = age_weight (now - p->at);

  return p->count < EVENTS_MIN || weight <= 0 ? 0
                                              : 1 + weight * (p->factor - 1);
}
