/* Connections of entries: a ZeroMQ ROUTER socket, one message a frame.  An
   entry is told apart by its routing identity and has a small number.  */

#ifndef CV_SIDE_LINK_H
#define CV_SIDE_LINK_H

#include "side/core.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_IDENTITY_MAX 255

typedef struct
{
  bool used;
  bool failed; /* a send failed: tell the core */
  uint64_t hash;
  size_t size;
  unsigned char identity[CV_IDENTITY_MAX];
} cv_link_peer_t;

typedef struct
{
  void *context;
  void *socket;
  int fd; /* edge-triggered: drain after each wake-up and send */
  cv_link_peer_t *peers;
  uint32_t peer_count;
  bool any_failed;
  cv_buf_t out; /* the message that is being sent */
} cv_link_t;

bool cv_link_init (cv_link_t *l, const char *bind, cv_error_t *err);
/* Waits a little for what is still to be sent.  */
void cv_link_finish (cv_link_t *l);
/* Hand received messages to CORE, a bounded number; true when more may be
   waiting.  */
bool cv_link_drain (cv_link_t *l, cv_side_core_t *core);
void cv_link_send (cv_link_t *l, uint32_t peer, const cv_msg_t *msg);
void cv_link_forget (cv_link_t *l, uint32_t peer);
/* Tell CORE of the entries that could not be sent to.  */
void cv_link_check (cv_link_t *l, cv_side_core_t *core);

#ifdef __cplusplus
}
#endif

#endif
