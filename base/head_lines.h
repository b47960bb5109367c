/* Follows the lines of the head of a response that libcurl receives.  libcurl
   takes a response whose head is cut by the end of its connection for a whole
   one, and lines that are no fields for fields.  */

#ifndef CV_BASE_HEAD_LINES_H
#define CV_BASE_HEAD_LINES_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  bool has_status; /* the status line of the head being read was read */
  bool is_final;   /* that head is not of an informational response */
  bool is_whole;   /* the final head was read up to its end */
  bool is_invalid; /* a line is neither a status line nor a field */
} cv_head_lines_t;

/* The CURLOPT_HEADERFUNCTION of the cv_head_lines_t HEAD, which starts as
   zeros.  Ends the transfer at an invalid line of a head or of trailers.  */
size_t cv_head_lines_add (char *line, size_t size, size_t count, void *head);

#ifdef __cplusplus
}
#endif

#endif
