/* State machine of a side process.  Its inputs are messages from entries,
   events from the engine or service, and ticks, each with its time; its
   outputs go to one callback.  It uses no socket, file or clock.

   streams.c       streams, their token buffers and readers
   running.c       actions of the gate and events of the engine
   calls.c         calls to a plain service and their tickets
   call_records.c  records of calls and their stored results
   peers.c         connected entries, heartbeats, detection of freezes
   docs.c          exchange of the configuration and of the list of suspect
                   content (policy/policy.h)
   drain.c         draining and reclaim
   orders.c        loading and unloading of models  */

#ifndef CV_SIDE_CORE_H
#define CV_SIDE_CORE_H

#include "config/config.h"
#include "config/patch.h"
#include "policy/policy.h"
#include "side/idmap.h"
#include "side/orders.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_NO_PEER UINT32_MAX

/* Interval of the search for idle streams and expired tombstones.  */
#define CV_SWEEP_INTERVAL (200 * CV_MS)
/* A tombstone records the identifier of a stream that must not start.  When the
   table is full, the oldest is dropped, and a late SUBMIT of its stream is no
   longer rejected.  */
#define CV_TOMBSTONE_AGE (600 * CV_SECOND)
#define CV_TOMBSTONES_MAX 65536
/* A ticket generation is the group of tickets issued within
   settings.ticket_generation_period.  The tickets of this many, the current one
   included, are valid.  */
#define CV_TICKET_GENERATIONS_KEPT 3
/* A call is rejected when the records with and without ticket reach this limit
   together, a revocation without a record when those with ticket do.  */
#define CV_CALL_RECORDS_MAX 100000
/* Bodies of all stored results together.  */
#define CV_RESULTS_MAX_BYTES (16u * 1024 * 1024)
/* Further calls are rejected.  */
#define CV_CALL_QUEUE_MAX 1024
/* A process that ran no tick for CV_PEER_TIMEOUT was frozen.  Messages in its
   sockets are then of unknown age; all of them have been read this long after
   the end of the freeze.  */
#define CV_FREEZE_SETTLE (500 * CV_MS)
/* Least time between two DOC_PULL messages for the same document.  */
#define CV_DOC_PULL_INTERVAL (1 * CV_SECOND)
/* A draining side runs at least this long, unless its target is reclaimed
   earlier, so that it answers work that entries sent before they received its
   new state.  */
#define CV_DRAIN_MIN (1500 * CV_MS)
/* A draining side runs on for this long after its last answer.  libzmq at an
   entry drops messages that the entry has not read when the connection ends.
   With the interval of ticks it is less than CV_RECLAIM_MARGIN.  */
#define CV_ANSWER_READ_TIME (400 * CV_MS)
/* Calls still running this long before the target is reclaimed are ended.
   Streams that are not expected to finish by then are ended earlier.  */
#define CV_RECLAIM_MARGIN (500 * CV_MS)
/* Sent with a rejection when no better estimate exists.  */
#define CV_RETRY_AFTER_DEFAULT_MS 1000

/* ---- outputs ---- */

typedef enum
{
  CV_OUT_SEND,            /* send a message to an entry */
  CV_OUT_PEER_LOST,       /* the entry is lost; its number is free again */
  CV_OUT_ENGINE_START,    /* start a stream at the engine */
  CV_OUT_ENGINE_PAUSE,    /* free the stream's KV cache, keep its tokens */
  CV_OUT_ENGINE_RESUME,   /* queue a paused stream again */
  CV_OUT_ENGINE_CANCEL,   /* stop the stream; drop its later events */
  CV_OUT_SERVICE_CALL,    /* run a call at the service */
  CV_OUT_LOAD_PERMISSION, /* ask the weight store for permission to load */
  CV_OUT_ORDER            /* send an order to the engine */
} cv_out_type_t;

/* A stream at the engine.  ID detects a slot that was reused.  */
typedef struct
{
  uint32_t slot;
  cv_id_t id;
} cv_stream_ref_t;

typedef struct
{
  cv_stream_ref_t ref;
  const char *model;
  cv_slice_t prompt;
  uint32_t max_tokens;
  uint32_t priority;
} cv_engine_start_t;

