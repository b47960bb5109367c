/* HTTP requests to the object API; internal to the store client.  */

#ifndef CV_STORE_HTTP_H
#define CV_STORE_HTTP_H

#include "store/store.h"

typedef struct
{
  int status; /* HTTP status, 0: no response */
  bool sent;  /* the store may have received the request */
  cv_buf_t body;
} cv_store_response_t;

/* Sends METHOD for PATH (which starts with '/') with BODY (NULL: none).  True
   when a response was received, whatever its status; else false with ERR.  The
   caller calls cv_buf_finish on the response's body in both cases.  */
bool cv_store_exchange (cv_store_t *s, const char *method, const char *path,
                        const char *body, cv_store_response_t *response,
                        cv_error_t *err);

/* Size of a request path, including the terminating null byte.  */
#define CV_STORE_PATH_TEXT 384

/* Whether KEY is not empty and has only characters that the store accepts.  */
bool cv_store_key_is_valid (const char *key);
/* Writes the request path of the object KEY; false with ERR if KEY is invalid
   or too long.  */
bool cv_store_path (char path[CV_STORE_PATH_TEXT], const char *key,
                    cv_error_t *err);
/* Parses the body as JSON; NULL if it is not JSON.  The caller releases the
   result with json_object_put.  */
struct json_object *cv_store_parse_body (const cv_store_response_t *response);

#endif
