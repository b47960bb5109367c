/* Which gateway asks the store, and when.  Load pattern: hundreds of gateways
   are to know of each change within two seconds, and every call to the store
   counts.  Any of them may end, stand still, or be cut off from the store or
   from the others at any moment, and datagrams between them are lost.

   A reader asks the store all the time and sends each answer to the other
   gateways.  A gateway that hears no answer for some time asks by itself, and
   is a reader until it hears another one of a higher rank.  Several readers
   cost calls only: nothing relies on there being one.  This is the suppression
   of duplicate queries and reports of IGMP (RFC 2236, section 3).  */

#ifndef CV_POLICY_READER_H
#define CV_POLICY_READER_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* The first call after a silence of the reader is given up without an answer
   after this time, as another one is to be answered in time; and the next one
   follows after this.  */
#define CV_READER_FIRST_TIMEOUT (350 * CV_MS)
#define CV_READER_LOST_BACKOFF (20 * CV_MS)

/* Of one gateway and one kind of object.  */
typedef struct
{
  double rank; /* of this gateway, 0 the highest, below 1 */
  bool is_reader;
  cv_time_t known_at;   /* as of when, by the newest answer, its own or another
                           one's; 0: what is known may be old */
  cv_time_t heard_at;   /* of the newest answer of another reader */
  cv_time_t deaf_until; /* what is heard until then may be old */
} cv_reader_t;

/* A gateway that starts has read the lists; it listens to the others before it
   reads for them.  */
void cv_reader_init (cv_reader_t *r, double rank, cv_time_t now);
/* A call of this gateway was answered.  KNOWS_OTHERS: it can hand on answers;
   one that starts does not know yet to whom.  */
void cv_reader_answered (cv_reader_t *r, bool knows_others, cv_time_t now);
/* A call of this gateway failed: others may have answers.  */
void cv_reader_failed (cv_reader_t *r);
/* An answer of the reader of RANK has arrived, that goes on from what this
   gateway knows; the reader had it LATE.  Returns false when it may have been
   sent long ago.  */
bool cv_reader_heard (cv_reader_t *r, double rank, cv_time_t late,
                      cv_time_t now);
/* Another reader's answer that does not go on from what this gateway knows: it
   asks by itself.  */
void cv_reader_missed (cv_reader_t *r, cv_time_t now);
/* The process was stalled: its datagrams may have waited for long.  */
void cv_reader_stalled (cv_reader_t *r, cv_time_t now);
/* Time of the next call to the store; 0: at once.  */
cv_time_t cv_reader_next_call (const cv_reader_t *r);
/* Milliseconds for which the next call waits for changes.  */
uint32_t cv_reader_wait_ms (const cv_reader_t *r);

#ifdef __cplusplus
}
#endif

#endif
