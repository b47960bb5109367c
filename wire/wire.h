/* Messages between the processes of catkinvale (entry and side), encoded
   with msgpack and carried by ZeroMQ, one message a frame.
   docs/MESSAGES.md describes the protocol.  */

#ifndef CV_WIRE_H
#define CV_WIRE_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Version of the encoding; a message of another version is dropped.  */
#define CV_WIRE_VERSION 1

/* Most tokens that one CV_MSG_TOKENS carries.  */
#define CV_TOKENS_MAX 64

/* Longest prompt, call body or document, in bytes.  */
#define CV_BODY_MAX (4u * 1024 * 1024)

/* Permission to run one non-idempotent call, bound to one epoch of one side:
   an INCARNATION of the side process and a GENERATION of its memory of used
   tickets.  Only that side may run it, only while it remembers the epoch.  */
typedef struct
{
  char target[CV_NAME_MAX]; /* target whose side issued the epoch */
  uint64_t incarnation;     /* random number of the side process */
  uint32_t generation;      /* advances every few minutes */
  cv_id_t nonce;            /* names the call */
} cv_ticket_t;

#define CV_TICKET_TEXT (CV_NAME_MAX + 16 + 10 + 32 + 4)
const char *cv_ticket_format (const cv_ticket_t *t, char text[CV_TICKET_TEXT]);
bool cv_ticket_parse (cv_ticket_t *t, cv_slice_t text);

/* Position in one generation: what an SSE event's id names.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t incarnation;
  cv_id_t stream;
  uint32_t offset; /* index of the token that the event carries */
} cv_position_t;

const char *cv_position_format (const cv_position_t *p,
                                char text[CV_TICKET_TEXT]);
bool cv_position_parse (cv_position_t *p, cv_slice_t text);

/* How a request ended, as told to its caller; a closed set.  */
typedef enum
{
  CV_OUTCOME_DONE,       /* ran to its end; the answer is whole */
  CV_OUTCOME_REFUSED,    /* not run: a limit, overload or bad input */
  CV_OUTCOME_NOT_RUN,    /* accepted, but it did not run and never will */
  CV_OUTCOME_UNKNOWN,    /* it may have run */
  CV_OUTCOME_INTERRUPTED /* the answer is cut and will not go on */
} cv_outcome_t;

const char *cv_outcome_name (cv_outcome_t outcome);

/* Why a side did not take a piece of work; in each case nothing was run.  */
typedef enum
{
  CV_REJECT_LEAVING = 1, /* the target is being drained */
  CV_REJECT_OLD_CONFIG,  /* the sender's configuration is older */
  CV_REJECT_OLD_EPOCH,   /* meant for another incarnation of the side */
  CV_REJECT_FULL,        /* no room within the deadline */
  CV_REJECT_CONDEMNED,   /* the content has crashed targets */
  CV_REJECT_NOT_FOUND,   /* no such stream, or not of this account */
  CV_REJECT_ENGINE       /* the target is not reachable from its side */
} cv_reject_t;

/* How a stream ended at its side.  */
typedef enum
{
  CV_END_STOP = 1,    /* the model finished */
  CV_END_LENGTH,      /* max_tokens reached */
  CV_END_CANCELLED,   /* cancelled by the caller's side */
  CV_END_ENGINE_LOST, /* the engine died; its remaining tokens are gone */
  CV_END_RECLAIMED    /* the target is taken away before the end */
} cv_end_t;

/* State of a target as its side knows it.  */
typedef enum
{
  CV_TARGET_LIVE = 1,
  CV_TARGET_LEAVING,
  CV_TARGET_DOWN /* the engine or service does not answer */
} cv_target_state_t;

/* Documents that every process holds in their newest accepted version.  */
typedef enum
{
  CV_DOC_CONFIG = 0,
  CV_DOC_SUSPECTS = 1,
  CV_DOC_COUNT
} cv_doc_t;

