/* Reservations of one engine's KV-cache memory.  */

#include <string.h>

#include "policy/room.h"

/* Fraction of the memory that may be reserved.  */
#define MEMORY_FILL_MAX 0.97
/* Fraction that late requests may use; about one run less, so that a request in
   time can still be admitted.  */
#define LATE_FILL_MAX 0.85
/* Safety margin, in standard deviations of the forecast.  When memory runs out
   all the same, a run is migrated to another engine or preempted.  */
#define FORECAST_SIGMAS 0.8
/* Memory is overcommitted when its expected use after the next 48 tokens of
   each run, about half a second, exceeds this fraction.  A migration takes up
   to half a second.  */
#define OVERCOMMITTED_FILL 0.985
#define OVERCOMMITTED_POINT 1 /* index in cv_forecast_ahead */
/* Up to this prefill backlog an engine is taken to have spare compute, so that
   only memory keeps it from another prompt (CV_PRESSURE_FULL).  Reservations
   are granted up to CV_PREFILL_BACKLOG_MAX_TOKENS.  */
#define PREFILL_IDLE_TOKENS 500
/* Migrations to an engine at once: copies queue on its network link, and a run
   that is paused for its migration waits until the copies before its own are
   done.  */
#define INCOMING_MIGRATIONS_MAX 1
/* A run that is less likely than this to be running at a forecast point is
   taken to have ended before.  */
#define SURVIVAL_MIN 0.05
/* For this long after a CV_RESERVE_RESCUE was refused, other requests are
   refused too, so that freed memory goes to its retry.  */
#define RESCUE_RETRY_TIMEOUT (150 * CV_MS)
/* While runs of engines that stop have asked for memory within this time, long
   new runs leave room for one: without it a run that cannot be moved in time is
   lost with all that it has produced.  Engines are replaced every few seconds
   where they are reclaimed.  */
#define RESCUE_DEMAND_TIME (10 * CV_SECOND)
#define RESCUE_RESERVE_MAX 0.2
#define RESCUE_SIZE_WEIGHT 0.2
/* Time within which a request with a reservation is at its engine, at least in
   the queue.  */
#define ARRIVAL_TIMEOUT (200 * CV_MS)
/* Time in which all gateways have heard of a slow phase and placed a request
   again that they sent before.  */
#define SLOW_NEWS_TIME (100 * CV_MS)
/* Longest time until a migrated run continues.  */
#define MIGRATION_TIMEOUT (4 * CV_SECOND)
/* Assumed for a run without a reservation, in tokens; the median is a quarter
   of the limit, as cv_output_estimate has it without a hint.  */
#define DEFAULT_OUTPUT ((cv_output_t){ .median = 512, .limit = 2048 })

void
cv_reservations_init (cv_reservations_t *r)
{
  memset (r, 0, sizeof *r);
  r->memory_pressure = CV_PRESSURE_NONE;
}

/* Returns whether the prompt is to be prefilled, unlike that of a migration. */
static bool
is_new (cv_reservation_purpose_t purpose)
{
  return purpose == CV_RESERVE_NEW || purpose == CV_RESERVE_LATE;
}

static cv_reservation_t *
find_reservation (cv_reservations_t *r, uint64_t run)
{
  for (uint32_t i = 0; i < CV_RESERVATIONS_MAX; i++)
    if (r->reservations[i].request.run == run)
      return &r->reservations[i];
  return NULL;
}

static const cv_engine_run_t *
find_run (const cv_engine_report_t *report, uint64_t run)
{
  for (uint32_t i = 0; i < report->run_count; i++)
    if (report->runs[i].run == run)
      return &report->runs[i];
  return NULL;
}

/* Updates which reserved runs the engine reports, and drops reservations whose
   run has ended.  */
static void
update_reported (cv_reservations_t *r, const cv_engine_report_t *report)
{
  for (uint32_t i = 0; i < CV_RESERVATIONS_MAX; i++)
    {
      cv_reservation_t *res = &r->reservations[i];
      bool was_reported = res->reported;

      if (res->request.run == 0)
        continue;
      res->reported = find_run (report, res->request.run) != NULL;
      r->has_started = r->has_started || (res->reported && !was_reported);
      if (was_reported && !res->reported)
        res->request.run = 0;
    }
}

