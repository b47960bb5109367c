/* Draws the arrivals, prompts and outputs of a workload from one seed.  */

#include <math.h>
#include <stdlib.h>

#include "bench/decisions/workload.h"

#define BURST_HALF_PERIOD (5 * CV_SECOND)
#define BURST_HIGH_FACTOR 1.5
#define BURST_LOW_FACTOR 0.5
/* Virtual time at which an outage or a shift of outputs begins; the greedy
   account adds load from half this time on.  */
#define CHANGE_AT (60 * CV_SECOND)
#define GREEDY_EXTRA_LOAD 0.5
#define SHIFT_UP_FACTOR 1.5
#define SHIFT_DOWN_FACTOR 0.5
/* Spread of the accounts' output lengths around the median of the class:
   standard deviation of the logarithm.  */
#define ACCOUNT_OUTPUT_SIGMA 0.4
#define CALIBRATE_SECONDS 300
#define CALIBRATE_SEED 7

const char *const case_name[CASES]
    = { "steady", "burst", "lost", "stalled", "outage", "greedy", "shift" };

static const deployment_t deployments[] = {
  { .name = "qadri",
    .domains = 3,
    .targets = 10,
    .entries = 3,
    .account_share = { .26, .20, .15, .10, .07, .06, .05, .04, .04, .03 },
    .class = { { "report", .35, 1200, .4, 500, .9, 400, 1, 10 * CV_SECOND },
               { "tag", .60, 250, .3, 12, .5, 120, 2, 2 * CV_SECOND },
               { "digest", .05, 2500, .4, 900, .7, 400, 0, 30 * CV_SECOND } },
    .engine = { 40000, 64, 2048, 18000, 200, .1, 40 } },
  { .name = "dzintarpogas",
    .domains = 4,
    .targets = 12,
    .entries = 4,
    .account_share = { .30, .18, .14, .10, .08, .06, .05, .04, .03, .02 },
    .class = { { "quote", .40, 600, .4, 220, .8, 250, 2, 2 * CV_SECOND },
               { "letter", .25, 1800, .5, 350, .9, 300, 1, 8 * CV_SECOND },
               { "tag", .35, 200, .3, 15, .5, 120, 2, 2 * CV_SECOND } },
    .engine = { 32000, 64, 2048, 16000, 200, .1, 40 } },
};

static double lognormal (cv_rng_t *rng, double median, double sigma);
static uint32_t choose_weighted (cv_rng_t *rng, const double *share,
                                 uint32_t n);
static void draw_request (cv_rng_t *rng, const deployment_t *s,
                          const double *output_factor, arrival_t *a);
static void draw_output_factors (cv_rng_t *rng, double *output_factor);
static double closed_loop_rate (const deployment_t *s, uint32_t jobs);
static double arrival_rate (const deployment_t *s, case_t test_case,
                            double load, cv_time_t at);
static void shift_output (arrival_t *a);

size_t
deployment_count (void)
{
  return sizeof deployments / sizeof *deployments;
}

static double
lognormal (cv_rng_t *rng, double median, double sigma)
{
  double u = 1 - cv_rng_uniform (rng);
  double v = cv_rng_uniform (rng);

  return median * exp (sigma * sqrt (-2 * log (u)) * cos (2 * M_PI * v));
}

static uint32_t
choose_weighted (cv_rng_t *rng, const double *share, uint32_t n)
{
  double u = cv_rng_uniform (rng);
  uint32_t i = 0;

  while (i < n - 1 && u >= share[i])
    u -= share[i++];
  return i;
}

static void
draw_output_factors (cv_rng_t *rng, double *output_factor)
{
  for (int i = 0; i < ACCOUNTS; i++)
    output_factor[i] = lognormal (rng, 1, ACCOUNT_OUTPUT_SIGMA);
}

/* Draws class, prompt and output of a request of A's account.  */
static void
draw_request (cv_rng_t *rng, const deployment_t *s, const double *output_factor,
              arrival_t *a)
{
  double share[CLASSES];
  const class_t *c;
  double output;

  for (int i = 0; i < CLASSES; i++)
    share[i] = s->class[i].share;
  a->class = choose_weighted (rng, share, CLASSES);
  c = &s->class[a->class];
  a->prompt = c->prefix_tokens + 1
              + (uint32_t)lognormal (rng, c->prompt_median - c->prefix_tokens,
                                     c->prompt_sigma);
  a->prefix = a->account * CLASSES + a->class;
  output = lognormal (rng, c->output_median * output_factor[a->account],
                      c->output_sigma);
  a->output = output < 1            ? 1
              : output > OUTPUT_MAX ? OUTPUT_MAX
                                    : (uint32_t)output;
}

typedef struct
{
  engine_t engine;
  uint64_t tokens; /* output of finished jobs */
} closed_loop_t;

static void
finish_loop_job (void *arg, job_t *job)
{
  closed_loop_t *loop = arg;

  if (job->produced < job->output)
    return;
  loop->tokens += job->output;
  engine_remove (&loop->engine, job);
}

