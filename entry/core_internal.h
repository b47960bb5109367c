/* Data structures and functions shared by the files of the entry's core.  */

#ifndef CV_ENTRY_CORE_INTERNAL_H
#define CV_ENTRY_CORE_INTERNAL_H

#include "entry/core.h"

#define REQUEST_BUCKETS 8192
#define BUDGET_BUCKETS 1024

/* Time to wait for a newer configuration after a side rejected a request
   because of an old one; an expiry set by an earlier wait of the request
   stays.  */
#define CONFIG_WAIT_TIMEOUT (2 * CV_SECOND)
/* Time to wait for the answer to a REVOKE.  */
#define REVOKE_TIMEOUT (1 * CV_SECOND)
/* Time after a request's deadline in which the side may still answer.  */
#define DEADLINE_GRACE (200 * CV_MS)
/* Time to wait for a first report from the target that a ticket or position
   names.  */
#define TARGET_WAIT_TIMEOUT (2 * CV_SECOND)
/* Time to wait for the suspects document of a target whose engine crashed.  */
#define SUSPECTS_WAIT_TIMEOUT (500 * CV_MS)
/* A stream without tokens for this time is reattached if its target reported
   within the last 2 * CV_REPORT_INTERVAL.  This detects a lost END or SUBMIT;
   without it, a lost SUBMIT would be detected only at the deadline for the
   first token.  */
#define STREAM_IDLE_TIMEOUT (2 * CV_SECOND)
/* Minimum time between two ATTACH messages for one stream.  */
#define REATTACH_INTERVAL (200 * CV_MS)
/* The part of a token gap above this time counts as stall.  */
#define STALL_THRESHOLD (1 * CV_SECOND)
#define RETRY_AFTER_MS 1000
#define DEFAULT_FIRST_TOKEN_MS 30000
/* Leading bytes of the prompt that are hashed to find a cached prefix.  */
#define PREFIX_BYTES 1024
/* Estimate for the prompt's number of tokens.  */
#define BYTES_PER_TOKEN 4

typedef struct cv_request_t cv_request_t;
TAILQ_HEAD (cv_request_list_t, cv_request_t);
LIST_HEAD (cv_request_bucket_t, cv_request_t);

typedef enum
{
  REQUEST_STREAM = 1,
  REQUEST_CALL
} cv_request_kind_t;

typedef enum
{
  PHASE_WAIT_CONFIG = 1, /* waiting for a newer configuration */
  PHASE_WAIT_TARGET,     /* waiting for the first report of a target */
  PHASE_WAIT_SUSPECTS,   /* retry waiting for a suspects document */
  PHASE_SENT,            /* sent, without an answer yet */
  PHASE_RUNNING,         /* accepted by the side */
  PHASE_REVOKING         /* call whose ticket is being revoked */
} cv_phase_t;

typedef struct
{
  char model[CV_NAME_MAX];
  uint32_t priority; /* of the class; higher is served first */
  uint32_t max_tokens;
  uint32_t expect; /* expected number of tokens */
  uint32_t first_token_ms;
  bool buffered;  /* deliver all tokens together at the end */
  bool resumed;   /* attached by position, so no retry is possible */
  uint32_t start; /* offset of the first token to deliver */
  uint32_t next;  /* offset of the next token to accept */
  char *prompt;
  size_t prompt_size;
  uint64_t content_hash;
  cv_buf_t text;           /* buffered tokens if BUFFERED */
  cv_buf_t sizes;          /* their lengths, uint32_t each */
  bool gap;                /* frames are missing; reattach until they arrive */
  cv_time_t last_attach;   /* 0: none in this attempt */
  cv_time_t last_progress; /* last tokens; before them, start of the attempt */
  cv_time_t stall_time;    /* sum of the parts of gaps above STALL_THRESHOLD */
} cv_request_stream_t;

typedef struct
{
  cv_call_mode_t mode;
  cv_ticket_t ticket;
  char method[8];
  char *path;
  char *content_type;
  char *body;
  size_t body_size;
  uint64_t content_hash;
  bool resent; /* over a new connection: a REJECTED may belong to either copy */
  cv_time_t revoke_until; /* deadline for the answer to the REVOKE */
} cv_request_call_t;