/* Load of a target, as its side reports it every CV_REPORT_INTERVAL.  */
typedef struct
{
  uint32_t running;     /* streams that hold memory */
  uint32_t waiting;     /* streams held at the side's gate */
  uint64_t kv_used;     /* tokens of memory in use */
  uint64_t kv_total;    /* tokens of memory in all */
  uint64_t kv_promised; /* expected further use of admitted streams */
  uint64_t preemptions; /* since the engine's start */
  uint32_t token_us;    /* present time per token of one stream */
  uint32_t age_ms;      /* age of the engine's own figures */
} cv_load_t;

#define CV_REPORT_INTERVAL (500 * CV_MS)
/* A peer that was silent for so long is treated as lost.  */
#define CV_PEER_TIMEOUT (3 * CV_SECOND)

/* Silence after which a peer is lost, with HELLOs every REPORT_MS.  */
cv_time_t cv_peer_timeout (uint32_t report_ms);

typedef enum
{
  /* both directions */
  CV_MSG_HELLO = 1, /* first message and heartbeat of an entry */
  CV_MSG_REPORT,    /* first message and heartbeat of a side */
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
  /* both directions */
  CV_MSG_MOVE,
  CV_MSG_ROOM,
  CV_MSG_LAST
} cv_msg_type_t;

/* Versions that the sender holds; in every HELLO and REPORT.  */
typedef struct
{
  uint64_t version[CV_DOC_COUNT];
  uint32_t age_ms; /* since the store confirmed the configuration's version,
                      summed over hops; UINT32_MAX when never */
} cv_versions_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  uint64_t incarnation;
  uint32_t report_ms; /* interval at which this entry wants REPORTs */
  cv_versions_t versions;
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
  cv_versions_t versions;
} cv_msg_report_t;

/* How short an engine's memory is.  */
typedef enum
{
  CV_STRAIN_NONE = 1,
  CV_STRAIN_FULL,   /* it could read one more prompt, which does not fit */
  CV_STRAIN_CROWDED /* memory runs out soon unless a run leaves */
} cv_strain_t;

/* Load of one engine, as its observer sees it beside it.  Memory is in
   tokens.  */
typedef struct
{
  char target[CV_NAME_MAX];
  uint64_t started_ms; /* Unix time of the engine's start */
  uint64_t sequence;   /* grows with each message of one observer */
  uint32_t gateways;   /* that get these messages */
  bool leaving;
  uint32_t leaves_ms;      /* time until it ends, 0: not known */
  uint32_t running;        /* requests in its batch */
  uint32_t reading;        /* of them without an event yet */
  uint32_t waiting;        /* requests in its queue */
  uint32_t waiting_tokens; /* of the first one's prompt */
  uint64_t kv_used;        /* memory that cannot yield, with copies */
  uint64_t kv_total;
  uint64_t kv_copies; /* of runs of other engines */
  uint64_t kv_peak;   /* most memory that its runs are expected to need */
  uint64_t unread;    /* tokens of prompts still to be read */
  cv_strain_t strain;
  bool failing; /* too many runs failed there of late */
} cv_msg_engine_load_t;

/* Longest name of a run, with its null byte.  */
#define CV_RUN_MAX 128

typedef enum
{
  CV_TURN_WANTED = 1, /* gateway to observer, again until it is granted */
  CV_TURN_GRANTED,    /* observer to gateway */
  CV_TURN_OVER        /* gateway to observer: moved, or not to be moved */
} cv_turn_t;

typedef enum
{
  CV_ROOM_ASKED = 1, /* gateway to observer */
  CV_ROOM_GRANTED,   /* observer to gateway: the request may be sent */
  CV_ROOM_REFUSED,   /* observer to gateway: another engine, or later */
  CV_ROOM_SERVED,    /* gateway to observer: the run has ended well */
  CV_ROOM_FAILED,    /* gateway to observer: the engine failed the run */
  CV_ROOM_RELEASED   /* gateway to observer: will not come, or has ended */
} cv_room_step_t;

/* What room in an engine's memory is for.  */
typedef enum
{
  CV_ROOM_NEW = 1, /* a new run */
  CV_ROOM_LATE,    /* a new run whose objective is missed already */
  CV_ROOM_BALANCE, /* a run that leaves a full engine, so that others fit */
  CV_ROOM_RESCUE   /* a run whose engine ends or runs out of memory */
} cv_room_purpose_t;

