/* The side process: it runs beside one target and is the only way that work
   reaches that target.  */

#ifndef CV_SIDE_H
#define CV_SIDE_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serve until SIGTERM, SIGINT or a leave order has drained the side; blocks
 these signals in the calling thread and all later ones.  False with ERR
 when an address cannot be bound or a library fails.  */
bool cv_side_run (const cv_side_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
