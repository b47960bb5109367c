/* Exchanges datagrams with observers, about loads, reservations and migration
   leases, and with other gateways: evidence on crashes, the limits of targets,
   the versions that began streams, and answers of the store.  */

#include <string.h>
#include <unistd.h>

#include "gateway/state.h"
#include "wire/datagram.h"

/* Part of the configured retry ratio that the gateway uses.  The rest is a
   margin: the gateway counts each request as one, but in the retries allowed a
   request whose caller disconnects counts for less.  */
#define RETRY_RATIO_FACTOR 0.9
/* Least number of gateways that are taken to share the slack of the retry
   budget while no load report states their number.  */
#define GATEWAY_COUNT_DEFAULT 8
/* Load reports come several times a second.  */
#define LOAD_REPORTS_MAX_AGE (3 * CV_SECOND)

static void on_readable (evutil_socket_t fd, short what, void *arg);

bool
cv_loads_open (cv_gateway_t *g, cv_error_t *err)
{
  const cv_endpoint_t *e = &g->settings.loads;
  char text[CV_ENDPOINT_TEXT];
  int fd;

  g->gateway_count = GATEWAY_COUNT_DEFAULT;
  (void)snprintf (text, sizeof text, "%s:%u", e->address, e->port);
  if (!cv_http_parse_address (text, &g->loads_address))
    return cv_fail (err, CV_ERR_INVALID, "loads: not an IPv4 address");
  fd = cv_datagram_open (&g->loads_address, err);
  if (fd < 0)
    return false;
  g->loads_fd = fd;
  g->loads_event
      = event_new (g->base, fd, EV_READ | EV_PERSIST, on_readable, g);
  CV_INVARIANT (g->loads_event != NULL
                && event_add (g->loads_event, NULL) == 0);
  return true;
}

void
cv_loads_close (cv_gateway_t *g)
{
  if (g->loads_event != NULL)
    {
      event_free (g->loads_event);
      (void)close (g->loads_fd);
    }
  g->loads_event = NULL;
}

bool
cv_gateway_is_own_address (const cv_gateway_t *g,
                           const struct sockaddr_in *address)
{
  return address->sin_addr.s_addr == g->loads_address.sin_addr.s_addr
         && address->sin_port == g->loads_address.sin_port;
}

uint32_t
cv_gateways_send (const cv_gateway_t *g, const cv_msg_t *msg)
{
  const cv_roster_t *roster = &g->evidence.roster;
  uint32_t n = 0;

  for (uint32_t i = 0; i < roster->count; i++)
    if (!cv_gateway_is_own_address (g, &roster->gateways[i]))
      {
        cv_datagram_send (g->loads_fd, &roster->gateways[i], msg);
        n++;
      }
  return n;
}

uint64_t
cv_gateway_rank (const struct sockaddr_in *address, uint64_t key)
{
  struct
  {
    uint32_t address;
    uint32_t port;
  } gateway = { address->sin_addr.s_addr, address->sin_port };

  return cv_hash (&gateway, sizeof gateway, key);
}

void
cv_gateway_set_retry_budget (const cv_gateway_t *g, cv_retry_budget_t *b)
{
  cv_retry_budget_set (b, RETRY_RATIO_FACTOR * g->settings.retry_ratio,
                       g->settings.retry_slack / g->gateway_count);
}

/* Divides the slack of the retry budget among COUNT gateways.  */
static void
set_gateway_count (cv_gateway_t *g, uint32_t count)
{
  cv_service_state_t *s;

  if (count == 0 || count == g->gateway_count)
    return;
  g->gateway_count = count;
  TAILQ_FOREACH (s, &g->services, entry)
  cv_gateway_set_retry_budget (g, &s->retries);
}

/* Without observers the store's list of gateways has their number.  */
void
cv_gateway_count_tick (cv_gateway_t *g, cv_time_t now)
{
  uint32_t listed = g->evidence.roster.count;

  if (g->last_load_report_at == 0
      || now - g->last_load_report_at > LOAD_REPORTS_MAX_AGE)
    set_gateway_count (
        g, listed > GATEWAY_COUNT_DEFAULT ? listed : GATEWAY_COUNT_DEFAULT);
}

