/* Tables of the entry's core, shared by its files.  */

#ifndef CV_ENTRY_CORE_INTERNAL_H
#define CV_ENTRY_CORE_INTERNAL_H

#include "entry/core.h"

#define CORE_BUCKETS 8192
#define BUDGET_BUCKETS 1024

/* Wait for a newer configuration, when a side asked for one.  */
#define PARK_TIMEOUT (2 * CV_SECOND)
/* Wait for the answer to a REVOKE.  */
#define REVOKE_TIMEOUT (1 * CV_SECOND)
/* Beyond its deadline, a side that said nothing is given up.  */
#define DEADLINE_GRACE (200 * CV_MS)
/* Wait for a first report of the side that a ticket or position names.  */
#define AWAIT_TIMEOUT (2 * CV_SECOND)
/* Wait for the suspects of a target whose engine died.  */
#define HOLD_TIMEOUT (500 * CV_MS)
/* A stream that was silent for so long is asked for again: a lost END or
   SUBMIT is noticed by nobody else.  */
#define SILENCE_LIMIT (2 * CV_SECOND)
/* Least time between two requests to send a stream again.  */
#define REATTACH_INTERVAL (200 * CV_MS)
/* A gap counts as stalled beyond this time.  */
#define STALL_THRESHOLD (1 * CV_SECOND)
#define RETRY_AFTER_MS 1000
#define DEFAULT_FIRST_TOKEN_MS 30000
/* Bytes of the prompt that stand for its cached prefix.  */
#define PREFIX_BYTES 1024
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
  PHASE_PARKED = 1, /* waits for a newer configuration */
  PHASE_AWAIT,      /* waits for the side that its ticket or position names */
  PHASE_HELD,       /* a retry, until the suspects of its last target came */
  PHASE_SENT,       /* handed over, not heard of */
  PHASE_RUNNING,    /* accepted by the side */
  PHASE_REVOKING    /* a call is being barred */
} cv_phase_t;

