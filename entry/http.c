/* The HTTP server of an entry: size limits, authentication, error responses,
   health and metrics endpoints.  */

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "entry/http_internal.h"

/* Limit on request line and headers; a longer request is answered 431 or
   414.  */
#define HEADER_MEMORY_BYTES (32 * 1024)
#define THREAD_STACK_BYTES (256 * 1024)
#define LISTEN_BACKLOG 1024
/* One client address may hold the connection limit divided by this.  */
#define PER_ADDRESS_DIVISOR 2
/* Interval of the checks whether the caller of a response that is not streamed
   is still connected.  */
#define CALLER_CHECK_INTERVAL (250 * CV_MS)

static bool start_server (cv_http_t *h, cv_error_t *err);
static void add_endpoints (cv_http_t *h);
static bool start_listening (cv_http_t *h, cv_error_t *err);
static bool is_valid_request_id (const char *id);
static bool parse_bearer_key (const cv_server_request_t *req, cv_slice_t *key);
static bool respond_unauthorized (cv_server_response_t *resp);
static cv_http_error_t error_from_failure (cv_failure_code_t code,
                                           uint32_t retry_after_ms);
typedef struct
{
  const char *unready;
  uint64_t version;
  uint32_t age_ms;
} cv_health_t;

static int healthz (const cv_server_request_t *req, cv_server_response_t *resp,
                    void *arg);
static void copy_health (cv_entry_core_t *core, cv_time_t now, void *arg);
static int metrics (const cv_server_request_t *req, cv_server_response_t *resp,
                    void *arg);
static int not_found (const cv_server_request_t *req,
                      cv_server_response_t *resp, void *arg);
static void write_preemptions (const cv_target_row_t *row, void *arg);
static void write_metrics (cv_entry_core_t *core, cv_time_t now, void *arg);

cv_http_t *
cv_http_new (const cv_entry_settings_t *s, cv_entry_link_t *link,
             cv_storejobs_t *jobs, cv_error_t *err)
{
  cv_http_t *h = cv_calloc (1, sizeof *h);

  h->settings = s;
  h->link = link;
  h->jobs = jobs;
  h->listen_fd = -1;
  cv_http_conns_init (&h->connections);
  if (!start_server (h, err))
    {
      cv_http_conns_finish (&h->connections);
      free (h);
      return NULL;
    }
  cv_log (CV_EV_ENTRY_LISTENING, "http://%s:%u", s->http.address, s->http.port);
  return h;
}

void
cv_http_free (cv_http_t *h)
{
  (void)ulfius_stop_framework (&h->server);
  ulfius_clean_instance (&h->server);
  if (h->listen_fd >= 0)
    (void)close (h->listen_fd);
  cv_http_conns_finish (&h->connections);
  free (h);
}

void
cv_http_drain (cv_http_t *h)
{
  __atomic_store_n (&h->draining, 1, __ATOMIC_RELAXED);
}

void
cv_http_stop_accepting (cv_http_t *h)
{
  h->listen_fd = MHD_quiesce_daemon (h->server.mhd_daemon);
  /* The library needs the descriptor until it is stopped; later callers are
     refused now.  */
  if (h->listen_fd < 0 || shutdown (h->listen_fd, SHUT_RD) != 0)
    cv_log (CV_EV_ENTRY_STILL_ACCEPTING, "%s", strerror (errno));
}

uint32_t
cv_http_close_idle (cv_http_t *h)
{
  cv_http_conns_close_idle (&h->connections);
  return cv_http_conns_count (&h->connections);
}

bool
cv_http_check_request (cv_http_t *h, const cv_server_request_t *req,
                       cv_server_response_t *resp)
{
  const char *id = cv_http_header (req, "X-Request-Id");
  const char *length = cv_http_header (req, "Content-Length");
  char generated_id[CV_ID_TEXT];
  const cv_http_error_t too_large
      = { .status = 413,
          .code = "body_too_large",
          .text = "the body is larger than this entry takes",
          .outcome = CV_OUTCOME_REFUSED };

  if (id == NULL || !is_valid_request_id (id))
    id = cv_id_format (cv_id_random (), generated_id);
  (void)u_map_put (resp->map_header, "X-Request-Id", id);
  if (__atomic_load_n (&h->draining, __ATOMIC_RELAXED) != 0)
    (void)u_map_put (resp->map_header, "Connection", "close");
  if (req->binary_body_length <= h->settings->max_body_bytes
      && (length == NULL
          || strtoull (length, NULL, 10) <= h->settings->max_body_bytes))
    return true;
  (void)cv_http_respond_error (resp, &too_large);
  return false;
}

