/* Main function of the role `entry`: starts the threads of the process, waits
   for a signal to stop, drains and stops the threads.  */

#include <signal.h>
#include <time.h>

#include <ulfius.h>

#include "entry/entry.h"
#include "entry/http.h"
#include "entry/instances.h"
#include "entry/link.h"
#include "entry/storejobs.h"

/* Time for the load balancer to notice the failing health check before new
   requests are refused.  */
#define DRAIN_NOTICE_TIME (1 * CV_SECOND)
#define DRAIN_POLL_INTERVAL (50 * CV_MS)
/* Part of the drain time for the responses to requests that are still in flight
   at its end.  */
#define END_TIME (2 * CV_SECOND)
/* Each of the two times is at most this fraction of the drain time.  */
#define DRAIN_PART_DIVISOR 4

typedef struct
{
  cv_entry_link_t *link;
  cv_storejobs_t *jobs;
  cv_instances_t *instances;
  cv_http_t *http;
} cv_entry_process_t;

static bool start_threads (cv_entry_process_t *e, const cv_entry_settings_t *s,
                           cv_error_t *err);
static void stop_threads (cv_entry_process_t *e);
static void drain (cv_entry_process_t *e, const cv_entry_settings_t *s);
static void close_connections (cv_entry_process_t *e, cv_time_t deadline);
static bool wait_idle (cv_entry_process_t *e, cv_time_t deadline);
static void sleep_until (cv_time_t at);
static cv_time_t min_time (cv_time_t a, cv_time_t b);
static void count_in_flight (cv_entry_core_t *core, cv_time_t now, void *arg);

bool
cv_entry_run (const cv_entry_settings_t *s, cv_error_t *err)
{
  cv_entry_process_t e = { 0 };
  sigset_t stop_signals;
  int signal_number;

  (void)sigemptyset (&stop_signals);
  (void)sigaddset (&stop_signals, SIGTERM);
  (void)sigaddset (&stop_signals, SIGINT);
  (void)pthread_sigmask (SIG_BLOCK, &stop_signals, NULL);
  (void)signal (SIGPIPE, SIG_IGN);
  if (ulfius_global_init () != U_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot initialise the HTTP library");
  if (!start_threads (&e, s, err))
    {
      stop_threads (&e);
      return false;
    }
  (void)sigwait (&stop_signals, &signal_number);
  cv_log (CV_EV_DAEMON_STOPPING, "signal %d", signal_number);
  drain (&e, s);
  stop_threads (&e);
  ulfius_global_close ();
  return true;
}

static bool
start_threads (cv_entry_process_t *e, const cv_entry_settings_t *s,
               cv_error_t *err)
{
  e->link = cv_entry_link_new (s, err);
  if (e->link == NULL)
    return false;
  e->jobs = cv_storejobs_new (s, e->link, err);
  if (e->jobs == NULL)
    return false;
  e->instances = cv_instances_new (s, e->link, err);
  if (e->instances == NULL)
    return false;
  e->http = cv_http_new (s, e->link, e->jobs, err);
  return e->http != NULL;
}

static void
stop_threads (cv_entry_process_t *e)
{
  if (e->http != NULL)
    cv_http_free (e->http);
  if (e->instances != NULL)
    cv_instances_free (e->instances);
  if (e->jobs != NULL)
    cv_storejobs_free (e->jobs);
  if (e->link != NULL)
    cv_entry_link_free (e->link);
}

/* Refuses new requests, then waits until those in flight have ended and their
   responses are sent, also to slow readers.  Requests that have not ended
   shortly before drain_s are failed, so that their callers get a response.  */
static void
drain (cv_entry_process_t *e, const cv_entry_settings_t *s)
{
  cv_time_t drain_time = s->drain_s * CV_SECOND;
  cv_time_t max_part = drain_time / DRAIN_PART_DIVISOR;
  cv_time_t start = cv_now ();
  cv_time_t end = start + drain_time;
  uint32_t in_flight;

  cv_http_drain (e->http);
  sleep_until (start + min_time (DRAIN_NOTICE_TIME, max_part));
  cv_entry_link_refuse_new (e->link);
  if (!wait_idle (e, end - min_time (END_TIME, max_part)))
    {
      cv_entry_link_inspect (e->link, count_in_flight, &in_flight);
      cv_log (CV_EV_ENTRY_DRAIN_ENDED, "%u requests", in_flight);
      cv_entry_link_end_requests (e->link);
      cv_storejobs_end (e->jobs);
    }
  close_connections (e, end);
}

/* Closes the connections, each once its request has been answered.  Requests
   that arrived meanwhile are answered as well.  */
static void
close_connections (cv_entry_process_t *e, cv_time_t deadline)
{
  uint32_t unanswered;

  cv_http_stop_accepting (e->http);
  /* A connection that is being accepted is counted a little later.  */
  do
    sleep_until (cv_now () + DRAIN_POLL_INTERVAL);
  while (cv_http_close_idle (e->http) > 0 && cv_now () < deadline);
  unanswered = cv_http_active_requests (e->http);
  if (unanswered > 0)
    cv_log (CV_EV_ENTRY_UNANSWERED, "%u requests", unanswered);
}

/* Waits until no request is in flight and all responses are sent; false if that
   is not so at DEADLINE.  */
static bool
wait_idle (cv_entry_process_t *e, cv_time_t deadline)
{
  uint32_t in_flight;

  for (;;)
    {
      cv_entry_link_inspect (e->link, count_in_flight, &in_flight);
      if (in_flight == 0 && cv_http_active_requests (e->http) == 0)
        return true;
      if (cv_now () >= deadline)
        return false;
      sleep_until (cv_now () + DRAIN_POLL_INTERVAL);
    }
}

static void
sleep_until (cv_time_t at)
{
  cv_time_t wait = at - cv_now ();
  struct timespec t;

  if (wait <= 0)
    return;
  t.tv_sec = wait / CV_SECOND;
  t.tv_nsec = wait % CV_SECOND * (1000000000 / CV_SECOND);
  (void)nanosleep (&t, NULL);
}

static cv_time_t
min_time (cv_time_t a, cv_time_t b)
{
  return a < b ? a : b;
}

static void
count_in_flight (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  uint32_t *count = arg;

  (void)now;
  *count = cv_entry_requests_in_flight (core);
}
