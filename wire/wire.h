/* Messages between the processes of catkinvale, encoded with msgpack: between
   entry and side over ZeroMQ, one message per frame, and between gateway and
   observer over UDP, one message per datagram.  An entry and a gateway each
   accept callers' requests.  A side runs beside one target and executes the
   requests that entries send; an observer runs beside one engine and grants its
   memory to gateways.  docs/MESSAGES.md describes the protocol.

   A generation is one output of a model; its id is called `stream` between
   entry and side and `run` between gateway and observer.  A ticket generation
   is a version of a side's table of used tickets.  */

#ifndef CV_WIRE_H
#define CV_WIRE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Version of the encoding; messages of other versions are dropped.  */
#define CV_WIRE_VERSION 1

/* Maximum number of tokens in one CV_MSG_TOKENS.  */
#define CV_TOKENS_MAX 64

/* Maximum size of a prompt, call body or document, in bytes.  */
#define CV_BODY_MAX (4u * 1024 * 1024)

/* Single-use permission to run one non-idempotent call.  A ticket is bound to
   one epoch of one side: an INCARNATION of the side process and a ticket
   GENERATION, which is a version of its table of used tickets.  Only that side
   may run the call, and only while its table still covers the epoch.  */
typedef struct
{
  char target[CV_NAME_MAX]; /* target of the side */
  uint64_t incarnation;     /* random number of the side process */
  uint32_t generation;      /* ticket generation; increases every few
                               minutes */
  cv_id_t nonce;            /* identifies the call */
} cv_ticket_t;

/* Size of the text of a ticket or a position: a name with its null byte, 16
   hexadecimal digits, 10 decimal digits, 32 hexadecimal digits, 3 separators
   and a spare byte.  */
#define CV_TICKET_TEXT (CV_NAME_MAX + 16 + 10 + 32 + 4)
const char *cv_ticket_format (const cv_ticket_t *t, char text[CV_TICKET_TEXT]);
bool cv_ticket_parse (cv_ticket_t *t, cv_slice_t text);

/* Position in the output of one generation; sent as the id of an SSE event.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t incarnation;
  cv_id_t stream;
  uint32_t offset; /* index, in the generation, of the event's token */
} cv_position_t;

const char *cv_position_format (const cv_position_t *p,
                                char text[CV_TICKET_TEXT]);
bool cv_position_parse (cv_position_t *p, cv_slice_t text);

/* Result of a request as reported to its caller.  */
typedef enum
{
  CV_OUTCOME_DONE,       /* completed; the response is complete */
  CV_OUTCOME_REFUSED,    /* not accepted and not run: limit, overload or
                            invalid input */
  CV_OUTCOME_NOT_RUN,    /* accepted, but was not run and never will be */
  CV_OUTCOME_UNKNOWN,    /* may have run */
  CV_OUTCOME_INTERRUPTED /* the response ended early and cannot be resumed */
} cv_outcome_t;

const char *cv_outcome_name (cv_outcome_t outcome);

/* Why a side rejected a message; the message has started nothing.  The entry
   retries elsewhere or derives the caller's cv_outcome_t from the reason.  */
typedef enum
{
  CV_REJECT_DRAINING = 1, /* the target is draining: no new work, or a waiting
                             request cannot complete before the stop */
  CV_REJECT_OLD_CONFIG,   /* the sender's configuration is older than the side's
                           */
  CV_REJECT_OLD_EPOCH,    /* the side's epoch (incarnation and ticket
                             generation) has changed: SUBMIT or ATTACH for
                             another incarnation.  A CALL with a ticket of
                             another epoch gets a CALL_RESULT instead */
  CV_REJECT_NO_MEMORY,    /* no memory becomes free within the deadline; for a
                             call also: its deadline passed in the queue, or
                             the queue or a table is full */
  CV_REJECT_QUARANTINED,  /* the content is quarantined: it has crashed targets
                           */
  CV_REJECT_NOT_FOUND,    /* no such stream or call for this account, or the
                             stream has already ended or has fewer tokens */
  CV_REJECT_ENGINE        /* the engine or service is unreachable, rejects the
                             request or is of the other kind, or the side was
                             suspended and has received no HELLO since */
} cv_reject_t;

/* Why a stream ended at its side.  */
typedef enum
{
  CV_END_STOP = 1,    /* the model ended its output */
  CV_END_LENGTH,      /* max_tokens reached */
  CV_END_CANCELLED,   /* cancelled, by the entry or at the engine */
  CV_END_ENGINE_LOST, /* the engine crashed, or its output has missing
                         tokens or ended early; the rest is lost */
  CV_END_RECLAIMED    /* ended by the side: the target stops before the
                         stream can complete, or the content was quarantined
                         while the stream was running */
} cv_end_t;