/* Drops reservations whose request will not arrive: their release may have been
   lost.  There are such reservations when more have passed the arrival timeout
   than the engine has requests without an event; the oldest are dropped first.
   Reservations for migrations expire.  */
static void
drop_lost (cv_reservations_t *r, cv_time_t now, uint32_t pending)
{
  cv_reservation_t *oldest;
  uint32_t overdue;

  do
    {
      oldest = NULL;
      overdue = 0;
      for (uint32_t i = 0; i < CV_RESERVATIONS_MAX; i++)
        {
          cv_reservation_t *res = &r->reservations[i];
          bool is_migration = !is_new (res->request.purpose);

          if (res->request.run == 0 || res->reported
              || now - res->since
                     <= (is_migration ? MIGRATION_TIMEOUT : ARRIVAL_TIMEOUT))
            continue;
          if (is_migration)
            {
              res->request.run = 0;
              continue;
            }
          overdue++;
          if (oldest == NULL || res->since < oldest->since)
            oldest = res;
        }
      if (overdue > pending)
        oldest->request.run = 0;
    }
  while (overdue > pending);
}

static void
forecast_run (cv_forecast_t *f, uint64_t tokens, const cv_output_t *output,
              uint32_t produced)
{
  double survival[CV_FORECAST_POINTS];

  cv_output_survivals (output, produced, cv_forecast_ahead, CV_FORECAST_POINTS,
                       survival);
  cv_forecast_add (f, (double)tokens, survival);
}

/* Adds REQUEST, whose run the engine has not reported yet.  */
static void
count_reserved (cv_memory_demand_t *s, const cv_reservation_request_t *request)
{
  uint64_t tokens = (uint64_t)request->prompt_tokens + request->produced;

  s->held += tokens;
  s->runs++;
  if (is_new (request->purpose))
    s->prefill_backlog += request->prompt_tokens;
  forecast_run (&s->forecast, tokens, &request->output, request->produced);
}

static void
count_reported (cv_memory_demand_t *s, const cv_engine_run_t *run,
                const cv_reservation_request_t *request)
{
  uint32_t produced = 0;

  if (request != NULL && run->tokens > request->prompt_tokens)
    produced = (uint32_t)(run->tokens - request->prompt_tokens);
  s->held += run->tokens;
  s->runs++;
  forecast_run (&s->forecast, run->tokens,
                request != NULL ? &request->output : &DEFAULT_OUTPUT, produced);
}

/* Without runs there is no memory pressure, whatever else holds the memory.  */
static cv_memory_pressure_t
memory_pressure (const cv_reservations_t *r)
{
  const cv_memory_demand_t *s = &r->demand;
  double total = (double)r->total;
  double mean_held;

  if (s->runs == 0)
    return CV_PRESSURE_NONE;
  if (s->forecast.mean[OVERCOMMITTED_POINT] > OVERCOMMITTED_FILL * total)
    return CV_PRESSURE_OVERCOMMITTED;
  mean_held = (double)s->held / s->runs;
  if (s->prefill_backlog <= PREFILL_IDLE_TOKENS
      && (double)r->peak + mean_held > MEMORY_FILL_MAX * total)
    return CV_PRESSURE_FULL;
  return CV_PRESSURE_NONE;
}

static void
update_peak (cv_reservations_t *r)
{
  double peak = cv_forecast_peak (&r->demand.forecast, FORECAST_SIGMAS);

  r->peak = peak > (double)r->demand.held ? (uint64_t)peak : r->demand.held;
  r->memory_pressure = memory_pressure (r);
}

