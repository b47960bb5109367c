#include "replica/call.h"

#include <string.h>

#include "base/line.h"

/* The store returns about 1 MB a page, and objects of 1 MiB.  */
#define RESPONSE_BODY_MAX_BYTES (4u * 1024 * 1024)

static void
log_history (const cv_store_history_t *h, cv_era_t former)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_STORE_RESTORED);
  cv_line_number (&l, "era", (int64_t)h->era.number);
  cv_line_number (&l, "former", (int64_t)former.number);
  cv_line_end (&l);
}

/* Logs a malformed era once for each reader.  */
static void
log_malformed (cv_replica_call_t *c, cv_slice_t text)
{
  cv_line_t l;

  if (c->has_malformed_era)
    return;
  c->has_malformed_era = true;
  cv_line_begin (&l, CV_EV_STORE_ERA_INVALID);
  cv_line_text (&l, "era", text);
  cv_line_end (&l);
}

/* A malformed era is ignored, as if the answer named none.  */
static cv_era_t
decode_era (cv_replica_call_t *c, const cv_http_head_t *head)
{
  cv_era_t era = { 0 };
  cv_slice_t text;

  if (!cv_platform_decode_era (head, &era, &text))
    log_malformed (c, text);
  return era;
}

static void
on_result (void *owner, const cv_http_result_t *r)
{
  cv_replica_call_t *c = owner;
  cv_store_history_t *h = c->history;
  cv_era_t former = h->era;
  uint64_t number = h->number;
  bool is_admitted = true;

  if (r->head != NULL)
    is_admitted = cv_store_history_admit (h, decode_era (c, r->head), &c->basis,
                                          cv_now ());
  if (h->number != number && former.is_named)
    log_history (h, former);
  c->handler (c->owner, r, !is_admitted);
}

void
cv_replica_call_init (cv_replica_call_t *c, struct event_base *base,
                      const struct sockaddr_in *store,
                      cv_store_history_t *history,
                      cv_replica_handler_t *handler, void *owner)
{
  memset (c, 0, sizeof *c);
  c->history = history;
  c->handler = handler;
  c->owner = owner;
  cv_http_call_init (&c->http, base, store, RESPONSE_BODY_MAX_BYTES, on_result,
                     c);
}

void
cv_replica_call_finish (cv_replica_call_t *c)
{
  cv_http_call_finish (&c->http);
}

void
cv_replica_call_start (cv_replica_call_t *c,
                       const cv_replica_request_t *request)
{
  c->basis = (cv_call_basis_t){ .history = c->history->number,
                                .continues = request->continues,
                                .may_be_stale = request->may_be_stale };
  cv_http_call_start (&c->http, request->method, request->path, request->body,
                      request->timeout);
  c->http.progress_timeout = request->progress_timeout;
}

void
cv_replica_call_cancel (cv_replica_call_t *c)
{
  cv_http_call_cancel (&c->http);
}

void
cv_replica_call_tick (cv_replica_call_t *c, cv_time_t now)
{
  cv_http_call_tick (&c->http, now);
}
