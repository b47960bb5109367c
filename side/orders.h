/* Orders to the engine itself: the models that its pool should serve are
   loaded, others that this process loaded are unloaded.  docs/design/orders.md
   says why two processes beside one target do no harm.  */

#ifndef CV_SIDE_ORDERS_H
#define CV_SIDE_ORDERS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* No order is given before this process has held the target's port for so
   long, where the engine checks no fence: an order that a process before it
   sent has arrived or is given up by then.  Longer than CV_ORDER_TIMEOUT_MS. */
#define CV_ORDER_SETTLE (10 * CV_SECOND)
#define CV_ORDER_TIMEOUT_MS 5000
/* Time between tries, doubled up to the longest, with jitter.  */
#define CV_ORDER_RETRY_MS 500
#define CV_ORDER_RETRY_MAX_MS 60000

typedef enum
{
  CV_ORDER_LOAD = 1,
  CV_ORDER_UNLOAD,
  CV_ORDER_ROLE /* changes nothing; claims a fencing number */
} cv_order_kind_t;

typedef struct
{
  cv_order_kind_t kind;
  uint64_t fence;
  char model[CV_NAME_MAX];
  char adapter[CV_NAME_MAX]; /* "" for none */
  char version[CV_NAME_MAX];
} cv_order_t;

typedef enum
{
  CV_ORDERS_PROBE, /* learns the engine's present fencing number */
  CV_ORDERS_CLAIM, /* takes the next one */
  CV_ORDERS_HELD,
  CV_ORDERS_LAPSED /* the engine has seen a greater one */
} cv_orders_phase_t;

typedef struct
{
  cv_orders_phase_t phase;
  uint64_t fence;
  cv_time_t since; /* of this process */
  bool busy;       /* an order or a request for leave is on its way */
  bool outdated;   /* its answer is of an engine that is gone */
  bool granted;    /* leave was given for CURRENT */
  cv_time_t next;  /* no try before */
  uint32_t tries;  /* that failed in a row */
  uint64_t drawn;  /* random numbers */
  cv_order_t current;
  cv_order_t *loaded; /* owned; what the engine took, as LOAD */
  size_t count;
  size_t cap;
} cv_orders_t;

#ifdef __cplusplus
}
#endif

#endif
