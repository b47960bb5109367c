/* The catalogue of log events, by number.  */

#ifndef CV_EVENTS_H
#define CV_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  int number;
  int priority; /* of syslog */
  const char *name;
} cv_event_info_t;

/* What the catalogue has on EVENT; an unknown one is an error without a
   name.  */
const cv_event_info_t *cv_event_info (cv_event_t event);

#ifdef __cplusplus
}
#endif

#endif
