/* Bounded cache of prompt prefixes with its log of events: least recently
   used entries go first; events become visible late and some never.  */

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
#define PREFIX_EVENTS 4096 /* events kept for readers */

typedef struct prefix_entry
{
  TAILQ_ENTRY (prefix_entry) link;
  uint64_t prefix;
} prefix_entry_t;

typedef struct
{
  uint64_t seq;
  uint64_t prefix;
  int64_t at_us; /* when it happened */
  bool add;
  bool lost; /* readers never see it */
} prefix_event_t;

typedef struct
{
  TAILQ_HEAD (prefix_list, prefix_entry) entries; /* most recent first */
  size_t used;
  size_t capacity; /* in blocks */
  uint64_t seed;
  unsigned loss_percent;
  uint64_t next_seq;
  prefix_event_t events[PREFIX_EVENTS];
} prefix_cache_t;

void prefix_cache_init (prefix_cache_t *cache, size_t capacity,
                        unsigned loss_percent, uint64_t seed);
void prefix_cache_finish (prefix_cache_t *cache);
/* Note a prompt of N bytes; return how many of its leading bytes were cached.
 */
size_t prefix_cache_use (prefix_cache_t *cache, const char *prompt, size_t n,
                         int64_t now_us);
/* Copy the visible events with SINCE <= seq, at most MAX, that happened until
   UNTIL_US; NEXT gets where to go on.  */
size_t prefix_cache_read (const prefix_cache_t *cache, uint64_t since,
                          int64_t until_us, prefix_event_t *out, size_t max,
                          uint64_t *next);

#ifdef __cplusplus
}
#endif

#endif