/* State of a target as its side sees it.  */
typedef enum
{
  CV_TARGET_STATE_LIVE = 1,
  CV_TARGET_STATE_DRAINING,
  CV_TARGET_STATE_DOWN /* the engine or service does not respond */
} cv_target_state_t;

/* Documents of which every process keeps the newest version that it accepted.
 */
typedef enum
{
  CV_DOC_CONFIG = 0,
  CV_DOC_SUSPECTS = 1, /* suspect and quarantined content, after crashes */
  CV_DOC_COUNT
} cv_doc_t;

/* Load report of a target, part of the REPORTs of its side, which answer the
   HELLOs of an entry.  */
typedef struct
{
  uint32_t running;     /* streams that occupy KV cache */
  uint32_t waiting;     /* streams in the side's admission queue */
  uint64_t kv_used;     /* KV cache that the engine reports as in use, tokens */
  uint64_t kv_total;    /* KV cache of the engine, tokens */
  uint64_t kv_promised; /* further KV cache that admitted streams are expected
                           to need, tokens */
  uint64_t preemptions; /* since the engine started */
  uint32_t token_us;    /* current time per token of one stream */
  uint32_t age_ms;      /* age of the engine's measurements */
} cv_load_t;

/* Shortest interval of periodic HELLOs and REPORTs; an entry with many targets
   uses a longer one and states it in its HELLO.  */
#define CV_REPORT_INTERVAL (500 * CV_MS)
/* Minimum silence after which a peer is treated as lost.  */
#define CV_PEER_TIMEOUT (3 * CV_SECOND)

/* Silence after which a peer that sends a HELLO or REPORT every REPORT_MS is
   treated as lost: three intervals, at least CV_PEER_TIMEOUT.  */
cv_time_t cv_peer_timeout (uint32_t report_ms);

typedef enum
{
  /* entry to side (HELLO), side to entry (REPORT), both (DOC_PULL, DOC) */
  CV_MSG_HELLO = 1, /* first message and heartbeat from an entry */
  CV_MSG_REPORT,    /* first message and heartbeat from a side */
  CV_MSG_DOC_PULL,
  CV_MSG_DOC,
  /* entry to side */
  CV_MSG_SUBMIT,
  CV_MSG_ATTACH,
  CV_MSG_DETACH,
  CV_MSG_CANCEL,
  CV_MSG_CALL,
  CV_MSG_REVOKE,
  /* side to entry */
  CV_MSG_ACCEPTED,
  CV_MSG_REJECTED,
  CV_MSG_TOKENS,
  CV_MSG_END,
  CV_MSG_CALL_RESULT,
  /* observer to gateway */
  CV_MSG_ENGINE_LOAD,
  /* gateway to observer and back */
  CV_MSG_MOVE, /* migration lease */
  CV_MSG_ROOM, /* reservation */
  /* gateway to gateway */
  CV_MSG_RATE,   /* limit of a target, and permits to send to it */
  CV_MSG_ORIGIN, /* which software version began a stream */
  CV_MSG_PAGE,   /* an answer of the store, handed on */
  CV_MSG_SHARE,  /* the sender's work at engines */
  CV_MSG_LAST
} cv_msg_type_t;

/* Document versions that the sender has; part of every HELLO and REPORT.  */
typedef struct
{
  uint64_t version[CV_DOC_COUNT];
  uint32_t age_ms; /* time since the store confirmed the configuration's
                      version; a process that has it from another one adds
                      its own time to that one's age.  UINT32_MAX: never */
} cv_doc_versions_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  uint64_t incarnation; /* random number of the entry process */
  uint32_t report_ms;   /* interval of the entry's HELLOs and of REPORTs */
  cv_doc_versions_t versions;
} cv_msg_hello_t;

