/* Publishes the address at which this gateway receives observers' messages, as
   an object in the store.  */

#include <string.h>

#include "gateway/state.h"
#include "routing/card.h"

#define REGISTER_CALL_TIMEOUT (1 * CV_SECOND)
/* Backoff after a failed call.  Until it is registered, the gateway may
   receive no load reports, and places requests by its own counts.  */
#define BACKOFF (1 * CV_SECOND)
/* After the store was restored, all gateways write within this time.  */
#define RESTORED_DELAY (500 * CV_MS)

static void on_result (void *owner, const cv_http_result_t *result,
                       bool is_outdated);

void
cv_register_init (cv_register_t *r, cv_gateway_t *g)
{
  memset (r, 0, sizeof *r);
  r->gateway = g;
  r->phase = CV_REGISTER_CREATE;
  cv_replica_call_init (&r->call, g->base, &g->store, &g->store_history,
                        on_result, r);
}

void
cv_register_finish (cv_register_t *r)
{
  cv_replica_call_finish (&r->call);
}

static void
write_object (cv_register_t *r)
{
  const char *name = r->gateway->settings.instance;
  bool create = r->phase == CV_REGISTER_CREATE;
  cv_replica_request_t request
      = { .method = create ? "POST" : "PUT", .timeout = REGISTER_CALL_TIMEOUT };
  cv_buf_t path;
  cv_buf_t spec;
  cv_buf_t body;

  cv_buf_init (&path);
  cv_buf_init (&spec);
  cv_buf_init (&body);
  if (create)
    cv_platform_list_path (&path, CV_STORE_GATEWAYS, "");
  else
    cv_platform_object_path (&path, CV_STORE_GATEWAYS, name);
  cv_gateway_address_encode (&spec, &r->gateway->loads_address);
  cv_platform_encode_object (&body, name, 0, cv_buf_text (&spec));
  request.path = cv_buf_text (&path);
  request.body = (cv_slice_t){ body.p, body.n };
  cv_replica_call_start (&r->call, &request);
  cv_buf_finish (&path);
  cv_buf_finish (&spec);
  cv_buf_finish (&body);
}

/* Without a response the same object is written again, which is harmless.  */
static void
on_result (void *owner, const cv_http_result_t *result, bool is_outdated)
{
  cv_register_t *r = owner;
  cv_line_t l;

  if (is_outdated)
    {
      r->phase = CV_REGISTER_CREATE;
      return;
    }
  switch (result->status)
    {
    case 200:
    case 201:
      r->phase = CV_REGISTER_DONE;
      r->was_registered = true;
      r->history = r->gateway->store_history.number;
      cv_line_begin (&l, CV_EV_GATEWAY_REGISTERED);
      cv_line_text (&l, "instance", cv_slice (r->gateway->settings.instance));
      cv_line_end (&l);
      return;
    case 409:
      /* A previous process of this instance created the object.  */
      if (!r->was_registered)
        cv_warmup_fleet_rejoined (&r->gateway->warmup_fleet);
      r->phase = CV_REGISTER_REPLACE;
      return;
    case 404:
      r->phase = CV_REGISTER_CREATE;
      return;
    default:
      r->next_call = cv_now () + BACKOFF;
      return;
    }
}

/* The store was restored; it may not have the object any longer.  */
static void
register_again (cv_register_t *r, cv_time_t now)
{
  r->phase = CV_REGISTER_CREATE;
  r->next_call = now
                 + (cv_time_t)((double)RESTORED_DELAY
                               * cv_rng_uniform (&r->gateway->rng));
}

void
cv_register_tick (cv_register_t *r, cv_time_t now)
{
  cv_replica_call_tick (&r->call, now);
  if (r->phase == CV_REGISTER_DONE
      && r->history != r->gateway->store_history.number)
    register_again (r, now);
  if (r->phase != CV_REGISTER_DONE && !r->call.http.busy && now >= r->next_call)
    write_object (r);
}
