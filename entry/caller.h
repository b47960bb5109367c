/* Queue of the replies to one request: the I/O thread puts them in, the HTTP
   thread that serves the caller takes them out.  */

#ifndef CV_ENTRY_CALLER_H
#define CV_ENTRY_CALLER_H

#include <pthread.h>
#include <semaphore.h>

#include "entry/core.h"

/* A reply with its own copy of the bytes.  */
typedef struct cv_queued_reply_t
{
  TAILQ_ENTRY (cv_queued_reply_t) link;
  cv_reply_type_t type;
  cv_position_t first; /* TOKENS */
  uint32_t count;      /* of tokens */
  uint32_t *sizes;     /* bytes of each token */
  uint32_t sizes_cap;
  char *text; /* concatenated tokens, or the response body of a call */
  size_t text_size;
  size_t text_cap;
  cv_end_t end;
  uint32_t total;
  uint32_t status;
  bool replayed;
  char content_type[128];
  cv_ticket_t ticket;
  cv_failure_code_t failure;
  cv_outcome_t outcome;
  uint32_t retry_after_ms;
} cv_queued_reply_t;

/* Shared by both threads; freed when the last reference is dropped.  */
typedef struct
{
  pthread_mutex_t lock;
  sem_t available; /* posted when a reply arrives and the reader waits */
  bool reader_waiting;
  TAILQ_HEAD (cv_queued_reply_list_t, cv_queued_reply_t) pending;
  cv_queued_reply_t *spare; /* reused for the next reply */
  int ref_count;
} cv_reply_queue_t;

/* Returns an empty queue with one reference.  */
cv_reply_queue_t *cv_reply_queue_new (void);
cv_reply_queue_t *cv_reply_queue_ref (cv_reply_queue_t *q);
void cv_reply_queue_unref (cv_reply_queue_t *q);
void cv_reply_queue_put (cv_reply_queue_t *q, const cv_reply_t *reply);
/* Removes and returns the next reply, or returns NULL after WAIT (microseconds;
   0: does not wait).  */
cv_queued_reply_t *cv_reply_queue_take (cv_reply_queue_t *q, cv_time_t wait);
void cv_queued_reply_free (cv_queued_reply_t *m);
/* As cv_queued_reply_free, but may keep M for reuse by the next reply of Q.  */
void cv_reply_queue_recycle (cv_reply_queue_t *q, cv_queued_reply_t *m);
/* Whether M is the last reply to its request.  */
bool cv_queued_reply_is_last (const cv_queued_reply_t *m);

#endif
