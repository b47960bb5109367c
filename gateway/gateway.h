/* The gateway: takes callers' HTTP requests, and forwards each whole to a
   target of its route's service.  */

#ifndef CV_GATEWAY_H
#define CV_GATEWAY_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serve until SIGTERM or SIGINT and the end of the requests under way.  PATH
   is the settings file, read again on SIGHUP.  False with ERR when an address
   cannot be bound or a library fails.  */
bool cv_gateway_run (const cv_gateway_settings_t *s, const char *path,
                     cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
