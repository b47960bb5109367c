/* State and decisions of a side as pure logic: messages of entries, events
   of the engine or service and ticks go in with their time; messages and
   orders come out through one function.  No socket, file or clock is used.

   streams.c  generations and their token buffers
   running.c  what the gate orders and the engine reports
   calls.c    calls of a plain service and their tickets
   peers.c    entries, heartbeats
   docs.c     versions of the configuration and of the suspects
   drain.c    leaving and reclaim
   orders.c   what the engine should have loaded  */

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

#define CV_SWEEP_INTERVAL (200 * CV_MS)
/* Identifiers of streams that must not start any more are remembered.  */
#define CV_TOMBSTONE_AGE (600 * CV_SECOND)
#define CV_TOMBSTONES_MAX 65536
/* Tickets: generations remembered, most tickets, and
   most bytes of stored answers.  */
#define CV_GENERATIONS_KEPT 3
#define CV_TICKETS_MAX 100000
#define CV_RESULTS_BYTES (16u * 1024 * 1024)
#define CV_CALL_QUEUE_MAX 1024
/* A process that ran no tick for CV_PEER_TIMEOUT was frozen.  What lies in
   its socket then is of unknown age; after so long it has been read.  */
#define CV_WAKE_SETTLE (500 * CV_MS)
/* A document is not asked for again before this time.  */
#define CV_PULL_INTERVAL (1 * CV_SECOND)
/* A leaving side stays at least so long, so that work that was sent before
   the notice arrived is answered.  */
#define CV_DRAIN_MIN (1500 * CV_MS)
/* Streams end so long before the target is taken away.  */
#define CV_RECLAIM_MARGIN (500 * CV_MS)
/* Return time told with a rejection when nothing better is known.  */
#define CV_RETRY_DEFAULT_MS 1000

/* ---- outputs ---- */

typedef enum
{
  CV_OUT_SEND,          /* a message to an entry */
  CV_OUT_FORGET_PEER,   /* the entry is lost; its number is free again */
  CV_OUT_ENGINE_START,  /* start a stream at the engine */
  CV_OUT_ENGINE_PAUSE,  /* free its memory, keep its tokens */
  CV_OUT_ENGINE_RUN,    /* queue a paused stream again */
  CV_OUT_ENGINE_CANCEL, /* stop it; no more events of it are wanted */
  CV_OUT_SERVICE_CALL,  /* run a call at the service */
  CV_OUT_FETCH,         /* ask the weight store for leave to load */
  CV_OUT_ORDER          /* an order to the engine itself */
} cv_out_type_t;

/* A stream at the engine.  ID guards against a slot that was used again.  */
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
  cv_id_t call;  /* names the call in the event that ends it */
  cv_id_t nonce; /* of its ticket; zero for an idempotent call */
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
    uint32_t forget_peer;
    cv_engine_start_t start;
    cv_stream_ref_t stream; /* PAUSE, RUN, CANCEL */
    cv_service_call_t call;
    const cv_order_t *order; /* FETCH, ORDER */
  } u;
} cv_side_out_t;

typedef void (*cv_side_emit_t) (void *arg, const cv_side_out_t *out);

/* ---- tables ---- */

typedef struct
{
  bool used;
  char instance[CV_NAME_MAX]; /* "" until its HELLO */
  uint64_t incarnation;
  cv_time_t heard;
  cv_time_t greeted;  /* its last HELLO */
  cv_time_t reported; /* the last REPORT sent to it */
  uint32_t report_ms; /* interval of its HELLOs */
  cv_versions_t versions;
} cv_peer_t;

