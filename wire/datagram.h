/* Messages as datagrams, one each, over UDP.  */

#ifndef CV_WIRE_DATAGRAM_H
#define CV_WIRE_DATAGRAM_H

#include <netinet/in.h>

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Takes one message; false with ERR when it is none for OWNER.  */
typedef bool cv_datagram_handler_t (void *owner, const cv_msg_t *msg,
                                    const struct sockaddr_in *from,
                                    cv_error_t *err);

/* A non-blocking socket bound to ADDRESS (NULL: any); -1 with ERR.  */
int cv_datagram_open (const struct sockaddr_in *address, cv_error_t *err);
/* One that finds no room is lost; what matters is said again.  */
void cv_datagram_send (int fd, const struct sockaddr_in *to,
                       const cv_msg_t *msg);
/* Hand what waits at FD to HANDLER, up to a bound, so that other events get
   their turn.  What is dropped is logged as INVALID.  */
void cv_datagram_drain (int fd, cv_event_t invalid,
                        cv_datagram_handler_t *handler, void *owner);

#ifdef __cplusplus
}
#endif

#endif
