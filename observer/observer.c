/* Polls the report of one engine and sends load reports to all gateways.

   A load report is one UDP datagram that holds the complete load, so the next
   report replaces a lost one.  */

#include <math.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "observer/state.h"
#include "wire/datagram.h"

/* Of one call to the engine.  While a poll of the engine waits for
   its answer, a load report is sent only when the engine becomes avoided.  */
#define CALL_TIMEOUT (500 * CV_MS)
/* A load that load_differs takes as unchanged is sent again after this time;
   a change of memory pressure alone counts as unchanged.  A gateway treats the
   observer as lost after 1 s without a load report (gateway/targets.c).  */
#define KEEPALIVE_INTERVAL (400 * CV_MS)

/* An engine is nominal if its time factor is 1 up to the first number and that
   of its slow phases is below the second, which samples of an even pace do not
   reach.  */
#define NOMINAL_BAND 0.1
#define NOMINAL_WORST_MAX 1.5

/* Size limit of the engine's answers; one run takes about 60 bytes of a load
   report.  */
#define RESPONSE_BODY_MAX_BYTES (256u * 1024)

static void on_engine (void *owner, const cv_http_result_t *r);
static void on_tick (evutil_socket_t fd, short what, void *arg);
static void on_signal (evutil_socket_t number, short what, void *arg);

static bool
init (cv_observer_t *o, const cv_observer_settings_t *s, cv_error_t *err)
{
  struct sockaddr_in engine;
  struct sockaddr_in store;

  memset (o, 0, sizeof *o);
  o->settings = *s;
  o->socket = -1;
  cv_lease_book_init (&o->leases);
  cv_reservations_init (&o->reservations);
  cv_pace_init (&o->pace);
  cv_origins_init (&o->origins);
  o->started_at = cv_now ();
  cv_engine_health_init (&o->health);
  o->logged_lease = CV_MIGRATION_LEASE_NONE;
  if (!cv_http_parse_address (s->engine_url, &engine)
      || !cv_http_parse_address (s->store_url, &store))
    return cv_fail (err, CV_ERR_INVALID,
                    "observer: engine_url or store_url "
                    "is not an IPv4 address and port");
  o->base = event_base_new ();
  if (o->base == NULL)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot create the event loop");
  cv_http_call_init (&o->engine, o->base, &engine, RESPONSE_BODY_MAX_BYTES,
                     on_engine, o);
  cv_roster_init (&o->roster, o->base, &store, &o->store_history,
                  CV_EV_OBSERVER_GATEWAY_SKIPPED);
  /* Any port: gateways send to the source address of the load reports.  */
  o->socket = cv_datagram_open (NULL, err);
  return o->socket >= 0;
}

static void
finish (cv_observer_t *o)
{
  cv_origins_finish (&o->origins);
  if (o->base != NULL)
    {
      cv_http_call_finish (&o->engine);
      cv_roster_finish (&o->roster);
    }
  for (size_t i = 0; i < sizeof o->signals / sizeof o->signals[0]; i++)
    if (o->signals[i] != NULL)
      event_free (o->signals[i]);
  if (o->datagrams != NULL)
    event_free (o->datagrams);
  if (o->tick != NULL)
    event_free (o->tick);
  if (o->base != NULL)
    {
      /* Deferred callbacks hold the last references to closed connections.  */
      (void)event_base_loop (o->base, EVLOOP_NONBLOCK);
      event_base_free (o->base);
    }
  if (o->socket >= 0)
    (void)close (o->socket);
}

static bool
add_events (cv_observer_t *o)
{
  static const int numbers[] = { SIGTERM, SIGINT };
  struct timeval tick
      = { .tv_sec = o->settings.report_ms / 1000,
          .tv_usec = (suseconds_t)(o->settings.report_ms % 1000) * 1000 };

  (void)signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < sizeof numbers / sizeof numbers[0]; i++)
    {
      o->signals[i] = evsignal_new (o->base, numbers[i], on_signal, o);
      if (o->signals[i] == NULL || event_add (o->signals[i], NULL) != 0)
        return false;
    }
  o->datagrams = event_new (o->base, o->socket, EV_READ | EV_PERSIST,
                            cv_observer_on_datagram, o);
  if (o->datagrams == NULL || event_add (o->datagrams, NULL) != 0)
    return false;
  o->tick = event_new (o->base, -1, EV_PERSIST, on_tick, o);
  return o->tick != NULL && event_add (o->tick, &tick) == 0;
}

