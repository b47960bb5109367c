/* Mailbox between the I/O thread and the HTTP thread of one caller.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/caller.h"

/* Bytes of text that a first token makes room for.  */
#define TEXT_FIRST 64
/* Larger texts are not kept for the next reply.  */
#define SPARE_TEXT_MAX 4096

static cv_mail_t *take_first (cv_caller_t *c, bool waiting);
static void fill (cv_mail_t *m, const cv_reply_t *reply);
static bool follows (const cv_mail_t *m, const cv_reply_t *reply);
static void add_tokens (cv_mail_t *m, const cv_reply_t *reply);
static void copy_call (cv_mail_t *m, const cv_reply_t *reply);
static struct timespec deadline_after (cv_time_t wait);

cv_caller_t *
cv_caller_new (void)
{
  cv_caller_t *c = cv_calloc (1, sizeof *c);

  CV_INVARIANT (pthread_mutex_init (&c->lock, NULL) == 0);
  CV_INVARIANT (sem_init (&c->filled, 0, 0) == 0);
  TAILQ_INIT (&c->mails);
  c->refs = 1;
  return c;
}

cv_caller_t *
cv_caller_ref (cv_caller_t *c)
{
  (void)__atomic_add_fetch (&c->refs, 1, __ATOMIC_RELAXED);
  return c;
}

void
cv_caller_unref (cv_caller_t *c)
{
  cv_mail_t *m;

  if (__atomic_sub_fetch (&c->refs, 1, __ATOMIC_ACQ_REL) > 0)
    return;
  while ((m = TAILQ_FIRST (&c->mails)) != NULL)
    {
      TAILQ_REMOVE (&c->mails, m, link);
      cv_mail_free (m);
    }
  if (c->spare != NULL)
    cv_mail_free (c->spare);
  (void)sem_destroy (&c->filled);
  (void)pthread_mutex_destroy (&c->lock);
  free (c);
}

void
cv_caller_put (cv_caller_t *c, const cv_reply_t *reply)
{
  cv_mail_t *m;
  bool wake;

  (void)pthread_mutex_lock (&c->lock);
  m = TAILQ_LAST (&c->mails, cv_mail_list_t);
  if (reply->type == CV_REPLY_TOKENS && m != NULL && follows (m, reply))
    add_tokens (m, reply);
  else
    {
      m = c->spare != NULL ? c->spare : cv_calloc (1, sizeof *m);
      c->spare = NULL;
      fill (m, reply);
      TAILQ_INSERT_TAIL (&c->mails, m, link);
    }
  wake = c->waiting;
  c->waiting = false;
  (void)pthread_mutex_unlock (&c->lock);
  /* After the lock, so that the thread that wakes finds it free.  A condition
     variable would cost the reader one more system call: it takes the mutex
     back as a contended one.  */
  if (wake)
    (void)sem_post (&c->filled);
}

cv_mail_t *
cv_caller_take (cv_caller_t *c, cv_time_t wait)
{
  cv_mail_t *m = take_first (c, wait > 0);
  struct timespec until;

  if (m != NULL || wait <= 0)
    return m;
  until = deadline_after (wait);
  /* A post that came after an earlier timeout ends a wait for nothing.  */
  while (m == NULL && wait > 0)
    {
      if (sem_clockwait (&c->filled, CLOCK_MONOTONIC, &until) != 0
          && errno == ETIMEDOUT)
        wait = 0;
      m = take_first (c, wait > 0);
    }
  return m;
}

void
cv_mail_free (cv_mail_t *m)
{
  free (m->sizes);
  free (m->text);
  free (m);
}

void
cv_caller_recycle (cv_caller_t *c, cv_mail_t *m)
{
  cv_mail_t *old;

  if (m->text_cap > SPARE_TEXT_MAX)
    {
      cv_mail_free (m);
      return;
    }
  (void)pthread_mutex_lock (&c->lock);
  old = c->spare;
  c->spare = m;
  (void)pthread_mutex_unlock (&c->lock);
  if (old != NULL)
    cv_mail_free (old);
}

bool
cv_mail_is_last (const cv_mail_t *m)
{
  return m->type != CV_REPLY_TOKENS;
}

/* The first reply, or NULL; the caller then waits or not.  */
static cv_mail_t *
take_first (cv_caller_t *c, bool waiting)
{
  cv_mail_t *m;

  (void)pthread_mutex_lock (&c->lock);
  m = TAILQ_FIRST (&c->mails);
  if (m != NULL)
    TAILQ_REMOVE (&c->mails, m, link);
  c->waiting = waiting && m == NULL;
  (void)pthread_mutex_unlock (&c->lock);
  return m;
}

static void
fill (cv_mail_t *m, const cv_reply_t *reply)
{
  m->type = reply->type;
  switch (reply->type)
    {
    case CV_REPLY_TOKENS:
      m->first = *reply->u.tokens.first;
      m->count = 0;
      m->text_size = 0;
      add_tokens (m, reply);
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

/* Do the tokens of REPLY come right after those of M?  */
static bool
follows (const cv_mail_t *m, const cv_reply_t *reply)
{
  const cv_position_t *first = reply->u.tokens.first;

  return m->type == CV_REPLY_TOKENS
         && cv_id_equal (m->first.stream, first->stream)
         && m->first.offset + m->count == first->offset;
}

static void
add_tokens (cv_mail_t *m, const cv_reply_t *reply)
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
          m->text_cap = 2 * (m->text_size + token[i].n) + TEXT_FIRST;
          m->text = cv_realloc (m->text, m->text_cap);
        }
      if (token[i].n > 0)
        memcpy (m->text + m->text_size, token[i].p, token[i].n);
      m->text_size += token[i].n;
      m->sizes[m->count++] = (uint32_t)token[i].n;
    }
}

static void
copy_call (cv_mail_t *m, const cv_reply_t *reply)
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
deadline_after (cv_time_t wait)
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
