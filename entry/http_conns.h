/* Table of the HTTP server's connections: detects disconnected callers and
   counts requests whose response is not fully sent.  */

#ifndef CV_ENTRY_HTTP_CONNS_H
#define CV_ENTRY_HTTP_CONNS_H

#include <netinet/in.h>
#include <pthread.h>

#include <microhttpd.h>

#include "base/base.h"

#define CV_HTTP_CONN_BUCKETS 1024

typedef struct cv_http_conn_t cv_http_conn_t;

typedef struct
{
  pthread_mutex_t lock;
  LIST_HEAD (cv_http_conn_list_t, cv_http_conn_t) buckets[CV_HTTP_CONN_BUCKETS];
  uint32_t count;
  int active_requests; /* atomic: started, response not fully sent */
} cv_http_conns_t;

void cv_http_conns_init (cv_http_conns_t *c);
void cv_http_conns_finish (cv_http_conns_t *c);

/* Callbacks for MHD_OPTION_NOTIFY_CONNECTION, _URI_LOG_CALLBACK and
   _NOTIFY_COMPLETED; ARG is the table.  */
void cv_http_conns_connection_notify (void *arg,
                                      struct MHD_Connection *connection,
                                      void **context,
                                      enum MHD_ConnectionNotificationCode code);
void *cv_http_conns_request_started (void *arg, const char *uri,
                                     struct MHD_Connection *connection);
void cv_http_conns_request_completed (void *arg,
                                      struct MHD_Connection *connection,
                                      void **context,
                                      enum MHD_RequestTerminationCode code);

/* Number of requests whose response is neither fully sent nor aborted.  */
uint32_t cv_http_conns_active_requests (cv_http_conns_t *c);
uint32_t cv_http_conns_count (cv_http_conns_t *c);
/* Shuts down the receiving direction of each connection without a request, so
   that the HTTP library closes it.  A request that has arrived by then is still
   read and answered.  */
void cv_http_conns_close_idle (cv_http_conns_t *c);
/* Whether the client at ADDRESS has closed its connection or the sending
   direction of it.  */
bool cv_http_conns_is_client_gone (cv_http_conns_t *c,
                                   const struct sockaddr *address);

#endif
