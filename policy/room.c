/* Room in one engine's memory.  */

#include <string.h>

#include "policy/room.h"

/* Part of the memory that is granted.  */
#define MEMORY_FILL 0.97
/* Part of it that requests may use which are late already; about one run less,
   so that one that comes in time finds room.  */
#define LATE_FILL 0.85
/* Standard deviations of the forecast that are kept free; in trials 0.6 and 1.0
   served alike, 0.3 worse.  A forecast that proves too low costs a move to
   another engine, or a run that is preempted.  */
#define SIGMAS 0.8
/* Memory is short when what is expected within the next 48 tokens of each run,
   about half a second, exceeds this part of it.  A move takes up to that.  */
#define CROWDED_FILL 0.985
#define CROWDED_POINT 1
/* An engine with less than this to read could take another prompt.  */
#define UNREAD_IDLE 500
/* Runs that may be on their way to an engine at once: copies queue on its link,
   and a run that has stopped waits for those before it.  */
#define INCOMING_MAX 1
/* A run that was refused a rescue asks again within this.  */
#define RESCUE_HOLD (150 * CV_MS)
/* A granted request is at its engine after this, in the queue at least.  */
#define ARRIVAL (200 * CV_MS)
/* A run that moves takes at most so long to go on.  */
#define MOVE_MAX (4 * CV_SECOND)
/* What is assumed of a run whose request is not known here.  */
#define UNKNOWN_OUTPUT ((cv_output_t){ 512, 2048 })

void
cv_room_init (cv_room_t *r)
{
  memset (r, 0, sizeof *r);
  r->strain = CV_STRAIN_NONE;
}

/* Its prompt is still to be read.  */
static bool
is_new (cv_room_purpose_t purpose)
{
  return purpose == CV_ROOM_NEW || purpose == CV_ROOM_LATE;
}

static cv_room_grant_t *
find (cv_room_t *r, uint64_t run)
{
  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    if (r->grants[i].need.run == run)
      return &r->grants[i];
  return NULL;
}

static const cv_room_run_t *
find_run (const cv_room_report_t *report, uint64_t run)
{
  for (uint32_t i = 0; i < report->run_count; i++)
    if (report->runs[i].run == run)
      return &report->runs[i];
  return NULL;
}

/* Forget grants whose run has ended.  */
static void
drop_ended (cv_room_t *r, const cv_room_report_t *report)
{
  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    {
      cv_room_grant_t *g = &r->grants[i];
      bool was_seen = g->seen;

      if (g->need.run == 0)
        continue;
      g->seen = find_run (report, g->need.run) != NULL;
      r->has_started = r->has_started || (g->seen && !was_seen);
      if (was_seen && !g->seen)
        g->need.run = 0;
    }
}

/* Forget grants whose request will not come, the oldest first: word of it may
   have been lost, and the engine has fewer requests without an event.  */
static void
drop_lost (cv_room_t *r, cv_time_t now, uint32_t pending)
{
  cv_room_grant_t *oldest;
  uint32_t arrived;

  do
    {
      oldest = NULL;
      arrived = 0;
      for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
        {
          cv_room_grant_t *g = &r->grants[i];
          bool moves = !is_new (g->need.purpose);

          if (g->need.run == 0 || g->seen
              || now - g->since <= (moves ? MOVE_MAX : ARRIVAL))
            continue;
          if (moves)
            {
              g->need.run = 0;
              continue;
            }
          arrived++;
          if (oldest == NULL || g->since < oldest->since)
            oldest = g;
        }
      if (arrived > pending)
        oldest->need.run = 0;
    }
  while (arrived > pending);
}

static void
forecast (cv_forecast_t *f, uint64_t tokens, const cv_output_t *output,
          uint32_t produced)
{
  double alive[CV_FORECAST_POINTS];

  cv_output_survivals (output, produced, cv_forecast_ahead, CV_FORECAST_POINTS,
                       alive);
  cv_forecast_add (f, (double)tokens, alive);
}

/* Count NEED, which is still to come.  */
static void
count_coming (cv_room_sum_t *s, const cv_room_need_t *need)
{
  uint64_t tokens = (uint64_t)need->prompt_tokens + need->produced;

  s->held += tokens;
  s->runs++;
  if (is_new (need->purpose))
    s->unread += need->prompt_tokens;
  forecast (&s->forecast, tokens, &need->output, need->produced);
}

static void
count_run (cv_room_sum_t *s, const cv_room_run_t *run,
           const cv_room_need_t *need)
{
  uint32_t produced = 0;

  if (need != NULL && run->tokens > need->prompt_tokens)
    produced = (uint32_t)(run->tokens - need->prompt_tokens);
  s->held += run->tokens;
  s->runs++;
  forecast (&s->forecast, run->tokens,
            need != NULL ? &need->output : &UNKNOWN_OUTPUT, produced);
}

