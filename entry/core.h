/* Request routing of an entry as a state machine without I/O.  The current
   time is an argument; messages, replies and new identifiers go through the
   callbacks of cv_entry_output_t.  */

#ifndef CV_ENTRY_CORE_H
#define CV_ENTRY_CORE_H

#include "base/base.h"
#include "config/config.h"
#include "config/patch.h"
#include "entry/metrics.h"
#include "policy/policy.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Reasons for a failed request.  Each maps to one cv_failure_info_t, whose
   texts are part of the HTTP API.  */
typedef enum
{
  CV_FAIL_NO_CONFIG, /* none known, or not confirmed since start or freeze */
  CV_FAIL_NO_MODEL,
  CV_FAIL_NO_POOL,
  CV_FAIL_NO_CLASS,
  CV_FAIL_LIMIT,
  CV_FAIL_NO_TARGET,
  CV_FAIL_OVERLOADED,  /* refused under memory pressure, or rejected by targets
                          without memory */
  CV_FAIL_QUARANTINED, /* engines crashed with the content in flight */
  CV_FAIL_SUSPECT, /* suspect content that is in flight for another request */
  CV_FAIL_INTERRUPTED, /* no complete answer, and no retry is possible */
  CV_FAIL_STREAM_GONE,
  CV_FAIL_DEADLINE,
  CV_FAIL_NOT_RUN,        /* the side has revoked the call's ticket */
  CV_FAIL_UNKNOWN,        /* a call that may have run */
  CV_FAIL_TICKET_EXPIRED, /* the side restarted, or rejected the call with
                             CV_REJECT_OLD_EPOCH */
  CV_FAIL_STOPPING,
  CV_FAIL_STOPPED, /* a generation in flight at the end of the drain time */
  CV_FAIL_COUNT
} cv_failure_code_t;

typedef struct
{
  int status;       /* HTTP status */
  const char *code; /* machine-readable */
  const char *text; /* human-readable */
  cv_outcome_t outcome;
} cv_failure_info_t;

const cv_failure_info_t *cv_failure_info (cv_failure_code_t code);

/* Replies to a caller.  Each submitted request gets exactly one reply of type
   END, CALL, TICKET, FAILED or GONE, and that reply is the last.  */
typedef enum
{
  CV_REPLY_TOKENS,
  CV_REPLY_END,
  CV_REPLY_CALL,
  CV_REPLY_TICKET,
  CV_REPLY_FAILED,
  CV_REPLY_GONE
} cv_reply_type_t;

/* Slices are valid until the reply callback returns.  */
typedef struct
{
  cv_reply_type_t type;
  union
  {
    struct
    {
      const cv_position_t *first;
      uint32_t count;
      const cv_slice_t *token;
    } tokens;
    struct
    {
      cv_end_t end;
      uint32_t total;
    } end;
    struct
    {
      uint32_t status;
      bool replayed;
      cv_slice_t content_type;
      cv_slice_t body;
      const cv_ticket_t *ticket;
    } call;
    cv_ticket_t ticket;
    struct
    {
      cv_failure_code_t code;
      cv_outcome_t outcome; /* over all attempts */
      uint32_t retry_after_ms;
    } failed;
  } u;
} cv_reply_t;

/* Callbacks for the output of the core.  */
typedef struct
{
  void (*send) (void *arg, uint32_t target, const cv_msg_t *msg);
  void (*reply) (void *arg, void *caller, const cv_reply_t *reply);
  /* The target is lost or its state is stale: drops the connection and the
     frames queued for it, and connects again.  */
  void (*reset) (void *arg, uint32_t target);
  /* A ticket or position names the target NAME, which has not reported:
     connects to it.  May be NULL.  */
  void (*connect_target) (void *arg, const char *name);
  cv_id_t (*new_id) (void *arg);
  void *arg;
} cv_entry_output_t;

typedef struct
{
  char instance[CV_NAME_MAX]; /* name of this entry */
  uint64_t incarnation;
  uint64_t seed;
  cv_entry_output_t out;
} cv_entry_options_t;

/* A generation to start.  Strings are copied.  */
typedef struct
{
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX]; /* "": the account's default class */
  char model[CV_NAME_MAX];
  uint32_t max_tokens; /* 0: the limit of the class or model */
  bool buffered;       /* deliver all tokens together at the end */
  cv_slice_t prompt;
} cv_stream_spec_t;

/* Execution guarantee of a call.  */
typedef enum
{
  CV_CALL_IDEMPOTENT, /* may run several times */
  CV_CALL_ONCE,       /* at most once, under a new ticket */
  CV_CALL_TICKET      /* at most once, under the given ticket */
} cv_call_mode_t;

