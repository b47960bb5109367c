/* Account limits: concurrency, a token bucket charged as tokens are produced,
   and, under overload, the weighted share of recent work.  Each entry enforces
   its fraction of the limits that the operator declared.  */

#include <math.h>
#include <stdlib.h>

#include "policy/map.h"
#include "policy/policy.h"

/* Time in which the weight of past work decays to 1/e.  */
#define RECENT_DECAY_US (10.0 * 1e6)
/* Multiple of its weighted share that an account may take at pressure 1, and
   the increase of this multiple for each unit of pressure below 1.  */
#define SHARE_SLACK 1.2
#define SHARE_SLACK_SLOPE 15.0
#define PRESSURE_MIN 0.8
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 30000
#define RETRY_CONCURRENCY_MS 500
#define RETRY_OVERLOAD_MS 1000

typedef struct account_t
{
  TAILQ_ENTRY (account_t) link; /* in the active list, by last activity */
  cv_account_limits_t limits;
  uint32_t in_flight;
  double bucket; /* tokens left, negative while in debt */
  double recent; /* decayed work, tokens */
  cv_time_t updated_at;
  cv_time_t active_at; /* last request or token */
  bool has_bucket;     /* the bucket has been filled once */
  bool active;         /* in the active list */
} account_t;

typedef TAILQ_HEAD (account_list_t, account_t) account_list_t;

struct cv_limits_t
{
  cv_map_t index;
  account_t **accounts;
  account_list_t active; /* oldest activity first */
  uint32_t count;
  uint32_t cap;
  uint32_t entries; /* that share the limits */
  double pressure;
  double recent_sum; /* of all accounts, decayed likewise */
  double weight_sum; /* of the active accounts */
  cv_time_t updated_at;
  cv_rng_t rng;
};

static account_t *account_get (cv_limits_t *l, uint64_t name);
static void account_update (cv_limits_t *l, account_t *a, cv_time_t now);
static void account_touch (cv_limits_t *l, account_t *a, cv_time_t now);
static void sums_update (cv_limits_t *l, cv_time_t now);
static bool is_over_share (const cv_limits_t *l, const account_t *a);
static cv_admission_t refuse (cv_limits_t *l, const char *reason, double ms);

cv_limits_t *
cv_limits_new (uint64_t seed)
{
  cv_limits_t *l = cv_calloc (1, sizeof *l);

  cv_map_init (&l->index);
  TAILQ_INIT (&l->active);
  l->entries = 1;
  cv_rng_init (&l->rng, seed);
  return l;
}

void
cv_limits_free (cv_limits_t *l)
{
  if (l == NULL)
    return;
  cv_map_finish (&l->index);
  cv_rng_finish (&l->rng);
  for (uint32_t i = 0; i < l->count; i++)
    free (l->accounts[i]);
  free (l->accounts);
  free (l);
}

static account_t *
account_get (cv_limits_t *l, uint64_t name)
{
  uint32_t i = cv_map_get (&l->index, name);

  if (i != CV_MAP_NONE)
    return l->accounts[i];
  if (l->count == l->cap)
    {
      l->cap = l->cap ? l->cap * 2 : 64;
      l->accounts = cv_realloc (l->accounts, l->cap * sizeof (account_t *));
    }
  i = l->count++;
  l->accounts[i] = cv_calloc (1, sizeof **l->accounts);
  l->accounts[i]->limits.weight = 1;
  cv_map_put (&l->index, name, i);
  return l->accounts[i];
}

void
cv_limits_set (cv_limits_t *l, uint64_t account,
               const cv_account_limits_t *limits)
{
  account_t *a = account_get (l, account);
  uint32_t old_weight = a->limits.weight;

  a->limits = *limits;
  if (a->limits.weight == 0)
    a->limits.weight = 1;
  if (a->active)
    l->weight_sum += (double)a->limits.weight - old_weight;
}

void
cv_limits_set_entries (cv_limits_t *l, uint32_t entries)
{
  l->entries = entries > 0 ? entries : 1;
}

void
cv_limits_set_pressure (cv_limits_t *l, double pressure)
{
  l->pressure = pressure;
}