/* An engine without a run has no strain, whatever else holds its memory.  */
static cv_strain_t
strain_of (const cv_room_t *r)
{
  const cv_room_sum_t *s = &r->sum;
  double total = (double)r->total;
  double mean;

  if (s->runs == 0)
    return CV_STRAIN_NONE;
  if (s->forecast.mean[CROWDED_POINT] > CROWDED_FILL * total)
    return CV_STRAIN_CROWDED;
  mean = (double)s->held / s->runs;
  if (s->unread <= UNREAD_IDLE && (double)r->peak + mean > MEMORY_FILL * total)
    return CV_STRAIN_FULL;
  return CV_STRAIN_NONE;
}

static void
sum_up (cv_room_t *r)
{
  double peak = cv_forecast_peak (&r->sum.forecast, SIGMAS);

  r->peak = peak > (double)r->sum.held ? (uint64_t)peak : r->sum.held;
  r->strain = strain_of (r);
}

void
cv_room_report (cv_room_t *r, cv_time_t now, const cv_room_report_t *report)
{
  uint64_t moving = 0;

  r->total = report->total;
  memset (&r->sum, 0, sizeof r->sum);
  r->has_started = false;
  drop_ended (r, report);
  drop_lost (r, now, report->pending);
  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    {
      const cv_room_need_t *need = &r->grants[i].need;
      const cv_room_run_t *run = find_run (report, need->run);

      if (need->run == 0)
        continue;
      if (run != NULL)
        count_run (&r->sum, run, need);
      else
        count_coming (&r->sum, need);
      if (run == NULL && !is_new (need->purpose))
        moving += need->prompt_tokens + need->produced;
    }
  for (uint32_t i = 0; i < report->run_count; i++)
    if (find (r, report->runs[i].run) == NULL)
      count_run (&r->sum, &report->runs[i], NULL);
  /* The copies of runs that are known to come are counted with these.  */
  if (report->copies > moving)
    r->sum.held += report->copies - moving;
  if (report->used > r->sum.held)
    r->sum.held = report->used;
  sum_up (r);
}

/* Runs whose memory is on its way here.  */
static uint32_t
count_incoming (const cv_room_t *r)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < CV_ROOM_MAX; i++)
    {
      const cv_room_grant_t *g = &r->grants[i];

      n += g->need.run != 0 && !g->seen && !is_new (g->need.purpose);
    }
  return n;
}

/* Whether PART of the memory holds what SUM will need.  */
static bool
fits (const cv_room_t *r, const cv_room_sum_t *sum, double part)
{
  double room = part * (double)r->total;

  return (double)sum->held <= room
         && cv_forecast_peak (&sum->forecast, SIGMAS) <= room;
}

static bool
has_room (const cv_room_t *r, const cv_room_need_t *need)
{
  cv_room_sum_t with = r->sum;

  count_coming (&with, need);
  switch (need->purpose)
    {
    case CV_ROOM_NEW:
      return r->sum.unread <= CV_ROOM_UNREAD_MAX
             && fits (r, &with, MEMORY_FILL);
    case CV_ROOM_LATE:
      return r->sum.unread <= CV_ROOM_UNREAD_MAX && fits (r, &with, LATE_FILL);
    case CV_ROOM_BALANCE:
      return count_incoming (r) < INCOMING_MAX
             && fits (r, &with, CV_ROOM_BALANCE_FILL);
    case CV_ROOM_RESCUE:
      /* Its growth comes later.  */
      return count_incoming (r) < INCOMING_MAX
             && (double)with.held <= MEMORY_FILL * (double)r->total;
    }
  return false;
}

static bool
add (cv_room_t *r, cv_time_t now, const cv_room_need_t *need)
{
  cv_room_grant_t *g = find (r, 0);

  if (g == NULL)
    return false;
  *g = (cv_room_grant_t){ *need, now, false };
  count_coming (&r->sum, need);
  sum_up (r);
  return true;
}

bool
cv_room_ask (cv_room_t *r, cv_time_t now, const cv_room_need_t *need)
{
  if (find (r, need->run) != NULL)
    return true;
  if (need->purpose != CV_ROOM_RESCUE && now < r->rescue_until)
    return false;
  if (has_room (r, need))
    return add (r, now, need);
  if (need->purpose == CV_ROOM_RESCUE)
    r->rescue_until = now + RESCUE_HOLD;
  return false;
}

/* What the run held is counted until the next report.  */
bool
cv_room_release (cv_room_t *r, uint64_t run)
{
  cv_room_grant_t *g = find (r, run);

  if (g == NULL)
    return false;
  if (!g->seen && is_new (g->need.purpose))
    r->sum.unread -= g->need.prompt_tokens;
  g->need.run = 0;
  return !g->seen;
}
