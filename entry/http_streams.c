/* Endpoints for completions: streamed, not streamed and resumed.  */

#include <string.h>
#include <time.h>

#include "entry/http_internal.h"

/* When no reply has arrived within this time, the response starts with status
   200, and a later failure is sent as an event.  */
#define FIRST_REPLY_TIMEOUT (2 * CV_SECOND)
#define WHOLE_ANSWER_TIMEOUT (3600 * CV_SECOND)

static int respond_completion (cv_http_t *h, const cv_server_request_t *req,
                               cv_server_response_t *resp, bool chat);
static int resume_stream (cv_http_t *h, cv_server_response_t *resp,
                          const char *account, const char *last_id, bool chat);
static int respond_stream (cv_http_t *h, cv_server_response_t *resp,
                           cv_reply_queue_t *replies, bool chat);
static int respond_whole (cv_http_t *h, const cv_server_request_t *req,
                          cv_server_response_t *resp, cv_reply_queue_t *replies,
                          const char *model, bool chat);
static cv_queued_reply_t *collect_tokens (cv_http_t *h,
                                          const cv_server_request_t *req,
                                          cv_reply_queue_t *replies,
                                          cv_buf_t *text, cv_id_t *stream);
static int write_whole (cv_server_response_t *resp,
                        const cv_queued_reply_t *end, const cv_buf_t *text,
                        cv_id_t stream, const char *model, bool chat);

int
cv_http_completions (const cv_server_request_t *req, cv_server_response_t *resp,
                     void *arg)
{
  return respond_completion (arg, req, resp, false);
}

int
cv_http_chat_completions (const cv_server_request_t *req,
                          cv_server_response_t *resp, void *arg)
{
  return respond_completion (arg, req, resp, true);
}

int
cv_http_resume (const cv_server_request_t *req, cv_server_response_t *resp,
                void *arg)
{
  cv_http_t *h = arg;
  const char *last_id = cv_http_header (req, "Last-Event-ID");
  const char *format = u_map_get (req->map_url, "format");
  char account[CV_NAME_MAX];

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate (h, req, resp, account))
    return U_CALLBACK_COMPLETE;
  if (last_id == NULL)
    return cv_http_respond_bad_request (resp,
                                        "the header Last-Event-ID is missing");
  return resume_stream (h, resp, account, last_id,
                        format != NULL && strcmp (format, "chat") == 0);
}

static int
respond_completion (cv_http_t *h, const cv_server_request_t *req,
                    cv_server_response_t *resp, bool chat)
{
  const char *last_id = cv_http_header (req, "Last-Event-ID");
  cv_slice_t body = { .p = req->binary_body, .n = req->binary_body_length };
  cv_stream_spec_t spec = { 0 };
  cv_completion_request_t in;
  cv_reply_queue_t *replies;
  cv_error_t err;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate (h, req, resp, spec.account))
    return U_CALLBACK_COMPLETE;
  if (last_id != NULL)
    return resume_stream (h, resp, spec.account, last_id, chat);
  if (!cv_completion_parse (body, chat, &in, &err))
    {
      cv_buf_finish (&in.prompt);
      return cv_http_respond_bad_request (resp, err.text);
    }
  memcpy (spec.model, in.model, sizeof spec.model);
  memcpy (spec.class_name, in.class_name, sizeof spec.class_name);
  spec.max_tokens = in.max_tokens;
  spec.buffered = !in.stream;
  spec.prompt.p = in.prompt.p;
  spec.prompt.n = in.prompt.n;
  replies = cv_reply_queue_new ();
  cv_entry_link_submit (h->link, replies, &spec);
  cv_buf_finish (&in.prompt);
  if (in.stream)
    return respond_stream (h, resp, replies, chat);
  return respond_whole (h, req, resp, replies, in.model, chat);
}

