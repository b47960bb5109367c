/* Calls to the store of one gateway among many.  */

#include "policy/reader.h"

/* A gateway must know of a change within two seconds, also when the reader ends
   just before it and then one call of this gateway is lost: SILENCE and its
   spread, the time after which a call counts as lost (gateway/follow.c), and
   one more answer of a slow store are to be less.  */

/* A reader's calls wait this long for changes.  */
#define READER_WAIT_MS 760
/* Other calls ask what has changed and do not wait.  */
#define ASK_WAIT_MS 1
/* Without an answer for this time a gateway asks by itself: above the longest
   interval of a reader's answers with a slow store.  */
#define SILENCE (1120 * CV_MS)
/* Gateways ask after a silence in the order of their ranks, spread over this
   time, so that most of them hear the answer to another one.  */
#define SILENCE_SPREAD (100 * CV_MS)
/* Datagrams that arrived during a stall are read within this time after it.  */
#define STALL_QUEUE_TIME (200 * CV_MS)

void
cv_reader_init (cv_reader_t *r, double rank, cv_time_t now)
{
  *r = (cv_reader_t){ .rank = rank, .known_at = now, .heard_at = now };
}

void
cv_reader_answered (cv_reader_t *r, bool knows_others, cv_time_t now)
{
  r->known_at = now;
  if (knows_others && now - r->heard_at >= SILENCE)
    r->is_reader = true;
}

void
cv_reader_failed (cv_reader_t *r)
{
  r->is_reader = false;
}

bool
cv_reader_heard (cv_reader_t *r, double rank, cv_time_t late, cv_time_t now)
{
  if (now < r->deaf_until)
    return false;
  r->known_at = now - late;
  r->heard_at = now;
  if (rank < r->rank)
    r->is_reader = false;
  return true;
}

void
cv_reader_missed (cv_reader_t *r, cv_time_t now)
{
  r->known_at = 0;
  r->heard_at = now;
}

void
cv_reader_stalled (cv_reader_t *r, cv_time_t now)
{
  r->known_at = 0;
  r->deaf_until = now + STALL_QUEUE_TIME;
}

cv_time_t
cv_reader_next_call (const cv_reader_t *r)
{
  if (r->is_reader || r->known_at == 0)
    return 0;
  return r->known_at + SILENCE + (cv_time_t)((double)SILENCE_SPREAD * r->rank);
}

uint32_t
cv_reader_wait_ms (const cv_reader_t *r)
{
  return r->is_reader && r->known_at != 0 ? READER_WAIT_MS : ASK_WAIT_MS;
}
