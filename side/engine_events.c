/* Client of the model engine: server-sent events of streams, load reports and
   cancellation.  */

#include <stdlib.h>
#include <string.h>

#include "side/engine.h"
#include "side/token_event.h"

#define EVENT_MAX_BYTES (64 * 1024)
#define POLL_TIMEOUT_MS 1000
/* Time without a load report after which the engine gets no new work.  */
#define SILENCE_DOWN (3 * CV_SECOND)
/* Time without a load report after which an engine with streams counts as lost.
 */
#define SILENCE_LOST (10 * CV_SECOND)
#define CANCEL_RETRY_DELAY (500 * CV_MS)
#define CANCEL_ATTEMPTS_MAX 60
#define CANCEL_TIMEOUT_MS 2000

static void mark_invalid (cv_run_t *run);
static void handle_line (cv_run_t *run, const char *p, size_t n);
static void handle_json_event (cv_run_t *run, const char *p, size_t n);
static bool handle_json_token (cv_run_t *run, json_object *o);
static bool accept_token (cv_run_t *run, int64_t index, cv_slice_t text);
static bool handle_end (cv_run_t *run, json_object *o);
static void on_load_report (void *arg, const cv_http_result_t *result);
static void handle_load_report (cv_engine_t *e, json_object *o);
static void fail_not_found (cv_engine_t *e);
static void set_engine_up (cv_engine_t *e, bool up);
static int64_t get_int (json_object *o, const char *key);
static void on_cancel_answer (void *arg, const cv_http_result_t *result);

void
cv_engine_feed (cv_run_t *run, const char *p, size_t n)
{
  while (n > 0 && !run->finished && !run->invalid)
    {
      const char *newline = memchr (p, '\n', n);
      size_t length = newline == NULL ? n : (size_t)(newline - p);

      if (newline != NULL && run->line.n == 0)
        handle_line (run, p, length);
      else
        {
          cv_buf_add (&run->line, p, length);
          if (newline != NULL)
            {
              handle_line (run, run->line.p, run->line.n);
              cv_buf_reset (&run->line);
            }
        }
      if (run->line.n > EVENT_MAX_BYTES)
        mark_invalid (run);
      if (newline == NULL)
        return;
      p += length + 1;
      n -= length + 1;
    }
}

/* Have the next tick request the rest of the stream again.  */
static void
mark_invalid (cv_run_t *run)
{
  run->invalid = true;
  run->engine->has_pending_work = true;
}

/* Handle one line of the body.  */
static void
handle_line (cv_run_t *run, const char *p, size_t n)
{
  static const char prefix[] = "data: ";
  uint32_t index;
  cv_slice_t text;

  if (n < sizeof prefix || memcmp (p, prefix, sizeof prefix - 1) != 0)
    return; /* empty line or comment */
  p += sizeof prefix - 1;
  n -= sizeof prefix - 1;
  if (!cv_token_event_parse (p, n, &index, &text))
    handle_json_event (run, p, n);
  else if (!accept_token (run, index, text))
    mark_invalid (run);
}

/* Handle an event that the fast token parser does not accept: the end of the
   stream, a preemption, or a token with spaces or escapes in its JSON.  */
static void
handle_json_event (cv_run_t *run, const char *p, size_t n)
{
  json_object *o;
  bool ok;

  json_tokener_reset (run->engine->tokener);
  o = json_tokener_parse_ex (run->engine->tokener, p, (int)n);
  if (json_object_object_get_ex (o, "t", NULL))
    ok = handle_json_token (run, o);
  else if (json_object_object_get_ex (o, "end", NULL))
    ok = handle_end (run, o);
  else
    {
      ok = o != NULL;
      if (json_object_object_get_ex (o, "preempted", NULL) && !run->want_paused)
        cv_side_stream_preempted (run->engine->core, cv_now (), run->ref);
    }
  if (!ok)
    mark_invalid (run);
  json_object_put (o);
}

static bool
handle_json_token (cv_run_t *run, json_object *o)
{
  int64_t index = get_int (o, "i");
  json_object *text = json_object_object_get (o, "t");
  cv_slice_t slice;

  if (!json_object_is_type (text, json_type_string))
    return false;
  slice.p = json_object_get_string (text);
  slice.n = (size_t)json_object_get_string_len (text);
  return accept_token (run, index, slice);
}

/* False when a token before INDEX has not been received.  */
static bool
accept_token (cv_run_t *run, int64_t index, cv_slice_t text)
{
  if (index < 0 || index > run->offset)
    return false;
  if (index < run->offset)
    return true; /* received before the body was interrupted */
  run->offset++;
  run->attempts = 0;
  cv_side_token (run->engine->core, cv_now (), run->ref, (uint32_t)index, text);
  return true;
}

static bool
handle_end (cv_run_t *run, json_object *o)
{
  const char *kind = json_object_get_string (json_object_object_get (o, "end"));
  int64_t total = get_int (o, "n");
  cv_end_t end;

  if (kind == NULL || total != run->offset)
    return false;
  if (strcmp (kind, "stop") == 0)
    end = CV_END_STOP;
  else if (strcmp (kind, "length") == 0)
    end = CV_END_LENGTH;
  else
    end = CV_END_CANCELLED;
  cv_engine_finish_run (run);
  cv_side_stream_end (run->engine->core, cv_now (), run->ref, end,
                      (uint32_t)total);
  return true;
}

/* ---- load reports ---- */

