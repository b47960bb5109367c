/* Room in one engine's memory.  */

#include <string.h>

#include "policy/room.h"

/* Part of the memory that is granted.  Estimates err both ways, and over the
   runs of one engine the errors partly cancel; what is left takes the rest.  */
#define MEMORY_FILL 0.98
/* A run whose output is this short ends long before the others have grown; it
   may use the memory that is kept for their growth.  */
#define SHORT_OUTPUT 64
#define SHORT_FILL 0.97
/* Prompts that may wait to be read when another one comes, whatever its size.
   An engine reads some 7 tokens in a millisecond beside its runs, so this is
   0.6 s, well below the usual objectives for a first event.  */
#define UNREAD_MAX 4000
/* Growth of a run beyond its estimate, or of one without a grant.  */
#define GROWTH_TOKENS 250
/* Between a grant and the engine's own count of its request.  */
#define ARRIVAL (30 * CV_MS)
/* A grant whose request the engine has not shown for so long is void: the
   longest wait for a first event.  */
#define UNSEEN_MAX (8 * CV_SECOND)

void
cv_room_init (cv_room_t *r)
{
  memset (r, 0, sizeof *r);
}

static cv_room_grant_t *
find (cv_room_t *r, uint64_t run)
{
  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    if (r->grants[i].run == run)
      return &r->grants[i];
  return NULL;
}

static const cv_room_run_t *
find_run (const cv_room_run_t *runs, uint32_t n, uint64_t run)
{
  for (uint32_t i = 0; i < n; i++)
    if (runs[i].run == run)
      return &runs[i];
  return NULL;
}

/* Memory of a grant at the end of its run, whose size is now TOKENS.  */
static uint64_t
final_size (const cv_room_grant_t *g, uint64_t tokens)
{
  return tokens + GROWTH_TOKENS / 2 > g->tokens ? tokens + GROWTH_TOKENS
                                                : g->tokens;
}

void
cv_room_report (cv_room_t *r, cv_time_t now, const cv_room_report_t *report)
{
  r->total = report->total;
  r->copies = report->copies;
  r->used = report->used;
  r->promised = report->copies;
  r->unread = 0;
  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    {
      cv_room_grant_t *g = &r->grants[i];
      const cv_room_run_t *run;

      if (g->run == 0)
        continue;
      run = find_run (report->runs, report->run_count, g->run);
      if (run == NULL && (g->seen || now - g->since > UNSEEN_MAX))
        {
          g->run = 0;
          continue;
        }
      g->seen = run != NULL;
      r->promised += run != NULL ? final_size (g, run->tokens) : g->tokens;
      r->unread += run == NULL ? g->prompt_tokens : 0;
      /* A prompt that is being read counts in the engine's own figure soon
         after it was sent.  */
      if (run == NULL && now - g->since < ARRIVAL)
        r->used += g->prompt_tokens;
    }
  for (uint32_t i = 0; i < report->run_count; i++)
    if (find (r, report->runs[i].run) == NULL)
      r->promised += report->runs[i].tokens + GROWTH_TOKENS;
}

static bool
has_room (const cv_room_t *r, uint64_t tokens, uint64_t prompt_tokens)
{
  double total = (double)r->total;

  if (r->unread > UNREAD_MAX)
    return false;
  if ((double)(r->promised + tokens) <= MEMORY_FILL * total)
    return true;
  return tokens - prompt_tokens <= SHORT_OUTPUT
         && (double)(r->used + tokens) <= SHORT_FILL * total;
}

bool
cv_room_ask (cv_room_t *r, cv_time_t now, uint64_t run, uint64_t tokens,
             uint64_t prompt_tokens)
{
  cv_room_grant_t *g = find (r, run);

  if (g != NULL)
    return true;
  if (!has_room (r, tokens, prompt_tokens))
    return false;
  g = find (r, 0);
  if (g == NULL)
    return false;
  *g = (cv_room_grant_t){ run, tokens, prompt_tokens, now, false };
  r->promised += tokens;
  r->used += prompt_tokens;
  r->unread += prompt_tokens;
  return true;
}

void
cv_room_release (cv_room_t *r, uint64_t run)
{
  cv_room_grant_t *g = find (r, run);

  if (g == NULL)
    return;
  r->promised -= g->tokens < r->promised ? g->tokens : r->promised;
  if (!g->seen)
    r->unread -= g->prompt_tokens < r->unread ? g->prompt_tokens : r->unread;
  g->run = 0;
}
