/* Client of the model engine: server-sent events of a stream, load reports
   and cancels.  */

#include <stdlib.h>
#include <string.h>

#include "side/engine.h"
#include "side/token_event.h"

#define EVENT_MAX (64 * 1024) /* bytes of one event */
#define POLL_TIMEOUT_MS 1000
/* Without an answer for so long the engine takes no new work, and after the
   second time it counts as dead.  */
#define SILENT_DOWN (3 * CV_SECOND)
#define SILENT_DEAD (10 * CV_SECOND)
#define CANCEL_DELAY (500 * CV_MS)
#define CANCEL_TRIES 60
#define CANCEL_TIMEOUT_MS 2000

static void set_broken (cv_run_t *run);
static void event (cv_run_t *run, const char *p, size_t n);
static void json_event (cv_run_t *run, const char *p, size_t n);
static bool token_event (cv_run_t *run, json_object *o);
static bool take_token (cv_run_t *run, int64_t index, cv_slice_t text);
static bool end_event (cv_run_t *run, json_object *o);
static void on_load (void *arg, const cv_http_result_t *result);
static void take_load (cv_engine_t *e, json_object *o);
static void lose_missing (cv_engine_t *e);
static void set_up (cv_engine_t *e, bool up);
static int64_t get_int (json_object *o, const char *key);
static void on_cancelled (void *arg, const cv_http_result_t *result);

void
cv_engine_feed (cv_run_t *run, const char *p, size_t n)
{
  while (n > 0 && !run->over && !run->broken)
    {
      const char *eol = memchr (p, '\n', n);
      size_t part = eol == NULL ? n : (size_t)(eol - p);

      if (eol != NULL && run->line.n == 0)
        event (run, p, part);
      else
        {
          cv_buf_add (&run->line, p, part);
          if (eol != NULL)
            {
              event (run, run->line.p, run->line.n);
              cv_buf_reset (&run->line);
            }
        }
      if (run->line.n > EVENT_MAX)
        set_broken (run);
      if (eol == NULL)
        return;
      p += part + 1;
      n -= part + 1;
    }
}

/* The next tick opens the body anew.  */
static void
set_broken (cv_run_t *run)
{
  run->broken = true;
  run->engine->pending = true;
}

/* One line of the body.  */
static void
event (cv_run_t *run, const char *p, size_t n)
{
  static const char prefix[] = "data: ";
  uint32_t index;
  cv_slice_t text;

  if (n < sizeof prefix || memcmp (p, prefix, sizeof prefix - 1) != 0)
    return; /* an empty line or a comment */
  p += sizeof prefix - 1;
  n -= sizeof prefix - 1;
  if (!cv_token_event (p, n, &index, &text))
    json_event (run, p, n);
  else if (!take_token (run, index, text))
    set_broken (run);
}

/* An event that is no token, or one of another form than usual.  */
static void
json_event (cv_run_t *run, const char *p, size_t n)
{
  json_object *o;
  bool ok;

  json_tokener_reset (run->engine->tokener);
  o = json_tokener_parse_ex (run->engine->tokener, p, (int)n);
  if (json_object_object_get_ex (o, "t", NULL))
    ok = token_event (run, o);
  else if (json_object_object_get_ex (o, "end", NULL))
    ok = end_event (run, o);
  else
    {
      ok = o != NULL;
      if (json_object_object_get_ex (o, "preempted", NULL) && !run->want_paused)
        cv_side_preempted (run->engine->core, cv_now (), run->ref);
    }
  if (!ok)
    set_broken (run);
  json_object_put (o);
}

static bool
token_event (cv_run_t *run, json_object *o)
{
  int64_t index = get_int (o, "i");
  json_object *text = json_object_object_get (o, "t");
  cv_slice_t slice;

  if (!json_object_is_type (text, json_type_string))
    return false;
  slice.p = json_object_get_string (text);
  slice.n = (size_t)json_object_get_string_len (text);
  return take_token (run, index, slice);
}

/* False when tokens before INDEX are missing.  */
static bool
take_token (cv_run_t *run, int64_t index, cv_slice_t text)
{
  if (index < 0 || index > run->offset)
    return false;
  if (index < run->offset)
    return true; /* sent before the body was cut */
  run->offset++;
  run->tries = 0;
  cv_side_token (run->engine->core, cv_now (), run->ref, (uint32_t)index, text);
  return true;
}

static bool
end_event (cv_run_t *run, json_object *o)
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
  cv_engine_over (run);
  cv_side_stream_end (run->engine->core, cv_now (), run->ref, end,
                      (uint32_t)total);
  return true;
}

