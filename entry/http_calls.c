/* Endpoints for service pools: tickets and forwarded calls.  */

#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

#define SERVICE_PREFIX "/svc/"
#define CALL_DEADLINE_DEFAULT_MS 30000
#define CALL_DEADLINE_MAX_MS 600000
/* Time to wait for the core's reply after the deadline of a call, and for a
   ticket.  It exceeds the waits of the core after a deadline
   (core_internal.h).  */
#define CALL_REPLY_MARGIN (10 * CV_SECOND)
#define KEY_MAX_BYTES 256

static bool read_path (const cv_server_request_t *req, cv_call_spec_t *spec);
static bool read_mode (cv_http_t *h, const cv_server_request_t *req,
                       cv_server_response_t *resp, cv_call_spec_t *spec);
static bool claim_key (cv_http_t *h, cv_server_response_t *resp,
                       const char *key, cv_call_spec_t *spec);
static bool request_ticket (cv_http_t *h, cv_server_response_t *resp,
                            const char *pool, cv_ticket_t *ticket);
static bool is_idempotent_method (const char *method);
static int respond_call (cv_server_response_t *resp, const cv_queued_reply_t *m,
                         bool with_ticket);

int
cv_http_tickets (const cv_server_request_t *req, cv_server_response_t *resp,
                 void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t in = { .p = req->binary_body, .n = req->binary_body_length };
  char account[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char text[CV_TICKET_TEXT];
  cv_ticket_t ticket;
  cv_error_t err;
  cv_buf_t body;
  int rc;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate (h, req, resp, account))
    return U_CALLBACK_COMPLETE;
  if (!cv_json_string_member (in, "pool", pool, sizeof pool, &err))
    return cv_http_respond_bad_request (resp, err.text);
  if (!request_ticket (h, resp, pool, &ticket))
    return U_CALLBACK_COMPLETE;
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"ticket\":\"%s\"}",
                 cv_ticket_format (&ticket, text));
  rc = cv_http_respond_json (resp, 200, &body);
  cv_buf_finish (&body);
  return rc;
}

int
cv_http_service_call (const cv_server_request_t *req,
                      cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_call_spec_t spec = { 0 };
  const char *type = cv_http_header (req, "Content-Type");
  const char *deadline = cv_http_header (req, "X-Deadline-Ms");
  cv_reply_queue_t *replies;
  cv_queued_reply_t *m;
  int rc;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate (h, req, resp, spec.account))
    return U_CALLBACK_COMPLETE;
  if (!read_path (req, &spec)
      || !cv_copy (spec.method, sizeof spec.method, req->http_verb))
    return cv_http_respond_bad_request (resp, "expected METHOD /svc/POOL/PATH");
  spec.deadline_ms = CALL_DEADLINE_DEFAULT_MS;
  if (deadline != NULL)
    spec.deadline_ms = (uint32_t)strtoul (deadline, NULL, 10);
  if (spec.deadline_ms == 0 || spec.deadline_ms > CALL_DEADLINE_MAX_MS)
    return cv_http_respond_bad_request (resp,
                                        "X-Deadline-Ms: expected 1 to 600000");
  spec.content_type = cv_slice (type == NULL ? "" : type);
  spec.body.p = req->binary_body;
  spec.body.n = req->binary_body_length;
  if (!read_mode (h, req, resp, &spec))
    return U_CALLBACK_COMPLETE;
  replies = cv_reply_queue_new ();
  cv_entry_link_call (h->link, replies, &spec);
  m = cv_http_wait_reply (h, req, replies,
                          spec.deadline_ms * CV_MS + CALL_REPLY_MARGIN);
  if (m == NULL)
    {
      cv_entry_link_caller_gone (h->link, replies);
      rc = cv_http_respond_failure (resp, CV_FAIL_UNKNOWN, 1000);
    }
  else
    {
      rc = respond_call (resp, m, spec.mode != CV_CALL_IDEMPOTENT);
      cv_queued_reply_free (m);
    }
  cv_reply_queue_unref (replies);
  return rc;
}

/* Splits "/svc/POOL/PATH?QUERY"; the path is forwarded without decoding.  */
static bool
read_path (const cv_server_request_t *req, cv_call_spec_t *spec)
{
  const char *url = req->http_url;
  const char *path;
  cv_slice_t pool;

  if (strncmp (url, SERVICE_PREFIX, sizeof SERVICE_PREFIX - 1) != 0)
    return false;
  url += sizeof SERVICE_PREFIX - 1;
  path = strchr (url, '/');
  if (path == NULL || path == url)
    return false;
  pool.p = url;
  pool.n = (size_t)(path - url);
  spec->path = cv_slice (path);
  return cv_copy_slice (spec->pool, sizeof spec->pool, pool);
}