/* Room in an engine's memory for one request.  */
typedef struct
{
  char target[CV_NAME_MAX];
  char run[CV_RUN_MAX];
  cv_room_step_t step;
  cv_room_purpose_t purpose;
  uint32_t prompt_tokens;
  uint32_t produced; /* output so far, of a run that moves */
  uint32_t expected; /* median of its output in all */
  uint32_t limit;    /* of its output in all */
} cv_msg_room_t;

/* Turns to move runs off one engine, whose link carries one after the
   other.  */
typedef struct
{
  char target[CV_NAME_MAX];
  char run[CV_RUN_MAX];
  cv_turn_t turn;
  uint64_t tokens; /* memory of the run */
} cv_msg_move_t;

typedef struct
{
  cv_doc_t doc;
  uint64_t have; /* version that the sender holds, 0: none */
} cv_msg_doc_pull_t;

/* A whole document, or the step from version BASE to VERSION.  */
typedef struct
{
  cv_doc_t doc;
  uint64_t version;
  uint64_t base;   /* 0: BODY is the whole document */
  cv_slice_t body; /* JSON, or a JSON merge patch */
} cv_msg_doc_t;

/* Start a generation.  STREAM names it; a second SUBMIT of the same stream
   is the same generation and never starts another one.  */
typedef struct
{
  cv_id_t stream;
  uint64_t incarnation;    /* side that is meant */
  uint64_t config_version; /* under which the entry decided */
  char account[CV_NAME_MAX];
  char class_name[CV_NAME_MAX];
  char model[CV_NAME_MAX];
  uint32_t priority;     /* higher goes first */
  uint32_t max_tokens;   /* 0: the model's own limit */
  uint32_t deadline_ms;  /* remaining time to the first token */
  uint32_t expect;       /* expected output length, tokens */
  uint64_t content_hash; /* of account, model and prompt */
  cv_slice_t prompt;
} cv_msg_submit_t;

/* Send the stream's tokens from OFFSET to this entry from now on.  */
typedef struct
{
  cv_id_t stream;
  uint64_t incarnation;
  uint32_t offset;
  char account[CV_NAME_MAX];
} cv_msg_attach_t;

/* DETACH: nobody reads for now, keep it for a resume.
   CANCEL: nobody will read; stop the generation.  */
typedef struct
{
  cv_id_t stream;
} cv_msg_stream_t;

/* Run a call of a plain service.  With a ticket at most once; a ticket with
   a zero nonce marks an idempotent call.  */
typedef struct
{
  cv_id_t request; /* names this attempt's answer */
  cv_ticket_t ticket;
  uint64_t config_version;
  char account[CV_NAME_MAX];
  char method[8];
  cv_slice_t path;
  cv_slice_t content_type;
  cv_slice_t body;
  uint32_t deadline_ms;
  uint64_t content_hash;
} cv_msg_call_t;

/* Bar a ticket: from now on it never runs here.  Answered by CALL_RESULT
   with NOT_RUN, or with what happened when it was used before.  */
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

/* Answer to SUBMIT, ATTACH or CALL: nothing was run and the named work never
   will be by that message.  */
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
  uint32_t total; /* tokens of the whole generation */
} cv_msg_end_t;

typedef struct
{
  cv_id_t request;
  cv_outcome_t outcome; /* DONE, NOT_RUN or UNKNOWN */
  uint32_t status;      /* HTTP status when DONE */
  bool replayed;        /* the result of an earlier attempt */
  cv_slice_t content_type;
  cv_slice_t body;
} cv_msg_call_result_t;

/* One message; slices point into the frame that it was decoded from.  */
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
    cv_msg_move_t move;
    cv_msg_room_t room;
  } u;
} cv_msg_t;

/* Append the encoding of MSG to OUT.  */
void cv_msg_encode (const cv_msg_t *msg, cv_buf_t *out);

/* Decode one frame; false when it is not a whole, valid message.  DATA must
   outlive MSG.  */
bool cv_msg_decode (cv_msg_t *msg, const void *data, size_t n, cv_error_t *err);

const char *cv_msg_name (cv_msg_type_t type);

#ifdef __cplusplus
}
#endif

#endif
