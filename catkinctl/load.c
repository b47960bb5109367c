/* The verb load: sends a bounded mix of requests to an entry and counts the
   results.  */

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <ulfius.h>

#include "catkinctl/load.h"

#define PERCENT 100
#define STATUS_OK 200
#define PREEMPTION_SAMPLES "preemptions"

static void *run_caller (void *arg);
static bool next_request (cv_load_t *l, uint32_t *number);
static cv_load_kind_t choose_kind (const cv_ctl_t *ctl, uint32_t number);
static void count_result (cv_load_t *l, cv_load_kind_t kind,
                          const cv_load_result_t *r);
static void count_reason (cv_load_t *l, const char *code);
static void wait_before_next_request (const cv_load_t *l,
                                      uint32_t retry_after_ms);
static double read_preemptions (const cv_ctl_t *ctl);
static void init (cv_load_t *l, const cv_ctl_t *ctl);
static void finish (cv_load_t *l);
static int exit_code (const cv_load_t *l);

int
cv_ctl_load (const cv_ctl_t *ctl)
{
  pthread_t callers[CV_LOAD_CALLERS_MAX];
  double preemptions_before;
  double preemptions_after;
  uint32_t n = 0;
  cv_load_t l;
  int rc;

  if (ctl->entry == NULL || ctl->model == NULL
      || ctl->tag_percent + ctl->booking_percent > PERCENT
      || (ctl->booking_percent > 0 && ctl->pool == NULL))
    {
      fprintf (stderr,
               "catkinctl: expected load --entry URL --model NAME, "
               "--pool NAME for bookings, and shares of at most 100%%\n");
      return CV_EXIT_USAGE;
    }
  if (ulfius_global_init () != U_OK)
    return CV_EXIT_NOT_RUN;
  init (&l, ctl);
  preemptions_before = read_preemptions (ctl);
  while (n < ctl->concurrency
         && pthread_create (&callers[n], NULL, run_caller, &l) == 0)
    n++;
  while (n > 0)
    (void)pthread_join (callers[--n], NULL);
  preemptions_after = read_preemptions (ctl);
  if (ctl->json)
    cv_load_print_json (&l, cv_now () - l.start,
                        preemptions_before < 0 || preemptions_after < 0
                            ? -1
                            : preemptions_after - preemptions_before);
  else
    cv_load_print (&l, cv_now () - l.start,
                   preemptions_before < 0 || preemptions_after < 0
                       ? -1
                       : preemptions_after - preemptions_before);
  rc = exit_code (&l);
  finish (&l);
  ulfius_global_close ();
  return rc;
}

static void
init (cv_load_t *l, const cv_ctl_t *ctl)
{
  int i;

  memset (l, 0, sizeof *l);
  l->ctl = ctl;
  l->start = cv_now ();
  l->deadline = l->start + (cv_time_t)ctl->seconds * CV_SECOND;
  CV_INVARIANT (pthread_mutex_init (&l->lock, NULL) == 0);
  /* Bounds in seconds.  */
  for (i = 0; i < CV_LOAD_KINDS; i++)
    {
      cv_hist_init (&l->stats[i].first_token, 1e-4, 1000);
      cv_hist_init (&l->stats[i].gap, 1e-5, 1000);
    }
}

static void
finish (cv_load_t *l)
{
  int i;

  for (i = 0; i < CV_LOAD_KINDS; i++)
    {
      cv_hist_finish (&l->stats[i].first_token);
      cv_hist_finish (&l->stats[i].gap);
    }
  (void)pthread_mutex_destroy (&l->lock);
}

static void *
run_caller (void *arg)
{
  cv_load_t *l = arg;
  cv_load_kind_t kind;
  uint32_t number;

  while (next_request (l, &number))
    {
      cv_load_result_t r = { .retry_after_ms = 0 };

      kind = choose_kind (l->ctl, number);
      if (kind == CV_LOAD_BOOKING)
        cv_load_run_booking (l, number, &r);
      else
        cv_load_run_stream (l, kind, number, &r);
      count_result (l, kind, &r);
      if (r.outcome != CV_LOAD_DONE)
        wait_before_next_request (l, r.retry_after_ms);
    }
  return NULL;
}

