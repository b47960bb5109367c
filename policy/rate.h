/* Limits of targets: the rate of requests that a target in need takes from all
   gateways together.  Load pattern: a target names its limit in its answers for
   as long as it holds, and its requests arrive at any gateway, unevenly, and at
   a gateway often less than one in the time of several.

   One gateway, the keeper, counts the requests for one target and gives a
   permit for each.  docs/design/target-limits.md has the rules.  */

#ifndef CV_POLICY_RATE_H
#define CV_POLICY_RATE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Limits are rounded to these parts of a request a second, as they are sent to
   other gateways, so that all know the same number.  */
#define CV_RATE_UNIT 1e6

/* What a gateway knows of the limit of one target.  */
typedef struct
{
  bool is_limited;
  double per_s; /* of IS_LIMITED: requests a second, rounded to CV_RATE_UNIT */
  cv_time_t since;       /* of IS_LIMITED: when it was first named */
  cv_time_t evidence_at; /* of the newest evidence, 0: none */
} cv_rate_limit_t;

/* The target named the limit PER_S in an answer that arrived at AT.  Returns
   whether this changes L.  */
bool cv_rate_limit_named (cv_rate_limit_t *l, double per_s, cv_time_t at);
/* The target named no limit in the answer to a request that was sent at
   SENT_AT. The answer may be older than the newest evidence unless the request
   was sent later.  Returns whether this changes L.  */
bool cv_rate_limit_ended (cv_rate_limit_t *l, cv_time_t sent_at);

/* A keeper that was not heard for this time is taken to be lost: it announces
   itself four times as often, so that a network which loses one packet in ten
   causes that once in ten thousand times.  */
#define CV_RATE_KEEPER_TIMEOUT (1 * CV_SECOND)
/* Interval of a keeper's announcements.  */
#define CV_RATE_KEEPER_INTERVAL (CV_RATE_KEEPER_TIMEOUT / 4)

/* The count of one target's requests, and which gateway keeps it.  Each gateway
   has a rank for each target; of two keepers that hear of each other, the one
   of the lower rank resigns.  */
typedef struct
{
  bool is_keeper;         /* this gateway is */
  uint64_t keeper_rank;   /* of another keeper, if one is known */
  cv_time_t heard_at;     /* from that one, 0: never */
  double level;           /* requests that may be sent now */
  double backlog;         /* refused requests that will be asked for again */
  cv_time_t updated_at;   /* of LEVEL and BACKLOG */
  uint32_t wait_priority; /* of the most urgent refused request, until
                             WAIT_UNTIL */
  cv_time_t wait_until;
  cv_time_t asked_at; /* last request for a permit */
} cv_rate_keeper_t;

typedef struct
{
  bool is_granted;
  cv_time_t wait; /* of a refusal: until a permit is likely */
} cv_rate_reply_t;

/* Whether another gateway is known to be the keeper.  */
bool cv_rate_keeper_is_known (const cv_rate_keeper_t *k, cv_time_t now);
/* This gateway becomes the keeper.  Its count begins without permits, as those
   of a former keeper may still be in use.  */
void cv_rate_keeper_begin (cv_rate_keeper_t *k, cv_time_t now);
void cv_rate_keeper_resign (cv_rate_keeper_t *k);
/* Another gateway, of RANK, states that it is the keeper.  Returns whether it
   is taken for the keeper.  */
bool cv_rate_keeper_heard (cv_rate_keeper_t *k, uint64_t own_rank,
                           uint64_t rank, cv_time_t now);
/* The gateway of RANK is not the keeper any longer.  */
void cv_rate_keeper_left (cv_rate_keeper_t *k, uint64_t rank);
/* Whether nothing was asked of this keeper for so long that it may resign.  */
bool cv_rate_keeper_is_idle (const cv_rate_keeper_t *k, cv_time_t now);
/* One request of PRIORITY, 0 the most urgent, is to be sent to the target,
   which has the limit PER_S.  Called at the keeper.  */
cv_rate_reply_t cv_rate_keeper_ask (cv_rate_keeper_t *k, double per_s,
                                    uint32_t priority, cv_time_t now);
/* A permit was not used.  */
void cv_rate_keeper_returned (cv_rate_keeper_t *k);

/* Time until a request can be sent to one of several targets, all of which have
   limits of PER_S in sum, when AHEAD others wait before it and the first permit
   is likely after FIRST.  */
cv_time_t cv_rate_wait (cv_time_t first, uint32_t ahead, double per_s);

#ifdef __cplusplus
}
#endif

#endif
