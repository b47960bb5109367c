/* Turns to move runs off one engine.  */

#include <string.h>

#include "policy/turns.h"

/* Whoever has not asked for so long is gone or needs no turn any more; they
   ask every 25 ms.  */
#define ASK_TIMEOUT (150 * CV_MS)
/* The largest run takes about 0.5 s between failure domains.  */
#define TURN_MAX (900 * CV_MS)

void
cv_turns_init (cv_turns_t *t)
{
  memset (t, 0, sizeof *t);
  t->holder = CV_TURN_NONE;
}

uint32_t
cv_turns_ask (cv_turns_t *t, cv_time_t now, uint64_t run, uint64_t tokens)
{
  uint32_t place = CV_TURN_NONE;

  for (uint32_t i = 0; i < CV_TURNS_MAX; i++)
    {
      if (t->entries[i].run == run)
        {
          place = i;
          break;
        }
      if (t->entries[i].run == 0 && place == CV_TURN_NONE)
        place = i;
    }
  if (place != CV_TURN_NONE)
    t->entries[place] = (cv_turn_entry_t){ run, tokens, now };
  return place;
}

void
cv_turns_over (cv_turns_t *t, uint64_t run)
{
  for (uint32_t i = 0; i < CV_TURNS_MAX; i++)
    if (t->entries[i].run == run)
      {
        t->entries[i].run = 0;
        if (t->holder == i)
          t->holder = CV_TURN_NONE;
      }
}

/* The smallest goes first: more runs are saved before the engine ends.  */
uint32_t
cv_turns_next (cv_turns_t *t, cv_time_t now)
{
  uint32_t best = CV_TURN_NONE;

  if (t->holder != CV_TURN_NONE && now - t->since < TURN_MAX)
    return t->holder;
  if (t->holder != CV_TURN_NONE)
    t->entries[t->holder].run = 0;
  for (uint32_t i = 0; i < CV_TURNS_MAX; i++)
    {
      cv_turn_entry_t *e = &t->entries[i];

      if (e->run != 0 && now - e->asked > ASK_TIMEOUT)
        e->run = 0;
      if (e->run != 0
          && (best == CV_TURN_NONE || e->tokens < t->entries[best].tokens))
        best = i;
    }
  t->holder = best;
  t->since = now;
  return best;
}
