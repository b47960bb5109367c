/* Mailbox between the I/O thread, which puts replies in, and the HTTP thread
   of one caller, which takes them out.  */

#ifndef CV_ENTRY_CALLER_H
#define CV_ENTRY_CALLER_H

#include <pthread.h>
#include <semaphore.h>

#include "entry/core.h"

/* A reply with its own copy of the bytes.  */
typedef struct cv_mail_t
{
  TAILQ_ENTRY (cv_mail_t) link;
  cv_reply_type_t type;
  cv_position_t first; /* TOKENS */
  uint32_t count;
  uint32_t *sizes;
  uint32_t sizes_cap;
  char *text; /* tokens one after another, or the body of a call */
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
} cv_mail_t;

/* Shared by both threads through reference counts.  */
typedef struct
{
  pthread_mutex_t lock;
  sem_t filled; /* posted for a reader that waits */
  bool waiting;
  TAILQ_HEAD (cv_mail_list_t, cv_mail_t) mails;
  cv_mail_t *spare; /* its memory serves the next reply */
  int refs;
} cv_caller_t;

/* A mailbox with one reference.  */
cv_caller_t *cv_caller_new (void);
cv_caller_t *cv_caller_ref (cv_caller_t *c);
void cv_caller_unref (cv_caller_t *c);
void cv_caller_put (cv_caller_t *c, const cv_reply_t *reply);
/* The next reply, or NULL after WAIT (microseconds; 0: do not wait).  */
cv_mail_t *cv_caller_take (cv_caller_t *c, cv_time_t wait);
void cv_mail_free (cv_mail_t *m);
/* As cv_mail_free, but its memory may serve C's next reply.  */
void cv_caller_recycle (cv_caller_t *c, cv_mail_t *m);
/* Is it the last reply of its request?  */
bool cv_mail_is_last (const cv_mail_t *m);

#endif
