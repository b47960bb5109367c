/* Reservations of one engine's KV-cache memory, granted to requests before they
   are sent; ROOM is the name on the wire of a reservation.  Load pattern:
   engines are full, many gateways see the same free memory at the same moment,
   and each run keeps growing after admission.  */

#ifndef CV_POLICY_ROOM_H
#define CV_POLICY_ROOM_H

#include "base/base.h"
#include "policy/forecast.h"
#include "policy/output.h"
#include "policy/pace.h"
#include "policy/shortage.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most reservations at once; an engine's batch and queue are smaller.  */
#define CV_RESERVATIONS_MAX 256

/* Prompt tokens that may wait for prefill when another prompt of any size is
   admitted.  An engine prefills about 7 tokens per millisecond beside its runs,
   so this is 0.6 s, well below the usual objectives for the first event.  */
#define CV_PREFILL_BACKLOG_MAX_TOKENS 4000
/* A run is migrated off a full engine only to one that then stays below this
   fraction of its memory, so that it need not be migrated again.  */
#define CV_BALANCE_FILL_MAX 0.75

/* Memory requested for a new run or a migration.  */
typedef struct
{
  uint64_t run; /* hash of its name */
  cv_reservation_purpose_t purpose;
  uint32_t prompt_tokens; /* still to be prefilled if the run is new */
  uint32_t produced;
  cv_output_t output;
  bool has_level; /* of a service whose routes differ in urgency */
  uint32_t level; /* policy/shortage.h */
} cv_reservation_request_t;

typedef struct
{
  cv_reservation_request_t request; /* its run is 0 in a free entry */
  cv_time_t since;
  bool reported; /* the engine has reported the run */
} cv_reservation_t;

/* Memory of the engine in use or reserved.  */
typedef struct
{
  uint64_t held; /* tokens in use, and those reserved for runs to come */
  uint64_t prefill_backlog; /* prompt tokens still to be prefilled */
  uint32_t runs;            /* running or reserved */
  cv_forecast_t forecast;
} cv_memory_demand_t;

typedef struct
{
  cv_reservation_t reservations[CV_RESERVATIONS_MAX];
  uint64_t total; /* memory of the engine, tokens */
  cv_memory_demand_t demand;
  uint64_t peak;          /* highest expected use of memory, tokens */
  cv_time_t rescue_until; /* until then only CV_RESERVE_RESCUE is granted */
  cv_memory_pressure_t memory_pressure;
  bool has_started; /* a reserved run was first reported in the last report */
  cv_pace_estimate_t pace; /* by cv_reservations_set_pace */
  cv_time_t slow_since;    /* of its slow phase; 0: none */
  cv_demand_t requests;    /* that state their level */
  /* Of CV_RESERVE_RESCUE requests: smoothed size in tokens, and time of the
     last one; 0: none.  */
  double rescue_tokens;
  cv_time_t rescued_at;
} cv_reservations_t;

void cv_reservations_init (cv_reservations_t *r);
/* Sets the pace of the engine, and when its slow phase began (0: it is in
   none).  */
void cv_reservations_set_pace (cv_reservations_t *r,
                               const cv_pace_estimate_t *pace,
                               cv_time_t slow_since);
/* Prompt tokens that may wait for prefill at an engine with the time factor
   FACTOR (0: not known) when another prompt is admitted.  */
uint64_t cv_prefill_backlog_max (double factor);
/* State reported by the engine.  */
typedef struct
{
  const cv_engine_run_t *runs; /* runs that have produced an event */
  uint32_t run_count;
  uint32_t pending; /* requests without an event so far */
  uint64_t used;    /* memory that cannot be evicted, tokens, with COPIES */
  uint64_t copies;  /* part of USED: KV cache copied by incoming migrations */
  uint64_t total;   /* memory of the engine, tokens */
} cv_engine_report_t;

void cv_reservations_update (cv_reservations_t *r, cv_time_t now,
                             const cv_engine_report_t *report);
/* Reserves REQUEST and returns whether it is reserved; repeating a granted
   request has no effect.  */
bool cv_reservations_request (cv_reservations_t *r, cv_time_t now,
                              const cv_reservation_request_t *request);
/* Releases the reservation of RUN, which will not be sent or has ended.
   Returns true when it released one whose run the engine had not reported.  */
bool cv_reservations_release (cv_reservations_t *r, uint64_t run);

#ifdef __cplusplus
}
#endif

#endif
