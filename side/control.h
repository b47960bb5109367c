/* Local HTTP server of a side: GET /healthz, GET /metrics, POST /leave.  It
   is for the target's own machine and for the tests.  */

#ifndef CV_SIDE_CONTROL_H
#define CV_SIDE_CONTROL_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>

/* Its jansson names clash with those of json-c.  */
#define U_DISABLE_JANSSON
#include <ulfius.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the loop and the server's threads, under LOCK.  */
typedef struct
{
  pthread_mutex_t lock;
  int wake; /* eventfd that the loop watches */
  bool leave;
  uint32_t within_ms; /* of the leave order; 0: no reclaim */
  char *metrics;      /* owned; as of the loop's last rendering */
  struct _u_instance server;
  bool running;
} cv_control_t;

bool cv_control_init (cv_control_t *c, const char *address, uint16_t port,
                      cv_error_t *err);
void cv_control_finish (cv_control_t *c);
/* A leave order that came since the last call.  */
bool cv_control_take_leave (cv_control_t *c, uint32_t *within_ms);
/* Replace the text of GET /metrics.  */
void cv_control_set_metrics (cv_control_t *c, const char *text);

#ifdef __cplusplus
}
#endif

#endif
