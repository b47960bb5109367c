/* Decisions when the targets of a service are short of room.  */

#include <math.h>
#include <string.h>

#include "policy/shortage.h"

/* A late request whose last start is later than this comes after all others:
   about the duration of a run on a full engine, within which the memory of all
   present runs is freed.  */
#define FAR_DEADLINE_MS 8000
/* Levels of late requests with a far deadline follow all others.  */
#define FAR_LEVEL (2 * (CV_SHORTAGE_RANK_MAX + 1))
/* Time per prompt token and per output token of a run beside others on an
   engine.  */
#define PROMPT_TOKEN_US 140
#define OUTPUT_TOKEN_US 12000
/* A run grows by about 80 tokens in this time, a fortieth of its memory.  */
#define SHORT_HOLD CV_SECOND
/* Most of an engine's memory that is kept for more urgent requests: a quarter
   remains for the others, so that none is starved.  */
#define RESERVE_MAX 0.75
/* A refused request asks again within this time, after the next load report. */
#define REFUSED_TIMEOUT (200 * CV_MS)
/* Weight of old queue times.  */
#define DRAIN_DECAY_S 16.0
/* Shorter queues and fewer requests do not tell the rate at which room comes
   free: the first run that ends after a few seconds without any is often
   followed by others at once.  */
#define DRAIN_QUEUED_MIN_S 4.0
#define DRAIN_COUNT_MIN 8.0
/* Weight of old outcomes: shortages last for tens of seconds.  */
#define SERVED_DECAY_S 30.0
/* Outcomes from which a share is judged.  */
#define SERVED_COUNT_MIN 4.0
/* Least part of the service rate of all that each class, account and size
   gets.  */
#define SERVED_PART_MIN 0.25
/* Part of the used room from which an account is the largest.  */
#define LARGEST_PART 0.5

/* ---- order ---- */

static uint32_t
left_ms (cv_time_t until, cv_time_t now)
{
  return until > now ? (uint32_t)((until - now + CV_MS - 1) / CV_MS) : 0;
}

bool
cv_claim_is_in_time (const cv_claim_t *c, cv_time_t now)
{
  return !c->is_late && now < c->objective_at;
}

uint32_t
cv_shortage_level (uint32_t rank, uint32_t in_time_ms, uint32_t left)
{
  uint32_t r = rank < CV_SHORTAGE_RANK_MAX ? rank : CV_SHORTAGE_RANK_MAX;

  if (in_time_ms > 0)
    return 2 * r;
  return left > FAR_DEADLINE_MS ? FAR_LEVEL + r : 2 * r + 1;
}

bool
cv_claim_is_far (const cv_claim_t *c, cv_time_t now)
{
  return cv_claim_level (c, now) >= FAR_LEVEL;
}

uint32_t
cv_claim_level (const cv_claim_t *c, cv_time_t now)
{
  if (c->is_begun || c->is_starved)
    return 0;
  return cv_shortage_level (
      c->rank,
      cv_claim_is_in_time (c, now) ? left_ms (c->objective_at, now) : 0,
      left_ms (c->deadline_at, now));
}

bool
cv_claim_precedes (const cv_claim_t *a, const cv_claim_t *b, cv_time_t now)
{
  uint32_t a_level = cv_claim_level (a, now);
  uint32_t b_level = cv_claim_level (b, now);

  if (a_level != b_level)
    return a_level < b_level;
  if (a->is_begun != b->is_begun)
    return a->is_begun;
  if (a->is_starved != b->is_starved)
    return a->is_starved;
  if (a->is_of_largest != b->is_of_largest)
    return b->is_of_largest;
  if (cv_claim_is_in_time (a, now) && cv_claim_is_in_time (b, now))
    return a->objective_at < b->objective_at;
  return a->deadline_at < b->deadline_at;
}

cv_time_t
cv_shortage_hold (uint32_t prompt_tokens, uint32_t output_tokens)
{
  return (cv_time_t)prompt_tokens * PROMPT_TOKEN_US
         + (cv_time_t)output_tokens * OUTPUT_TOKEN_US;
}

