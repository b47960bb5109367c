/* Decisions as pure logic: time, seed and inputs are arguments; no socket, file
   or clock is used here.

   The folder serves two pairs of process roles.  An entry accepts callers'
   requests over an API of its own, and a side runs beside one target.  A
   gateway forwards callers' HTTP requests to targets, and an observer runs
   beside one engine and reports its load.

   This header is for the first pair.  Entry: routing, account limits, retry
   budget.  Side: admission to the engine (the gate).  Both: length prediction
   and suspect content.  subset.h is for entries too; health.h, output.h,
   placement.h, refusal.h, room.h, turns.h, urgency.h and evacuation.h are for
   gateways and observers; forecast.h is for both pairs.  A stream here and a
   run in the headers for the second pair are both a generation: one output in
   progress at an engine.  */

#ifndef CV_POLICY_H
#define CV_POLICY_H

#include "base/base.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

/* ---- output length ---- */

/* Attributes of a stream that predict its output length.  */
typedef struct
{
  uint64_t account;  /* hash of the name */
  uint64_t class_id; /* hash of the name of the request class */
  uint64_t model;
} cv_length_key_t;

/* Distribution of output lengths by account, request class and model.  Old
   samples decay, so that the distribution follows changes of the traffic.  */
typedef struct cv_length_t cv_length_t;

cv_length_t *cv_length_new (uint32_t max_keys);
void cv_length_free (cv_length_t *l);
/* Records that a stream of KEY ended by itself after TOKENS.  */
void cv_length_observe (cv_length_t *l, const cv_length_key_t *key,
                        uint32_t tokens);
/* Returns the number of further tokens, at quantile Q, of a stream that has
   produced PRODUCED; at most LIMIT - PRODUCED.  */
uint32_t cv_length_remaining (const cv_length_t *l, const cv_length_key_t *key,
                              uint32_t produced, uint32_t limit, double q);

/* ---- routing (entry) ---- */

typedef struct cv_router_t cv_router_t;

/* A request to be routed.  */
typedef struct
{
  uint64_t pool;          /* hash of the pool's name */
  uint64_t prefix_hash;   /* of the prompt's first bytes, for prefix caches */
  uint32_t prompt_tokens; /* estimated */
  uint32_t expect;        /* expected output tokens */
  uint32_t avoid;         /* target not to choose, or CV_NO_TARGET */
} cv_route_request_t;

#define CV_NO_TARGET UINT32_MAX

cv_router_t *cv_router_new (uint64_t seed);
void cv_router_free (cv_router_t *r);
/* Adds or updates the target with the index TARGET (small dense integers).  */
void cv_router_report (cv_router_t *r, cv_time_t now, uint32_t target,
                       uint64_t pool, cv_target_state_t state,
                       const cv_load_t *load);
void cv_router_remove (cv_router_t *r, uint32_t target);
/* Returns the chosen target, or CV_NO_TARGET when none may take new work.  */
uint32_t cv_router_pick (cv_router_t *r, cv_time_t now,
                         const cv_route_request_t *req);
/* Returns the mean load of the pool's live targets (of the first 64): the
   fraction of memory used or expected to be used, with own work since the last
   report, plus 0.05 for each waiting stream, so that it may exceed 1.  Returns
   1 when no target is live, and 0 for an unknown pool.  Input to
   cv_limits_set_pressure.  */
double cv_router_pressure (const cv_router_t *r, uint64_t pool);
/* Own work in flight, which corrects the stale load reports.  */
void cv_router_started (cv_router_t *r, cv_time_t now, uint32_t target,
                        const cv_route_request_t *req);
void cv_router_progress (cv_router_t *r, cv_time_t now, uint32_t target,
                         uint32_t tokens);
void cv_router_ended (cv_router_t *r, cv_time_t now, uint32_t target,
                      const cv_route_request_t *req, bool ok);

/* ---- account limits and admission (entry) ---- */

typedef struct
{
  uint32_t weight;       /* share under contention, >= 1 */
  uint32_t concurrency;  /* most requests in flight, 0: no limit */
  uint32_t tokens_per_s; /* sustained rate, 0: no limit */
  uint32_t burst_tokens; /* at least one second of the rate is used */
} cv_account_limits_t;

typedef struct cv_limits_t cv_limits_t;

