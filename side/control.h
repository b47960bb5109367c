/* Local HTTP server of a side: GET /healthz, GET /metrics, POST /leave (a
   drain request).  It is meant for the target's own machine and the tests; the
   address is a setting, callers are not checked.  */

#ifndef CV_SIDE_CONTROL_H
#define CV_SIDE_CONTROL_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>

/* The jansson names in ulfius.h clash with those of json-c.  */
#define U_DISABLE_JANSSON
#include <ulfius.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Shared by the event loop and the server's threads, protected by LOCK.  */
typedef struct
{
  pthread_mutex_t lock;
  int wake_fd; /* eventfd, readable after a drain request */
  bool drain_requested;
  /* Earliest reclaim of the drain requests not taken yet; 0: none.  */
  uint32_t within_ms;
  char *metrics; /* owned; last text from cv_control_set_metrics */
  struct _u_instance server;
  struct sockaddr_in bind;
  bool server_running;
  int connections; /* open; atomic, not protected by LOCK */
} cv_control_t;

/* With PORT 0 no server is started.  */
bool cv_control_init (cv_control_t *c, const char *address, uint16_t port,
                      cv_error_t *err);
/* Accepts no more connections and waits a short time for the open ones to get
   their responses.  */
void cv_control_finish (cv_control_t *c);
/* True when a drain was requested since the last call.  WITHIN_MS is the least
   time until the target is taken away that these requests gave, or 0.  */
bool cv_control_take_drain_request (cv_control_t *c, uint32_t *within_ms);
/* Set the response body of GET /metrics.  */
void cv_control_set_metrics (cv_control_t *c, const char *text);

#ifdef __cplusplus
}
#endif

#endif
