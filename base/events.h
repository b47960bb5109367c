/* Priorities and names of log events, by event number.  */

#ifndef CV_EVENTS_H
#define CV_EVENTS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  int number;
  int priority; /* syslog priority */
  const char *name;
} cv_event_info_t;

/* Returns the entry of EVENT.  An event that is not in the table gets priority
   "error" and the name UNKNOWN.  */
const cv_event_info_t *cv_event_info (cv_event_t event);

#ifdef __cplusplus
}
#endif

#endif
