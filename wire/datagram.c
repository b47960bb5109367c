/* Messages as datagrams.  */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/line.h"
#include "wire/datagram.h"

/* Messages are about 120 bytes.  */
#define FRAME_MAX 1024
/* Messages taken before other events get their turn.  */
#define BURST_MAX 64

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
  (void)cv_fail (err, CV_ERR_SYSTEM, "datagrams: cannot bind port %u: %s",
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

/* What a socket had to give.  */
typedef enum
{
  TAKEN_NONE = 1, /* nothing waits */
  TAKEN_MESSAGE,
  TAKEN_INVALID /* it was dropped; ERR says why */
} taken_t;

static taken_t
take (int fd, cv_msg_t *msg, struct sockaddr_in *from, cv_error_t *err)
{
  char frame[FRAME_MAX];
  socklen_t size = sizeof *from;
  ssize_t n
      = recvfrom (fd, frame, sizeof frame, 0, (struct sockaddr *)from, &size);

  if (n < 0)
    return TAKEN_NONE;
  return cv_msg_decode (msg, frame, (size_t)n, err) ? TAKEN_MESSAGE
                                                    : TAKEN_INVALID;
}

void
cv_datagram_drain (int fd, cv_event_t invalid, cv_datagram_handler_t *handler,
                   void *owner)
{
  for (int i = 0; i < BURST_MAX; i++)
    {
      struct sockaddr_in from;
      cv_error_t err = { 0 };
      cv_msg_t msg;
      taken_t taken = take (fd, &msg, &from, &err);
      cv_line_t l;

      if (taken == TAKEN_NONE)
        return;
      if (taken == TAKEN_MESSAGE && handler (owner, &msg, &from, &err))
        continue;
      cv_line_begin (&l, invalid);
      cv_line_text (&l, "reason", cv_slice (err.text));
      cv_line_end (&l);
    }
}
