/* Workloads: arrivals, prompts and outputs drawn from one seed.  */

#include <math.h>
#include <stdlib.h>

#include "bench/decisions/workload.h"

#define BURST_HALF (5 * CV_SECOND)
#define BURST_HIGH 1.5
#define BURST_LOW 0.5
#define CHANGE_AT (60 * CV_SECOND)
#define GREEDY_PART 0.5
#define SHIFT_UP 1.5
#define SHIFT_DOWN 0.5
/* Spread of the accounts' habits about the class's median.  */
#define ACCOUNT_SIGMA 0.4
#define CALIBRATE_SECONDS 300
#define CALIBRATE_SEED 7

const char *const case_name[CASES]
    = { "steady", "burst", "lost", "stalled", "outage", "greedy", "shift" };

static const setup_t setups[] = {
  { .name = "qadri",
    .domains = 3,
    .targets = 10,
    .entries = 3,
    .account = { .26, .20, .15, .10, .07, .06, .05, .04, .04, .03 },
    .class = { { "report", .35, 1200, .4, 500, .9, 400, 1, 10 * CV_SECOND },
               { "tag", .60, 250, .3, 12, .5, 120, 2, 2 * CV_SECOND },
               { "digest", .05, 2500, .4, 900, .7, 400, 0, 30 * CV_SECOND } },
    .engine = { 40000, 64, 2048, 18000, 200, .1, 40 } },
  { .name = "dzintarpogas",
    .domains = 4,
    .targets = 12,
    .entries = 4,
    .account = { .30, .18, .14, .10, .08, .06, .05, .04, .03, .02 },
    .class = { { "quote", .40, 600, .4, 220, .8, 250, 2, 2 * CV_SECOND },
               { "letter", .25, 1800, .5, 350, .9, 300, 1, 8 * CV_SECOND },
               { "tag", .35, 200, .3, 15, .5, 120, 2, 2 * CV_SECOND } },
    .engine = { 32000, 64, 2048, 16000, 200, .1, 40 } },
};

static double lognormal (cv_rng_t *rng, double median, double sigma);
static uint32_t choose (cv_rng_t *rng, const double *part, uint32_t n);
static void draw (cv_rng_t *rng, const setup_t *s, const double *habit,
                  arrival_t *a);
static void habits (cv_rng_t *rng, double *habit);
static double closed_loop (const setup_t *s, uint32_t streams);
static double rate_at (const setup_t *s, case_t what, double load,
                       cv_time_t at);
static void shift (arrival_t *a);

size_t
setup_count (void)
{
  return sizeof setups / sizeof *setups;
}

static double
lognormal (cv_rng_t *rng, double median, double sigma)
{
  double u = 1 - cv_rng_uniform (rng);
  double v = cv_rng_uniform (rng);

  return median * exp (sigma * sqrt (-2 * log (u)) * cos (2 * M_PI * v));
}

static uint32_t
choose (cv_rng_t *rng, const double *part, uint32_t n)
{
  double u = cv_rng_uniform (rng);
  uint32_t i = 0;

  while (i < n - 1 && u >= part[i])
    u -= part[i++];
  return i;
}

static void
habits (cv_rng_t *rng, double *habit)
{
  for (int i = 0; i < ACCOUNTS; i++)
    habit[i] = lognormal (rng, 1, ACCOUNT_SIGMA);
}

/* Draw what A's account asks for.  */
static void
draw (cv_rng_t *rng, const setup_t *s, const double *habit, arrival_t *a)
{
  double part[CLASSES];
  const class_t *c;
  double output;

  for (int i = 0; i < CLASSES; i++)
    part[i] = s->class[i].part;
  a->class = choose (rng, part, CLASSES);
  c = &s->class[a->class];
  a->prompt = c->prefix_tokens + 1
              + (uint32_t)lognormal (rng, c->prompt_median - c->prefix_tokens,
                                     c->prompt_sigma);
  a->prefix = a->account * CLASSES + a->class;
  output
      = lognormal (rng, c->output_median * habit[a->account], c->output_sigma);
  a->output = output < 1            ? 1
              : output > OUTPUT_MAX ? OUTPUT_MAX
                                    : (uint32_t)output;
}

typedef struct
{
  engine_t engine;
  uint64_t tokens; /* of finished jobs */
} loop_t;

