/* The observer: runs beside one engine, polls its load and reports the load
   to all gateways.  It grants reservations of the engine's KV-cache memory and
   migration leases.  Gateways keep working without it when it is lost.  */

#ifndef CV_OBSERVER_H
#define CV_OBSERVER_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Runs until SIGTERM or SIGINT.  Returns false with ERR set when the
   addresses in S, a socket or the event loop fail.  */
bool cv_observer_run (const cv_observer_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