typedef struct
{
  cv_id_t call;  /* identifies the call in cv_call_end_t */
  cv_id_t nonce; /* of the ticket; zero for an idempotent call */
  const char *method;
  cv_slice_t path;
  cv_slice_t content_type;
  cv_slice_t body;
  uint32_t timeout_ms;
} cv_service_call_t;

typedef struct
{
  cv_out_type_t type;
  union
  {
    struct
    {
      uint32_t peer;
      const cv_msg_t *msg;
    } send;
    uint32_t lost_peer;
    cv_engine_start_t start;
    cv_stream_ref_t stream; /* commands for a started stream */
    cv_service_call_t call;
    const cv_order_t *order; /* LOAD_PERMISSION, ORDER */
  } u;
} cv_side_out_t;

typedef void (*cv_side_emit_t) (void *arg, const cv_side_out_t *out);

/* ---- tables ---- */

typedef struct
{
  bool used;
  char instance[CV_NAME_MAX]; /* "" until the first HELLO */
  uint64_t incarnation;
  cv_time_t last_received; /* any message */
  cv_time_t last_hello;
  cv_time_t last_report; /* sent to the entry */
  uint32_t hello_ms;     /* interval of its HELLOs; each gets a REPORT */
  cv_doc_versions_t versions;
} cv_peer_t;

typedef enum
{
  CV_STREAM_WAITING, /* queued at the gate; not started */
  CV_STREAM_RUNNING, /* at the engine */
  CV_STREAM_PAUSED,  /* at the engine, without KV cache */
  CV_STREAM_ENDED    /* kept for replay */
} cv_stream_state_t;

typedef struct cv_stream_t
{
  cv_idnode_t node; /* first member */
  TAILQ_ENTRY (cv_stream_t) link;
  TAILQ_ENTRY (cv_stream_t) dirty_link;
  bool dirty; /* has tokens or an end to send */
  uint32_t slot;
  cv_stream_state_t state;
  bool at_engine; /* was sent to the engine */
  bool suspect;   /* as last passed to the gate */
  char account[CV_NAME_MAX];
  char model[CV_NAME_MAX];
  cv_length_key_t length_key;
  uint64_t content_hash;
  uint32_t priority;
  uint32_t max_tokens;
  cv_time_t deadline; /* for the first token */
  char *prompt;       /* owned; NULL once sent to the engine */
  size_t prompt_size;
  uint32_t peer; /* entry that reads the stream, or CV_NO_PEER */
  uint32_t sent; /* index of the next token to send to the reader */
  bool end_sent;
  cv_time_t idle_since; /* when the reader was lost or the stream ended */
  cv_end_t end;
  cv_buf_t text;       /* concatenation of all tokens */
  uint32_t *token_end; /* byte offset in the text at which each token ends */
  uint32_t count;
  uint32_t cap;
} cv_stream_t;

TAILQ_HEAD (cv_stream_list_t, cv_stream_t);

STAILQ_HEAD (cv_waiter_list_t, cv_waiter_t);

typedef enum
{
  CV_CALL_QUEUED,
  CV_CALL_RUNNING,
  CV_CALL_DONE,
  CV_CALL_REVOKED /* before it ran; must never run */
} cv_call_state_t;

/* A request of an entry that waits for a call's result.  */
typedef struct cv_waiter_t
{
  STAILQ_ENTRY (cv_waiter_t) link;
  uint32_t peer;
  cv_id_t request;
} cv_waiter_t;

typedef struct cv_call_t
{
  cv_idnode_t node; /* first member; by nonce, or by request without ticket */
  TAILQ_ENTRY (cv_call_t) link; /* in call_queue or calls_done */
  cv_call_state_t state;
  bool ticketed;
  uint32_t generation; /* of the ticket */
  char account[CV_NAME_MAX];
  char method[8];
  char *path; /* owned, like the next two; freed when the call ends */
  char *request_type;
  char *request_body;
  size_t request_size;
  cv_time_t deadline; /* for the result */
  struct cv_waiter_list_t waiters;
  cv_outcome_t outcome; /* when DONE */
  uint32_t status;
  char *content_type; /* owned; NULL when none */
  char *body;         /* owned; NULL when none or dropped */
  size_t body_size;
  bool body_dropped; /* to keep to CV_RESULTS_MAX_BYTES */
} cv_call_t;

TAILQ_HEAD (cv_call_list_t, cv_call_t);