typedef struct
{
  char model[CV_NAME_MAX];
  uint32_t priority;
  uint32_t max_tokens;
  uint32_t expect;
  uint32_t first_token_ms;
  bool whole;
  bool resumed;   /* attached by position: it cannot be run again */
  uint32_t start; /* offset of the first token to deliver */
  uint32_t next;  /* offset of the token that is accepted next */
  char *prompt;
  size_t prompt_size;
  uint64_t content_hash;
  cv_buf_t text;  /* tokens of a whole answer */
  cv_buf_t sizes; /* their lengths, uint32_t each */
  bool gap;       /* frames are missing; asked for again */
  cv_time_t reattached;
  cv_time_t last_token;
  cv_time_t stalled;
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
  bool resent; /* over a second connection: a rejection may be of either */
  cv_time_t revoke_until;
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
  cv_id_t id; /* names the attempt */
  uint32_t target;
  uint64_t incarnation;
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  uint64_t account_hash;
  uint64_t pool;
  cv_series_t *series; /* of account and class, once asked for */
  bool admitted;       /* counted by the account's limits */
  bool ran;            /* an earlier attempt may have run */
  bool failed;         /* its target did not do its part */
  cv_time_t submitted;
  cv_time_t deadline; /* to the first token, or of the call */
  cv_time_t parked_until;
  char awaited[CV_NAME_MAX]; /* target of PHASE_AWAIT */
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
  bool heard; /* a report came since the connection was made */
  bool lost;
  bool doubted; /* no report since this process was frozen */
  bool listed_leaving;
  char name[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  uint64_t pool_hash;
  uint64_t incarnation;
  uint32_t generation;
  cv_target_state_t state;
  cv_load_t load;
  cv_versions_t versions;
  cv_time_t last_heard;
  cv_time_t last_pull[CV_DOC_COUNT];
  uint32_t requests;
} cv_target_t;

/* How full a pool is, as of the last tick.  */
typedef struct
{
  uint64_t pool;
  double pressure;
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
  cv_history_t history; /* steps between versions of the configuration */
  cv_time_t confirmed;  /* when the store confirmed config, 0: never */
  cv_time_t last_tick;
  cv_time_t woken;  /* from the last freeze */
  bool store_asked; /* since the start or the last freeze; so are the others */
  bool store_down;
  bool peer_heard; /* a peer whose configuration is not newer */
  cv_target_t *targets;
  uint32_t target_count;
  uint32_t targets_used;
  struct cv_request_list_t requests;
  struct cv_request_bucket_t by_id[CORE_BUCKETS];
  struct cv_request_bucket_t by_caller[CORE_BUCKETS];
  LIST_HEAD (cv_budget_bucket_t, cv_budget_entry_t) budgets[BUDGET_BUCKETS];
  uint32_t in_flight;
  uint32_t awaiting; /* requests in PHASE_AWAIT, at most */
  bool stopping;
  cv_time_t last_hello;
  cv_rng_t rng;
  cv_router_t *router;
  cv_limits_t *limits;
  cv_pool_pressure_t *pressures;
  uint32_t pressure_count;
  uint32_t pressure_cap;
  uint32_t entries; /* on the instance list */
  cv_length_t *length;
  struct
  {
    cv_suspects_t *table;
    cv_buf_t body; /* the document of VERSION */
    uint64_t version;
  } suspects;
  int64_t wall_s;
  cv_entry_metrics_t *metrics;
};

/* ---- core.c ---- */

uint64_t cv_entry_name_hash (const char *name);
void cv_entry_send (cv_entry_core_t *c, uint32_t target, const cv_msg_t *msg);

/* ---- core_admission.c ---- */

/* May R, of the pool R->pool, be taken by the limits of its account?  Fails it
   when not.  */
bool cv_entry_admit (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                     uint32_t expect);
/* Take the account limits and the number of entries that share them.  */
void cv_entry_apply_limits (cv_entry_core_t *c);
void cv_entry_admission_tick (cv_entry_core_t *c);

/* ---- core_config.c ---- */

/* What a peer's REPORT says of the configuration.  */
/* The configuration that DOC holds, or leads to from ours; CONFLICT when it
   starts from another version.  */
cv_config_t *cv_entry_config_from (cv_entry_core_t *c, const cv_msg_doc_t *doc,
                                   cv_error_t *err);
/* Send TARGET the steps from version HAVE, or the whole document.  */
void cv_entry_config_send (cv_entry_core_t *c, uint32_t target, uint64_t have);
void cv_entry_config_heard (cv_entry_core_t *c, cv_time_t now,
                            const cv_versions_t *versions);
/* Was the process frozen until NOW?  Everything that it knew of its peers is
   then in doubt.  */
bool cv_entry_awake (cv_entry_core_t *c, cv_time_t now);

/* ---- core_requests.c: requests and replies ---- */

cv_request_t *cv_request_new (cv_entry_core_t *c, cv_time_t now, void *caller,
                              cv_request_kind_t kind, const char *account);
void cv_request_set_id (cv_entry_core_t *c, cv_request_t *r, cv_id_t id);
cv_request_t *cv_request_by_id (cv_entry_core_t *c, cv_id_t id);
cv_request_t *cv_request_by_caller (cv_entry_core_t *c, const void *caller);
/* Put the attempt on TARGET, or take it off with CV_NO_TARGET.  */
void cv_request_place (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                       uint32_t target);
/* The metrics of R's account and class.  */
cv_series_t *cv_request_series (cv_entry_core_t *c, cv_request_t *r);
/* Note that the present attempt may have run.  */
void cv_request_ran (cv_request_t *r);
/* Give the last reply and forget the request.  */
void cv_request_end (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                     const cv_reply_t *reply, cv_outcome_t outcome);
void cv_request_fail (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                      cv_failure_code_t code, uint32_t retry_after_ms);
/* Refuse what never became a request.  */
void cv_entry_refuse (cv_entry_core_t *c, void *caller, cv_failure_code_t code,
                      uint32_t retry_after_ms);
/* Wait for a report of the target NAME, of incarnation R->incarnation.  */
void cv_request_await (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                       const char *name);
void cv_request_park (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* One more attempt under the retry budget of account and pool?  */
bool cv_request_may_retry (cv_entry_core_t *c, cv_request_t *r);
void cv_request_first_try (cv_entry_core_t *c, cv_request_t *r);
uint32_t cv_entry_retry_after (cv_entry_core_t *c);

/* ---- core_targets.c ---- */

void cv_entry_targets_report (cv_entry_core_t *c, cv_time_t now,
                              uint32_t target, const cv_msg_report_t *report);
void cv_entry_targets_doc (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           const cv_msg_doc_t *doc);
void cv_entry_targets_doc_pull (cv_entry_core_t *c, cv_time_t now,
                                uint32_t target, const cv_msg_doc_pull_t *m);
/* Ask TARGET for its document, at a bounded rate.  */
void cv_entry_targets_pull (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                            cv_doc_t doc);
/* Trust no target before it reports over a new connection.  */
void cv_entry_targets_doubt (cv_entry_core_t *c, cv_time_t now);
void cv_entry_targets_tick (cv_entry_core_t *c, cv_time_t now);
void cv_entry_targets_hello (cv_entry_core_t *c, cv_time_t now);
/* The slot of the live incarnation that a ticket or position names, or
   CV_NO_TARGET.  */
uint32_t cv_entry_targets_find (const cv_entry_core_t *c, const char *name,
                                uint64_t incarnation);
/* Does another incarnation report under NAME?  */
bool cv_entry_targets_replaced (const cv_entry_core_t *c, const char *name,
                                uint64_t incarnation);

/* ---- core_streams.c ---- */

/* Hand it to a target, or end it with OTHERWISE when there is none.  */
void cv_entry_streams_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                            cv_failure_code_t otherwise);
void cv_entry_streams_tokens (cv_entry_core_t *c, cv_time_t now,
                              uint32_t target, const cv_msg_tokens_t *m);
void cv_entry_streams_end (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                           const cv_msg_end_t *m);
void cv_entry_streams_rejected (cv_entry_core_t *c, cv_time_t now,
                                cv_request_t *r, const cv_msg_rejected_t *m);
void cv_entry_streams_gone (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* The side that runs R is lost.  */
void cv_entry_streams_lost (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* The attempt is over: start another generation elsewhere while the caller
   has seen nothing, or end the answer, with OTHERWISE when no retry is
   possible.  */
void cv_entry_streams_run_again (cv_entry_core_t *c, cv_time_t now,
                                 cv_request_t *r, cv_failure_code_t otherwise);
/* Frames of the stream were lost on the way: ask for them again.  */
void cv_entry_streams_reattach (cv_entry_core_t *c, cv_time_t now,
                                cv_request_t *r);
cv_length_key_t cv_entry_streams_length_key (const cv_request_t *r);
void cv_entry_streams_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* The target that a resumed stream waited for reports, or did not in time.  */
void cv_entry_streams_awaited (cv_entry_core_t *c, cv_time_t now,
                               cv_request_t *r);
void cv_entry_streams_finish (cv_request_t *r);

/* ---- core_suspects.c ---- */

cv_content_state_t cv_entry_suspects_state (const cv_entry_core_t *c,
                                            uint64_t content_hash);
void cv_entry_suspects_doc (cv_entry_core_t *c, cv_time_t now,
                            const cv_msg_doc_t *doc);
void cv_entry_suspects_send (cv_entry_core_t *c, uint32_t target);
/* Did TARGET report a newer document than ours?  */
bool cv_entry_suspects_behind (const cv_entry_core_t *c, uint32_t target);
/* May R be handed over?  Fails it when its content is condemned, or suspect
   and at another target.  */
bool cv_entry_suspects_allow (cv_entry_core_t *c, cv_time_t now,
                              cv_request_t *r);

/* ---- core_calls.c ---- */

void cv_entry_calls_send (cv_entry_core_t *c, cv_time_t now, cv_request_t *r,
                          cv_failure_code_t otherwise);
void cv_entry_calls_result (cv_entry_core_t *c, cv_time_t now, uint32_t target,
                            const cv_msg_call_result_t *m);
void cv_entry_calls_rejected (cv_entry_core_t *c, cv_time_t now,
                              cv_request_t *r, const cv_msg_rejected_t *m);
void cv_entry_calls_gone (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
void cv_entry_calls_lost (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
void cv_entry_calls_tick (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
/* A new connection to its side was made; the old one may have lost frames.  */
void cv_entry_calls_resend (cv_entry_core_t *c, cv_time_t now, cv_request_t *r);
void cv_entry_calls_finish (cv_request_t *r);

#endif
