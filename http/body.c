/* The body of a message, shared by the request that it belongs to and the
   connections that send it.  */

#include <stdlib.h>

#include "http/body.h"

cv_http_body_t *
cv_http_body_new (void)
{
  cv_http_body_t *b = cv_calloc (1, sizeof *b);

  b->refs = 1;
  cv_buf_init (&b->bytes);
  return b;
}

cv_http_body_t *
cv_http_body_ref (cv_http_body_t *b)
{
  b->refs++;
  return b;
}

void
cv_http_body_unref (cv_http_body_t *b)
{
  if (--b->refs > 0)
    return;
  cv_buf_finish (&b->bytes);
  free (b);
}