bool
cv_http_authenticate (cv_http_t *h, const cv_server_request_t *req,
                      cv_server_response_t *resp, char account[CV_NAME_MAX])
{
  cv_config_t *config = cv_entry_link_config (h->link);
  const cv_account_t *found = NULL;
  cv_slice_t key;

  if (config == NULL)
    {
      (void)cv_http_respond_failure (resp, CV_FAIL_NO_CONFIG, 1000);
      return false;
    }
  if (parse_bearer_key (req, &key))
    found = cv_config_account_by_key (config, key);
  if (found != NULL)
    (void)cv_copy (account, CV_NAME_MAX, found->name);
  cv_config_unref (config);
  return found != NULL || respond_unauthorized (resp);
}

bool
cv_http_authenticate_operator (cv_http_t *h, const cv_server_request_t *req,
                               cv_server_response_t *resp)
{
  cv_slice_t key;

  if (parse_bearer_key (req, &key)
      && cv_key_matches (key, h->settings->operator_key_hash))
    return true;
  return respond_unauthorized (resp);
}

uint32_t
cv_http_active_requests (cv_http_t *h)
{
  return cv_http_conns_active_requests (&h->connections);
}

cv_queued_reply_t *
cv_http_wait_reply (cv_http_t *h, const cv_server_request_t *req,
                    cv_reply_queue_t *replies, cv_time_t wait)
{
  cv_time_t deadline = cv_now () + wait;
  cv_queued_reply_t *m = NULL;

  while (
      m == NULL && cv_now () < deadline
      && !cv_http_conns_is_client_gone (&h->connections, req->client_address))
    m = cv_reply_queue_take (replies, CALLER_CHECK_INTERVAL);
  return m;
}

const char *
cv_http_header (const cv_server_request_t *req, const char *name)
{
  return u_map_get_case (req->map_header, name);
}

void
cv_http_error_json (const cv_http_error_t *e, cv_buf_t *out)
{
  cv_buf_printf (out, "{\"error\":{\"code\":\"%s\",\"message\":", e->code);
  cv_json_quote (out, e->text, strlen (e->text));
  cv_buf_printf (out, ",\"retry_after_ms\":%u,\"outcome\":\"%s\"}}",
                 e->retry_after_ms, cv_outcome_name (e->outcome));
}

cv_http_error_t
cv_http_error_from_reply (const cv_queued_reply_t *m)
{
  cv_failure_code_t code
      = m->type == CV_REPLY_FAILED ? m->failure : CV_FAIL_INTERRUPTED;
  cv_http_error_t e = error_from_failure (code, m->retry_after_ms);

  if (m->type == CV_REPLY_FAILED)
    e.outcome = m->outcome;
  return e;
}

int
cv_http_respond_error (cv_server_response_t *resp, const cv_http_error_t *e)
{
  cv_buf_t body;
  char seconds[16];
  int rc;

  cv_buf_init (&body);
  cv_http_error_json (e, &body);
  if (e->retry_after_ms > 0)
    {
      (void)snprintf (seconds, sizeof seconds, "%u",
                      (e->retry_after_ms + 999) / 1000);
      (void)u_map_put (resp->map_header, "Retry-After", seconds);
    }
  rc = cv_http_respond_json (resp, e->status, &body);
  cv_buf_finish (&body);
  return rc;
}

int
cv_http_respond_bad_request (cv_server_response_t *resp, const char *text)
{
  const cv_http_error_t e = { .status = 400,
                              .code = "bad_request",
                              .text = text,
                              .outcome = CV_OUTCOME_REFUSED };

  return cv_http_respond_error (resp, &e);
}

int
cv_http_respond_failure (cv_server_response_t *resp, cv_failure_code_t code,
                         uint32_t retry_after_ms)
{
  cv_http_error_t e = error_from_failure (code, retry_after_ms);

  return cv_http_respond_error (resp, &e);
}

int
cv_http_respond_failed_reply (cv_server_response_t *resp,
                              const cv_queued_reply_t *m)
{
  cv_http_error_t e = cv_http_error_from_reply (m);

  return cv_http_respond_error (resp, &e);
}

int
cv_http_respond_json (cv_server_response_t *resp, int status, cv_buf_t *body)
{
  (void)u_map_put (resp->map_header, "Content-Type", "application/json");
  (void)ulfius_set_binary_body_response (resp, (unsigned)status,
                                         cv_buf_text (body), body->n);
  return U_CALLBACK_COMPLETE;
}

/* ---- local ---- */

