/* Pull parser of HTTP/1.1 messages: the caller passes bytes and receives one
   part of a message at a time.  http-parser handles the syntax.  Ambiguous
   framing is an error.  */

#ifndef CV_HTTP_READER_H
#define CV_HTTP_READER_H

#include <http_parser.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Maximum number of header fields in a head.  */
#define CV_HTTP_FIELDS_MAX 96

/* One header field; the slices point into the head.  */
typedef struct
{
  cv_slice_t name;
  cv_slice_t value;
} cv_http_field_t;

/* The start line and header fields of one message.  */
typedef struct
{
  cv_buf_t text; /* the bytes of the target, names and values */
  /* End offsets in TEXT: [2 I + 1] of the name and [2 I + 2] of the value of
     field I; [0] is unused.  */
  uint32_t part_ends[2 * CV_HTTP_FIELDS_MAX + 1];
  uint32_t fields;   /* number of header fields */
  uint32_t target_n; /* bytes of the request target */
  unsigned method;   /* enum http_method, of a request */
  unsigned status;   /* of a response */
  bool keep_alive;   /* the connection can carry another message */
  bool chunked;
  bool has_length;
  uint64_t length; /* of the body, with HAS_LENGTH */
  bool http_1_0;
} cv_http_head_t;

/* Result of reading: the part that is available.  */
typedef enum
{
  CV_HTTP_NEED_INPUT,     /* all input is consumed; more is needed */
  CV_HTTP_HEAD,           /* the head is complete */
  CV_HTTP_BODY,           /* bytes of the body */
  CV_HTTP_DONE,           /* the message is complete */
  CV_HTTP_HEAD_TOO_LARGE, /* the head exceeds a limit */
  CV_HTTP_MALFORMED       /* invalid message or ambiguous framing */
} cv_http_part_t;

typedef struct
{
  http_parser parser;
  cv_http_head_t head;
  cv_http_part_t part; /* set by the parser's callbacks */
  cv_slice_t body;     /* of CV_HTTP_BODY */
  uint32_t head_max;   /* size limit of the head, bytes */
  uint32_t head_bytes; /* size of the current head so far */
  bool in_value;       /* the parser is within a field value */
  bool started;        /* a byte of the current message was read */
  bool after_version;  /* the status of a response follows or was read */
  bool status_done;
  uint32_t status_digits; /* number of digits so far */
  bool at_line_start;     /* the next byte of a head or of trailers begins a
                             line */
  bool head_done;
  bool no_body; /* response to a HEAD request */
} cv_http_reader_t;

void cv_http_reader_init (cv_http_reader_t *r, enum http_parser_type type,
                          uint32_t head_max);
void cv_http_reader_finish (cv_http_reader_t *r);
/* Prepares for the next message of the connection.  */
void cv_http_reader_reset (cv_http_reader_t *r);
/* Reads up to N bytes and sets *USED to the number consumed.  The caller passes
   the remaining bytes until the result is CV_HTTP_NEED_INPUT.  */
cv_http_part_t cv_http_reader_next (cv_http_reader_t *r, const char *data,
                                    size_t n, size_t *used);
/* Handles an orderly end of the connection; returns whether it completes the
   message.  */
bool cv_http_reader_eof (cv_http_reader_t *r);
/* Whether the message, whose head was read, ends with it, whatever its fields
   say (RFC 9112, 6.3).  */
bool cv_http_reader_has_no_body (const cv_http_reader_t *r);

cv_slice_t cv_http_request_target (const cv_http_head_t *h);
cv_http_field_t cv_http_field_at (const cv_http_head_t *h, uint32_t i);
/* The value of the first field NAME, ignoring case; P is NULL if there is
   none.  */
cv_slice_t cv_http_field (const cv_http_head_t *h, const char *name);
bool cv_http_field_name_equal (cv_slice_t name, const char *text);
/* Whether NAME is a field that describes the connection or the framing of a
   message and must not be forwarded.  */
bool cv_http_is_connection_field (cv_slice_t name);
/* Appends FIELD to OUT as a header line.  */
void cv_http_add_field (cv_buf_t *out, cv_http_field_t field);

#ifdef __cplusplus
}
#endif

#endif