bool
cv_shortage_is_short (cv_time_t hold)
{
  return hold <= SHORT_HOLD;
}

/* ---- memory kept for more urgent requests ---- */

static double
seconds (cv_time_t t)
{
  return (double)t / (double)CV_SECOND;
}

static double
decay (cv_time_t since, cv_time_t now, double decay_s)
{
  return now > since ? exp (-seconds (now - since) / decay_s) : 1;
}

static cv_level_demand_t *
find_level (cv_demand_t *d, uint32_t level)
{
  cv_level_demand_t *oldest = &d->levels[0];

  for (uint32_t i = 0; i < CV_DEMAND_LEVELS; i++)
    {
      cv_level_demand_t *l = &d->levels[i];

      if (l->run != 0 && l->level == level)
        return l;
      if (l->run == 0
          || (oldest->run != 0 && l->refused_at < oldest->refused_at))
        oldest = l;
    }
  return oldest;
}

void
cv_demand_answered (cv_demand_t *d, cv_time_t now, uint32_t level, uint64_t run,
                    uint64_t tokens, bool granted)
{
  /* Its level may have changed since it was refused.  */
  for (uint32_t i = 0; i < CV_DEMAND_LEVELS; i++)
    if (d->levels[i].run == run)
      d->levels[i].run = 0;
  if (!granted)
    *find_level (d, level) = (cv_level_demand_t){
      .level = level, .run = run, .tokens = tokens, .refused_at = now
    };
}

uint64_t
cv_demand_reserve (const cv_demand_t *d, cv_time_t now, uint32_t level,
                   uint64_t total)
{
  double most = RESERVE_MAX * (double)total;
  double waiting = 0;

  for (uint32_t i = 0; i < CV_DEMAND_LEVELS; i++)
    {
      const cv_level_demand_t *l = &d->levels[i];

      if (l->run != 0 && l->level < level
          && now - l->refused_at < REFUSED_TIMEOUT)
        waiting += (double)l->tokens;
    }
  return (uint64_t)(waiting < most ? waiting : most);
}

/* ---- refused reservations ---- */

void
cv_refused_sizes_add (cv_refused_sizes_t *r, uint32_t level, uint64_t tokens)
{
  if (cv_refused_sizes_covers (r, level, tokens))
    return;
  for (uint32_t i = 0; i < r->count; i++)
    if (r->sizes[i].level == level)
      {
        r->sizes[i].tokens = tokens;
        return;
      }
  if (r->count == CV_REFUSED_SIZES)
    return;
  r->sizes[r->count].level = level;
  r->sizes[r->count++].tokens = tokens;
}

bool
cv_refused_sizes_covers (const cv_refused_sizes_t *r, uint32_t level,
                         uint64_t tokens)
{
  for (uint32_t i = 0; i < r->count; i++)
    if (r->sizes[i].level <= level && r->sizes[i].tokens <= tokens)
      return true;
  return false;
}

/* ---- the queue of one service at one gateway ---- */

void
cv_drain_advance (cv_drain_t *d, cv_time_t now, bool is_queued)
{
  double passed = now > d->updated_at ? seconds (now - d->updated_at) : 0;

  d->updated_at = now;
  if (!is_queued)
    {
      /* The next shortage may be of another kind.  */
      double weight = exp (-passed / DRAIN_DECAY_S);

      d->queued_s *= weight;
      d->count *= weight;
      d->work *= weight;
      return;
    }
  d->queued_s += passed;
  if (d->queued_s > DRAIN_DECAY_S)
    {
      d->count *= DRAIN_DECAY_S / d->queued_s;
      d->work *= DRAIN_DECAY_S / d->queued_s;
      d->queued_s = DRAIN_DECAY_S;
    }
}

void
cv_drain_sent (cv_drain_t *d, double work)
{
  d->count++;
  d->work += work;
}

cv_time_t
cv_drain_wait (const cv_drain_t *d, double work)
{
  double wait_s;

  if (d->queued_s < DRAIN_QUEUED_MIN_S || d->count < DRAIN_COUNT_MIN
      || d->work <= 0)
    return -1;
  wait_s = work * d->queued_s / d->work;
  return wait_s < 3600 ? (cv_time_t)(wait_s * (double)CV_SECOND)
                       : 3600 * CV_SECOND;
}