typedef struct cv_tombstone_t
{
  cv_idnode_t node; /* first member */
  TAILQ_ENTRY (cv_tombstone_t) link;
  cv_time_t since;
} cv_tombstone_t;

TAILQ_HEAD (cv_tombstone_list_t, cv_tombstone_t);

typedef struct
{
  uint64_t version;
  char *body; /* owned JSON; NULL when version is 0 */
  size_t size;
  uint64_t newest_seen; /* newest version named by any peer or held here */
  cv_time_t last_pull;  /* 0: none yet */
  cv_history_t history; /* patches between versions of the configuration */
} cv_doc_state_t;

/* Counters since the start of the process, for /metrics; FREEZES is not shown
   there.  */
typedef struct
{
  uint64_t submits;
  uint64_t rejects;
  uint64_t tokens;
  uint64_t ends;
  uint64_t engine_losses;
  uint64_t preemptions; /* by the engine, and pauses by this side */
  uint64_t calls;
  uint64_t calls_replayed;
  uint64_t calls_unknown;
  uint64_t token_messages;
  uint64_t freezes;
} cv_side_counts_t;

typedef struct
{
  char target[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  cv_pool_kind_t kind;
  uint64_t incarnation;  /* random, one for each process */
  uint64_t kv_tokens;    /* engine's KV cache until it reports its capacity */
  uint32_t max_batch;    /* streams running at the engine at once */
  uint32_t max_calls;    /* calls running at the service at once */
  uint64_t buffer_bytes; /* tokens of all streams; 0: no limit */
  /* Time after which a stream without a reader is cancelled and an ended
     stream is no longer kept for replay.  */
  cv_time_t resume;
  cv_time_t ticket_generation_period; /* from one generation to the next */
  /* Longest drain; 0: no limit.  Work left CV_RECLAIM_MARGIN before its end is
     ended.  */
  cv_time_t drain;
  bool needs_load_permission; /* of the weight store, before each load */
  uint64_t seed;              /* for jitter */
} cv_side_core_settings_t;

typedef struct
{
  cv_side_core_settings_t settings;
  cv_side_emit_t emit;
  void *arg;
  int64_t wall_s; /* wall clock in seconds at the last tick */

  cv_peer_t *peers; /* indexed by peer number */
  uint32_t peer_count;
  cv_time_t last_tick;
  cv_time_t freeze_end; /* end of the last freeze; 0: none */

  cv_idmap_t stream_ids;
  struct cv_stream_list_t streams;
  struct cv_stream_list_t dirty;
  uint64_t buffered_bytes; /* token buffers of all streams */
  cv_time_t last_sweep;    /* last search for idle streams */
  cv_stream_t **slots;
  uint32_t slot_count;
  cv_idmap_t tombstone_ids;
  struct cv_tombstone_list_t tombstones; /* oldest first */

  cv_gate_t *gate;
  bool gate_stale; /* an input of the gate has changed */
  cv_length_t *lengths;
  cv_suspects_t *suspects;
  cv_load_t engine_load; /* last load report of the engine */
  cv_time_t engine_load_time;
  bool backend_up; /* the engine or service answers */

  cv_idmap_t tickets;
  cv_idmap_t plain_calls; /* without ticket */
  struct cv_call_list_t call_queue;
  struct cv_call_list_t calls_done; /* with a stored body, oldest first */
  uint32_t calls_queued;
  uint32_t calls_running;
  size_t result_bytes;
  uint32_t ticket_generation; /* of the tickets issued now */
  cv_time_t ticket_generation_start;

  cv_doc_state_t doc[CV_DOC_COUNT];
  cv_config_t *config; /* NULL before the first */
  /* Time since the object API confirmed the configuration's version, as of
     config_age_time; UINT32_MAX: unknown.  */
  uint32_t config_age_ms;
  cv_time_t config_age_time;

  cv_orders_t orders;

  bool draining;
  cv_time_t drain_start;
  /* When the target is taken away, or the end of the longest drain once
     CV_RECLAIM_MARGIN is left of it; 0: not set.  */
  cv_time_t reclaim_at;
  cv_time_t last_answer; /* tick after the last message an entry waits for */
  bool answered_since_tick;

  cv_side_counts_t counts;
} cv_side_core_t;

/* ---- inputs ---- */

void cv_side_init (cv_side_core_t *c, cv_time_t now,
                   const cv_side_core_settings_t *set, cv_side_emit_t emit,
                   void *arg);
void cv_side_finish (cv_side_core_t *c);

/* Handles a message of the entry with number PEER (small, dense).  */
void cv_side_message (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_t *msg);
/* The connection of the entry is closed.  */
void cv_side_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer);
/* To be called every few tens of milliseconds; WALL_S is the wall clock in
   seconds.  */
