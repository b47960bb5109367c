/* The suspects document: hashes of contents that were in flight when engines
   crashed.  It is merged from the sides and the object API, and sent to all
   sides.  */

#include <stdlib.h>

#include "entry/core_internal.h"

static void store_body (cv_entry_core_t *c, uint64_t version, cv_buf_t *body);
static bool merge_doc (cv_entry_core_t *c, cv_slice_t json, uint64_t version);
static void send_waiting_for_suspects (cv_entry_core_t *c, cv_time_t now);

void
cv_entry_set_wall_clock (cv_entry_core_t *c, int64_t wall_s)
{
  c->wall_s = wall_s;
}

bool
cv_entry_suspects_merge (cv_entry_core_t *c, cv_time_t now, cv_slice_t json)
{
  uint64_t before = c->suspects.version;

  if (!merge_doc (c, json, 0))
    return false;
  if (c->suspects.version != before)
    cv_entry_targets_hello (c, now);
  return true;
}

uint64_t
cv_entry_suspects (const cv_entry_core_t *c, cv_slice_t *json)
{
  json->p = c->suspects.body.p;
  json->n = c->suspects.body.n;
  return c->suspects.version;
}

cv_content_state_t
cv_entry_suspects_state (const cv_entry_core_t *c, uint64_t content_hash)
{
  return cv_suspects_state (c->suspects.table, content_hash, c->wall_s);
}

void
cv_entry_suspects_doc (cv_entry_core_t *c, cv_time_t now,
                       const cv_msg_doc_t *doc)
{
  uint64_t before = c->suspects.version;

  if (doc->version > before && merge_doc (c, doc->body, doc->version)
      && c->suspects.version != before)
    cv_entry_targets_hello (c, now);
  send_waiting_for_suspects (c, now);
}

void
cv_entry_suspects_send (cv_entry_core_t *c, uint32_t target)
{
  cv_msg_t msg = { .type = CV_MSG_DOC };

  if (c->suspects.version == 0)
    return;
  msg.u.doc.doc = CV_DOC_SUSPECTS;
  msg.u.doc.version = c->suspects.version;
  msg.u.doc.body.p = c->suspects.body.p;
  msg.u.doc.body.n = c->suspects.body.n;
  cv_entry_send (c, target, &msg);
}

bool
cv_entry_suspects_is_behind (const cv_entry_core_t *c, uint32_t target)
{
  return c->targets[target].versions.version[CV_DOC_SUSPECTS]
         > c->suspects.version;
}

bool
cv_entry_suspects_check (cv_entry_core_t *c, cv_time_t now, cv_request_t *r)
{
  const cv_request_t *other;

  switch (cv_entry_suspects_state (c, r->u.stream.content_hash))
    {
    case CV_CONTENT_CLEAR:
      return true;
    case CV_CONTENT_QUARANTINED:
      cv_request_fail (c, now, r, CV_FAIL_QUARANTINED, 0);
      return false;
    case CV_CONTENT_SUSPECT:
      break;
    }
  TAILQ_FOREACH (other, &c->requests, all)
  if (other != r && other->kind == REQUEST_STREAM
      && other->target != CV_NO_TARGET
      && other->u.stream.content_hash == r->u.stream.content_hash)
    {
      cv_request_fail (c, now, r, CV_FAIL_SUSPECT, cv_entry_retry_after (c));
      return false;
    }
  return true;
}

/* ---- local ---- */

/* Merges JSON, document VERSION of a side or, with VERSION 0, the document in
   the object API, into the table.  If the result equals the document VERSION,
   it gets VERSION.  If JSON has no version and adds nothing, the current
   version remains.  Otherwise the result gets a version above both.  */
static bool
merge_doc (cv_entry_core_t *c, cv_slice_t json, uint64_t version)
{
  uint64_t newest = c->suspects.version;
  cv_slice_t text;
  cv_error_t err;
  cv_buf_t body;

  if (!cv_suspects_merge (c->suspects.table, json, &err))
    {
      cv_log (CV_EV_ENTRY_DOC_INVALID, "%s", err.text);
      return false;
    }
  cv_buf_init (&body);
  cv_suspects_dump (c->suspects.table, NULL, NULL, &body);
  text = cv_slice (cv_buf_text (&body));
  newest = version > newest ? version : newest;
  if (version != 0 && cv_slice_equal (text, json))
    store_body (c, version, &body);
  else if (text.n != c->suspects.body.n
           || !cv_slice_equal (text, cv_slice (cv_buf_text (&c->suspects.body)))
           || version != 0)
    store_body (c, cv_suspects_version (newest, text), &body);
  else
    cv_buf_finish (&body);
  return true;
}

static void
store_body (cv_entry_core_t *c, uint64_t version, cv_buf_t *body)
{
  cv_buf_finish (&c->suspects.body);
  c->suspects.body = *body;
  c->suspects.version = version;
}

/* Sends the retries that waited for the document.  */
static void
send_waiting_for_suspects (cv_entry_core_t *c, cv_time_t now)
{
  cv_request_t *r;
  cv_request_t *next;

  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase == PHASE_WAIT_SUSPECTS)
        cv_entry_streams_send (c, now, r, CV_FAIL_INTERRUPTED);
    }
}
