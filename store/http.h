/* One HTTP exchange with the object API.  */

#ifndef CV_STORE_HTTP_H
#define CV_STORE_HTTP_H

#include "store/store.h"

typedef struct
{
  int status; /* HTTP status, 0 when there is no answer */
  bool sent;  /* the request may have reached the store */
  cv_buf_t body;
} cv_reply_t;

/* Send METHOD for PATH (from '/' on) with BODY (NULL: none).  True when an
   answer came; else ERR says why.  The caller finishes REPLY's body in each
   case.  */
bool cv_store_exchange (cv_store_t *s, const char *method, const char *path,
                        const char *body, cv_reply_t *reply, cv_error_t *err);

#endif
