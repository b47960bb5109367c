/* The side process: it runs beside one target and is the only way that work
   reaches that target.  */

#ifndef CV_SIDE_H
#define CV_SIDE_H

#include "config/config.h"

#ifdef __cplusplus
extern "C"
{
#endif

  /* Settings of a side, fixed for the life of the process.  */
  typedef struct
  {
    char target[CV_NAME_MAX];
    char pool[CV_NAME_MAX];
    char failure_domain[CV_NAME_MAX];
    cv_pool_kind_t kind;
    char bind[CV_NAME_MAX]; /* "tcp://IP:PORT" that entries connect to */
    char backend[128];      /* "http://IP:PORT" of the engine or service */
    char control_address[CV_NAME_MAX]; /* IP of the local control server */
    uint16_t control_port;             /* 0: no control server */
    uint64_t kv_tokens; /* engine memory until it reports, in tokens */
    uint32_t max_batch; /* streams at the engine at once */
    uint32_t max_calls; /* calls at the service at once */
  } cv_side_settings_t;

  /* Fill S with defaults; the names and addresses stay empty.  */
  void cv_side_settings_init (cv_side_settings_t *s);

  /* Serve until SIGTERM, SIGINT or a leave order has drained the side; blocks
     these signals in the calling thread and all later ones.  False with ERR
     when an address cannot be bound or a library fails.  */
  bool cv_side_run (const cv_side_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
