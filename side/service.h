/* HTTP client of the plain service (a target that is not an engine) that this
   side serves.  It runs in the side's event loop.  A call is sent at most once,
   on a new connection.  */

#ifndef CV_SIDE_SERVICE_H
#define CV_SIDE_SERVICE_H

#include "side/core.h"
#include "side/http.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cv_service_t;

/* A call in flight, or one that could not be sent.  */
typedef struct cv_service_request_t
{
  LIST_ENTRY (cv_service_request_t) link;
  struct cv_service_t *service;
  cv_id_t call;
  cv_http_request_t *http_request;
} cv_service_request_t;

LIST_HEAD (cv_service_request_list_t, cv_service_request_t);

typedef struct cv_service_t
{
  cv_side_core_t *core;
  cv_http_t *http;
  char url[128];
  struct cv_service_request_list_t in_flight;
  struct cv_service_request_list_t not_sent; /* could not be started */
  cv_http_request_t *poll; /* health check; NULL: none in flight */
  cv_time_t poll_at;
  cv_time_t last_answer_at; /* of a health check */
  bool is_up;
} cv_service_t;

void cv_service_init (cv_service_t *s, cv_side_core_t *core, cv_http_t *http,
                      const char *url);
void cv_service_finish (cv_service_t *s);
/* The result goes to cv_side_call_end, never before this returns.  */
void cv_service_start_call (cv_service_t *s, const cv_service_call_t *call);
void cv_service_tick (cv_service_t *s, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
