/* Queue of the replies to one request, from the I/O thread to the HTTP thread
   that serves the caller.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/caller.h"

/* Added to the first allocation of the text buffer.  */
#define TEXT_INITIAL_BYTES 64
/* Replies with a larger text buffer are freed and not reused.  */
#define SPARE_TEXT_MAX_BYTES 4096

static cv_queued_reply_t *take_first (cv_reply_queue_t *q, bool will_wait);
static void copy_reply (cv_queued_reply_t *m, const cv_reply_t *reply);
static bool is_contiguous (const cv_queued_reply_t *m, const cv_reply_t *reply);
static void append_tokens (cv_queued_reply_t *m, const cv_reply_t *reply);
static void copy_call (cv_queued_reply_t *m, const cv_reply_t *reply);
static struct timespec monotonic_deadline (cv_time_t wait);

cv_reply_queue_t *
cv_reply_queue_new (void)
{
  cv_reply_queue_t *q = cv_calloc (1, sizeof *q);

  CV_INVARIANT (pthread_mutex_init (&q->lock, NULL) == 0);
  CV_INVARIANT (sem_init (&q->available, 0, 0) == 0);
  TAILQ_INIT (&q->pending);
  q->ref_count = 1;
  return q;
}

cv_reply_queue_t *
cv_reply_queue_ref (cv_reply_queue_t *q)
{
  (void)__atomic_add_fetch (&q->ref_count, 1, __ATOMIC_RELAXED);
  return q;
}