/* ---- shares of the service ---- */

static bool
is_free (const cv_use_share_t *e)
{
  return e->served + e->refused <= 0;
}

/* Sizes by powers of two.  */
static uint64_t
size_key (uint64_t tokens)
{
  uint64_t key = 0;

  while (tokens >>= 1)
    key++;
  return key;
}

static const cv_use_share_t *
find_share (const cv_use_t *s, cv_share_kind_t kind, uint64_t key)
{
  for (uint32_t i = 0; i < CV_USE_ENTRIES; i++)
    if (s->entries[i].kind == kind && s->entries[i].key == key
        && !is_free (&s->entries[i]))
      return &s->entries[i];
  return NULL;
}

static cv_use_share_t *
make_share (cv_use_t *s, cv_share_kind_t kind, uint64_t key)
{
  const cv_use_share_t *found = find_share (s, kind, key);
  cv_use_share_t *e = &s->entries[1];

  if (kind == CV_SHARE_OF_ALL)
    return &s->entries[0];
  if (found != NULL)
    return &s->entries[found - s->entries];
  for (uint32_t i = 1; i < CV_USE_ENTRIES && !is_free (e); i++)
    if (is_free (&s->entries[i]) || s->entries[i].updated_at < e->updated_at)
      e = &s->entries[i];
  *e = (cv_use_share_t){ .kind = kind, .key = key };
  return e;
}

static void
record_share (cv_use_t *s, cv_time_t now, cv_share_kind_t kind, uint64_t key,
              double work, bool served)
{
  cv_use_share_t *e = make_share (s, kind, key);
  double weight = decay (e->updated_at, now, SERVED_DECAY_S);

  e->served = e->served * weight + (served ? 1 : 0);
  e->refused = e->refused * weight + (served ? 0 : 1);
  e->work = e->work * weight + (served ? work : 0);
  e->updated_at = now;
}

void
cv_use_record (cv_use_t *s, cv_time_t now, const cv_use_request_t *q,
               bool served)
{
  record_share (s, now, CV_SHARE_OF_ALL, 0, q->work, served);
  record_share (s, now, CV_SHARE_OF_CLASS, q->class_key, q->work, served);
  record_share (s, now, CV_SHARE_OF_ACCOUNT, q->account_key, q->work, served);
  record_share (s, now, CV_SHARE_OF_SIZE, size_key (q->tokens), q->work,
                served);
}

static bool
is_share_starved (const cv_use_t *s, cv_time_t now, cv_share_kind_t kind,
                  uint64_t key)
{
  const cv_use_share_t *all = &s->entries[0];
  const cv_use_share_t *e = find_share (s, kind, key);
  double count;

  if (e == NULL || is_free (all))
    return false;
  count = e->served + e->refused;
  if (count * decay (e->updated_at, now, SERVED_DECAY_S) < SERVED_COUNT_MIN)
    return false;
  return e->served / count
         < SERVED_PART_MIN * all->served / (all->served + all->refused);
}

bool
cv_use_is_starved (const cv_use_t *s, cv_time_t now, const cv_use_request_t *q)
{
  return is_share_starved (s, now, CV_SHARE_OF_CLASS, q->class_key)
         || is_share_starved (s, now, CV_SHARE_OF_ACCOUNT, q->account_key)
         || is_share_starved (s, now, CV_SHARE_OF_SIZE, size_key (q->tokens));
}

bool
cv_use_is_largest (const cv_use_t *s, cv_time_t now, const cv_use_request_t *q)
{
  const cv_use_share_t *all = &s->entries[0];
  const cv_use_share_t *e = find_share (s, CV_SHARE_OF_ACCOUNT, q->account_key);

  if (e == NULL)
    return false;
  return e->work * decay (e->updated_at, now, SERVED_DECAY_S)
         > LARGEST_PART * all->work
               * decay (all->updated_at, now, SERVED_DECAY_S);
}
