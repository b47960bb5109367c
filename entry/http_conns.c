/* Table of the HTTP server's connections.  The HTTP library passes only the
   client's address to a request handler, so sockets are looked up by
   address.  */

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include <ulfius.h>

#include "entry/http_conns.h"

struct cv_http_conn_t
{
  LIST_ENTRY (cv_http_conn_t) link;
  struct sockaddr_in address;
  int fd;
  bool has_request;      /* its first line was read, its response is not sent */
  bool receive_shutdown; /* by cv_http_conns_close_idle */
};

static const char *abort_reason (enum MHD_RequestTerminationCode code);
static void set_has_request (cv_http_conns_t *c,
                             struct MHD_Connection *connection,
                             bool has_request);
static struct cv_http_conn_list_t *bucket (cv_http_conns_t *c,
                                           const struct sockaddr_in *address);
static cv_http_conn_t *add_connection (cv_http_conns_t *c,
                                       struct MHD_Connection *connection);

void
cv_http_conns_init (cv_http_conns_t *c)
{
  memset (c, 0, sizeof *c);
  CV_INVARIANT (pthread_mutex_init (&c->lock, NULL) == 0);
}

void
cv_http_conns_finish (cv_http_conns_t *c)
{
  cv_http_conn_t *conn;

  for (size_t i = 0; i < CV_HTTP_CONN_BUCKETS; i++)
    while ((conn = LIST_FIRST (&c->buckets[i])) != NULL)
      {
        LIST_REMOVE (conn, link);
        free (conn);
      }
  (void)pthread_mutex_destroy (&c->lock);
}

void
cv_http_conns_connection_notify (void *arg, struct MHD_Connection *connection,
                                 void **context,
                                 enum MHD_ConnectionNotificationCode code)
{
  cv_http_conns_t *c = arg;

  (void)pthread_mutex_lock (&c->lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    *context = add_connection (c, connection);
  else if (*context != NULL)
    {
      LIST_REMOVE ((cv_http_conn_t *)*context, link);
      c->count--;
      free (*context);
      *context = NULL;
    }
  (void)pthread_mutex_unlock (&c->lock);
}

void *
cv_http_conns_request_started (void *arg, const char *uri,
                               struct MHD_Connection *connection)
{
  cv_http_conns_t *c = arg;

  set_has_request (c, connection, true);
  (void)__atomic_add_fetch (&c->active_requests, 1, __ATOMIC_RELAXED);
  return ulfius_uri_logger (NULL, uri);
}

void
cv_http_conns_request_completed (void *arg, struct MHD_Connection *connection,
                                 void **context,
                                 enum MHD_RequestTerminationCode code)
{
  cv_http_conns_t *c = arg;

  if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
    cv_log (CV_EV_ENTRY_REQUEST_ABORTED, "%s", abort_reason (code));
  mhd_request_completed (NULL, connection, context, code);
  set_has_request (c, connection, false);
  (void)__atomic_sub_fetch (&c->active_requests, 1, __ATOMIC_RELAXED);
}

uint32_t
cv_http_conns_active_requests (cv_http_conns_t *c)
{
  int n = __atomic_load_n (&c->active_requests, __ATOMIC_RELAXED);

  return n > 0 ? (uint32_t)n : 0;
}

uint32_t
cv_http_conns_count (cv_http_conns_t *c)
{
  uint32_t n;

  (void)pthread_mutex_lock (&c->lock);
  n = c->count;
  (void)pthread_mutex_unlock (&c->lock);
  return n;
}

void
cv_http_conns_close_idle (cv_http_conns_t *c)
{
  cv_http_conn_t *conn;

  (void)pthread_mutex_lock (&c->lock);
  for (size_t i = 0; i < CV_HTTP_CONN_BUCKETS; i++)
    LIST_FOREACH (conn, &c->buckets[i], link)
  if (!conn->has_request && !conn->receive_shutdown)
    {
      conn->receive_shutdown = true;
      (void)shutdown (conn->fd, SHUT_RD);
    }
  (void)pthread_mutex_unlock (&c->lock);
}

bool
cv_http_conns_is_client_gone (cv_http_conns_t *c,
                              const struct sockaddr *address)
{
  const struct sockaddr_in *in
      = (const struct sockaddr_in *)(const void *)address;
  struct pollfd p = { 0 };
  const cv_http_conn_t *conn;
  bool gone = false;

  if (address == NULL || address->sa_family != AF_INET)
    return false;
  (void)pthread_mutex_lock (&c->lock);
  LIST_FOREACH (conn, bucket (c, in), link)
  if (conn->address.sin_port == in->sin_port
      && conn->address.sin_addr.s_addr == in->sin_addr.s_addr)
    {
      p.fd = conn->fd;
      /* After a shutdown by this process the event says nothing about the
         client.  */
      p.events = conn->receive_shutdown ? 0 : POLLRDHUP;
      gone = poll (&p, 1, 0) > 0
             && (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
  (void)pthread_mutex_unlock (&c->lock);
  return gone;
}

static const char *
abort_reason (enum MHD_RequestTerminationCode code)
{
  switch (code)
    {
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
      return "the caller sent or read nothing for the idle time";
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
      return "the process ends";
    case MHD_REQUEST_TERMINATED_READ_ERROR:
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
      return "the caller closed the connection";
    case MHD_REQUEST_TERMINATED_COMPLETED_OK:
    case MHD_REQUEST_TERMINATED_WITH_ERROR:
      break;
    }
  return "the connection ended";
}

static void
set_has_request (cv_http_conns_t *c, struct MHD_Connection *connection,
                 bool has_request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  cv_http_conn_t *conn = info == NULL ? NULL : info->socket_context;

  if (conn == NULL)
    return;
  (void)pthread_mutex_lock (&c->lock);
  conn->has_request = has_request;
  (void)pthread_mutex_unlock (&c->lock);
}

static struct cv_http_conn_list_t *
bucket (cv_http_conns_t *c, const struct sockaddr_in *address)
{
  uint64_t h = cv_hash (&address->sin_addr, sizeof address->sin_addr,
                        address->sin_port);

  return &c->buckets[h % CV_HTTP_CONN_BUCKETS];
}

static cv_http_conn_t *
add_connection (cv_http_conns_t *c, struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *address = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const union MHD_ConnectionInfo *fd
      = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  cv_http_conn_t *conn;

  if (address == NULL || fd == NULL
      || address->client_addr->sa_family != AF_INET)
    return NULL;
  conn = cv_calloc (1, sizeof *conn);
  memcpy (&conn->address, address->client_addr, sizeof conn->address);
  conn->fd = fd->connect_fd;
  LIST_INSERT_HEAD (bucket (c, &conn->address), conn, link);
  c->count++;
  return conn;
}
