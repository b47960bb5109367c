/* Which software version began a stream: a bounded ring of records, indexed by
   the keys of the streams.  */

#include <string.h>

#include "policy/origins.h"

void
cv_origins_init (cv_origins_t *s)
{
  memset (s, 0, sizeof *s);
  cv_map_init (&s->index);
}

void
cv_origins_finish (cv_origins_t *s)
{
  cv_map_finish (&s->index);
}

/* Takes the place of the oldest record for KEY.  */
static cv_origin_t *
insert (cv_origins_t *s, uint64_t key, cv_time_t now)
{
  cv_origin_t *r = &s->records[s->next];

  if (s->count == CV_ORIGINS_MAX)
    {
      cv_map_remove (&s->index, r->key);
      s->dropped += now - r->at < CV_STREAM_LIFE;
    }
  else
    s->count++;
  cv_map_put (&s->index, key, s->next);
  s->next = (s->next + 1) % CV_ORIGINS_MAX;
  *r = (cv_origin_t){ .key = key };
  return r;
}

void
cv_origins_add (cv_origins_t *s, uint64_t key, uint64_t version,
                uint64_t source, cv_time_t now)
{
  uint32_t i = cv_map_get (&s->index, key);
  cv_origin_t *r = i != CV_MAP_NONE ? &s->records[i] : insert (s, key, now);
  bool is_fresh = r->at > 0 && now - r->at < CV_STREAM_LIFE;

  r->is_ambiguous = version == CV_VERSION_UNCERTAIN
                    || (is_fresh && (r->is_ambiguous || r->version != version));
  r->version = version;
  r->source = source;
  r->at = now;
}

void
cv_origins_doubt (cv_origins_t *s, uint64_t source, cv_time_t now,
                  void (*handler) (void *owner, uint64_t key), void *owner)
{
  for (uint32_t i = 0; i < s->count; i++)
    {
      cv_origin_t *r = &s->records[i];

      if (r->source != source || now - r->at >= CV_RESTART_LAG)
        continue;
      r->is_ambiguous = true;
      handler (owner, r->key);
    }
}

const cv_origin_t *
cv_origins_find (const cv_origins_t *s, uint64_t key, cv_time_t now)
{
  uint32_t i = cv_map_get (&s->index, key);

  if (i == CV_MAP_NONE || now - s->records[i].at >= CV_STREAM_LIFE)
    return NULL;
  return &s->records[i];
}

const cv_origin_t *
cv_origins_newest (const cv_origins_t *s, uint32_t i, cv_time_t now)
{
  const cv_origin_t *r
      = &s->records[(s->next + CV_ORIGINS_MAX - 1 - i) % CV_ORIGINS_MAX];

  return i < s->count && now - r->at < CV_STREAM_LIFE ? r : NULL;
}

static bool
is_recent (const cv_versions_t *v, uint32_t i, cv_time_t now)
{
  return now - v->seen_at[i] < CV_STREAM_LIFE;
}

/* The place of VERSION, or the one to be used for it.  */
static uint32_t
place_of (cv_versions_t *v, uint64_t version)
{
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < v->count; i++)
    {
      if (v->id[i] == version)
        return i;
      if (v->seen_at[i] < v->seen_at[oldest])
        oldest = i;
    }
  return v->count < CV_VERSIONS_MAX ? v->count++ : oldest;
}

void
cv_versions_begin_count (cv_versions_t *v)
{
  memset (v->serving, 0, sizeof v->serving);
  memset (v->leaving, 0, sizeof v->leaving);
}

bool
cv_versions_see (cv_versions_t *v, uint64_t version, bool is_leaving,
                 cv_time_t now)
{
  bool was_mixed = cv_versions_are_mixed (v, now);
  uint32_t i = place_of (v, version);

  if (v->id[i] != version)
    v->serving[i] = v->leaving[i] = 0;
  v->id[i] = version;
  v->seen_at[i] = now;
  v->serving[i] += !is_leaving;
  v->leaving[i] += is_leaving;
  return !was_mixed && cv_versions_are_mixed (v, now);
}

bool
cv_versions_has (const cv_versions_t *v, uint64_t version, cv_time_t now)
{
  for (uint32_t i = 0; i < v->count; i++)
    if (v->id[i] == version && is_recent (v, i, now))
      return true;
  return false;
}

bool
cv_versions_is_ending (const cv_versions_t *v, uint64_t version)
{
  bool is_last = false;
  uint32_t others = 0;

  for (uint32_t i = 0; i < v->count; i++)
    if (v->id[i] == version)
      is_last = v->serving[i] == 1 && v->leaving[i] > 0;
    else
      others += v->serving[i];
  return is_last && others > 0;
}

uint64_t
cv_versions_sole (const cv_versions_t *v, cv_time_t known_since, cv_time_t now)
{
  if (now - known_since < CV_STREAM_LIFE || cv_versions_are_mixed (v, now))
    return CV_VERSION_NONE;
  for (uint32_t i = 0; i < v->count; i++)
    if (is_recent (v, i, now))
      return v->id[i];
  return CV_VERSION_NONE;
}

bool
cv_versions_are_certain (const cv_versions_t *v, cv_time_t known_since,
                         uint64_t sole, cv_time_t now)
{
  if (cv_versions_are_mixed (v, now))
    return false;
  if (now - known_since >= CV_STREAM_LIFE)
    return true;
  for (uint32_t i = 0; sole != CV_VERSION_NONE && i < v->count; i++)
    if (v->id[i] == sole && is_recent (v, i, now))
      return true;
  return false;
}

bool
cv_versions_are_mixed (const cv_versions_t *v, cv_time_t now)
{
  uint32_t recent = 0;

  for (uint32_t i = 0; i < v->count; i++)
    recent += is_recent (v, i, now);
  return recent > 1;
}
