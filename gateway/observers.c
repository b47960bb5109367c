/* The observers that send load reports, also those of engines that the list of
   instances does not have.  Their hosts do not end with those of the gateways,
   so that they keep what outlives all gateways.  */

#include "gateway/state.h"

/* An observer without a load report for this long has ended; they come at least
   every 0.4 s.  */
#define HEARD_MAX_AGE (3 * CV_SECOND)

static bool
has_address (const cv_observer_peer_t *p, const struct sockaddr_in *address)
{
  return p->address.sin_addr.s_addr == address->sin_addr.s_addr
         && p->address.sin_port == address->sin_port;
}

static bool
is_present (const cv_observer_peer_t *p, cv_time_t now)
{
  return now - p->heard_at < HEARD_MAX_AGE;
}

void
cv_observers_heard (cv_observers_t *s, const struct sockaddr_in *address,
                    cv_time_t now)
{
  cv_observer_peer_t *place = NULL;

  for (uint32_t i = 0; i < s->count; i++)
    {
      if (has_address (&s->peers[i], address))
        {
          s->peers[i].heard_at = now;
          return;
        }
      if (!is_present (&s->peers[i], now))
        place = &s->peers[i];
    }
  if (place == NULL && s->count < CV_OBSERVERS_MAX)
    place = &s->peers[s->count++];
  if (place != NULL)
    *place = (cv_observer_peer_t){ .address = *address, .heard_at = now };
}

uint32_t
cv_observers_send (const cv_gateway_t *g, const cv_msg_t *msg, cv_time_t now)
{
  const cv_observers_t *s = &g->observers;
  uint32_t n = 0;

  for (uint32_t i = 0; i < s->count; i++)
    if (is_present (&s->peers[i], now))
      {
        cv_datagram_send (g->loads_fd, &s->peers[i].address, msg);
        n++;
      }
  return n;
}

const struct sockaddr_in *
cv_observers_ranked (const cv_gateway_t *g, uint64_t key, uint64_t limit,
                     cv_time_t now)
{
  const cv_observers_t *s = &g->observers;
  const struct sockaddr_in *best = NULL;
  uint64_t best_rank = 0;

  for (uint32_t i = 0; i < s->count; i++)
    {
      uint64_t rank = cv_gateway_rank (&s->peers[i].address, key);

      if (!is_present (&s->peers[i], now) || rank >= limit
          || (best != NULL && rank <= best_rank))
        continue;
      best = &s->peers[i].address;
      best_rank = rank;
    }
  return best;
}