typedef struct
{
  char target[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  uint64_t incarnation;
  uint32_t generation; /* current ticket generation */
  cv_target_state_t state;
  cv_load_t load;
  cv_doc_versions_t versions;
} cv_msg_report_t;

/* How short an engine is of KV cache.  */
typedef enum
{
  CV_PRESSURE_NONE = 1,
  CV_PRESSURE_FULL,         /* has compute for another prompt, but no memory */
  CV_PRESSURE_OVERCOMMITTED /* memory runs out soon unless a generation is
                               migrated */
} cv_memory_pressure_t;

/* Highest pace in a load report.  */
#define CV_PACE_PERMILLE_MAX 100000

/* Load report of one engine, sent by the observer on its machine.  Memory is in
   tokens of KV cache.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t started_ms;     /* Unix time of the engine's start */
  uint64_t sequence;       /* increases with each message of one observer */
  uint32_t gateways;       /* number of gateways that receive this report */
  bool draining;           /* the engine takes no new requests */
  uint32_t leaves_ms;      /* time until the draining engine stops, 0: not
                              known */
  uint32_t running;        /* requests in the engine's batch */
  uint32_t prefilling;     /* of these, requests without output yet */
  uint32_t waiting;        /* requests in the engine's queue */
  uint32_t waiting_tokens; /* prompt length of the first queued request */
  uint64_t kv_used;        /* KV cache that cannot be evicted; includes
                              kv_copies */
  uint64_t kv_total;
  uint64_t kv_copies; /* copies held for generations of other engines */
  uint64_t kv_peak;   /* expected peak demand of the engine's generations */
  /* Prompt tokens of new requests with a reservation that the engine does not
     report as running yet.  */
  uint64_t prefill_backlog;
  cv_memory_pressure_t memory_pressure;
  bool failing; /* too many recent generations failed at this engine */
  /* Its time per step in thousandths of a nominal engine's, usually and in its
     slow phases, and whether it is in one (policy/pace.h).  All three are sent
     unless they and the field after them are 0: then the pace is not known or
     about nominal.  */
  uint32_t pace_permille;
  uint32_t worst_pace_permille;
  bool is_slow;
  /* Left of its warm-up, as it stated; sent, after the pace, if not 0.  */
  uint32_t warmup_ms;
} cv_msg_engine_load_t;

/* Size of a gateway's id of a generation (`run`), including the terminating
   null byte.  */
#define CV_RUN_MAX 128

/* Steps of a migration lease.  It is granted by the engine's observer, or by a
   gateway if there is no observer.  */
typedef enum
{
  CV_LEASE_REQUESTED = 1, /* to the granter, repeated until granted */
  CV_LEASE_GRANTED,       /* reply */
  CV_LEASE_RELEASED,      /* to the granter: migrated, or no longer needed */
  CV_LEASE_WAITS          /* reply of a gateway: another run has the lease */
} cv_lease_step_t;

/* Steps of a reservation.  */
typedef enum
{
  CV_RESERVATION_REQUESTED = 1, /* gateway to observer */
  CV_RESERVATION_GRANTED,  /* observer to gateway: the request can be sent */
  CV_RESERVATION_REJECTED, /* observer to gateway: not now; the gateway can
                              retry */
  CV_RESERVATION_RUN_COMPLETED, /* gateway to observer: the generation completed
                                 */
  CV_RESERVATION_RUN_FAILED,    /* gateway to observer: the engine failed it */
  CV_RESERVATION_RELEASED       /* gateway to observer: not sent, or ended */
} cv_reservation_step_t;

/* Purpose of a reservation.  */
typedef enum
{
  CV_RESERVE_NEW = 1, /* a new generation */
  CV_RESERVE_LATE, /* a late request: its latency objective is already missed */
  CV_RESERVE_BALANCE, /* migration off a full engine to make space for others */
  CV_RESERVE_RESCUE   /* migration off an engine that stops or lacks memory */
} cv_reservation_purpose_t;

/* ROOM, the name on the wire of a reservation of an engine's KV cache for one
   request.  */
typedef struct
{
  char target[CV_NAME_MAX];
  char run[CV_RUN_MAX];
  cv_reservation_step_t step;
  cv_reservation_purpose_t purpose;
  uint32_t prompt_tokens;
  uint32_t produced; /* output tokens so far, for a migration */
  uint32_t expected; /* total output that is not exceeded with a probability
                        of one half, tokens */
  uint32_t limit;    /* maximum of the total output, tokens */
  /* Of a service whose routes differ in urgency; left out otherwise, as
     observers of earlier versions do not know them.  */
  bool has_rank;
  uint32_t rank;       /* 0 is the most urgent */
  uint32_t in_time_ms; /* left until the last start within the objective */
  uint32_t left_ms;    /* the same for the deadline */
} cv_msg_reservation_t;

/* MOVE, the name on the wire of a migration lease of one engine.  An engine has
   one lease, because its network carries one migration at a time.  */
typedef struct
{
  char target[CV_NAME_MAX];
  char run[CV_RUN_MAX];
  cv_lease_step_t step;
  uint64_t tokens; /* KV cache of the generation */
} cv_msg_migration_lease_t;