static bool
start_server (cv_http_t *h, cv_error_t *err)
{
  const cv_entry_settings_t *s = h->settings;

  h->bind.sin_family = AF_INET;
  h->bind.sin_port = htons ((uint16_t)s->http.port);
  if (inet_pton (AF_INET, s->http.address, &h->bind.sin_addr) != 1)
    return cv_fail (err, CV_ERR_INVALID,
                    "http.address %s is not an IPv4 address", s->http.address);
  if (ulfius_init_instance (&h->server, s->http.port, &h->bind, NULL) != U_OK)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot initialise the HTTP server");
  h->server.max_post_body_size = (size_t)s->max_body_bytes + 1;
  h->server.allowed_post_processor = U_POST_PROCESS_NONE;
  h->server.check_utf8 = 0;
  add_endpoints (h);
  if (start_listening (h, err))
    return true;
  ulfius_clean_instance (&h->server);
  return false;
}

static bool
start_listening (cv_http_t *h, cv_error_t *err)
{
  uint32_t limit = h->settings->max_connections;
  struct MHD_OptionItem ops[] = {
    { MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)cv_http_conns_request_completed,
      &h->connections },
    { MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)cv_http_conns_request_started,
      &h->connections },
    { MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)cv_http_conns_connection_notify,
      &h->connections },
    { MHD_OPTION_SOCK_ADDR, 0, &h->bind },
    { MHD_OPTION_CONNECTION_LIMIT, (intptr_t)limit, NULL },
    { MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      (intptr_t)(limit / PER_ADDRESS_DIVISOR), NULL },
    { MHD_OPTION_CONNECTION_MEMORY_LIMIT, HEADER_MEMORY_BYTES, NULL },
    { MHD_OPTION_CONNECTION_TIMEOUT, (intptr_t)h->settings->idle_timeout_s,
      NULL },
    { MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL },
    { MHD_OPTION_LISTEN_BACKLOG_SIZE, LISTEN_BACKLOG, NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  unsigned flags = MHD_USE_THREAD_PER_CONNECTION
                   | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL
                   | MHD_USE_ITC;

  if (ulfius_start_framework_with_mhd_options (&h->server, flags, ops) == U_OK)
    return true;
  return cv_fail (err, CV_ERR_SYSTEM, "cannot listen on %s:%u",
                  h->settings->http.address, h->settings->http.port);
}

typedef struct
{
  const char *method;
  const char *path;
  int (*fn) (const cv_server_request_t *req, cv_server_response_t *resp,
             void *arg);
} cv_http_endpoint_t;

static void
add_endpoints (cv_http_t *h)
{
  static const cv_http_endpoint_t endpoints[] = {
    { "POST", "/v1/completions", cv_http_completions },
    { "POST", "/v1/chat/completions", cv_http_chat_completions },
    { "GET", "/v1/streams/resume", cv_http_resume },
    { "POST", "/v1/streams/resume", cv_http_resume },
    { "POST", "/v1/tickets", cv_http_tickets },
    { "*", "/svc/*", cv_http_service_call },
    { "POST", "/v1/operator/query", cv_http_operator_query },
    { "POST", "/v1/operator/change", cv_http_operator_change },
    { "GET", "/v1/operator/document", cv_http_document_get },
    { "PUT", "/v1/operator/document", cv_http_document_put },
    { "GET", "/healthz", healthz },
    { "GET", "/metrics", metrics },
  };

  for (size_t i = 0; i < sizeof endpoints / sizeof endpoints[0]; i++)
    CV_INVARIANT (ulfius_add_endpoint_by_val (&h->server, endpoints[i].method,
                                              endpoints[i].path, NULL, 0,
                                              endpoints[i].fn, h)
                  == U_OK);
  CV_INVARIANT (ulfius_set_default_endpoint (&h->server, not_found, h) == U_OK);
}

static bool
is_valid_request_id (const char *id)
{
  size_t n = strlen (id);

  if (n == 0 || n > REQUEST_ID_MAX_BYTES)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!isalnum ((unsigned char)id[i]) && strchr ("-_.:", id[i]) == NULL)
      return false;
  return true;
}

static bool
parse_bearer_key (const cv_server_request_t *req, cv_slice_t *key)
{
  static const char scheme[] = "Bearer ";
  const char *value = cv_http_header (req, "Authorization");

  if (value == NULL || strncasecmp (value, scheme, sizeof scheme - 1) != 0)
    return false;
  *key = cv_slice (value + sizeof scheme - 1);
  return key->n > 0;
}

