/* Server-sent events of one stream: tokens, end, errors, and keep-alive
   comments that detect a disconnected caller.  */

#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

#define BLOCK_SIZE_BYTES (16 * 1024)
/* Decimal digits of the largest uint32_t.  */
#define UINT32_DIGITS_MAX 10

typedef struct
{
  cv_http_t *http;
  cv_reply_queue_t *replies;
  cv_buf_t out;
  size_t sent;    /* bytes of OUT already passed to the HTTP library */
  cv_id_t stream; /* generation that HEAD and BODY belong to */
  cv_buf_t head;  /* text of each event before the offset */
  cv_buf_t body;  /* text of each event between offset and token */
  bool chat;
  bool ended; /* the last reply is in OUT */
} cv_sse_stream_t;

static ssize_t next_block (void *arg, uint64_t offset, char *block, size_t max);
static void free_stream (void *arg);
static cv_time_t keepalive_interval (const cv_entry_settings_t *s);
static void write_replies (cv_sse_stream_t *s);
static void write_reply (cv_sse_stream_t *s, cv_queued_reply_t *m);
static void write_tokens (cv_sse_stream_t *s, const cv_queued_reply_t *m);
static void prepare_event_text (cv_sse_stream_t *s, const cv_position_t *first);
static void append_number (cv_buf_t *out, uint32_t n);
static void write_end (cv_sse_stream_t *s, const cv_queued_reply_t *m);
static void write_error (cv_sse_stream_t *s, const cv_queued_reply_t *m);

int
cv_http_respond_sse (cv_http_t *h, cv_server_response_t *resp,
                     cv_reply_queue_t *replies, cv_queued_reply_t *first,
                     bool chat)
{
  cv_sse_stream_t *s = cv_calloc (1, sizeof *s);

  s->http = h;
  s->replies = replies;
  s->chat = chat;
  cv_buf_init (&s->out);
  cv_buf_init (&s->head);
  cv_buf_init (&s->body);
  if (first != NULL)
    write_reply (s, first);
  (void)u_map_put (resp->map_header, "Content-Type", "text/event-stream");
  (void)u_map_put (resp->map_header, "Cache-Control", "no-store");
  if (ulfius_set_stream_response (resp, 200, next_block, free_stream,
                                  U_STREAM_SIZE_UNKNOWN, BLOCK_SIZE_BYTES, s)
      == U_OK)
    return U_CALLBACK_COMPLETE;
  free_stream (s);
  return U_CALLBACK_ERROR;
}

static ssize_t
next_block (void *arg, uint64_t offset, char *block, size_t max)
{
  cv_sse_stream_t *s = arg;
  size_t n;

  (void)offset;
  if (s->sent == s->out.n && !s->ended)
    {
      cv_buf_reset (&s->out);
      s->sent = 0;
      write_replies (s);
    }
  n = s->out.n - s->sent;
  if (n == 0)
    return U_STREAM_END;
  if (n > max)
    n = max;
  memcpy (block, s->out.p + s->sent, n);
  s->sent += n;
  return (ssize_t)n;
}

static void
free_stream (void *arg)
{
  cv_sse_stream_t *s = arg;

  if (!s->ended)
    cv_entry_link_caller_gone (s->http->link, s->replies);
  cv_reply_queue_unref (s->replies);
  cv_buf_finish (&s->out);
  cv_buf_finish (&s->head);
  cv_buf_finish (&s->body);
  free (s);
}

/* Interval of the comments.  The HTTP library closes a connection on which
   nothing was written for the idle time, whatever its caller does.  */
static cv_time_t
keepalive_interval (const cv_entry_settings_t *s)
{
  cv_time_t interval = s->keepalive_ms * CV_MS;
  cv_time_t max = s->idle_timeout_s * CV_SECOND / 2;

  return interval < max ? interval : max;
}

/* Waits for one reply, then also writes those already queued.  Writes a comment
   when no reply arrives within the keep-alive interval.  */
