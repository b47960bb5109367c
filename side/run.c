/* The side's loop: one thread waits on the entries' socket, the sockets of
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
#define EVENTS_MAX                                                             \
  32 /* few, so that tokens go out before the next are read                    \
      */

/* What a descriptor of the loop stands for: upper half of its epoll data. */
enum
{
  TAG_LINK = 1,
  TAG_SIGNAL,
  TAG_CONTROL,
  TAG_HTTP
};

typedef struct
{
  const cv_side_settings_t *set;
  char bind[CV_ENDPOINT_TEXT + sizeof "tcp://"]; /* for the entries */
  int epoll;
  int signals;
  cv_side_core_t core;
  cv_link_t link;
  cv_http_t http;
  cv_control_t control;
  cv_engine_t engine;
  cv_engine_orders_t orders;
  cv_service_t service;
  cv_time_t tick_at;
  cv_time_t metrics_at;
} loop_t;

static void emit (void *arg, const cv_side_out_t *out);
static bool watch (loop_t *l, int fd, uint32_t tag, cv_error_t *err);
static bool open_signals (loop_t *l, cv_error_t *err);
static bool open_all (loop_t *l, cv_error_t *err);
static void close_all (loop_t *l);
static void core_init (loop_t *l);
static void serve (loop_t *l);
static int wait_ms (const loop_t *l, bool more);
static void take_event (loop_t *l, const struct epoll_event *ev);
static void take_signal (loop_t *l);
static void leave (loop_t *l, uint32_t within_ms);
static void tick (loop_t *l, cv_time_t now);
static int64_t wall_s (void);

bool
cv_side_run (const cv_side_settings_t *s, cv_error_t *err)
{
  loop_t l = { .set = s, .epoll = -1, .signals = -1 };

  (void)snprintf (l.bind, sizeof l.bind, "tcp://%s:%u", s->wire.address,
                  (unsigned)s->wire.port);
  l.link.fd = -1;
  l.control.wake = -1;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot start the HTTP library");
  if (!open_all (&l, err))
    return false;
  core_init (&l);
  cv_log (CV_EV_SIDE_STARTED, "target %s pool %s at %s before %s, %016llx",
          s->target, s->pool, l.bind, s->target_url.url,
          (unsigned long long)l.core.set.incarnation);
  serve (&l);
  cv_log (CV_EV_SIDE_DRAINED, "target %s", s->target);
  cv_engine_finish (&l.engine);
  cv_engine_orders_finish (&l.orders);
  cv_service_finish (&l.service);
  cv_side_finish (&l.core);
  close_all (&l);
  curl_global_cleanup ();
  return true;
}

/* ---- set-up ---- */

