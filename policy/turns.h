/* Turns to move runs off one engine.  Load pattern: many gateways have runs
   on an engine that ends within a second or two; two copies at once on its
   link delay both, and each run's pause with them.  */

#ifndef CV_POLICY_TURNS_H
#define CV_POLICY_TURNS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Runs that may wait for a turn; an engine's batch is smaller.  */
#define CV_TURNS_MAX 128
#define CV_TURN_NONE UINT32_MAX

typedef struct
{
  uint64_t run;    /* hash of its name, 0: the place is free */
  uint64_t tokens; /* memory to be copied */
  cv_time_t asked; /* last time it was asked for */
} cv_turn_entry_t;

typedef struct
{
  cv_turn_entry_t entries[CV_TURNS_MAX];
  uint32_t holder; /* CV_TURN_NONE: nobody */
  cv_time_t since; /* of the holder's turn */
} cv_turns_t;

void cv_turns_init (cv_turns_t *t);
/* RUN asks for a turn.  Its place, or CV_TURN_NONE when all are taken.  */
uint32_t cv_turns_ask (cv_turns_t *t, cv_time_t now, uint64_t run,
                       uint64_t tokens);
/* RUN needs no turn any more.  */
void cv_turns_over (cv_turns_t *t, uint64_t run);
/* Give the turn to the next where nobody holds it, or its holder takes too
   long.  The holder, or CV_TURN_NONE.  */
uint32_t cv_turns_next (cv_turns_t *t, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