typedef struct
{
  char account[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char method[8];
  cv_call_mode_t mode;
  cv_ticket_t ticket; /* only for CV_CALL_TICKET */
  uint32_t deadline_ms;
  cv_slice_t path;
  cv_slice_t content_type;
  cv_slice_t body;
} cv_call_spec_t;

typedef struct cv_entry_core_t cv_entry_core_t;

cv_entry_core_t *cv_entry_new (const cv_entry_options_t *options);
void cv_entry_free (cv_entry_core_t *c);

/* ---- configuration ---- */

/* Former configurations kept to list what changed since an operator's base.  */
#define CV_PREVIOUS_CONFIGS_MAX 8

/* Adopts CONFIG if it is newer than the current configuration, and takes a
   reference.  Returns true if CONFIG was adopted.  */
bool cv_entry_adopt_config (cv_entry_core_t *c, cv_time_t now,
                            cv_config_t *config);
/* A read of the object API, started at READ_START, returned VERSION as the
   current configuration.  */
void cv_entry_config_confirmed (cv_entry_core_t *c, cv_time_t read_start,
                                uint64_t version);
/* A read of the object API, started at READ_START, failed.  */
void cv_entry_store_failed (cv_entry_core_t *c, cv_time_t read_start);
/* Returns the reason for refusing new requests, or NULL if they are accepted.
   After its start and after a freeze of the process, an entry with a
   configuration accepts requests once a read of the object API succeeded or,
   if one failed, once a side reported a version that is not newer.  */
const char *cv_entry_unready_reason (const cv_entry_core_t *c);
/* Time in ms since the configuration was last known to be current in the object
   API, by a read or by a side's report; UINT32_MAX if it never was.  */
uint32_t cv_entry_config_age_ms (const cv_entry_core_t *c, cv_time_t now);
/* The current configuration, borrowed; NULL if none is known.  */
cv_config_t *cv_entry_config (const cv_entry_core_t *c);
/* The configuration that was current before as VERSION, borrowed; NULL if it is
   not one of the last CV_PREVIOUS_CONFIGS_MAX.  */
cv_config_t *cv_entry_previous_config (const cv_entry_core_t *c,
                                       uint64_t version);

/* ---- suspects ---- */

/* A strike is one crash of an engine with the content in flight.  */

/* Sets the wall-clock time in seconds, by which strikes expire.  */
void cv_entry_set_wall_clock (cv_entry_core_t *c, int64_t wall_s);
/* Merges the suspects document JSON read from the object API.  Returns false
   if it is invalid.  */
bool cv_entry_suspects_merge (cv_entry_core_t *c, cv_time_t now,
                              cv_slice_t json);
/* Sets JSON to the current suspects document, owned by C, and returns its
   version (0: none yet).  */
uint64_t cv_entry_suspects (const cv_entry_core_t *c, cv_slice_t *json);

/* ---- limits ---- */

/* Sets the number of entries on the instance list.  Account limits are divided
   by it, unless the configuration sets another divisor.  */
void cv_entry_set_entries (cv_entry_core_t *c, uint32_t entries);

/* ---- targets ---- */

/* Adds a target of the instance list; returns its slot.  */
uint32_t cv_entry_target_add (cv_entry_core_t *c, cv_time_t now,
                              const char *name, const char *pool);
/* Sets whether the instance list marks the target as leaving.  */
void cv_entry_target_set_leaving (cv_entry_core_t *c, cv_time_t now,
                                  uint32_t target, bool leaving);
/* Removes a target that is no longer listed or no longer needed; its slot may
   be reused.  */
void cv_entry_target_remove (cv_entry_core_t *c, cv_time_t now,
                             uint32_t target);
/* A new connection to the target's side was made.  Frames on the old one may
   be lost, so streams are reattached and calls sent again.  */
void cv_entry_target_connected (cv_entry_core_t *c, cv_time_t now,
                                uint32_t target);
/* Requests of this entry in flight at the target.  */
uint32_t cv_entry_target_requests (const cv_entry_core_t *c, uint32_t target);
/* True if the target's side did not report within the peer timeout.  */
bool cv_entry_target_is_lost (const cv_entry_core_t *c, uint32_t target);

/* State of one target, for operators.  */
typedef struct
{
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  const char *state; /* "connecting", "live", "draining", "down", "lost" */
  uint64_t incarnation;
  cv_doc_versions_t versions;
  cv_load_t load;
  uint32_t requests;  /* of this entry, in flight */
  uint32_t silent_ms; /* since the last report */
} cv_target_row_t;

void cv_entry_foreach_target (const cv_entry_core_t *c, cv_time_t now,
                              void (*fn) (const cv_target_row_t *row,
                                          void *arg),
                              void *arg);

/* ---- callers ---- */

/* Starts a generation.  CALLER, a pointer that the core only compares and
   passes to the reply callback, identifies the request until its last reply. */
void cv_entry_submit_stream (cv_entry_core_t *c, cv_time_t now, void *caller,
                             const cv_stream_spec_t *spec);
/* Resumes the generation at POSITION, from its offset.  */
void cv_entry_attach (cv_entry_core_t *c, cv_time_t now, void *caller,
                      const char *account, const cv_position_t *position);
void cv_entry_submit_call (cv_entry_core_t *c, cv_time_t now, void *caller,
                           const cv_call_spec_t *spec);
void cv_entry_issue_ticket (cv_entry_core_t *c, cv_time_t now, void *caller,
                            const char *pool);
/* The caller disconnected.  */
void cv_entry_caller_gone (cv_entry_core_t *c, cv_time_t now, void *caller);
/* Refuses all new requests from now on.  */
void cv_entry_refuse_new (cv_entry_core_t *c);
/* Refuses all new requests and ends those in flight at once, each with a
   failure that says whether it may have run.  */
void cv_entry_end_requests (cv_entry_core_t *c, cv_time_t now);
uint32_t cv_entry_requests_in_flight (const cv_entry_core_t *c);

/* ---- messages and time ---- */

void cv_entry_message (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                       const cv_msg_t *msg);
/* Runs timeouts and heartbeats; called about every CV_ENTRY_TICK, not more
   often.  */
void cv_entry_tick (cv_entry_core_t *c, cv_time_t now);
#define CV_ENTRY_TICK (50 * CV_MS)

cv_entry_metrics_t *cv_entry_metrics (cv_entry_core_t *c);

#ifdef __cplusplus
}
#endif

#endif
