/* The role `entry`: takes callers' requests over HTTP and has them run by
   the sides beside the targets.  */

#ifndef CV_ENTRY_H
#define CV_ENTRY_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  char instance[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  char address[46];        /* IP number that HTTP is served on */
  uint16_t port;
  char store_url[128];     /* object API, http://IP:PORT */
  char instances_url[128]; /* instance list, http://IP:PORT */
  int store_timeout_ms;
  uint32_t max_connections;
  uint32_t max_body_bytes;
  char operator_key_hash[65]; /* of the operators' bearer key */
} cv_entry_settings_t;

/* Fill S with the defaults of everything that has one.  */
void cv_entry_settings_init (cv_entry_settings_t *s);

/* Serve until SIGTERM or SIGINT; false when it could not start.  */
bool cv_entry_run (const cv_entry_settings_t *s, cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