typedef enum
{
  CV_STREAM_WAITING, /* at the gate; nothing was run */
  CV_STREAM_RUNNING, /* at the engine */
  CV_STREAM_PAUSED,  /* at the engine, without memory */
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
  bool at_engine; /* was handed to the engine */
  bool suspect;   /* as the gate knows it */
  char account[CV_NAME_MAX];
  char model[CV_NAME_MAX];
  cv_length_key_t key;
  uint64_t content_hash;
  uint32_t priority;
  uint32_t max_tokens;
  cv_time_t deadline; /* to the first token */
  char *prompt;       /* owned */
  size_t prompt_size;
  uint32_t peer; /* reader, or CV_NO_PEER */
  uint32_t sent; /* offset of the next token for the reader */
  bool end_sent;
  cv_time_t idle; /* when it lost its reader, or ended */
  cv_end_t end;
  cv_buf_t text;       /* all tokens, one behind the other */
  uint32_t *token_end; /* where each token ends in the text */
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
  CV_CALL_BARRED /* revoked before it ran; never runs */
} cv_call_state_t;

/* A message that waits for a call's result.  */
typedef struct cv_waiter_t
{
  STAILQ_ENTRY (cv_waiter_t) link;
  uint32_t peer;
  cv_id_t request;
} cv_waiter_t;

typedef struct cv_call_t
{
  cv_idnode_t node; /* first member; the nonce, or the request when none */
  TAILQ_ENTRY (cv_call_t) link; /* in the queue, or among the finished */
  cv_call_state_t state;
  bool ticketed;
  uint32_t generation;
  char account[CV_NAME_MAX];
  char method[8];
  char *path; /* owned, as the next two; freed when the call has ended */
  char *request_type;
  char *request_body;
  size_t request_size;
  cv_time_t deadline;
  struct cv_waiter_list_t waiters;
  cv_outcome_t outcome; /* when DONE */
  uint32_t status;
  char *content_type; /* owned; NULL when none */
  char *body;         /* owned; NULL when dropped for room */
  size_t body_size;
  bool body_dropped;
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
  uint64_t seen;        /* newest version that any peer named */
  cv_time_t pulled;     /* time of the last DOC_PULL */
  cv_history_t history; /* steps between versions, of the configuration */
} cv_doc_state_t;

/* Counts since the start, for /metrics.  */
typedef struct
{
  uint64_t submits;
  uint64_t rejects;
  uint64_t tokens;
  uint64_t ends;
  uint64_t engine_losses;
  uint64_t preemptions;
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
  uint64_t incarnation; /* random, of this process */
  uint64_t kv_tokens;
  uint32_t max_batch;
  uint32_t max_calls;
  uint64_t buffer_bytes; /* of tokens, in all; 0: no bound */
  /* A stream that nobody reads is kept for so long, then cancelled; an
     ended one is kept for replay as long.  */
  cv_time_t resume;
  cv_time_t generation; /* life of a generation of tickets */
  cv_time_t drain;      /* longest wait for work in flight; 0: no bound */
  bool fetches;         /* a load needs leave of the weight store */
  uint64_t seed;        /* of jitter */
} cv_side_core_settings_t;

typedef struct
{
  cv_side_core_settings_t set;
  cv_side_emit_t emit;
  void *arg;
  int64_t wall_s; /* wall clock, of the last tick */

  cv_peer_t *peers; /* indexed by peer number */
  uint32_t peer_count;
  cv_time_t ticked; /* last tick */
  cv_time_t woke;   /* when it last went on after a freeze; 0: never */

  cv_idmap_t stream_ids;
  struct cv_stream_list_t streams;
  struct cv_stream_list_t dirty;
  uint64_t buffered; /* bytes of tokens that all streams hold */
  cv_time_t swept;   /* streams were last looked through for idle ones */
  cv_stream_t **slots;
  uint32_t slot_count;
  cv_idmap_t tombstone_ids;
  struct cv_tombstone_list_t tombstones; /* oldest first */

  cv_gate_t *gate;
  bool gate_due; /* what the gate decides by has changed */
  cv_length_t *lengths;
  cv_suspects_t *suspects;
  cv_load_t engine; /* as the engine reported it */
  cv_time_t engine_seen;
  bool backend_up;

  cv_idmap_t tickets;
  cv_idmap_t plain_calls;
  struct cv_call_list_t call_queue;
  struct cv_call_list_t calls_done; /* with a stored body, oldest first */
  uint32_t calls_queued;
  uint32_t calls_running;
  size_t result_bytes;
  uint32_t generation;
  cv_time_t generation_since;

  cv_doc_state_t doc[CV_DOC_COUNT];
  cv_config_t *config;    /* NULL before the first */
  uint32_t config_age_ms; /* at config_heard */
  cv_time_t config_heard;

  cv_orders_t orders;

  bool leaving;
  cv_time_t leave_since;
  cv_time_t reclaim_at; /* 0: no reclaim */

  cv_side_counts_t counts;
} cv_side_core_t;

