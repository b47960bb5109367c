/* HTTP client of the plain service.  */

#include <stdlib.h>

#include "side/service.h"

#define POLL_INTERVAL (1 * CV_SECOND)
#define POLL_TIMEOUT_MS 1000
#define POLL_PATH "/healthz"
/* Time without an answer to a health check after which the service gets no new
   calls.  */
#define SILENCE_DOWN (4 * CV_SECOND)
#define URL_MAX_BYTES 4096

static bool make_url (const cv_service_t *s, cv_slice_t path,
                      char url[URL_MAX_BYTES]);
static void on_call_end (void *arg, const cv_http_result_t *result);
static void report_not_run (cv_service_t *s, cv_id_t call);
static void on_health_answer (void *arg, const cv_http_result_t *result);
static void set_service_up (cv_service_t *s, bool up);

void
cv_service_init (cv_service_t *s, cv_side_core_t *core, cv_http_t *http,
                 const char *url)
{
  *s = (cv_service_t){ .core = core, .http = http };
  (void)cv_copy (s->url, sizeof s->url, url);
  LIST_INIT (&s->in_flight);
  LIST_INIT (&s->not_sent);
}

void
cv_service_finish (cv_service_t *s)
{
  cv_service_request_t *request;

  while ((request = LIST_FIRST (&s->in_flight)) != NULL)
    {
      LIST_REMOVE (request, link);
      cv_http_cancel (request->http_request);
      free (request);
    }
  while ((request = LIST_FIRST (&s->not_sent)) != NULL)
    {
      LIST_REMOVE (request, link);
      free (request);
    }
  cv_http_cancel (s->poll);
}

void
cv_service_start_call (cv_service_t *s, const cv_service_call_t *call)
{
  cv_service_request_t *request = cv_calloc (1, sizeof *request);
  char url[URL_MAX_BYTES];
  char type[256];
  char key[CV_ID_TEXT];
  char header[CV_ID_TEXT + 32] = "";
  cv_http_call_t http_call = { .method = call->method,
                               .url = url,
                               .content_type = type,
                               .body = call->body,
                               .timeout_ms = (long)call->timeout_ms,
                               .at_most_once = true,
                               .done = on_call_end,
                               .arg = request };

  request->service = s;
  request->call = call->call;
  if (!cv_id_is_zero (call->nonce))
    {
      (void)snprintf (header, sizeof header, "X-Request-Key: %s",
                      cv_id_format (call->nonce, key));
      http_call.header = header;
    }
  if (make_url (s, call->path, url)
      && cv_copy_slice (type, sizeof type, call->content_type))
    request->http_request = cv_http_start (s->http, &http_call);
  if (request->http_request == NULL)
    LIST_INSERT_HEAD (&s->not_sent, request, link);
  else
    LIST_INSERT_HEAD (&s->in_flight, request, link);
}

void
cv_service_tick (cv_service_t *s, cv_time_t now)
{
  char url[URL_MAX_BYTES];
  cv_service_request_t *request;
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .timeout_ms = POLL_TIMEOUT_MS,
                          .done = on_health_answer,
                          .arg = s };

  while ((request = LIST_FIRST (&s->not_sent)) != NULL)
    {
      LIST_REMOVE (request, link);
      report_not_run (s, request->call);
      free (request);
    }
  if (s->is_up && now - s->last_answer_at >= SILENCE_DOWN)
    set_service_up (s, false);
  if (s->poll != NULL || now < s->poll_at)
    return;
  s->poll_at = now + POLL_INTERVAL;
  if (make_url (s, cv_slice (POLL_PATH), url))
    s->poll = cv_http_start (s->http, &call);
}

/* Join the service's URL and PATH.  False when PATH is too long, does not start
   with '/', or contains '#' or anything but visible ASCII characters, so that
   nothing else gets into the request line.  */
static bool
make_url (const cv_service_t *s, cv_slice_t path, char url[URL_MAX_BYTES])
{
  size_t i;
  int n;

  if (path.n == 0 || path.p[0] != '/')
    return false;
  for (i = 0; i < path.n; i++)
    if (path.p[i] <= ' ' || path.p[i] >= 0x7f || path.p[i] == '#')
      return false;
  n = snprintf (url, URL_MAX_BYTES, "%s%.*s", s->url, (int)path.n, path.p);
  return n > 0 && n < URL_MAX_BYTES;
}

static void
on_call_end (void *arg, const cv_http_result_t *result)
{
  cv_service_request_t *request = arg;
  cv_service_t *s = request->service;
  cv_call_end_t end = { .call = request->call, .ran = true };

  LIST_REMOVE (request, link);
  end.ran = result->end != CV_HTTP_NOT_SENT;
  end.outcome
      = result->end == CV_HTTP_COMPLETE ? CV_OUTCOME_DONE : CV_OUTCOME_UNKNOWN;
  end.content_type = cv_slice ("");
  end.body = cv_slice ("");
  if (result->end == CV_HTTP_COMPLETE)
    {
      end.status = (uint32_t)result->status;
      end.content_type = cv_slice (result->content_type);
      end.body = result->body;
    }
  else
    s->poll_at = 0;
  cv_side_call_end (s->core, cv_now (), &end);
  free (request);
}

static void
report_not_run (cv_service_t *s, cv_id_t call)
{
  cv_call_end_t end = { .call = call, .ran = false };

  cv_side_call_end (s->core, cv_now (), &end);
}

static void
on_health_answer (void *arg, const cv_http_result_t *result)
{
  cv_service_t *s = arg;

  s->poll = NULL;
  if (result->end == CV_HTTP_COMPLETE)
    {
      s->last_answer_at = cv_now ();
      set_service_up (s, true);
    }
  else if (result->end == CV_HTTP_NOT_SENT)
    set_service_up (s, false);
}

static void
set_service_up (cv_service_t *s, bool up)
{
  if (s->is_up == up)
    return;
  s->is_up = up;
  cv_log (up ? CV_EV_SIDE_BACKEND_UP : CV_EV_SIDE_BACKEND_DOWN, "%s", s->url);
  cv_side_backend_state (s->core, cv_now (), up);
}
