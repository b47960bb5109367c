/* Mailbox between the I/O thread and the HTTP thread of one caller.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "entry/caller.h"

static void copy_tokens (cv_mail_t *m, const cv_reply_t *reply);
static void copy_call (cv_mail_t *m, const cv_reply_t *reply);
static struct timespec deadline_after (cv_time_t wait);

cv_caller_t *
cv_caller_new (void)
{
  cv_caller_t *c = cv_calloc (1, sizeof *c);
  pthread_condattr_t attr;

  CV_INVARIANT (pthread_mutex_init (&c->lock, NULL) == 0);
  CV_INVARIANT (pthread_condattr_init (&attr) == 0);
  CV_INVARIANT (pthread_condattr_setclock (&attr, CLOCK_MONOTONIC) == 0);
  CV_INVARIANT (pthread_cond_init (&c->filled, &attr) == 0);
  (void)pthread_condattr_destroy (&attr);
  STAILQ_INIT (&c->mails);
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
  while ((m = STAILQ_FIRST (&c->mails)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&c->mails, link);
      cv_mail_free (m);
    }
  (void)pthread_cond_destroy (&c->filled);
  (void)pthread_mutex_destroy (&c->lock);
  free (c);
}

void
cv_caller_put (cv_caller_t *c, const cv_reply_t *reply)
{
  cv_mail_t *m = cv_calloc (1, sizeof *m);

  m->type = reply->type;
  switch (reply->type)
    {
    case CV_REPLY_TOKENS:
      copy_tokens (m, reply);
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
  (void)pthread_mutex_lock (&c->lock);
  STAILQ_INSERT_TAIL (&c->mails, m, link);
  (void)pthread_cond_signal (&c->filled);
  (void)pthread_mutex_unlock (&c->lock);
}

cv_mail_t *
cv_caller_take (cv_caller_t *c, cv_time_t wait)
{
  struct timespec until = deadline_after (wait);
  cv_mail_t *m;

  (void)pthread_mutex_lock (&c->lock);
  while ((m = STAILQ_FIRST (&c->mails)) == NULL && wait > 0)
    if (pthread_cond_timedwait (&c->filled, &c->lock, &until) == ETIMEDOUT)
      wait = 0;
  if (m != NULL)
    STAILQ_REMOVE_HEAD (&c->mails, link);
  (void)pthread_mutex_unlock (&c->lock);
  return m;
}

void
cv_mail_free (cv_mail_t *m)
{
  free (m->sizes);
  free (m->text);
  free (m);
}

bool
cv_mail_is_last (const cv_mail_t *m)
{
  return m->type != CV_REPLY_TOKENS;
}

static void
copy_tokens (cv_mail_t *m, const cv_reply_t *reply)
{
  char *p;

  m->first = *reply->u.tokens.first;
  m->count = reply->u.tokens.count;
  m->sizes = cv_calloc (m->count, sizeof *m->sizes);
  for (uint32_t i = 0; i < m->count; i++)
    {
      m->sizes[i] = (uint32_t)reply->u.tokens.token[i].n;
      m->text_size += m->sizes[i];
    }
  m->text = cv_calloc (1, m->text_size + 1);
  p = m->text;
  for (uint32_t i = 0; i < m->count; i++)
    {
      if (m->sizes[i] > 0)
        memcpy (p, reply->u.tokens.token[i].p, m->sizes[i]);
      p += m->sizes[i];
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
  m->text = cv_strdup_n (reply->u.call.body.p, reply->u.call.body.n);
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
