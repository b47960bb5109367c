/* Pull parser of HTTP/1.1 messages, based on http-parser.  */

#include <ctype.h>
#include <string.h>
#include <strings.h>

#include "http/reader.h"

/* Colon, space and line end of a field; counted for each piece of a name that
   arrives split.  */
#define FIELD_OVERHEAD_BYTES 4
#define STATUS_DIGITS 3

/* Fields of a single connection (RFC 9110, 7.6.1) and of the framing of a
   message, which are not forwarded.  */
static const char *const connection_fields[]
    = { "Connection",       "Keep-Alive", "Transfer-Encoding", "TE", "Trailer",
        "Proxy-Connection", "Upgrade",    "Content-Length",    NULL };

static int on_url (http_parser *p, const char *at, size_t n);
static int on_field (http_parser *p, const char *at, size_t n);
static int on_value (http_parser *p, const char *at, size_t n);
static int on_head (http_parser *p);
static int on_chunk (http_parser *p);
static int on_body (http_parser *p, const char *at, size_t n);
static int on_done (http_parser *p);

static const http_parser_settings callbacks
    = { .on_url = on_url,
        .on_header_field = on_field,
        .on_header_value = on_value,
        .on_headers_complete = on_head,
        .on_chunk_header = on_chunk,
        .on_body = on_body,
        .on_message_complete = on_done };

void
cv_http_reader_init (cv_http_reader_t *r, enum http_parser_type type,
                     uint32_t head_max)
{
  memset (r, 0, sizeof *r);
  http_parser_init (&r->parser, type);
  r->parser.data = r;
  r->head_max = head_max;
  cv_buf_init (&r->head.text);
}

void
cv_http_reader_finish (cv_http_reader_t *r)
{
  cv_buf_finish (&r->head.text);
}

void
cv_http_reader_reset (cv_http_reader_t *r)
{
  enum http_parser_type type = (enum http_parser_type)r->parser.type;

  http_parser_init (&r->parser, type);
  r->parser.data = r;
  cv_buf_reset (&r->head.text);
  r->head.fields = 0;
  r->head.target_n = 0;
  r->head_bytes = 0;
  r->in_value = false;
  r->started = false;
  r->after_version = false;
  r->status_done = false;
  r->status_digits = 0;
  r->at_line_start = false;
  r->head_done = false;
  r->no_body = false;
}

/* Pauses the parser with PART as the result of the current call.  */
static int
pause_with (cv_http_reader_t *r, cv_http_part_t part)
{
  r->part = part;
  http_parser_pause (&r->parser, 1);
  return 0;
}

/* Makes the parser fail with PART as the result of the current call.  */
static int
abort_with (cv_http_reader_t *r, cv_http_part_t part)
{
  r->part = part;
  return -1;
}

static bool
is_in_trailers (const cv_http_reader_t *r)
{
  return (r->parser.flags & F_TRAILING) != 0;
}

/* Appends N bytes to the head; fails when the head exceeds its limit.  */
static int
add_to_head (cv_http_reader_t *r, const char *at, size_t n, size_t overhead)
{
  r->head_bytes += (uint32_t)(n + overhead);
  if (r->head_bytes > r->head_max)
    return abort_with (r, CV_HTTP_HEAD_TOO_LARGE);
  cv_buf_add (&r->head.text, at, n);
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t n)
{
  cv_http_reader_t *r = p->data;

  if (add_to_head (r, at, n, 0) != 0)
    return -1;
  r->head.target_n += (uint32_t)n;
  return 0;
}

/* The parser delivers names and values in pieces; a name after a value starts a
   new field.  */
