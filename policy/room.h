/* Room in one engine's memory, granted to requests before they are sent.
   Load pattern: engines are full, many gateways see the same free memory at
   the same moment, and each run goes on growing after it was admitted.  */

#ifndef CV_POLICY_ROOM_H
#define CV_POLICY_ROOM_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Grants at once; an engine's batch and queue are smaller.  */
#define CV_ROOM_MAX 256

/* A run as the engine reports it.  */
typedef struct
{
  uint64_t run;    /* hash of its name */
  uint64_t tokens; /* memory it has now */
} cv_room_run_t;

typedef struct
{
  uint64_t run;           /* hash of its name, 0: the place is free */
  uint64_t tokens;        /* memory at its end, as estimated */
  uint64_t prompt_tokens; /* to be read */
  cv_time_t since;
  bool seen; /* the engine has reported it */
} cv_room_grant_t;

typedef struct
{
  cv_room_grant_t grants[CV_ROOM_MAX];
  uint64_t total;    /* memory of the engine */
  uint64_t copies;   /* held for runs that are to move here */
  uint64_t used;     /* memory now, with grants that are still to come */
  uint64_t promised; /* memory at the end of all it has */
  uint64_t unread;   /* tokens of prompts still to be read */
} cv_room_t;

void cv_room_init (cv_room_t *r);
/* What the engine itself says.  */
typedef struct
{
  const cv_room_run_t *runs; /* that have made an event */
  uint32_t run_count;
  uint64_t used;   /* memory that cannot yield, with copies */
  uint64_t copies; /* memory held for runs that are to move here */
  uint64_t total;
} cv_room_report_t;

void cv_room_report (cv_room_t *r, cv_time_t now,
                     const cv_room_report_t *report);
/* Grant RUN its memory if there is room; also when asked again.  */
bool cv_room_ask (cv_room_t *r, cv_time_t now, uint64_t run, uint64_t tokens,
                  uint64_t prompt_tokens);
/* RUN will not come, or has ended.  */
void cv_room_release (cv_room_t *r, uint64_t run);

#ifdef __cplusplus
}
#endif

#endif
