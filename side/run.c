/* The side's event loop: one thread polls the entries' socket, the sockets of
   the HTTP client, signals and the control server.  */

#include <errno.h>
#include <signal.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include "side/control.h"
#include "side/engine.h"
#include "side/engine_orders.h"
#include "side/link.h"
#include "side/metrics.h"
#include "side/service.h"
#include "side/side.h"

#define TICK_MS 20
#define METRICS_INTERVAL (1 * CV_SECOND)
/* A small batch, so that tokens are sent before more are read.  */
#define EPOLL_EVENTS_MAX 32

/* Kind of a descriptor: the upper 32 bits of its epoll data.  */
enum
{
  TAG_LINK = 1,
  TAG_SIGNAL,
  TAG_CONTROL,
  TAG_HTTP
};

typedef struct
{
  const cv_side_settings_t *settings;
  char bind[CV_ENDPOINT_TEXT + sizeof "tcp://"]; /* endpoint for entries */
  int epoll_fd;
  int signal_fd;
  cv_side_core_t core;
  cv_link_t link;
  cv_http_t http;
  cv_control_t control;
  cv_engine_t engine;
  cv_engine_orders_t orders;
  cv_service_t service;
  cv_time_t next_tick_at;
  cv_time_t next_metrics_at;
} loop_t;

static void emit (void *arg, const cv_side_out_t *out);
static bool add_to_epoll (loop_t *l, int fd, uint32_t tag, cv_error_t *err);
static bool open_signal_fd (loop_t *l, cv_error_t *err);
static bool open_descriptors (loop_t *l, cv_error_t *err);
static void close_descriptors (loop_t *l);
static void init_core_and_clients (loop_t *l);
static void serve (loop_t *l);
static int epoll_timeout_ms (const loop_t *l, bool more_messages);
static void handle_event (loop_t *l, const struct epoll_event *ev);
static void handle_signals (loop_t *l);
static void start_drain (loop_t *l, uint32_t within_ms);
static void tick (loop_t *l, cv_time_t now);
static int64_t wall_clock_s (void);

bool
cv_side_run (const cv_side_settings_t *s, cv_error_t *err)
{
  loop_t l = { .settings = s, .epoll_fd = -1, .signal_fd = -1 };

  (void)snprintf (l.bind, sizeof l.bind, "tcp://%s:%u", s->wire.address,
                  (unsigned)s->wire.port);
  l.link.fd = -1;
  l.control.wake_fd = -1;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot initialize libcurl");
  if (!open_descriptors (&l, err))
    return false;
  init_core_and_clients (&l);
  cv_log (CV_EV_SIDE_STARTED,
          "target %s pool %s bound to %s, backend %s, incarnation %016llx",
          s->target, s->pool, l.bind, s->target_url.url,
          (unsigned long long)l.core.settings.incarnation);
  serve (&l);
  cv_log (CV_EV_SIDE_DRAINED, "target %s", s->target);
  cv_engine_finish (&l.engine);
  cv_engine_orders_finish (&l.orders);
  cv_service_finish (&l.service);
  cv_side_finish (&l.core);
  close_descriptors (&l);
  curl_global_cleanup ();
  return true;
}

/* ---- setup ---- */

