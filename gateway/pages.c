/* Answers of the store that gateways hand on to each other.  A configuration,
   which holds keys, is read from the store only: the others are told its
   revision.  */

#include <string.h>

#include "gateway/state.h"
#include "wire/datagram.h"

/* Longest answer that is handed on: with the other fields it fits into a
   datagram.  */
#define BODY_MAX_BYTES (CV_DATAGRAM_MAX_BYTES - 128)

static cv_page_kind_t
page_kind (const cv_watcher_t *w)
{
  switch (w->kind)
    {
    case CV_STORE_ROUTING:
      return CV_PAGE_CONFIGURATION;
    case CV_STORE_INSTANCES:
    case CV_STORE_GATEWAYS:
    case CV_STORE_SUSPECTS:
      break; /* the last two are not watched */
    case CV_STORE_EVACUATIONS:
      return CV_PAGE_EVACUATIONS;
    }
  return CV_PAGE_INSTANCES;
}

static cv_watcher_t *
watcher_of (cv_gateway_t *g, cv_page_kind_t kind)
{
  switch (kind)
    {
    case CV_PAGE_CONFIGURATION:
      return &g->routing_watcher;
    case CV_PAGE_INSTANCES:
      return &g->instance_watcher;
    case CV_PAGE_EVACUATIONS:
      return cv_evacuations_watcher (g);
    }
  return NULL;
}

double
cv_pages_rank (const cv_watcher_t *w, const struct sockaddr_in *address)
{
  uint64_t rank = cv_gateway_rank (address, (uint64_t)page_kind (w));

  return (double)(UINT64_MAX - rank) / 0x1p64;
}

/* Sends MSG to the gateway TO, or to all if it is NULL.  */
static void
send_page (const cv_watcher_t *w, cv_msg_t *msg, const struct sockaddr_in *to)
{
  const cv_era_t *era = &w->gateway->store_history.era;

  msg->type = CV_MSG_PAGE;
  msg->u.page.kind = page_kind (w);
  msg->u.page.has_era = era->is_named;
  msg->u.page.era = era->is_named ? era->number : 0;
  if (to == NULL)
    {
      w->gateway->counts.pages_sent += cv_gateways_send (w->gateway, msg);
      return;
    }
  cv_datagram_send (w->gateway->loads_fd, to, msg);
  w->gateway->counts.pages_sent++;
}

/* Sends the whole list of evacuations, so that a gateway which has none, or has
   missed some, can take it: to the gateway TO, or to all if it is NULL.  LATE:
   age of the list.  */
static void
send_evacuations (const cv_watcher_t *w, cv_time_t late,
                  const struct sockaddr_in *to)
{
  cv_msg_t msg = { .u.page = { .to = w->revision,
                               .body = { "", 0 },
                               .late_ms = (uint64_t)(late / CV_MS) } };
  cv_buf_t body;

  cv_buf_init (&body);
  cv_evacuations_encode (w->gateway, w->revision, &body);
  if (body.n <= BODY_MAX_BYTES)
    msg.u.page.body = (cv_slice_t){ body.p, body.n };
  send_page (w, &msg, to);
  cv_buf_finish (&body);
}

void
cv_pages_ask (const cv_watcher_t *w)
{
  cv_msg_t msg = { .u.page.body = { "", 0 } };

  if (w->kind == CV_STORE_EVACUATIONS && !w->is_synced)
    send_page (w, &msg, NULL);
}

/* Whether M asks for the list of evacuations, or tells another era.  */
static bool
is_question (const cv_msg_page_t *m)
{
  return m->kind == CV_PAGE_EVACUATIONS && m->to == 0 && m->body.n == 0;
}

/* Sends the list to the gateway at TO, which has none.  */
static void
answer (const cv_watcher_t *w, const struct sockaddr_in *to, cv_time_t now)
{
  if (w->phase == CV_WATCHER_WATCH
      && w->history == w->gateway->store_history.number)
    send_evacuations (w, now - w->confirmed_at, to);
}

/* Whether BODY, the last answer that W has read, may be handed on.  */
static bool
may_hand_on (const cv_watcher_t *w, cv_slice_t body)
{
  return body.n <= BODY_MAX_BYTES
         && (w->kind == CV_STORE_INSTANCES || !w->has_changes);
}

void
cv_pages_send (const cv_watcher_t *w, cv_slice_t body)
{
  cv_msg_t msg
      = { .u.page = { .from = w->call_revision,
                      .to = w->page_revision,
                      .may_have_expired = cv_watcher_may_have_expired (w),
                      .body = { "", 0 },
                      .late_ms = (uint64_t)(w->late / CV_MS) } };

  if (cv_now () - w->gateway->last_tick_at > CV_STALL_MAX)
    return;
  if (w->kind == CV_STORE_EVACUATIONS)
    {
      send_evacuations (w, w->late, NULL);
      return;
    }
  if (may_hand_on (w, body))
    msg.u.page.body = body;
  send_page (w, &msg, NULL);
}

void
cv_pages_send_era (const cv_watcher_t *w)
{
  cv_msg_t msg = { .u.page.body = { "", 0 } };

  send_page (w, &msg, NULL);
}

static bool
is_of_same_era (const cv_watcher_t *w, const cv_msg_page_t *m)
{
  const cv_era_t *era = &w->gateway->store_history.era;

  return m->has_era == era->is_named && (!m->has_era || m->era == era->number);
}

/* Whether M is of the history of the store that this gateway follows.  If it is
   of a later one, W asks the store.  */
static bool
check_era (cv_watcher_t *w, const cv_msg_page_t *m, cv_time_t now)
{
  const cv_era_t *era = &w->gateway->store_history.era;

  /* A list that W takes in place of its own needs no position.  */
  if (is_of_same_era (w, m))
    return w->phase == CV_WATCHER_LIST
           || w->history == w->gateway->store_history.number;
  if (m->has_era && (!era->is_named || m->era > era->number))
    cv_watcher_ask_now (w, now);
  return false;
}

bool
cv_pages_handle (cv_gateway_t *g, const cv_msg_page_t *m,
                 const struct sockaddr_in *from, cv_error_t *err)
{
  cv_watcher_t *w = watcher_of (g, m->kind);
  cv_time_t now = cv_now ();
  cv_time_t late;
  bool is_new;
  bool has_gap;

  if (now - g->last_tick_at > CV_STALL_MAX || w == NULL)
    return true;
  if (is_question (m) && is_of_same_era (w, m))
    {
      answer (w, from, now);
      return true;
    }
  if (!cv_watcher_can_hear (w) || !check_era (w, m, now))
    return true;
  is_new = w->phase == CV_WATCHER_LIST || m->to > w->revision;
  if (!is_new && m->to < w->revision)
    return true;
  has_gap = m->from > w->revision || (m->body.n == 0 && is_new);
  if (has_gap)
    {
      cv_reader_missed (&w->reader, now);
      cv_watcher_ask_now (w, now);
      return true;
    }
  late = (cv_time_t)m->late_ms * CV_MS;
  if (!cv_reader_heard (&w->reader, cv_pages_rank (w, from), late, now))
    return true;
  if (is_new && !cv_watcher_apply_heard (w, m, err))
    {
      cv_reader_missed (&w->reader, now);
      cv_watcher_ask_now (w, now);
      return false;
    }
  g->counts.pages_heard++;
  /* A call that failed before has no part in the next silence.  */
  w->failures = 0;
  w->confirmed_at = now - late;
  return true;
}
