/* Exchanges: one request of a caller, and the attempts to serve it.  */

#ifndef CV_GATEWAY_EXCHANGE_H
#define CV_GATEWAY_EXCHANGE_H

#include "gateway/events.h"
#include "gateway/evidence.h"
#include "gateway/limit.h"
#include "gateway/version.h"
#include "http/link.h"
#include "platform/platform.h"
#include "policy/answer.h"
#include "policy/output.h"
#include "policy/policy.h"
#include "policy/shortage.h"
#include "policy/stream_end.h"
#include "policy/urgency.h"
#include "routing/routing.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_client_t cv_client_t;
typedef struct cv_migration_t cv_migration_t;
typedef struct cv_service_state_t cv_service_state_t;

/* Why a connection of a caller ends.  */
typedef enum
{
  CV_CLOSE_BY_CALLER = 1, /* closed or reset by its caller */
  CV_CLOSE_NOT_READ,      /* the caller reads nothing of its response */
  CV_CLOSE_MEMORY,        /* its unread response takes memory that is short */
  CV_CLOSE_IDLE,          /* no request is in progress */
  CV_CLOSE_INCOMPLETE,    /* its response cannot be completed */
  CV_CLOSE_STOP           /* the process ends */
} cv_close_reason_t;

typedef enum
{
  CV_EXCHANGE_WAITING = 1, /* queued for a target with room */
  CV_EXCHANGE_RESERVING,   /* requested a reservation from an observer, a
                              permit from a keeper, or the origin of a stream
                              from other gateways */
  CV_EXCHANGE_SENT,        /* no response yet */
  CV_EXCHANGE_BUFFERING,   /* the response body is buffered whole */
  CV_EXCHANGE_RELAYING,    /* a large response is forwarded as it arrives */
  CV_EXCHANGE_STREAMING,   /* events are forwarded */
  CV_EXCHANGE_COLLECTING   /* events are buffered until the stream ends */
} cv_exchange_state_t;

/* Size of an exchange's buffer for the handle of a copied KV cache, with its
   null byte; the handles of migrations fit, as they take up to CV_NAME_MAX.  */
#define CV_HANDLE_MAX 128
/* Most targets that one exchange remembers as tried.  */
#define CV_TRIED_MAX 8

/* An instance that got the request.  After a restart it is another one.  */
typedef struct
{
  char id[CV_NAME_MAX];
  uint64_t started_ms;
} cv_tried_t;

/* One request of a caller and all attempts to serve it.  */
struct cv_exchange_t
{
  TAILQ_ENTRY (cv_exchange_t) entry;   /* in the list of all exchanges */
  TAILQ_ENTRY (cv_exchange_t) waiting; /* in the queue for a target */
  cv_gateway_t *gateway;
  cv_client_t *client;
  cv_exchange_state_t state;
  cv_routing_t *routing;
  const cv_route_t *route;
  const cv_service_t *service;
  cv_service_state_t *service_state;
  const cv_client_account_t *account; /* NULL: none */
  cv_caller_request_t request;
  cv_suspect_request_t identity; /* what is requested */
  cv_output_t expected_output;   /* of a generation */
  cv_urgency_t urgency;
  bool is_ranked;       /* of a service whose routes differ in urgency */
  cv_claim_t claim;     /* of IS_RANKED */
  double work;          /* of IS_RANKED: memory expected, tokens x seconds */
  uint64_t need_tokens; /* memory expected at the end of the run */
  cv_time_t started_at;
  cv_time_t deadline;           /* of the caller or the route */
  cv_time_t solitary_until;     /* of suspect content, for the next attempt */
  cv_time_t in_time_until;      /* end of waiting for an answer in time */
  cv_time_t placement_deadline; /* end of waiting for a target; later after an
                                   attempt that may have run */

