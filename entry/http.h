/* The HTTP API of an entry, described in docs/API.md.  */

#ifndef CV_ENTRY_HTTP_H
#define CV_ENTRY_HTTP_H

#include "entry/link.h"
#include "entry/storejobs.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_http_t cv_http_t;

/* Starts listening.  S, LINK and JOBS must outlive the server.  */
cv_http_t *cv_http_new (const cv_entry_settings_t *s, cv_entry_link_t *link,
                        cv_storejobs_t *jobs, cv_error_t *err);
/* Stops the server once every open request has been answered.  */
void cv_http_free (cv_http_t *h);
/* Answers health checks with 503 from now on, so that the load balancer stops
   sending requests to this entry.  */
void cv_http_drain (cv_http_t *h);
/* Number of requests whose response is not fully sent.  */
uint32_t cv_http_active_requests (cv_http_t *h);

#ifdef __cplusplus
}
#endif

#endif