/* One request of a caller, with its current attempt.  */
struct cv_request_t
{
  TAILQ_ENTRY (cv_request_t) all;
  LIST_ENTRY (cv_request_t) by_id;
  LIST_ENTRY (cv_request_t) by_caller;
  cv_request_kind_t kind;
  cv_phase_t phase;
  void *caller;
  cv_id_t id; /* of the current attempt */
  uint32_t target;
  uint64_t incarnation; /* of the target */
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  uint64_t account_hash;
  uint64_t pool;
  cv_series_t *series; /* NULL until first used */
  bool admitted;       /* counted by the account's limits */
  bool may_have_run;   /* an attempt may have run */
  bool target_failed;  /* the attempt ended by a fault of its target */
  cv_time_t submitted;
  cv_time_t deadline;   /* of the first token, or of the call's result */
  cv_time_t wait_until; /* expiry of the three waiting phases */
  char awaited_target[CV_NAME_MAX]; /* in PHASE_WAIT_TARGET */
  cv_route_request_t route;
  union
  {
    cv_request_stream_t stream;
    cv_request_call_t call;
  } u;
};

typedef struct
{
  bool used;
  bool reported;       /* at least one report since the target was added */
  bool lost;           /* no report within the peer timeout */
  bool stale;          /* no report since the last freeze of this process */
  bool listed_leaving; /* on the instance list */
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  uint64_t pool_hash;
  uint64_t incarnation;
  uint32_t ticket_generation; /* which new tickets get (cv_ticket_t) */
  cv_target_state_t state;
  cv_load_t load;
  cv_doc_versions_t versions;
  cv_time_t last_report;
  cv_time_t last_pull[CV_DOC_COUNT];
  uint32_t requests; /* in flight */
} cv_target_t;

/* Memory pressure of a pool as of the last tick.  */
typedef struct
{
  uint64_t pool;
  double pressure; /* mean load; 1: the memory is full */
} cv_pool_pressure_t;

typedef struct cv_budget_entry_t
{
  LIST_ENTRY (cv_budget_entry_t) link;
  uint64_t account;
  uint64_t pool;
  cv_retry_budget_t budget;
} cv_budget_entry_t;

struct cv_entry_core_t
{
  cv_entry_options_t options;
  cv_config_t *config;
  /* Former ones, the newest first, then NULL.  */
  cv_config_t *previous[CV_PREVIOUS_CONFIGS_MAX];
  cv_history_t history; /* patches between configuration versions */
  cv_time_t confirmed; /* latest time at which CONFIG was known to be current in
                          the object API, by a read or a report; 0: never */
  cv_time_t last_tick;
  cv_time_t last_freeze; /* when its end was detected */
  /* Since the start or the last freeze:  */
  bool store_read;    /* the object API returned the version it holds */
  bool store_down;    /* a read of the object API failed */
  bool peer_reported; /* a side reported a version that is not newer, or none */
  cv_target_t *targets;
  uint32_t target_count;
  uint32_t targets_used;
  struct cv_request_list_t requests;
  struct cv_request_bucket_t by_id[REQUEST_BUCKETS];
  struct cv_request_bucket_t by_caller[REQUEST_BUCKETS];
  LIST_HEAD (cv_budget_bucket_t, cv_budget_entry_t) budgets[BUDGET_BUCKETS];
  uint32_t in_flight;
  uint32_t awaiting; /* upper bound of requests in PHASE_WAIT_TARGET */
  bool stopping;
  cv_time_t last_hello;
  cv_rng_t rng;
  cv_router_t *router;
  cv_limits_t *limits;
  cv_pool_pressure_t *pressures;
  uint32_t pressure_count;
  uint32_t pressure_cap;
  uint32_t entries;    /* on the instance list */
  cv_length_t *length; /* estimator of answer lengths */
  struct
  {
    cv_suspects_t *table;
    cv_buf_t body; /* document VERSION as JSON */
    uint64_t version;
  } suspects;
  int64_t wall_s;
  cv_entry_metrics_t *metrics;
};

/* ---- core.c ---- */

uint64_t cv_entry_name_hash (const char *name);
void cv_entry_send (cv_entry_core_t *c, uint32_t target, const cv_msg_t *msg);

