/* What the gateway knows of the limits of targets.  A target in need names in
   its answers the rate of requests that it takes from all gateways together; a
   gateway that sees a change tells the others at once.  */

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#include "gateway/state.h"
#include "wire/datagram.h"

/* In the log, rates are in these parts of a request a second.  */
#define LOG_UNIT 1e3
/* A higher limit is none that a target can reach.  */
#define RATE_MAX 1e9
/* A change is sent this often, the first time at once.  A network that loses
   three packets in a hundred loses all of them once in a million changes.  */
#define SENDS 4
#define SEND_INTERVAL (250 * CV_MS)

static const char *
source_text (const cv_target_limit_t *l, char text[INET_ADDRSTRLEN])
{
  if (l->source.sin_port == 0
      || inet_ntop (AF_INET, &l->source.sin_addr, text, INET_ADDRSTRLEN)
             == NULL)
    return "answer";
  return text;
}

static void
add_limit (cv_line_t *line, const cv_target_limit_t *l)
{
  char text[INET_ADDRSTRLEN];

  cv_line_number (line, "limit_milli", llround (l->known.per_s * LOG_UNIT));
  cv_line_number (line, "limit_age_us", cv_now () - l->known.since);
  cv_line_text (line, "limit_source", cv_slice (source_text (l, text)));
}

static void
log_change (const cv_target_t *t)
{
  cv_line_t l;

  cv_line_begin (&l, t->limit.known.is_limited
                         ? CV_EV_GATEWAY_TARGET_LIMITED
                         : CV_EV_GATEWAY_TARGET_UNLIMITED);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "service", cv_slice (t->record.service));
  add_limit (&l, &t->limit);
  cv_line_end (&l);
}

void
cv_limit_log_wait (const cv_exchange_t *x, const cv_target_t *t, cv_time_t wait,
                   const char *reason, const char *next)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_LIMIT_REACHED);
  cv_line_text (&l, "request", x->request.attempt);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  add_limit (&l, &t->limit);
  cv_line_number (&l, "wait_us", wait);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_text (&l, "next", cv_slice (next));
  cv_line_end (&l);
}

bool
cv_limit_admits (const cv_target_t *t, cv_time_t now)
{
  return !t->limit.known.is_limited || now >= t->limit.blocked_until;
}

/* ---- messages ---- */

void
cv_limit_send (const cv_target_t *t, cv_msg_rate_t *m,
               const struct sockaddr_in *to)
{
  const cv_gateway_t *g = t->gateway;
  const cv_rate_limit_t *known = &t->limit.known;
  cv_msg_t msg = { .type = CV_MSG_RATE };

  (void)cv_copy (m->target, sizeof m->target, t->record.id);
  m->started_ms = t->record.started_ms;
  m->is_limited = known->is_limited;
  m->micro_per_s = (uint64_t)llround (known->per_s * CV_RATE_UNIT);
  m->age_us = (uint64_t)(cv_now () - known->evidence_at);
  msg.u.rate = *m;
  if (to != NULL)
    cv_datagram_send (g->loads_fd, to, &msg);
  else
    (void)cv_gateways_send (g, &msg);
}

static void
send_change (cv_target_t *t, cv_time_t now)
{
  cv_msg_rate_t m = { .step = CV_RATE_NAMED };

  t->limit.sends_left--;
  t->limit.next_send_at = now + SEND_INTERVAL;
  cv_limit_send (t, &m, NULL);
}

/* The limit of T has changed, as SOURCE told, or an answer if it is NULL.  */
static void
handle_change (cv_target_t *t, const struct sockaddr_in *source)
{
  cv_target_limit_t *l = &t->limit;

  l->source = source != NULL ? *source : (struct sockaddr_in){ 0 };
  l->blocked_until = 0;
  log_change (t);
  if (!l->known.is_limited)
    cv_keeper_leave (t);
  if (source != NULL)
    return;
  l->sends_left = SENDS;
  send_change (t, cv_now ());
}

/* Logs a malformed limit of T once.  */
static void
log_malformed (cv_target_t *t, cv_slice_t text)
{
  cv_line_t l;

  if (t->limit.has_malformed)
    return;
  t->limit.has_malformed = true;
  cv_line_begin (&l, CV_EV_GATEWAY_LIMIT_INVALID);
  cv_line_text (&l, "target", cv_slice (t->record.id));
  cv_line_text (&l, "limit", text);
  cv_line_end (&l);
}

void
cv_limit_observe (cv_target_t *t, const cv_answer_fields_t *fields,
                  cv_time_t sent_at)
{
  double per_s
      = fields->limit_per_s < RATE_MAX ? fields->limit_per_s : RATE_MAX;

  switch (fields->limit)
    {
    case CV_LIMIT_NAMED:
      if (cv_rate_limit_named (&t->limit.known, per_s, cv_now ()))
        handle_change (t, NULL);
      return;
    case CV_LIMIT_NONE:
      if (cv_rate_limit_ended (&t->limit.known, sent_at))
        handle_change (t, NULL);
      return;
    case CV_LIMIT_MALFORMED:
      log_malformed (t, fields->limit_text);
      return;
    }
}

/* Takes over what M says of the limit of T, if it is newer.  */
static void
learn (cv_target_t *t, const cv_msg_rate_t *m, const struct sockaddr_in *from)
{
  cv_time_t at = cv_now () - (cv_time_t)m->age_us;
  double per_s = (double)m->micro_per_s / CV_RATE_UNIT;
  bool is_changed
      = m->is_limited ? cv_rate_limit_named (
            &t->limit.known, per_s < RATE_MAX ? per_s : RATE_MAX, at)
                      : cv_rate_limit_ended (&t->limit.known, at);

  if (is_changed)
    handle_change (t, from);
}

void
cv_limit_handle_message (cv_gateway_t *g, const cv_msg_rate_t *m,
                         const struct sockaddr_in *from)
{
  cv_target_t *t = cv_target_find (g, m->target);

  /* A target that was started again has named nothing yet.  */
  if (t == NULL || t->record.started_ms != m->started_ms)
    return;
  learn (t, m, from);
  cv_keeper_handle (t, m, from);
}

void
cv_limits_tick (cv_gateway_t *g, cv_time_t now)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  {
    if (t->limit.keeper.is_keeper)
      cv_keeper_tick (t, now);
    else if (t->limit.sends_left > 0 && now >= t->limit.next_send_at)
      send_change (t, now);
  }
}

void
cv_limits_finish (cv_gateway_t *g)
{
  cv_target_t *t;

  TAILQ_FOREACH (t, &g->targets, entry)
  cv_keeper_leave (t);
}
