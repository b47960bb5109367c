/* Shares of the requests that cold targets take.  Load pattern: targets start
   under full load, take few requests a second until they are warm and crash at
   more, while gateways send to them that know nothing of each other.

   Each gateway has an equal part of a target's rate, by the number of gateways
   that it knows; what cannot be divided goes to those of the first ranks, which
   all gateways compute in the same way.  docs/design/warmup.md has the rules.
 */

#ifndef CV_POLICY_WARMUP_H
#define CV_POLICY_WARMUP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Sends are counted in slots; any second lies in one slot more than it has.  */
#define CV_WARMUP_SLOT (50 * CV_MS)
#define CV_WARMUP_SLOTS (CV_SECOND / CV_WARMUP_SLOT + 1)

/* What a service declares for its cold targets.  */
typedef struct
{
  cv_time_t length; /* of the warm-up after a start */
  double per_s;     /* requests a second of all gateways, 0: no limit */
} cv_warmup_limit_t;

/* A gateway among those that share the rate of one target.  */
typedef struct
{
  uint32_t gateways; /* that share it, 0: not known */
  uint32_t place;    /* of this one, from 0, by rank for the target */
} cv_warmup_place_t;

/* One target at one gateway.  Times are 0 for what did not happen.  */
typedef struct
{
  cv_time_t started_at;
  cv_time_t returned_at; /* the evacuation of its failure domain ended */
  cv_time_t stated_at;   /* it stated the rest of its warm-up */
  cv_time_t stated_until;
  cv_time_t sent_at;               /* of the last request */
  cv_time_t newest_slot;           /* number of the slot of SENT_AT */
  uint32_t sends[CV_WARMUP_SLOTS]; /* by number of the slot */
} cv_warmup_t;

/* The target states that LEFT of its warm-up is left.  */
void cv_warmup_state (cv_warmup_t *w, cv_time_t left, cv_time_t now);
/* End of the warm-up; not after NOW when the target is warm.  */
cv_time_t cv_warmup_end (const cv_warmup_t *w, const cv_warmup_limit_t *l);
/* Requests a second that a cold target takes now from all gateways: a part of
   the limit that grows to the whole of it.  */
double cv_warmup_rate (const cv_warmup_t *w, const cv_warmup_limit_t *l,
                       cv_time_t now);
/* Requests that the gateway at PLACE may send in any second, of RATE.  The sum
   over all places is RATE at most, or 1.  */
uint32_t cv_warmup_quota (double rate, const cv_warmup_place_t *place);
/* Time from which the target takes a request of this gateway, of which PLACE is
   known: NOW, or a later one.  */
cv_time_t cv_warmup_opens_at (const cv_warmup_t *w, const cv_warmup_limit_t *l,
                              const cv_warmup_place_t *place, cv_time_t now);
/* A request is sent to the target.  */
void cv_warmup_record (cv_warmup_t *w, cv_time_t now);

/* The number of gateways that divide the rates, by what one of them hears.  */
typedef struct
{
  uint32_t largest;
  cv_time_t confirmed_at; /* LARGEST was last heard */
  cv_time_t grown_at;     /* to more than differing lists account for */
  bool has_rejoined;
} cv_warmup_fleet_t;

/* A list or a message shows COUNT gateways.  OVERSHOOT: factor by which a
   target's limit may be exceeded.  */
void cv_warmup_fleet_heard (cv_warmup_fleet_t *f, uint32_t count,
                            double overshoot, cv_time_t now);
/* An earlier process of this gateway was registered: the first list has the
   whole fleet, unlike at its first start.  */
void cv_warmup_fleet_rejoined (cv_warmup_fleet_t *f);
/* The largest number heard of late; 0: not known, or it has just grown.  */
uint32_t cv_warmup_fleet_count (const cv_warmup_fleet_t *f, cv_time_t now);
/* The place of a gateway before which AHEAD of LISTED gateways rank, which
   includes it, among GATEWAYS.  Those that are not listed count as ahead in
   proportion.  */
cv_warmup_place_t cv_warmup_place (uint32_t ahead, uint32_t listed,
                                   uint32_t gateways);

#ifdef __cplusplus
}
#endif

#endif
