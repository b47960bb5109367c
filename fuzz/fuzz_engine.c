/* Fuzzes the parser of the engine's event stream: a body that arrives in one
   piece and in two leads to the same state.  The first byte of the input
   selects where the body is split.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "side/engine.h"

typedef struct
{
  uint32_t offset;
  bool finished;
  bool invalid;
} run_state_t;

static void discard_output (void *arg, const cv_side_out_t *out);
static run_state_t feed_split (const char *p, size_t n, size_t split);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  const char *body = (const char *)data + 1;
  run_state_t whole;
  run_state_t parts;

  if (n < 2)
    return 0;
  n--;
  whole = feed_split (body, n, n);
  parts = feed_split (body, n, data[0] % n);
  CV_INVARIANT (whole.offset == parts.offset && whole.finished == parts.finished
                && whole.invalid == parts.invalid);
  return 0;
}

static void
discard_output (void *arg, const cv_side_out_t *out)
{
  (void)arg;
  (void)out;
}

/* Feeds a body to a new run in two pieces, the first of SPLIT bytes, and
   returns the resulting state.  */
static run_state_t
feed_split (const char *p, size_t n, size_t split)
{
  static const cv_side_core_settings_t no_settings;
  cv_run_t *slots[1] = { NULL };
  cv_engine_t engine;
  cv_side_core_t core;
  cv_run_t run = { .engine = &engine, .ref = { .id = { 1, 2 } } };
  run_state_t state;

  cv_side_init (&core, 0, &no_settings, discard_output, NULL);
  cv_engine_init (&engine, &core, NULL, "");
  engine.slots = slots;
  slots[0] = &run;
  cv_buf_init (&run.line);
  TAILQ_INSERT_TAIL (&engine.runs, &run, link);
  cv_engine_feed (&run, p, split);
  cv_engine_feed (&run, p + split, n - split);
  state.offset = run.offset;
  state.finished = run.finished;
  state.invalid = run.invalid;
  cv_buf_finish (&run.line);
  json_tokener_free (engine.tokener);
  cv_side_finish (&core);
  return state;
}