static int
on_field (http_parser *p, const char *at, size_t n)
{
  cv_http_reader_t *r = p->data;
  cv_http_head_t *h = &r->head;

  /* Trailer fields of a chunked body are discarded.  A piece of a name may be
     empty.  */
  if (r->head_done)
    return n == 0 || cv_is_token ((cv_slice_t){ at, n })
               ? 0
               : abort_with (r, CV_HTTP_MALFORMED);
  if (h->fields == 0 || r->in_value)
    {
      if (h->fields == CV_HTTP_FIELDS_MAX)
        return abort_with (r, CV_HTTP_HEAD_TOO_LARGE);
      h->fields++;
      r->in_value = false;
    }
  if (add_to_head (r, at, n, FIELD_OVERHEAD_BYTES) != 0)
    return -1;
  h->part_ends[2 * h->fields - 1] = (uint32_t)h->text.n;
  h->part_ends[2 * h->fields] = (uint32_t)h->text.n;
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t n)
{
  cv_http_reader_t *r = p->data;
  cv_http_head_t *h = &r->head;

  if (r->head_done)
    return 0;
  r->in_value = true;
  if (add_to_head (r, at, n, 0) != 0)
    return -1;
  h->part_ends[2 * h->fields] = (uint32_t)h->text.n;
  return 0;
}

/* http-parser accepts spaces in names and control characters in values.  The
   next hop could interpret them differently (request smuggling).  */
static bool
fields_are_valid (const cv_http_head_t *h)
{
  for (uint32_t i = 0; i < h->fields; i++)
    {
      cv_http_field_t f = cv_http_field_at (h, i);

      if (!cv_is_token (f.name))
        return false;
      for (size_t k = 0; k < f.value.n; k++)
        if (iscntrl ((unsigned char)f.value.p[k]) && f.value.p[k] != '\t')
          return false;
    }
  return true;
}

/* A status is from 100 to 599 in three digits (RFC 9110, 15), and 101
   (Switching Protocols) is an answer only to a request for another protocol,
   which is never sent.  */
static bool
status_is_valid (const cv_http_reader_t *r)
{
  const http_parser *p = &r->parser;

  return p->type == HTTP_REQUEST
         || (p->status_code >= 100 && p->status_code <= CV_STATUS_MAX
             && p->status_code != 101 && r->status_digits == STATUS_DIGITS);
}

bool
cv_http_reader_has_no_body (const cv_http_reader_t *r)
{
  unsigned status = r->parser.status_code;

  return r->no_body
         || (r->parser.type == HTTP_RESPONSE
             && (status < CV_STATUS_FINAL_MIN || status == 204
                 || status == 304));
}

static int
on_head (http_parser *p)
{
  cv_http_reader_t *r = p->data;
  cv_http_head_t *h = &r->head;

  if (!fields_are_valid (h) || !status_is_valid (r)
      || (p->type == HTTP_REQUEST && p->uses_transfer_encoding
          && !(p->flags & F_CHUNKED)))
    return abort_with (r, CV_HTTP_MALFORMED);

  /* Upgrades are not forwarded, so the parser must stay in HTTP mode.  */
  p->upgrade = 0;
  h->method = p->method;
  h->status = p->status_code;
  h->keep_alive = http_should_keep_alive (p) != 0;
  h->chunked = (p->flags & F_CHUNKED) != 0;
  h->has_length = (p->flags & F_CONTENTLENGTH) != 0;
  h->length = h->has_length ? p->content_length : 0;
  h->http_1_0 = p->http_major == 1 && p->http_minor == 0;
  r->head_done = true;
  (void)pause_with (r, CV_HTTP_HEAD);
  return cv_http_reader_has_no_body (r) ? 1 : 0;
}

/* Pauses between the last chunk and the trailers, which are read as lines.  */
static int
on_chunk (http_parser *p)
{
  cv_http_reader_t *r = p->data;

  if (!is_in_trailers (r))
    return 0;
  r->at_line_start = true;
  return pause_with (r, CV_HTTP_NEED_INPUT);
}

static int
on_body (http_parser *p, const char *at, size_t n)
{
  cv_http_reader_t *r = p->data;

  r->body = (cv_slice_t){ at, n };
  return pause_with (r, CV_HTTP_BODY);
}

static int
on_done (http_parser *p)
{
  return pause_with (p->data, CV_HTTP_DONE);
}

/* Counts the digits of the status, of which the parser tells the value only.
   The parser does not pause before the status has ended, so that no byte is
   counted twice.  */
static void
count_status_digits (cv_http_reader_t *r, const char *data, size_t n)
{
  if (r->parser.type == HTTP_REQUEST)
    return;
  for (size_t i = 0; i < n && !r->status_done; i++)
    if (!r->after_version)
      r->after_version = data[i] == ' ';
    else if (isdigit ((unsigned char)data[i]))
      r->status_digits++;
    else
      r->status_done = r->status_digits > 0;
}

