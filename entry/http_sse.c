/* Server-sent events of one stream: tokens, the end, errors, and comments
   that find out whether the caller is still there.  */

#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

#define BLOCK_SIZE (16 * 1024)

typedef struct
{
  cv_http_t *http;
  cv_caller_t *caller;
  cv_buf_t out;
  size_t sent; /* bytes of OUT that were handed over */
  bool chat;
  bool last; /* the last reply is in OUT */
} cv_sse_t;

static ssize_t next_block (void *arg, uint64_t offset, char *block, size_t max);
static void finish (void *arg);
static void fill (cv_sse_t *s);
static void write_mail (cv_sse_t *s, cv_mail_t *m);
static void write_tokens (cv_sse_t *s, const cv_mail_t *m);
static void write_end (cv_sse_t *s, const cv_mail_t *m);
static void write_error (cv_sse_t *s, const cv_mail_t *m);

int
cv_http_sse (cv_http_t *h, cv_response_t *resp, cv_caller_t *caller,
             cv_mail_t *first, bool chat)
{
  cv_sse_t *s = cv_calloc (1, sizeof *s);

  s->http = h;
  s->caller = caller;
  s->chat = chat;
  cv_buf_init (&s->out);
  if (first != NULL)
    write_mail (s, first);
  (void)u_map_put (resp->map_header, "Content-Type", "text/event-stream");
  (void)u_map_put (resp->map_header, "Cache-Control", "no-store");
  if (ulfius_set_stream_response (resp, 200, next_block, finish,
                                  U_STREAM_SIZE_UNKNOWN, BLOCK_SIZE, s)
      == U_OK)
    return U_CALLBACK_COMPLETE;
  finish (s);
  return U_CALLBACK_ERROR;
}

static ssize_t
next_block (void *arg, uint64_t offset, char *block, size_t max)
{
  cv_sse_t *s = arg;
  size_t n;

  (void)offset;
  if (s->sent == s->out.n && !s->last)
    {
      cv_buf_reset (&s->out);
      s->sent = 0;
      fill (s);
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
finish (void *arg)
{
  cv_sse_t *s = arg;

  if (!s->last)
    cv_entry_link_gone (s->http->link, s->caller);
  cv_caller_unref (s->caller);
  cv_buf_finish (&s->out);
  free (s);
}

/* Wait for one reply or the time of a comment line, and take what else is
 * already there.  */
static void
fill (cv_sse_t *s)
{
  cv_mail_t *m
      = cv_caller_take (s->caller, s->http->settings->keepalive_ms * CV_MS);

  if (m == NULL)
    {
      cv_buf_printf (&s->out, ": waiting\n\n");
      return;
    }
  do
    write_mail (s, m);
  while (!s->last && s->out.n < BLOCK_SIZE
         && (m = cv_caller_take (s->caller, 0)) != NULL);
}

static void
write_mail (cv_sse_t *s, cv_mail_t *m)
{
  s->last = cv_mail_is_last (m);
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
  cv_mail_free (m);
}

static void
write_tokens (cv_sse_t *s, const cv_mail_t *m)
{
  char id[CV_TICKET_TEXT];
  char stream[CV_ID_TEXT];
  cv_position_t position = m->first;
  const char *text = m->text;

  (void)cv_id_format (position.stream, stream);
  for (uint32_t i = 0; i < m->count; i++)
    {
      cv_buf_printf (&s->out, "id: %s\ndata: {\"id\":\"cmpl-%s\",",
                     cv_position_format (&position, id), stream);
      if (s->chat)
        cv_buf_printf (&s->out, "\"object\":\"chat.completion.chunk\","
                                "\"choices\":[{\"index\":0,\"delta\":"
                                "{\"content\":");
      else
        cv_buf_printf (&s->out, "\"object\":\"text_completion\","
                                "\"choices\":[{\"index\":0,\"text\":");
      cv_json_quote (&s->out, text, m->sizes[i]);
      cv_buf_printf (&s->out, s->chat ? "}}]}\n\n" : "}]}\n\n");
      text += m->sizes[i];
      position.offset++;
    }
}

static void
write_end (cv_sse_t *s, const cv_mail_t *m)
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
write_error (cv_sse_t *s, const cv_mail_t *m)
{
  cv_http_error_t e = cv_http_error_of (m);

  cv_buf_printf (&s->out, "event: error\ndata: ");
  cv_http_error_json (&e, &s->out);
  cv_buf_printf (&s->out, "\n\n");
}
