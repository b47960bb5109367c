/* Decisions of an entry as pure logic: tables of targets and requests, and
   systems that run over them on each input.  Time is an argument; messages
   and replies leave through callbacks; identifiers come from one.  */

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

/* Why a request failed; each has one HTTP status, code and outcome.  */
typedef enum
{
  CV_FAIL_NO_CONFIG,
  CV_FAIL_NO_MODEL,
  CV_FAIL_NO_POOL,
  CV_FAIL_NO_CLASS,
  CV_FAIL_LIMIT,
  CV_FAIL_NO_TARGET,
  CV_FAIL_OVERLOADED,
  CV_FAIL_CONDEMNED,
  CV_FAIL_SUSPECT,
  CV_FAIL_INTERRUPTED,
  CV_FAIL_STREAM_GONE,
  CV_FAIL_DEADLINE,
  CV_FAIL_NOT_RUN,
  CV_FAIL_UNKNOWN,
  CV_FAIL_TICKET_EXPIRED,
  CV_FAIL_STOPPING,
  CV_FAIL_COUNT
} cv_failure_code_t;

typedef struct
{
  int status;       /* of HTTP */
  const char *code; /* for programs */
  const char *text; /* for people */
  cv_outcome_t outcome;
} cv_failure_info_t;

const cv_failure_info_t *cv_failure_info (cv_failure_code_t code);

/* What a caller is told.  Each submitted request gets exactly one reply of
   the kinds END, CALL, TICKET, FAILED and GONE, and it is the last.  */
typedef enum
{
  CV_REPLY_TOKENS,
  CV_REPLY_END,
  CV_REPLY_CALL,
  CV_REPLY_TICKET,
  CV_REPLY_FAILED,
  CV_REPLY_GONE
} cv_reply_type_t;

/* Slices point into memory that lives until the callback returns.  */
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
      cv_outcome_t outcome; /* of all attempts together */
      uint32_t retry_after_ms;
    } failed;
  } u;
} cv_reply_t;

/* Where the decisions go.  */
typedef struct
{
  void (*send) (void *arg, uint32_t target, const cv_msg_t *msg);
  void (*reply) (void *arg, void *caller, const cv_reply_t *reply);
  /* The peer is lost: frames still queued for it are dropped.  */
  void (*reset) (void *arg, uint32_t target);
  /* A request names the target NAME, which is not heard of: connect.  */
  void (*want) (void *arg, const char *name);
  cv_id_t (*new_id) (void *arg);
  void *arg;
} cv_entry_output_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  uint64_t incarnation;
  uint64_t seed;
  cv_entry_output_t out;
} cv_entry_options_t;

/* A generation to be started.  Strings are copied.  */
typedef struct
{
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX]; /* "" for the account's default */
  char model[CV_NAME_MAX];
  uint32_t max_tokens; /* 0: the class's or model's limit */
  bool whole;          /* deliver nothing before the end */
  cv_slice_t prompt;
} cv_stream_spec_t;

/* How often a call may run.  */
typedef enum
{
  CV_CALL_IDEMPOTENT, /* may be repeated */
  CV_CALL_ONCE,       /* at most once, under a fresh ticket */
  CV_CALL_TICKET      /* at most once, under the given ticket */
} cv_call_mode_t;