void
cv_engine_poll_load (cv_engine_t *e, cv_time_t now)
{
  char url[CV_ENGINE_URL_MAX_BYTES];
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .timeout_ms = POLL_TIMEOUT_MS,
                          .done = on_load_report,
                          .arg = e };
  int n;

  if (e->is_up && now - e->last_report_at >= SILENCE_DOWN)
    set_engine_up (e, false);
  if (!e->is_up && e->boot_id != 0 && now - e->last_report_at >= SILENCE_LOST
      && !TAILQ_EMPTY (&e->runs))
    cv_engine_declare_lost (e, true);
  if (e->poll != NULL || now < e->poll_at)
    return;
  n = snprintf (url, sizeof url, "%s/v1/load", e->url);
  CV_INVARIANT (n > 0 && (size_t)n < sizeof url);
  e->poll_at = now + e->poll_interval;
  e->polled_at = now;
  e->poll = cv_http_start (e->http, &call);
}

static void
on_load_report (void *arg, const cv_http_result_t *result)
{
  cv_engine_t *e = arg;
  json_object *o;

  e->poll = NULL;
  if (result->end == CV_HTTP_NOT_SENT)
    {
      /* No connection: nothing listens at the engine's address.  */
      set_engine_up (e, false);
      if (!TAILQ_EMPTY (&e->runs))
        cv_engine_declare_lost (e, false);
      return;
    }
  if (result->end != CV_HTTP_COMPLETE || result->status != 200)
    return;
  json_tokener_reset (e->tokener);
  o = json_tokener_parse_ex (e->tokener, result->body.p, (int)result->body.n);
  if (json_object_is_type (o, json_type_object))
    handle_load_report (e, o);
  json_object_put (o);
}

static void
handle_load_report (cv_engine_t *e, json_object *o)
{
  uint64_t boot_id = (uint64_t)get_int (o, "boot");
  cv_load_t load = { 0 };
  cv_time_t now = cv_now ();

  if (e->boot_id != 0 && boot_id != e->boot_id && !TAILQ_EMPTY (&e->runs))
    cv_engine_declare_lost (e, false);
  if (e->boot_id != 0 && boot_id != e->boot_id)
    cv_side_engine_restarted (e->core);
  e->boot_id = boot_id;
  e->last_report_at = now;
  fail_not_found (e);
  load.running = (uint32_t)get_int (o, "running");
  load.waiting = (uint32_t)get_int (o, "waiting");
  load.kv_used = (uint64_t)get_int (o, "kv_used");
  load.kv_total = (uint64_t)get_int (o, "kv_total");
  load.preemptions = (uint64_t)get_int (o, "preemptions");
  load.token_us = (uint32_t)get_int (o, "token_ms") * 1000;
  load.age_ms = (uint32_t)get_int (o, "age_ms");
  cv_side_engine_load (e->core, now, &load);
  set_engine_up (e, true);
}

/* Called for each load report, after the runs of a restarted engine were
   declared lost.  A stream is lost if the engine answered its resume request
   with 404 before that report was requested.  */
static void
fail_not_found (cv_engine_t *e)
{
  cv_run_t *run;
  cv_run_t *next;

  for (run = TAILQ_FIRST (&e->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->not_found_at != 0 && run->not_found_at <= e->polled_at)
        cv_engine_fail_run (run);
    }
}

static void
set_engine_up (cv_engine_t *e, bool up)
{
  if (e->is_up == up)
    return;
  e->is_up = up;
  cv_log (up ? CV_EV_SIDE_BACKEND_UP : CV_EV_SIDE_BACKEND_DOWN, "%s", e->url);
  cv_side_backend_state (e->core, cv_now (), up);
}

static int64_t
get_int (json_object *o, const char *key)
{
  json_object *value;

  if (!json_object_object_get_ex (o, key, &value))
    return -1;
  return json_object_get_int64 (value);
}

/* ---- cancellation ---- */

void
cv_engine_cancel (cv_engine_t *e, cv_id_t id)
{
  cv_cancel_t *cancel = cv_calloc (1, sizeof *cancel);

  cancel->engine = e;
  cancel->id = id;
  cancel->retry_at = 1; /* at the next tick */
  TAILQ_INSERT_TAIL (&e->cancels, cancel, link);
}

void
cv_engine_cancel_tick (cv_engine_t *e, cv_time_t now)
{
  cv_cancel_t *cancel;
  cv_cancel_t *next;
  char url[CV_ENGINE_URL_MAX_BYTES];

  for (cancel = TAILQ_FIRST (&e->cancels); cancel != NULL; cancel = next)
    {
      cv_http_call_t call = { .method = "DELETE",
                              .url = url,
                              .timeout_ms = CANCEL_TIMEOUT_MS,
                              .done = on_cancel_answer,
                              .arg = cancel };

      next = TAILQ_NEXT (cancel, link);
      if (cancel->retry_at == 0 || now < cancel->retry_at)
        continue;
      cancel->retry_at = 0;
      cancel->attempts++;
      cv_engine_stream_url (e, cancel->id, "", url);
      cancel->request = cv_http_start (e->http, &call);
      if (cancel->request == NULL)
        cancel->retry_at = now + CANCEL_RETRY_DELAY;
    }
}

static void
on_cancel_answer (void *arg, const cv_http_result_t *result)
{
  cv_cancel_t *cancel = arg;

  cancel->request = NULL;
  if (result->end != CV_HTTP_COMPLETE && cancel->attempts < CANCEL_ATTEMPTS_MAX)
    {
      cancel->retry_at = cv_now () + CANCEL_RETRY_DELAY;
      return;
    }
  TAILQ_REMOVE (&cancel->engine->cancels, cancel, link);
  free (cancel);
}