typedef struct
{
  bool admitted;
  uint32_t retry_after_ms; /* when refused; jittered */
  const char *reason;      /* when refused: "concurrency", "rate", "overload" */
} cv_admission_t;

cv_limits_t *cv_limits_new (uint64_t seed);
void cv_limits_free (cv_limits_t *l);
void cv_limits_set (cv_limits_t *l, uint64_t account,
                    const cv_account_limits_t *limits);
/* Sets the number of entries; each enforces an equal part of the limits.  */
void cv_limits_set_entries (cv_limits_t *l, uint32_t entries);
/* Sets how full the pools are; see cv_router_pressure.  From 0.8 on, an account
   is refused that takes more than a multiple of its weighted share of recent
   work.  The multiple is 4.2 at 0.8, falls to 1.2 at 1 and stays there.  */
void cv_limits_set_pressure (cv_limits_t *l, double pressure);
/* EXPECT, the expected output tokens, is not used: tokens are charged as they
   are produced.  */
cv_admission_t cv_limits_admit (cv_limits_t *l, cv_time_t now, uint64_t account,
                                uint32_t expect);
/* Charges TOKENS as they are produced.  */
void cv_limits_charge (cv_limits_t *l, cv_time_t now, uint64_t account,
                       uint32_t tokens);
void cv_limits_ended (cv_limits_t *l, cv_time_t now, uint64_t account);

/* ---- retry budget (entry), one per account and pool ---- */

typedef struct
{
  double credits; /* retries that may be taken now */
  double ratio;   /* credits earned by each first attempt */
  double cap;     /* most credits */
} cv_retry_budget_t;

void cv_retry_budget_init (cv_retry_budget_t *b);
/* Allows RATIO retries for each first attempt, with a burst of CAP: in any span
   of time at most CAP + RATIO x first attempts are granted.  */
void cv_retry_budget_set (cv_retry_budget_t *b, double ratio, double cap);
/* Records a first attempt.  */
void cv_retry_budget_first (cv_retry_budget_t *b);
/* Whether a retry may be taken now.  */
bool cv_retry_budget_has (const cv_retry_budget_t *b);
/* Takes one retry from the budget; returns false when there is none.  */
bool cv_retry_budget_take (cv_retry_budget_t *b);
/* Retries of one route's requests after a target answered 500.  Load pattern: a
   part of the requests fails in the same way at every target, and their retries
   take the slots and the retry budget of others.  */
typedef struct
{
  double helped;   /* smoothed share that got another answer; starts at 1 */
  uint32_t unused; /* retries not made since the last one */
  bool has_share;
} cv_failure_retries_t;

/* Whether a request that was answered 500 is sent to a second target: yes while
   that helps, else one in some, to see whether it does again.  */
bool cv_failure_retries_take (cv_failure_retries_t *r);
/* Records whether such a retry got an answer other than 500.  */
void cv_failure_retries_record (cv_failure_retries_t *r, bool helped);
/* Until when a request that may have run waits for another target, given the
   end of its first wait and its deadline.  It cannot be refused as not run, so
   its caller gains nothing from an earlier end.  Half of the time is left for
   the attempt itself; a response that HAS_BEGUN waits until its deadline.  */
cv_time_t cv_retry_wait_end (cv_time_t now, cv_time_t first_end,
                             cv_time_t deadline, bool has_begun);
/* Returns a random backoff in [BASE_MS, 2 BASE_MS), so that retries do not
   coincide.  */
uint32_t cv_retry_after_ms (cv_rng_t *rng, uint32_t base_ms);

/* ---- gate (side): which streams may use the engine's memory ----

   A higher PRIORITY number is more urgent here; in urgency.h and routing.h, 0
   is the most urgent.  */

typedef struct cv_gate_t cv_gate_t;

typedef struct
{
  uint32_t slot; /* number of the stream, chosen by the user of the gate */
  cv_length_key_t key;
  uint32_t priority; /* of the request class; higher is more urgent */
  uint32_t weight;   /* of the account, >= 1 */
  uint32_t prompt_tokens;
  uint32_t max_tokens;
  cv_time_t deadline; /* of the first token */
  bool suspect;       /* its content is suspect */
} cv_gate_work_t;

typedef enum
{
  CV_GATE_START,  /* send the stream to the engine */
  CV_GATE_PAUSE,  /* free its memory, keep its tokens */
  CV_GATE_RESUME, /* send it to the engine again */
  CV_GATE_REFUSE  /* deadline passed before its start: reject it; it may be sent
                      again, as the engine has not run it */
} cv_gate_verb_t;

