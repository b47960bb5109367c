/* Requests of a load: streams, checked event by event, and bookings.  */

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <ulfius.h>

#include "catkinctl/load.h"

#define LINE_MAX_BYTES 8192
#define RAW_MAX_BYTES 4096
#define ID_TEXT 256
#define URL_TEXT 512
#define STALL_THRESHOLD CV_SECOND
#define STATUS_OK 200

/* Reader of one event stream.  */
typedef struct
{
  cv_load_t *load;
  cv_load_stats_t *stats;
  cv_load_result_t *result;
  cv_buf_t line;
  cv_buf_t raw; /* start of the body: holds an error response */
  char generation[ID_TEXT];
  char id[ID_TEXT];     /* of the current event, or "" */
  cv_time_t last_token; /* time of the last token; before the first, the start
                           of the request */
  int64_t reported_tokens; /* completion_tokens of the usage event, or -1 */
  bool is_error;
  bool finished; /* [DONE] was received */
} stream_reader_t;

static void parse_line (stream_reader_t *r, char *line);
static void handle_data (stream_reader_t *r, const char *data);
static void handle_token (stream_reader_t *r);
static void handle_usage (stream_reader_t *r, const char *data);
static void report_violation (stream_reader_t *r, const char *what);

static const char *const outcome_names[]
    = { "done", "refused", "not_run", "unknown", "interrupted" };

cv_load_outcome_t
cv_load_parse_outcome (const char *name)
{
  int i;

  for (i = 0; i < CV_LOAD_CUT; i++)
    if (strcmp (name, outcome_names[i]) == 0)
      return (cv_load_outcome_t)i;
  return CV_LOAD_CUT;
}

void
cv_load_parse_error (const char *body, cv_load_result_t *r)
{
  struct json_object *tree = json_tokener_parse (body);
  struct json_object *error = NULL;
  struct json_object *value;

  r->outcome = CV_LOAD_CUT;
  if (json_object_object_get_ex (tree, "error", &error))
    {
      if (json_object_object_get_ex (error, "code", &value))
        (void)cv_copy (r->reason, sizeof r->reason,
                       json_object_get_string (value));
      if (json_object_object_get_ex (error, "outcome", &value))
        r->outcome = cv_load_parse_outcome (json_object_get_string (value));
      if (json_object_object_get_ex (error, "retry_after_ms", &value))
        r->retry_after_ms = (uint32_t)json_object_get_int (value);
    }
  json_object_put (tree);
}

/* ---- streams ---- */

/* Write callback of libcurl.  */
static size_t
receive_chunk (void *data, size_t size, size_t count, void *arg)
{
  stream_reader_t *r = arg;
  const char *p = data;
  size_t n = size * count;
  size_t i;

  if (r->raw.n < RAW_MAX_BYTES)
    cv_buf_add (&r->raw, p,
                n < RAW_MAX_BYTES - r->raw.n ? n : RAW_MAX_BYTES - r->raw.n);
  for (i = 0; i < n; i++)
    {
      if (p[i] != '\n')
        {
          if (r->line.n >= LINE_MAX_BYTES)
            return 0; /* aborts the transfer */
          cv_buf_add (&r->line, p + i, 1);
          continue;
        }
      (void)cv_buf_text (&r->line);
      parse_line (r, r->line.p);
      cv_buf_reset (&r->line);
    }
  return n;
}

static void
parse_line (stream_reader_t *r, char *line)
{
  line[strcspn (line, "\r")] = '\0';
  if (line[0] == '\0')
    {
      r->id[0] = '\0';
      r->is_error = false;
    }
  else if (strncmp (line, "id: ", 4) == 0)
    (void)cv_copy (r->id, sizeof r->id, line + 4);
  else if (strcmp (line, "event: error") == 0)
    r->is_error = true;
  else if (strncmp (line, "data: ", 6) == 0)
    handle_data (r, line + 6);
}

static void
handle_data (stream_reader_t *r, const char *data)
{
  if (strcmp (data, "[DONE]") == 0)
    r->finished = true;
  else if (r->is_error)
    cv_load_parse_error (data, r->result);
  else if (r->id[0] != '\0')
    handle_token (r);
  else
    handle_usage (r, data);
}

/* An event id is a position, TARGET~INCARNATION~STREAM~OFFSET; the part before
   the offset identifies the generation.  All events of a response have the same
   generation, and offsets count up from 0.  */
static void
handle_token (stream_reader_t *r)
{
  cv_time_t now = cv_now ();
  cv_time_t gap = now - r->last_token;
  char *offset = strrchr (r->id, '~');

  r->last_token = now;
  if (offset == NULL)
    {
      report_violation (r, "an event id has no offset");
      return;
    }
  *offset++ = '\0';
  if (r->result->tokens == 0)
    (void)cv_copy (r->generation, sizeof r->generation, r->id);
  if (strcmp (r->generation, r->id) != 0)
    report_violation (r, "tokens of two generations in one answer");
  if (strtoull (offset, NULL, 10) != r->result->tokens)
    report_violation (r, "the offset of an event is not the next one");
  (void)pthread_mutex_lock (&r->load->lock);
  cv_hist_add (r->result->tokens == 0 ? &r->stats->first_token : &r->stats->gap,
               (double)gap / (double)CV_SECOND);
  (void)pthread_mutex_unlock (&r->load->lock);
  if (r->result->tokens > 0 && gap > STALL_THRESHOLD)
    r->result->stall_time += gap - STALL_THRESHOLD;
  r->result->tokens++;
}