/* ---- core_admission.c ---- */

/* Admits R, which expects EXPECT tokens, under the limits of its account and
   the pressure of R->pool.  If it is not admitted, fails R and returns
   false.  */
bool cv_entry_admit (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                     uint32_t expect);
/* Applies the account limits of the configuration and the number of entries
   that share them.  */
void cv_entry_apply_limits (cv_entry_core_t *c);
void cv_entry_admission_tick (cv_entry_core_t *c);

/* ---- core_config.c ---- */

/* Parses the configuration in DOC, or applies the patch in DOC to the current
   one.  Returns NULL with CV_ERR_CONFLICT if the patch has another base
   version.  */
cv_config_t *cv_entry_config_parse_doc (cv_entry_core_t *c,
                                        const cv_msg_doc_t *doc,
                                        cv_error_t *err);
/* Sends TARGET the patches since version HAVE, or the full document.  */
void cv_entry_config_send (cv_entry_core_t *c, uint32_t target, uint64_t have);
/* Handles the configuration version in the REPORT of a target's side.  */
void cv_entry_config_peer_version (cv_entry_core_t *c, cv_time_t now,
                                   const cv_doc_versions_t *versions);
/* Returns true if the process was frozen until NOW, that is, the last tick is
   at least CV_PEER_TIMEOUT ago.  The state of all targets is then stale.  */
bool cv_entry_detect_freeze (cv_entry_core_t *c, cv_time_t now);

/* ---- core_requests.c: requests and replies ---- */

cv_request_t *cv_request_new (cv_entry_core_t *c, cv_time_t now, void *caller,
                              cv_request_kind_t kind, const char *account);
void cv_request_set_id (cv_entry_core_t *c, cv_request_t *r, cv_id_t id);
cv_request_t *cv_request_by_id (cv_entry_core_t *c, cv_id_t id);
cv_request_t *cv_request_by_caller (cv_entry_core_t *c, const void *caller);
/* Assigns the attempt to TARGET, or to none if it is CV_NO_TARGET.  */
void cv_request_assign (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                        uint32_t target);
/* The metrics series of R's account and class.  */
cv_series_t *cv_request_series (cv_entry_core_t *c, cv_request_t *r);
/* Records that the current attempt may have run.  */
void cv_request_mark_may_have_run (cv_request_t *r);
/* Sends the last reply and frees the request.  */
void cv_request_end (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                     const cv_reply_t *reply, cv_outcome_t outcome);
void cv_request_fail (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                      cv_failure_code_t code, uint32_t retry_after_ms);
/* Sends a failure to a caller for whom no request was created.  */
void cv_entry_refuse (cv_entry_core_t *c, void *caller, cv_failure_code_t code,
                      uint32_t retry_after_ms);
/* Waits for a report of the target NAME.  */
void cv_request_wait_target (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                             const char *name);
/* Waits for a newer configuration.  */
void cv_request_wait_config (cv_entry_core_t *c, cv_time_t now,
                             cv_request_t *r);
/* Takes one retry from the budget of the account and pool.  Returns false if
   the budget is used up.  */
bool cv_request_take_retry (cv_entry_core_t *c, cv_request_t *r);
/* Counts a first attempt, which adds to the retry budget of the account and
   pool.  */
void cv_request_count_first_attempt (cv_entry_core_t *c, cv_request_t *r);
/* Randomized Retry-After in ms.  */
uint32_t cv_entry_retry_after (cv_entry_core_t *c);

/* ---- core_targets.c ---- */

void cv_entry_targets_report (cv_entry_core_t *c, cv_time_t now,
                              uint32_t target, const cv_msg_report_t *report);
void cv_entry_targets_doc (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           const cv_msg_doc_t *doc);
void cv_entry_targets_doc_pull (cv_entry_core_t *c, cv_time_t now,
                                uint32_t target, const cv_msg_doc_pull_t *m);
/* Requests a document from TARGET, at most once per PULL_INTERVAL.  */
void cv_entry_targets_pull_doc (cv_entry_core_t *c, cv_time_t now,
                                uint32_t target, cv_doc_t doc);
