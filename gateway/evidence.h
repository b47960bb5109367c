/* Content that crashes its targets: the checks for crashes, the evidence that
   gateways share, and the quarantine.  docs/design/suspects.md has the rules.
 */

#ifndef CV_GATEWAY_EVIDENCE_H
#define CV_GATEWAY_EVIDENCE_H

#include <event2/event.h>

#include "base/line.h"
#include "policy/policy.h"
#include "policy/recent.h"
#include "replica/call.h"
#include "roster/roster.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;
typedef struct cv_exchange_t cv_exchange_t;
typedef struct cv_target_t cv_target_t;

/* Size of the text of a content hash, with its null byte.  */
#define CV_CONTENT_TEXT 17

/* Whether a target has crashed is found out by connecting to it.  */
typedef struct
{
  struct event *event; /* NULL: no check in progress */
  int fd;
  int error; /* of connect, 0: none at once */
  /* The requests whose connections have ended so far, as
     cv_suspect_request_t.  */
  cv_buf_t lost;
} cv_crash_check_t;

/* Most changes of evidence that are repeated at the same time: as many as the
   table has entries.  */
#define CV_EVIDENCE_CHANGES_MAX 1024

/* A change of the suspects table that the other gateways are told.  */
typedef struct
{
  uint64_t hash;
  uint32_t sends_left;
  cv_time_t next_send_at;
} cv_evidence_change_t;

typedef struct
{
  cv_gateway_t *gateway;
  cv_suspects_t *suspects;
  cv_recent_t completed; /* contents that completed at this gateway */
  cv_roster_t roster;    /* the other gateways, and this one */
  cv_evidence_change_t changes[CV_EVIDENCE_CHANGES_MAX];
  uint32_t change_count;
} cv_evidence_t;

typedef enum
{
  CV_QUARANTINE_READ = 1,
  CV_QUARANTINE_WRITE
} cv_quarantine_phase_t;

/* The claim of a trial, which is written into the store's object.  */
typedef struct
{
  bool is_active;
  bool is_in_document; /* of the write in progress */
  cv_time_t asked_at;
  cv_time_t next_at;            /* none is made before; the last one failed */
  cv_suspect_request_t request; /* for which it is made */
  cv_buf_t document;            /* with the claim, as it is written */
} cv_trial_t;

/* Reads and writes the store object of quarantined content.  */
typedef struct
{
  cv_gateway_t *gateway;
  cv_trial_t trial;
  cv_quarantine_phase_t phase;
  cv_replica_call_t call;
  cv_time_t next_read_at;
  uint64_t history;  /* of the store, in which the last call was answered */
  uint64_t revision; /* of the object as read, 0: there is none */
  bool is_fresh;     /* the next read must not be stale */
  bool is_read;
  uint32_t failures; /* of calls, in a row */
} cv_quarantine_store_t;

/* content.c */
/* Sets the identity of X, whose body has been read: the content, a hash of
   method, host, request target, client account and body; and the parts of its
   prompt, without the last one.  */
void cv_exchange_identify (cv_exchange_t *x);
/* X is sent now: notes what is known of its content and parts.  */
void cv_exchange_note_strikes (cv_exchange_t *x);
/* Adds HASH to the line L.  */
void cv_content_log (const char *key, uint64_t hash, cv_line_t *l);
/* Adds the content of X and the parts of its prompt to the line L.  */
void cv_exchange_log_content (const cv_exchange_t *x, cv_line_t *l);
/* Adds the content of X, if known, and the evidence against it, if any.  */
void cv_exchange_log_evidence (const cv_exchange_t *x, cv_line_t *l);
cv_content_state_t cv_exchange_content_state (const cv_exchange_t *x);
/* Ends X if its content is quarantined, or if it may be tried and no trial can
   be claimed; false when it was not ended.  */
bool cv_exchange_refuse_quarantined (cv_exchange_t *x);
/* Whether X waits for its trial to be claimed, or a request with the same
   suspect content, or the same part on trial, is at a target.  */
bool cv_exchange_must_wait_for_trial (cv_exchange_t *x);
/* Whether X, which is to be sent now, runs beside no suspect content.  */
bool cv_exchange_is_solitary (const cv_exchange_t *x, cv_time_t now);
/* Whether a suspect request of another content than X is at T.  */
bool cv_exchange_is_beside_suspect (const cv_exchange_t *x,
                                    const cv_target_t *t);

/* evidence.c */
void cv_evidence_init (cv_evidence_t *e, cv_gateway_t *g);
void cv_evidence_finish (cv_evidence_t *e);
void cv_evidence_tick (cv_evidence_t *e, cv_time_t now);
/* The target has sent the whole response to X.  */
void cv_evidence_completed (cv_evidence_t *e, const cv_exchange_t *x);
/* T has crashed with these requests in flight.  */
void cv_evidence_crashed (cv_evidence_t *e, const cv_target_t *t,
                          const cv_suspect_request_t *requests, size_t n);
/* A trial was claimed for what R notes: tells the others.  */
void cv_evidence_claimed (cv_evidence_t *e, const cv_suspect_request_t *r);
/* Merges a document of another gateway or of the store; false with ERR when an
   entry is invalid.  */
bool cv_evidence_merge (cv_evidence_t *e, cv_slice_t document, cv_error_t *err);

/* quarantine.c */
void cv_quarantine_store_init (cv_quarantine_store_t *q, cv_gateway_t *g);
void cv_quarantine_store_finish (cv_quarantine_store_t *q);
void cv_quarantine_store_tick (cv_quarantine_store_t *q, cv_time_t now);
/* What the object should hold has changed: it is read soon, and written.  */
void cv_quarantine_store_changed (cv_quarantine_store_t *q);
/* The same, at once.  */
void cv_quarantine_store_read_now (cv_quarantine_store_t *q);
/* Whether the object was read, or cannot be read for now.  */
bool cv_quarantine_store_is_ready (const cv_quarantine_store_t *q);

/* trial.c */
void cv_trial_init (cv_trial_t *t);
void cv_trial_finish (cv_trial_t *t);
/* Whether X has what was quarantined and may be tried, and is not its trial. */
bool cv_trial_is_needed (const cv_exchange_t *x);
/* Whether a claim of a trial for X can be expected soon.  */
bool cv_trial_is_possible (const cv_exchange_t *x);
/* Has a trial claimed for X, unless another claim is in progress.  */
void cv_trial_request (cv_exchange_t *x);
/* Adds the claim in progress, if any, to the table STORED, which is then to be
   written; ends the claim if another gateway has made one.  */
void cv_trial_add_claim (cv_quarantine_store_t *q, cv_suspects_t *stored);
/* DOCUMENT is written now.  */
void cv_trial_write_begins (cv_trial_t *t, const char *document);
/* The object with the claim, if it had one, was written.  */
void cv_trial_written (cv_quarantine_store_t *q);
/* The object was not written as another gateway has changed it.  */
void cv_trial_write_conflicts (cv_quarantine_store_t *q);
/* A call to the store failed.  */
void cv_trial_store_failed (cv_quarantine_store_t *q);

/* crash.c */
/* The connection of X ended early: starts to check whether its target has
   crashed, unless the target stops as planned.  Another attempt of X waits for
   the result.  */
void cv_crash_check_begin (cv_exchange_t *x);
void cv_crash_check_cancel (cv_target_t *t);
/* X does not wait for a check any longer.  */
void cv_crash_check_forget (cv_exchange_t *x);

#ifdef __cplusplus
}
#endif

#endif