void
cv_reservations_update (cv_reservations_t *r, cv_time_t now,
                        const cv_engine_report_t *report)
{
  uint64_t migrating = 0;

  r->total = report->total;
  memset (&r->demand, 0, sizeof r->demand);
  r->has_started = false;
  update_reported (r, report);
  drop_lost (r, now, report->pending);
  for (uint32_t i = 0; i < CV_RESERVATIONS_MAX; i++)
    {
      const cv_reservation_request_t *request = &r->reservations[i].request;
      const cv_engine_run_t *run = find_run (report, request->run);

      if (request->run == 0)
        continue;
      if (run != NULL)
        count_reported (&r->demand, run, request);
      else
        count_reserved (&r->demand, request);
      if (run == NULL && !is_new (request->purpose))
        migrating += request->prompt_tokens + request->produced;
    }
  for (uint32_t i = 0; i < report->run_count; i++)
    if (find_reservation (r, report->runs[i].run) == NULL)
      count_reported (&r->demand, &report->runs[i], NULL);
  /* Copies for reserved migrations are counted with their reservations.  */
  if (report->copies > migrating)
    r->demand.held += report->copies - migrating;
  if (report->used > r->demand.held)
    r->demand.held = report->used;
  update_peak (r);
}

/* Returns the number of migrations to this engine under way.  */
static uint32_t
count_incoming_migrations (const cv_reservations_t *r)
{
  uint32_t n = 0;

  for (uint32_t i = 0; i < CV_RESERVATIONS_MAX; i++)
    {
      const cv_reservation_t *res = &r->reservations[i];

      n += res->request.run != 0 && !res->reported
           && !is_new (res->request.purpose);
    }
  return n;
}

/* Returns whether DEMAND fits in FRACTION of the memory, now and later.  */
static bool
fits (const cv_reservations_t *r, const cv_memory_demand_t *demand,
      double fraction)
{
  double limit = fraction * (double)r->total;

  return (double)demand->held <= limit
         && cv_forecast_peak (&demand->forecast, FORECAST_SIGMAS) <= limit;
}

uint64_t
cv_prefill_backlog_max (double factor)
{
  return factor > 0 ? (uint64_t)((double)CV_PREFILL_BACKLOG_MAX_TOKENS / factor)
                    : CV_PREFILL_BACKLOG_MAX_TOKENS;
}

void
cv_reservations_set_pace (cv_reservations_t *r, const cv_pace_estimate_t *pace,
                          cv_time_t slow_since)
{
  r->pace = *pace;
  r->slow_since = pace->is_slow ? slow_since : 0;
}

/* Whether the prompts that wait are prefilled soon.  At the beginning of a slow
   phase no prompt is admitted: its gateway has not heard of the phase.  A
   gateway that asks later has no better engine.  */
static bool
takes_prompt (const cv_reservations_t *r, cv_time_t now)
{
  if (r->slow_since != 0 && now - r->slow_since < SLOW_NEWS_TIME)
    return false;
  return r->demand.prefill_backlog <= cv_prefill_backlog_max (r->pace.factor);
}

static cv_time_t
hold_time (const cv_reservation_request_t *request)
{
  return cv_shortage_hold (request->prompt_tokens, request->output.median);
}

/* Returns the number of forecast points at which the run of REQUEST may still
   be running.  */
static uint32_t
count_points (const cv_reservation_request_t *request)
{
  double survival[CV_FORECAST_POINTS];
  uint32_t n = 0;

  cv_output_survivals (&request->output, request->produced, cv_forecast_ahead,
                       CV_FORECAST_POINTS, survival);
  while (n < CV_FORECAST_POINTS && survival[n] >= SURVIVAL_MIN)
    n++;
  return n;
}

/* Memory that a run which holds its own for long leaves to runs of engines that
   stop: room for one, while such runs come.  */
static double
rescue_reserve (const cv_reservations_t *r, cv_time_t now)
{
  double most = RESCUE_RESERVE_MAX * (double)r->total;

  if (r->rescued_at == 0 || now - r->rescued_at > RESCUE_DEMAND_TIME)
    return 0;
  return r->rescue_tokens < most ? r->rescue_tokens : most;
}

/* Returns whether REQUEST fits beside what is kept for more urgent ones.  It is
   part of WITH.  A run that ends soon may use the memory that the forecast
   keeps for the later growth of others.  */
