/* Stand-in of a model engine: command line, fault injection and the scheduler
   thread.  */

#include "engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include <xxhash.h>

#define EXIT_POISON 70
#define IDLE_TICK_US 20000 /* interval of load snapshots while idle */

static long long kv_tokens = 65536;
static long long batch = 64;
static long long token_ms = 20;
static long long prefill_ms_per_1k = 50;
static long long queue = 256;
static long long check_fence = 1;
static long long load_lag_ms = 200;
static long long cache_blocks = 512;
static long long event_lag_ms = 500;
static long long event_loss = 5;
static long long boot;

engine_t engine;

static void configure (void);
static void stream_changed (sched_stream_t *stream);
static void *run_scheduler (void *data);
static void wait_for_work (int64_t due_us);
static void set_fault (json_object *switches);

static const standin_option_t options[] = {
  { "kv-tokens", &kv_tokens, "KV-cache memory, in tokens" },
  { "batch", &batch, "most streams that run at once" },
  { "token-ms", &token_ms, "time of one iteration" },
  { "prefill-ms-per-1k", &prefill_ms_per_1k,
    "prefill time of 1000 prompt tokens" },
  { "queue", &queue, "most streams that wait" },
  { "check-fence", &check_fence, "1: reject orders with an old fence" },
  { "load-lag-ms", &load_lag_ms, "age of the load report" },
  { "cache-blocks", &cache_blocks, "capacity of the prefix cache, in blocks" },
  { "event-lag-ms", &event_lag_ms, "delay of the cache events" },
  { "event-loss", &event_loss, "cache events lost, in percent" },
  { "boot", &boot, "number of this start; 0: derived from the clock" },
};
static const standin_t standin
    = { "standin-engine", options, sizeof options / sizeof options[0],
        set_fault, engine_audit };

int
main (int argc, char **argv)
{
  pthread_t thread;

  standin_init (&standin, argc, argv);
  configure ();
  engine_add_endpoints ();
  if (pthread_create (&thread, NULL, run_scheduler, NULL) != 0)
    return EXIT_FAILURE;
  standin_run ();
}

static void
configure (void)
{
  const sched_config_t config = { .kv_tokens = (uint64_t)kv_tokens,
                                  .batch = (uint32_t)batch,
                                  .queue = (uint32_t)queue,
                                  .token_us = token_ms * 1000,
                                  .prefill_us_per_1k = prefill_ms_per_1k * 1000,
                                  .load_lag_us = load_lag_ms * 1000,
                                  .cache_blocks = (uint32_t)cache_blocks,
                                  .event_loss_percent = (uint32_t)event_loss,
                                  .seed = standin_seed (),
                                  .changed = stream_changed };
  pthread_condattr_t attr;
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  engine.boot = (uint64_t)boot;
  if (boot == 0)
    engine.boot
        = (uint32_t)XXH3_64bits_withSeed (&t, sizeof t, (uint64_t)getpid ());
  engine.check_fence = check_fence != 0;
  engine.event_lag_us = event_lag_ms * 1000;
  pthread_mutex_init (&engine.lock, NULL);
  pthread_condattr_init (&attr);
  pthread_condattr_setclock (&attr, CLOCK_MONOTONIC);
  pthread_cond_init (&engine.work, &attr);
  pthread_condattr_destroy (&attr);
  sched_init (&engine.sched, &config);
}

int64_t
engine_now_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void
stream_changed (sched_stream_t *stream)
{
  if (stream->user != NULL)
    pthread_cond_broadcast (stream->user);
}

void
engine_wake_bodies (void)
{
  sched_stream_t *stream;

  TAILQ_FOREACH (stream, &engine.sched.streams, all)
  stream_changed (stream);
}

static void *
run_scheduler (void *data)
{
  (void)data;
  pthread_mutex_lock (&engine.lock);
  for (;;)
    {
      int64_t due = -1;

      if (!standin_is_stalled ())
        due = sched_step (&engine.sched, engine_now_us ());
      if (engine.sched.poisoned)
        _exit (EXIT_POISON);
      wait_for_work (due >= 0 ? due : engine_now_us () + IDLE_TICK_US);
    }
  return NULL;
}

static void
wait_for_work (int64_t due_us)
{
  struct timespec until = { due_us / 1000000, due_us % 1000000 * 1000 };

  pthread_cond_timedwait (&engine.work, &engine.lock, &until);
}

static void
set_fault (json_object *switches)
{
  json_object *factor;

  pthread_mutex_lock (&engine.lock);
  if (json_object_object_get_ex (switches, "slow_factor", &factor)
      && json_object_get_double (factor) > 0)
    engine.sched.slow_factor = json_object_get_double (factor);
  if (standin_bool (switches, "cut_streams", false))
    engine.cuts++;
  engine_wake_bodies ();
  pthread_cond_signal (&engine.work);
  pthread_mutex_unlock (&engine.lock);
}
