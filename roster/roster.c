/* Reads the list of the gateways from the store.  */

#include <string.h>

#include "base/line.h"
#include "platform/platform.h"
#include "roster/roster.h"
#include "routing/card.h"

#define LIST_INTERVAL (2 * CV_SECOND)
/* The same while a gateway is awaited that was registered just now.  */
#define AWAITED_LIST_INTERVAL (500 * CV_MS)
#define CALL_TIMEOUT (500 * CV_MS)
/* Gateways write their objects again within this time after the store was
   restored, and a stale list shows them: 3 s of staleness, one LIST_INTERVAL
   and the time until each gateway has learnt of it.  */
#define FORMER_PERIOD (8 * CV_SECOND)

static void on_store (void *owner, const cv_http_result_t *result,
                      bool is_outdated);

void
cv_roster_init (cv_roster_t *r, struct event_base *base,
                const struct sockaddr_in *store, cv_store_history_t *history,
                cv_event_t skipped)
{
  memset (r, 0, sizeof *r);
  r->skipped = skipped;
  cv_replica_call_init (&r->store, base, store, history, on_store, r);
}

void
cv_roster_finish (cv_roster_t *r)
{
  cv_replica_call_finish (&r->store);
}

static void
add_listed_gateway (cv_roster_t *r, const cv_store_object_t *object)
{
  cv_error_t err = { 0 };
  struct sockaddr_in address;
  cv_line_t l;

  if (!cv_gateway_address_decode (object->spec, &address, &err)
      || r->listed_count == CV_ROSTER_MAX)
    {
      cv_line_begin (&l, r->skipped);
      cv_line_text (&l, "gateway", cv_slice (object->name));
      cv_line_text (&l, "reason",
                    cv_slice (err.text[0] != '\0'
                                  ? err.text
                                  : "too many gateways listed"));
      cv_line_end (&l);
      return;
    }
  r->listed[r->listed_count++] = address;
}

static bool
has_address (const struct sockaddr_in *gateways, uint32_t count,
             const struct sockaddr_in *address)
{
  for (uint32_t i = 0; i < count; i++)
    if (gateways[i].sin_addr.s_addr == address->sin_addr.s_addr
        && gateways[i].sin_port == address->sin_port)
      return true;
  return false;
}

bool
cv_roster_has (const cv_roster_t *r, const struct sockaddr_in *address)
{
  return has_address (r->gateways, r->count, address);
}

/* Adds the gateways known so far to those that were listed: the copy that the
   store was restored from may lack them.  */
static void
keep_former (cv_roster_t *r)
{
  for (uint32_t i = 0; i < r->count && r->listed_count < CV_ROSTER_MAX; i++)
    if (!has_address (r->listed, r->listed_count, &r->gateways[i]))
      r->listed[r->listed_count++] = r->gateways[i];
}

static void
handle_page (cv_roster_t *r, cv_store_page_t *page)
{
  cv_store_object_t object;

  while (cv_platform_page_next (page, &object))
    {
      add_listed_gateway (r, &object);
      cv_platform_page_cursor (&object, r->list_after);
    }
  if (page->has_more)
    {
      r->next_list_at = 0;
      return;
    }
  if (cv_store_history_is_recent (r->store.history, cv_now (), FORMER_PERIOD))
    keep_former (r);
  memcpy (r->gateways, r->listed, sizeof r->gateways);
  r->count = r->listed_count;
  r->list_after[0] = '\0';
}

/* After a failed call, listing starts over at the next LIST_INTERVAL.  */
static void
on_store (void *owner, const cv_http_result_t *result, bool is_outdated)
{
  cv_roster_t *r = owner;
  cv_store_page_t page;
  cv_error_t err = { 0 };

  if (is_outdated || result->status != 200
      || !cv_platform_decode_page (result->body, false, &page, &err))
    {
      r->list_after[0] = '\0';
      return;
    }
  handle_page (r, &page);
  cv_platform_page_finish (&page);
}

void
cv_roster_tick (cv_roster_t *r, const struct sockaddr_in *awaited,
                cv_time_t now)
{
  bool is_awaiting = awaited != NULL && !cv_roster_has (r, awaited);
  cv_replica_request_t request = { .method = "GET",
                                   .timeout = CALL_TIMEOUT,
                                   .progress_timeout = CALL_TIMEOUT,
                                   .may_be_stale = true };
  cv_buf_t path;

  cv_replica_call_tick (&r->store, now);
  if (r->store.http.busy || now < r->next_list_at)
    return;
  r->next_list_at = now + (is_awaiting ? AWAITED_LIST_INTERVAL : LIST_INTERVAL);
  if (r->list_after[0] == '\0')
    r->listed_count = 0;
  cv_buf_init (&path);
  cv_platform_stale_list_path (&path, CV_STORE_GATEWAYS, r->list_after);
  request.path = cv_buf_text (&path);
  request.continues = r->list_after[0] != '\0';
  cv_replica_call_start (&r->store, &request);
  cv_buf_finish (&path);
}
