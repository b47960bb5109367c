/* Limits of targets at a gateway: what is known of them, and the permits of the
   gateway that counts a target's requests.  docs/design/target-limits.md has
   the rules.  */

#ifndef CV_GATEWAY_LIMIT_H
#define CV_GATEWAY_LIMIT_H

#include <netinet/in.h>

#include "platform/platform.h"
#include "policy/rate.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;
typedef struct cv_exchange_t cv_exchange_t;
typedef struct cv_target_t cv_target_t;

/* Of one target.  */
typedef struct
{
  cv_rate_limit_t known;
  struct sockaddr_in source; /* gateway that told of it; port 0: an answer */
  bool has_malformed;        /* a malformed limit was logged */
  cv_rate_keeper_t keeper;
  struct sockaddr_in keeper_address; /* of another gateway, if it is known */
  /* Gateways, in the order of their ranks, that did not reply to a request for
     a permit since one did.  */
  uint32_t silent_gateways;
  cv_time_t blocked_until; /* the keeper refused a permit, or did not reply */
  uint32_t sends_left;     /* of the present limit to all gateways */
  cv_time_t next_send_at;  /* of the limit, or as the keeper */
} cv_target_limit_t;

/* Of one exchange that is to be sent to a target with a limit.  */
typedef struct
{
  cv_target_t *target; /* a permit for it is awaited; NULL: none */
  uint64_t number;     /* of the request to the keeper, 0: none is pending */
  cv_time_t asked_at;
  bool was_redirected;
  const cv_target_t
      *granted_for; /* by the attempt that begins; only compared */
} cv_permit_t;

/* limit.c */
/* Records what an answer of T to a request that was sent at SENT_AT says of the
   limit of T.  */
void cv_limit_observe (cv_target_t *t, const cv_answer_fields_t *fields,
                       cv_time_t sent_at);
/* Handles a message of the gateway FROM.  */
void cv_limit_handle_message (cv_gateway_t *g, const cv_msg_rate_t *m,
                              const struct sockaddr_in *from);
/* Sends M, with what is known of the limit of T added, to TO, or to all other
   gateways if TO is NULL.  */
void cv_limit_send (const cv_target_t *t, cv_msg_rate_t *m,
                    const struct sockaddr_in *to);
/* Sends what is due of the limits to the other gateways.  */
void cv_limits_tick (cv_gateway_t *g, cv_time_t now);
/* Tells the other gateways that this one counts no longer.  */
void cv_limits_finish (cv_gateway_t *g);
/* Whether the limit of T lets a new request be sent or a permit be requested.
 */
bool cv_limit_admits (const cv_target_t *t, cv_time_t now);
/* Logs that X is not sent now because of the limit of T.  */
void cv_limit_log_wait (const cv_exchange_t *x, const cv_target_t *t,
                        cv_time_t wait, const char *reason, const char *next);

/* keeper.c */
/* The gateway of the highest rank for T, this one if no other is known.  */
const struct sockaddr_in *cv_keeper_first_gateway (const cv_target_t *t);
/* This gateway asks for a permit to send a request of PRIORITY to T, with
   NUMBER in the reply.  Returns true with REPLY if this gateway is the keeper.
 */
bool cv_keeper_ask (cv_target_t *t, uint64_t number, uint32_t priority,
                    cv_rate_reply_t *reply);
/* The keeper of T did not reply in time.  */
void cv_keeper_silent (cv_target_t *t);
/* Handles the steps of M that concern the keeper of T.  */
void cv_keeper_handle (cv_target_t *t, const cv_msg_rate_t *m,
                       const struct sockaddr_in *from);
void cv_keeper_tick (cv_target_t *t, cv_time_t now);
void cv_keeper_leave (cv_target_t *t);

/* permit.c */
/* X is to be sent to T now.  Returns true if it was not sent because the limit
   of T does not permit it yet: then X waits for a permit, is placed elsewhere,
   or has ended.  */
bool cv_permit_await (cv_exchange_t *x, cv_target_t *t);
void cv_permit_tick (cv_exchange_t *x, cv_time_t now);
/* X, which goes on from a copy at T, is sent at a later tick.  */
void cv_permit_hold (cv_exchange_t *x, cv_target_t *t);
/* X does not wait for a permit any longer.  */
void cv_permit_cancel (cv_exchange_t *x);
/* Replies of the keeper of T to the request NUMBER.  cv_permit_granted returns
   false if the permit is not used.  */
bool cv_permit_granted (cv_target_t *t, uint64_t number);
void cv_permit_refused (cv_target_t *t, uint64_t number, cv_time_t wait);
void cv_permit_redirected (cv_target_t *t, uint64_t number);

#ifdef __cplusplus
}
#endif

#endif
