/* Client of the plain service.  */

#include <stdlib.h>

#include "side/service.h"

#define POLL_INTERVAL (1 * CV_SECOND)
#define POLL_TIMEOUT_MS 1000
#define POLL_PATH "/healthz"
/* Without an answer for so long the service takes no new calls.  */
#define SILENT_DOWN (4 * CV_SECOND)
#define URL_MAX 4096

static bool make_url (const cv_service_t *s, cv_slice_t path,
                      char url[URL_MAX]);
static void on_done (void *arg, const cv_http_result_t *result);
static void tell_not_run (cv_service_t *s, cv_id_t call);
static void on_poll (void *arg, const cv_http_result_t *result);
static void set_up (cv_service_t *s, bool up);

void
cv_service_init (cv_service_t *s, cv_side_core_t *core, cv_http_t *http,
                 const char *url)
{
  *s = (cv_service_t){ .core = core, .http = http };
  (void)cv_copy (s->url, sizeof s->url, url);
  LIST_INIT (&s->runs);
  LIST_INIT (&s->refused);
}

void
cv_service_finish (cv_service_t *s)
{
  cv_service_run_t *run;

  while ((run = LIST_FIRST (&s->runs)) != NULL)
    {
      LIST_REMOVE (run, link);
      cv_http_cancel (run->request);
      free (run);
    }
  while ((run = LIST_FIRST (&s->refused)) != NULL)
    {
      LIST_REMOVE (run, link);
      free (run);
    }
  cv_http_cancel (s->poll);
}

void
cv_service_take (cv_service_t *s, const cv_service_call_t *call)
{
  cv_service_run_t *run = cv_calloc (1, sizeof *run);
  char url[URL_MAX];
  char type[256];
  char key[CV_ID_TEXT];
  char header[CV_ID_TEXT + 32] = "";
  cv_http_call_t request = { .method = call->method,
                             .url = url,
                             .content_type = type,
                             .body = call->body,
                             .timeout_ms = (long)call->timeout_ms,
                             .once = true,
                             .done = on_done,
                             .arg = run };

  run->service = s;
  run->call = call->call;
  if (!cv_id_is_zero (call->nonce))
    {
      (void)snprintf (header, sizeof header, "X-Request-Key: %s",
                      cv_id_format (call->nonce, key));
      request.header = header;
    }
  if (make_url (s, call->path, url)
      && cv_copy_slice (type, sizeof type, call->content_type))
    run->request = cv_http_start (s->http, &request);
  if (run->request == NULL)
    LIST_INSERT_HEAD (&s->refused, run, link);
  else
    LIST_INSERT_HEAD (&s->runs, run, link);
}

void
cv_service_tick (cv_service_t *s, cv_time_t now)
{
  char url[URL_MAX];
  cv_service_run_t *run;
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .timeout_ms = POLL_TIMEOUT_MS,
                          .done = on_poll,
                          .arg = s };

  while ((run = LIST_FIRST (&s->refused)) != NULL)
    {
      LIST_REMOVE (run, link);
      tell_not_run (s, run->call);
      free (run);
    }
  if (s->up && now - s->answered >= SILENT_DOWN)
    set_up (s, false);
  if (s->poll != NULL || now < s->poll_at)
    return;
  s->poll_at = now + POLL_INTERVAL;
  if (make_url (s, cv_slice (POLL_PATH), url))
    s->poll = cv_http_start (s->http, &call);
}

/* Only a path of visible characters may go into the request line.  */
static bool
make_url (const cv_service_t *s, cv_slice_t path, char url[URL_MAX])
{
  size_t i;
  int n;

  if (path.n == 0 || path.p[0] != '/')
    return false;
  for (i = 0; i < path.n; i++)
    if (path.p[i] <= ' ' || path.p[i] >= 0x7f || path.p[i] == '#')
      return false;
  n = snprintf (url, URL_MAX, "%s%.*s", s->url, (int)path.n, path.p);
  return n > 0 && n < URL_MAX;
}

static void
on_done (void *arg, const cv_http_result_t *result)
{
  cv_service_run_t *run = arg;
  cv_service_t *s = run->service;
  cv_call_end_t end = { .call = run->call, .ran = true };

  LIST_REMOVE (run, link);
  end.ran = result->end != CV_HTTP_NOT_SENT;
  end.outcome
      = result->end == CV_HTTP_WHOLE ? CV_OUTCOME_DONE : CV_OUTCOME_UNKNOWN;
  end.content_type = cv_slice ("");
  end.body = cv_slice ("");
  if (result->end == CV_HTTP_WHOLE)
    {
      end.status = (uint32_t)result->status;
      end.content_type = cv_slice (result->content_type);
      end.body = result->body;
    }
  else
    s->poll_at = 0;
  cv_side_call_end (s->core, cv_now (), &end);
  free (run);
}

static void
tell_not_run (cv_service_t *s, cv_id_t call)
{
  cv_call_end_t end = { .call = call, .ran = false };

  cv_side_call_end (s->core, cv_now (), &end);
}

static void
on_poll (void *arg, const cv_http_result_t *result)
{
  cv_service_t *s = arg;

  s->poll = NULL;
  if (result->end == CV_HTTP_WHOLE)
    {
      s->answered = cv_now ();
      set_up (s, true);
    }
  else if (result->end == CV_HTTP_NOT_SENT)
    set_up (s, false);
}

static void
set_up (cv_service_t *s, bool up)
{
  if (s->up == up)
    return;
  s->up = up;
  cv_log (up ? CV_EV_SIDE_BACKEND_UP : CV_EV_SIDE_BACKEND_DOWN, "%s", s->url);
  cv_side_backend_state (s->core, cv_now (), up);
}
