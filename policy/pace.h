/* Pace of one engine: the time that it takes for a step, relative to a nominal
   engine.  Load pattern: engines of one service differ in speed by hardware,
   each is much slower for some hundred milliseconds now and then, and its
   reports are up to half a second old.  */

#ifndef CV_POLICY_PACE_H
#define CV_POLICY_PACE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Nominal step of a batch, which produces one token for each run, in
   milliseconds: without runs, for each run, and for a chunk of a prompt.  Only
   the ratio of two engines matters, so another model may have other times.  */
#define CV_STEP_MS 7.0
#define CV_STEP_RUN_MS 0.12
#define CV_STEP_PREFILL_MS 8.0

/* Runs that are compared between two reports; an engine's batch is smaller.  */
#define CV_PACE_RUNS_MAX 64
/* Samples that count, each of a second or more: they cover several short slow
   phases, which must not shift the median.  */
#define CV_PACE_SAMPLES 24

/* A run (generation) as reported by the engine.  */
typedef struct
{
  uint64_t run;    /* hash of its name */
  uint64_t tokens; /* KV cache it holds now */
} cv_engine_run_t;

/* State of the engine in one report.  */
typedef struct
{
  const cv_engine_run_t *runs; /* that have produced an event */
  uint32_t run_count;
  uint32_t running; /* requests in the batch */
  bool is_prefilling;
} cv_pace_report_t;

/* What passed since one report.  */
typedef struct
{
  cv_engine_run_t runs[CV_PACE_RUNS_MAX];
  uint32_t run_count;
  cv_time_t since;     /* 0: no report */
  double run_time;     /* integral of the number of runs, us */
  double prefill_time; /* with a prompt in prefill, us */
} cv_pace_window_t;

typedef struct
{
  cv_pace_window_t sample_window;
  cv_pace_window_t phase_window;
  double sample[CV_PACE_SAMPLES];              /* time factors, a ring */
  uint32_t sample_count;                       /* of all samples */
  cv_time_t sampled_at;                        /* last sample */
  cv_engine_run_t last_runs[CV_PACE_RUNS_MAX]; /* of the last changed report */
  uint32_t last_run_count;
  uint32_t last_running;
  bool was_prefilling;
  cv_time_t last_at;
  double median;        /* of the samples; 0: too few */
  double slow_share;    /* smoothed share of phase windows that were slow */
  double slow_ratio;    /* mean time in these relative to MEDIAN; 0: none yet */
  cv_time_t slow_since; /* 0: not in a slow phase */
  cv_time_t slow_until;
} cv_pace_t;

/* What is known of an engine's pace.  Factors are times relative to the
   nominal; larger is slower.  */
typedef struct
{
  double factor; /* over some 24 s; 0: not known */
  double worst;  /* in the slow phases of that time, at least FACTOR */
  bool is_slow;  /* in a slow phase */
} cv_pace_estimate_t;

void cv_pace_init (cv_pace_t *p);
void cv_pace_update (cv_pace_t *p, cv_time_t now,
                     const cv_pace_report_t *report);
/* The estimate at NOW; an old one decays towards the nominal pace.  */
cv_pace_estimate_t cv_pace_estimate (const cv_pace_t *p, cv_time_t now);

/* Pace by the stream events that pass through one gateway, for engines whose
   observer does not report.  */
typedef struct
{
  double factor; /* smoothed, with slow phases */
  uint32_t count;
  cv_time_t at; /* last event */
} cv_event_pace_t;

/* Adds TOKENS that a stream got at NOW, GAP after the last ones, while RUNS
   were in the batch.  */
void cv_event_pace_add (cv_event_pace_t *p, cv_time_t now, cv_time_t gap,
                        uint64_t tokens, uint32_t runs);
/* The factor at NOW; 0: not known.  */
double cv_event_pace_factor (const cv_event_pace_t *p, cv_time_t now);

/* Expected time of one step with RUNS in the batch, in milliseconds.  */
double cv_pace_step_ms (double factor, double runs, bool is_prefilling);

#ifdef __cplusplus
}
#endif

#endif
