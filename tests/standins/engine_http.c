/* HTTP endpoints of the stand-in engine.  */

#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAMS "/v1/streams"
#define EVENT_MAX_BYTES 160
#define BODY_BLOCK_BYTES 4096 /* size of the library's send buffer */
#define MAX_CACHE_EVENTS 512  /* in one response */
#define DEFAULT_TOKENS 4096

/* An open response body of a stream; a stream may have several.  */
typedef struct
{
  sched_stream_t *stream;
  uint32_t next;      /* index of the next token to send */
  uint32_t preempted; /* preemptions reported */
  uint64_t cuts;      /* value of engine.cuts when the body was opened */
  bool finished;
} body_t;

static int start (const struct _u_request *request,
                  struct _u_response *response, void *data);
static int start_new (json_object *o, struct _u_response *response);
static int resume (const struct _u_request *request,
                   struct _u_response *response, void *data);
static int pause_stream (const struct _u_request *request,
                         struct _u_response *response, void *data);
static int run_stream (const struct _u_request *request,
                       struct _u_response *response, void *data);
static int cancel (const struct _u_request *request,
                   struct _u_response *response, void *data);
static int apply (const struct _u_request *request,
                  struct _u_response *response,
                  void (*change) (sched_t *, sched_stream_t *), int unknown);
static int load (const struct _u_request *request, struct _u_response *response,
                 void *data);
static int cache_events (const struct _u_request *request,
                         struct _u_response *response, void *data);
static int order (const struct _u_request *request,
                  struct _u_response *response, void *data);
static bool record_order (json_object *o, int64_t *fence);
static bool is_id_valid (const char *id);
static int open_body (struct _u_response *response, sched_stream_t *stream,
                      uint32_t offset);
static ssize_t send_events (void *data, uint64_t offset, char *out, size_t max);
static bool is_body_idle (const body_t *body);
static size_t next_event (body_t *body, char *out);
static json_object *audit_stream (const sched_stream_t *stream);

void
engine_add_endpoints (void)
{
  standin_on ("POST", STREAMS, start);
  standin_on ("GET", STREAMS "/:id", resume);
  standin_on ("POST", STREAMS "/:id/pause", pause_stream);
  standin_on ("POST", STREAMS "/:id/run", run_stream);
  standin_on ("DELETE", STREAMS "/:id", cancel);
  standin_on ("GET", "/v1/load", load);
  standin_on ("GET", "/v1/cache_events", cache_events);
  standin_on ("POST", "/v1/orders", order);
}

static int
start (const struct _u_request *request, struct _u_response *response,
       void *data)
{
  json_object *o = standin_body (request);
  const char *id = standin_text (o, "id", NULL);
  int64_t offset = standin_int (o, "offset", 0);
  sched_stream_t *stream;
  int result;

  (void)data;
  if (id == NULL || !is_id_valid (id) || offset < 0 || offset > UINT32_MAX
      || standin_text (o, "prompt", NULL) == NULL)
    {
      json_object_put (o);
      return standin_error (response, 400, "invalid");
    }
  pthread_mutex_lock (&engine.lock);
  stream = sched_find (&engine.sched, id);
  if (offset == 0)
    result = start_new (o, response);
  else if (stream == NULL)
    result = standin_error (response, 409, "unknown_stream");
  else
    result = open_body (response, stream, (uint32_t)offset);
  pthread_mutex_unlock (&engine.lock);
  json_object_put (o);
  return result;
}

