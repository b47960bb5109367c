/* Client of the model engine: starts, resumes and pauses streams.  */

#include <stdlib.h>
#include <string.h>

#include "side/engine.h"

#define RETRY_DELAY (100 * CV_MS)
#define RESUMES_MAX 20 /* of one stream without a new token */
#define PAUSE_TIMEOUT_MS 2000
#define SLOTS_INITIAL 64
/* A gap between two ticks that is at least this long does not count as silence
   of the engine.  (A freeze as in side/peers.c is a gap of CV_PEER_TIMEOUT.) */
#define TICK_GAP_MAX (1 * CV_SECOND)

static void start_run (cv_engine_t *e, const cv_engine_start_t *start);
static char *encode_start (const cv_engine_start_t *start);
static void send_resume_request (cv_run_t *run, cv_time_t now);
static void schedule_resume (cv_run_t *run, cv_time_t at);
static void on_stream_data (void *arg, const char *p, size_t n);
static void on_stream_end (void *arg, const cv_http_result_t *result);
static void on_start_failed (cv_run_t *run, const cv_http_result_t *result);
static void set_paused (cv_run_t *run, bool paused);
static void send_pause_request (cv_run_t *run);
static void schedule_pause_retry (cv_run_t *run);
static void on_pause_answer (void *arg, const cv_http_result_t *result);
static cv_run_t *run_new (cv_engine_t *e, cv_stream_ref_t ref);
static void run_free (cv_run_t *run);
static void free_finished (cv_engine_t *e);
static cv_run_t *run_find (const cv_engine_t *e, cv_stream_ref_t ref);

void
cv_engine_init (cv_engine_t *e, cv_side_core_t *core, cv_http_t *http,
                const char *url)
{
  *e = (cv_engine_t){ .core = core, .http = http };
  (void)cv_copy (e->url, sizeof e->url, url);
  e->tokener = json_tokener_new ();
  CV_INVARIANT (e->tokener != NULL);
  TAILQ_INIT (&e->runs);
  TAILQ_INIT (&e->finished);
  TAILQ_INIT (&e->cancels);
}

void
cv_engine_finish (cv_engine_t *e)
{
  cv_run_t *run;
  cv_cancel_t *cancel;

  while ((run = TAILQ_FIRST (&e->runs)) != NULL)
    cv_engine_finish_run (run);
  free_finished (e);
  while ((cancel = TAILQ_FIRST (&e->cancels)) != NULL)
    {
      TAILQ_REMOVE (&e->cancels, cancel, link);
      cv_http_cancel (cancel->request);
      free (cancel);
    }
  cv_http_cancel (e->poll);
  json_tokener_free (e->tokener);
  free (e->slots);
}

void
cv_engine_handle_output (cv_engine_t *e, const cv_side_out_t *out)
{
  cv_run_t *run;

  if (out->type == CV_OUT_ENGINE_START)
    {
      start_run (e, &out->u.start);
      return;
    }
  run = run_find (e, out->u.stream);
  if (run == NULL)
    return; /* the stream has ended already */
  switch (out->type)
    {
    case CV_OUT_ENGINE_PAUSE:
      set_paused (run, true);
      break;
    case CV_OUT_ENGINE_RESUME:
      set_paused (run, false);
      break;
    case CV_OUT_ENGINE_CANCEL:
      cv_engine_finish_run (run);
      cv_engine_cancel (e, run->ref.id);
      break;
    case CV_OUT_ENGINE_START:
    case CV_OUT_SEND:
    case CV_OUT_PEER_LOST:
    case CV_OUT_SERVICE_CALL:
    case CV_OUT_LOAD_PERMISSION:
    case CV_OUT_ORDER:
      break;
    }
}

void
cv_engine_tick (cv_engine_t *e, cv_time_t now)
{
  cv_run_t *run;
  cv_run_t *next;

  bool visit_runs = e->has_pending_work;

  /* While this process did not run it could not receive a report, so the gap
     does not count as silence of the engine.  */
  if (e->last_tick_at != 0 && now - e->last_tick_at >= TICK_GAP_MAX)
    e->last_report_at += now - e->last_tick_at;
  e->last_tick_at = now;
  free_finished (e);
  e->has_pending_work = false;
  for (run = TAILQ_FIRST (&e->runs); visit_runs && run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->invalid)
        {
          cv_http_cancel (run->stream_request);
          run->stream_request = NULL;
          run->invalid = false;
          run->retry_at = now;
        }
      if (run->pause_retry_at != 0 || run->retry_at != 0)
        e->has_pending_work = true;
      if (run->pause_retry_at != 0 && now >= run->pause_retry_at)
        send_pause_request (run);
      if (run->retry_at != 0 && now >= run->retry_at)
        send_resume_request (run, now); /* may finish the run */
    }
  cv_engine_cancel_tick (e, now);
  cv_engine_poll_load (e, now);
}

