/* HTTP requests: orders to the engine, and to the weight store for permission
   to load.  */

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "side/engine_orders.h"

#define ENGINE_PATH "/v1/orders"
#define PERMISSION_PATH "/v1/fetch"
#define URL_MAX_BYTES 256
#define STATUS_OK 200

static void post (cv_engine_orders_t *o, const char *base, const char *path,
                  json_object *body,
                  void (*done) (void *, const cv_http_result_t *));
static const char *kind_name (cv_order_kind_t kind);
static void add_string (json_object *o, const char *key, const char *text);
static void on_order_answer (void *arg, const cv_http_result_t *result);
static void on_permission_answer (void *arg, const cv_http_result_t *result);
static uint64_t parse_fencing_token (cv_slice_t body);

void
cv_engine_orders_init (cv_engine_orders_t *o, cv_side_core_t *core,
                       cv_http_t *http, const char *engine_url,
                       const char *weights_url)
{
  *o = (cv_engine_orders_t){ .core = core,
                             .http = http,
                             .engine_url = engine_url,
                             .weights_url = weights_url };
}

void
cv_engine_orders_finish (cv_engine_orders_t *o)
{
  cv_http_cancel (o->request);
  o->request = NULL;
}

void
cv_engine_orders_send (cv_engine_orders_t *o, const cv_order_t *order)
{
  json_object *body = json_object_new_object ();

  json_object_object_add (body, "fence",
                          json_object_new_int64 ((int64_t)order->fence));
  add_string (body, "kind", kind_name (order->kind));
  if (order->kind == CV_ORDER_ROLE)
    add_string (body, "role", "serve");
  else
    {
      add_string (body, "model", order->model);
      add_string (body, "adapter", order->adapter);
      add_string (body, "version", order->version);
    }
  post (o, o->engine_url, ENGINE_PATH, body, on_order_answer);
}

void
cv_engine_orders_request_permission (cv_engine_orders_t *o,
                                     const cv_order_t *order)
{
  json_object *body = json_object_new_object ();

  add_string (body, "model", order->model);
  add_string (body, "version", order->version);
  post (o, o->weights_url, PERMISSION_PATH, body, on_permission_answer);
}

/* POST BODY on a new connection: on a reused one libcurl might send the request
   twice.  */
static void
post (cv_engine_orders_t *o, const char *base, const char *path,
      json_object *body, void (*done) (void *, const cv_http_result_t *))
{
  static const cv_http_result_t not_sent = { .end = CV_HTTP_NOT_SENT };
  char url[URL_MAX_BYTES];
  cv_http_call_t call = {
    .method = "POST",
    .url = url,
    .content_type = "application/json",
    .body
    = cv_slice (json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN)),
    .timeout_ms = CV_ORDER_TIMEOUT_MS,
    .at_most_once = true,
    .done = done,
    .arg = o,
  };
  int n = snprintf (url, sizeof url, "%s%s", base, path);

  CV_INVARIANT (n > 0 && (size_t)n < sizeof url && o->request == NULL);
  o->request = cv_http_start (o->http, &call);
  json_object_put (body);
  if (o->request == NULL)
    done (o, &not_sent);
}

static const char *
kind_name (cv_order_kind_t kind)
{
  switch (kind)
    {
    case CV_ORDER_LOAD:
      return "load";
    case CV_ORDER_UNLOAD:
      return "unload";
    case CV_ORDER_ROLE:
      return "role";
    }
  return "";
}

static void
add_string (json_object *o, const char *key, const char *text)
{
  json_object_object_add (o, key, json_object_new_string (text));
}

static void
on_order_answer (void *arg, const cv_http_result_t *result)
{
  cv_engine_orders_t *o = arg;
  cv_order_end_t end = { .answered = result->end == CV_HTTP_COMPLETE,
                         .status = (uint32_t)result->status };

  o->request = NULL;
  if (end.answered && end.status != STATUS_OK)
    end.fence = parse_fencing_token (result->body);
  cv_side_order_end (o->core, cv_now (), &end);
}

static void
on_permission_answer (void *arg, const cv_http_result_t *result)
{
  cv_engine_orders_t *o = arg;
  bool granted = result->end == CV_HTTP_COMPLETE && result->status == STATUS_OK;
  uint32_t retry_after_ms = 0;

  o->request = NULL;
  if (result->end == CV_HTTP_COMPLETE && !granted)
    retry_after_ms = result->retry_after_s * 1000;
  cv_side_load_permission_end (o->core, cv_now (), granted, retry_after_ms);
}

/* The fencing token N of {"error":{"fence":N}}; 0 when there is none.  */
static uint64_t
parse_fencing_token (cv_slice_t body)
{
  json_tokener *tokener = json_tokener_new ();
  json_object *root;
  json_object *error;
  json_object *fence;
  int64_t n = 0;

  CV_INVARIANT (tokener != NULL);
  root = json_tokener_parse_ex (tokener, body.p, (int)body.n);
  if (json_object_object_get_ex (root, "error", &error)
      && json_object_object_get_ex (error, "fence", &fence))
    n = json_object_get_int64 (fence);
  json_object_put (root);
  json_tokener_free (tokener);
  return n > 0 ? (uint64_t)n : 0;
}
