/* Finds out whether a target has crashed.  A connection that ends before its
   response is complete may have been reset on the way; a target whose address
   refuses new connections has ended.  A target that is about to stop as
   planned ends its connections too, and is not checked.  */

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "gateway/state.h"

/* A target that runs accepts a connection within this time, and the host of one
   that has ended refuses it, unless a packet was lost.  */
#define CHECK_TIMEOUT_MS 500
/* A request that was recalled from a target may crash it for this time.  */
#define RECALL_PERIOD (2 * CV_SECOND)
/* Another attempt waits for the result this long.  A host in the same region
   accepts or refuses a connection within a few milliseconds.  */
#define RETRY_WAIT (50 * CV_MS)

static void on_check (evutil_socket_t fd, short what, void *arg);

/* Starts to connect to T; false when no socket can be used.  */
static bool
connect_to_target (cv_target_t *t)
{
  static const struct timeval timeout = { .tv_usec = CHECK_TIMEOUT_MS * 1000 };
  cv_crash_check_t *check = &t->crash_check;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return false;
  check->error = 0;
  if (connect (fd, (const struct sockaddr *)&t->record.address,
               sizeof t->record.address)
          != 0
      && errno != EINPROGRESS)
    check->error = errno;
  check->fd = fd;
  check->event = event_new (t->gateway->base, fd, EV_WRITE, on_check, t);
  CV_INVARIANT (check->event != NULL
                && event_add (check->event, &timeout) == 0);
  if (check->error != 0)
    event_active (check->event, EV_WRITE, 0);
  t->gateway->counts.crash_checks++;
  return true;
}

/* Adds R to the requests that the target may have crashed on.  */
static void
add_lost (cv_crash_check_t *check, const cv_suspect_request_t *r)
{
  cv_suspect_request_t copy;

  cv_suspect_request_init_copy (&copy, r);
  cv_buf_add (&check->lost, &copy, sizeof copy);
}

static size_t
lost_count (const cv_crash_check_t *check)
{
  return check->lost.n / sizeof (cv_suspect_request_t);
}

static void
drop_lost (cv_crash_check_t *check)
{
  cv_suspect_request_t *lost = (cv_suspect_request_t *)check->lost.p;

  for (size_t i = 0; i < lost_count (check); i++)
    cv_suspect_request_finish (&lost[i]);
  cv_buf_finish (&check->lost);
}

void
cv_crash_check_begin (cv_exchange_t *x)
{
  cv_target_t *t = x->target;

  if (cv_target_is_draining (t) || t->has_crashed)
    return;
  if (t->crash_check.event == NULL)
    {
      if (!connect_to_target (t))
        return;
      cv_buf_init (&t->crash_check.lost);
      (void)cv_target_ref (t);
    }
  add_lost (&t->crash_check, &x->identity);
  cv_crash_check_forget (x);
  x->awaited_target = cv_target_ref (t);
  x->awaited_until = cv_now () + RETRY_WAIT;
}

void
cv_crash_check_cancel (cv_target_t *t)
{
  cv_crash_check_t *check = &t->crash_check;

  if (check->event == NULL)
    return;
  event_free (check->event);
  check->event = NULL;
  (void)evutil_closesocket (check->fd);
  drop_lost (check);
  cv_target_unref (t);
}

void
cv_crash_check_forget (cv_exchange_t *x)
{
  if (x->awaited_target == NULL)
    return;
  cv_target_unref (x->awaited_target);
  x->awaited_target = NULL;
}

static void
log_crash (const cv_target_t *t, size_t requests)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_TARGET_CRASHED);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  cv_line_number (&l, "requests", (int64_t)requests);
  cv_line_end (&l);
}

/* T has crashed: all that it was running for this gateway may be the cause,
   also what has not noticed the end of its connection yet.  */
static void
handle_crash (cv_target_t *t)
{
  cv_gateway_t *g = t->gateway;
  cv_crash_check_t *check = &t->crash_check;
  const cv_exchange_t *x;

  TAILQ_FOREACH (x, &g->exchanges, entry)
  if (x->target == t && x->link != NULL)
    add_lost (check, &x->identity);
  if (cv_now () - t->recalled_at < RECALL_PERIOD)
    add_lost (check, &t->recalled);
  t->has_crashed = true;
  cv_health_unreachable (&t->health, cv_now ());
  g->counts.crashes++;
  log_crash (t, lost_count (check));
  cv_evidence_crashed (&g->evidence, t,
                       (const cv_suspect_request_t *)check->lost.p,
                       lost_count (check));
}

/* Places the exchanges that waited for the check of T.  */
static void
place_waiting (cv_gateway_t *g, const cv_target_t *t)
{
  cv_exchange_t *x;
  cv_exchange_t *next;

  for (x = TAILQ_FIRST (&g->exchanges); x != NULL; x = next)
    {
      next = TAILQ_NEXT (x, entry);
      if (x->awaited_target != t)
        continue;
      cv_crash_check_forget (x);
      if (x->state == CV_EXCHANGE_WAITING && !x->is_queued)
        cv_exchange_place (x);
    }
}

static void
on_check (evutil_socket_t fd, short what, void *arg)
{
  cv_target_t *t = cv_target_ref (arg);
  int error = t->crash_check.error;
  socklen_t size = sizeof error;

  if (error == 0
      && ((what & EV_TIMEOUT) != 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0))
    error = ETIMEDOUT;
  if (error == ECONNREFUSED)
    handle_crash (t);
  cv_crash_check_cancel (t);
  place_waiting (t->gateway, t);
  cv_target_unref (t);
}