/* Returns the output tokens per second of one engine that always has JOBS
   jobs.  */
static double
closed_loop_rate (const deployment_t *s, uint32_t jobs)
{
  closed_loop_t loop = { 0 };
  job_t *job = cv_calloc (jobs, sizeof *job);
  double output_factor[ACCOUNTS];
  cv_time_t now = 0;
  cv_rng_t rng;

  cv_rng_init (&rng, CALIBRATE_SEED);
  draw_output_factors (&rng, output_factor);
  engine_init (&loop.engine, &s->engine);
  while (now < CALIBRATE_SECONDS * CV_SECOND)
    {
      for (uint32_t i = 0; i < jobs; i++)
        if (job[i].state == JOB_DETACHED)
          {
            arrival_t a = { .account = choose_weighted (&rng, s->account_share,
                                                        ACCOUNTS) };

            draw_request (&rng, s, output_factor, &a);
            job[i] = (job_t){ .prompt = a.prompt,
                              .prefix = a.prefix,
                              .prefix_tokens = s->class[a.class].prefix_tokens,
                              .output = a.output };
            engine_submit (&loop.engine, &job[i]);
          }
      now += engine_plan_step (&loop.engine);
      engine_finish_step (&loop.engine, finish_loop_job, &loop);
    }
  cv_rng_finish (&rng);
  free (job);
  return 1e6 * (double)loop.tokens / (double)now;
}

void
deployment_init (deployment_t *s, size_t i)
{
  *s = deployments[i];
  for (uint32_t jobs = 4; jobs <= s->engine.max_batch; jobs += 2)
    {
      double rate = closed_loop_rate (s, jobs);

      if (rate > s->best_tokens_per_s)
        s->best_tokens_per_s = rate;
    }
}

/* Returns the arrivals per second at time AT; bursts alternate with lulls
   around the mean rate.  */
static double
arrival_rate (const deployment_t *s, case_t test_case, double load,
              cv_time_t at)
{
  double rate = load * s->targets * s->best_tokens_per_s / s->mean_output;

  if (test_case != CASE_BURST)
    return rate;
  return rate
         * (at / BURST_HALF_PERIOD % 2 == 0 ? BURST_HIGH_FACTOR
                                            : BURST_LOW_FACTOR);
}

static void
shift_output (arrival_t *a)
{
  double output
      = a->output * (a->account % 2 == 0 ? SHIFT_UP_FACTOR : SHIFT_DOWN_FACTOR);

  a->output = output < 1            ? 1
              : output > OUTPUT_MAX ? OUTPUT_MAX
                                    : (uint32_t)output;
}

void
workload_init (workload_t *w, const deployment_t *s, case_t test_case,
               double load, cv_time_t length, uint64_t seed)
{
  double output_factor[ACCOUNTS];
  size_t cap = 0;
  double at = 0;
  deployment_t calibrated = *s;
  cv_rng_t rng;

  *w = (workload_t){ 0 };
  cv_rng_init (&rng, seed);
  draw_output_factors (&rng, output_factor);
  /* The arrival rate for LOAD depends on the mean output, which depends on the
     seed's output factors.  */
  calibrated.mean_output = 0;
  for (int i = 0; i < 20000; i++)
    {
      arrival_t a
          = { .account = choose_weighted (&rng, s->account_share, ACCOUNTS) };

      draw_request (&rng, s, output_factor, &a);
      calibrated.mean_output += a.output / 20000.0;
    }
  for (;;)
    {
      double base_rate
          = arrival_rate (&calibrated, test_case, load, (cv_time_t)at);
      bool greedy = test_case == CASE_GREEDY && at > (double)CHANGE_AT / 2;
      double rate
          = greedy ? base_rate * (1 + GREEDY_EXTRA_LOAD / load) : base_rate;
      arrival_t a = { 0 };

      at -= 1e6 * log (1 - cv_rng_uniform (&rng)) / rate;
      if (at >= (double)length)
        break;
      a.at = (cv_time_t)at;
      a.account = choose_weighted (&rng, s->account_share, ACCOUNTS);
      if (greedy && cv_rng_uniform (&rng) >= base_rate / rate)
        a.account = GREEDY_ACCOUNT;
      a.entry = cv_rng_below (&rng, s->entries);
      if (test_case == CASE_OUTAGE && a.at > CHANGE_AT && a.entry == 0)
        a.entry = 1 + cv_rng_below (&rng, s->entries - 1);
      draw_request (&rng, s, output_factor, &a);
      if (test_case == CASE_SHIFT && a.at > CHANGE_AT)
        shift_output (&a);
      if (w->n == cap)
        {
          cap = cap ? cap * 2 : 1024;
          w->list = cv_realloc (w->list, cap * sizeof *w->list);
        }
      w->list[w->n++] = a;
    }
  cv_rng_finish (&rng);
}

void
workload_finish (workload_t *w)
{
  free (w->list);
  *w = (workload_t){ 0 };
}