static bool
open_descriptors (loop_t *l, cv_error_t *err)
{
  l->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (l->epoll_fd < 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot create an epoll descriptor");
  if (!open_signal_fd (l, err))
    {
      (void)close (l->epoll_fd);
      return false;
    }
  if (!cv_link_init (&l->link, l->bind, err))
    {
      (void)close (l->signal_fd);
      (void)close (l->epoll_fd);
      return false;
    }
  if (!cv_control_init (&l->control, l->settings->control.address,
                        (uint16_t)l->settings->control.port, err))
    {
      cv_link_finish (&l->link);
      (void)close (l->signal_fd);
      (void)close (l->epoll_fd);
      return false;
    }
  if (cv_http_init (&l->http, l->epoll_fd, TAG_HTTP, err)
      && add_to_epoll (l, l->signal_fd, TAG_SIGNAL, err)
      && add_to_epoll (l, l->link.fd, TAG_LINK, err)
      && add_to_epoll (l, l->control.wake_fd, TAG_CONTROL, err))
    return true;
  close_descriptors (l);
  return false;
}

static void
close_descriptors (loop_t *l)
{
  cv_control_finish (&l->control);
  cv_http_finish (&l->http);
  cv_link_finish (&l->link);
  (void)close (l->signal_fd);
  (void)close (l->epoll_fd);
}

static bool
add_to_epoll (loop_t *l, int fd, uint32_t tag, cv_error_t *err)
{
  struct epoll_event ev = { .events = EPOLLIN };

  ev.data.u64 = ((uint64_t)tag << 32) | (uint32_t)fd;
  if (epoll_ctl (l->epoll_fd, EPOLL_CTL_ADD, fd, &ev) == 0)
    return true;
  return cv_fail (err, CV_ERR_SYSTEM, "cannot add a descriptor to epoll: %s",
                  strerror (errno));
}

/* Block SIGTERM and SIGINT, so that they are read from a signalfd; threads that
   start later inherit the mask.  */
static bool
open_signal_fd (loop_t *l, cv_error_t *err)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot block signals");
  if (signal (SIGPIPE, SIG_IGN) == SIG_ERR)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot ignore SIGPIPE");
  l->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (l->signal_fd < 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot create a signalfd");
  return true;
}

static void
init_core_and_clients (loop_t *l)
{
  const cv_side_settings_t *s = l->settings;
  cv_side_core_settings_t set
      = { .kind
          = s->kind == CV_TARGET_ENGINE ? CV_POOL_ENGINE : CV_POOL_SERVICE,
          .incarnation = cv_random_u64 (),
          .kv_tokens = s->kv_tokens,
          .max_batch = s->max_batch,
          .max_calls = s->max_calls,
          .buffer_bytes = s->buffer_bytes,
          .resume = s->resume_s * CV_SECOND,
          .ticket_generation_period = s->generation_s * CV_SECOND,
          .drain = s->drain_s * CV_SECOND,
          .needs_load_permission = s->weights_url[0] != '\0',
          .seed = cv_random_u64 () };

  memcpy (set.target, s->target, sizeof set.target);
  memcpy (set.pool, s->pool, sizeof set.pool);
  memcpy (set.failure_domain, s->failure_domain, sizeof set.failure_domain);
  cv_side_init (&l->core, cv_now (), &set, emit, l);
  cv_engine_init (&l->engine, &l->core, &l->http, s->target_url.url);
  l->engine.poll_interval = s->load_poll_ms * CV_MS;
  cv_engine_orders_init (&l->orders, &l->core, &l->http, s->target_url.url,
                         s->weights_url);
  cv_service_init (&l->service, &l->core, &l->http, s->target_url.url);
}

/* ---- event loop ---- */

static void
emit (void *arg, const cv_side_out_t *out)
{
  loop_t *l = arg;

  switch (out->type)
    {
    case CV_OUT_SEND:
      cv_link_send (&l->link, out->u.send.peer, out->u.send.msg);
      break;
    case CV_OUT_PEER_LOST:
      cv_link_free_peer (&l->link, out->u.lost_peer);
      break;
    case CV_OUT_ENGINE_START:
    case CV_OUT_ENGINE_PAUSE:
    case CV_OUT_ENGINE_RESUME:
    case CV_OUT_ENGINE_CANCEL:
      cv_engine_handle_output (&l->engine, out);
      break;
    case CV_OUT_SERVICE_CALL:
      cv_service_start_call (&l->service, &out->u.call);
      break;
    case CV_OUT_LOAD_PERMISSION:
      cv_engine_orders_request_permission (&l->orders, out->u.order);
      break;
    case CV_OUT_ORDER:
      cv_engine_orders_send (&l->orders, out->u.order);
      break;
    }
}

static void
serve (loop_t *l)
{
  struct epoll_event event[EPOLL_EVENTS_MAX];
  bool more_messages = false;
  int n;
  int i;

  while (!cv_side_is_drained (&l->core, cv_now ()))
    {
      n = epoll_wait (l->epoll_fd, event, EPOLL_EVENTS_MAX,
                      epoll_timeout_ms (l, more_messages));
      for (i = 0; i < n; i++)
        handle_event (l, &event[i]);
      more_messages = cv_link_receive (&l->link, &l->core);
      cv_http_tick (&l->http, cv_now ());
      if (cv_now () >= l->next_tick_at)
        tick (l, cv_now ());
      cv_side_flush (&l->core, cv_now ());
      cv_link_report_failed (&l->link, &l->core);
      /* Sending may receive messages without making the descriptor readable
         again.  */
      more_messages = cv_link_receive (&l->link, &l->core) || more_messages;
    }
}

static int
epoll_timeout_ms (const loop_t *l, bool more_messages)
{
  cv_time_t wake_at = l->next_tick_at;
  cv_time_t remaining;

  if (more_messages)
    return 0;
  if (l->http.wake_at != 0 && l->http.wake_at < wake_at)
    wake_at = l->http.wake_at;
  remaining = wake_at - cv_now ();
  return remaining <= 0 ? 0 : (int)((remaining + CV_MS - 1) / CV_MS);
}

static void
handle_event (loop_t *l, const struct epoll_event *ev)
{
  int fd = (int)(uint32_t)ev->data.u64;
  uint32_t within_ms;

  switch (ev->data.u64 >> 32)
    {
    case TAG_SIGNAL:
      handle_signals (l);
      break;
    case TAG_CONTROL:
      if (cv_control_take_drain_request (&l->control, &within_ms))
        start_drain (l, within_ms);
      break;
    case TAG_HTTP:
      cv_http_socket_ready (&l->http, fd, ev->events);
      break;
    default:
      break; /* TAG_LINK: the loop always reads it */
    }
}

static void
handle_signals (loop_t *l)
{
  struct signalfd_siginfo info;

  while (read (l->signal_fd, &info, sizeof info) == sizeof info)
    start_drain (l, 0);
}

static void
start_drain (loop_t *l, uint32_t within_ms)
{
  cv_log (CV_EV_SIDE_LEAVING, "target %s, within %u ms (0: no reclaim)",
          l->settings->target, within_ms);
  cv_side_start_drain (&l->core, cv_now (), within_ms * CV_MS);
}

static void
tick (loop_t *l, cv_time_t now)
{
  cv_buf_t text;

  l->next_tick_at = now + TICK_MS * CV_MS;
  if (l->settings->kind == CV_TARGET_ENGINE)
    cv_engine_tick (&l->engine, now);
  else
    cv_service_tick (&l->service, now);
  cv_side_tick (&l->core, now, wall_clock_s ());
  if (now < l->next_metrics_at)
    return;
  l->next_metrics_at = now + METRICS_INTERVAL;
  cv_buf_init (&text);
  cv_side_metrics (&l->core, now, &text);
  cv_control_set_metrics (&l->control, cv_buf_text (&text));
  cv_buf_finish (&text);
}

static int64_t
wall_clock_s (void)
{
  struct timespec ts;

  if (clock_gettime (CLOCK_REALTIME, &ts) != 0)
    return 0;
  return ts.tv_sec;
}