void cv_side_tick (cv_side_core_t *c, cv_time_t now, int64_t wall_s);
/* To be called after each batch of inputs: carries out the actions of the
   gate, starts queued calls and sends buffered tokens.  */
void cv_side_flush (cv_side_core_t *c, cv_time_t now);

/* Appends token INDEX to a stream; drops a token out of sequence.  */
void cv_side_token (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                    uint32_t index, cv_slice_t text);
/* The engine itself preempted the stream and will resume it.  */
void cv_side_stream_preempted (cv_side_core_t *c, cv_time_t now,
                               cv_stream_ref_t ref);
/* The engine rejected the request to start the stream, or could not be reached;
   the entry gets a rejection, which says that nothing was run.  */
void cv_side_start_failed (cv_side_core_t *c, cv_time_t now,
                           cv_stream_ref_t ref, cv_reject_t reason);
/* The stream ended after TOTAL tokens.  END becomes CV_END_ENGINE_LOST when
   tokens are missing.  */
void cv_side_stream_end (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                         cv_end_t end, uint32_t total);
/* The engine crashed; its streams are lost.  */
void cv_side_engine_lost (cv_side_core_t *c, cv_time_t now);
void cv_side_engine_load (cv_side_core_t *c, cv_time_t now,
                          const cv_load_t *load);
/* UP when the engine or service answers.  */
void cv_side_backend_state (cv_side_core_t *c, cv_time_t now, bool up);

/* End of a call.  RAN is false when nothing was sent to the service.  */
typedef struct
{
  cv_id_t call;
  bool ran;
  cv_outcome_t outcome; /* DONE or UNKNOWN */
  uint32_t status;
  cv_slice_t content_type;
  cv_slice_t body;
} cv_call_end_t;

void cv_side_call_end (cv_side_core_t *c, cv_time_t now,
                       const cv_call_end_t *end);

/* Result of an order.  FENCE is the engine's fencing token in a rejection
   (status 409), 0 when it gave none.  */
typedef struct
{
  bool answered; /* false: no answer came */
  uint32_t status;
  uint64_t fence;
} cv_order_end_t;

void cv_side_order_end (cv_side_core_t *c, cv_time_t now,
                        const cv_order_end_t *end);
/* The weight store granted or denied permission to load; RETRY_AFTER_MS is 0
   when it gave no time.  */
void cv_side_load_permission_end (cv_side_core_t *c, cv_time_t now,
                                  bool granted, uint32_t retry_after_ms);
/* The engine was restarted and has lost all models that were ordered.  */
void cv_side_engine_restarted (cv_side_core_t *c);

/* Starts to drain.  WITHIN > 0 is the time until the target is reclaimed, that
   is, taken away; an earlier reclaim stays in force.  */
void cv_side_start_drain (cv_side_core_t *c, cv_time_t now, cv_time_t within);
/* True when no work is left to finish and the entries had time to read the
   answers; from the reclaim time on, ended streams without a reader no longer
   count as work.  */
bool cv_side_is_drained (const cv_side_core_t *c, cv_time_t now);

/* ---- internal to the core ---- */

void cv_side_send (cv_side_core_t *c, uint32_t peer, const cv_msg_t *msg);
void cv_side_reject (cv_side_core_t *c, uint32_t peer, cv_id_t id,
                     cv_reject_t reason, uint32_t retry_after_ms);
/* Whether new work of PEER for a target of KIND may be admitted; sets *REASON
   when not.  CV_REJECT_ENGINE also stands for a target of another kind, and
   for a freeze without a later HELLO (cv_peers_has_recent_hello).  */
bool cv_side_can_admit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        cv_pool_kind_t kind, uint64_t config_version,
                        uint64_t content_hash, cv_reject_t *reason);
cv_target_state_t cv_side_state (const cv_side_core_t *c);
void cv_side_load (const cv_side_core_t *c, cv_time_t now, cv_load_t *load);

