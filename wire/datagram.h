/* Messages as datagrams, one each, over UDP.  */

#ifndef CV_WIRE_DATAGRAM_H
#define CV_WIRE_DATAGRAM_H

#include <netinet/in.h>

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef enum
{
  CV_DATAGRAM_NONE = 1, /* nothing waits at the socket */
  CV_DATAGRAM_MESSAGE,
  CV_DATAGRAM_INVALID /* it was dropped; ERR says why */
} cv_datagram_t;

/* A non-blocking socket bound to ADDRESS (NULL: any); -1 with ERR.  */
int cv_datagram_open (const struct sockaddr_in *address, cv_error_t *err);
/* One that finds no room is lost; what matters is said again.  */
void cv_datagram_send (int fd, const struct sockaddr_in *to,
                       const cv_msg_t *msg);
cv_datagram_t cv_datagram_take (int fd, cv_msg_t *msg, struct sockaddr_in *from,
                                cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