/* Steps about the limit of a target.  */
typedef enum
{
  CV_RATE_NAMED = 1,  /* to all: the target named another limit, or none */
  CV_RATE_KEEPER,     /* to all: the sender counts the target's requests */
  CV_RATE_LEFT,       /* to all: it does not any longer */
  CV_RATE_ASKED,      /* to the keeper: a permit for one request */
  CV_RATE_GRANTED,    /* reply of the keeper */
  CV_RATE_REFUSED,    /* reply of the keeper */
  CV_RATE_REDIRECTED, /* reply of another gateway: KEEPER counts */
  CV_RATE_RETURNED    /* to the giver of a permit: it was not used */
} cv_rate_step_t;

/* RATE: the limit of a target, as its sender knows it, and one step.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t started_ms; /* Unix time of the target's start */
  cv_rate_step_t step;
  bool is_limited;
  uint64_t micro_per_s;    /* of IS_LIMITED: millionths of a request a second */
  uint64_t age_us;         /* of the newest evidence for this */
  uint64_t number;         /* of a request for a permit, and in its reply */
  uint32_t priority;       /* of CV_RATE_ASKED, 0 the most urgent */
  uint64_t wait_us;        /* of CV_RATE_REFUSED: until a permit is likely */
  uint32_t keeper_address; /* of CV_RATE_REDIRECTED: IPv4, host byte order */
  uint32_t keeper_port;
} cv_msg_rate_t;

typedef enum
{
  CV_ORIGIN_RECORDED = 1, /* to some: keep this record */
  CV_ORIGIN_ASKED,        /* to all: a caller takes the stream up */
  CV_ORIGIN_KNOWN,        /* reply */
  CV_ORIGIN_UNKNOWN       /* reply */
} cv_origin_step_t;

/* ORIGIN: the software version that began a stream.  */
typedef struct
{
  cv_origin_step_t step;
  uint64_t key; /* of the stream */
  /* Of RECORDED and KNOWN.  Of UNKNOWN, the one version of the service that the
     sender has known for the life of a stream, 0 if it knows of none.  */
  uint64_t version;
  uint64_t number;           /* of a question, and in its replies */
  char service[CV_NAME_MAX]; /* of RECORDED and ASKED */
  bool is_mixed; /* of replies: several versions of the service served lately */
} cv_msg_origin_t;

/* Objects that gateways read for each other.  */
typedef enum
{
  CV_PAGE_CONFIGURATION = 1,
  CV_PAGE_INSTANCES,
  CV_PAGE_EVACUATIONS
} cv_page_kind_t;

/* PAGE: the store's changes between two revisions, as one gateway has read
   them.  Of evacuations, which are few, the whole list: FROM is 0.  */
typedef struct
{
  cv_page_kind_t kind;
  bool has_era;
  uint64_t era;  /* of HAS_ERA: of the store */
  uint64_t from; /* the changes after this revision */
  uint64_t to;   /* up to this one */
  /* A removal may be an entry that expired while the store was unreachable.  */
  bool may_have_expired;
  cv_slice_t body;  /* the store's answer; empty: not sent, as it has changes
                       that are read from the store only, or is too long */
  uint64_t late_ms; /* by which the answer reached the reader late */
} cv_msg_page_t;

/* Most engines in one SHARE.  */
#define CV_SHARES_MAX 32
/* Items of the array of shares for each of them.  */
#define CV_SHARE_ITEMS 4

/* What one gateway has at an engine: memory expected at the end of its
   requests, and their prompts that are still to be prefilled, in tokens.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t tokens;
  uint64_t prefill_tokens;
  uint32_t requests;
} cv_share_t;

/* SHARE: the sender's work at the engines that have no observer.  It has none
   at those that are absent, or less than at these.  */
typedef struct
{
  uint64_t sequence; /* increases with each message of the sender */
  uint32_t count;
  cv_share_t share[CV_SHARES_MAX];
} cv_msg_share_t;

typedef struct
{
  cv_doc_t doc;
  uint64_t have; /* version that the sender has, 0: none */
} cv_msg_doc_pull_t;

/* A complete document, or the change from version BASE to VERSION.  */
typedef struct
{
  cv_doc_t doc;
  uint64_t version;
  uint64_t base;   /* 0: BODY is the complete document */
  cv_slice_t body; /* JSON, or a JSON merge patch */
} cv_msg_doc_t;

/* Starts a generation identified by STREAM.  A second SUBMIT of the same stream
   refers to the same generation and never starts another one.  */
