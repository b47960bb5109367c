/* Client of the model engine: streams and their orders.  */

#include <stdlib.h>
#include <string.h>

#include "side/engine.h"

#define RETRY_DELAY (100 * CV_MS)
#define RETRIES_MAX 20 /* openings of one body without a token */
#define ORDER_TIMEOUT_MS 2000
#define SLOTS_FIRST 64
#define TICK_GAP (1 * CV_SECOND)

static void start (cv_engine_t *e, const cv_engine_start_t *order);
static char *start_json (const cv_engine_start_t *order);
static void open_again (cv_run_t *run, cv_time_t now);
static void open_at (cv_run_t *run, cv_time_t at);
static void on_data (void *arg, const char *p, size_t n);
static void on_body_end (void *arg, const cv_http_result_t *result);
static void start_failed (cv_run_t *run, const cv_http_result_t *result);
static void want (cv_run_t *run, bool paused);
static void send_order (cv_run_t *run);
static void repeat_order (cv_run_t *run);
static void on_order_end (void *arg, const cv_http_result_t *result);
static cv_run_t *run_new (cv_engine_t *e, cv_stream_ref_t ref);
static void run_free (cv_run_t *run);
static void free_over (cv_engine_t *e);
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
  TAILQ_INIT (&e->over);
  TAILQ_INIT (&e->cancels);
}

void
cv_engine_finish (cv_engine_t *e)
{
  cv_run_t *run;
  cv_cancel_t *cancel;

  while ((run = TAILQ_FIRST (&e->runs)) != NULL)
    cv_engine_over (run);
  free_over (e);
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
cv_engine_take (cv_engine_t *e, const cv_side_out_t *out)
{
  cv_run_t *run;

  if (out->type == CV_OUT_ENGINE_START)
    {
      start (e, &out->u.start);
      return;
    }
  run = run_find (e, out->u.stream);
  if (run == NULL)
    return; /* its end is on the way */
  switch (out->type)
    {
    case CV_OUT_ENGINE_PAUSE:
      want (run, true);
      break;
    case CV_OUT_ENGINE_RUN:
      want (run, false);
      break;
    case CV_OUT_ENGINE_CANCEL:
      cv_engine_over (run);
      cv_engine_cancel (e, run->ref.id);
      break;
    case CV_OUT_ENGINE_START:
    case CV_OUT_SEND:
    case CV_OUT_FORGET_PEER:
    case CV_OUT_SERVICE_CALL:
    case CV_OUT_FETCH:
    case CV_OUT_ORDER:
      break;
    }
}

void
cv_engine_tick (cv_engine_t *e, cv_time_t now)
{
  cv_run_t *run;
  cv_run_t *next;

  bool look = e->pending;

  /* While this process itself stood still nobody was silent.  */
  if (e->ticked != 0 && now - e->ticked >= TICK_GAP)
    e->answered += now - e->ticked;
  e->ticked = now;
  free_over (e);
  e->pending = false;
  for (run = TAILQ_FIRST (&e->runs); look && run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->broken)
        {
          cv_http_cancel (run->body);
          run->body = NULL;
          run->broken = false;
          run->retry_at = now;
        }
      if (run->order_at != 0 || run->retry_at != 0)
        e->pending = true;
      if (run->order_at != 0 && now >= run->order_at)
        send_order (run);
      if (run->retry_at != 0 && now >= run->retry_at)
        open_again (run, now); /* may free the run */
    }
  cv_engine_cancel_tick (e, now);
  cv_engine_poll (e, now);
}

void
cv_engine_over (cv_run_t *run)
{
  cv_engine_t *e = run->engine;

  if (run->over)
    return;
  run->over = true;
  if (e->slots[run->ref.slot] == run)
    e->slots[run->ref.slot] = NULL;
  TAILQ_REMOVE (&e->runs, run, link);
  TAILQ_INSERT_TAIL (&e->over, run, link);
}

void
cv_engine_dead (cv_engine_t *e, bool may_return)
{
  cv_run_t *run;

  cv_log (CV_EV_SIDE_ENGINE_LOST, "%s", e->url);
  while ((run = TAILQ_FIRST (&e->runs)) != NULL)
    {
      cv_engine_over (run);
      if (may_return)
        cv_engine_cancel (e, run->ref.id);
    }
  cv_side_engine_lost (e->core, cv_now ());
}

void
cv_engine_stream_url (const cv_engine_t *e, cv_id_t id, const char *suffix,
                      char url[CV_ENGINE_URL_MAX])
{
  char text[CV_ID_TEXT];
  int n = snprintf (url, CV_ENGINE_URL_MAX, "%s/v1/streams/%s%s", e->url,
                    cv_id_format (id, text), suffix);

  CV_INVARIANT (n > 0 && n < CV_ENGINE_URL_MAX);
}

/* ---- bodies ---- */

static void
start (cv_engine_t *e, const cv_engine_start_t *order)
{
  cv_run_t *run = run_new (e, order->ref);
  char url[CV_ENGINE_URL_MAX];
  char *json = start_json (order);
  cv_http_call_t call = { .method = "POST",
                          .url = url,
                          .content_type = "application/json",
                          .body = cv_slice (json),
                          .once = true,
                          .data = on_data,
                          .done = on_body_end,
                          .arg = run };
  int n = snprintf (url, sizeof url, "%s/v1/streams", e->url);

  CV_INVARIANT (n > 0 && (size_t)n < sizeof url);
  run->body = cv_http_start (e->http, &call);
  if (run->body == NULL)
    open_at (run, cv_now ()); /* the resume will find nothing there */
  free (json);
}