void
cv_engine_finish_run (cv_run_t *run)
{
  cv_engine_t *e = run->engine;

  if (run->finished)
    return;
  run->finished = true;
  if (e->slots[run->ref.slot] == run)
    e->slots[run->ref.slot] = NULL;
  TAILQ_REMOVE (&e->runs, run, link);
  TAILQ_INSERT_TAIL (&e->finished, run, link);
}

void
cv_engine_declare_lost (cv_engine_t *e, bool may_recover)
{
  cv_run_t *run;

  cv_log (CV_EV_SIDE_ENGINE_LOST, "%s", e->url);
  while ((run = TAILQ_FIRST (&e->runs)) != NULL)
    {
      cv_engine_finish_run (run);
      if (may_recover)
        cv_engine_cancel (e, run->ref.id);
    }
  cv_side_engine_lost (e->core, cv_now ());
}

void
cv_engine_stream_url (const cv_engine_t *e, cv_id_t id, const char *suffix,
                      char url[CV_ENGINE_URL_MAX_BYTES])
{
  char text[CV_ID_TEXT];
  int n = snprintf (url, CV_ENGINE_URL_MAX_BYTES, "%s/v1/streams/%s%s", e->url,
                    cv_id_format (id, text), suffix);

  CV_INVARIANT (n > 0 && n < CV_ENGINE_URL_MAX_BYTES);
}

/* ---- stream requests ---- */

static void
start_run (cv_engine_t *e, const cv_engine_start_t *start)
{
  cv_run_t *run = run_new (e, start->ref);
  char url[CV_ENGINE_URL_MAX_BYTES];
  char *json = encode_start (start);
  cv_http_call_t call = { .method = "POST",
                          .url = url,
                          .content_type = "application/json",
                          .body = cv_slice (json),
                          .at_most_once = true,
                          .data = on_stream_data,
                          .done = on_stream_end,
                          .arg = run };
  int n = snprintf (url, sizeof url, "%s/v1/streams", e->url);

  CV_INVARIANT (n > 0 && (size_t)n < sizeof url);
  run->stream_request = cv_http_start (e->http, &call);
  if (run->stream_request == NULL)
    schedule_resume (run, cv_now ()); /* nothing was sent, so the engine
                                          answers the resume request with 404 */
  free (json);
}

static char *
encode_start (const cv_engine_start_t *start)
{
  json_object *o = json_object_new_object ();
  char id[CV_ID_TEXT];
  char *text;

  json_object_object_add (
      o, "id", json_object_new_string (cv_id_format (start->ref.id, id)));
  json_object_object_add (o, "model", json_object_new_string (start->model));
  json_object_object_add (
      o, "prompt",
      json_object_new_string_len (start->prompt.p, (int)start->prompt.n));
  json_object_object_add (o, "max_tokens",
                          json_object_new_int64 (start->max_tokens));
  json_object_object_add (o, "priority",
                          json_object_new_int64 (start->priority));
  json_object_object_add (o, "offset", json_object_new_int64 (0));
  text = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  CV_INVARIANT (text != NULL);
  json_object_put (o);
  return text;
}

/* Resume the stream at the first token that was not received.  */
static void
send_resume_request (cv_run_t *run, cv_time_t now)
{
  char url[CV_ENGINE_URL_MAX_BYTES];
  char suffix[32];
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .at_most_once = true,
                          .data = on_stream_data,
                          .done = on_stream_end,
                          .arg = run };

  if (run->attempts++ >= RESUMES_MAX)
    {
      cv_engine_cancel (run->engine, run->ref.id);
      cv_engine_fail_run (run);
      return;
    }
  (void)snprintf (suffix, sizeof suffix, "?offset=%u", run->offset);
  cv_engine_stream_url (run->engine, run->ref.id, suffix, url);
  cv_buf_reset (&run->line);
  run->resuming = true;
  run->stream_request = cv_http_start (run->engine->http, &call);
  run->retry_at = 0;
  if (run->stream_request == NULL)
    schedule_resume (run, now + RETRY_DELAY);
}

static void
on_stream_data (void *arg, const char *p, size_t n)
{
  cv_run_t *run = arg;

  if (!run->finished && !run->invalid)
    cv_engine_feed (run, p, n);
}

static void
on_stream_end (void *arg, const cv_http_result_t *result)
{
  cv_run_t *run = arg;

  run->stream_request = NULL;
  if (run->finished)
    return;
  if (result->end == CV_HTTP_NOT_SENT)
    run->engine->poll_at = 0; /* poll at once whether the engine is alive */
  if (!run->resuming && run->offset == 0
      && (result->end == CV_HTTP_NOT_SENT
          || (result->end == CV_HTTP_COMPLETE && result->status != 200)))
    {
      on_start_failed (run, result);
      return;
    }
  if (result->end == CV_HTTP_COMPLETE && result->status == 404)
    {
      /* The engine may have restarted since the last load report; the boot_id
         of the next report shows it.  */
      run->not_found_at = cv_now ();
      run->engine->poll_at = 0;
      return;
    }
  run->invalid = false;
  schedule_resume (run, cv_now () + (run->attempts > 0 ? RETRY_DELAY : 0));
}