static void
handle_usage (stream_reader_t *r, const char *data)
{
  struct json_object *tree = json_tokener_parse (data);
  struct json_object *usage = NULL;
  struct json_object *value;

  if (json_object_object_get_ex (tree, "usage", &usage)
      && json_object_object_get_ex (usage, "completion_tokens", &value))
    r->reported_tokens = json_object_get_int64 (value);
  if (json_object_object_get_ex (tree, "outcome", &value))
    r->result->outcome = cv_load_parse_outcome (json_object_get_string (value));
  json_object_put (tree);
}

static void
report_violation (stream_reader_t *r, const char *what)
{
  if (r->result->violation[0] == '\0')
    (void)cv_copy (r->result->violation, sizeof r->result->violation, what);
}

/* A complete stream ends with [DONE] and has as many tokens as its usage event
   says.  */
static void
check_stream (stream_reader_t *r, bool answered, int status)
{
  cv_load_outcome_t reported = r->result->outcome;

  if (answered && status != STATUS_OK)
    cv_load_parse_error (cv_buf_text (&r->raw), r->result);
  else if (reported == CV_LOAD_DONE && (!answered || !r->finished))
    r->result->outcome = CV_LOAD_CUT;
  else if (r->finished && r->reported_tokens != (int64_t)r->result->tokens)
    report_violation (r, "completion_tokens differs from the tokens received");
}

static void
write_request (const cv_load_t *l, cv_load_kind_t kind, uint32_t number,
               cv_buf_t *out)
{
  const cv_ctl_t *ctl = l->ctl;
  bool is_tag = kind == CV_LOAD_TAG;

  cv_buf_printf (out, "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%u",
                 ctl->model, is_tag ? ctl->tag_tokens : ctl->summary_tokens);
  if ((is_tag ? ctl->tag_class : ctl->summary_class) != NULL)
    cv_buf_printf (out, ",\"class\":\"%s\"",
                   is_tag ? ctl->tag_class : ctl->summary_class);
  cv_buf_printf (out, ",\"prompt\":\"%s, %u of run %u\"}",
                 is_tag ? "Tag of one camera zone"
                        : "Summary of the weekend's footfall, arcade by arcade",
                 number, ctl->seed);
}

void
cv_load_run_stream (cv_load_t *l, cv_load_kind_t kind, uint32_t number,
                    cv_load_result_t *result)
{
  stream_reader_t r = { .load = l,
                        .stats = &l->stats[kind],
                        .result = result,
                        .last_token = cv_now (),
                        .reported_tokens = -1 };
  struct _u_request req;
  struct _u_response resp;
  cv_buf_t body;
  int status = 0;
  bool answered = false;

  result->outcome = CV_LOAD_CUT;
  cv_buf_init (&r.line);
  cv_buf_init (&r.raw);
  cv_buf_init (&body);
  write_request (l, kind, number, &body);
  if (cv_ctl_request (l->ctl, "POST", "/v1/completions", cv_buf_text (&body),
                      body.n, &req))
    {
      if (ulfius_init_response (&resp) == U_OK)
        {
          answered = ulfius_send_http_streaming_request (&req, &resp,
                                                         receive_chunk, &r)
                     == U_OK;
          status = (int)resp.status;
          ulfius_clean_response (&resp);
        }
      ulfius_clean_request (&req);
    }
  check_stream (&r, answered, status);
  cv_buf_finish (&body);
  cv_buf_finish (&r.line);
  cv_buf_finish (&r.raw);
}

/* ---- bookings ---- */

static bool
request_ticket (const cv_ctl_t *ctl, char *ticket, size_t size,
                cv_load_result_t *r)
{
  struct json_object *tree;
  struct json_object *value = NULL;
  cv_response_t a;
  cv_buf_t body;
  bool ok = false;

  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"pool\":\"%s\"}", ctl->pool);
  cv_ctl_call (ctl, "POST", "/v1/tickets", cv_buf_text (&body), body.n, &a);
  if (a.connected && a.status == STATUS_OK)
    {
      tree = json_tokener_parse (cv_buf_text (&a.body));
      ok = json_object_object_get_ex (tree, "ticket", &value)
           && cv_copy (ticket, size, json_object_get_string (value));
      json_object_put (tree);
    }
  else if (a.connected)
    cv_load_parse_error (cv_buf_text (&a.body), r);
  cv_response_finish (&a);
  cv_buf_finish (&body);
  return ok;
}

void
cv_load_run_booking (cv_load_t *l, uint32_t number, cv_load_result_t *r)
{
  cv_ctl_t ctl = *l->ctl;
  char ticket[ID_TEXT];
  char path[URL_TEXT];
  cv_response_t first;
  cv_response_t repeat;

  r->outcome = CV_LOAD_CUT;
  if (!request_ticket (&ctl, ticket, sizeof ticket, r))
    return;
  ctl.ticket = ticket;
  (void)snprintf (path, sizeof path, "/svc/%s/bookings?slot=%u", ctl.pool,
                  number);
  cv_ctl_call (&ctl, "POST", path, "{}", 2, &first);
  cv_ctl_call (&ctl, "POST", path, "{}", 2, &repeat);
  if (repeat.connected && strcmp (repeat.outcome, "done") == 0)
    {
      r->outcome = CV_LOAD_DONE;
      if (strcmp (first.outcome, "done") == 0
          && (!repeat.replayed || first.body.n != repeat.body.n
              || memcmp (first.body.p, repeat.body.p, first.body.n) != 0))
        (void)cv_copy (
            r->violation, sizeof r->violation,
            "the repeat of a booking did not return the first result");
    }
  else if (repeat.connected)
    cv_load_parse_error (cv_buf_text (&repeat.body), r);
  cv_response_finish (&first);
  cv_response_finish (&repeat);
}
