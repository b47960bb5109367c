/* Evidence on content that crashes its targets.  A crash is seen only by the
   gateways that had requests at the target, so what each learns is sent to all
   others at once, in documents of the suspects table, which merge by union.
   Datagrams may be lost; each change is sent several times, and quarantined
   content is read from the store too (quarantine.c).  */

#include <stdlib.h>
#include <string.h>

#include "gateway/state.h"
#include "wire/datagram.h"

/* Largest document of several entries in one datagram, which a network takes
   whole.  An entry has about 150 bytes; one of a part with many strikes and
   companions is sent alone, and may have CV_DATAGRAM_MAX_BYTES.  */
#define DOCUMENT_MAX_BYTES 1200
/* Most entries in one document.  */
#define DOCUMENT_ENTRIES_MAX 8
/* A change is sent this often, the first time at once.  A network that loses
   three packets in a hundred loses all of them once in a million changes.  */
#define SENDS 4
#define SEND_INTERVAL (250 * CV_MS)

void
cv_evidence_init (cv_evidence_t *e, cv_gateway_t *g)
{
  memset (e, 0, sizeof *e);
  e->gateway = g;
  e->suspects = cv_suspects_new ();
  cv_suspects_set_trial_delay (e->suspects, cv_rng_uniform (&g->rng));
  cv_recent_init (&e->completed);
  cv_roster_init (&e->roster, g->base, &g->store, &g->store_history,
                  CV_EV_GATEWAY_PEER_SKIPPED);
}

void
cv_evidence_finish (cv_evidence_t *e)
{
  if (e->suspects == NULL)
    return;
  cv_roster_finish (&e->roster);
  cv_recent_finish (&e->completed);
  cv_suspects_free (e->suspects);
}

/* ---- changes to be sent ---- */

typedef struct
{
  const uint64_t *hashes;
  size_t n;
} selection_t;

static bool
is_selected (const void *owner, const cv_suspects_t *s, uint64_t hash)
{
  const selection_t *selection = owner;

  (void)s;
  for (size_t i = 0; i < selection->n; i++)
    if (selection->hashes[i] == hash)
      return true;
  return false;
}

static void
dump_entries (const cv_evidence_t *e, const uint64_t *hashes, size_t n,
              cv_buf_t *out)
{
  selection_t selection = { hashes, n };

  cv_buf_reset (out);
  cv_suspects_dump (e->suspects, is_selected, &selection, out);
}

static void
send_document (const cv_evidence_t *e, cv_slice_t document)
{
  cv_msg_t msg = { .type = CV_MSG_DOC };

  msg.u.doc.doc = CV_DOC_SUSPECTS;
  msg.u.doc.body = document;
  (void)cv_gateways_send (e->gateway, &msg);
}

/* Sends the N entries in as few documents as they fit in.  */
static void
send_entries (const cv_evidence_t *e, const uint64_t *hashes, size_t n)
{
  cv_buf_t text;

  cv_buf_init (&text);
  while (n > 0)
    {
      size_t count = n < DOCUMENT_ENTRIES_MAX ? n : DOCUMENT_ENTRIES_MAX;

      dump_entries (e, hashes, count, &text);
      while (text.n > DOCUMENT_MAX_BYTES && count > 1)
        dump_entries (e, hashes, --count, &text);
      send_document (e, cv_slice (cv_buf_text (&text)));
      hashes += count;
      n -= count;
    }
  cv_buf_finish (&text);
}

/* Sends the changes that are due.  */
static void
send_due (cv_evidence_t *e, cv_time_t now)
{
  uint64_t hashes[CV_EVIDENCE_CHANGES_MAX];
  size_t n = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < e->change_count; i++)
    {
      cv_evidence_change_t *change = &e->changes[i];

      if (now >= change->next_send_at)
        {
          change->next_send_at = now + SEND_INTERVAL;
          change->sends_left--;
          hashes[n++] = change->hash;
        }
      if (change->sends_left > 0)
        e->changes[kept++] = *change;
    }
  e->change_count = kept;
  send_entries (e, hashes, n);
}

/* The entry of HASH has changed at this gateway.  */
static void
add_change (cv_evidence_t *e, uint64_t hash)
{
  uint32_t i;

  for (i = 0; i < e->change_count; i++)
    if (e->changes[i].hash == hash)
      break;
  if (i == CV_EVIDENCE_CHANGES_MAX)
    i = 0;
  else if (i == e->change_count)
    e->change_count++;
  e->changes[i] = (cv_evidence_change_t){ .hash = hash, .sends_left = SENDS };
  if (cv_suspects_is_lasting (NULL, e->suspects, hash))
    cv_quarantine_store_changed (&e->gateway->quarantine_store);
}

/* ---- crashes and completions ---- */