/* Submits a new stream.  The caller holds the lock.  */
static int
start_new (json_object *o, struct _u_response *response)
{
  int64_t max_tokens = standin_int (o, "max_tokens", DEFAULT_TOKENS);
  int64_t priority = standin_int (o, "priority", 0);
  sched_stream_t *stream;

  if (max_tokens < 1 || max_tokens > INT32_MAX || priority < INT32_MIN
      || priority > INT32_MAX)
    return standin_error (response, 400, "invalid");
  switch (sched_submit (&engine.sched, standin_text (o, "id", ""),
                        standin_text (o, "prompt", ""), (uint32_t)max_tokens,
                        (int)priority, &stream))
    {
    case SCHED_OK:
      break;
    case SCHED_FULL:
      return standin_error (response, 503, "full");
    case SCHED_EXISTS:
      return standin_error (response, 409, "known_stream");
    case SCHED_TOO_LONG:
      return standin_error (response, 400, "too_long");
    }
  stream->submitted_ms = standin_now_ms ();
  stream->user = malloc (sizeof (pthread_cond_t));
  if (stream->user == NULL)
    abort ();
  pthread_cond_init (stream->user, NULL);
  pthread_cond_signal (&engine.work);
  return open_body (response, stream, 0);
}

static bool
is_id_valid (const char *id)
{
  size_t n = strspn (id, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                         "0123456789_.-");

  return n > 0 && n < SCHED_ID_MAX && id[n] == '\0';
}

/* Opens another body of a stream, from an offset.  A paused stream stays
   paused.  */
static int
resume (const struct _u_request *request, struct _u_response *response,
        void *data)
{
  int64_t offset = standin_query (request, "offset", 0);
  sched_stream_t *stream;
  int result;

  (void)data;
  if (offset < 0 || offset > UINT32_MAX)
    return standin_error (response, 400, "invalid");
  pthread_mutex_lock (&engine.lock);
  stream = sched_find (&engine.sched, u_map_get (request->map_url, "id"));
  if (stream == NULL)
    result = standin_error (response, 404, "unknown_stream");
  else
    result = open_body (response, stream, (uint32_t)offset);
  pthread_mutex_unlock (&engine.lock);
  return result;
}

static int
pause_stream (const struct _u_request *request, struct _u_response *response,
              void *data)
{
  (void)data;
  return apply (request, response, sched_pause, 404);
}

static int
run_stream (const struct _u_request *request, struct _u_response *response,
            void *data)
{
  (void)data;
  return apply (request, response, sched_run, 404);
}

static int
cancel (const struct _u_request *request, struct _u_response *response,
        void *data)
{
  (void)data;
  return apply (request, response, sched_cancel, 200);
}

/* Applies CHANGE to the stream named in the path.  Responds with status UNKNOWN
   if there is none.  */
static int
apply (const struct _u_request *request, struct _u_response *response,
       void (*change) (sched_t *, sched_stream_t *), int unknown)
{
  sched_stream_t *stream;

  pthread_mutex_lock (&engine.lock);
  stream = sched_find (&engine.sched, u_map_get (request->map_url, "id"));
  if (stream != NULL)
    change (&engine.sched, stream);
  pthread_cond_signal (&engine.work);
  pthread_mutex_unlock (&engine.lock);
  if (stream == NULL && unknown != 200)
    return standin_error (response, unknown, "unknown_stream");
  return standin_reply (response, 200, json_object_new_object ());
}

/* ---- response bodies ---- */

static int
open_body (struct _u_response *response, sched_stream_t *stream,
           uint32_t offset)
{
  body_t *body;

  if (offset > stream->produced)
    return standin_error (response, 409, "offset_ahead");
  body = calloc (1, sizeof *body);
  if (body == NULL)
    abort ();
  *body = (body_t){ .stream = stream,
                    .next = offset,
                    .preempted = stream->preempted,
                    .cuts = engine.cuts };
  /* The body of a paused stream gets a "preempted" event after its tokens.  */
  if (stream->state == SCHED_PAUSED)
    body->preempted--;
  u_map_put (response->map_header, "Content-Type", "text/event-stream");
  ulfius_set_stream_response (response, 200, send_events, free,
                              U_STREAM_SIZE_UNKNOWN, BODY_BLOCK_BYTES, body);
  return U_CALLBACK_COMPLETE;
}

