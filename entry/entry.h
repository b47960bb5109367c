/* The role `entry`: accepts callers' requests over HTTP and forwards them to
   the side processes, one of which runs beside each target.  */

#ifndef CV_ENTRY_H
#define CV_ENTRY_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serves until SIGTERM or SIGINT; false when the start failed.  */
bool cv_entry_run (const cv_entry_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