  /* Of CV_EXCHANGE_RESERVING, or to replace the silent target of the current
     attempt; else NULL.  */
  cv_target_t *reservation_target;
  cv_time_t reservation_sent_at;
  uint32_t reservation_requests; /* in a row */
  bool is_rank_stated; /* in the last request; LEVEL is what it says */
  uint32_t stated_level;
  bool has_reservation; /* at the target; also set without a reply, since the
                           observer may have granted it */
  cv_permit_t permit;
  uint64_t stream_key; /* identifies the stream over its caller's tries, 0: no
                          attempt id */
  uint64_t version; /* that began the stream, CV_VERSION_NONE: no event yet */
  bool is_version_recorded; /* an event was passed on */
  /* The target of the current attempt started again about when it was sent:
     either process may have it.  */
  bool is_target_in_doubt;
  cv_stream_question_t question;
  bool is_outcome_recorded; /* of the current attempt */
  cv_target_t *target;      /* of the current attempt */
  /* Between two attempts: the target that is checked for a crash, which decides
     whether the content is suspect; else NULL.  */
  cv_target_t *awaited_target;
  cv_time_t awaited_until;
  cv_http_link_t *link;
  cv_time_t sent_at;
  cv_time_t last_activity_at;  /* sending, last event of a stream, or last
                                  bytes of a buffered response */
  cv_time_t first_event_delay; /* from the start; 0: no event yet */
  cv_time_t max_gap;           /* longest time between events */
  cv_time_t last_event_at;     /* last event forwarded */
  /* Attempts that were given a connection; it may have failed later.  */
  uint32_t sends;
  uint32_t rejections; /* attempts that the target did not run */
  uint32_t connect_failures;
  uint32_t resumes;             /* of its stream, from a copy or in a new run */
  cv_answer_name_t answer_name; /* of the current attempt */
  cv_tried_t tried[CV_TRIED_MAX];
  uint32_t tried_count;
  bool may_have_run;          /* an attempt may have been executed */
  cv_time_t asks_again_at;    /* of one that can wait long: no reservation
                                 request before that */
  bool is_wait_judged;        /* by the queue ahead, when it began to wait */
  bool is_queued;             /* in the queue for a target */
  bool is_prefill_counted;    /* counted in the target's prefill_tokens */
  bool is_failure_retry;      /* the last attempt was answered 500 */
  bool skip_response;         /* the response belongs to another request */
  uint32_t skipped_responses; /* of the current attempt */
  bool is_paused;   /* the target is not read until the caller has read more */
  bool is_rejected; /* the response states that it was not run */
  bool is_signed;   /* the target signed the response */

  bool resume_pending;      /* no event yet since the stream was resumed */
  bool from_copy;           /* the current attempt resumes from a copy */
  cv_target_t *copy_source; /* that made the copy, or NULL */
  char copy_handle[CV_HANDLE_MAX];
  cv_migration_t *migration;    /* migration of its run, or NULL */
  uint32_t migrations;          /* without those that found no room */
  cv_time_t no_migration_until; /* no room or no such run */
  bool awaits_migration;        /* its stream has ended: MIGRATION decides */
  cv_time_t stream_ended_at;    /* of AWAITS_MIGRATION */
  cv_stream_end_t stream_end;   /* of AWAITS_MIGRATION */
  bool has_returned; /* of FROM_COPY: the current attempt is at COPY_SOURCE */
  /* An order to stop the run there has got no answer; or NULL.  */
  cv_target_t *doubted_target;

  cv_body_end_t body_end; /* of the response that is complete */
  cv_buf_t response_body; /* of CV_EXCHANGE_BUFFERING and _COLLECTING */
  bool head_sent;         /* the response head was sent to the caller */
  cv_events_t events;     /* of a stream */
};

/* exchange.c */
void cv_exchange_begin (cv_client_t *c);
/* Discards the events of X, of which its caller has none: an attempt begins
   where the caller asked to.  */
void cv_exchange_rewind (cv_exchange_t *x);
/* The connection of X is closed for REASON: ends X without a response.  */
void cv_exchange_abandon (cv_exchange_t *x, cv_close_reason_t reason);
/* Places queued exchanges for which a target has room.  */
void cv_exchange_place_waiting (cv_gateway_t *g);
void cv_exchanges_tick (cv_gateway_t *g, cv_time_t now);
/* Ends all exchanges whose response has not begun, and with CUT_RESPONSES the
   others too, because the process stops.  */
void cv_exchanges_end (cv_gateway_t *g, bool cut_responses);
/* Sends STATUS and REASON as the gateway's own response, and ends X.  Logged as
   a refusal; 502 and 504 are counted as failures.  */