/* Marks all targets stale until they report over a new connection.  */
void cv_entry_targets_mark_stale (cv_entry_core_t *c, cv_time_t now);
void cv_entry_targets_tick (cv_entry_core_t *c, cv_time_t now);
void cv_entry_targets_hello (cv_entry_core_t *c, cv_time_t now);
/* The slot of the reachable target NAME with INCARNATION, or CV_NO_TARGET.  */
uint32_t cv_entry_targets_find (const cv_entry_core_t *c, const char *name,
                                uint64_t incarnation);
/* True if the target NAME reports, but only with other incarnations.  */
bool cv_entry_targets_is_replaced (const cv_entry_core_t *c, const char *name,
                                   uint64_t incarnation);

/* ---- core_streams.c ---- */

/* Submits R to a target, or fails it with FALLBACK if no target is
   available.  */
void cv_entry_streams_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                            cv_failure_code_t fallback);
void cv_entry_streams_tokens (cv_entry_core_t *c, cv_time_t now,
                              uint32_t target, const cv_msg_tokens_t *m);
void cv_entry_streams_end (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           const cv_msg_end_t *m);
void cv_entry_streams_rejected (cv_entry_core_t *c, cv_time_t now,
                                cv_request_t *r, const cv_msg_rejected_t *m);
void cv_entry_streams_caller_gone (cv_entry_core_t *c, cv_time_t now,
                                   cv_request_t *r);
/* Fails R because the process ends.  */
void cv_entry_streams_stop (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* The attempt at R's target is lost: the target was lost or removed, or its
   side has a new incarnation.  */
void cv_entry_streams_attempt_lost (cv_entry_core_t *c, cv_time_t now,
                                    cv_request_t *r);
/* The attempt ended without a result.  Retries it at another target if nothing
   was delivered to the caller.  Fails R with CV_FAIL_INTERRUPTED if something
   was, or with FALLBACK if the deadline or budget allow no retry.  */
void cv_entry_streams_retry (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                             cv_failure_code_t fallback);
/* Requests the stream from its next offset again, because frames were or may
   have been lost.  */
void cv_entry_streams_reattach (cv_entry_core_t *c, cv_time_t now,
                                cv_request_t *r);
cv_length_key_t cv_entry_streams_length_key (const cv_request_t *r);
void cv_entry_streams_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* Attaches a resumed stream if its target has reported, or fails it if only
   another incarnation has.  */
void cv_entry_streams_attach_resumed (cv_entry_core_t *c, cv_time_t now,
                                      cv_request_t *r);
void cv_entry_streams_finish (cv_request_t *r);

/* ---- core_suspects.c ---- */

cv_content_state_t cv_entry_suspects_state (const cv_entry_core_t *c,
                                            uint64_t content_hash);
void cv_entry_suspects_doc (cv_entry_core_t *c, cv_time_t now,
                            const cv_msg_doc_t *doc);
void cv_entry_suspects_send (cv_entry_core_t *c, uint32_t target);
/* True if TARGET has reported a newer suspects document.  */
bool cv_entry_suspects_is_behind (const cv_entry_core_t *c, uint32_t target);
/* Returns true if R may be sent.  Otherwise fails R: its content is
   quarantined, or is suspect and already in flight at some target.  */
bool cv_entry_suspects_check (cv_entry_core_t *c, cv_time_t now,
                              cv_request_t *r);

/* ---- core_calls.c ---- */

void cv_entry_calls_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                          cv_failure_code_t fallback);
void cv_entry_calls_result (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                            const cv_msg_call_result_t *m);
void cv_entry_calls_rejected (cv_entry_core_t *c, cv_time_t now,
                              cv_request_t *r, const cv_msg_rejected_t *m);
void cv_entry_calls_caller_gone (cv_entry_core_t *c, cv_time_t now,
                                 cv_request_t *r);
/* Fails R because the process ends.  */
void cv_entry_calls_stop (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
void cv_entry_calls_attempt_lost (cv_entry_core_t *c, cv_time_t now,
                                  cv_request_t *r);
void cv_entry_calls_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* Sends the CALL or REVOKE again over a new connection, because frames on the
   old one may be lost.  */
void cv_entry_calls_resend (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
void cv_entry_calls_finish (cv_request_t *r);

#endif