static void
handle_load_report (cv_gateway_t *g, const cv_msg_engine_load_t *load,
                    const struct sockaddr_in *from)
{
  cv_target_t *t = cv_target_find (g, load->target);
  cv_time_t now = cv_now ();

  set_gateway_count (g, load->gateways);
  cv_warmup_heard_gateways (g, load->gateways, now);
  cv_observers_heard (&g->observers, from, now);
  g->last_load_report_at = now;
  if (t == NULL)
    {
      cv_watcher_poll_now (&g->instance_watcher, now);
      return;
    }
  if (t->record.started_ms != 0 && t->record.started_ms != load->started_ms)
    {
      if (load->started_ms > t->record.started_ms)
        {
          if (t->newer_started_ms != load->started_ms)
            {
              cv_version_note_restart (t);
              cv_warmup_note_start (t);
            }
          t->newer_started_ms = load->started_ms;
          cv_watcher_poll_now (&g->instance_watcher, now);
        }
      return;
    }
  /* Drops a report that arrived out of order.  After 1 s without a report, any
     sequence number is accepted.  */
  if (load->sequence < t->load.sequence
      && now - t->load_received_at < CV_SECOND)
    return;
  t->load = *load;
  g->are_sums_current = false;
  if (load->warmup_ms > 0)
    cv_warmup_state (&t->warmup, load->warmup_ms * CV_MS, now);
  if (load->draining && t->record.started_ms == load->started_ms)
    cv_target_note_leaving (t, "reported by its observer");
  t->min_refused_tokens = 0;
  t->min_refused_late_tokens = 0;
  t->refused_sizes.count = 0;
  t->load_received_at = now;
  t->observer = *from;
}

static void
handle_reservation_reply (cv_gateway_t *g, const cv_msg_reservation_t *m)
{
  cv_target_t *t = cv_target_find (g, m->target);

  if (t != NULL
      && (m->step == CV_RESERVATION_GRANTED
          || m->step == CV_RESERVATION_REJECTED))
    {
      if (!cv_migration_handle_reply (g, t, m))
        cv_reserve_handle_reply (g, t, m);
    }
}

void
cv_observer_send (const cv_target_t *t, const cv_msg_t *msg)
{
  if (t->load_received_at == 0)
    return;
  cv_datagram_send (t->gateway->loads_fd, &t->observer, msg);
}

bool
cv_gateway_grant_holds (const cv_target_t *t, cv_slice_t run, const char *kind,
                        cv_time_t asked_at)
{
  cv_time_t now = cv_now ();
  cv_line_t l;

  if (cv_grant_holds (asked_at, now))
    return true;
  cv_line_begin (&l, CV_EV_GATEWAY_GRANT_EXPIRED);
  cv_line_text (&l, "request", run);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "kind", cv_slice (kind));
  cv_line_number (&l, "asked_us", now - asked_at);
  cv_line_end (&l);
  return false;
}

/* False with ERR when gateways do not receive messages of this type.  */
static bool
handle_message (void *owner, const cv_msg_t *msg,
                const struct sockaddr_in *from, cv_error_t *err)
{
  cv_gateway_t *g = owner;

  switch (msg->type)
    {
    case CV_MSG_ENGINE_LOAD:
      handle_load_report (g, &msg->u.engine_load, from);
      return true;
    case CV_MSG_MOVE:
      cv_lease_handle (g, &msg->u.migration_lease, from);
      return true;
    case CV_MSG_ROOM:
      handle_reservation_reply (g, &msg->u.reservation);
      return true;
    case CV_MSG_DOC:
      return msg->u.doc.doc == CV_DOC_SUSPECTS
                 ? cv_evidence_merge (&g->evidence, msg->u.doc.body, err)
                 : cv_fail (err, CV_ERR_INVALID, "unexpected document");
    case CV_MSG_RATE:
      cv_limit_handle_message (g, &msg->u.rate, from);
      return true;
    case CV_MSG_ORIGIN:
      cv_resume_handle_message (g, &msg->u.origin, from);
      return true;
    case CV_MSG_SHARE:
      cv_shares_handle (g, &msg->u.share, from);
      return true;
    case CV_MSG_PAGE:
      return cv_pages_handle (g, &msg->u.page, from, err);
    default:
      return cv_fail (err, CV_ERR_INVALID, "unexpected message %s",
                      cv_msg_name (msg->type));
    }
}

static void
on_readable (evutil_socket_t fd, short what, void *arg)
{
  cv_gateway_t *g = arg;
  cv_step_t step = cv_step_begin (g, CV_JOB_DATAGRAMS);

  (void)what;
  cv_datagram_dispatch (fd, CV_EV_GATEWAY_LOAD_INVALID, handle_message, g);
  (void)cv_step_end (&step);
  if (cv_now () >= g->next_pass_at)
    cv_exchange_place_waiting (g);
}