void
cv_reply_queue_unref (cv_reply_queue_t *q)
{
  cv_queued_reply_t *m;

  if (__atomic_sub_fetch (&q->ref_count, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  while ((m = TAILQ_FIRST (&q->pending)) != NULL)
    {
      TAILQ_REMOVE (&q->pending, m, link);
      cv_queued_reply_free (m);
    }
  if (q->spare != NULL)
    cv_queued_reply_free (q->spare);
  (void)sem_destroy (&q->available);
  (void)pthread_mutex_destroy (&q->lock);
  free (q);
}

void
cv_reply_queue_put (cv_reply_queue_t *q, const cv_reply_t *reply)
{
  cv_queued_reply_t *m;
  bool wake;

  (void)pthread_mutex_lock (&q->lock);
  m = TAILQ_LAST (&q->pending, cv_queued_reply_list_t);
  if (reply->type == CV_REPLY_TOKENS && m != NULL && is_contiguous (m, reply))
    append_tokens (m, reply);
  else
    {
      m = q->spare != NULL ? q->spare : cv_calloc (1, sizeof *m);
      q->spare = NULL;
      copy_reply (m, reply);
      TAILQ_INSERT_TAIL (&q->pending, m, link);
    }
  wake = q->reader_waiting;
  q->reader_waiting = false;
  (void)pthread_mutex_unlock (&q->lock);
  /* Posted after the unlock, so that the woken thread finds the mutex free.  A
     condition variable would cost the reader one more system call: in glibc a
     woken waiter reacquires the mutex as contended.  */
  if (wake)
    (void)sem_post (&q->available);
}

cv_queued_reply_t *
cv_reply_queue_take (cv_reply_queue_t *q, cv_time_t wait)
{
  cv_queued_reply_t *m = take_first (q, wait > 0);
  struct timespec deadline;

  if (m != NULL || wait <= 0)
    return m;
  deadline = monotonic_deadline (wait);
  /* A post that arrived after an earlier timeout ends a wait spuriously.  */
  while (m == NULL && wait > 0)
    {
      if (sem_clockwait (&q->available, CLOCK_MONOTONIC, &deadline) != 0
          && errno == ETIMEDOUT)
        wait = 0;
      m = take_first (q, wait > 0);
    }
  return m;
}

void
cv_queued_reply_free (cv_queued_reply_t *m)
{
  free (m->sizes);
  free (m->text);
  free (m);
}

void
cv_reply_queue_recycle (cv_reply_queue_t *q, cv_queued_reply_t *m)
{
  cv_queued_reply_t *replaced;

  if (m->text_cap > SPARE_TEXT_MAX_BYTES)
    {
      cv_queued_reply_free (m);
      return;
    }
  (void)pthread_mutex_lock (&q->lock);
  replaced = q->spare;
  q->spare = m;
  (void)pthread_mutex_unlock (&q->lock);
  if (replaced != NULL)
    cv_queued_reply_free (replaced);
}

bool
cv_queued_reply_is_last (const cv_queued_reply_t *m)
{
  return m->type != CV_REPLY_TOKENS;
}

/* Removes the first reply; returns NULL when there is none, and then records
   whether the reader is going to wait.  */
static cv_queued_reply_t *
take_first (cv_reply_queue_t *q, bool will_wait)
{
  cv_queued_reply_t *m;

  (void)pthread_mutex_lock (&q->lock);
  m = TAILQ_FIRST (&q->pending);
  if (m != NULL)
    TAILQ_REMOVE (&q->pending, m, link);
  q->reader_waiting = will_wait && m == NULL;
  (void)pthread_mutex_unlock (&q->lock);
  return m;
}

static void
copy_reply (cv_queued_reply_t *m, const cv_reply_t *reply)
{
  m->type = reply->type;
  switch (reply->type)
    {
    case CV_REPLY_TOKENS:
      m->first = *reply->u.tokens.first;
      m->count = 0;
      m->text_size = 0;
      append_tokens (m, reply);
      break;
    case CV_REPLY_END:
      m->end = reply->u.end.end;
      m->total = reply->u.end.total;
      break;
    case CV_REPLY_CALL:
      copy_call (m, reply);
      break;
    case CV_REPLY_TICKET:
      m->ticket = reply->u.ticket;
      break;
    case CV_REPLY_FAILED:
      m->failure = reply->u.failed.code;
      m->outcome = reply->u.failed.outcome;
      m->retry_after_ms = reply->u.failed.retry_after_ms;
      break;
    case CV_REPLY_GONE:
      break;
    }
}

/* Whether the tokens of REPLY directly follow those of M.  */
static bool
is_contiguous (const cv_queued_reply_t *m, const cv_reply_t *reply)
{
  const cv_position_t *first = reply->u.tokens.first;

  return m->type == CV_REPLY_TOKENS
         && cv_id_equal (m->first.stream, first->stream)
         && m->first.offset + m->count == first->offset;
}

static void
append_tokens (cv_queued_reply_t *m, const cv_reply_t *reply)
{
  uint32_t n = reply->u.tokens.count;
  const cv_slice_t *token = reply->u.tokens.token;

  if (m->count + n > m->sizes_cap)
    {
      m->sizes_cap = 2 * (m->count + n);
      m->sizes = cv_realloc (m->sizes, m->sizes_cap * sizeof *m->sizes);
    }
  for (uint32_t i = 0; i < n; i++)
    {
      if (m->text_size + token[i].n > m->text_cap)
        {
          m->text_cap = 2 * (m->text_size + token[i].n) + TEXT_INITIAL_BYTES;
          m->text = cv_realloc (m->text, m->text_cap);
        }
      if (token[i].n > 0)
        memcpy (m->text + m->text_size, token[i].p, token[i].n);
      m->text_size += token[i].n;
      m->sizes[m->count++] = (uint32_t)token[i].n;
    }
}

static void
copy_call (cv_queued_reply_t *m, const cv_reply_t *reply)
{
  m->status = reply->u.call.status;
  m->replayed = reply->u.call.replayed;
  m->ticket = *reply->u.call.ticket;
  (void)cv_copy_slice (m->content_type, sizeof m->content_type,
                       reply->u.call.content_type);
  free (m->text);
  m->text = cv_strdup_n (reply->u.call.body.p, reply->u.call.body.n);
  m->text_cap = reply->u.call.body.n;
  m->text_size = reply->u.call.body.n;
}

static struct timespec
monotonic_deadline (cv_time_t wait)
{
  struct timespec t;

  CV_INVARIANT (clock_gettime (CLOCK_MONOTONIC, &t) == 0);
  t.tv_sec += wait / CV_SECOND;
  t.tv_nsec += (wait % CV_SECOND) * 1000;
  if (t.tv_nsec >= 1000000000)
    {
      t.tv_sec++;
      t.tv_nsec -= 1000000000;
    }
  return t;
}