typedef struct
{
  char account[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char method[8];
  cv_call_mode_t mode;
  cv_ticket_t ticket; /* CV_CALL_TICKET */
  uint32_t deadline_ms;
  cv_slice_t path;
  cv_slice_t content_type;
  cv_slice_t body;
} cv_call_spec_t;

typedef struct cv_entry_core_t cv_entry_core_t;

cv_entry_core_t *cv_entry_new (const cv_entry_options_t *options);
void cv_entry_free (cv_entry_core_t *c);

/* ---- configuration ---- */

/* Take CONFIG in force when it is newer than the present one; a reference is
   taken.  Returns whether it was.  */
bool cv_entry_adopt (cv_entry_core_t *c, cv_time_t now, cv_config_t *config);
/* The store, asked at ASKED, said that VERSION is the current one.  */
void cv_entry_confirmed (cv_entry_core_t *c, cv_time_t asked, uint64_t version);
/* The store, asked at ASKED, did not answer.  */
void cv_entry_store_failed (cv_entry_core_t *c, cv_time_t asked);
/* Why no new work is taken, or NULL when it is: after its start and after a
   freeze an entry first asks the store, or a peer when the store is down. */
const char *cv_entry_unready (const cv_entry_core_t *c);
/* Time since the store confirmed the configuration, over all hops;
   UINT32_MAX when never.  */
uint32_t cv_entry_config_age_ms (const cv_entry_core_t *c, cv_time_t now);
/* The configuration in force, borrowed; NULL before the first.  */
cv_config_t *cv_entry_config (const cv_entry_core_t *c);

/* ---- suspects ---- */

/* The wall clock, in seconds; strikes lapse by it.  */
void cv_entry_wall (cv_entry_core_t *c, int64_t wall_s);
/* Merge the document JSON, as read from the object API.  */
bool cv_entry_suspects_merge (cv_entry_core_t *c, cv_time_t now,
                              cv_slice_t json);
/* The present document, borrowed, and its version (0: none yet).  */
uint64_t cv_entry_suspects (const cv_entry_core_t *c, cv_slice_t *json);

/* ---- limits ---- */

/* Number of entries on the instance list; each enforces its part of the
   limits, unless the configuration sets the number.  */
void cv_entry_set_entries (cv_entry_core_t *c, uint32_t entries);

/* ---- targets ---- */

/* A target is on the instance list; returns its slot.  */
uint32_t cv_entry_target_add (cv_entry_core_t *c, cv_time_t now,
                              const char *name, const char *pool);
/* The list calls it leaving, or live again.  */
void cv_entry_target_listed (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                             bool leaving);
/* It is off the list; its slot may be used again.  */
void cv_entry_target_remove (cv_entry_core_t *c, cv_time_t now,
                             uint32_t target);
/* A new connection to its side was made: frames of the old one may be
   lost, so that what is in flight there is asked for again.  */
void cv_entry_target_connected (cv_entry_core_t *c, cv_time_t now,
                                uint32_t target);
/* Was its side silent for CV_PEER_TIMEOUT?  */
/* Requests in flight at the target.  */
uint32_t cv_entry_target_requests (const cv_entry_core_t *c, uint32_t target);
bool cv_entry_target_lost (const cv_entry_core_t *c, uint32_t target);

/* One row of the targets table, for operators.  */
typedef struct
{
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  const char *state; /* "connecting", "live", "draining", "down", "lost" */
  uint64_t incarnation;
  cv_versions_t versions;
  cv_load_t load;
  uint32_t requests; /* of this entry, in flight */
  uint32_t silent_ms;
} cv_target_row_t;

void cv_entry_each_target (const cv_entry_core_t *c, cv_time_t now,
                           void (*fn) (const cv_target_row_t *row, void *arg),
                           void *arg);

/* ---- callers ---- */

/* CALLER names the request until its last reply.  */
void cv_entry_submit (cv_entry_core_t *c, cv_time_t now, void *caller,
                      const cv_stream_spec_t *spec);
/* Go on with the generation that FIRST names, from its offset.  */
void cv_entry_attach (cv_entry_core_t *c, cv_time_t now, void *caller,
                      const char *account, const cv_position_t *first);
void cv_entry_call (cv_entry_core_t *c, cv_time_t now, void *caller,
                    const cv_call_spec_t *spec);
void cv_entry_ticket (cv_entry_core_t *c, cv_time_t now, void *caller,
                      const char *pool);
/* The caller went away.  */
void cv_entry_gone (cv_entry_core_t *c, cv_time_t now, void *caller);
/* Refuse new requests from now on.  */
void cv_entry_stop (cv_entry_core_t *c);
uint32_t cv_entry_in_flight (const cv_entry_core_t *c);

/* ---- peers and time ---- */

void cv_entry_message (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                       const cv_msg_t *msg);
/* At least every CV_ENTRY_TICK.  */
void cv_entry_tick (cv_entry_core_t *c, cv_time_t now);
#define CV_ENTRY_TICK (50 * CV_MS)

cv_entry_metrics_t *cv_entry_metrics (cv_entry_core_t *c);

#ifdef __cplusplus
}
#endif

#endif