typedef struct
{
  cv_id_t stream;
  uint64_t incarnation;    /* incarnation of the side that is addressed */
  uint64_t config_version; /* version that the entry's decision is based on */
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX]; /* class of the request in the configuration */
  char model[CV_NAME_MAX];
  uint32_t priority;     /* higher values first */
  uint32_t max_tokens;   /* 0: the model's limit */
  uint32_t deadline_ms;  /* remaining time to the first token */
  uint32_t expect;       /* expected output length, tokens */
  uint64_t content_hash; /* of account, model and prompt */
  cv_slice_t prompt;
} cv_msg_submit_t;

/* Requests that the side sends the stream's tokens from OFFSET on to this
   entry.  */
typedef struct
{
  cv_id_t stream;
  uint64_t incarnation;
  uint32_t offset;
  char account[CV_NAME_MAX];
} cv_msg_attach_t;

/* DETACH: the stream has no reader at present; keep it so that it can resume.
   CANCEL: the stream is no longer needed; stop the generation.  */
typedef struct
{
  cv_id_t stream;
} cv_msg_stream_t;

/* Runs a call of a plain service (a target that is not an engine), at most once
   per ticket.  A ticket with a
   zero nonce marks an idempotent call.  */
typedef struct
{
  cv_id_t request; /* identifies the result of this attempt */
  cv_ticket_t ticket;
  uint64_t config_version;
  char account[CV_NAME_MAX];
  char method[8];
  cv_slice_t path;
  cv_slice_t content_type;
  cv_slice_t body;
  uint32_t deadline_ms; /* remaining time to the result */
  uint64_t content_hash;
} cv_msg_call_t;

/* Invalidates a ticket, so that the side never runs its call.  The reply is a
   CALL_RESULT with NOT_RUN, or with the outcome if the ticket was already
   used.  */
typedef struct
{
  cv_id_t request;
  cv_ticket_t ticket;
  char account[CV_NAME_MAX];
} cv_msg_revoke_t;

typedef struct
{
  cv_id_t stream;
} cv_msg_accepted_t;

/* Reply to SUBMIT, ATTACH or CALL: nothing was run, and that message will not
   cause anything to run later.  */
typedef struct
{
  cv_id_t id; /* stream, or request of a call */
  cv_reject_t reason;
  uint32_t retry_after_ms;
} cv_msg_rejected_t;

typedef struct
{
  cv_id_t stream;
  uint32_t offset; /* index of the first token */
  uint32_t count;
  cv_slice_t token[CV_TOKENS_MAX];
} cv_msg_tokens_t;

typedef struct
{
  cv_id_t stream;
  cv_end_t end;
  uint32_t total; /* number of tokens of the generation */
} cv_msg_end_t;

typedef struct
{
  cv_id_t request;
  cv_outcome_t outcome; /* DONE, NOT_RUN or UNKNOWN */
  uint32_t status;      /* HTTP status when DONE */
  bool replayed;        /* this is the result of an earlier attempt */
  cv_slice_t content_type;
  cv_slice_t body;
} cv_msg_call_result_t;

/* One message.  Its slices point into the frame it was decoded from.  */
typedef struct
{
  cv_msg_type_t type;
  union
  {
    cv_msg_hello_t hello;
    cv_msg_report_t report;
    cv_msg_doc_pull_t doc_pull;
    cv_msg_doc_t doc;
    cv_msg_submit_t submit;
    cv_msg_attach_t attach;
    cv_msg_stream_t stream; /* DETACH, CANCEL */
    cv_msg_call_t call;
    cv_msg_revoke_t revoke;
    cv_msg_accepted_t accepted;
    cv_msg_rejected_t rejected;
    cv_msg_tokens_t tokens;
    cv_msg_end_t end;
    cv_msg_call_result_t call_result;
    cv_msg_engine_load_t engine_load;
    cv_msg_migration_lease_t migration_lease;
    cv_msg_reservation_t reservation;
    cv_msg_rate_t rate;
    cv_msg_origin_t origin;
    cv_msg_page_t page;
    cv_msg_share_t share;
  } u;
} cv_msg_t;

/* Appends the encoding of MSG to OUT.  */
void cv_msg_encode (const cv_msg_t *msg, cv_buf_t *out);

/* Decodes one frame; false with ERR unless it is one complete, valid message.
   DATA must outlive MSG.  */
bool cv_msg_decode (cv_msg_t *msg, const void *data, size_t n, cv_error_t *err);

const char *cv_msg_name (cv_msg_type_t type);

#ifdef __cplusplus
}
#endif

#endif
