/* Start, periodic work, reload and stop of a gateway.  */

#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "gateway/state.h"

/* Period of checks of timeouts and queues.  A refusal after a timeout is
   delayed by at most one period.  */
#define TICK_MS 25
/* After a longer time without a tick, the process or its machine was stalled.
 */
#define STALL_THRESHOLD (500 * CV_MS)
/* Shortest time from the start of a stop to its end.  Connections are accepted
   until then, as the load balancer sends connections until two health checks, a
   second apart, have failed.  */
#define STOP_ACCEPT_PERIOD (3 * CV_SECOND)
/* Time for callers to send a request on a connection that was accepted as the
   stop ended, and then for all of them to read their last responses; both from
   the end of the stop.  */
#define STOP_READ_PERIOD (50 * CV_MS)
#define STOP_WRITE_PERIOD (200 * CV_MS)
/* Range of the histograms, in milliseconds.  */
#define HIST_MIN_MS 1.0
#define HIST_MAX_MS 100000.0

static void on_tick (evutil_socket_t fd, short what, void *arg);
static void on_signal (evutil_socket_t number, short what, void *arg);
static bool open_ports (cv_gateway_t *g, cv_error_t *err);
static void add_signals (cv_gateway_t *g);

static bool
init (cv_gateway_t *g, const cv_gateway_settings_t *s, const char *path,
      cv_error_t *err)
{
  memset (g, 0, sizeof *g);
  g->settings = *s;
  g->settings_path = path;
  g->accepting = true;
  TAILQ_INIT (&g->targets);
  TAILQ_INIT (&g->granted_leases);
  TAILQ_INIT (&g->services);
  TAILQ_INIT (&g->route_states);
  TAILQ_INIT (&g->clients);
  TAILQ_INIT (&g->exchanges);
  TAILQ_INIT (&g->migrations);
  TAILQ_INIT (&g->waiting);
  cv_domains_init (&g->domains);
  cv_rng_init (&g->rng, cv_random_u64 ());
  g->started_at = cv_now ();
  cv_hist_init (&g->latency, HIST_MIN_MS, HIST_MAX_MS);
  cv_hist_init (&g->first_event, HIST_MIN_MS, HIST_MAX_MS);
  cv_hist_init (&g->gaps, HIST_MIN_MS, HIST_MAX_MS);
  cv_hist_init (&g->adoption_delay, HIST_MIN_MS, HIST_MAX_MS);
  if (!cv_http_parse_address (s->store_url, &g->store))
    return cv_fail (err, CV_ERR_INVALID, "store_url: not an IPv4 address");
  g->base = event_base_new ();
  if (g->base == NULL)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot create event loop");
  cv_held_init (g);
  cv_register_init (&g->registration, g);
  cv_evidence_init (&g->evidence, g);
  cv_shares_init (&g->shares);
  cv_origins_init (&g->origins);
  cv_quarantine_store_init (&g->quarantine_store, g);
  if (!open_ports (g, err) || !cv_loads_open (g, err))
    return false;
  /* The rank of a reader is that of its address for datagrams.  */
  cv_watcher_init (&g->routing_watcher, g, CV_STORE_ROUTING);
  cv_watcher_init (&g->instance_watcher, g, CV_STORE_INSTANCES);
  cv_watcher_init (&g->evacuation_watcher, g, CV_STORE_EVACUATIONS);
  return true;
}

static bool
open_ports (cv_gateway_t *g, cv_error_t *err)
{
  const cv_gateway_settings_t *s = &g->settings;

  return cv_port_open (g, CV_PORT_CALLERS, s->listen_url, err)
         && cv_port_open (g, CV_PORT_READY, s->ready_url, err)
         && (s->metrics_url[0] == '\0'
             || cv_port_open (g, CV_PORT_METRICS, s->metrics_url, err));
}