/* ---- inputs ---- */

void cv_side_init (cv_side_core_t *c, cv_time_t now,
                   const cv_side_core_settings_t *set, cv_side_emit_t emit,
                   void *arg);
void cv_side_finish (cv_side_core_t *c);

/* A message of the entry with number PEER (small, dense).  */
void cv_side_message (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_t *msg);
/* The entry's connection is gone.  */
void cv_side_peer_lost (cv_side_core_t *c, cv_time_t now, uint32_t peer);
/* Every few 10 ms; WALL_S is the wall clock in seconds.  */
void cv_side_tick (cv_side_core_t *c, cv_time_t now, int64_t wall_s);
/* After each batch of inputs: ask the gate and send what is there.  */
void cv_side_flush (cv_side_core_t *c, cv_time_t now);

/* Token INDEX of a stream; one that does not follow the last is dropped.  */
void cv_side_token (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                    uint32_t index, cv_slice_t text);
/* The engine itself took the stream's memory; it will go on by itself.  */
void cv_side_preempted (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref);
/* The engine refused to start the stream: nothing was run, and the entry is
   told so.  */
void cv_side_engine_refused (cv_side_core_t *c, cv_time_t now,
                             cv_stream_ref_t ref, cv_reject_t reason);
/* The stream ended after TOTAL tokens.  */
void cv_side_stream_end (cv_side_core_t *c, cv_time_t now, cv_stream_ref_t ref,
                         cv_end_t end, uint32_t total);
/* The engine died with everything that it held.  */
void cv_side_engine_lost (cv_side_core_t *c, cv_time_t now);
void cv_side_engine_load (cv_side_core_t *c, cv_time_t now,
                          const cv_load_t *load);
/* The engine or service answers, or not.  */
void cv_side_backend_state (cv_side_core_t *c, cv_time_t now, bool up);

/* A call ended.  RAN is false when nothing was sent to the service.  */
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

/* The engine's answer to an order, or none.  FENCE is the one that a
   refusal (status 409) names.  */
typedef struct
{
  bool answered;
  uint32_t status;
  uint64_t fence;
} cv_order_end_t;

void cv_side_order_end (cv_side_core_t *c, cv_time_t now,
                        const cv_order_end_t *end);
/* The weight store gave leave, or not; RETRY_AFTER_MS is 0 when it named no
   time.  */
void cv_side_fetch_end (cv_side_core_t *c, cv_time_t now, bool granted,
                        uint32_t retry_after_ms);
/* The engine was started anew and holds nothing that was ordered.  */
void cv_side_engine_booted (cv_side_core_t *c);

/* Begin to drain; WITHIN > 0 is the time until the target is taken away.  */
void cv_side_leave (cv_side_core_t *c, cv_time_t now, cv_time_t within);
/* True when a leaving side holds nothing that must still be finished.  */
bool cv_side_drained (const cv_side_core_t *c, cv_time_t now);

/* ---- between the files of the core ---- */

void cv_side_send (cv_side_core_t *c, uint32_t peer, const cv_msg_t *msg);
void cv_side_reject (cv_side_core_t *c, uint32_t peer, cv_id_t id,
                     cv_reject_t reason, uint32_t retry_after_ms);
