/* Bounded LRU cache of prompt prefixes with a log of its events.  Readers see
   events late, and some events never.  */

#ifndef STANDIN_PREFIX_CACHE_H
#define STANDIN_PREFIX_CACHE_H

#include <sys/queue.h>

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define PREFIX_BLOCK 256   /* bytes of prompt per cached block */
#define PREFIX_EVENTS 4096 /* capacity of the event log */

typedef struct prefix_entry
{
  TAILQ_ENTRY (prefix_entry) link;
  uint64_t prefix; /* hash of the prompt's bytes up to the end of a block */
} prefix_entry_t;

typedef struct
{
  uint64_t seq;
  uint64_t prefix; /* hash, as in prefix_entry_t */
  int64_t at_us;   /* time of the event */
  bool add;
  bool lost; /* not shown to readers */
} prefix_event_t;

typedef struct
{
  TAILQ_HEAD (prefix_list, prefix_entry) entries; /* most recently used first */
  size_t used;                                    /* in blocks */
  size_t capacity;                                /* in blocks */
  uint64_t seed;
  unsigned loss_percent;
  uint64_t next_seq;
  prefix_event_t events[PREFIX_EVENTS];
} prefix_cache_t;

void prefix_cache_init (prefix_cache_t *cache, size_t capacity,
                        unsigned loss_percent, uint64_t seed);
void prefix_cache_finish (prefix_cache_t *cache);
/* Adds the prefixes of a prompt of N bytes.  Returns the number of its leading
   bytes that were cached.  */
size_t prefix_cache_add (prefix_cache_t *cache, const char *prompt, size_t n,
                         int64_t now_us);
/* Copies up to MAX visible events with a sequence number of at least SINCE and
   a time of at most UNTIL_US to OUT, and returns their number.  NEXT is set to
   the sequence number at which the next read continues.  */
size_t prefix_cache_read (const prefix_cache_t *cache, uint64_t since,
                          int64_t until_us, prefix_event_t *out, size_t max,
                          uint64_t *next);

#ifdef __cplusplus
}
#endif

#endif