static void
finish (cv_gateway_t *g)
{
  cv_client_t *c;

  while ((c = TAILQ_FIRST (&g->clients)) != NULL)
    cv_client_close (c, CV_CLOSE_STOP);
  cv_migrations_finish (g);
  cv_lease_drop (g, 0, true);
  if (g->loads_event != NULL)
    cv_limits_finish (g);
  cv_loads_close (g);
  cv_register_finish (&g->registration);
  cv_quarantine_store_finish (&g->quarantine_store);
  cv_watcher_finish (&g->routing_watcher);
  cv_watcher_finish (&g->instance_watcher);
  cv_watcher_finish (&g->evacuation_watcher);
  cv_targets_finish (g);
  cv_domains_finish (&g->domains);
  cv_evidence_finish (&g->evidence);
  cv_shares_finish (&g->shares);
  cv_origins_finish (&g->origins);
  cv_states_finish (g);
  cv_routing_unref (g->routing);
  for (uint32_t i = 0; i < g->port_count; i++)
    cv_port_close (&g->ports[i]);
  for (size_t i = 0; i < sizeof g->signals / sizeof g->signals[0]; i++)
    if (g->signals[i] != NULL)
      event_free (g->signals[i]);
  if (g->tick_event != NULL)
    event_free (g->tick_event);
  cv_held_finish (g);
  if (g->base != NULL)
    {
      /* Deferred callbacks hold the last references to closed connections.  */
      (void)event_base_loop (g->base, EVLOOP_NONBLOCK);
      event_base_free (g->base);
    }
  cv_rng_finish (&g->rng);
  cv_hist_finish (&g->latency);
  cv_hist_finish (&g->first_event);
  cv_hist_finish (&g->gaps);
  cv_hist_finish (&g->adoption_delay);
}

bool
cv_gateway_run (const cv_gateway_settings_t *s, const char *path,
                cv_error_t *err)
{
  static const struct timeval tick = { .tv_usec = TICK_MS * 1000 };
  static cv_gateway_t gateway;
  cv_gateway_t *g = &gateway;
  cv_line_t l;
  bool ok = init (g, s, path, err);

  if (ok)
    {
      cv_line_open (STDOUT_FILENO);
      cv_line_begin (&l, CV_EV_GATEWAY_LISTENING);
      cv_line_text (&l, "instance", cv_slice (s->instance));
      cv_line_text (&l, "failure_domain", cv_slice (s->failure_domain));
      cv_line_text (&l, "address", cv_slice (s->listen_url));
      cv_line_end (&l);
      add_signals (g);
      g->tick_event = event_new (g->base, -1, EV_PERSIST, on_tick, g);
      ok = g->tick_event != NULL && event_add (g->tick_event, &tick) == 0
           && event_base_dispatch (g->base) >= 0 && cv_block_stop_signals (err);
      if (!ok)
        (void)cv_fail (err, CV_ERR_SYSTEM, "event loop failed");
    }
  finish (g);
  cv_line_flush ();
  return ok;
}

static void
add_signals (cv_gateway_t *g)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };

  (void)signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      g->signals[i] = evsignal_new (g->base, numbers[i], on_signal, g);
      CV_INVARIANT (g->signals[i] != NULL
                    && event_add (g->signals[i], NULL) == 0);
    }
}

static uint32_t
count_exchanges (const cv_gateway_t *g)
{
  const cv_exchange_t *x;
  uint32_t n = 0;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  n++;
  return n;
}

static void
begin_stop (cv_gateway_t *g)
{
  cv_time_t now = cv_now ();
  cv_line_t l;

  if (g->stopping)
    return;
  g->stopping = true;
  cv_stop_begin (&g->stop, now,
                 (cv_time_t)(g->settings.grace_s * (double)CV_SECOND));
  cv_line_begin (&l, CV_EV_DAEMON_STOPPING);
  cv_line_text (&l, "instance", cv_slice (g->settings.instance));
  cv_line_number (&l, "callers", g->client_count);
  cv_line_number (&l, "requests", count_exchanges (g));
  cv_line_end (&l);
}

static void
log_stopped (const cv_gateway_t *g)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_STOPPED);
  cv_line_text (&l, "instance", cv_slice (g->settings.instance));
  cv_line_number (&l, "after_us", cv_now () - g->stop.started_at);
  cv_line_number (&l, "callers", g->client_count);
  cv_line_number (&l, "requests", count_exchanges (g));
  cv_line_end (&l);
}