static void
log_content (cv_event_t event, const cv_evidence_t *e, uint64_t hash,
             const char *reason)
{
  int64_t now = cv_wall_s ();
  cv_line_t l;

  cv_line_begin (&l, event);
  cv_content_log ("content", hash, &l);
  cv_line_text (&l, "reason", cv_slice (reason));
  cv_line_number (&l, "strikes", cv_suspects_strikes (e->suspects, hash, now));
  cv_line_number (&l, "evidence_age_s",
                  now - cv_suspects_newest (e->suspects, hash));
  cv_line_end (&l);
}

static void
clear_content (cv_evidence_t *e, uint64_t hash)
{
  if (cv_suspects_strikes (e->suspects, hash, cv_wall_s ()) == 0)
    return;
  log_content (CV_EV_GATEWAY_CONTENT_CLEARED, e, hash, "it has completed");
  cv_suspects_clear (e->suspects, hash);
  add_change (e, hash);
}

/* HASH, a content or a part, was in a request that has completed.  */
static void
note_completed (cv_evidence_t *e, uint64_t hash, cv_time_t now)
{
  cv_recent_add (&e->completed, hash, now);
  clear_content (e, hash);
}

void
cv_evidence_completed (cv_evidence_t *e, const cv_exchange_t *x)
{
  cv_time_t now = cv_now ();

  note_completed (e, x->identity.content.hash, now);
  for (uint32_t i = 0; i < x->identity.part_count; i++)
    note_completed (e, x->identity.parts[i].hash, now);
  send_due (e, now);
}

/* Identifies the crash of T: the same at all gateways.  */
static uint64_t
crash_id (const cv_target_t *t)
{
  char started[CV_CONTENT_TEXT];
  cv_slice_t texts[2] = { cv_slice (t->record.id) };

  (void)snprintf (started, sizeof started, "%016llx",
                  (unsigned long long)t->record.started_ms);
  texts[1] = cv_slice (started);
  return cv_digest (texts, 2);
}

/* Tells the others of HASH if the crash was a strike of it.  */
static void
announce (cv_evidence_t *e, uint64_t hash, int64_t wall_s)
{
  if (cv_suspects_state (e->suspects, hash, wall_s) == CV_CONTENT_QUARANTINED)
    log_content (CV_EV_GATEWAY_CONTENT_QUARANTINED, e, hash,
                 "its targets crashed");
  if (cv_suspects_strikes (e->suspects, hash, wall_s) > 0)
    add_change (e, hash);
}

/* Initializes OUT as R without the parts that completed here lately.  */
static void
init_without_completed (const cv_evidence_t *e, const cv_suspect_request_t *r,
                        cv_time_t now, cv_suspect_request_t *out)
{
  cv_suspect_request_init (out, r->content, r->part_count);
  for (uint32_t i = 0; i < r->part_count; i++)
    if (!cv_recent_has (&e->completed, r->parts[i].hash, now))
      out->parts[out->part_count++] = r->parts[i];
}

void
cv_evidence_crashed (cv_evidence_t *e, const cv_target_t *t,
                     const cv_suspect_request_t *requests, size_t n)
{
  int64_t wall_s = cv_wall_s ();
  cv_time_t now = cv_now ();
  cv_suspect_request_t *suspected = cv_calloc (n + 1, sizeof *suspected);
  size_t count = 0;

  for (size_t i = 0; i < n; i++)
    if (!cv_recent_has (&e->completed, requests[i].content.hash, now))
      init_without_completed (e, &requests[i], now, &suspected[count++]);
  cv_suspects_strike (e->suspects, suspected, count, wall_s, crash_id (t));
  for (size_t i = 0; i < count; i++)
    {
      announce (e, suspected[i].content.hash, wall_s);
      for (uint32_t k = 0; k < suspected[i].part_count; k++)
        announce (e, suspected[i].parts[k].hash, wall_s);
      cv_suspect_request_finish (&suspected[i]);
    }
  free (suspected);
  send_due (e, now);
}

void
cv_evidence_claimed (cv_evidence_t *e, const cv_suspect_request_t *r)
{
  if (r->content.trial != 0)
    add_change (e, r->content.hash);
  for (uint32_t i = 0; i < r->part_count; i++)
    if (r->parts[i].trial != 0)
      add_change (e, r->parts[i].hash);
  send_due (e, cv_now ());
}

/* Clears what has completed here since the documents of other gateways
   accuse it.  */
static void
clear_completed (cv_evidence_t *e, cv_time_t now)
{
  for (size_t i = 0; i < cv_suspects_count (e->suspects); i++)
    {
      uint64_t hash = cv_suspects_hash (e->suspects, i);

      if (cv_recent_has (&e->completed, hash, now))
        clear_content (e, hash);
    }
}

bool
cv_evidence_merge (cv_evidence_t *e, cv_slice_t document, cv_error_t *err)
{
  cv_time_t now = cv_now ();
  bool ok = cv_suspects_merge (e->suspects, document, err);

  clear_completed (e, now);
  send_due (e, now);
  return ok;
}

void
cv_evidence_tick (cv_evidence_t *e, cv_time_t now)
{
  cv_roster_tick (&e->roster, &e->gateway->loads_address, now);
  send_due (e, now);
}
