/* Keeps quarantined content in one object of the store, from which a gateway
   that starts reads it.  Every gateway reads the object every 2 s, as an
   operator may lift a quarantine there, and writes it when it lacks something:
   also after the store was restored from an older copy.  */

#include <string.h>

#include <json-c/json.h>

#include "gateway/state.h"

#define CALL_TIMEOUT (600 * CV_MS)
#define READ_INTERVAL (2 * CV_SECOND)
/* Gateways that learn of a crash at the same time write after a random part of
   this, so that most of them find the object written.  */
#define WRITE_DELAY (200 * CV_MS)
/* Backoff after a failed call, doubled up to four times.  */
#define BACKOFF (300 * CV_MS)
#define BACKOFF_DOUBLINGS_MAX 4
/* A gateway takes requests without the object after this many failed reads.  */
#define READS_MAX 4

static void on_result (void *owner, const cv_http_result_t *r,
                       bool is_outdated);

void
cv_quarantine_store_init (cv_quarantine_store_t *q, cv_gateway_t *g)
{
  memset (q, 0, sizeof *q);
  q->gateway = g;
  q->phase = CV_QUARANTINE_READ;
  q->is_fresh = true;
  cv_trial_init (&q->trial);
  cv_replica_call_init (&q->call, g->base, &g->store, &g->store_history,
                        on_result, q);
}

void
cv_quarantine_store_finish (cv_quarantine_store_t *q)
{
  cv_replica_call_finish (&q->call);
  cv_trial_finish (&q->trial);
}

void
cv_quarantine_store_read_now (cv_quarantine_store_t *q)
{
  q->is_fresh = true;
  q->next_read_at = 0;
}

void
cv_quarantine_store_changed (cv_quarantine_store_t *q)
{
  if (q->is_fresh)
    return;
  q->is_fresh = true;
  q->next_read_at
      = cv_now ()
        + (cv_time_t)((double)WRITE_DELAY * cv_rng_uniform (&q->gateway->rng));
}

static void
start_read (cv_quarantine_store_t *q)
{
  cv_replica_request_t request = { .method = "GET",
                                   .timeout = CALL_TIMEOUT,
                                   .progress_timeout = CALL_TIMEOUT,
                                   .may_be_stale = !q->is_fresh };
  cv_buf_t path;

  q->phase = CV_QUARANTINE_READ;
  cv_buf_init (&path);
  if (q->is_fresh)
    cv_platform_list_path (&path, CV_STORE_SUSPECTS, "");
  else
    cv_platform_stale_list_path (&path, CV_STORE_SUSPECTS, "");
  q->is_fresh = false;
  request.path = cv_buf_text (&path);
  cv_replica_call_start (&q->call, &request);
  cv_buf_finish (&path);
}

static void
start_write (cv_quarantine_store_t *q, const char *document)
{
  bool exists = q->revision > 0;
  cv_replica_request_t request = { .method = exists ? "PUT" : "POST",
                                   .timeout = CALL_TIMEOUT,
                                   .continues = exists };
  cv_buf_t path;
  cv_buf_t body;

  q->phase = CV_QUARANTINE_WRITE;
  cv_buf_init (&path);
  cv_buf_init (&body);
  if (exists)
    cv_platform_object_path (&path, CV_STORE_SUSPECTS, CV_QUARANTINE_OBJECT);
  else
    cv_platform_list_path (&path, CV_STORE_SUSPECTS, "");
  cv_platform_encode_object (&body, CV_QUARANTINE_OBJECT, q->revision,
                             document);
  request.path = cv_buf_text (&path);
  request.body = (cv_slice_t){ body.p, body.n };
  cv_replica_call_start (&q->call, &request);
  cv_buf_finish (&path);
  cv_buf_finish (&body);
}

/* Writes the object if the table has something that STORED lacks.  */
static void
write_missing (cv_quarantine_store_t *q, cv_suspects_t *stored)
{
  cv_buf_t before;
  cv_buf_t own;
  cv_buf_t after;

  cv_buf_init (&before);
  cv_buf_init (&own);
  cv_buf_init (&after);
  cv_suspects_dump (stored, NULL, NULL, &before);
  cv_suspects_dump (q->gateway->evidence.suspects, cv_suspects_is_lasting, NULL,
                    &own);
  (void)cv_suspects_merge (stored, cv_slice (cv_buf_text (&own)), NULL);
  cv_trial_add_claim (q, stored);
  cv_suspects_dump (stored, NULL, NULL, &after);
  if (strcmp (cv_buf_text (&before), cv_buf_text (&after)) != 0)
    {
      cv_trial_write_begins (&q->trial, cv_buf_text (&after));
      start_write (q, cv_buf_text (&after));
    }
  else
    q->failures = 0;
  cv_buf_finish (&before);
  cv_buf_finish (&own);
  cv_buf_finish (&after);
}