static char *
start_json (const cv_engine_start_t *order)
{
  json_object *o = json_object_new_object ();
  char id[CV_ID_TEXT];
  char *text;

  json_object_object_add (
      o, "id", json_object_new_string (cv_id_format (order->ref.id, id)));
  json_object_object_add (o, "model", json_object_new_string (order->model));
  json_object_object_add (
      o, "prompt",
      json_object_new_string_len (order->prompt.p, (int)order->prompt.n));
  json_object_object_add (o, "max_tokens",
                          json_object_new_int64 (order->max_tokens));
  json_object_object_add (o, "priority",
                          json_object_new_int64 (order->priority));
  json_object_object_add (o, "offset", json_object_new_int64 (0));
  text = strdup (json_object_to_json_string_ext (o, JSON_C_TO_STRING_PLAIN));
  CV_INVARIANT (text != NULL);
  json_object_put (o);
  return text;
}

/* Read the stream's body on from where it was cut.  */
static void
open_again (cv_run_t *run, cv_time_t now)
{
  char url[CV_ENGINE_URL_MAX];
  char suffix[32];
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .once = true,
                          .data = on_data,
                          .done = on_body_end,
                          .arg = run };

  if (run->tries++ >= RETRIES_MAX)
    {
      cv_engine_cancel (run->engine, run->ref.id);
      cv_engine_lose (run);
      return;
    }
  (void)snprintf (suffix, sizeof suffix, "?offset=%u", run->offset);
  cv_engine_stream_url (run->engine, run->ref.id, suffix, url);
  cv_buf_reset (&run->line);
  run->resuming = true;
  run->body = cv_http_start (run->engine->http, &call);
  run->retry_at = 0;
  if (run->body == NULL)
    open_at (run, now + RETRY_DELAY);
}

static void
on_data (void *arg, const char *p, size_t n)
{
  cv_run_t *run = arg;

  if (!run->over && !run->broken)
    cv_engine_feed (run, p, n);
}

static void
on_body_end (void *arg, const cv_http_result_t *result)
{
  cv_run_t *run = arg;

  run->body = NULL;
  if (run->over)
    return;
  if (result->end == CV_HTTP_NOT_SENT)
    run->engine->poll_at = 0; /* find out at once whether it died */
  if (!run->resuming && run->offset == 0
      && (result->end == CV_HTTP_NOT_SENT
          || (result->end == CV_HTTP_WHOLE && result->status != 200)))
    {
      start_failed (run, result);
      return;
    }
  if (result->end == CV_HTTP_WHOLE && result->status == 404)
    {
      /* Another boot may have come up unseen; its load report tells.  */
      run->missing_at = cv_now ();
      run->engine->poll_at = 0;
      return;
    }
  run->broken = false;
  open_at (run, cv_now () + (run->tries > 0 ? RETRY_DELAY : 0));
}

static void
open_at (cv_run_t *run, cv_time_t at)
{
  run->retry_at = at;
  run->engine->pending = true;
}

/* The engine did not take the stream: nothing was run.  */
static void
start_failed (cv_run_t *run, const cv_http_result_t *result)
{
  cv_reject_t reason
      = result->status == 503 ? CV_REJECT_FULL : CV_REJECT_ENGINE;

  cv_engine_over (run);
  cv_side_engine_refused (run->engine->core, cv_now (), run->ref, reason);
}

void
cv_engine_lose (cv_run_t *run)
{
  cv_engine_over (run);
  cv_side_stream_end (run->engine->core, cv_now (), run->ref,
                      CV_END_ENGINE_LOST, run->offset);
}

/* ---- pause and run ---- */

/* Orders of one stream go one after the other, so that the last one wins.  */
static void
want (cv_run_t *run, bool paused)
{
  run->want_paused = paused;
  if (run->order == NULL)
    send_order (run);
}

static void
send_order (cv_run_t *run)
{
  char url[CV_ENGINE_URL_MAX];
  cv_http_call_t call = { .method = "POST",
                          .url = url,
                          .timeout_ms = ORDER_TIMEOUT_MS,
                          .done = on_order_end,
                          .arg = run };

  run->order_at = 0;
  if (run->order != NULL || run->want_paused == run->is_paused)
    return;
  run->sent_paused = run->want_paused;
  cv_engine_stream_url (run->engine, run->ref.id,
                        run->want_paused ? "/pause" : "/run", url);
  run->order = cv_http_start (run->engine->http, &call);
  if (run->order == NULL)
    repeat_order (run);
}

static void
on_order_end (void *arg, const cv_http_result_t *result)
{
  cv_run_t *run = arg;

  run->order = NULL;
  if (run->over)
    return;
  if (result->end == CV_HTTP_WHOLE && result->status == 200)
    run->is_paused = run->sent_paused;
  else if (result->end == CV_HTTP_WHOLE && result->status == 404)
    return; /* the body tells the rest */
  if (run->want_paused != run->is_paused)
    repeat_order (run);
}

static void
repeat_order (cv_run_t *run)
{
  run->order_at = cv_now () + RETRY_DELAY;
  run->engine->pending = true;
}

/* ---- records ---- */

static cv_run_t *
run_new (cv_engine_t *e, cv_stream_ref_t ref)
{
  cv_run_t *run = cv_calloc (1, sizeof *run);

  if (ref.slot >= e->slot_count)
    {
      uint32_t count = e->slot_count == 0 ? SLOTS_FIRST : e->slot_count;

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
  CV_INVARIANT (run->over);
  TAILQ_REMOVE (&run->engine->over, run, link);
  cv_http_cancel (run->body);
  cv_http_cancel (run->order);
  cv_buf_finish (&run->line);
  free (run);
}

static void
free_over (cv_engine_t *e)
{
  cv_run_t *run = TAILQ_FIRST (&e->over);

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
