/* What the other gateways have at engines that no observer reports.  */

#ifndef CV_GATEWAY_SHARES_H
#define CV_GATEWAY_SHARES_H

#include <netinet/in.h>
#include <sys/queue.h>

#include "policy/share.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;

/* What one gateway told last.  */
typedef struct cv_peer_share_t
{
  TAILQ_ENTRY (cv_peer_share_t) entry;
  struct sockaddr_in address;
  cv_time_t heard_at;
  cv_msg_share_t told;
} cv_peer_share_t;

TAILQ_HEAD (cv_peer_shares_t, cv_peer_share_t);

typedef struct
{
  struct cv_peer_shares_t peers;
  cv_share_pace_t pace;
  uint64_t sequence;   /* of the last message sent */
  cv_time_t heard_at;  /* of the last message of any gateway; 0: none */
  cv_time_t summed_at; /* 0: the sums at the targets are to be renewed */
} cv_shares_t;

void cv_shares_init (cv_shares_t *s);
void cv_shares_finish (cv_shares_t *s);
/* Tells the other gateways what this one has, if that is due.  */
void cv_shares_tick (cv_gateway_t *g, cv_time_t now);
/* Handles a message of the gateway at FROM; one that is not known is
   ignored.  */
void cv_shares_handle (cv_gateway_t *g, const cv_msg_share_t *m,
                       const struct sockaddr_in *from);
/* Brings the sums at the targets up to date; false when no gateway has told
   anything lately.  */
bool cv_shares_sum (cv_gateway_t *g, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
