/* State of the stand-in engine, shared by its scheduler thread and its HTTP
   handlers.  */

#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <pthread.h>

#include "scheduler.h"
#include "standin.h"

/* An order posted to the engine.  The engine does not act on it: it checks the
   fence and lists the order in its audit.  */
typedef struct
{
  int64_t fence; /* an order with a lower one than an earlier order is stale */
  char kind[16];
  char model[64];
  bool accepted;
} engine_order_t;

typedef struct
{
  pthread_mutex_t lock; /* protects all members */
  pthread_cond_t work;  /* a stream was added or changed, or a fault was set */
  sched_t sched;
  uint64_t boot; /* number of this start of the engine */
  uint64_t cuts; /* times that all open response bodies were cut */
  bool check_fence;
  int64_t event_lag_us;
  int64_t fence; /* greatest fence of any order so far */
  engine_order_t *orders;
  size_t n_orders;
} engine_t;

extern engine_t engine;

void engine_add_endpoints (void);
/* Returns the audit of streams and orders.  Takes the lock.  */
json_object *engine_audit (void);
/* Time on the monotonic clock, in microseconds.  */
int64_t engine_now_us (void);
/* Wakes the senders of all open response bodies.  The caller holds the
   lock.  */
void engine_wake_bodies (void);

#endif
