/* Retry budget: each first attempt earns a fraction of a retry, so that retries
   stay a fixed fraction of all attempts whatever causes them.  */

#include "policy/policy.h"

/* Weight of one more retry of a request that was answered 500.  Without help it
   takes 18 in a row to fall from 1 to the least share.  */
#define FAILURE_WEIGHT 0.1
/* A retry costs another request a slot.  Below this share it is worth less than
   that request's answer, by far.  */
#define FAILURE_HELPED_MIN 0.15
/* Of those that are not made, one more than this is tried, so that a few
   failing targets are noticed within some seconds.  */
#define FAILURE_UNUSED_MAX 15
#define RETRY_RATIO 0.1
#define RETRY_CAP 10.0
/* Ten times 0.1 does not add up to exactly 1.  */
#define RETRY_ROUNDING 1e-6
/* Retries available before the first attempt.  */
#define RETRY_INITIAL 3.0

void
cv_retry_budget_init (cv_retry_budget_t *b)
{
  b->credits = RETRY_INITIAL;
  b->ratio = RETRY_RATIO;
  b->cap = RETRY_CAP;
}

void
cv_retry_budget_set (cv_retry_budget_t *b, double ratio, double cap)
{
  b->ratio = ratio;
  b->cap = cap;
  if (b->credits > cap)
    b->credits = cap;
}

void
cv_retry_budget_first (cv_retry_budget_t *b)
{
  b->credits += b->ratio;
  if (b->credits > b->cap)
    b->credits = b->cap;
}

bool
cv_retry_budget_has (const cv_retry_budget_t *b)
{
  return b->credits >= 1 - RETRY_ROUNDING;
}

bool
cv_retry_budget_take (cv_retry_budget_t *b)
{
  if (!cv_retry_budget_has (b))
    return false;
  b->credits -= 1;
  return true;
}

bool
cv_failure_retries_take (cv_failure_retries_t *r)
{
  if (!r->has_share || r->helped >= FAILURE_HELPED_MIN
      || r->unused >= FAILURE_UNUSED_MAX)
    {
      r->unused = 0;
      return true;
    }
  r->unused++;
  return false;
}

void
cv_failure_retries_record (cv_failure_retries_t *r, bool helped)
{
  if (!r->has_share)
    *r = (cv_failure_retries_t){ .helped = 1, .has_share = true };
  r->helped += FAILURE_WEIGHT * ((helped ? 1 : 0) - r->helped);
}

cv_time_t
cv_retry_wait_end (cv_time_t now, cv_time_t first_end, cv_time_t deadline,
                   bool has_begun)
{
  cv_time_t end = has_begun ? deadline : now + (deadline - now) / 2;

  return end > first_end ? end : first_end;
}

uint32_t
cv_retry_after_ms (cv_rng_t *rng, uint32_t base_ms)
{
  if (base_ms == 0)
    base_ms = 1;
  if (base_ms > UINT32_MAX / 2)
    base_ms = UINT32_MAX / 2;
  return base_ms + cv_rng_below (rng, base_ms);
}