void cv_exchange_refuse (cv_exchange_t *x, unsigned status,
                         uint32_t retry_after_ms, const char *reason);
void cv_exchange_end (cv_exchange_t *x, bool complete);
/* Ends X, which no target serves: cuts a response that has begun; otherwise
   responds with 503 and RETRY_AFTER_MS if X was certainly not run, else with
   502.  */
void cv_exchange_give_up (cv_exchange_t *x, const char *reason,
                          uint32_t retry_after_ms);
/* The same, with 504 instead of 502 if TIMED_OUT, for a request that could have
   been served.  */
void cv_exchange_fail (cv_exchange_t *x, const char *reason, bool timed_out);
/* Sets the time until which suspect content waits to be alone at a target.  */
void cv_exchange_set_solitary_until (cv_exchange_t *x, cv_time_t now);
/* Whether X asks for a generation and its service is an engine.  */
bool cv_exchange_is_generation (const cv_exchange_t *x);
/* Time in which an engine prefills the prompt of X beside other runs.  */
cv_time_t cv_exchange_prefill_time (const cv_exchange_t *x);
/* Output tokens forwarded to the caller of X.  */
uint64_t cv_exchange_output_tokens (const cv_exchange_t *x);
/* Queues X for a target, or ends X if its placement deadline has passed.  */
void cv_exchange_wait (cv_exchange_t *x);
/* Chooses a target and sends X, or queues X.  */
void cv_exchange_place (cv_exchange_t *x);

/* retry.c */
/* Whether another attempt is within the route's limit and the deadline.  */
bool cv_exchange_can_retry (const cv_exchange_t *x);
/* The target rejected X without running it: retries elsewhere or gives up.  */
void cv_exchange_handle_rejection (cv_exchange_t *x, unsigned status);
/* The current attempt ended without a valid response: retries or gives up.  */
void cv_exchange_handle_failure (cv_exchange_t *x, const char *reason,
                                 bool may_have_run);
/* Ends the attempt of X at a silent target, for another attempt; false when the
   target is no longer silent or no other attempt is allowed.  */
bool cv_exchange_leave_silent_target (cv_exchange_t *x);
/* Resumes the stream of X at T from the copy HANDLE of its KV cache, made by
   SOURCE.  */
void cv_exchange_resume_from_copy (cv_exchange_t *x, cv_target_t *t,
                                   cv_target_t *source, const char *handle,
                                   const char *reason);
/* Whether the first event of X is overdue.  X was sent because its engine
   seemed to have room, so this is taken for a failure of the engine.  */
bool cv_exchange_is_overdue (const cv_exchange_t *x, cv_time_t now);
/* Whether the target of X has been silent for longer than its limit.  */
bool cv_exchange_is_silent (const cv_exchange_t *x, cv_time_t now);
/* The target of X is silent.  It may still go on, so the attempt ends only when
   another target has room, and a reservation if it needs one.  */
void cv_exchange_replace_silent_target (cv_exchange_t *x);

/* stop.c */
/* Whether the response of X, which begins now, is expected to end before the
   process stops.  */
bool cv_exchange_can_begin_response (const cv_exchange_t *x);
/* Whether a new attempt of X can end before the stop.  */
bool cv_exchange_ends_before_stop (const cv_exchange_t *x);
/* Refuses X, which was not run, because the gateway stops.  */
void cv_exchange_refuse_stopping (cv_exchange_t *x, const char *reason);
/* Refuses X if no target has begun it and it cannot end before the stop; false
   when it was not refused.  */
bool cv_exchange_refuse_near_stop (cv_exchange_t *x);

/* shortage.c */
/* Sets what X, which can be sent within its objective for IN_TIME_WAIT from its
   start, loses by waiting, if its service is ranked.  */
void cv_exchange_set_claim (cv_exchange_t *x, cv_time_t in_time_wait);
/* Whether the objective of X can no longer be met.  */
bool cv_exchange_is_late (const cv_exchange_t *x, cv_time_t now);
/* Whether X is late and its deadline far.  */
bool cv_exchange_can_wait_long (const cv_exchange_t *x, cv_time_t now);
/* Whether the run of X holds its memory for so short a time that the later
   growth of other runs does not matter to it.  */
