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

/* Longest path of a call, with its null byte.  */
#define CV_STORE_PATH_TEXT 384

/* KEY has only the characters that the store takes; "" is no key.  */
bool cv_store_key_valid (const char *key);
bool cv_store_path (char path[CV_STORE_PATH_TEXT], const char *key,
                    cv_error_t *err);
/* The JSON of an answer, to be put by the caller; NULL when it is none.  */
struct json_object *cv_store_tree (const cv_reply_t *reply);

#endif
