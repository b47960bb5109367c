/* HTTP requests for orders of the core: orders to the engine, and requests to
   the weight store for permission to load weights.  */

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

/* The URLs are not copied and must outlive O.  */
void cv_engine_orders_init (cv_engine_orders_t *o, cv_side_core_t *core,
                            cv_http_t *http, const char *engine_url,
                            const char *weights_url);
void cv_engine_orders_finish (cv_engine_orders_t *o);
/* Send ORDER to the engine.  At most one request, an order or a permission
   request, may be in flight; its end goes to cv_side_order_end or
   cv_side_load_permission_end.  */
void cv_engine_orders_send (cv_engine_orders_t *o, const cv_order_t *order);
/* Request permission of the weight store to load the model of ORDER.  */
void cv_engine_orders_request_permission (cv_engine_orders_t *o,
                                          const cv_order_t *order);

#ifdef __cplusplus
}
#endif

#endif