bool cv_exchange_ends_soon (const cv_exchange_t *x);
/* Whether A is placed before B, which came earlier.  */
bool cv_exchange_precedes (const cv_exchange_t *a, const cv_exchange_t *b,
                           cv_time_t now);
/* Queues X behind exchanges of the same or higher urgency.  */
void cv_exchange_enqueue (cv_exchange_t *x, cv_time_t now);
/* Refuses X, which begins to wait, if those ahead of it take the room until its
   deadline; false when it was not refused.  */
bool cv_exchange_refuse_unreachable (cv_exchange_t *x, cv_time_t now);
/* Restores the order of the queue, which changes with time.  */
void cv_waiting_tick (cv_gateway_t *g, cv_time_t now);
/* Milliseconds until X would be sent if it came last of its level; 0: not
   known.  */
uint32_t cv_exchange_retry_wait (const cv_exchange_t *x);
/* X was sent, or is refused for want of room.  */
void cv_shortage_note_sent (cv_exchange_t *x);
void cv_shortage_note_refused (cv_exchange_t *x);
/* Adds to L what X lost to.  */
void cv_exchange_log_shortage (const cv_exchange_t *x, cv_line_t *l);
void cv_shortage_add_metrics (cv_buf_t *out, const cv_gateway_t *g);

/* attempt.c */
/* Rank of X, 0 the most urgent: by the client account (0 without one), then by
   the route.  */
uint32_t cv_exchange_rank (const cv_exchange_t *x);
/* Sends X to T over an idle or a new connection.  */
void cv_attempt_start (cv_exchange_t *x, cv_target_t *t);
/* Ends the current attempt of X: detaches its migration, closes its connection,
   releases its reservation and target, and withdraws a pending request for a
   reservation.  */
void cv_attempt_stop (cv_exchange_t *x);
/* relay.c */
/* Handles an event of the connection of the exchange OWNER to its target.  */
void cv_attempt_handle_event (void *owner, const cv_http_link_event_t *event);
/* Ends X, whose stream is complete.  */
void cv_attempt_complete_stream (cv_exchange_t *x);
/* Reads on from a target that was not read since the caller was slow.  */
void cv_attempt_tick (cv_exchange_t *x, cv_time_t now);
/* Records whether the target SERVED the attempt, and reports this to the
   observer, which combines the outcomes of all gateways.  Only the first
   failure counts; an overdue attempt may be served later.  */
void cv_attempt_record_outcome (cv_exchange_t *x, bool served);
/* Removes the prompt of X from its target's prefill_tokens: the first event
   arrived, or the attempt ends.  */
void cv_attempt_prefill_done (cv_exchange_t *x);

/* ask.c */
/* Requests a reservation for X from the observer of T.  False when X has to be
   sent without one.  A current attempt of X goes on until it is granted.  */
bool cv_exchange_reserve (cv_exchange_t *x, cv_target_t *t);
/* Handles the reply M of the observer of T to the request of an exchange.  */
void cv_reserve_handle_reply (cv_gateway_t *g, cv_target_t *t,
                              const cv_msg_reservation_t *m);
/* On a reply timeout, sends X without a reservation.  If the target is no
   longer usable, X is placed again or its current attempt goes on.  */
void cv_exchange_reserve_tick (cv_exchange_t *x, cv_time_t now);
/* Sends the observer of T a reservation request for X.  */
void cv_reserve_send_request (const cv_exchange_t *x, const cv_target_t *t,
                              cv_reservation_purpose_t purpose);
/* Withdraws the pending reservation request of X, if any.  */
void cv_exchange_cancel_reservation (cv_exchange_t *x);
/* Releases the reservation of X at T, if X has one.  */
void cv_exchange_release_reservation (cv_exchange_t *x, const cv_target_t *t);
/* Sends the observer of T the outcome HOW of RUN: completed, failed, which
   includes an overdue first event, or released, which ends its reservation.  */
void cv_reserve_send_end (const cv_target_t *t, cv_slice_t run,
                          cv_reservation_step_t how);

#ifdef __cplusplus
}
#endif

#endif