/* Waits until there are events to send, then writes as many as fit.  */
static ssize_t
send_events (void *data, uint64_t offset, char *out, size_t max)
{
  body_t *body = data;
  size_t n = 0;

  (void)offset;
  if (body->finished)
    return U_STREAM_END;
  pthread_mutex_lock (&engine.lock);
  while (body->cuts == engine.cuts
         && (is_body_idle (body) || standin_is_stalled ()))
    pthread_cond_wait (body->stream->user, &engine.lock);
  if (body->cuts != engine.cuts)
    {
      pthread_mutex_unlock (&engine.lock);
      return U_STREAM_ERROR;
    }
  while (!body->finished && !is_body_idle (body) && max - n >= EVENT_MAX_BYTES)
    n += next_event (body, out + n);
  pthread_mutex_unlock (&engine.lock);
  return (ssize_t)n;
}

static bool
is_body_idle (const body_t *body)
{
  const sched_stream_t *stream = body->stream;

  return body->next >= stream->produced && body->preempted == stream->preempted
         && stream->state != SCHED_ENDED;
}

/* Writes the next event of the body to OUT, which holds EVENT_MAX_BYTES.  */
static size_t
next_event (body_t *body, char *out)
{
  sched_stream_t *stream = body->stream;
  char text[SCHED_TEXT_MAX];
  uint32_t tokens_due = stream->produced;
  int n;

  if (body->preempted != stream->preempted)
    tokens_due = stream->preempted_at;
  if (body->next < tokens_due)
    {
      sched_token_text (text, engine.boot, stream->id, body->next);
      n = snprintf (out, EVENT_MAX_BYTES, "data: {\"i\":%u,\"t\":\"%s\"}\n\n",
                    body->next, text);
      body->next++;
      if (body->next > stream->sent)
        stream->sent = body->next;
    }
  else if (body->preempted != stream->preempted)
    {
      body->preempted = stream->preempted;
      n = snprintf (out, EVENT_MAX_BYTES, "data: {\"preempted\":1}\n\n");
    }
  else
    {
      body->finished = true;
      n = snprintf (out, EVENT_MAX_BYTES, "data: {\"end\":\"%s\",\"n\":%u}\n\n",
                    sched_end_name (stream->end), stream->produced);
    }
  return (size_t)n;
}

/* ---- reports and orders ---- */

static int
load (const struct _u_request *request, struct _u_response *response,
      void *data)
{
  json_object *o = json_object_new_object ();
  sched_load_t report = { 0 };
  int64_t now = engine_now_us ();

  (void)request;
  (void)data;
  pthread_mutex_lock (&engine.lock);
  /* Until the first snapshot is old enough, the report has age 0.  */
  if (!sched_load (&engine.sched, now, &report))
    report.at_us = now;
  pthread_mutex_unlock (&engine.lock);
  standin_set_int (o, "boot", (int64_t)engine.boot);
  standin_set_int (o, "running", report.running);
  standin_set_int (o, "waiting", report.waiting);
  standin_set_int (o, "kv_used", (int64_t)report.kv_used);
  standin_set_int (o, "kv_total", (int64_t)engine.sched.config.kv_tokens);
  standin_set_int (o, "preemptions", (int64_t)report.preemptions);
  standin_set_int (o, "batch", engine.sched.config.batch);
  standin_set_int (o, "token_ms", report.iteration_us / 1000);
  standin_set_int (o, "age_ms", (now - report.at_us) / 1000);
  return standin_reply (response, 200, o);
}

static int
cache_events (const struct _u_request *request, struct _u_response *response,
              void *data)
{
  static prefix_event_t events[MAX_CACHE_EVENTS]; /* protected by the lock */
  json_object *o = json_object_new_object ();
  json_object *array = json_object_new_array ();
  uint64_t since = (uint64_t)standin_query (request, "since", 0);
  uint64_t next;
  size_t n, i;

  (void)data;
  pthread_mutex_lock (&engine.lock);
  n = prefix_cache_read (&engine.sched.cache, since,
                         engine_now_us () - engine.event_lag_us, events,
                         MAX_CACHE_EVENTS, &next);
  for (i = 0; i < n; i++)
    {
      json_object *item = json_object_new_object ();
      char prefix[17];

      snprintf (prefix, sizeof prefix, "%016llx",
                (unsigned long long)events[i].prefix);
      standin_set_int (item, "seq", (int64_t)events[i].seq);
      standin_set_text (item, "kind", events[i].add ? "add" : "drop");
      standin_set_text (item, "prefix", prefix);
      json_object_array_add (array, item);
    }
  pthread_mutex_unlock (&engine.lock);
  standin_set_int (o, "next", (int64_t)next);
  json_object_object_add (o, "events", array);
  return standin_reply (response, 200, o);
}

