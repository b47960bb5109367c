/* Trials of what was quarantined: when they are due, and which request may be
   one.  Load pattern: requests with a bad part come to many gateways within
   milliseconds, and a target may take longer than that to crash.  A trial is
   claimed under a condition in the platform's store, so that there is one in
   the fleet at a time, and a claim counts as a failed trial until its request
   has completed, also when nothing more is heard of it.  */

#include "policy/suspects_table.h"

/* Time for which a first strike counts.  Quarantined content is admitted for
   one trial after this time, and after twice as long for each further crash. */
#define STRIKE_LIFETIME_S (6 * 3600)
/* A part that sound requests share is missed more than one content, and the
   evidence on it is less certain: it is tried sooner, at each gateway after
   another time within twice this.  After the last trial only an operator lifts
   a quarantine.  */
static const int64_t part_lifetime_s[] = { 3, 30, 600 };
#define PART_TRIALS_MAX (sizeof part_lifetime_s / sizeof *part_lifetime_s)

static bool is_part (const cv_suspect_t *e);
static uint32_t claim_count (const cv_suspect_t *e);
static uint32_t count_trials (const cv_suspect_t *e);
static bool is_due (const cv_suspects_t *s, const cv_suspect_hash_t *h,
                    const cv_suspect_request_t *r, int64_t wall_s);

int64_t
cv_suspect_newest_time (const cv_suspect_t *e)
{
  int64_t newest = e->claim.wall_s;

  for (int i = 0; i < STRIKES_KEPT; i++)
    if (e->strike[i].wall_s > newest)
      newest = e->strike[i].wall_s;
  return newest;
}

static bool
is_part (const cv_suspect_t *e)
{
  for (int i = 0; i < KNOWN_KEPT; i++)
    if (e->strike[i].source != 0)
      return true;
  return false;
}

static uint32_t
claim_count (const cv_suspect_t *e)
{
  return e->claim.wall_s > e->cleared ? e->claim.number : 0;
}

/* Trials of the part E that failed: strikes after a time without any.  Many
   strikes within a short time are no trials, and do not delay the first one. */
static uint32_t
count_trials (const cv_suspect_t *e)
{
  uint32_t trials = 0;

  for (int i = 0; i < STRIKES_KEPT; i++)
    {
      int64_t previous = 0;

      for (int k = 0; k < STRIKES_KEPT; k++)
        if (e->strike[k].wall_s < e->strike[i].wall_s && cv_strike_counts (e, k)
            && e->strike[k].wall_s > previous)
          previous = e->strike[k].wall_s;
      trials += cv_strike_counts (e, i) && previous > 0
                && e->strike[i].wall_s - previous >= part_lifetime_s[0];
    }
  return trials;
}

int64_t
cv_suspect_lifetime (const cv_suspects_t *s, const cv_suspect_t *e,
                     uint32_t strikes)
{
  uint32_t claims = claim_count (e);
  uint32_t trials;

  if (strikes < CV_SUSPECT_STRIKES)
    return STRIKE_LIFETIME_S;
  if (is_part (e))
    {
      trials = count_trials (e);
      if (claims > trials)
        trials = claims;
      return trials < PART_TRIALS_MAX
                 ? (int64_t)((double)part_lifetime_s[trials]
                             * (1 + s->trial_delay))
                 : INT64_MAX;
    }
  if (claims > strikes - CV_SUSPECT_STRIKES)
    strikes = claims + CV_SUSPECT_STRIKES;
  if (strikes >= STRIKE_LEVELS)
    return INT64_MAX;
  return (int64_t)STRIKE_LIFETIME_S << (strikes - CV_SUSPECT_STRIKES);
}

void
cv_suspects_set_trial_delay (cv_suspects_t *s, double delay)
{
  s->trial_delay = delay;
}

void
cv_suspect_join_claim (cv_suspect_t *e, cv_trial_claim_t other)
{
  if (other.wall_s > e->claim.wall_s
      || (other.wall_s == e->claim.wall_s && other.number > e->claim.number))
    e->claim = other;
}

bool
cv_suspect_is_granted (const cv_suspect_t *e, const cv_suspect_hash_t *h)
{
  return h->trial != 0 && h->trial == claim_count (e)
         && cv_suspect_newest_time (e) == e->claim.wall_s;
}

/* Whether H was quarantined in R and may be tried.  */
static bool
is_due (const cv_suspects_t *s, const cv_suspect_hash_t *h,
        const cv_suspect_request_t *r, int64_t wall_s)
{
  const cv_suspect_t *e = cv_suspect_find (s, h->hash);

  return e != NULL && e->named_count >= CV_SUSPECT_STRIKES
         && cv_suspects_state (s, h->hash, wall_s) == CV_CONTENT_SUSPECT
         && cv_suspect_accuses (s, h->hash, r, wall_s);
}

bool
cv_suspects_trial_is_due (const cv_suspects_t *s, const cv_suspect_request_t *r,
                          int64_t wall_s)
{
  if (s->count == 0)
    return false;
  if (is_due (s, &r->content, r, wall_s))
    return true;
  for (uint32_t i = 0; i < r->part_count; i++)
    if (is_due (s, &r->parts[i], r, wall_s))
      return true;
  return false;
}

static bool
claim (cv_suspects_t *s, const cv_suspect_request_t *r, cv_suspect_hash_t *h,
       int64_t wall_s)
{
  cv_suspect_t *e;

  h->trial = 0;
  if (!is_due (s, h, r, wall_s))
    return false;
  e = cv_suspect_get (s, h->hash);
  /* What is due is older than WALL_S, so that the new claim is the newest.  */
  e->claim
      = (cv_trial_claim_t){ .number = claim_count (e) + 1, .wall_s = wall_s };
  h->trial = e->claim.number;
  return true;
}

bool
cv_suspects_claim_trial (cv_suspects_t *s, cv_suspect_request_t *r,
                         int64_t wall_s)
{
  bool is_any = claim (s, r, &r->content, wall_s);

  for (uint32_t i = 0; i < r->part_count; i++)
    is_any |= claim (s, r, &r->parts[i], wall_s);
  return is_any;
}

static const cv_suspect_hash_t *
find_hash (const cv_suspect_request_t *r, uint64_t hash)
{
  if (r->content.hash == hash)
    return &r->content;
  for (uint32_t i = 0; i < r->part_count; i++)
    if (r->parts[i].hash == hash)
      return &r->parts[i];
  return NULL;
}

bool
cv_suspect_request_grant (cv_suspect_request_t *r,
                          const cv_suspect_request_t *claimed)
{
  const cv_suspect_hash_t *h = find_hash (claimed, r->content.hash);
  bool is_any;

  r->content.trial = h != NULL ? h->trial : 0;
  is_any = r->content.trial != 0;
  for (uint32_t i = 0; i < r->part_count; i++)
    {
      h = find_hash (claimed, r->parts[i].hash);
      r->parts[i].trial = h != NULL ? h->trial : 0;
      is_any |= r->parts[i].trial != 0;
    }
  return is_any;
}

void
cv_suspect_request_revoke (cv_suspect_request_t *r)
{
  r->content.trial = 0;
  for (uint32_t i = 0; i < r->part_count; i++)
    r->parts[i].trial = 0;
}
