/* Pull reading of HTTP/1.1 messages: the caller feeds bytes and takes one
   part of a message at a time.  http-parser does the syntax; framing that
   could be read in two ways is an error.  */

#ifndef CV_HTTP_READER_H
#define CV_HTTP_READER_H

#include <http_parser.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* More header fields than this make a head too large.  */
#define CV_HTTP_FIELDS_MAX 96

/* One header field; the bytes belong to the head.  */
typedef struct
{
  cv_slice_t name;
  cv_slice_t value;
} cv_http_field_t;

/* The start line and header fields of one message.  */
typedef struct
{
  cv_buf_t text; /* the bytes of the target, names and values */
  uint32_t marks[2 * CV_HTTP_FIELDS_MAX + 1]; /* ends of the parts in TEXT */
  uint32_t fields;                            /* number of header fields */
  uint32_t target_n;                          /* bytes of the request target */
  unsigned method; /* enum http_method, of a request */
  unsigned status; /* of an answer */
  bool keep_alive; /* the connection may carry another message */
  bool chunked;
  bool has_length;
  uint64_t length; /* of the body, with HAS_LENGTH */
  bool http_1_0;
} cv_http_head_t;

/* What reading has come to.  */
typedef enum
{
  CV_HTTP_MORE,  /* all bytes are used up */
  CV_HTTP_HEAD,  /* the head is complete */
  CV_HTTP_BODY,  /* some bytes of the body */
  CV_HTTP_DONE,  /* the message is complete */
  CV_HTTP_LIMIT, /* the head is larger than allowed */
  CV_HTTP_BROKEN /* no HTTP message, or one with unclear framing */
} cv_http_part_t;

typedef struct
{
  http_parser parser;
  cv_http_head_t head;
  cv_http_part_t part; /* set by the parser's callbacks */
  cv_slice_t body;     /* of CV_HTTP_BODY */
  uint32_t head_max;   /* bytes */
  uint32_t head_bytes; /* of the present head so far */
  bool in_value;       /* the last header bytes were of a value */
  bool started;        /* some byte of the present message was read */
  bool head_done;
  bool no_body; /* the answer to a HEAD request has no body */
} cv_http_reader_t;

void cv_http_reader_init (cv_http_reader_t *r, enum http_parser_type type,
                          uint32_t head_max);
void cv_http_reader_finish (cv_http_reader_t *r);
/* Be ready for the next message of the connection.  */
void cv_http_reader_reset (cv_http_reader_t *r);
/* Read up to N bytes; *USED receives how many.  Call again with the rest
   until the result is CV_HTTP_MORE.  */
cv_http_part_t cv_http_reader_next (cv_http_reader_t *r, const char *data,
                                    size_t n, size_t *used);
/* The connection ended in order: whether that completes the message.  */
bool cv_http_reader_end (cv_http_reader_t *r);

cv_slice_t cv_http_target (const cv_http_head_t *h);
cv_http_field_t cv_http_field_at (const cv_http_head_t *h, uint32_t i);
/* The value of the first field NAME (any case); p is NULL when absent.  */
cv_slice_t cv_http_field (const cv_http_head_t *h, const char *name);
bool cv_http_name_equal (cv_slice_t name, const char *text);
/* Whether the field NAME concerns one connection alone and is not passed
   on.  */
bool cv_http_is_connection_field (cv_slice_t name);
/* Add FIELD as a line of a head.  */
void cv_http_add_field (cv_buf_t *out, cv_http_field_t field);

#ifdef __cplusplus
}
#endif

#endif
