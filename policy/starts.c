#include "policy/starts.h"

static const cv_start_t *
find (const cv_starts_t *s, uint64_t instance)
{
  /* Places are taken in order, and do not become free again.  */
  for (uint32_t i = 0; i < CV_STARTS_MAX && s->starts[i].instance != 0; i++)
    if (s->starts[i].instance == instance)
      return &s->starts[i];
  return NULL;
}

bool
cv_starts_has (const cv_starts_t *s, uint64_t instance, uint64_t started_ms)
{
  const cv_start_t *start = find (s, instance);

  return start != NULL && start->started_ms == started_ms;
}

cv_entry_verdict_t
cv_starts_judge (const cv_starts_t *s, const cv_start_entry_t *entry)
{
  const cv_start_t *start = find (s, entry->instance);

  if (start == NULL || entry->started_ms > start->started_ms)
    return CV_ENTRY_COUNTS;
  if (entry->started_ms < start->started_ms)
    return CV_ENTRY_OLDER;
  switch (start->state)
    {
    case CV_START_SERVES:
      return CV_ENTRY_COUNTS;
    case CV_START_LEAVING:
      return CV_ENTRY_LEAVING;
    case CV_START_REMOVED:
      return entry->is_change || entry->history == start->history
                 ? CV_ENTRY_COUNTS
                 : CV_ENTRY_COPIED;
    }
  return CV_ENTRY_COUNTS;
}

/* The place of INSTANCE, or a free one, or the one that changed longest ago. */
static cv_start_t *
place_of (cv_starts_t *s, uint64_t instance)
{
  cv_start_t *oldest = &s->starts[0];

  for (uint32_t i = 0; i < CV_STARTS_MAX; i++)
    {
      cv_start_t *start = &s->starts[i];

      if (start->instance == instance || start->instance == 0)
        return start;
      if (start->changed_at < oldest->changed_at)
        oldest = start;
    }
  return oldest;
}

void
cv_starts_record (cv_starts_t *s, uint64_t instance, uint64_t started_ms,
                  cv_start_state_t state, uint64_t history, cv_time_t now)
{
  cv_start_t *start = place_of (s, instance);

  if (start->instance != instance && state == CV_START_SERVES)
    return;
  if (start->instance == instance
      && (started_ms < start->started_ms
          || (started_ms == start->started_ms
              && start->state == CV_START_LEAVING)))
    return;
  *start = (cv_start_t){ .instance = instance,
                         .started_ms = started_ms,
                         .state = state,
                         .history = history,
                         .changed_at = now };
}