/* Continues the same generation after the event LAST_ID.  */
static int
resume_stream (cv_http_t *h, cv_server_response_t *resp, const char *account,
               const char *last_id, bool chat)
{
  cv_position_t position;
  cv_reply_queue_t *replies;

  if (!cv_position_parse (&position, cv_slice (last_id))
      || position.offset == UINT32_MAX)
    return cv_http_respond_bad_request (
        resp, "Last-Event-ID names no event of a stream");
  position.offset++;
  replies = cv_reply_queue_new ();
  cv_entry_link_attach (h->link, replies, account, &position);
  return respond_stream (h, resp, replies, chat);
}

static int
respond_stream (cv_http_t *h, cv_server_response_t *resp,
                cv_reply_queue_t *replies, bool chat)
{
  cv_queued_reply_t *first = cv_reply_queue_take (replies, FIRST_REPLY_TIMEOUT);
  int rc;

  if (first == NULL || first->type != CV_REPLY_FAILED)
    return cv_http_respond_sse (h, resp, replies, first, chat);
  rc = cv_http_respond_failed_reply (resp, first);
  cv_queued_reply_free (first);
  cv_reply_queue_unref (replies);
  return rc;
}

static int
respond_whole (cv_http_t *h, const cv_server_request_t *req,
               cv_server_response_t *resp, cv_reply_queue_t *replies,
               const char *model, bool chat)
{
  cv_id_t stream = { 0 };
  cv_buf_t text;
  cv_queued_reply_t *last;
  int rc;

  cv_buf_init (&text);
  last = collect_tokens (h, req, replies, &text, &stream);
  if (last == NULL)
    {
      cv_entry_link_caller_gone (h->link, replies);
      rc = cv_http_respond_failure (resp, CV_FAIL_DEADLINE, 0);
    }
  else if (last->type == CV_REPLY_END)
    rc = write_whole (resp, last, &text, stream, model, chat);
  else
    rc = cv_http_respond_failed_reply (resp, last);
  if (last != NULL)
    cv_queued_reply_free (last);
  cv_reply_queue_unref (replies);
  cv_buf_finish (&text);
  return rc;
}

/* Appends all tokens to TEXT; returns the last reply, or NULL when the caller
   has disconnected or the timeout has passed.  */
static cv_queued_reply_t *
collect_tokens (cv_http_t *h, const cv_server_request_t *req,
                cv_reply_queue_t *replies, cv_buf_t *text, cv_id_t *stream)
{
  cv_queued_reply_t *m;

  while ((m = cv_http_wait_reply (h, req, replies, WHOLE_ANSWER_TIMEOUT))
             != NULL
         && !cv_queued_reply_is_last (m))
    {
      *stream = m->first.stream;
      cv_buf_add (text, m->text, m->text_size);
      cv_queued_reply_free (m);
    }
  return m;
}

static int
write_whole (cv_server_response_t *resp, const cv_queued_reply_t *end,
             const cv_buf_t *text, cv_id_t stream, const char *model, bool chat)
{
  char id[CV_ID_TEXT];
  cv_buf_t body;
  int rc;

  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"id\":\"cmpl-%s\",\"object\":\"%s\",",
                 cv_id_format (stream, id),
                 chat ? "chat.completion" : "text_completion");
  cv_buf_printf (&body, "\"created\":%lld,\"model\":", (long long)time (NULL));
  cv_json_quote (&body, model, strlen (model));
  cv_buf_printf (&body, ",\"choices\":[{\"index\":0,%s",
                 chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                      : "\"text\":");
  cv_json_quote (&body, text->n > 0 ? text->p : "", text->n);
  cv_buf_printf (&body,
                 "%s,\"finish_reason\":\"%s\"}],\"usage\":"
                 "{\"completion_tokens\":%u},\"outcome\":\"done\"}",
                 chat ? "}" : "", end->end == CV_END_LENGTH ? "length" : "stop",
                 end->total);
  rc = cv_http_respond_json (resp, 200, &body);
  cv_buf_finish (&body);
  return rc;
}