/* Whether new work of PEER for a target of KIND may be taken; false with why
   not in REASON.  */
bool cv_side_admits (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                     cv_pool_kind_t kind, uint64_t config_version,
                     uint64_t content_hash, cv_reject_t *reason);
cv_target_state_t cv_side_state (const cv_side_core_t *c);
void cv_side_load (const cv_side_core_t *c, cv_time_t now, cv_load_t *load);

void cv_peers_hear (cv_side_core_t *c, cv_time_t now, uint32_t peer);
void cv_peers_hello (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                     const cv_msg_hello_t *hello);
void cv_peers_tick (cv_side_core_t *c, cv_time_t now);
void cv_peers_report (cv_side_core_t *c, cv_time_t now, uint32_t peer);
void cv_peers_report_all (cv_side_core_t *c, cv_time_t now);
/* Note that the process was frozen, when it was.  */
void cv_peers_wake (cv_side_core_t *c, cv_time_t now);
/* Whether work from PEER is new: it sent a HELLO since this process went on
   after its last freeze.  */
bool cv_peers_fresh (const cv_side_core_t *c, uint32_t peer);
bool cv_peers_live (const cv_side_core_t *c, uint32_t peer);

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
cv_stream_t *cv_streams_at (cv_side_core_t *c, cv_stream_ref_t ref);
/* The stream is over: tell its reader and keep it for replay.  */
void cv_streams_end (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                     cv_end_t end);
/* Nothing of the stream was run and nothing will be.  */
void cv_streams_reject (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                        cv_reject_t reason, uint32_t retry_after_ms);
void cv_streams_mark (cv_side_core_t *c, cv_stream_t *s);

/* Queue a new stream at the gate; false when it cannot start in time.  */
bool cv_running_offer (cv_side_core_t *c, cv_time_t now, cv_stream_t *s,
                       uint32_t *retry_after_ms);
/* The stream left the gate; NATURAL as of cv_gate_ended.  */
void cv_running_ended (cv_side_core_t *c, cv_time_t now, const cv_stream_t *s,
                       bool natural);
/* Ask the gate when anything changed since the last time, or at a tick.  */
void cv_running_gate (cv_side_core_t *c, cv_time_t now);
/* The suspects changed: judge the streams anew.  */
void cv_running_review (cv_side_core_t *c, cv_time_t now);
void cv_engine_order (cv_side_core_t *c, cv_out_type_t type,
                      const cv_stream_t *s);

void cv_calls_init (cv_side_core_t *c, cv_time_t now);
void cv_calls_finish (cv_side_core_t *c);
void cv_calls_call (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                    const cv_msg_call_t *m);
void cv_calls_revoke (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      const cv_msg_revoke_t *m);
void cv_calls_tick (cv_side_core_t *c, cv_time_t now);
void cv_calls_run (cv_side_core_t *c, cv_time_t now);
/* The target is taken away: reject what is queued and, when LAST, answer
   what still runs as unknown.  */
void cv_calls_reclaim (cv_side_core_t *c, cv_time_t now, bool last);

void cv_docs_finish (cv_side_core_t *c);
void cv_docs_versions (const cv_side_core_t *c, cv_time_t now,
                       cv_versions_t *out);
void cv_docs_heard (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                    const cv_versions_t *v);
/* A message decided under VERSION came from PEER; false when it is older
   than what this side knows of.  */
bool cv_docs_admit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                    uint64_t version);
void cv_docs_pull (cv_side_core_t *c, uint32_t peer,
                   const cv_msg_doc_pull_t *m);
void cv_docs_doc (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                  const cv_msg_doc_t *m);
/* The suspects changed here.  */
void cv_docs_suspects_changed (cv_side_core_t *c, cv_time_t now);

void cv_orders_init (cv_side_core_t *c, cv_time_t now);
void cv_orders_finish (cv_side_core_t *c);
void cv_orders_tick (cv_side_core_t *c, cv_time_t now);

void cv_drain_tick (cv_side_core_t *c, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