static bool
respond_unauthorized (cv_server_response_t *resp)
{
  const cv_http_error_t e = { .status = 401,
                              .code = "unauthorized",
                              .text = "no such bearer key",
                              .outcome = CV_OUTCOME_REFUSED };

  (void)u_map_put (resp->map_header, "WWW-Authenticate", "Bearer");
  (void)cv_http_respond_error (resp, &e);
  return false;
}

static cv_http_error_t
error_from_failure (cv_failure_code_t code, uint32_t retry_after_ms)
{
  const cv_failure_info_t *info = cv_failure_info (code);
  cv_http_error_t e = { .status = info->status,
                        .code = info->code,
                        .text = info->text,
                        .outcome = info->outcome,
                        .retry_after_ms = retry_after_ms };

  return e;
}

static int
healthz (const cv_server_request_t *req, cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  bool draining = __atomic_load_n (&h->draining, __ATOMIC_RELAXED) != 0;
  cv_health_t health = { 0 };
  cv_buf_t body;
  int rc;

  (void)req;
  cv_entry_link_inspect (h->link, copy_health, &health);
  if (draining)
    health.unready = "this entry is being stopped";
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"state\":\"%s\",\"config_version\":%llu",
                 draining                 ? "stopping"
                 : health.unready != NULL ? "starting"
                                          : "serving",
                 (unsigned long long)health.version);
  if (health.age_ms != UINT32_MAX)
    cv_buf_printf (&body, ",\"config_age_ms\":%u", health.age_ms);
  if (health.unready != NULL)
    cv_buf_printf (&body, ",\"reason\":\"%s\"", health.unready);
  cv_buf_printf (&body, "}");
  rc = cv_http_respond_json (resp, health.unready != NULL ? 503 : 200, &body);
  cv_buf_finish (&body);
  return rc;
}

static void
copy_health (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_health_t *health = arg;
  const cv_config_t *config = cv_entry_config (core);

  health->unready = cv_entry_unready_reason (core);
  health->version = config == NULL ? 0 : config->version;
  health->age_ms = cv_entry_config_age_ms (core, now);
}

static int
metrics (const cv_server_request_t *req, cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_store_counts_t counts = cv_storejobs_counts (h->jobs);
  cv_buf_t body;

  (void)req;
  cv_buf_init (&body);
  cv_entry_link_inspect (h->link, write_metrics, &body);
  cv_buf_printf (&body,
                 "# TYPE catkinvale_entry_store_calls_total counter\n"
                 "catkinvale_entry_store_calls_total{kind=\"read\"} %llu\n"
                 "catkinvale_entry_store_calls_total{kind=\"write\"} %llu\n"
                 "catkinvale_entry_store_calls_total{kind=\"failed\"} %llu\n",
                 (unsigned long long)counts.reads,
                 (unsigned long long)counts.writes,
                 (unsigned long long)counts.failures);
  (void)u_map_put (resp->map_header, "Content-Type",
                   "text/plain; version=0.0.4");
  (void)ulfius_set_binary_body_response (resp, 200, cv_buf_text (&body),
                                         body.n);
  cv_buf_finish (&body);
  return U_CALLBACK_COMPLETE;
}

static int
not_found (const cv_server_request_t *req, cv_server_response_t *resp,
           void *arg)
{
  const cv_http_error_t e = { .status = 404,
                              .code = "not_found",
                              .text = "no such path or method",
                              .outcome = CV_OUTCOME_REFUSED };

  (void)req;
  (void)arg;
  return cv_http_respond_error (resp, &e);
}

/* Preemptions since the start of the engine, as reported by its side.  */
static void
write_preemptions (const cv_target_row_t *row, void *arg)
{
  cv_buf_printf (arg,
                 "catkinvale_entry_target_preemptions{target=\"%s\"} %llu\n",
                 row->name, (unsigned long long)row->load.preemptions);
}

static void
write_metrics (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_buf_t *body = arg;
  const cv_config_t *config = cv_entry_config (core);

  cv_entry_metrics_write (cv_entry_metrics (core), body);
  cv_buf_printf (body,
                 "# TYPE catkinvale_entry_in_flight gauge\n"
                 "catkinvale_entry_in_flight %u\n"
                 "# TYPE catkinvale_entry_config_version gauge\n"
                 "catkinvale_entry_config_version %llu\n",
                 cv_entry_requests_in_flight (core),
                 config == NULL ? 0ULL : (unsigned long long)config->version);
  cv_buf_printf (body, "# TYPE catkinvale_entry_target_preemptions gauge\n");
  cv_entry_foreach_target (core, now, write_preemptions, body);
}