static bool
open_all (loop_t *l, cv_error_t *err)
{
  l->epoll = epoll_create1 (EPOLL_CLOEXEC);
  if (l->epoll < 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot open an epoll descriptor");
  if (!open_signals (l, err))
    {
      (void)close (l->epoll);
      return false;
    }
  if (!cv_link_init (&l->link, l->bind, err))
    {
      (void)close (l->signals);
      (void)close (l->epoll);
      return false;
    }
  if (!cv_control_init (&l->control, l->set->control.address,
                        (uint16_t)l->set->control.port, err))
    {
      cv_link_finish (&l->link);
      (void)close (l->signals);
      (void)close (l->epoll);
      return false;
    }
  if (cv_http_init (&l->http, l->epoll, TAG_HTTP, err)
      && watch (l, l->signals, TAG_SIGNAL, err)
      && watch (l, l->link.fd, TAG_LINK, err)
      && watch (l, l->control.wake, TAG_CONTROL, err))
    return true;
  close_all (l);
  return false;
}

static void
close_all (loop_t *l)
{
  cv_control_finish (&l->control);
  cv_http_finish (&l->http);
  cv_link_finish (&l->link);
  (void)close (l->signals);
  (void)close (l->epoll);
}

static bool
watch (loop_t *l, int fd, uint32_t tag, cv_error_t *err)
{
  struct epoll_event ev = { .events = EPOLLIN };

  ev.data.u64 = ((uint64_t)tag << 32) | (uint32_t)fd;
  if (epoll_ctl (l->epoll, EPOLL_CTL_ADD, fd, &ev) == 0)
    return true;
  return cv_fail (err, CV_ERR_SYSTEM, "cannot watch a descriptor: %s",
                  strerror (errno));
}

/* Signals are read from a descriptor; threads that start later inherit the
   mask.  */
static bool
open_signals (loop_t *l, cv_error_t *err)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  if (pthread_sigmask (SIG_BLOCK, &set, NULL) != 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot block signals");
  if (signal (SIGPIPE, SIG_IGN) == SIG_ERR)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot ignore SIGPIPE");
  l->signals = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  if (l->signals < 0)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot watch signals");
  return true;
}

static void
core_init (loop_t *l)
{
  const cv_side_settings_t *s = l->set;
  cv_side_core_settings_t set
      = { .kind
          = s->kind == CV_TARGET_ENGINE ? CV_POOL_ENGINE : CV_POOL_SERVICE,
          .incarnation = cv_u64_random (),
          .kv_tokens = s->kv_tokens,
          .max_batch = s->max_batch,
          .max_calls = s->max_calls,
          .buffer_bytes = s->buffer_bytes,
          .resume = s->resume_s * CV_SECOND,
          .generation = s->generation_s * CV_SECOND,
          .drain = s->drain_s * CV_SECOND,
          .fetches = s->weights_url[0] != '\0',
          .seed = cv_u64_random () };

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

/* ---- the loop ---- */

static void
emit (void *arg, const cv_side_out_t *out)
{
  loop_t *l = arg;

  switch (out->type)
    {
    case CV_OUT_SEND:
      cv_link_send (&l->link, out->u.send.peer, out->u.send.msg);
      break;
    case CV_OUT_FORGET_PEER:
      cv_link_forget (&l->link, out->u.forget_peer);
      break;
    case CV_OUT_ENGINE_START:
    case CV_OUT_ENGINE_PAUSE:
    case CV_OUT_ENGINE_RUN:
    case CV_OUT_ENGINE_CANCEL:
      cv_engine_take (&l->engine, out);
      break;
    case CV_OUT_SERVICE_CALL:
      cv_service_take (&l->service, &out->u.call);
      break;
    case CV_OUT_FETCH:
      cv_engine_orders_fetch (&l->orders, out->u.order);
      break;
    case CV_OUT_ORDER:
      cv_engine_orders_send (&l->orders, out->u.order);
      break;
    }
}

static void
serve (loop_t *l)
{
  struct epoll_event event[EVENTS_MAX];
  bool more = false;
  int n;
  int i;

  while (!cv_side_drained (&l->core, cv_now ()))
    {
      n = epoll_wait (l->epoll, event, EVENTS_MAX, wait_ms (l, more));
      for (i = 0; i < n; i++)
        take_event (l, &event[i]);
      more = cv_link_drain (&l->link, &l->core);
      cv_http_tick (&l->http, cv_now ());
      if (cv_now () >= l->tick_at)
        tick (l, cv_now ());
      cv_side_flush (&l->core, cv_now ());
      cv_link_check (&l->link, &l->core);
      /* Sending may have taken in messages without a new wake-up.  */
      more = cv_link_drain (&l->link, &l->core) || more;
    }
}

static int
wait_ms (const loop_t *l, bool more)
{
  cv_time_t until = l->tick_at;
  cv_time_t left;

  if (more)
    return 0;
  if (l->http.wake_at != 0 && l->http.wake_at < until)
    until = l->http.wake_at;
  left = until - cv_now ();
  return left <= 0 ? 0 : (int)((left + CV_MS - 1) / CV_MS);
}

static void
take_event (loop_t *l, const struct epoll_event *ev)
{
  int fd = (int)(uint32_t)ev->data.u64;
  uint32_t within_ms;

  switch (ev->data.u64 >> 32)
    {
    case TAG_SIGNAL:
      take_signal (l);
      break;
    case TAG_CONTROL:
      if (cv_control_take_leave (&l->control, &within_ms))
        leave (l, within_ms);
      break;
    case TAG_HTTP:
      cv_http_ready (&l->http, fd, ev->events);
      break;
    default:
      break; /* TAG_LINK: the loop drains it in any case */
    }
}

static void
take_signal (loop_t *l)
{
  struct signalfd_siginfo info;

  while (read (l->signals, &info, sizeof info) == sizeof info)
    leave (l, 0);
}

static void
leave (loop_t *l, uint32_t within_ms)
{
  cv_log (CV_EV_SIDE_LEAVING, "target %s, within %u ms", l->set->target,
          within_ms);
  cv_side_leave (&l->core, cv_now (), within_ms * CV_MS);
}

static void
tick (loop_t *l, cv_time_t now)
{
  cv_buf_t text;

  l->tick_at = now + TICK_MS * CV_MS;
  if (l->set->kind == CV_TARGET_ENGINE)
    cv_engine_tick (&l->engine, now);
  else
    cv_service_tick (&l->service, now);
  cv_side_tick (&l->core, now, wall_s ());
  if (now < l->metrics_at)
    return;
  l->metrics_at = now + METRICS_INTERVAL;
  cv_buf_init (&text);
  cv_side_metrics (&l->core, now, &text);
  cv_control_set_metrics (&l->control, cv_buf_text (&text));
  cv_buf_finish (&text);
}

static int64_t
wall_s (void)
{
  struct timespec ts;

  if (clock_gettime (CLOCK_REALTIME, &ts) != 0)
    return 0;
  return ts.tv_sec;
}
