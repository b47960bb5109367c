/* Measures an entry's decision on one request: prediction of the output
   length, admission and routing.

   bench_decision_cost TARGETS ACCOUNTS DECISIONS
     sets up the policy state of an entry with TARGETS targets and ACCOUNTS
     accounts, makes DECISIONS decisions, and prints the time per decision and
     the number of heap allocations.  Exits 1 when a decision allocates.
     bench/decision_cost/run counts the instructions of this program.  */

#include <stdio.h>
#include <stdlib.h>

#include "policy/policy.h"

#define POOL 1
#define MODELS 14 /* as in the design load of tools/capacity */
#define CLASSES 3
#define MAX_OUTPUT_TOKENS 32768

static uint64_t allocations; /* calls of malloc, calloc and realloc */

#ifndef CV_NO_WRAP

extern void *__real_malloc (size_t n);
extern void *__real_calloc (size_t n, size_t size);
extern void *__real_realloc (void *p, size_t n);
void *__wrap_malloc (size_t n);
void *__wrap_calloc (size_t n, size_t size);
void *__wrap_realloc (void *p, size_t n);

void *
__wrap_malloc (size_t n)
{
  allocations++;
  return __real_malloc (n);
}

void *
__wrap_calloc (size_t n, size_t size)
{
  allocations++;
  return __real_calloc (n, size);
}

void *
__wrap_realloc (void *p, size_t n)
{
  allocations++;
  return __real_realloc (p, n);
}

#endif

typedef struct
{
  cv_router_t *router;
  cv_limits_t *limits;
  cv_length_t *length;
  uint32_t accounts;
  cv_rng_t rng;
  uint32_t admitted;
} entry_t;

static void setup (entry_t *e, uint32_t targets, uint32_t accounts);
static void decide (entry_t *e, cv_time_t now);

/* Returns the length-prediction key of a random request.  */
static cv_length_key_t
random_key (entry_t *e)
{
  return (cv_length_key_t){ .account = 1 + cv_rng_below (&e->rng, e->accounts),
                            .class_id = 1 + cv_rng_below (&e->rng, CLASSES),
                            .model = 1 + cv_rng_below (&e->rng, MODELS) };
}

static void
setup (entry_t *e, uint32_t targets, uint32_t accounts)
{
  *e = (entry_t){ .accounts = accounts };
  cv_rng_init (&e->rng, 1);
  e->router = cv_router_new (1);
  e->limits = cv_limits_new (1);
  e->length = cv_length_new (1024);
  /* The number of entries is that of the design load of tools/capacity.  */
  cv_limits_set_entries (e->limits, 1800);
  for (uint32_t i = 0; i < targets; i++)
    {
      cv_load_t load = { .running = 20, .kv_total = 40000 };

      load.kv_used = cv_rng_below (&e->rng, 40000);
      cv_router_report (e->router, 0, i, POOL, CV_TARGET_STATE_LIVE, &load);
    }
  for (uint32_t i = 0; i < accounts; i++)
    {
      cv_account_limits_t limits = { .weight = 1 + i % 5 };

      cv_limits_set (e->limits, 1 + i, &limits);
    }
  for (int i = 0; i < 20000; i++)
    {
      cv_length_key_t key = random_key (e);

      cv_length_observe (e->length, &key, 1 + cv_rng_below (&e->rng, 2000));
      cv_limits_charge (e->limits, i, key.account, 10);
    }
}

static void
decide (entry_t *e, cv_time_t now)
{
  cv_length_key_t key = random_key (e);
  cv_route_request_t route = { .pool = POOL,
                               .prefix_hash = cv_rng_below (&e->rng, 5000),
                               .prompt_tokens = 800,
                               .avoid = CV_NO_TARGET };
  uint32_t target;

  route.expect
      = cv_length_remaining (e->length, &key, 0, MAX_OUTPUT_TOKENS, .5);
  cv_limits_set_pressure (e->limits, cv_router_pressure (e->router, POOL));
  if (!cv_limits_admit (e->limits, now, key.account, route.expect).admitted)
    return;
  target = cv_router_pick (e->router, now, &route);
  if (target == CV_NO_TARGET)
    return;
  e->admitted++;
  cv_router_started (e->router, now, target, &route);
}

int
main (int argc, char **argv)
{
  uint32_t decisions;
  uint64_t allocations_before;
  bool allocated;
  cv_time_t start;
  entry_t e;

  if (argc != 4)
    return 2;
  decisions = (uint32_t)strtoul (argv[3], NULL, 10);
  setup (&e, (uint32_t)strtoul (argv[1], NULL, 10),
         (uint32_t)strtoul (argv[2], NULL, 10));
  allocations_before = allocations;
  start = cv_now ();
  for (uint32_t i = 0; i < decisions; i++)
    decide (&e, 20000 + i);
  if (decisions > 0)
    printf ("targets %s accounts %s: %.2f us a decision, %u of %u admitted, "
            "%llu allocations\n",
            argv[1], argv[2], (double)(cv_now () - start) / decisions,
            e.admitted, decisions,
            (unsigned long long)(allocations - allocations_before));
  allocated = allocations != allocations_before;
  cv_router_free (e.router);
  cv_limits_free (e.limits);
  cv_length_free (e.length);
  cv_rng_finish (&e.rng);
  return allocated ? 1 : 0;
}
