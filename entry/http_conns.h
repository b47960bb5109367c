/* Connections and requests of the HTTP server: which caller is still there,
   and how many answers are not sent to their end.  */

#ifndef CV_ENTRY_HTTP_CONNS_H
#define CV_ENTRY_HTTP_CONNS_H

#include <netinet/in.h>
#include <pthread.h>

#include <microhttpd.h>

#include "base/base.h"

#define CV_CONN_BUCKETS 1024

typedef struct cv_conn_t cv_conn_t;

typedef struct
{
  pthread_mutex_t lock;
  LIST_HEAD (cv_conn_list_t, cv_conn_t) buckets[CV_CONN_BUCKETS];
  int requests; /* atomic: begun and not sent to their end */
} cv_http_conns_t;

void cv_http_conns_init (cv_http_conns_t *c);
void cv_http_conns_finish (cv_http_conns_t *c);

/* For MHD_OPTION_NOTIFY_CONNECTION, _URI_LOG_CALLBACK and _NOTIFY_COMPLETED,
   with the table as their argument.  */
void cv_http_conns_notify (void *arg, struct MHD_Connection *connection,
                           void **context,
                           enum MHD_ConnectionNotificationCode code);
void *cv_http_conns_begun (void *arg, const char *uri,
                           struct MHD_Connection *connection);
void cv_http_conns_completed (void *arg, struct MHD_Connection *connection,
                              void **context,
                              enum MHD_RequestTerminationCode code);

/* Requests whose answer is not sent to its end, or given up.  */
uint32_t cv_http_conns_requests (cv_http_conns_t *c);
/* Has the client at ADDRESS closed its connection, or its sending side?  */
bool cv_http_conns_gone (cv_http_conns_t *c, const struct sockaddr *address);

#endif
