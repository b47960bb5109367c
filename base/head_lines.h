/* Follows the lines of the head of a response that libcurl receives.  libcurl
   takes a response whose head is cut by the end of its connection for a whole
   one.  */

#ifndef CV_BASE_HEAD_LINES_H
#define CV_BASE_HEAD_LINES_H

#include <stdbool.h>
#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  bool is_final; /* the head being read is not of an informational response */
  bool is_whole; /* the final head was read up to its end */
} cv_head_lines_t;

/* The CURLOPT_HEADERFUNCTION of the cv_head_lines_t HEAD, which starts as
   zeros.  */
size_t cv_head_lines_add (char *line, size_t size, size_t count, void *head);

#ifdef __cplusplus
}
#endif

#endif
