/* Sending and receiving of messages over UDP.  */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/line.h"
#include "wire/datagram.h"

/* Messages handled per call before control returns to the event loop.  */
#define MESSAGES_PER_CALL_MAX 64

int
cv_datagram_open (const struct sockaddr_in *address, cv_error_t *err)
{
  struct sockaddr_in any = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    {
      (void)cv_fail (err, CV_ERR_SYSTEM, "socket: %s", strerror (errno));
      return -1;
    }
  if (address == NULL)
    address = &any;
  if (bind (fd, (const struct sockaddr *)address, sizeof *address) == 0)
    return fd;
  (void)cv_fail (err, CV_ERR_SYSTEM, "cannot bind UDP port %u: %s",
                 ntohs (address->sin_port), strerror (errno));
  (void)close (fd);
  return -1;
}

void
cv_datagram_send (int fd, const struct sockaddr_in *to, const cv_msg_t *msg)
{
  cv_buf_t frame;

  cv_buf_init (&frame);
  cv_msg_encode (msg, &frame);
  (void)sendto (fd, frame.p, frame.n, MSG_NOSIGNAL, (const struct sockaddr *)to,
                sizeof *to);
  cv_buf_finish (&frame);
}

/* Result of reading one datagram.  */
typedef enum
{
  RECEIVE_NONE = 1, /* no datagram is queued */
  RECEIVE_MESSAGE,
  RECEIVE_INVALID /* the datagram was dropped; ERR has the reason */
} receive_result_t;

/* MSG may refer to FRAME.  */
static receive_result_t
receive_message (int fd, char frame[CV_DATAGRAM_MAX_BYTES], cv_msg_t *msg,
                 struct sockaddr_in *from, cv_error_t *err)
{
  socklen_t size = sizeof *from;
  ssize_t n = recvfrom (fd, frame, CV_DATAGRAM_MAX_BYTES, 0,
                        (struct sockaddr *)from, &size);

  if (n < 0)
    return RECEIVE_NONE;
  return cv_msg_decode (msg, frame, (size_t)n, err) ? RECEIVE_MESSAGE
                                                    : RECEIVE_INVALID;
}

void
cv_datagram_dispatch (int fd, cv_event_t invalid,
                      cv_datagram_handler_t *handler, void *owner)
{
  for (int i = 0; i < MESSAGES_PER_CALL_MAX; i++)
    {
      char frame[CV_DATAGRAM_MAX_BYTES];
      struct sockaddr_in from;
      cv_error_t err = { 0 };
      cv_msg_t msg;
      receive_result_t result = receive_message (fd, frame, &msg, &from, &err);
      cv_line_t l;

      if (result == RECEIVE_NONE)
        return;
      if (result == RECEIVE_MESSAGE && handler (owner, &msg, &from, &err))
        continue;
      cv_line_begin (&l, invalid);
      cv_line_text (&l, "reason", cv_slice (err.text));
      cv_line_end (&l);
    }
}