/* New addresses take effect at the next start, and most other settings at once.
   A new retry budget reaches known services when the number of gateways
   changes, and a new grace period has no effect on a stop in progress.  */
static void
reload (cv_gateway_t *g)
{
  cv_settings_t s;
  cv_line_t l;

  if (!cv_settings_load (g->settings_path, &s, stderr)
      || s.role != CV_ROLE_GATEWAY)
    {
      cv_line_begin (&l, CV_EV_DAEMON_RELOAD_REFUSED);
      cv_line_text (&l, "file", cv_slice (g->settings_path));
      cv_line_end (&l);
      return;
    }
  g->settings = s.u.gateway;
  cv_line_begin (&l, CV_EV_DAEMON_RELOADED);
  cv_line_text (&l, "file", cv_slice (g->settings_path));
  cv_line_end (&l);
}

static void
on_signal (evutil_socket_t number, short what, void *arg)
{
  (void)what;
  switch (number)
    {
    case SIGHUP:
      reload (arg);
      return;
    default:
      begin_stop (arg);
      return;
    }
}

/* The time of the stop is over, or nothing is left to be done.  */
static bool
is_stop_over (const cv_gateway_t *g, cv_time_t now)
{
  return now >= g->stop.ends_at
         || (now - g->stop.started_at > STOP_ACCEPT_PERIOD
             && TAILQ_EMPTY (&g->clients));
}

/* Ends what is still in progress when its time is over.  The process exits
   later than this, when the last responses have been written; also when this
   runs late because the process was stalled.  */
static void
advance_stop (cv_gateway_t *g, cv_time_t now)
{
  bool is_written;

  if (now >= g->stop.answer_by)
    cv_exchanges_end (g, now >= g->stop.ends_at);
  if (!g->is_ending && is_stop_over (g, now))
    {
      g->is_ending = true;
      g->ending_at = now;
      cv_port_end (&g->ports[0]);
    }
  if (!g->is_ending)
    return;
  if (now >= g->ending_at + STOP_READ_PERIOD)
    cv_clients_end (g);
  is_written
      = now >= g->ending_at + STOP_READ_PERIOD && !cv_clients_have_output (g);
  if (is_written || TAILQ_EMPTY (&g->clients)
      || now >= g->ending_at + STOP_WRITE_PERIOD)
    {
      log_stopped (g);
      (void)event_base_loopbreak (g->base);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  cv_gateway_t *g = arg;
  cv_time_t now = cv_now ();
  cv_time_t previous_tick_at = g->last_tick_at;
  cv_step_t tick = cv_step_begin (g, CV_JOB_TICK);
  cv_step_t log;

  (void)fd;
  (void)what;
  if (now - previous_tick_at > STALL_THRESHOLD)
    {
      g->stall_began_at = previous_tick_at;
      g->stall_ended_at = now;
    }
  g->last_tick_at = now;
  cv_watcher_tick (&g->routing_watcher, now);
  cv_watcher_tick (&g->instance_watcher, now);
  cv_evacuations_tick (g, now);
  cv_register_tick (&g->registration, now);
  cv_evidence_tick (&g->evidence, now);
  cv_gateway_count_tick (g, now);
  cv_warmup_tick (g, now);
  cv_quarantine_store_tick (&g->quarantine_store, now);
  cv_targets_tick (g, now);
  cv_limits_tick (g, now);
  cv_versions_tick (g, now);
  cv_migrations_tick (g, now);
  cv_shares_tick (g, now);
  cv_lease_drop (g, now, false);
  cv_exchanges_tick (g, now);
  cv_clients_tick (g, now);
  cv_held_tick (g, now);
  log = cv_step_begin (g, CV_JOB_LOG);
  cv_line_flush ();
  (void)cv_step_end (&log);
  (void)cv_step_end (&tick);
  /* What arrived during a stall is handled before anything is cut off, but the
     end of the stop is delayed by one tick only.  */
  if (g->stopping
      && (now != g->stall_ended_at || previous_tick_at >= g->stop.ends_at))
    advance_stop (g, now);
}
