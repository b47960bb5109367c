/* Sending and receiving of messages over UDP, one message per datagram.  */

#ifndef CV_WIRE_DATAGRAM_H
#define CV_WIRE_DATAGRAM_H

#include <netinet/in.h>

#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Exceeds the longest message over UDP, a document of suspects with one part
   that has all strikes and companions; usual messages have about 120 bytes.  */
#define CV_DATAGRAM_MAX_BYTES 8192

/* Handles one message; false with ERR when OWNER cannot use it.  */
typedef bool cv_datagram_handler_t (void *owner, const cv_msg_t *msg,
                                    const struct sockaddr_in *from,
                                    cv_error_t *err);

/* Opens a non-blocking UDP socket bound to ADDRESS (NULL: any address and
   port).  Returns the descriptor, or -1 with ERR.  */
int cv_datagram_open (const struct sockaddr_in *address, cv_error_t *err);
/* Never blocks and reports no error: a datagram that the socket buffer cannot
   hold is lost, so the caller repeats messages that must arrive.  */
void cv_datagram_send (int fd, const struct sockaddr_in *to,
                       const cv_msg_t *msg);
/* Passes the messages queued at FD to HANDLER, up to a fixed number per call so
   that one socket cannot starve the event loop.  A datagram that does not
   decode, or that HANDLER does not accept, is dropped and logged under the
   event that the argument INVALID names.  */
void cv_datagram_dispatch (int fd, cv_event_t invalid,
                           cv_datagram_handler_t *handler, void *owner);

#ifdef __cplusplus
}
#endif

#endif