static void
write_replies (cv_sse_stream_t *s)
{
  cv_queued_reply_t *m = cv_reply_queue_take (
      s->replies, keepalive_interval (s->http->settings));

  if (m == NULL)
    {
      cv_buf_printf (&s->out, ": waiting\n\n");
      return;
    }
  do
    write_reply (s, m);
  while (!s->ended && s->out.n < BLOCK_SIZE_BYTES
         && (m = cv_reply_queue_take (s->replies, 0)) != NULL);
}

static void
write_reply (cv_sse_stream_t *s, cv_queued_reply_t *m)
{
  s->ended = cv_queued_reply_is_last (m);
  switch (m->type)
    {
    case CV_REPLY_TOKENS:
      write_tokens (s, m);
      break;
    case CV_REPLY_END:
      write_end (s, m);
      break;
    case CV_REPLY_FAILED:
    case CV_REPLY_CALL:
    case CV_REPLY_TICKET:
    case CV_REPLY_GONE:
      write_error (s, m);
      break;
    }
  cv_reply_queue_recycle (s->replies, m);
}

static void
write_tokens (cv_sse_stream_t *s, const cv_queued_reply_t *m)
{
  static const char chat_end[] = "}}]}\n\n";
  static const char text_end[] = "}]}\n\n";
  const char *text = m->text;

  if (s->head.n == 0 || !cv_id_equal (s->stream, m->first.stream))
    prepare_event_text (s, &m->first);
  for (uint32_t i = 0; i < m->count; i++)
    {
      cv_buf_add (&s->out, s->head.p, s->head.n);
      append_number (&s->out, m->first.offset + i);
      cv_buf_add (&s->out, s->body.p, s->body.n);
      cv_json_quote (&s->out, text, m->sizes[i]);
      if (s->chat)
        cv_buf_add (&s->out, chat_end, sizeof chat_end - 1);
      else
        cv_buf_add (&s->out, text_end, sizeof text_end - 1);
      text += m->sizes[i];
    }
}

/* Prepares the text that all events of one generation have in common.  */
static void
prepare_event_text (cv_sse_stream_t *s, const cv_position_t *first)
{
  char id[CV_TICKET_TEXT];
  char stream[CV_ID_TEXT];
  char *offset;

  s->stream = first->stream;
  cv_buf_reset (&s->head);
  cv_buf_reset (&s->body);
  (void)cv_position_format (first, id);
  offset = strrchr (id, '~');
  CV_INVARIANT (offset != NULL);
  cv_buf_printf (&s->head, "id: %.*s", (int)(offset + 1 - id), id);
  cv_buf_printf (&s->body, "\ndata: {\"id\":\"cmpl-%s\",%s",
                 cv_id_format (first->stream, stream),
                 s->chat ? "\"object\":\"chat.completion.chunk\","
                           "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
                         : "\"object\":\"text_completion\","
                           "\"choices\":[{\"index\":0,\"text\":");
}

static void
append_number (cv_buf_t *out, uint32_t n)
{
  char text[UINT32_DIGITS_MAX];
  size_t start = sizeof text;

  do
    {
      text[--start] = (char)('0' + n % 10);
      n /= 10;
    }
  while (n > 0);
  cv_buf_add (out, text + start, sizeof text - start);
}

static void
write_end (cv_sse_stream_t *s, const cv_queued_reply_t *m)
{
  cv_buf_printf (
      &s->out,
      "data: {\"object\":\"%s\",\"choices\":[{\"index\":0,%s,"
      "\"finish_reason\":\"%s\"}],\"usage\":{\"completion_tokens\":%u},"
      "\"outcome\":\"done\"}\n\ndata: [DONE]\n\n",
      s->chat ? "chat.completion.chunk" : "text_completion",
      s->chat ? "\"delta\":{}" : "\"text\":\"\"",
      m->end == CV_END_LENGTH ? "length" : "stop", m->total);
}

static void
write_error (cv_sse_stream_t *s, const cv_queued_reply_t *m)
{
  cv_http_error_t e = cv_http_error_from_reply (m);

  cv_buf_printf (&s->out, "event: error\ndata: ");
  cv_http_error_json (&e, &s->out);
  cv_buf_printf (&s->out, "\n\n");
}