/* Sets the call mode.  An idempotency key that is a ticket is used directly;
   any other key is bound to a ticket in the object API.  Without a key the
   method determines the mode.  */
static bool
read_mode (cv_http_t *h, const cv_server_request_t *req,
           cv_server_response_t *resp, cv_call_spec_t *spec)
{
  const char *key = cv_http_header (req, "Idempotency-Key");

  if (key == NULL || key[0] == '\0')
    {
      spec->mode = is_idempotent_method (spec->method) ? CV_CALL_IDEMPOTENT
                                                       : CV_CALL_ONCE;
      return true;
    }
  spec->mode = CV_CALL_TICKET;
  if (cv_ticket_parse (&spec->ticket, cv_slice (key)))
    return true;
  if (strlen (key) > KEY_MAX_BYTES)
    {
      (void)cv_http_respond_bad_request (
          resp, "Idempotency-Key: longer than 256 bytes");
      return false;
    }
  return claim_key (h, resp, key, spec);
}

static bool
claim_key (cv_http_t *h, cv_server_response_t *resp, const char *key,
           cv_call_spec_t *spec)
{
  uint64_t account = cv_hash (spec->account, strlen (spec->account), 0);
  uint64_t pool = cv_hash (spec->pool, strlen (spec->pool), 1);
  char object[80];
  cv_error_t err;
  /* An earlier call with this key may have run, which cannot be determined
     without the object API; the outcome is therefore unknown.  */
  const cv_http_error_t unknown
      = { .status = 503,
          .code = "store_unavailable",
          .text = "this attempt did not run, but the key cannot be checked "
                  "for earlier ones now",
          .outcome = CV_OUTCOME_UNKNOWN,
          .retry_after_ms = 2000 };

  if (!request_ticket (h, resp, spec->pool, &spec->ticket))
    return false;
  (void)snprintf (object, sizeof object, "claims/%016llx/%016llx%016llx",
                  (unsigned long long)account,
                  (unsigned long long)cv_hash (key, strlen (key), account),
                  (unsigned long long)cv_hash (key, strlen (key), pool));
  if (cv_storejobs_claim (h->jobs, object, &spec->ticket, &err))
    return true;
  (void)cv_http_respond_error (resp, &unknown);
  return false;
}

static bool
request_ticket (cv_http_t *h, cv_server_response_t *resp, const char *pool,
                cv_ticket_t *ticket)
{
  cv_reply_queue_t *replies = cv_reply_queue_new ();
  cv_queued_reply_t *m;
  bool ok = false;

  cv_entry_link_ticket (h->link, replies, pool);
  m = cv_reply_queue_take (replies, CALL_REPLY_MARGIN);
  if (m == NULL)
    (void)cv_http_respond_failure (resp, CV_FAIL_NO_TARGET, 1000);
  else if (m->type == CV_REPLY_FAILED)
    (void)cv_http_respond_failed_reply (resp, m);
  else
    {
      *ticket = m->ticket;
      ok = true;
    }
  if (m != NULL)
    cv_queued_reply_free (m);
  cv_reply_queue_unref (replies);
  return ok;
}

/* Whether HTTP defines METHOD as idempotent.  */
static bool
is_idempotent_method (const char *method)
{
  static const char *const methods[]
      = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (method, methods[i]) == 0)
      return true;
  return false;
}

static int
respond_call (cv_server_response_t *resp, const cv_queued_reply_t *m,
              bool with_ticket)
{
  char text[CV_TICKET_TEXT];

  if (m->type != CV_REPLY_CALL)
    return cv_http_respond_failed_reply (resp, m);
  (void)u_map_put (resp->map_header, "X-Outcome", "done");
  if (m->replayed)
    (void)u_map_put (resp->map_header, "X-Replayed", "true");
  if (with_ticket)
    (void)u_map_put (resp->map_header, "X-Ticket",
                     cv_ticket_format (&m->ticket, text));
  if (m->content_type[0] != '\0')
    (void)u_map_put (resp->map_header, "Content-Type", m->content_type);
  (void)ulfius_set_binary_body_response (resp, m->status, m->text,
                                         m->text_size);
  return U_CALLBACK_COMPLETE;
}