void cv_peers_record_activity (cv_side_core_t *c, cv_time_t now, uint32_t peer);
void cv_peers_hello (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                     const cv_msg_hello_t *hello);
void cv_peers_tick (cv_side_core_t *c, cv_time_t now);
void cv_peers_report (cv_side_core_t *c, cv_time_t now, uint32_t peer);
void cv_peers_report_all (cv_side_core_t *c, cv_time_t now);
/* Checks whether the process was frozen since the last tick, and if so sets
   freeze_end.  */
void cv_peers_detect_freeze (cv_side_core_t *c, cv_time_t now);
/* Whether the age of work from PEER is known: this process was never frozen, or
   PEER is connected and sent a HELLO at least CV_FREEZE_SETTLE after the end of
   the last freeze.  */
bool cv_peers_has_recent_hello (const cv_side_core_t *c, uint32_t peer);
bool cv_peers_is_connected (const cv_side_core_t *c, uint32_t peer);

void cv_streams_init (cv_side_core_t *c);
void cv_streams_finish (cv_side_core_t *c);
void cv_streams_submit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        const cv_msg_submit_t *m);
void cv_streams_attach (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        const cv_msg_attach_t *m);
void cv_streams_detach (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        cv_id_t id);
void cv_streams_cancel (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                        cv_id_t id);
void cv_streams_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer);
void cv_streams_tick (cv_side_core_t *c, cv_time_t now);
void cv_streams_flush (cv_side_core_t *c);
cv_stream_t *cv_streams_lookup (cv_side_core_t *c, cv_stream_ref_t ref);
/* Ends the stream, queues the END message and keeps the stream for replay.  */
void cv_streams_end (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                     cv_end_t end);
/* Rejects and frees a stream that was not sent to the engine.  */
void cv_streams_reject (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                        cv_reject_t reason, uint32_t retry_after_ms);
void cv_streams_mark_dirty (cv_side_core_t *c, cv_stream_t *s);

/* Queues a stream at the gate; false when it is not expected to start before
   the deadline for its first token.  */
bool cv_running_enqueue (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                         uint32_t *retry_after_ms);
/* Removes the stream from the gate.  NATURAL: the model ended the output
   (CV_END_STOP), and the gate records its length as a sample.  */
void cv_running_remove (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s,
                        bool natural);
/* Carries out the gate's actions if gate_stale is set.  */
void cv_running_schedule (cv_side_core_t *c, cv_time_t now);
/* Applies a change of the suspects to all streams.  */
void cv_running_check_suspects (cv_side_core_t *c, cv_time_t now);
void cv_running_send_command (cv_side_core_t *c, cv_out_type_t type,
                              const cv_stream_t *s);

void cv_calls_init (cv_side_core_t *c, cv_time_t now);
void cv_calls_finish (cv_side_core_t *c);
void cv_calls_submit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_call_t *m);
void cv_calls_revoke (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_revoke_t *m);
void cv_calls_tick (cv_side_core_t *c, cv_time_t now);
void cv_calls_start_queued (cv_side_core_t *c, cv_time_t now);
/* Rejects the queued calls and, when LAST (CV_RECLAIM_MARGIN or less before the
   reclaim), ends the running calls with CV_OUTCOME_UNKNOWN.  */
void cv_calls_reclaim (cv_side_core_t *c, cv_time_t now, bool last);

void cv_docs_finish (cv_side_core_t *c);
void cv_docs_get_versions (const cv_side_core_t *c, cv_time_t now,
                           cv_doc_versions_t *out);
void cv_docs_receive_versions (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                               const cv_doc_versions_t *v);
/* Whether VERSION, the configuration under which the entry PEER routed a
   request, is the newest named by any peer.  Pulls VERSION when it is newer
   than the one held here.  */
bool cv_docs_check_config (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                           uint64_t version);
void cv_docs_send (cv_side_core_t *c, uint32_t peer,
                   const cv_msg_doc_pull_t *m);
void cv_docs_receive (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_doc_t *m);
/* Publishes suspects that this side changed.  */
void cv_docs_suspects_changed (cv_side_core_t *c, cv_time_t now);

void cv_orders_init (cv_side_core_t *c, cv_time_t now);
void cv_orders_finish (cv_side_core_t *c);
void cv_orders_tick (cv_side_core_t *c, cv_time_t now);

void cv_drain_tick (cv_side_core_t *c, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
