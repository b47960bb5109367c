/* Orders are commands to the engine: they load the models that the
   configuration assigns to its pool and unload others that this process loaded.
   docs/design/orders.md explains why two processes beside one target do no
   harm.  */

#ifndef CV_SIDE_ORDERS_H
#define CV_SIDE_ORDERS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Where the engine checks no fencing token, this process sends no order until
   it has held the target's port this long: by then each order of an earlier
   process has arrived or timed out.  Must exceed CV_ORDER_TIMEOUT_MS.  */
#define CV_ORDER_SETTLE (10 * CV_SECOND)
#define CV_ORDER_TIMEOUT_MS 5000
/* Backoff after a failed order; doubles with each failure, with jitter.  */
#define CV_ORDER_BACKOFF_MS 500
#define CV_ORDER_BACKOFF_MAX_MS 60000

typedef enum
{
  CV_ORDER_LOAD = 1,
  CV_ORDER_UNLOAD,
  CV_ORDER_ROLE /* changes nothing; claims a fencing token */
} cv_order_kind_t;

typedef struct
{
  cv_order_kind_t kind;
  uint64_t fence; /* fencing token */
  char model[CV_NAME_MAX];
  char adapter[CV_NAME_MAX]; /* "" for none */
  char version[CV_NAME_MAX];
} cv_order_t;

typedef enum
{
  CV_ORDERS_PROBE, /* ask for the engine's current fencing token */
  CV_ORDERS_CLAIM, /* claim the next token */
  CV_ORDERS_HELD,  /* the engine accepted our token */
  CV_ORDERS_LAPSED /* the engine has seen a greater token; final */
} cv_orders_phase_t;

typedef struct
{
  cv_orders_phase_t phase;
  uint64_t fence;
  cv_time_t start_time;  /* of this process */
  bool in_flight;        /* an order or a request to the weight store */
  bool answer_stale;     /* the engine restarted; ignore the answer */
  bool fetch_granted;    /* the weight store permits the load in CURRENT */
  cv_time_t retry_at;    /* end of the backoff */
  uint32_t failures;     /* in a row */
  uint64_t jitter_count; /* input of the jitter's hash */
  cv_order_t current;
  cv_order_t *loaded; /* owned; accepted orders of kind LOAD */
  size_t count;
  size_t cap;
} cv_orders_t;

#ifdef __cplusplus
}
#endif

#endif
