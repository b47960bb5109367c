/* Events of the engine: a body fed whole and in two pieces leads to the same
   state.  The first byte tells where it is cut.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "side/engine.h"

typedef struct
{
  uint32_t offset;
  bool over;
  bool broken;
} end_t;

static void emit (void *arg, const cv_side_out_t *out);
static end_t feed (const char *p, size_t n, size_t cut);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  const char *body = (const char *)data + 1;
  end_t whole;
  end_t parts;

  if (n < 2)
    return 0;
  n--;
  whole = feed (body, n, n);
  parts = feed (body, n, data[0] % n);
  CV_INVARIANT (whole.offset == parts.offset && whole.over == parts.over
                && whole.broken == parts.broken);
  return 0;
}

static void
emit (void *arg, const cv_side_out_t *out)
{
  (void)arg;
  (void)out;
}

static end_t
feed (const char *p, size_t n, size_t cut)
{
  static const cv_side_core_settings_t none;
  cv_run_t *slots[1] = { NULL };
  cv_engine_t engine;
  cv_side_core_t core;
  cv_run_t run = { .engine = &engine, .ref = { .id = { 1, 2 } } };
  end_t end;

  cv_side_init (&core, 0, &none, emit, NULL);
  cv_engine_init (&engine, &core, NULL, "");
  engine.slots = slots;
  slots[0] = &run;
  cv_buf_init (&run.line);
  TAILQ_INSERT_TAIL (&engine.runs, &run, link);
  cv_engine_feed (&run, p, cut);
  cv_engine_feed (&run, p + cut, n - cut);
  end.offset = run.offset;
  end.over = run.over;
  end.broken = run.broken;
  cv_buf_finish (&run.line);
  json_tokener_free (engine.tokener);
  cv_side_finish (&core);
  return end;
}
