/* The addresses at which the gateways receive messages, read from the store
   every 2 s.  Gateways seldom start or stop, so the lists may be stale, which
   the store counts as a tenth of a call.  */

#ifndef CV_ROSTER_H
#define CV_ROSTER_H

#include <netinet/in.h>

#include "replica/call.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most gateways listed.  Further ones are logged and skipped.  */
#define CV_ROSTER_MAX 512

typedef struct
{
  cv_replica_call_t store;
  cv_event_t skipped; /* logged for a gateway that is skipped */
  cv_time_t next_list_at;
  char list_after[CV_NAME_MAX]; /* last name of the previous page, or "" */
  struct sockaddr_in gateways[CV_ROSTER_MAX];
  uint32_t count;
  /* Gateways of the pages read so far; replaces GATEWAYS after the last
     page.  */
  struct sockaddr_in listed[CV_ROSTER_MAX];
  uint32_t listed_count;
} cv_roster_t;

void cv_roster_init (cv_roster_t *r, struct event_base *base,
                     const struct sockaddr_in *store,
                     cv_store_history_t *history, cv_event_t skipped);
void cv_roster_finish (cv_roster_t *r);
/* Whether the gateway at ADDRESS was listed.  */
bool cv_roster_has (const cv_roster_t *r, const struct sockaddr_in *address);
/* Lists the gateways when it is time, sooner while one is AWAITED (NULL: none)
   that is not listed.  After a failed call the previous list
   stays in use.  */
void cv_roster_tick (cv_roster_t *r, const struct sockaddr_in *awaited,
                     cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