/* Whether one of the N bytes of a head or of trailers begins a folded line, the
   rest of the field before it (RFC 9112, 5.2).  http-parser joins them.  */
static bool
has_folded_line (cv_http_reader_t *r, const char *data, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      if (r->at_line_start && (data[i] == ' ' || data[i] == '\t'))
        return true;
      r->at_line_start = data[i] == '\n';
    }
  return false;
}

/* Parses up to N bytes and sets *USED to the number consumed.  A folded line
   makes a response malformed, as a field with a blank before its name looks the
   same.  */
static enum http_errno
parse (cv_http_reader_t *r, const char *data, size_t n, size_t *used)
{
  bool has_lines = r->parser.type == HTTP_RESPONSE
                   && (!r->head_done || is_in_trailers (r));

  http_parser_pause (&r->parser, 0);
  *used = http_parser_execute (&r->parser, &callbacks, data, n);
  if (has_lines && has_folded_line (r, data, *used))
    return HPE_INVALID_HEADER_TOKEN;
  return HTTP_PARSER_ERRNO (&r->parser);
}

cv_http_part_t
cv_http_reader_next (cv_http_reader_t *r, const char *data, size_t n,
                     size_t *used)
{
  enum http_errno e;
  size_t step;

  r->part = CV_HTTP_NEED_INPUT;
  *used = 0;
  if (n == 0)
    return CV_HTTP_NEED_INPUT;
  r->started = true;
  count_status_digits (r, data, n);
  do
    {
      e = parse (r, data + *used, n - *used, &step);
      *used += step;
    }
  while (e == HPE_PAUSED && r->part == CV_HTTP_NEED_INPUT && *used < n);
  if (e == HPE_OK || e == HPE_PAUSED)
    return r->part;
  if (e == HPE_HEADER_OVERFLOW || r->part == CV_HTTP_HEAD_TOO_LARGE)
    return CV_HTTP_HEAD_TOO_LARGE;
  return CV_HTTP_MALFORMED;
}

bool
cv_http_reader_eof (cv_http_reader_t *r)
{
  r->part = CV_HTTP_NEED_INPUT;
  if (!r->started)
    return false;
  http_parser_pause (&r->parser, 0);
  (void)http_parser_execute (&r->parser, &callbacks, NULL, 0);
  return r->part == CV_HTTP_DONE;
}

cv_slice_t
cv_http_request_target (const cv_http_head_t *h)
{
  return (cv_slice_t){ h->text.p, h->target_n };
}

cv_http_field_t
cv_http_field_at (const cv_http_head_t *h, uint32_t i)
{
  uint32_t start = i == 0 ? h->target_n : h->part_ends[2 * i];
  uint32_t middle = h->part_ends[2 * i + 1];
  uint32_t end = h->part_ends[2 * i + 2];

  return (cv_http_field_t){ { h->text.p + start, middle - start },
                            { h->text.p + middle, end - middle } };
}

bool
cv_http_field_name_equal (cv_slice_t name, const char *text)
{
  size_t n = strlen (text);

  return name.n == n && strncasecmp (name.p, text, n) == 0;
}

cv_slice_t
cv_http_field (const cv_http_head_t *h, const char *name)
{
  for (uint32_t i = 0; i < h->fields; i++)
    {
      cv_http_field_t f = cv_http_field_at (h, i);

      if (cv_http_field_name_equal (f.name, name))
        return f.value;
    }
  return (cv_slice_t){ NULL, 0 };
}

bool
cv_http_is_connection_field (cv_slice_t name)
{
  for (size_t i = 0; connection_fields[i] != NULL; i++)
    if (cv_http_field_name_equal (name, connection_fields[i]))
      return true;
  return false;
}

void
cv_http_add_field (cv_buf_t *out, cv_http_field_t field)
{
  cv_buf_add (out, field.name.p, field.name.n);
  cv_buf_add (out, ": ", 2);
  cv_buf_add (out, field.value.p, field.value.n);
  cv_buf_add (out, "\r\n", 2);
}
