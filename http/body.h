/* The body of a message, shared by the request that it belongs to and the
   connections that send it, so that it is held once.  */

#ifndef CV_HTTP_BODY_H
#define CV_HTTP_BODY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  uint32_t refs;
  cv_buf_t bytes; /* not changed once a connection sends it */
} cv_http_body_t;

/* An empty body with one reference.  */
cv_http_body_t *cv_http_body_new (void);
cv_http_body_t *cv_http_body_ref (cv_http_body_t *b);
void cv_http_body_unref (cv_http_body_t *b);

#ifdef __cplusplus
}
#endif

#endif