bool
cv_observer_run (const cv_observer_settings_t *s, cv_error_t *err)
{
  static cv_observer_t observer;
  cv_observer_t *o = &observer;
  cv_line_t l;
  bool ok = init (o, s, err);

  if (ok)
    {
      cv_line_open (STDOUT_FILENO);
      cv_line_begin (&l, CV_EV_OBSERVER_STARTED);
      cv_line_text (&l, "instance", cv_slice (s->instance));
      cv_line_text (&l, "engine", cv_slice (s->engine_url));
      cv_line_end (&l);
      ok = add_events (o) && event_base_dispatch (o->base) >= 0
           && cv_block_stop_signals (err);
      if (!ok)
        (void)cv_fail (err, CV_ERR_SYSTEM, "event loop failed");
    }
  finish (o);
  cv_line_flush ();
  return ok;
}

static void
on_signal (evutil_socket_t number, short what, void *arg)
{
  cv_observer_t *o = arg;
  cv_line_t l;

  (void)number;
  (void)what;
  cv_line_begin (&l, CV_EV_DAEMON_STOPPING);
  cv_line_text (&l, "instance", cv_slice (o->settings.instance));
  cv_line_end (&l);
  (void)event_base_loopbreak (o->base);
}

/* ---- load reports ---- */

static bool
load_differs (const cv_msg_engine_load_t *a, const cv_msg_engine_load_t *b)
{
  return a->started_ms != b->started_ms || a->draining != b->draining
         || a->leaves_ms != b->leaves_ms || a->running != b->running
         || a->prefilling != b->prefilling || a->waiting != b->waiting
         || a->waiting_tokens != b->waiting_tokens || a->kv_used != b->kv_used
         || a->kv_copies != b->kv_copies;
}

/* An engine that is as fast as the nominal one, as far as estimates tell, sends
   the report of former versions.  */
static void
put_pace (const cv_pace_estimate_t *pace, cv_msg_engine_load_t *out)
{
  double most = CV_PACE_PERMILLE_MAX / 1000.0;

  if (pace->factor <= 0
      || (!pace->is_slow && fabs (pace->factor - 1) < NOMINAL_BAND
          && pace->worst < NOMINAL_WORST_MAX))
    return;
  out->pace_permille = (uint32_t)(1000 * fmin (pace->factor, most));
  out->worst_pace_permille = (uint32_t)(1000 * fmin (pace->worst, most));
  out->is_slow = pace->is_slow;
}

void
cv_observer_send_load (cv_observer_t *o)
{
  cv_msg_t msg = { .type = CV_MSG_ENGINE_LOAD };

  msg.u.engine_load = o->load;
  msg.u.engine_load.sequence = ++o->sequence;
  msg.u.engine_load.gateways = o->roster.count;
  msg.u.engine_load.kv_peak = o->reservations.peak;
  msg.u.engine_load.prefill_backlog = o->reservations.demand.prefill_backlog;
  msg.u.engine_load.memory_pressure = o->reservations.memory_pressure;
  msg.u.engine_load.failing
      = !cv_health_is_usable (&o->health.health, cv_now ());
  o->sent_failing = msg.u.engine_load.failing;
  if (o->warmup_until > cv_now ())
    msg.u.engine_load.warmup_ms
        = (uint32_t)((o->warmup_until - cv_now ()) / CV_MS);
  o->sent_slow = o->reservations.pace.is_slow;
  put_pace (&o->reservations.pace, &msg.u.engine_load);
  (void)cv_copy (msg.u.engine_load.target, CV_NAME_MAX, o->name);
  for (uint32_t i = 0; i < o->roster.count; i++)
    cv_datagram_send (o->socket, &o->roster.gateways[i], &msg);
  o->load_sent_at = cv_now ();
}

/* ---- engine ---- */

static void
set_reachable (cv_observer_t *o, bool reachable, const char *reason)
{
  cv_line_t l;

  if (o->reachable == reachable)
    return;
  o->reachable = reachable;
  cv_line_begin (&l, reachable ? CV_EV_OBSERVER_ENGINE_UP
                               : CV_EV_OBSERVER_ENGINE_DOWN);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_end (&l);
}

static void
log_phase (const cv_observer_t *o, cv_event_t event)
{
  const cv_pace_estimate_t *pace = &o->reservations.pace;
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_number (&l, "pace_permille", (int64_t)(pace->factor * 1000));
  cv_line_number (&l, "worst_permille", (int64_t)(pace->worst * 1000));
  cv_line_number (&l, "runs", o->load.running);
  cv_line_end (&l);
}

