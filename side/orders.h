/* Orders are commands to the engine: they load the models that the
   configuration assigns to its pool and unload others that this process loaded.
   Two processes beside one target do no harm: only one can bind the target's
   port, and an engine that checks fencing tokens rejects orders with a token
   below the greatest it has seen.  See docs/design/orders.md.  */

#ifndef CV_SIDE_ORDERS_H
#define CV_SIDE_ORDERS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Where the engine checks no fencing token, this process sends no order until
   it has been bound to the target's port for entries this long: by then each
   order of an earlier process has arrived or timed out.  Must exceed
   CV_ORDER_TIMEOUT_MS.  */
#define CV_ORDER_SETTLE (10 * CV_SECOND)
#define CV_ORDER_TIMEOUT_MS 5000
/* Backoff after a failed order, doubled with each failure up to the maximum;
   jitter then adds up to 100 % of it.  */
#define CV_ORDER_BACKOFF_MS 500
#define CV_ORDER_BACKOFF_MAX_MS 60000

typedef enum
{
  CV_ORDER_LOAD = 1,
  CV_ORDER_UNLOAD,
  /* "role" on the wire: changes no model.  With fencing token 0 it asks for the
     engine's token, with any other it claims that token.  */
  CV_ORDER_ROLE
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
  CV_ORDERS_LAPSED /* the engine rejected our token (status 409); final */
} cv_orders_phase_t;

typedef struct
{
  cv_orders_phase_t phase;
  uint64_t fence;
  cv_time_t start_time;  /* of this process */
  bool in_flight;        /* an order or a request to the weight store */
  bool answer_stale;     /* the engine restarted; ignore an order's answer */
  bool load_permitted;   /* the weight store permits the load in CURRENT */
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
