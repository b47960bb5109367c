/* Room in one engine's memory, granted to requests before they are sent.
   Load pattern: engines are full, many gateways see the same free memory at
   the same moment, and each run goes on growing after it was admitted.  */

#ifndef CV_POLICY_ROOM_H
#define CV_POLICY_ROOM_H

#include "base/base.h"
#include "policy/forecast.h"
#include "policy/output.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Grants at once; an engine's batch and queue are smaller.  */
#define CV_ROOM_MAX 256

/* Prompts that may wait to be read when another one comes, whatever its size.
   An engine reads some 7 tokens in a millisecond beside its runs, so this is
   0.6 s, well below the usual objectives for a first event.  */
#define CV_ROOM_UNREAD_MAX 4000
/* A run leaves a full engine only for one that stays below this part of its
   memory, so that it need not move again.  */
#define CV_ROOM_BALANCE_FILL 0.75

/* A run as the engine reports it.  */
typedef struct
{
  uint64_t run;    /* hash of its name */
  uint64_t tokens; /* memory it has now */
} cv_room_run_t;

/* What a request or a moving run needs.  */
typedef struct
{
  uint64_t run; /* hash of its name */
  cv_room_purpose_t purpose;
  uint32_t prompt_tokens; /* of a new run they are still to be read */
  uint32_t produced;
  cv_output_t output;
} cv_room_need_t;

typedef struct
{
  cv_room_need_t need; /* RUN is 0 where the place is free */
  cv_time_t since;
  bool seen; /* the engine has reported it */
} cv_room_grant_t;

/* What the engine has and is promised.  */
typedef struct
{
  uint64_t held;   /* memory now, with grants that are still to come */
  uint64_t unread; /* tokens of prompts still to be read */
  uint32_t runs;   /* of them */
  cv_forecast_t forecast;
} cv_room_sum_t;

typedef struct
{
  cv_room_grant_t grants[CV_ROOM_MAX];
  uint64_t total; /* memory of the engine */
  cv_room_sum_t sum;
  uint64_t peak;          /* most memory that is to be expected */
  cv_time_t rescue_until; /* memory that comes free is kept for a rescue */
  cv_strain_t strain;
  bool has_started; /* a granted run has made its first event */
} cv_room_t;

void cv_room_init (cv_room_t *r);
/* What the engine itself says.  */
typedef struct
{
  const cv_room_run_t *runs; /* that have made an event */
  uint32_t run_count;
  uint32_t pending; /* requests there that have made no event */
  uint64_t used;    /* memory that cannot yield, with copies */
  uint64_t copies;  /* memory held for runs that are to move here */
  uint64_t total;
} cv_room_report_t;

void cv_room_report (cv_room_t *r, cv_time_t now,
                     const cv_room_report_t *report);
/* Grant NEED if there is room; also when asked again.  */
bool cv_room_ask (cv_room_t *r, cv_time_t now, const cv_room_need_t *need);
/* RUN will not come, or has ended.  Whether the engine never showed it.  */
bool cv_room_release (cv_room_t *r, uint64_t run);

#ifdef __cplusplus
}
#endif

#endif