typedef struct
{
  cv_gate_verb_t verb;
  uint32_t slot;
  uint32_t retry_after_ms; /* for CV_GATE_REFUSE */
} cv_gate_action_t;

cv_gate_t *cv_gate_new (uint64_t kv_total, uint32_t max_batch);
void cv_gate_free (cv_gate_t *g);
/* Sets the engine's memory as last reported, in tokens; 0 has no effect.  */
void cv_gate_set_total (cv_gate_t *g, uint64_t kv_total);
/* Queues WORK.  Returns false when it is not expected to start before its
   deadline, or when its prompt alone fills the engine's memory; it is then to
   be rejected at once, with *RETRY_AFTER_MS.  */
bool cv_gate_offer (cv_gate_t *g, cv_time_t now, const cv_gate_work_t *work,
                    uint32_t *retry_after_ms);
void cv_gate_progress (cv_gate_t *g, cv_time_t now, uint32_t slot,
                       uint32_t tokens);
/* Records that the engine itself preempted the stream.  */
void cv_gate_preempted (cv_gate_t *g, cv_time_t now, uint32_t slot);
/* Removes the stream.  NATURAL: it ended by itself, and its length is recorded
   as a sample.  */
void cv_gate_ended (cv_gate_t *g, cv_time_t now, uint32_t slot, bool natural);
/* Decides on the next actions: writes up to MAX and returns their number.  */
size_t cv_gate_tick (cv_gate_t *g, cv_time_t now, cv_gate_action_t *out,
                     size_t max);
/* Sets running, waiting, kv_used, kv_total and kv_promised of LOAD.  */
void cv_gate_load (const cv_gate_t *g, cv_load_t *load);

/* ---- suspects: content that was in flight when an engine crashed ---- */

/* Number of engine crashes after which content that was in flight is
   quarantined.  From the first on it does not run beside other suspects.  */
#define CV_SUSPECT_STRIKES 2

typedef struct cv_suspects_t cv_suspects_t;

typedef enum
{
  CV_CONTENT_CLEAR,
  CV_CONTENT_SUSPECT,
  CV_CONTENT_QUARANTINED
} cv_content_state_t;

/* Makes a strike count beside all others of its content.  */
#define CV_SEEN_ALL UINT32_MAX

/* A content or a part of prompts.  */
typedef struct
{
  uint64_t hash;
  uint32_t seen;  /* its cv_suspects_strikes when the attempt was sent, or
                     CV_SEEN_ALL */
  uint32_t trial; /* number of the claimed trial that the request is, 0: none */
} cv_suspect_hash_t;

/* What may have crashed the engine that runs a request: its content, or a part
   of its prompt that other contents share.  The last part of a prompt belongs
   to the request itself and is not among PARTS, which belong to the struct.  */
typedef struct
{
  cv_suspect_hash_t content;
  cv_suspect_hash_t *parts; /* NULL if there are none */
  uint32_t part_count;
} cv_suspect_request_t;

/* Initializes R with room for PART_MAX parts and none in it.  */
void cv_suspect_request_init (cv_suspect_request_t *r,
                              cv_suspect_hash_t content, uint32_t part_max);
/* Initializes R as a copy of OTHER.  */
void cv_suspect_request_init_copy (cv_suspect_request_t *r,
                                   const cv_suspect_request_t *other);
void cv_suspect_request_finish (cv_suspect_request_t *r);
bool cv_suspect_request_has_part (const cv_suspect_request_t *r, uint64_t hash);

/* Selects entries of S by their hash.  */
typedef bool cv_suspects_filter_t (const void *owner, const cv_suspects_t *s,
                                   uint64_t hash);

cv_suspects_t *cv_suspects_new (void);
void cv_suspects_free (cv_suspects_t *s);
/* The state of a content at WALL_S, seconds of Unix time.  Quarantined content
   becomes suspect again after some hours, which allows one trial, unless
   several trials have failed.  */
cv_content_state_t cv_suspects_state (const cv_suspects_t *s,
                                      uint64_t content_hash, int64_t wall_s);
/* Whether R has what was quarantined and may be tried: it may be sent once a
   trial is claimed for it.  */