static void
sums_update (cv_limits_t *l, cv_time_t now)
{
  account_t *a;

  if (now > l->updated_at)
    {
      l->recent_sum *= exp (-(double)(now - l->updated_at) / RECENT_DECAY_US);
      l->updated_at = now;
    }
  while ((a = TAILQ_FIRST (&l->active)) != NULL
         && now - a->active_at > (cv_time_t)RECENT_DECAY_US)
    {
      TAILQ_REMOVE (&l->active, a, link);
      l->weight_sum -= a->limits.weight;
      a->active = false;
    }
}

/* Moves A to the end of the active list.  */
static void
account_touch (cv_limits_t *l, account_t *a, cv_time_t now)
{
  if (a->active)
    TAILQ_REMOVE (&l->active, a, link);
  else
    l->weight_sum += a->limits.weight;
  a->active = true;
  a->active_at = now;
  TAILQ_INSERT_TAIL (&l->active, a, link);
}

static void
account_update (cv_limits_t *l, account_t *a, cv_time_t now)
{
  double rate = (double)a->limits.tokens_per_s / l->entries;
  double burst = (double)a->limits.burst_tokens / l->entries;
  double dt = now > a->updated_at ? (double)(now - a->updated_at) : 0;

  if (burst < rate)
    burst = rate;
  a->bucket = a->has_bucket ? a->bucket + rate * dt / 1e6 : burst;
  if (a->bucket > burst)
    a->bucket = burst;
  a->recent *= exp (-dt / RECENT_DECAY_US);
  a->has_bucket = true;
  if (now > a->updated_at)
    a->updated_at = now;
}

static cv_admission_t
refuse (cv_limits_t *l, const char *reason, double ms)
{
  uint32_t base = ms < RETRY_MIN_MS   ? RETRY_MIN_MS
                  : ms > RETRY_MAX_MS ? RETRY_MAX_MS
                                      : (uint32_t)ms;

  return (cv_admission_t){ .admitted = false,
                           .retry_after_ms = cv_retry_after_ms (&l->rng, base),
                           .reason = reason };
}

/* Returns whether the account has taken more than its weighted share of the
   recent work of the active accounts, with the slack allowed.  */
static bool
is_over_share (const cv_limits_t *l, const account_t *a)
{
  double slack = SHARE_SLACK;
  double fair;

  if (l->pressure < 1)
    slack += SHARE_SLACK_SLOPE * (1 - l->pressure);
  if (l->recent_sum <= 0 || l->weight_sum <= 0)
    return false;
  fair = l->recent_sum * a->limits.weight / l->weight_sum;
  return a->recent > slack * fair;
}

cv_admission_t
cv_limits_admit (cv_limits_t *l, cv_time_t now, uint64_t account,
                 uint32_t expect)
{
  account_t *a = account_get (l, account);
  uint32_t concurrency = a->limits.concurrency;

  (void)expect;
  account_update (l, a, now);
  account_touch (l, a, now);
  sums_update (l, now);
  if (concurrency > 0
      && a->in_flight >= (concurrency + l->entries - 1) / l->entries)
    return refuse (l, "concurrency", RETRY_CONCURRENCY_MS);
  if (a->limits.tokens_per_s > 0 && a->bucket <= 0)
    return refuse (l, "rate",
                   1000 * (1 - a->bucket) * l->entries
                       / a->limits.tokens_per_s);
  if (l->pressure >= PRESSURE_MIN && is_over_share (l, a))
    return refuse (l, "overload", RETRY_OVERLOAD_MS);
  a->in_flight++;
  return (cv_admission_t){ .admitted = true, .reason = "" };
}

void
cv_limits_charge (cv_limits_t *l, cv_time_t now, uint64_t account,
                  uint32_t tokens)
{
  account_t *a = account_get (l, account);

  account_update (l, a, now);
  account_touch (l, a, now);
  sums_update (l, now);
  a->bucket -= tokens;
  a->recent += tokens;
  l->recent_sum += tokens;
}

void
cv_limits_ended (cv_limits_t *l, cv_time_t now, uint64_t account)
{
  account_t *a = account_get (l, account);

  (void)now;
  if (a->in_flight > 0)
    a->in_flight--;
}
