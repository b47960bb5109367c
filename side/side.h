/* The side process runs beside one target; all work for the target passes
   through it.  */

#ifndef CV_SIDE_H
#define CV_SIDE_H

#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Serves until the side has drained after SIGTERM, SIGINT or a drain request
   (POST /leave).  Blocks both signals in the calling thread and in threads
   created later.  False with ERR when an address cannot be bound or a library
   fails.  */
bool cv_side_run (const cv_side_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