static void
schedule_resume (cv_run_t *run, cv_time_t at)
{
  run->retry_at = at;
  run->engine->has_pending_work = true;
}

/* The engine rejected the request to start the stream, or there was no
   connection: no token was generated.  */
static void
on_start_failed (cv_run_t *run, const cv_http_result_t *result)
{
  cv_reject_t reason
      = result->status == 503 ? CV_REJECT_NO_MEMORY : CV_REJECT_ENGINE;

  cv_engine_finish_run (run);
  cv_side_start_failed (run->engine->core, cv_now (), run->ref, reason);
}

void
cv_engine_fail_run (cv_run_t *run)
{
  cv_engine_finish_run (run);
  cv_side_stream_end (run->engine->core, cv_now (), run->ref,
                      CV_END_ENGINE_LOST, run->offset);
}

/* ---- pause and resume ---- */

/* A stream has at most one pause or resume request in flight, so that the last
   command takes effect.  */
static void
set_paused (cv_run_t *run, bool paused)
{
  run->want_paused = paused;
  if (run->pause_request == NULL)
    send_pause_request (run);
}

static void
send_pause_request (cv_run_t *run)
{
  char url[CV_ENGINE_URL_MAX_BYTES];
  cv_http_call_t call = { .method = "POST",
                          .url = url,
                          .timeout_ms = PAUSE_TIMEOUT_MS,
                          .done = on_pause_answer,
                          .arg = run };

  run->pause_retry_at = 0;
  if (run->pause_request != NULL || run->want_paused == run->is_paused)
    return;
  run->requested_paused = run->want_paused;
  cv_engine_stream_url (run->engine, run->ref.id,
                        run->want_paused ? "/pause" : "/run", url);
  run->pause_request = cv_http_start (run->engine->http, &call);
  if (run->pause_request == NULL)
    schedule_pause_retry (run);
}

static void
on_pause_answer (void *arg, const cv_http_result_t *result)
{
  cv_run_t *run = arg;

  run->pause_request = NULL;
  if (run->finished)
    return;
  if (result->end == CV_HTTP_COMPLETE && result->status == 200)
    run->is_paused = run->requested_paused;
  else if (result->end == CV_HTTP_COMPLETE && result->status == 404)
    return; /* the response of STREAM_REQUEST reports the end */
  if (run->want_paused != run->is_paused)
    schedule_pause_retry (run);
}

static void
schedule_pause_retry (cv_run_t *run)
{
  run->pause_retry_at = cv_now () + RETRY_DELAY;
  run->engine->has_pending_work = true;
}

/* ---- runs ---- */

static cv_run_t *
run_new (cv_engine_t *e, cv_stream_ref_t ref)
{
  cv_run_t *run = cv_calloc (1, sizeof *run);

  if (ref.slot >= e->slot_count)
    {
      uint32_t count = e->slot_count == 0 ? SLOTS_INITIAL : e->slot_count;

      while (count <= ref.slot)
        count *= 2;
      e->slots = cv_realloc (e->slots, count * sizeof (cv_run_t *));
      memset (e->slots + e->slot_count, 0,
              (count - e->slot_count) * sizeof (cv_run_t *));
      e->slot_count = count;
    }
  CV_INVARIANT (e->slots[ref.slot] == NULL);
  run->engine = e;
  run->ref = ref;
  cv_buf_init (&run->line);
  e->slots[ref.slot] = run;
  TAILQ_INSERT_TAIL (&e->runs, run, link);
  return run;
}

static void
run_free (cv_run_t *run)
{
  CV_INVARIANT (run->finished);
  TAILQ_REMOVE (&run->engine->finished, run, link);
  cv_http_cancel (run->stream_request);
  cv_http_cancel (run->pause_request);
  cv_buf_finish (&run->line);
  free (run);
}

static void
free_finished (cv_engine_t *e)
{
  cv_run_t *run = TAILQ_FIRST (&e->finished);

  while (run != NULL)
    {
      cv_run_t *next = TAILQ_NEXT (run, link);

      run_free (run);
      run = next;
    }
}

static cv_run_t *
run_find (const cv_engine_t *e, cv_stream_ref_t ref)
{
  cv_run_t *run;

  if (ref.slot >= e->slot_count)
    return NULL;
  run = e->slots[ref.slot];
  if (run == NULL || !cv_id_equal (run->ref.id, ref.id))
    return NULL;
  return run;
}