/* Stores the number of the next request; false when no more are to be
   started.  */
static bool
next_request (cv_load_t *l, uint32_t *number)
{
  bool more;

  (void)pthread_mutex_lock (&l->lock);
  more = l->started < l->ctl->count && cv_now () < l->deadline;
  if (more)
    *number = l->started++;
  (void)pthread_mutex_unlock (&l->lock);
  return more;
}

/* Depends on the seed and the number alone, so that a load is repeatable.  */
static cv_load_kind_t
choose_kind (const cv_ctl_t *ctl, uint32_t number)
{
  uint32_t draw
      = (uint32_t)(cv_hash (&number, sizeof number, ctl->seed) % PERCENT);

  if (draw < ctl->booking_percent)
    return CV_LOAD_BOOKING;
  if (draw < ctl->booking_percent + ctl->tag_percent)
    return CV_LOAD_TAG;
  return CV_LOAD_SUMMARY;
}

static void
count_result (cv_load_t *l, cv_load_kind_t kind, const cv_load_result_t *r)
{
  cv_load_stats_t *s = &l->stats[kind];

  (void)pthread_mutex_lock (&l->lock);
  s->outcomes[r->outcome]++;
  s->tokens += r->tokens;
  s->stall_time += r->stall_time;
  if (r->violation[0] != '\0')
    {
      s->violations++;
      if (l->first_violation[0] == '\0')
        (void)cv_copy (l->first_violation, sizeof l->first_violation,
                       r->violation);
    }
  if (r->reason[0] != '\0')
    count_reason (l, r->reason);
  (void)pthread_mutex_unlock (&l->lock);
}

static void
count_reason (cv_load_t *l, const char *code)
{
  size_t i = 0;

  while (i < l->reason_count && strcmp (l->reasons[i].code, code) != 0)
    i++;
  if (i == CV_LOAD_REASONS)
    return;
  if (i == l->reason_count)
    (void)cv_copy (l->reasons[l->reason_count++].code, CV_NAME_MAX, code);
  l->reasons[i].count++;
}

/* Waits for RETRY_AFTER_MS, at least 10 ms and not beyond the deadline.  */
static void
wait_before_next_request (const cv_load_t *l, uint32_t retry_after_ms)
{
  cv_time_t left = l->deadline - cv_now ();
  cv_time_t wait = retry_after_ms * CV_MS;
  struct timespec ts;

  if (wait < 10 * CV_MS)
    wait = 10 * CV_MS;
  if (wait > left)
    wait = left > 0 ? left : 0;
  ts.tv_sec = wait / CV_SECOND;
  ts.tv_nsec = (wait % CV_SECOND) * 1000;
  (void)nanosleep (&ts, NULL);
}

/* Returns the sum of the samples that mention preemptions, -1 when there are
   none.  */
static double
read_preemptions (const cv_ctl_t *ctl)
{
  double sum = -1;
  cv_response_t a;
  char *line;
  char *rest;
  char *value;

  cv_ctl_call (ctl, "GET", "/metrics", NULL, 0, &a);
  if (a.connected && a.status == STATUS_OK)
    {
      (void)cv_buf_text (&a.body);
      for (line = strtok_r (a.body.p, "\n", &rest); line != NULL;
           line = strtok_r (NULL, "\n", &rest))
        {
          value = strrchr (line, ' ');
          if (line[0] != '#' && value != NULL
              && strstr (line, PREEMPTION_SAMPLES) != NULL)
            sum = (sum < 0 ? 0 : sum) + strtod (value, NULL);
        }
    }
  cv_response_finish (&a);
  return sum;
}

static int
exit_code (const cv_load_t *l)
{
  uint64_t tokens = 0;
  uint64_t cut_count = 0;
  int i;

  for (i = 0; i < CV_LOAD_KINDS; i++)
    {
      cut_count += l->stats[i].outcomes[CV_LOAD_CUT];
      tokens += l->stats[i].tokens;
    }
  if (cut_count > 0 && cut_count == l->started && tokens == 0)
    return CV_EXIT_NOT_RUN;
  return cut_count > 0 || l->first_violation[0] != '\0' ? CV_EXIT_REFUSED
                                                        : CV_EXIT_OK;
}