bool cv_suspects_trial_is_due (const cv_suspects_t *s,
                               const cv_suspect_request_t *r, int64_t wall_s);
/* Claims a trial of all that is due in R, and notes their numbers in R.  Others
   do not try it then until the quarantine that follows a failed trial is over.
   A claim holds once the document with it was stored under a condition.  False
   when nothing is due.  */
bool cv_suspects_claim_trial (cv_suspects_t *s, cv_suspect_request_t *r,
                              int64_t wall_s);
/* Makes R the trial that was claimed for CLAIMED, as far as they have the same
   content and parts; false when they have none of what was claimed.  */
bool cv_suspect_request_grant (cv_suspect_request_t *r,
                               const cv_suspect_request_t *claimed);
/* R is no trial any longer.  */
void cv_suspect_request_revoke (cv_suspect_request_t *r);
/* Lengthens the time until a quarantined part is tried, by the share DELAY in
   [0, 1), so that not all users of a fleet claim its trial at the same time. */
void cv_suspects_set_trial_delay (cv_suspects_t *s, double delay);
/* Strikes that count at WALL_S.  */
uint32_t cv_suspects_strikes (const cv_suspects_t *s, uint64_t content_hash,
                              int64_t wall_s);
/* Seconds for which the content stays suspect or quarantined, 0: it is neither
   or may be tried, INT64_MAX: until it is cleared.  */
int64_t cv_suspects_time_left (const cv_suspects_t *s, uint64_t content_hash,
                               int64_t wall_s);
/* Unix time of the newest strike or claim of a trial, 0: no strike counts.  */
int64_t cv_suspects_newest (const cv_suspects_t *s, uint64_t content_hash);
/* Number of entries, and the hash of entry I; cleared ones included.  */
size_t cv_suspects_count (const cv_suspects_t *s);
uint64_t cv_suspects_hash (const cv_suspects_t *s, size_t i);
/* Whether a request may be sent: the worst state of its content and its parts.
   A quarantined part counts only together with its companions: suspect parts
   that were in all requests that crashed on it.  So a part that was seen with a
   bad one only is refused beside it and tried without it.  */
cv_content_state_t cv_suspects_request_state (const cv_suspects_t *s,
                                              const cv_suspect_request_t *r,
                                              int64_t wall_s);
/* The content or part of R on which this state depends: of the worst state, and
   of these the one with the most strikes.  */
uint64_t cv_suspects_worst (const cv_suspects_t *s,
                            const cv_suspect_request_t *r, int64_t wall_s);
/* Records an engine crash with these requests in flight.  The contents and
   parts that were already suspect get a strike, and what is beside a suspect in
   its request unless it has ever completed; when none was suspect, all do.
   CRASH identifies the crash uniquely in the fleet; it is stored under
   `deaths`.  Two crashes of one content are one strike of its parts.  A strike
   at a crash where other requests had suspects too does not quarantine, until
   these are cleared.  */
void cv_suspects_strike (cv_suspects_t *s, const cv_suspect_request_t *requests,
                         size_t n, int64_t wall_s, uint64_t crash);
/* Clears content that has run to its end.  */
void cv_suspects_clear (cv_suspects_t *s, uint64_t content_hash);
/* Appends the JSON body of the document CV_DOC_SUSPECTS, sorted by hash, so
   that equal tables give equal bodies.  FILTER selects entries, NULL: all.  */
void cv_suspects_dump (const cv_suspects_t *s, cv_suspects_filter_t *filter,
                       const void *owner, cv_buf_t *out);
/* A filter for what is worth storing: content that was quarantined, or would be
   if it had not been cleared.  */
bool cv_suspects_is_lasting (const void *owner, const cv_suspects_t *s,
                             uint64_t hash);
/* Merges such a body into S.  Fails with CV_ERR_INVALID when any entry is
   invalid; the valid ones are merged all the same.  */
bool cv_suspects_merge (cv_suspects_t *s, cv_slice_t json, cv_error_t *err);
/* Returns a version for the document BODY that is newer than NEWEST.  Its
   lowest 16 bits are a hash of BODY and the other bits a counter, so that
   versions of two different documents made from the same NEWEST differ, and the
   merge of both is newer than either.  */
uint64_t cv_suspects_version (uint64_t newest, cv_slice_t body);

#ifdef __cplusplus
}
#endif

#endif
