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
/* Stops the server and cuts off the responses that are not fully sent.  */
void cv_http_free (cv_http_t *h);
/* Answers health checks with 503 from now on, so that the load balancer stops
   sending requests to this entry.  */
void cv_http_drain (cv_http_t *h);
/* Stops accepting connections.  */
void cv_http_stop_accepting (cv_http_t *h);
/* Closes the connections without a request; returns the number of connections
   that are still open.  */
uint32_t cv_http_close_idle (cv_http_t *h);
/* Number of requests whose response is not fully sent.  */
uint32_t cv_http_active_requests (cv_http_t *h);

#ifdef __cplusplus
}
#endif

#endif
