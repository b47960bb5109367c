/* The observer: runs beside one engine, asks it for its load and tells all
   gateways.  It grants room in the engine's memory and turns to move runs off
   it; gateways do without it when it is lost.  */

#ifndef CV_OBSERVER_H
#define CV_OBSERVER_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serve until SIGTERM or SIGINT.  False with ERR when a library or a socket
   fails.  */
bool cv_observer_run (const cv_observer_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
