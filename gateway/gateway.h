/* The gateway: an HTTP/1.1 reverse proxy that forwards callers' requests to
   targets of the services that its routes name.  */

#ifndef CV_GATEWAY_H
#define CV_GATEWAY_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serves until SIGTERM or SIGINT, and then until the requests in progress have
   ended or the grace period is over.  PATH is the settings file, read again on
   SIGHUP.  False with ERR when an address cannot be bound or a library
   fails.  */
bool cv_gateway_run (const cv_gateway_settings_t *s, const char *path,
                     cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
