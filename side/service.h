/* Client of the plain service beside this side.  It runs in the side's
   loop; a call is sent at most once, over a connection of its own.  */

#ifndef CV_SIDE_SERVICE_H
#define CV_SIDE_SERVICE_H

#include "side/core.h"
#include "side/http.h"

#ifdef __cplusplus
extern "C" {
#endif

struct cv_service_t;

/* A call in flight.  */
typedef struct cv_service_run_t
{
  LIST_ENTRY (cv_service_run_t) link;
  struct cv_service_t *service;
  cv_id_t call;
  cv_http_request_t *request;
} cv_service_run_t;

LIST_HEAD (cv_service_list_t, cv_service_run_t);

typedef struct cv_service_t
{
  cv_side_core_t *core;
  cv_http_t *http;
  char url[128];
  struct cv_service_list_t runs;
  struct cv_service_list_t refused; /* could not be started */
  cv_http_request_t *poll;
  cv_time_t poll_at;
  cv_time_t answered;
  bool up;
} cv_service_t;

void cv_service_init (cv_service_t *s, cv_side_core_t *core, cv_http_t *http,
                      const char *url);
void cv_service_finish (cv_service_t *s);
void cv_service_take (cv_service_t *s, const cv_service_call_t *call);
void cv_service_tick (cv_service_t *s, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
