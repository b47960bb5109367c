/* HTTP calls of the core's orders: to the engine, and to the weight store
   for leave to load.  */

#ifndef CV_SIDE_ENGINE_ORDERS_H
#define CV_SIDE_ENGINE_ORDERS_H

#include "side/core.h"
#include "side/http.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  cv_side_core_t *core;
  cv_http_t *http;
  const char *engine_url;
  const char *weights_url;
  cv_http_request_t *request; /* NULL: none in flight */
} cv_engine_orders_t;

/* The strings are kept by reference.  */
void cv_engine_orders_init (cv_engine_orders_t *o, cv_side_core_t *core,
                            cv_http_t *http, const char *engine_url,
                            const char *weights_url);
void cv_engine_orders_finish (cv_engine_orders_t *o);
void cv_engine_orders_send (cv_engine_orders_t *o, const cv_order_t *order);
void cv_engine_orders_fetch (cv_engine_orders_t *o, const cv_order_t *order);

#ifdef __cplusplus
}
#endif

#endif
