/* Endpoints for plain services: tickets and the pass-through.  */

#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

#define SERVICE_PREFIX "/svc/"
#define CALL_DEADLINE_MS 30000
#define CALL_DEADLINE_MAX_MS 600000
/* Beyond the call's own deadline, for the revocation and the retry.  */
#define CALL_SLACK (10 * CV_SECOND)
#define KEY_MAX 256

static bool read_path (const cv_request_in_t *req, cv_call_spec_t *spec);
static bool read_mode (cv_http_t *h, const cv_request_in_t *req,
                       cv_response_t *resp, cv_call_spec_t *spec);
static bool claim (cv_http_t *h, cv_response_t *resp, const char *key,
                   cv_call_spec_t *spec);
static bool take_ticket (cv_http_t *h, cv_response_t *resp, const char *pool,
                         cv_ticket_t *ticket);
static bool idempotent (const char *method);
static int answer_call (cv_response_t *resp, const cv_queued_reply_t *m,
                        bool with_ticket);

int
cv_http_tickets (const cv_request_in_t *req, cv_response_t *resp, void *arg)
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

  if (!cv_http_begin (h, req, resp) || !cv_http_account (h, req, resp, account))
    return U_CALLBACK_COMPLETE;
  if (!cv_body_text (in, "pool", pool, sizeof pool, &err))
    return cv_http_bad (resp, err.text);
  if (!take_ticket (h, resp, pool, &ticket))
    return U_CALLBACK_COMPLETE;
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"ticket\":\"%s\"}",
                 cv_ticket_format (&ticket, text));
  rc = cv_http_json (resp, 200, &body);
  cv_buf_finish (&body);
  return rc;
}

int
cv_http_service (const cv_request_in_t *req, cv_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_call_spec_t spec = { 0 };
  const char *type = cv_http_header (req, "Content-Type");
  const char *deadline = cv_http_header (req, "X-Deadline-Ms");
  cv_reply_queue_t *caller;
  cv_queued_reply_t *m;
  int rc;

  if (!cv_http_begin (h, req, resp)
      || !cv_http_account (h, req, resp, spec.account))
    return U_CALLBACK_COMPLETE;
  if (!read_path (req, &spec)
      || !cv_copy (spec.method, sizeof spec.method, req->http_verb))
    return cv_http_bad (resp, "expected METHOD /svc/POOL/PATH");
  spec.deadline_ms = CALL_DEADLINE_MS;
  if (deadline != NULL)
    spec.deadline_ms = (uint32_t)strtoul (deadline, NULL, 10);
  if (spec.deadline_ms == 0 || spec.deadline_ms > CALL_DEADLINE_MAX_MS)
    return cv_http_bad (resp, "X-Deadline-Ms: expected 1 to 600000");
  spec.content_type = cv_slice (type == NULL ? "" : type);
  spec.body.p = req->binary_body;
  spec.body.n = req->binary_body_length;
  if (!read_mode (h, req, resp, &spec))
    return U_CALLBACK_COMPLETE;
  caller = cv_reply_queue_new ();
  cv_entry_link_call (h->link, caller, &spec);
  m = cv_http_take (h, req, caller, spec.deadline_ms * CV_MS + CALL_SLACK);
  if (m == NULL)
    {
      cv_entry_link_caller_gone (h->link, caller);
      rc = cv_http_failure (resp, CV_FAIL_UNKNOWN, 1000);
    }
  else
    {
      rc = answer_call (resp, m, spec.mode != CV_CALL_IDEMPOTENT);
      cv_queued_reply_free (m);
    }
  cv_reply_queue_unref (caller);
  return rc;
}

/* "/svc/POOL/PATH?QUERY": the raw path is passed on as it came.  */
static bool
read_path (const cv_request_in_t *req, cv_call_spec_t *spec)
{
  const char *url = req->http_url;
  const char *rest;
  cv_slice_t pool;

  if (strncmp (url, SERVICE_PREFIX, sizeof SERVICE_PREFIX - 1) != 0)
    return false;
  url += sizeof SERVICE_PREFIX - 1;
  rest = strchr (url, '/');
  if (rest == NULL || rest == url)
    return false;
  pool.p = url;
  pool.n = (size_t)(rest - url);
  spec->path = cv_slice (rest);
  return cv_copy_slice (spec->pool, sizeof spec->pool, pool);
}

/* A ticket as the key is used as it is; any other key is bound to a ticket
   in the object API; without a key the method decides.  */
static bool
read_mode (cv_http_t *h, const cv_request_in_t *req, cv_response_t *resp,
           cv_call_spec_t *spec)
{
  const char *key = cv_http_header (req, "Idempotency-Key");

  if (key == NULL || key[0] == '\0')
    {
      spec->mode
          = idempotent (spec->method) ? CV_CALL_IDEMPOTENT : CV_CALL_ONCE;
      return true;
    }
  spec->mode = CV_CALL_TICKET;
  if (cv_ticket_parse (&spec->ticket, cv_slice (key)))
    return true;
  if (strlen (key) > KEY_MAX)
    {
      (void)cv_http_bad (resp, "Idempotency-Key: longer than 256 bytes");
      return false;
    }
  return claim (h, resp, key, spec);
}

static bool
claim (cv_http_t *h, cv_response_t *resp, const char *key, cv_call_spec_t *spec)
{
  uint64_t account = cv_hash (spec->account, strlen (spec->account), 0);
  uint64_t pool = cv_hash (spec->pool, strlen (spec->pool), 1);
  char object[80];
  cv_error_t err;
  /* An earlier call with this key may have run, so that nothing more can be
     said without the object API.  */
  const cv_http_error_t unknown
      = { .status = 503,
          .code = "store_unavailable",
          .text = "this attempt did not run, but the key cannot be checked "
                  "for earlier ones now",
          .outcome = CV_OUTCOME_UNKNOWN,
          .retry_after_ms = 2000 };

  if (!take_ticket (h, resp, spec->pool, &spec->ticket))
    return false;
  (void)snprintf (object, sizeof object, "claims/%016llx/%016llx%016llx",
                  (unsigned long long)account,
                  (unsigned long long)cv_hash (key, strlen (key), account),
                  (unsigned long long)cv_hash (key, strlen (key), pool));
  if (cv_storejobs_claim (h->jobs, object, &spec->ticket, &err))
    return true;
  (void)cv_http_fail (resp, &unknown);
  return false;
}

static bool
take_ticket (cv_http_t *h, cv_response_t *resp, const char *pool,
             cv_ticket_t *ticket)
{
  cv_reply_queue_t *caller = cv_reply_queue_new ();
  cv_queued_reply_t *m;
  bool ok = false;

  cv_entry_link_ticket (h->link, caller, pool);
  m = cv_reply_queue_take (caller, CALL_SLACK);
  if (m == NULL)
    (void)cv_http_failure (resp, CV_FAIL_NO_TARGET, 1000);
  else if (m->type == CV_REPLY_FAILED)
    (void)cv_http_fail_mail (resp, m);
  else
    {
      *ticket = m->ticket;
      ok = true;
    }
  if (m != NULL)
    cv_queued_reply_free (m);
  cv_reply_queue_unref (caller);
  return ok;
}

/* Methods that HTTP defines as idempotent.  */
static bool
idempotent (const char *method)
{
  static const char *const methods[]
      = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (method, methods[i]) == 0)
      return true;
  return false;
}

static int
answer_call (cv_response_t *resp, const cv_queued_reply_t *m, bool with_ticket)
{
  char text[CV_TICKET_TEXT];

  if (m->type != CV_REPLY_CALL)
    return cv_http_fail_mail (resp, m);
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
