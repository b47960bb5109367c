/* Bounded LRU cache of prompt prefixes.  */

#include "prefix_cache.h"

#include <stdlib.h>
#include <xxhash.h>

static prefix_entry_t *find (prefix_cache_t *cache, uint64_t prefix);
static void add (prefix_cache_t *cache, uint64_t prefix, int64_t now_us);
static void evict_oldest (prefix_cache_t *cache, int64_t now_us);
static void record_event (prefix_cache_t *cache, bool is_add, uint64_t prefix,
                          int64_t now_us);

void
prefix_cache_init (prefix_cache_t *cache, size_t capacity,
                   unsigned loss_percent, uint64_t seed)
{
  *cache = (prefix_cache_t){ .capacity = capacity,
                             .seed = seed,
                             .loss_percent = loss_percent,
                             .next_seq = 1 };
  TAILQ_INIT (&cache->entries);
}

void
prefix_cache_finish (prefix_cache_t *cache)
{
  prefix_entry_t *e;

  while ((e = TAILQ_FIRST (&cache->entries)) != NULL)
    {
      TAILQ_REMOVE (&cache->entries, e, link);
      free (e);
    }
}

size_t
prefix_cache_add (prefix_cache_t *cache, const char *prompt, size_t n,
                  int64_t now_us)
{
  size_t cached = 0;
  bool contiguous = true;
  size_t end;

  for (end = PREFIX_BLOCK; end <= n; end += PREFIX_BLOCK)
    {
      uint64_t prefix = XXH3_64bits (prompt, end);
      prefix_entry_t *e = find (cache, prefix);

      if (e == NULL)
        {
          contiguous = false;
          add (cache, prefix, now_us);
          continue;
        }
      TAILQ_REMOVE (&cache->entries, e, link);
      TAILQ_INSERT_HEAD (&cache->entries, e, link);
      if (contiguous)
        cached = end;
    }
  return cached;
}

static prefix_entry_t *
find (prefix_cache_t *cache, uint64_t prefix)
{
  prefix_entry_t *e;

  TAILQ_FOREACH (e, &cache->entries, link)
  if (e->prefix == prefix)
    return e;
  return NULL;
}

static void
add (prefix_cache_t *cache, uint64_t prefix, int64_t now_us)
{
  prefix_entry_t *e;

  if (cache->capacity == 0)
    return;
  if (cache->used == cache->capacity)
    evict_oldest (cache, now_us);
  e = calloc (1, sizeof *e);
  if (e == NULL)
    abort ();
  e->prefix = prefix;
  TAILQ_INSERT_HEAD (&cache->entries, e, link);
  cache->used++;
  record_event (cache, true, prefix, now_us);
}

static void
evict_oldest (prefix_cache_t *cache, int64_t now_us)
{
  prefix_entry_t *e = TAILQ_LAST (&cache->entries, prefix_list);

  TAILQ_REMOVE (&cache->entries, e, link);
  cache->used--;
  record_event (cache, false, e->prefix, now_us);
  free (e);
}

static void
record_event (prefix_cache_t *cache, bool is_add, uint64_t prefix,
              int64_t now_us)
{
  uint64_t seq = cache->next_seq++;
  uint64_t draw = XXH3_64bits_withSeed (&seq, sizeof seq, cache->seed) % 100;

  cache->events[seq % PREFIX_EVENTS]
      = (prefix_event_t){ .seq = seq,
                          .prefix = prefix,
                          .at_us = now_us,
                          .add = is_add,
                          .lost = draw < cache->loss_percent };
}

size_t
prefix_cache_read (const prefix_cache_t *cache, uint64_t since,
                   int64_t until_us, prefix_event_t *out, size_t max,
                   uint64_t *next)
{
  uint64_t seq = since > 0 ? since : 1;
  size_t n = 0;

  if (cache->next_seq > PREFIX_EVENTS && seq < cache->next_seq - PREFIX_EVENTS)
    seq = cache->next_seq - PREFIX_EVENTS;
  for (; seq < cache->next_seq && n < max; seq++)
    {
      const prefix_event_t *e = &cache->events[seq % PREFIX_EVENTS];

      if (e->at_us > until_us)
        break;
      if (!e->lost)
        out[n++] = *e;
    }
  *next = seq;
  return n;
}
