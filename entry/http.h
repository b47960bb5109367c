/* The HTTP API of an entry, described in docs/API.md.  */

#ifndef CV_ENTRY_HTTP_H
#define CV_ENTRY_HTTP_H

#include "entry/link.h"
#include "entry/storejobs.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_http_t cv_http_t;

/* Listen; settings and threads are borrowed.  */
cv_http_t *cv_http_new (const cv_entry_settings_t *s, cv_entry_link_t *link,
                        cv_storejobs_t *jobs, cv_error_t *err);
/* Waits until each open request is answered.  */
void cv_http_free (cv_http_t *h);
/* Answer health checks with 503, for the balancer to look elsewhere.  */
void cv_http_drain (cv_http_t *h);
/* Requests whose answer is not sent to its end.  */
uint32_t cv_http_active (cv_http_t *h);

#ifdef __cplusplus
}
#endif

#endif
