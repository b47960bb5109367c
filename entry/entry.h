/* The role `entry`: takes callers' requests over HTTP and has them run by
   the sides beside the targets.  */

#ifndef CV_ENTRY_H
#define CV_ENTRY_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serve until SIGTERM or SIGINT; false when it could not start.  */
bool cv_entry_run (const cv_entry_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