/* ---- load ---- */

void
cv_engine_poll (cv_engine_t *e, cv_time_t now)
{
  char url[CV_ENGINE_URL_MAX];
  cv_http_call_t call = { .method = "GET",
                          .url = url,
                          .timeout_ms = POLL_TIMEOUT_MS,
                          .done = on_load,
                          .arg = e };
  int n;

  if (e->up && now - e->answered >= SILENT_DOWN)
    set_up (e, false);
  if (!e->up && e->boot != 0 && now - e->answered >= SILENT_DEAD
      && !TAILQ_EMPTY (&e->runs))
    cv_engine_dead (e, true);
  if (e->poll != NULL || now < e->poll_at)
    return;
  n = snprintf (url, sizeof url, "%s/v1/load", e->url);
  CV_INVARIANT (n > 0 && (size_t)n < sizeof url);
  e->poll_at = now + e->poll_interval;
  e->asked = now;
  e->poll = cv_http_start (e->http, &call);
}

static void
on_load (void *arg, const cv_http_result_t *result)
{
  cv_engine_t *e = arg;
  json_object *o;

  e->poll = NULL;
  if (result->end == CV_HTTP_NOT_SENT)
    {
      /* Nobody listens there any more.  */
      set_up (e, false);
      if (!TAILQ_EMPTY (&e->runs))
        cv_engine_dead (e, false);
      return;
    }
  if (result->end != CV_HTTP_WHOLE || result->status != 200)
    return;
  json_tokener_reset (e->tokener);
  o = json_tokener_parse_ex (e->tokener, result->body.p, (int)result->body.n);
  if (json_object_is_type (o, json_type_object))
    take_load (e, o);
  json_object_put (o);
}

static void
take_load (cv_engine_t *e, json_object *o)
{
  uint64_t boot = (uint64_t)get_int (o, "boot");
  cv_load_t load = { 0 };
  cv_time_t now = cv_now ();

  if (e->boot != 0 && boot != e->boot && !TAILQ_EMPTY (&e->runs))
    cv_engine_dead (e, false);
  if (e->boot != 0 && boot != e->boot)
    cv_side_engine_booted (e->core);
  e->boot = boot;
  e->answered = now;
  lose_missing (e);
  load.running = (uint32_t)get_int (o, "running");
  load.waiting = (uint32_t)get_int (o, "waiting");
  load.kv_used = (uint64_t)get_int (o, "kv_used");
  load.kv_total = (uint64_t)get_int (o, "kv_total");
  load.preemptions = (uint64_t)get_int (o, "preemptions");
  load.token_us = (uint32_t)get_int (o, "token_ms") * 1000;
  load.age_ms = (uint32_t)get_int (o, "age_ms");
  cv_side_engine_load (e->core, now, &load);
  set_up (e, true);
}

/* The engine is the one that had the streams, and no longer knows some.  */
static void
lose_missing (cv_engine_t *e)
{
  cv_run_t *run;
  cv_run_t *next;

  for (run = TAILQ_FIRST (&e->runs); run != NULL; run = next)
    {
      next = TAILQ_NEXT (run, link);
      if (run->missing_at != 0 && run->missing_at <= e->asked)
        cv_engine_lose (run);
    }
}

static void
set_up (cv_engine_t *e, bool up)
{
  if (e->up == up)
    return;
  e->up = up;
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

/* ---- cancels ---- */

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
  char url[CV_ENGINE_URL_MAX];

  for (cancel = TAILQ_FIRST (&e->cancels); cancel != NULL; cancel = next)
    {
      cv_http_call_t call = { .method = "DELETE",
                              .url = url,
                              .timeout_ms = CANCEL_TIMEOUT_MS,
                              .done = on_cancelled,
                              .arg = cancel };

      next = TAILQ_NEXT (cancel, link);
      if (cancel->retry_at == 0 || now < cancel->retry_at)
        continue;
      cancel->retry_at = 0;
      cancel->tries++;
      cv_engine_stream_url (e, cancel->id, "", url);
      cancel->request = cv_http_start (e->http, &call);
      if (cancel->request == NULL)
        cancel->retry_at = now + CANCEL_DELAY;
    }
}

static void
on_cancelled (void *arg, const cv_http_result_t *result)
{
  cv_cancel_t *cancel = arg;

  cancel->request = NULL;
  if (result->end != CV_HTTP_WHOLE && cancel->tries < CANCEL_TRIES)
    {
      cancel->retry_at = cv_now () + CANCEL_DELAY;
      return;
    }
  TAILQ_REMOVE (&cancel->engine->cancels, cancel, link);
  free (cancel);
}
