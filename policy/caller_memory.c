/* Whom to shed when callers make a process hold too much memory.  */

#include <stdlib.h>

#include "policy/caller_memory.h"

/* Memory of a process without callers: 14 MB were measured.  Half of the rest
   is held for callers; the other half is left for the kernel's buffers of their
   connections, fragments of the heap, and targets.  */
#define PROCESS_MB 16
#define CALLERS_DIVISOR 2
/* At least this part of a small memory is held for callers.  */
#define CALLERS_MIN_DIVISOR 4
/* Part of the limit that only small callers use.  */
#define RESERVE_DIVISOR 4
/* Shedding ends with this part of the limits free.  */
#define RELIEF_DIVISOR 8
/* A caller that sends or reads nothing for this time is stalled: longer than
   the round trip to any caller, during which no progress can be seen.  */
#define STALL_TIME (250 * CV_MS)
/* Time without progress counts so many times the time with progress.  */
#define STALL_WEIGHT 8

cv_caller_memory_t
cv_caller_memory_limits (uint32_t memory_mb)
{
  uint64_t least = (uint64_t)memory_mb * 1024 * 1024 / CALLERS_MIN_DIVISOR;
  uint64_t all = memory_mb > PROCESS_MB ? (uint64_t)(memory_mb - PROCESS_MB)
                                              * 1024 * 1024 / CALLERS_DIVISOR
                                        : 0;

  if (all < least)
    all = least;
  return (cv_caller_memory_t){ .all = all,
                               .large = all - all / RESERVE_DIVISOR };
}

static bool
is_large (const cv_caller_hold_t *h)
{
  return h->bytes > CV_CALLER_SMALL_BYTES;
}

cv_caller_memory_t
cv_caller_memory_sum (const cv_caller_hold_t *holds, size_t count)
{
  cv_caller_memory_t sum = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      sum.all += holds[i].bytes;
      sum.large += is_large (&holds[i]) ? holds[i].bytes : 0;
    }
  return sum;
}

bool
cv_caller_memory_is_short (const cv_caller_memory_t *sum, size_t large,
                           const cv_caller_memory_t *limits)
{
  return sum->all > limits->all || (large > 1 && sum->large > limits->large);
}

bool
cv_caller_is_stalled (const cv_caller_hold_t *h, cv_time_t now)
{
  return h->stage == CV_HELD_FOR_CALLER && now - h->progress_at >= STALL_TIME;
}

/* The lower, the sooner it is shed.  */
static int
rank (const cv_caller_hold_t *h, cv_time_t now)
{
  if (cv_caller_is_stalled (h, now))
    return 0;
  return h->stage == CV_HELD_AT_TARGET ? 2 : 1;
}

/* Bytes times time, of callers of one rank.  */
static double
weight (const cv_caller_hold_t *h, cv_time_t now)
{
  cv_time_t age = now > h->since ? now - h->since : 0;
  cv_time_t idle = h->stage == CV_HELD_FOR_CALLER && now > h->progress_at
                       ? now - h->progress_at
                       : 0;

  /* Plus one, so that bytes count among callers of the same moment.  */
  return (double)h->bytes * (double)(STALL_WEIGHT * idle + age + 1);
}

static bool
is_shed_before (const cv_caller_hold_t *a, const cv_caller_hold_t *b,
                cv_time_t now)
{
  int ra = rank (a, now);
  int rb = rank (b, now);

  return ra != rb ? ra < rb : weight (a, now) > weight (b, now);
}

typedef struct
{
  const cv_caller_hold_t *holds;
  cv_time_t now;
} cv_shed_order_t;

static int
compare (const void *a, const void *b, void *arg)
{
  const cv_shed_order_t *o = arg;
  const cv_caller_hold_t *ha = &o->holds[*(const size_t *)a];
  const cv_caller_hold_t *hb = &o->holds[*(const size_t *)b];

  return is_shed_before (hb, ha, o->now) - is_shed_before (ha, hb, o->now);
}

size_t
cv_caller_memory_shed (const cv_caller_hold_t *holds, size_t count,
                       const cv_caller_memory_t *limits, cv_time_t now,
                       size_t *shed)
{
  cv_caller_memory_t sum = cv_caller_memory_sum (holds, count);
  cv_caller_memory_t goal
      = { .all = limits->all - limits->all / RELIEF_DIVISOR,
          .large = limits->large - limits->large / RELIEF_DIVISOR };
  cv_shed_order_t order = { holds, now };
  size_t large = 0;
  size_t n = 0;

  for (size_t i = 0; i < count; i++)
    large += is_large (&holds[i]);
  if (!cv_caller_memory_is_short (&sum, large, limits))
    return 0;
  for (size_t i = 0; i < count; i++)
    shed[i] = i;
  qsort_r (shed, count, sizeof *shed, compare, &order);
  for (size_t i = 0;
       i < count && cv_caller_memory_is_short (&sum, large, &goal); i++)
    {
      const cv_caller_hold_t *h = &holds[shed[i]];

      if (is_large (h))
        {
          sum.large -= h->bytes;
          large--;
        }
      else if (large > 1 && sum.large > goal.large)
        continue;
      sum.all -= h->bytes;
      shed[n++] = shed[i];
    }
  return n;
}

size_t
cv_caller_memory_give_way (const cv_caller_hold_t *holds, size_t count,
                           cv_time_t now)
{
  size_t first = count;

  for (size_t i = 0; i < count; i++)
    if (cv_caller_is_stalled (&holds[i], now)
        && (first == count || is_shed_before (&holds[i], &holds[first], now)))
      first = i;
  return first;
}
