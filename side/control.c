/* Local HTTP server of a side.  */

#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <json-c/json.h>

#include "side/control.h"

#define BODY_MAX_BYTES 4096
#define CONNECTION_TIMEOUT_S 5

static bool start_server (cv_control_t *c, const char *address, uint16_t port,
                          cv_error_t *err);
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
    {
      ulfius_stop_framework (&c->server);
      ulfius_clean_instance (&c->server);
    }
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
  struct sockaddr_in bind = { .sin_family = AF_INET };

  bind.sin_port = htons (port);
  if (inet_pton (AF_INET, address, &bind.sin_addr) != 1)
    return cv_fail (err, CV_ERR_INVALID,
                    "control address %s is not an IPv4 address", address);
  if (ulfius_init_instance (&c->server, port, &bind, NULL) != U_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot initialize the control server");
  c->server.max_post_body_size = BODY_MAX_BYTES;
  c->server.timeout = CONNECTION_TIMEOUT_S;
  if (ulfius_add_endpoint_by_val (&c->server, "GET", "/healthz", NULL, 0,
                                  on_health, c)
          != U_OK
      || ulfius_add_endpoint_by_val (&c->server, "GET", "/metrics", NULL, 0,
                                     on_metrics, c)
             != U_OK
      || ulfius_add_endpoint_by_val (&c->server, "POST", "/leave", NULL, 0,
                                     on_leave, c)
             != U_OK
      || ulfius_start_framework (&c->server) != U_OK)
    {
      ulfius_clean_instance (&c->server);
      return cv_fail (err, CV_ERR_SYSTEM,
                      "cannot start the control server at %s:%u", address,
                      port);
    }
  c->server_running = true;
  return true;
}

static int
on_health (const struct _u_request *request, struct _u_response *response,
           void *data)
{
  (void)request;
  (void)data;
  ulfius_set_string_body_response (response, 200, "ok\n");
  return U_CALLBACK_COMPLETE;
}

static int
on_metrics (const struct _u_request *request, struct _u_response *response,
            void *data)
{
  cv_control_t *c = data;

  (void)request;
  pthread_mutex_lock (&c->lock);
  ulfius_set_string_body_response (response, 200,
                                   c->metrics != NULL ? c->metrics : "");
  pthread_mutex_unlock (&c->lock);
  u_map_put (response->map_header, "Content-Type", "text/plain");
  return U_CALLBACK_COMPLETE;
}

static int
on_leave (const struct _u_request *request, struct _u_response *response,
          void *data)
{
  cv_control_t *c = data;
  uint64_t one = 1;
  uint32_t within_ms;

  if (!parse_drain_request (request, &within_ms))
    {
      ulfius_set_string_body_response (
          response, 400,
          "{\"error\":{\"code\":\"invalid\",\"message\":\"expected "
          "{\\\"within_ms\\\": a number from 0 to 86400000}\"}}\n");
      return U_CALLBACK_COMPLETE;
    }
  pthread_mutex_lock (&c->lock);
  c->drain_requested = true;
  if (within_ms > 0 && (c->within_ms == 0 || within_ms < c->within_ms))
    c->within_ms = within_ms;
  pthread_mutex_unlock (&c->lock);
  if (write (c->wake_fd, &one, sizeof one) != sizeof one)
    {
      ulfius_set_string_body_response (response, 500, "");
      return U_CALLBACK_COMPLETE;
    }
  ulfius_set_string_body_response (response, 202, "{}\n");
  return U_CALLBACK_COMPLETE;
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
