/* How long the jobs of the event loop use the processor in one go.  */

#include <time.h>

#include "gateway/state.h"

static uint64_t
cpu_us (void)
{
  struct timespec t = { 0 };

  (void)clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}

cv_step_t
cv_step_begin (cv_gateway_t *g, cv_job_t job)
{
  return (cv_step_t){ .gateway = g, .job = job, .begun_us = cpu_us () };
}

uint64_t
cv_step_end (const cv_step_t *s)
{
  uint64_t *longest = &s->gateway->longest_step_us[s->job];
  uint64_t used = cpu_us () - s->begun_us;

  if (used > *longest)
    *longest = used;
  return used;
}

const char *
cv_job_text (cv_job_t job)
{
  switch (job)
    {
    case CV_JOB_TICK:
      return "tick";
    case CV_JOB_DATAGRAMS:
      return "datagrams";
    case CV_JOB_PLACEMENT:
      return "placement";
    case CV_JOB_PAGE:
      return "page";
    case CV_JOB_CONFIGURATION:
      return "configuration";
    case CV_JOB_LOG:
      return "log";
    case CV_JOBS:
      break;
    }
  return "";
}
