/* Shares of the requests that cold targets take.  */

#include "policy/warmup.h"

#include <string.h>

/* Part of the rate that a target takes at the beginning of its warm-up, when
   its prefix cache is empty.  */
#define FIRST_PART 0.25
/* A number of gateways that was heard counts for this time, as entries of the
   store's list may be missing after an outage of the store.  */
#define COUNT_MAX_AGE (30 * CV_SECOND)
/* Gateways that start together have read each other's entries within this time:
   each reads the list every 2 s.  */
#define SETTLE_PERIOD (2500 * CV_MS)

static cv_time_t
later (cv_time_t a, cv_time_t b)
{
  return a > b ? a : b;
}

void
cv_warmup_state (cv_warmup_t *w, cv_time_t left, cv_time_t now)
{
  w->stated_at = now;
  w->stated_until = now + left;
}

cv_time_t
cv_warmup_end (const cv_warmup_t *w, const cv_warmup_limit_t *l)
{
  cv_time_t begin = later (w->started_at, w->returned_at);

  return later (begin > 0 ? begin + l->length : 0, w->stated_until);
}

double
cv_warmup_rate (const cv_warmup_t *w, const cv_warmup_limit_t *l, cv_time_t now)
{
  cv_time_t length = later (l->length, w->stated_until - w->stated_at);
  cv_time_t left = cv_warmup_end (w, l) - now;
  double part = length > 0 ? (double)left / (double)length : 0;

  return l->per_s * (1 - (1 - FIRST_PART) * (part < 1 ? part : 1));
}

uint32_t
cv_warmup_quota (double rate, const cv_warmup_place_t *place)
{
  uint32_t whole = rate > 1 ? (uint32_t)rate : 1;

  if (place->gateways == 0)
    return 0;
  return whole / place->gateways
         + (place->place < whole % place->gateways ? 1 : 0);
}

/* Time from which less than QUOTA requests, at least 1, were sent in a second
   before it.  */
static cv_time_t
room_at (const cv_warmup_t *w, uint32_t quota, cv_time_t now)
{
  cv_time_t newest = now / CV_WARMUP_SLOT;
  uint32_t sum = 0;

  for (cv_time_t slot = newest; slot > newest - CV_WARMUP_SLOTS; slot--)
    {
      if (slot > w->newest_slot || slot <= w->newest_slot - CV_WARMUP_SLOTS)
        continue;
      sum += w->sends[slot % CV_WARMUP_SLOTS];
      if (sum >= quota)
        return (slot + CV_WARMUP_SLOTS) * CV_WARMUP_SLOT;
    }
  return now;
}

cv_time_t
cv_warmup_opens_at (const cv_warmup_t *w, const cv_warmup_limit_t *l,
                    const cv_warmup_place_t *place, cv_time_t now)
{
  cv_time_t end = cv_warmup_end (w, l);
  double rate;
  uint32_t quota;
  cv_time_t at;

  if (!(l->per_s > 0) || now >= end)
    return now;
  rate = cv_warmup_rate (w, l, now);
  quota = cv_warmup_quota (rate, place);
  if (quota == 0)
    return end;
  at = room_at (w, quota, now);
  if (rate < 1 && w->sent_at > 0)
    at = later (at, w->sent_at + (cv_time_t)((double)CV_SECOND / rate));
  return at < end ? at : end;
}

void
cv_warmup_record (cv_warmup_t *w, cv_time_t now)
{
  cv_time_t slot = now / CV_WARMUP_SLOT;

  if (slot - w->newest_slot >= CV_WARMUP_SLOTS)
    memset (w->sends, 0, sizeof w->sends);
  else
    for (cv_time_t s = w->newest_slot + 1; s <= slot; s++)
      w->sends[s % CV_WARMUP_SLOTS] = 0;
  w->newest_slot = slot;
  w->sends[slot % CV_WARMUP_SLOTS]++;
  w->sent_at = now;
}

void
cv_warmup_fleet_heard (cv_warmup_fleet_t *f, uint32_t count, double overshoot,
                       cv_time_t now)
{
  if (count < f->largest && now - f->confirmed_at < COUNT_MAX_AGE)
    return;
  if ((double)count > overshoot * f->largest
      && !(f->has_rejoined && f->largest == 0))
    f->grown_at = now;
  f->largest = count;
  f->confirmed_at = now;
}

void
cv_warmup_fleet_rejoined (cv_warmup_fleet_t *f)
{
  f->has_rejoined = true;
  /* The first list may have been heard already.  */
  if (f->grown_at == f->confirmed_at)
    f->grown_at = 0;
}

uint32_t
cv_warmup_fleet_count (const cv_warmup_fleet_t *f, cv_time_t now)
{
  return f->largest > 0 && now - f->grown_at >= SETTLE_PERIOD ? f->largest : 0;
}

cv_warmup_place_t
cv_warmup_place (uint32_t ahead, uint32_t listed, uint32_t gateways)
{
  cv_warmup_place_t p = { .gateways = gateways, .place = ahead };

  if (listed < gateways)
    p.place = (uint32_t)((uint64_t)(ahead + 1) * gateways / listed - 1);
  return p;
}
