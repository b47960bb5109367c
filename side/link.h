/* Connections of entries: a ZeroMQ ROUTER socket with one message per frame.
   Each routing identity is mapped to a small peer number.  */

#ifndef CV_SIDE_LINK_H
#define CV_SIDE_LINK_H

#include "side/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_LINK_IDENTITY_MAX_BYTES 255

typedef struct
{
  bool used;
  bool failed; /* a send failed; the core is yet to be notified */
  uint64_t identity_hash;
  size_t identity_size;
  unsigned char identity[CV_LINK_IDENTITY_MAX_BYTES];
} cv_link_peer_t;

typedef struct
{
  void *context;
  void *socket;
  int fd; /* edge-triggered: read until empty after each wake-up and send */
  cv_link_peer_t *peers; /* indexed by peer number */
  uint32_t peer_count;
  bool any_failed;
  cv_buf_t out; /* encoding of the message being sent */
} cv_link_t;

/* Bind to the ZeroMQ endpoint BIND.  */
bool cv_link_init (cv_link_t *l, const char *bind, cv_error_t *err);
/* Waits up to 2 s for queued messages to be sent.  */
void cv_link_finish (cv_link_t *l);
/* Pass a bounded number of received messages to CORE.  True when more may be
   queued.  */
bool cv_link_receive (cv_link_t *l, cv_side_core_t *core);
void cv_link_send (cv_link_t *l, uint32_t peer, const cv_msg_t *msg);
/* Make the number PEER available again.  */
void cv_link_free_peer (cv_link_t *l, uint32_t peer);
/* Report to CORE each entry to which a send failed.  */
void cv_link_report_failed (cv_link_t *l, cv_side_core_t *core);

#ifdef __cplusplus
}
#endif

#endif