static int
order (const struct _u_request *request, struct _u_response *response,
       void *data)
{
  json_object *o = standin_body (request);
  json_object *reply, *error;
  int64_t fence;
  bool accepted;

  (void)data;
  if (standin_int (o, "fence", -1) < 0 || !standin_text (o, "kind", NULL))
    {
      json_object_put (o);
      return standin_error (response, 400, "invalid");
    }
  accepted = record_order (o, &fence);
  json_object_put (o);
  reply = json_object_new_object ();
  if (accepted)
    return standin_reply (response, 200, reply);
  error = json_object_new_object ();
  standin_set_text (error, "code", "stale_fence");
  standin_set_int (error, "fence", fence);
  json_object_object_add (reply, "error", error);
  return standin_reply (response, 409, reply);
}

/* Records the order and returns whether it is accepted.  FENCE is set to the
   greatest fence of any order so far.  */
static bool
record_order (json_object *o, int64_t *fence)
{
  engine_order_t new = { .fence = standin_int (o, "fence", 0) };

  snprintf (new.kind, sizeof new.kind, "%s", standin_text (o, "kind", ""));
  snprintf (new.model, sizeof new.model, "%s", standin_text (o, "model", ""));
  pthread_mutex_lock (&engine.lock);
  new.accepted = !engine.check_fence || new.fence >= engine.fence;
  if (new.fence > engine.fence)
    engine.fence = new.fence;
  *fence = engine.fence;
  engine.orders
      = realloc (engine.orders, (engine.n_orders + 1) * sizeof *engine.orders);
  if (engine.orders == NULL)
    abort ();
  engine.orders[engine.n_orders++] = new;
  pthread_mutex_unlock (&engine.lock);
  return new.accepted;
}

json_object *
engine_audit (void)
{
  json_object *o = json_object_new_object ();
  json_object *streams = json_object_new_array ();
  json_object *orders = json_object_new_array ();
  const sched_stream_t *stream;
  size_t i;

  pthread_mutex_lock (&engine.lock);
  TAILQ_FOREACH (stream, &engine.sched.streams, all)
  json_object_array_add (streams, audit_stream (stream));
  for (i = 0; i < engine.n_orders; i++)
    {
      json_object *item = json_object_new_object ();

      standin_set_int (item, "fence", engine.orders[i].fence);
      standin_set_text (item, "kind", engine.orders[i].kind);
      standin_set_text (item, "model", engine.orders[i].model);
      json_object_object_add (
          item, "accepted",
          json_object_new_boolean (engine.orders[i].accepted));
      json_object_array_add (orders, item);
    }
  pthread_mutex_unlock (&engine.lock);
  standin_set_int (o, "boot", (int64_t)engine.boot);
  json_object_object_add (o, "streams", streams);
  json_object_object_add (o, "orders", orders);
  return o;
}

static json_object *
audit_stream (const sched_stream_t *stream)
{
  json_object *o = json_object_new_object ();
  char hash[17];

  snprintf (hash, sizeof hash, "%016llx",
            (unsigned long long)stream->prompt_hash);
  standin_set_text (o, "id", stream->id);
  standin_set_text (o, "prompt_hash", hash);
  standin_set_text (o, "prompt_head", stream->prompt_head);
  standin_set_int (o, "at_ms", stream->submitted_ms);
  standin_set_int (o, "produced", stream->produced);
  standin_set_int (o, "sent", stream->sent);
  json_object_object_add (
      o, "cancelled",
      json_object_new_boolean (stream->end == SCHED_END_CANCELLED));
  standin_set_text (o, "ended", sched_end_name (stream->end));
  standin_set_int (o, "preempted", stream->preempted);
  return o;
}
