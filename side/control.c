/* Local HTTP server of a side.  */

#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <json-c/json.h>

#include "side/control.h"

#define BODY_MAX_BYTES 4096
#define CONNECTION_TIMEOUT_S 5
/* Longest wait for open connections when the server ends.  */
#define FINISH_TIMEOUT (1 * CV_SECOND)
#define FINISH_POLL_INTERVAL_NS 2000000

static bool start_server (cv_control_t *c, const char *address, uint16_t port,
                          cv_error_t *err);
static bool listen_at (cv_control_t *c);
static void stop_server (cv_control_t *c);
static void on_connection (void *arg, struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
static int respond (struct _u_response *response, unsigned status,
                    const char *body);
static int on_health (const struct _u_request *request,
                      struct _u_response *response, void *data);
static int on_metrics (const struct _u_request *request,
                       struct _u_response *response, void *data);
static int on_leave (const struct _u_request *request,
                     struct _u_response *response, void *data);
static bool parse_drain_request (const struct _u_request *request,
                                 uint32_t *within_ms);

bool
cv_control_init (cv_control_t *c, const char *address, uint16_t port,
                 cv_error_t *err)
{
  *c = (cv_control_t){ 0 };
  pthread_mutex_init (&c->lock, NULL);
  c->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (c->wake_fd < 0)
    {
      cv_control_finish (c);
      return cv_fail (err, CV_ERR_SYSTEM, "cannot open an eventfd");
    }
  if (port == 0 || start_server (c, address, port, err))
    return true;
  cv_control_finish (c);
  return false;
}

void
cv_control_finish (cv_control_t *c)
{
  if (c->server_running)
    stop_server (c);
  c->server_running = false;
  if (c->wake_fd >= 0)
    (void)close (c->wake_fd);
  c->wake_fd = -1;
  free (c->metrics);
  c->metrics = NULL;
  pthread_mutex_destroy (&c->lock);
}

bool
cv_control_take_drain_request (cv_control_t *c, uint32_t *within_ms)
{
  uint64_t count;
  bool requested;

  while (read (c->wake_fd, &count, sizeof count) == sizeof count)
    continue;
  pthread_mutex_lock (&c->lock);
  requested = c->drain_requested;
  *within_ms = c->within_ms;
  c->drain_requested = false;
  c->within_ms = 0;
  pthread_mutex_unlock (&c->lock);
  return requested;
}

void
cv_control_set_metrics (cv_control_t *c, const char *text)
{
  char *copy = cv_strdup_n (text, strlen (text));
  char *old;

  pthread_mutex_lock (&c->lock);
  old = c->metrics;
  c->metrics = copy;
  pthread_mutex_unlock (&c->lock);
  free (old);
}

static bool
start_server (cv_control_t *c, const char *address, uint16_t port,
              cv_error_t *err)
{
  c->bind.sin_family = AF_INET;
  c->bind.sin_port = htons (port);
  if (inet_pton (AF_INET, address, &c->bind.sin_addr) != 1)
    return cv_fail (err, CV_ERR_INVALID,
                    "control address %s is not an IPv4 address", address);
  if (ulfius_init_instance (&c->server, port, &c->bind, NULL) != U_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot initialize the control server");
  c->server.max_post_body_size = BODY_MAX_BYTES;
  if (ulfius_add_endpoint_by_val (&c->server, "GET", "/healthz", NULL, 0,
                                  on_health, c)
          != U_OK
      || ulfius_add_endpoint_by_val (&c->server, "GET", "/metrics", NULL, 0,
                                     on_metrics, c)
             != U_OK
      || ulfius_add_endpoint_by_val (&c->server, "POST", "/leave", NULL, 0,
                                     on_leave, c)
             != U_OK
      || !listen_at (c))
    {
      ulfius_clean_instance (&c->server);
      return cv_fail (err, CV_ERR_SYSTEM,
                      "cannot start the control server at %s:%u", address,
                      port);
    }
  c->server_running = true;
  return true;
}

/* MHD_USE_ITC is needed to stop listening before the server ends.  */
static bool
listen_at (cv_control_t *c)
{
  struct MHD_OptionItem options[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL },
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)on_connection, c },
    { MHD_OPTION_SOCK_ADDR, 0, &c->bind },
    { MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  unsigned flags = MHD_USE_THREAD_PER_CONNECTION
                   | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                   | MHD_USE_ITC;

  return ulfius_start_framework_with_mhd_options (&c->server, flags, options)
         == U_OK;
}

static void
stop_server (cv_control_t *c)
{
  const struct timespec pause = { .tv_nsec = FINISH_POLL_INTERVAL_NS };
  cv_time_t deadline = cv_now () + FINISH_TIMEOUT;
  MHD_socket listener = MHD_quiesce_daemon (c->server.mhd_daemon);
  int open_count;

  /* It may be closed only after the server has stopped.  */
  if (listener != MHD_INVALID_SOCKET)
    (void)shutdown (listener, SHUT_RDWR);
  while ((open_count = __atomic_load_n (&c->connections, __ATOMIC_ACQUIRE)) > 0
         && cv_now () < deadline)
    (void)nanosleep (&pause, NULL);
  if (open_count > 0)
    cv_log (CV_EV_SIDE_CONTROL_CUT, "open connections: %d", open_count);
  (void)ulfius_stop_framework (&c->server);
  ulfius_clean_instance (&c->server);
  if (listener != MHD_INVALID_SOCKET)
    (void)close (listener);
}

static void
on_connection (void *arg, struct MHD_Connection *connection, void **context,
               enum MHD_ConnectionNotificationCode code)
{
  cv_control_t *c = arg;
  int change = code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1;

  (void)connection;
  (void)context;
  (void)__atomic_add_fetch (&c->connections, change, __ATOMIC_ACQ_REL);
}

/* Each connection serves one request, so that an open one is always in use.  */
static int
respond (struct _u_response *response, unsigned status, const char *body)
{
  u_map_put (response->map_header, "Connection", "close");
  ulfius_set_string_body_response (response, status, body);
  return U_CALLBACK_COMPLETE;
}

static int
on_health (const struct _u_request *request, struct _u_response *response,
           void *data)
{
  (void)request;
  (void)data;
  return respond (response, 200, "ok\n");
}

static int
on_metrics (const struct _u_request *request, struct _u_response *response,
            void *data)
{
  cv_control_t *c = data;
  int rc;

  (void)request;
  u_map_put (response->map_header, "Content-Type", "text/plain");
  pthread_mutex_lock (&c->lock);
  rc = respond (response, 200, c->metrics != NULL ? c->metrics : "");
  pthread_mutex_unlock (&c->lock);
  return rc;
}

static int
on_leave (const struct _u_request *request, struct _u_response *response,
          void *data)
{
  cv_control_t *c = data;
  uint64_t one = 1;
  uint32_t within_ms;

  if (!parse_drain_request (request, &within_ms))
    return respond (response, 400,
                    "{\"error\":{\"code\":\"invalid\",\"message\":\"expected "
                    "{\\\"within_ms\\\": a number from 0 to 86400000}\"}}\n");
  pthread_mutex_lock (&c->lock);
  c->drain_requested = true;
  if (within_ms > 0 && (c->within_ms == 0 || within_ms < c->within_ms))
    c->within_ms = within_ms;
  pthread_mutex_unlock (&c->lock);
  if (write (c->wake_fd, &one, sizeof one) != sizeof one)
    return respond (response, 500, "");
  return respond (response, 202, "{}\n");
}

/* Parse the body of POST /leave; an empty one means a drain without a
   reclaim.  */
static bool
parse_drain_request (const struct _u_request *request, uint32_t *within_ms)
{
  json_tokener *tok;
  json_object *root;
  json_object *value = NULL;
  bool ok = false;

  *within_ms = 0;
  if (request->binary_body_length == 0)
    return true;
  tok = json_tokener_new ();
  if (tok == NULL)
    return false;
  root = json_tokener_parse_ex (tok, request->binary_body,
                                (int)request->binary_body_length);
  if (json_object_is_type (root, json_type_object)
      && (!json_object_object_get_ex (root, "within_ms", &value)
          || json_object_is_type (value, json_type_int)))
    {
      int64_t ms = value == NULL ? 0 : json_object_get_int64 (value);

      ok = ms >= 0 && ms <= 86400000;
      if (ok)
        *within_ms = (uint32_t)ms;
    }
  json_object_put (root);
  json_tokener_free (tok);
  return ok;
}