static void
update_pace (cv_observer_t *o, const cv_msg_engine_load_t *load,
             const cv_engine_report_t *report)
{
  bool was_slow = o->reservations.pace.is_slow;
  cv_time_t now = cv_now ();
  cv_pace_estimate_t pace;
  cv_pace_report_t r = { .runs = report->runs,
                         .run_count = report->run_count,
                         .running = load->running,
                         .is_prefilling = load->prefilling > 0 };

  cv_pace_update (&o->pace, now, &r);
  pace = cv_pace_estimate (&o->pace, now);
  cv_reservations_set_pace (&o->reservations, &pace, o->pace.slow_since);
  if (pace.is_slow != was_slow)
    log_phase (o, pace.is_slow ? CV_EV_OBSERVER_ENGINE_SLOW
                               : CV_EV_OBSERVER_ENGINE_RECOVERED);
}

static void
handle_load (cv_observer_t *o, const cv_http_result_t *r)
{
  cv_msg_engine_load_t load = { 0 };
  cv_engine_run_t runs[CV_RESERVATIONS_MAX];
  cv_engine_report_t report;
  cv_answer_fields_t fields;
  cv_error_t err = { 0 };
  uint32_t n = 0;

  if (!cv_platform_decode_load (r->body, &load, runs, &n, &err))
    {
      set_reachable (o, false, err.text);
      return;
    }
  set_reachable (o, true, "engine report received");
  /* The field may precede the phase in the report.  */
  cv_platform_decode_answer (r->head, &fields);
  load.draining |= fields.leaving == CV_LEAVING_ANNOUNCED;
  if (load.started_ms != o->load.started_ms)
    {
      cv_reservations_init (&o->reservations);
      cv_engine_health_init (&o->health);
      cv_pace_init (&o->pace);
    }
  report = (cv_engine_report_t){ .runs = runs,
                                 .run_count = n,
                                 .pending = load.prefilling + load.waiting,
                                 .used = load.kv_used,
                                 .copies = load.kv_copies,
                                 .total = load.kv_total };
  update_pace (o, &load, &report);
  cv_reservations_update (&o->reservations, cv_now (), &report);
  if (o->reservations.has_started)
    cv_engine_health_success (&o->health);
  if (load.started_ms != o->name_started_ms || o->name[0] == '\0')
    {
      o->load = load;
      o->wants_name = true;
      return;
    }
  if (!load_differs (&load, &o->load)
      && o->sent_failing == !cv_health_is_usable (&o->health.health, cv_now ())
      && o->sent_slow == o->reservations.pace.is_slow
      && cv_now () - o->load_sent_at < KEEPALIVE_INTERVAL)
    return;
  o->load = load;
  cv_observer_send_load (o);
}

/* The engine states in the answer R to a health check how long it is cold.  */
static void
note_warmup (cv_observer_t *o, const cv_http_result_t *r)
{
  uint32_t warmup_ms;
  cv_line_t l;

  o->warmup_until = 0;
  if (cv_platform_decode_warmup (r->head, &warmup_ms))
    {
      if (warmup_ms > 0)
        o->warmup_until = cv_now () + warmup_ms * CV_MS;
      return;
    }
  cv_line_begin (&l, CV_EV_OBSERVER_WARMUP_INVALID);
  cv_line_text (&l, "target", cv_slice (o->name));
  cv_line_end (&l);
}

static void
on_engine (void *owner, const cv_http_result_t *r)
{
  cv_observer_t *o = owner;

  if (r->status == 0)
    {
      set_reachable (o, false, r->failure);
      o->wants_name = false;
      return;
    }
  if (!o->wants_name)
    {
      if (r->status == 200)
        handle_load (o, r);
      return;
    }
  o->wants_name = false;
  if (cv_platform_decode_name (r->head, o->name))
    o->name_started_ms = o->load.started_ms;
  note_warmup (o, r);
}

static void
poll_engine (cv_observer_t *o, cv_time_t now)
{
  if (o->engine.busy || now < o->next_poll_at)
    return;
  o->next_poll_at = now + o->settings.report_ms * CV_MS;
  cv_http_call_start (&o->engine, "GET",
                      o->wants_name ? cv_platform_name_path ()
                                    : cv_platform_load_path (),
                      (cv_slice_t){ NULL, 0 }, CALL_TIMEOUT);
}

static void
on_tick (evutil_socket_t fd, short what, void *arg)
{
  cv_observer_t *o = arg;
  cv_time_t now = cv_now ();

  (void)fd;
  (void)what;
  cv_http_call_tick (&o->engine, now);
  poll_engine (o, now);
  cv_roster_tick (&o->roster, NULL, now);
  cv_line_flush ();
}