static bool
fits_level (const cv_reservations_t *r, cv_time_t now,
            const cv_reservation_request_t *request,
            const cv_memory_demand_t *with)
{
  uint64_t reserve
      = cv_demand_reserve (&r->requests, now, request->level, r->total);
  double limit = MEMORY_FILL_MAX * (double)r->total - (double)reserve;

  if (!cv_shortage_is_short (hold_time (request)))
    limit -= rescue_reserve (r, now);
  return (double)with->held <= limit
         && cv_forecast_peak_until (&with->forecast, FORECAST_SIGMAS,
                                    count_points (request))
                <= limit;
}

static bool
can_reserve (const cv_reservations_t *r, cv_time_t now,
             const cv_reservation_request_t *request)
{
  cv_memory_demand_t with = r->demand;

  count_reserved (&with, request);
  if (request->has_level && is_new (request->purpose))
    return takes_prompt (r, now) && fits_level (r, now, request, &with);
  switch (request->purpose)
    {
    case CV_RESERVE_NEW:
      return takes_prompt (r, now) && fits (r, &with, MEMORY_FILL_MAX);
    case CV_RESERVE_LATE:
      return takes_prompt (r, now) && fits (r, &with, LATE_FILL_MAX);
    case CV_RESERVE_BALANCE:
      return count_incoming_migrations (r) < INCOMING_MIGRATIONS_MAX
             && fits (r, &with, CV_BALANCE_FILL_MAX);
    case CV_RESERVE_RESCUE:
      /* Its growth comes later, so the forecast does not count.  */
      return count_incoming_migrations (r) < INCOMING_MIGRATIONS_MAX
             && (double)with.held <= MEMORY_FILL_MAX * (double)r->total;
    }
  return false;
}

static bool
add_reservation (cv_reservations_t *r, cv_time_t now,
                 const cv_reservation_request_t *request)
{
  cv_reservation_t *res = find_reservation (r, 0);

  if (res == NULL)
    return false;
  *res = (cv_reservation_t){ .request = *request, .since = now };
  count_reserved (&r->demand, request);
  update_peak (r);
  return true;
}

static void
note_rescue (cv_reservations_t *r, cv_time_t now,
             const cv_reservation_request_t *request)
{
  double tokens = (double)request->prompt_tokens + request->produced;

  if (r->rescued_at == 0)
    r->rescue_tokens = tokens;
  r->rescue_tokens += RESCUE_SIZE_WEIGHT * (tokens - r->rescue_tokens);
  r->rescued_at = now;
}

static void
note_answered (cv_reservations_t *r, cv_time_t now,
               const cv_reservation_request_t *request, bool granted)
{
  uint64_t tokens = (uint64_t)request->prompt_tokens + request->output.median;

  /* Nothing is kept for one that this engine can never take.  */
  if (request->has_level && is_new (request->purpose)
      && (double)tokens <= MEMORY_FILL_MAX * (double)r->total)
    cv_demand_answered (&r->requests, now, request->level, request->run, tokens,
                        granted);
}

bool
cv_reservations_request (cv_reservations_t *r, cv_time_t now,
                         const cv_reservation_request_t *request)
{
  if (find_reservation (r, request->run) != NULL)
    return true;
  if (request->purpose != CV_RESERVE_RESCUE && now < r->rescue_until)
    return false;
  if (request->purpose == CV_RESERVE_RESCUE)
    note_rescue (r, now, request);
  if (can_reserve (r, now, request))
    {
      note_answered (r, now, request, true);
      return add_reservation (r, now, request);
    }
  note_answered (r, now, request, false);
  if (request->purpose == CV_RESERVE_RESCUE)
    r->rescue_until = now + RESCUE_RETRY_TIMEOUT;
  return false;
}

/* Memory of a released run counts as held until the next report.  */
bool
cv_reservations_release (cv_reservations_t *r, uint64_t run)
{
  cv_reservation_t *res = find_reservation (r, run);

  if (res == NULL)
    return false;
  if (!res->reported && is_new (res->request.purpose))
    r->demand.prefill_backlog -= res->request.prompt_tokens;
  res->request.run = 0;
  return !res->reported;
}