static void
log_read (const cv_suspects_t *stored)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_QUARANTINE_READ);
  cv_line_number (&l, "entries", (int64_t)cv_suspects_count (stored));
  cv_line_end (&l);
}

static void
log_written (void)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_QUARANTINE_WRITTEN);
  cv_line_end (&l);
}

static void
log_invalid (const cv_error_t *err)
{
  cv_line_t l;

  cv_line_begin (&l, CV_EV_GATEWAY_QUARANTINE_INVALID);
  cv_line_text (&l, "reason", cv_slice (err->text));
  cv_line_end (&l);
}

static void
handle_page (cv_quarantine_store_t *q, cv_store_page_t *page)
{
  cv_suspects_t *stored = cv_suspects_new ();
  cv_store_object_t o;

  q->revision = 0;
  while (cv_platform_page_next (page, &o))
    {
      cv_error_t err = { 0 };
      cv_slice_t text;

      if (strcmp (o.name, CV_QUARANTINE_OBJECT) != 0)
        continue;
      q->revision = o.revision;
      text = cv_slice (json_object_to_json_string (o.spec));
      /* An object that is no document is replaced.  */
      if (!cv_suspects_merge (stored, text, &err)
          || !cv_evidence_merge (&q->gateway->evidence, text, &err))
        log_invalid (&err);
    }
  if (!q->is_read)
    log_read (stored);
  q->is_read = true;
  write_missing (q, stored);
  cv_suspects_free (stored);
}

static void
handle_failure (cv_quarantine_store_t *q)
{
  uint32_t doublings = q->failures < BACKOFF_DOUBLINGS_MAX
                           ? q->failures
                           : BACKOFF_DOUBLINGS_MAX;
  double backoff = (double)(BACKOFF << doublings);

  q->failures++;
  q->is_fresh = true;
  q->next_read_at
      = cv_now ()
        + (cv_time_t)(backoff * (0.5 + cv_rng_uniform (&q->gateway->rng)));
}

/* 409 and 404: another gateway has written or the object is gone.  */
static void
handle_write (cv_quarantine_store_t *q, unsigned status)
{
  switch (status)
    {
    case 200:
    case 201:
      q->failures = 0;
      log_written ();
      cv_trial_written (q);
      return;
    case 404:
    case 409:
      handle_failure (q);
      cv_trial_write_conflicts (q);
      return;
    default:
      handle_failure (q);
      cv_trial_store_failed (q);
    }
}

static void
on_result (void *owner, const cv_http_result_t *r, bool is_outdated)
{
  cv_quarantine_store_t *q = owner;
  cv_store_page_t page;
  cv_error_t err = { 0 };

  if (is_outdated)
    {
      handle_failure (q);
      cv_trial_store_failed (q);
      return;
    }
  q->history = q->gateway->store_history.number;
  if (!q->is_fresh)
    q->next_read_at = cv_now () + READ_INTERVAL;
  switch (q->phase)
    {
    case CV_QUARANTINE_READ:
      if (r->status != 200
          || !cv_platform_decode_page (r->body, false, &page, &err))
        {
          handle_failure (q);
          cv_trial_store_failed (q);
          return;
        }
      handle_page (q, &page);
      cv_platform_page_finish (&page);
      return;
    case CV_QUARANTINE_WRITE:
      handle_write (q, r->status);
      return;
    }
}

void
cv_quarantine_store_tick (cv_quarantine_store_t *q, cv_time_t now)
{
  cv_replica_call_tick (&q->call, now);
  if (q->history != q->gateway->store_history.number && !q->call.http.busy)
    {
      q->history = q->gateway->store_history.number;
      cv_quarantine_store_changed (q);
    }
  if (!q->call.http.busy && now >= q->next_read_at)
    start_read (q);
}

bool
cv_quarantine_store_is_ready (const cv_quarantine_store_t *q)
{
  return q->is_read || q->failures >= READS_MAX;
}