static void
loop_token (void *arg, job_t *job)
{
  loop_t *loop = arg;

  if (job->produced < job->output)
    return;
  loop->tokens += job->output;
  engine_remove (&loop->engine, job);
}

/* Tokens a second of one engine that always holds STREAMS streams.  */
static double
closed_loop (const setup_t *s, uint32_t streams)
{
  loop_t loop = { 0 };
  job_t *job = cv_calloc (streams, sizeof *job);
  double habit[ACCOUNTS];
  cv_time_t now = 0;
  cv_rng_t rng;

  cv_rng_init (&rng, CALIBRATE_SEED);
  habits (&rng, habit);
  engine_init (&loop.engine, &s->engine);
  while (now < CALIBRATE_SECONDS * CV_SECOND)
    {
      for (uint32_t i = 0; i < streams; i++)
        if (job[i].state == JOB_OUT)
          {
            arrival_t a = { .account = choose (&rng, s->account, ACCOUNTS) };

            draw (&rng, s, habit, &a);
            job[i] = (job_t){ .prompt = a.prompt,
                              .prefix = a.prefix,
                              .prefix_tokens = s->class[a.class].prefix_tokens,
                              .output = a.output };
            engine_submit (&loop.engine, &job[i]);
          }
      now += engine_plan (&loop.engine);
      engine_finish (&loop.engine, loop_token, &loop);
    }
  cv_rng_finish (&rng);
  free (job);
  return 1e6 * (double)loop.tokens / (double)now;
}

void
setup_init (setup_t *s, size_t i)
{
  *s = setups[i];
  for (uint32_t streams = 4; streams <= s->engine.max_batch; streams += 2)
    {
      double rate = closed_loop (s, streams);

      if (rate > s->best_tokens_per_s)
        s->best_tokens_per_s = rate;
    }
}

/* Requests a second, relative to the mean over bursts.  */
static double
rate_at (const setup_t *s, case_t what, double load, cv_time_t at)
{
  double rate = load * s->targets * s->best_tokens_per_s / s->mean_output;

  if (what != CASE_BURST)
    return rate;
  return rate * (at / BURST_HALF % 2 == 0 ? BURST_HIGH : BURST_LOW);
}

static void
shift (arrival_t *a)
{
  double output = a->output * (a->account % 2 == 0 ? SHIFT_UP : SHIFT_DOWN);

  a->output = output < 1            ? 1
              : output > OUTPUT_MAX ? OUTPUT_MAX
                                    : (uint32_t)output;
}

void
workload_init (workload_t *w, const setup_t *s, case_t what, double load,
               cv_time_t length, uint64_t seed)
{
  double habit[ACCOUNTS];
  size_t cap = 0;
  double at = 0;
  setup_t own = *s;
  cv_rng_t rng;

  *w = (workload_t){ 0 };
  cv_rng_init (&rng, seed);
  habits (&rng, habit);
  /* The mean by the seed's own habits, so that the load is what it says.  */
  own.mean_output = 0;
  for (int i = 0; i < 20000; i++)
    {
      arrival_t a = { .account = choose (&rng, s->account, ACCOUNTS) };

      draw (&rng, s, habit, &a);
      own.mean_output += a.output / 20000.0;
    }
  for (;;)
    {
      double base = rate_at (&own, what, load, (cv_time_t)at);
      bool extra = what == CASE_GREEDY && at > (double)CHANGE_AT / 2;
      double rate = extra ? base * (1 + GREEDY_PART / load) : base;
      arrival_t a = { 0 };

      at -= 1e6 * log (1 - cv_rng_uniform (&rng)) / rate;
      if (at >= (double)length)
        break;
      a.at = (cv_time_t)at;
      a.account = choose (&rng, s->account, ACCOUNTS);
      if (extra && cv_rng_uniform (&rng) >= base / rate)
        a.account = GREEDY;
      a.entry = cv_rng_below (&rng, s->entries);
      if (what == CASE_OUTAGE && a.at > CHANGE_AT && a.entry == 0)
        a.entry = 1 + cv_rng_below (&rng, s->entries - 1);
      draw (&rng, s, habit, &a);
      if (what == CASE_SHIFT && a.at > CHANGE_AT)
        shift (&a);
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
