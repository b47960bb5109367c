/* The stand-in engine's state behind one lock, shared by its scheduler thread
   and its HTTP calls.  */

#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include <pthread.h>

#include "scheduler.h"
#include "standin.h"

typedef struct
{
  int64_t fence;
  char kind[16];
  char model[64];
  bool accepted;
} engine_order_t;

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t work; /* a stream waits, or a fault changed */
  sched_t sched;
  uint64_t boot;
  uint64_t cuts; /* times that all open bodies were cut */
  bool check_fence;
  int64_t event_lag_us;
  int64_t fence; /* the greatest one seen */
  engine_order_t *orders;
  size_t n_orders;
} engine_t;

extern engine_t engine;

void engine_add_calls (void);
/* The audit of the streams and orders; takes the lock.  */
json_object *engine_audit (void);
int64_t engine_now_us (void);
/* Wake every open body; the caller holds the lock.  */
void engine_wake_bodies (void);

#endif
