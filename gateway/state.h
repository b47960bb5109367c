/* Types and functions shared by the files of the gateway.  All of them run in
   one thread.  Times (cv_time_t) are in microseconds.

   A target is an instance of an engine or of a plain service, which is any
   service that is not an engine.  An observer sends load reports of an engine,
   and grants reservations of its memory and migration leases.

   A run is a generation; its name is the id of the caller's attempt.  An
   attempt of the gateway is one try at one target.  A migration is called a
   move in event names and on the wire, where a reservation is called a room.

   A late request is one whose caller has retried after its latency objective
   was missed; other requests are in time.  A route is retryable
   (cv_route_is_repeatable) if its requests are idempotent or its streams are
   resumable; then a request that may have run may be sent again.  */

#ifndef CV_GATEWAY_STATE_H
#define CV_GATEWAY_STATE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "base/line.h"
#include "gateway/events.h"
#include "gateway/evidence.h"
#include "gateway/exchange.h"
#include "gateway/follow.h"
#include "gateway/gateway.h"
#include "gateway/limit.h"
#include "gateway/shares.h"
#include "gateway/version.h"
#include "http/call.h"
#include "http/link.h"
#include "http/reader.h"
#include "platform/platform.h"
#include "policy/caller_memory.h"
#include "policy/domains.h"
#include "policy/evacuation.h"
#include "policy/grant.h"
#include "policy/health.h"
#include "policy/lease_book.h"
#include "policy/output.h"
#include "policy/pause.h"
#include "policy/placement.h"
#include "policy/policy.h"
#include "policy/refusal.h"
#include "policy/starts.h"
#include "policy/stop.h"
#include "policy/store_history.h"
#include "policy/stream_end.h"
#include "policy/unplaced.h"
#include "policy/urgency.h"
#include "routing/routing.h"
#include "wire/datagram.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;
typedef struct cv_client_t cv_client_t;
typedef struct cv_exchange_t cv_exchange_t;
typedef struct cv_target_t cv_target_t;
typedef struct cv_migration_t cv_migration_t;

TAILQ_HEAD (cv_http_links_t, cv_http_link_t);
TAILQ_HEAD (cv_targets_t, cv_target_t);
LIST_HEAD (cv_target_bucket_t, cv_target_t);
TAILQ_HEAD (cv_clients_t, cv_client_t);
TAILQ_HEAD (cv_exchanges_t, cv_exchange_t);
TAILQ_HEAD (cv_migrations_t, cv_migration_t);

/* ---- targets ---- */

/* Buckets of an index of targets: a few in each at thousands of targets.  */
#define CV_TARGET_BUCKETS 1024

typedef enum
{
  CV_TARGET_LISTED = 1, /* in the store; takes new requests */
  CV_TARGET_MISSING,    /* may have expired in an outage of the store; takes new
                           requests */
  CV_TARGET_DRAINING,   /* about to stop: no new requests */
  CV_TARGET_REMOVED     /* no longer listed; kept while it is in use */
} cv_target_presence_t;

/* The gateway that grants migration leases of an engine without an observer.
 */
typedef struct
{
  cv_time_t asked_at; /* first request that it may not have answered; 0: none */
  cv_time_t last_asked_at;
  cv_time_t heard_at;
  cv_time_t silent_until; /* it does not answer */
} cv_granter_t;

/* Leases of one engine that this gateway grants.  The engine may be none of its
   targets any longer.  */
typedef struct cv_granted_leases_t
{
  TAILQ_ENTRY (cv_granted_leases_t) entry;
  char target[CV_NAME_MAX];
  cv_time_t used_at;
  cv_lease_book_t book;
} cv_granted_leases_t;

TAILQ_HEAD (cv_granted_leases_list_t, cv_granted_leases_t);

struct cv_target_t
{
  TAILQ_ENTRY (cv_target_t) entry;
  LIST_ENTRY (cv_target_t) by_id;
  LIST_ENTRY (cv_target_t) by_address;
  cv_gateway_t *gateway;
  uint32_t refs; /* the table, and each exchange or migration that uses it */
  cv_instance_record_t record;
  cv_target_presence_t presence;
  cv_time_t listed_at;
  cv_time_t missing_until;   /* CV_TARGET_MISSING: time of its removal */
  bool in_current_list;      /* occurs in the list being read */
  cv_time_t displaced_until; /* another instance uses its address */
  bool is_leaving;           /* by its own word: no new requests */
  cv_time_t leaving_since;   /* first known to be leaving or gone; 0: never */
  /* It was removed before the store was restored, and the copy has it: no new
     requests until then; 0: none.  And the history of that copy.  */
  cv_time_t copied_until;
  uint64_t copied_in;
  bool has_malformed_leaving; /* an unknown value was logged */
  cv_pause_t pause;           /* that it asked for */
  bool has_malformed_pause;   /* a malformed one was logged */
  /* Start of a process that replaced the one of RECORD under its id, by its
     observer; 0: none.  The next record has its version.  */
  uint64_t newer_started_ms;
  cv_health_t health;
  cv_time_t full_until; /* after a rejection other than 421: no new request */
  /* The observer refused a migration to the target, or did not reply.  */
  cv_time_t migration_refused_until;
  /* Memory of the smallest request that the observer refused since its last
     load report, 0: none; for requests in time and for late requests, which
     may use less of the memory.  */
  uint64_t min_refused_tokens;
  uint64_t min_refused_late_tokens;
  cv_refused_sizes_t refused_sizes; /* of those that stated their rank */
  bool reads_rank;             /* its observer has answered such a request */
  cv_time_t rank_unread_until; /* it has not: an earlier version */
  struct cv_http_links_t idle;
  uint32_t idle_count;
  uint32_t in_flight; /* requests of this gateway at the target */
  /* Tokens of this gateway's requests at the target: memory expected at their
     end, prompts still to be prefilled, and memory expected for migrations to
     it.  */
  uint64_t expected_tokens;
  uint64_t prefill_tokens;
  uint64_t incoming_tokens;
  /* The observer's last load report, and when it was received.  */
  cv_msg_engine_load_t load;
  cv_time_t load_received_at;  /* 0: never */
  struct sockaddr_in observer; /* sender of the report */
  /* What the other gateways have told of their requests here, in the units of
     expected_tokens and prefill_tokens; brought up to date by
     cv_shares_sum.  */
  uint64_t shared_tokens;
  uint64_t shared_prefill_tokens;
  uint32_t shared_requests;
  /* Sums of this gateway's requests that the last load report does not include
     yet; valid only while a target is chosen.  */
  uint64_t unreported_tokens;
  uint64_t unreported_prefill_tokens;
  uint32_t unreported_requests;
  cv_target_limit_t limit;
  cv_warmup_t warmup;
  /* This gateway among those that share the target while it is cold, as of
     WARMUP_PLACE_AT; 0: not determined.  */
  cv_warmup_place_t warmup_place;
  cv_time_t warmup_place_at;
  bool is_logged_cold;
  uint64_t sends_cold; /* of this gateway, in the current warm-up */
  cv_crash_check_t crash_check;
  bool has_crashed; /* shown by a check */
  /* The last request that was recalled, as it became known to crash engines,
     and when.  */
  cv_suspect_request_t recalled;
  cv_time_t recalled_at;
  cv_event_pace_t event_pace; /* while its observer does not report */
  cv_candidate_t candidate;   /* inputs of the last placement decision */
  cv_migration_t *migration;  /* that orders a run off this target, or NULL */
  cv_granter_t granter;
  cv_time_t lease_asked_at; /* last request for a migration lease */
};

/* State of a service that outlives a configuration.  */
typedef struct cv_service_state_t
{
  TAILQ_ENTRY (cv_service_state_t) entry;
  char name[CV_NAME_MAX];
  cv_retry_budget_t retries;
  cv_refusal_t refusals;
  /* Of a ranked service: requests sent and refused, and the last one sent.  */
  cv_use_t use;
  cv_drain_t drain;
  bool has_queue; /* at the last tick */
  cv_time_t last_sent_at;
  uint32_t last_sent_rank;
  char last_sent_route[CV_NAME_MAX];
  cv_versions_t versions; /* of its targets */
  /* Of the last request whose route has one: streams beside which a prompt of
     another route is prefilled.  */
  uint32_t gap_objective_ms;
} cv_service_state_t;

TAILQ_HEAD (cv_service_states_t, cv_service_state_t);

/* State of a route that outlives a configuration.  */
typedef struct cv_route_state_t
{
  TAILQ_ENTRY (cv_route_state_t) entry; /* most recently used first */
  char name[CV_NAME_MAX];
  cv_caller_timeout_t caller_timeout;
  cv_failure_retries_t failure_retries;
} cv_route_state_t;

TAILQ_HEAD (cv_route_states_t, cv_route_state_t);

/* Most route states kept: new configurations may name new routes without
   end.  */
#define CV_ROUTE_STATES_MAX 64

/* ---- callers ---- */

/* Purpose of a listening address.  */
typedef enum
{
  CV_PORT_CALLERS = 1,
  CV_PORT_READY,
  CV_PORT_METRICS
} cv_port_kind_t;

typedef struct
{
  cv_gateway_t *gateway;
  cv_port_kind_t kind;
  struct evconnlistener *listener;
  uint32_t client_count;
} cv_port_t;

#define CV_PORTS_MAX 3

typedef enum
{
  CV_CLIENT_READING,   /* reads a request, or is idle before one */
  CV_CLIENT_WAITING,   /* waits for the response to its request */
  CV_CLIENT_LINGERING, /* response sent; input is dropped until it closes */
} cv_client_state_t;

/* A connection accepted on one of the ports: from a caller, a health check or
   a metrics collector.  */
struct cv_client_t
{
  TAILQ_ENTRY (cv_client_t) entry;
  cv_port_t *port;
  cv_client_state_t state;
  struct bufferevent *bev;
  cv_http_reader_t reader;
  cv_http_body_t *body;    /* NULL: no byte of it was kept */
  uint64_t body_bytes;     /* of the body, kept or not */
  cv_exchange_t *exchange; /* of CV_CLIENT_WAITING */
  cv_time_t since;         /* start of the request, of idling or of lingering */
  cv_caller_limits_t limits; /* in force when C was last idle */
  cv_time_t progress_at;     /* the last part of a body arrived */
  /* As they count in the gateway's account.  */
  uint64_t held_bytes;
  uint64_t unread_bytes;
  uint64_t output_bytes; /* of all responses, written or not */
  /* Of these, received by the caller's host when the output was last found
     blocked, and when that number had last grown or output was begun.  */
  uint64_t acknowledged_bytes;
  cv_time_t acknowledged_at;
  bool close_after;        /* the connection ends with this response */
  bool body_ends_at_close; /* the response body ends with the connection */
  bool request_incomplete; /* response sent before the request was read */
  bool is_handling_input;
  bool close_pending;             /* closed once its input has been handled */
  cv_close_reason_t close_reason; /* of close_pending */
};

/* ---- registration ---- */

typedef enum
{
  CV_REGISTER_CREATE = 1,
  CV_REGISTER_REPLACE,
  CV_REGISTER_DONE
} cv_register_phase_t;

/* Writes the store object by which observers find this gateway.  */
typedef struct
{
  cv_gateway_t *gateway;
  cv_register_phase_t phase;
  bool was_registered; /* by this process */
  cv_replica_call_t call;
  uint64_t history; /* of the store, in which the object was written */
  cv_time_t next_call;
} cv_register_t;

/* ---- counters ---- */

typedef struct
{
  uint64_t requests;
  uint64_t answered; /* complete responses of targets */
  uint64_t refused;  /* requests refused with a status other than 502 or 504 */
  uint64_t failed;   /* requests refused with 502 or 504 */
  uint64_t cut;      /* responses that the gateway could not complete */
  uint64_t left;     /* caller left or stopped reading before the response's
                        end */
  uint64_t unanswered; /* connection closed by the gateway with a request in
                          progress and no response to it begun or ended */
  uint64_t retries; /* attempts after the first, except those from a copy; also
                       a stream's resumes in a new run */
  uint64_t failures_passed_on; /* answers of 500 that were not retried, as
                                  retries of their route do not help */
  uint64_t streams_in_doubt;   /* ended while an order to stop their run had no
                                  answer */
  uint64_t resumes; /* attempts from a copy, also at the migration's source */
  uint64_t sends;
  uint64_t connections;
  uint64_t crash_checks; /* connections opened to see if a target crashed */
  uint64_t quarantined;  /* requests refused for their content */
  uint64_t crashes;      /* targets that crashed with a request in progress */
  uint64_t limit_waits;  /* requests not sent at once because of a limit */
  uint64_t stream_questions; /* to other gateways, about a stream's version */
  uint64_t streams_unknown;  /* streams refused as their version is not known */
  uint64_t limit_refusals;   /* refused because of the limits of all targets */
  uint64_t shortage_refusals; /* refused as the queue ahead was too long */
  uint64_t leavings;          /* announced by targets in their answers */
  uint64_t pauses;            /* that targets asked for */
  uint64_t sent_to_leaving;   /* attempts at targets known to be leaving */
  uint64_t pages_sent;        /* answers of the store handed on */
  uint64_t pages_heard;       /* of other gateways, that were of use */
  uint64_t shares_sent;       /* messages on its work at engines */
  uint64_t shares_heard;      /* of other gateways */
  uint64_t warmup_waits;      /* requests without a share of a cold target when
                                 they were to be sent */
  uint64_t warmup_refusals; /* refused because of the shares of cold targets */
  uint64_t sent_to_cold;    /* attempts at cold targets with a limit */
  uint64_t region_refusals; /* refused as no target is in their regions */
  uint64_t evacuations_begun;
  uint64_t evacuations_ended;
  uint64_t evacuation_refusals;   /* as all targets are evacuated */
  uint64_t evacuation_diversions; /* attempts that were to go to a target which
                                     was evacuated meanwhile */
  uint64_t shed;                  /* callers, as memory was short */
  uint64_t connections_shed;      /* as there were too many */
} cv_gateway_counts_t;

/* Most names of unknown regions that are logged.  */
#define CV_UNKNOWN_REGIONS_MAX 64

/* Jobs of the event loop that may use the processor for long; some are parts of
   others.  */
typedef enum
{
  CV_JOB_TICK,
  CV_JOB_DATAGRAMS,     /* of one turn of the event loop */
  CV_JOB_PLACEMENT,     /* of the requests that wait */
  CV_JOB_PAGE,          /* an answer of the store */
  CV_JOB_CONFIGURATION, /* its decoding, as a part of a page */
  CV_JOB_LOG,           /* output of log lines */
  CV_JOBS
} cv_job_t;

typedef struct
{
  cv_gateway_t *gateway;
  cv_job_t job;
  uint64_t begun_us; /* processor time of the thread */
} cv_step_t;

/* An observer, by its last load report.  */
typedef struct
{
  struct sockaddr_in address;
  cv_time_t heard_at;
} cv_observer_peer_t;

/* Most observers that are known; more are not asked about streams.  */
#define CV_OBSERVERS_MAX 1024

typedef struct
{
  cv_observer_peer_t peers[CV_OBSERVERS_MAX];
  uint32_t count;
} cv_observers_t;

/* What is held for callers.  */
typedef struct
{
  cv_caller_memory_t sum;
  size_t large_callers;
  uint64_t unread;      /* bytes of responses not handed to the kernel */
  struct event *relief; /* sheds callers, outside all other callbacks */
  cv_time_t shed_at;    /* 0: never */
  cv_time_t trimmed_at; /* the heap */
} cv_held_t;

struct cv_gateway_t
{
  cv_gateway_settings_t settings;
  cv_time_t started_at;
  const char *settings_path;
  struct sockaddr_in store;
  cv_store_history_t store_history;
  struct event_base *base;
  struct event *tick_event;
  struct event *signals[4];
  cv_port_t ports[CV_PORTS_MAX];
  uint32_t port_count;
  cv_routing_t *routing; /* NULL until a configuration was read */
  struct cv_targets_t targets;
  struct cv_target_bucket_t targets_by_id[CV_TARGET_BUCKETS];
  struct cv_target_bucket_t targets_by_address[CV_TARGET_BUCKETS];
  cv_starts_t starts;                             /* of targets that left */
  struct cv_granted_leases_list_t granted_leases; /* last used first */
  struct cv_service_states_t services;
  struct cv_route_states_t route_states;
  uint32_t route_state_count;
  struct cv_clients_t clients;
  uint32_t client_count;
  cv_held_t held;
  bool accepting;
  struct cv_exchanges_t exchanges;
  struct cv_migrations_t migrations;
  struct cv_exchanges_t waiting; /* most urgent first, then by arrival */
  /* The unreported sums of the targets are those of the present exchanges.  */
  bool are_sums_current;
  /* Before this time, messages do not cause a pass over WAITING.  */
  cv_time_t next_pass_at;
  cv_watcher_t routing_watcher;
  cv_watcher_t instance_watcher;
  cv_watcher_t evacuation_watcher;
  cv_time_t evacuations_asked_at; /* for the first time; 0: not followed */
  cv_domains_t domains;           /* that are evacuated */
  cv_register_t registration;
  cv_evidence_t evidence;
  cv_shares_t shares;
  cv_quarantine_store_t quarantine_store;
  struct sockaddr_in loads_address;
  cv_observers_t observers;
  int loads_fd;
  struct event *loads_event;
  uint64_t last_question; /* number of the last one to another gateway, for a
                             permit or about a stream */
  cv_origins_t origins;   /* software versions that began streams */
  cv_time_t versions_updated_at;
  /* Gateways that share the retry budget and the unobserved engines; from load
     reports.  */
  uint32_t gateway_count;
  cv_time_t last_load_report_at;  /* of any observer */
  cv_warmup_fleet_t warmup_fleet; /* gateways that share cold targets */
  uint64_t unknown_regions[CV_UNKNOWN_REGIONS_MAX]; /* hashes, as logged */
  uint32_t unknown_region_count;
  cv_time_t last_tick_at;
  cv_time_t stall_began_at; /* the last period without ticks */
  cv_time_t stall_ended_at;
  cv_rng_t rng;
  bool stopping;
  bool is_ending;      /* the stop is over; last requests are refused */
  cv_time_t ending_at; /* start of IS_ENDING */
  cv_stop_t stop;      /* valid while STOPPING */
  cv_gateway_counts_t counts;
  uint64_t longest_step_us[CV_JOBS]; /* processor time, since the start */
  cv_hist_t latency;                 /* milliseconds to the end of a response */
  cv_hist_t first_event;    /* milliseconds to the first event of a stream */
  cv_hist_t adoption_delay; /* milliseconds since the former configuration was
                               last confirmed, as a newer one was adopted */
  cv_hist_t gaps;           /* longest gap of each stream, milliseconds */
};

/* client.c */
bool cv_port_open (cv_gateway_t *g, cv_port_kind_t kind, const char *url,
                   cv_error_t *err);
void cv_port_close (cv_port_t *p);
/* Accepts the connections that wait for it, and closes P: who connects later is
   told that no request of his was read.  */
void cv_port_end (cv_port_t *p);
/* The response on C has ended; its exchange, if any, is already freed.  A
   response that is not COMPLETE closes the connection.  */
void cv_client_response_done (cv_client_t *c, bool complete);
/* Appends HEAD and BODY to the output of C.  */
void cv_client_send (cv_client_t *c, cv_slice_t head, cv_slice_t body);
/* Bytes of responses that were not handed to the kernel.  */
size_t cv_client_unread_bytes (const cv_client_t *c);
/* Whether the caller has closed its connection, which may not have been handled
   yet after a long step or a stall of this process.  */
bool cv_client_has_left (const cv_client_t *c);
/* The body of the request of C, as far as it was read.  */
cv_slice_t cv_client_body (const cv_client_t *c);
/* Records what the host of C's caller has acknowledged.  */
void cv_client_note_reading (cv_client_t *c, cv_time_t now);
/* Responds to a request that was not read completely, and ends the
   connection.  */
void cv_client_end_incomplete (cv_client_t *c, unsigned status,
                               const char *reason, uint32_t retry_after_ms);
/* Closes C with a reset: its response is dropped where it is.  */
void cv_client_cut (cv_client_t *c, cv_close_reason_t reason);
/* Closes C, or marks it to be closed if its input is being handled.  */
void cv_client_close (cv_client_t *c, cv_close_reason_t reason);
void cv_clients_tick (cv_gateway_t *g, cv_time_t now);
/* At the end of a stop: refuses requests that were read in part, and stops
   reading new ones.  */
void cv_clients_end (cv_gateway_t *g);
/* Whether a response has not been handed to the kernel completely.  */
bool cv_clients_have_output (const cv_gateway_t *g);
/* Decides whether C is closed after this response, and returns the decision for
   the response head.  From here on, C ends with a reset until all of a response
   was written whose body ends with the connection.  */
bool cv_client_decide_close (cv_client_t *c);

/* held.c */
void cv_held_init (cv_gateway_t *g);
void cv_held_finish (cv_gateway_t *g);
cv_caller_memory_t cv_held_limits (const cv_gateway_t *g);
/* Bytes that are held for C may have changed.  Callers are shed later, not in
   this call.  */
void cv_held_update (cv_client_t *c);
/* C is closed.  */
void cv_held_forget (cv_client_t *c);
/* Makes room for a connection that P has accepted, and stops to accept when
   there is none.  */
void cv_held_before_accept (cv_port_t *p);
void cv_held_after_accept (cv_port_t *p);
void cv_held_tick (cv_gateway_t *g, cv_time_t now);

/* answer.c */
/* Sends a response of the gateway itself; RETRY_AFTER_MS 0: no such field.  */
void cv_response_send_own (cv_client_t *c, unsigned status, const char *reason,
                           uint32_t retry_after_ms);
typedef enum
{
  CV_FRAMING_LENGTH = 1, /* the body's length is known */
  CV_FRAMING_CHUNKED,
  CV_FRAMING_CLOSE, /* the body ends with the connection */
  CV_FRAMING_NONE   /* no body; Content-Length as the target sent it */
} cv_framing_t;
/* Appends to OUT the head of a target's response as sent to the caller.  LAST:
   the connection is closed after this response.  */
void cv_response_encode_head (cv_buf_t *out, const cv_http_head_t *head,
                              cv_framing_t framing, size_t length, bool last);
/* Sends DATA as part of a body in FRAMING.  */
void cv_response_send_data (cv_client_t *c, cv_framing_t framing,
                            cv_slice_t data);
void cv_response_end_body (cv_client_t *c, cv_framing_t framing);
void cv_response_send_readiness (cv_client_t *c);
void cv_response_send_metrics (cv_client_t *c);

/* steps.c */
cv_step_t cv_step_begin (cv_gateway_t *g, cv_job_t job);
/* Returns the processor time of S in microseconds.  */
uint64_t cv_step_end (const cv_step_t *s);
const char *cv_job_text (cv_job_t job);

/* states.c */
/* The state of the service or route NAME; created if it does not exist.  */
cv_service_state_t *cv_service_state (cv_gateway_t *g, const char *name);
cv_route_state_t *cv_route_state (cv_gateway_t *g, const char *name);
void cv_states_finish (cv_gateway_t *g);

/* choose.c */
/* The best target for X now, or NULL.  */
cv_target_t *cv_choose_target (cv_exchange_t *x);
/* Destination for migrating the run of X, of TOKENS, off T; or NULL.  */
cv_target_t *cv_choose_destination (cv_exchange_t *x, const cv_target_t *t,
                                    uint64_t tokens,
                                    cv_reservation_purpose_t purpose);
/* When targets will take a request that none takes now.  */
typedef struct
{
  const cv_target_t *limited; /* blocked by its limit or cold, the one likely to
                                 take a request first; or NULL */
  cv_time_t opens_at;         /* when it is likely to do so */
  double per_s;               /* sum of the limits and of the shares */
  cv_time_t warm_at;          /* end of the first warm-up of those without a
                                 limit of their own; or INT64_MAX */
  cv_time_t returns_at;       /* time at which the first of the others, which
                                 pause or are avoided, does so; or INT64_MAX */
} cv_blocked_targets_t;

/* Returns whether no target takes X now, and some would but for their limits or
   pauses.  */
bool cv_choose_blocked (cv_exchange_t *x, cv_blocked_targets_t *out);
/* Milliseconds after which the refused caller of X is to retry: WAIT_MS, if the
   wait is known, or else what usually passes until a target has room, and more
   the more requests are refused.  */
uint32_t cv_choose_retry_after (cv_exchange_t *x, uint32_t wait_ms);

/* targets.c */
/* Adds the instance of R or updates its target.  IS_CHANGE: R was read as a
   change, not in a list.  */
void cv_targets_update (cv_gateway_t *g, const cv_instance_record_t *r,
                        bool is_change);
/* Removes the target ID at once; if its entry MAY_HAVE_EXPIRED while the store
   was unreachable and the target is not draining, after settings.lapse_s.  */
void cv_targets_remove (cv_gateway_t *g, const char *id, bool may_have_expired);
/* Begin and end of reading a whole list.  */
void cv_targets_list_begin (cv_gateway_t *g);
void cv_targets_list_end (cv_gateway_t *g, bool may_have_expired);
void cv_targets_tick (cv_gateway_t *g, cv_time_t now);
cv_target_t *cv_target_ref (cv_target_t *t);
void cv_target_unref (cv_target_t *t);
/* Makes HOLDER refer to T, or to nothing if NULL, instead of what it does.  */
void cv_target_hold (cv_target_t **holder, cv_target_t *t);
/* Another instance uses the address of T: T gets no requests for a while.  */
void cv_target_mark_displaced (cv_target_t *t);
/* A request failed at T.  */
void cv_target_record_failure (cv_target_t *t);
/* Whether X may be sent to T now, at which it was placed some milliseconds ago.
   A run that goes on from a copy has no other target; pause.c decides on it
   further.  */
bool cv_target_admits (const cv_exchange_t *x, const cv_target_t *t,
                       cv_time_t now);
/* Whether T takes new requests.  */
bool cv_target_is_usable (const cv_target_t *t, cv_time_t now);
/* The same, whether or not T pauses.  */
bool cv_target_is_available (const cv_target_t *t, cv_time_t now);
/* Time from which T, which is not usable, is no longer avoided and does not
   pause; INT64_MAX if it is leaving or evacuated.  */
cv_time_t cv_target_returns_at (const cv_target_t *t);
/* Whether the last load report of T's observer is recent.  */
bool cv_target_is_observed (const cv_target_t *t, cv_time_t now);
/* Returns an idle connection or opens one.  FRESH: an idle connection qualifies
   only if it was used very recently.  */
cv_http_link_t *cv_target_acquire_link (cv_target_t *t, bool fresh);
/* Keeps L as an idle connection or closes it.  */
void cv_target_release_link (cv_target_t *t, cv_http_link_t *l);
void cv_targets_finish (cv_gateway_t *g);

cv_target_t *cv_target_find (cv_gateway_t *g, const char *id);
void cv_target_log (cv_event_t event, const cv_target_t *t, const char *reason);
/* Whether T stops soon: marked so in the store, in its load report or in an
   answer, or no longer listed.  */
bool cv_target_is_draining (const cv_target_t *t);
/* Time until T stops, 0 when not known.  */
cv_time_t cv_target_time_left (const cv_target_t *t, cv_time_t now);

/* domains.c */
bool cv_domain_is_evacuated (const cv_gateway_t *g, const char *domain);
bool cv_target_is_evacuated (const cv_target_t *t);
/* Whether nothing is sent to targets until the list of evacuations is read: at
   the start and after a stall.  */
bool cv_evacuations_must_wait (const cv_gateway_t *g, cv_time_t now);
/* Whether the list was read, or the store does not answer at the start.  */
bool cv_evacuations_are_known (const cv_gateway_t *g);
/* The object O of the store was read, in a list or as a change.  */
void cv_evacuations_apply (cv_gateway_t *g, const cv_store_object_t *o);
/* A whole list was read.  */
void cv_evacuations_list_end (cv_gateway_t *g);
/* Appends the list as the store has it at REVISION.  */
void cv_evacuations_encode (const cv_gateway_t *g, uint64_t revision,
                            cv_buf_t *out);
void cv_evacuations_tick (cv_gateway_t *g, cv_time_t now);
/* NULL when evacuations are not followed.  */
cv_watcher_t *cv_evacuations_watcher (cv_gateway_t *g);
/* X goes on from a copy at T, which is evacuated, or may be.  Returns true if X
   is not sent now: it waits, is placed elsewhere, or has ended.  */
bool cv_exchange_avoid_evacuated (cv_exchange_t *x, cv_target_t *t);
/* Ends X, which no target takes now, if all its targets are evacuated; false
   when it was not ended.  */
bool cv_exchange_refuse_evacuated (cv_exchange_t *x);

/* pause.c */
/* Records what an answer of T says of a pause.  */
void cv_target_observe_pause (cv_target_t *t, const cv_answer_fields_t *fields);
/* X is to be sent to T now.  Returns true if it was not sent because of a pause
   of T: then X is placed elsewhere, or has ended.  */
bool cv_exchange_avoid_pause (cv_exchange_t *x, cv_target_t *t);

/* warmup.c */
/* The store's list or an observer shows COUNT gateways.  */
void cv_warmup_heard_gateways (cv_gateway_t *g, uint32_t count, cv_time_t now);
void cv_warmup_tick (cv_gateway_t *g, cv_time_t now);
/* A process of T has started now.  */
void cv_warmup_note_start (cv_target_t *t);
/* T was added.  */
void cv_warmup_note_added (cv_target_t *t);
/* T has replaced a target of the state FORMER under its id and address, which
   may have got requests that were sent to that one.  */
void cv_warmup_note_successor (cv_target_t *t, const cv_warmup_t *former);
/* The entry R of T was read, which differs from its record perhaps.  */
void cv_warmup_note_entry (cv_target_t *t, const cv_instance_record_t *r,
                           bool is_change);
/* The evacuation of DOMAIN has ended: its targets are cold again.  */
void cv_warmup_domain_returned (cv_gateway_t *g, const char *domain);
/* Time from which T has a share for X, NOW if it does now.  */
cv_time_t cv_warmup_takes_at (const cv_exchange_t *x, cv_target_t *t,
                              cv_time_t now);
/* Requests a second of this gateway that T, which is cold, takes; 0 if it is
   warm.  */
double cv_warmup_share (const cv_exchange_t *x, cv_target_t *t, cv_time_t now);
/* Whether T has a share for X now, or needs none.  */
bool cv_warmup_admits (const cv_exchange_t *x, cv_target_t *t, cv_time_t now);
/* Whether X does not choose T as it is cold: there is no share, or X is at
   another target and leaves the shares to those that are at none.  */
bool cv_warmup_is_closed (const cv_exchange_t *x, cv_target_t *t,
                          cv_time_t now);
/* X is to be sent to T now.  Returns true if it was not sent as T is cold: then
   X is placed elsewhere, or has ended.  A run that goes on from its copy is
   sent: migrations do not choose cold targets, so that T is its source.  */
bool cv_exchange_avoid_cold (cv_exchange_t *x, cv_target_t *t);
/* X was sent to T.  */
void cv_warmup_note_sent (const cv_exchange_t *x, cv_target_t *t);
/* X is refused since it would wait for WAIT for a share of T.  */
void cv_warmup_log_refusal (const cv_exchange_t *x, const cv_target_t *t,
                            cv_time_t wait);
void cv_warmup_log_malformed (const cv_routing_t *r);

/* regions.c */
/* Whether the regions of X's route and account allow T.  */
bool cv_exchange_may_run_at (const cv_exchange_t *x, const cv_target_t *t);
/* Whether the regions of X allow none of its service's targets.  */
bool cv_exchange_has_no_region (const cv_exchange_t *x);
void cv_regions_log_unknown (cv_gateway_t *g, const cv_routing_t *r);

/* blocked.c */
/* Refuses X, which no target takes now, if the limits and pauses of all its
   targets let it wait for too long; false when it was not refused. *IS_BLOCKED:
   whether a limit or a pause keeps X waiting.  */
bool cv_exchange_refuse_blocked (cv_exchange_t *x, bool *is_blocked);

/* leaving.c */
/* Records what an answer of T says of T's leaving.  */
void cv_leaving_observe (cv_target_t *t, const cv_answer_fields_t *fields);
/* T is leaving, for the REASON that is logged, or was removed.  */
void cv_target_note_leaving (cv_target_t *t, const char *reason);
void cv_target_note_removed (cv_target_t *t);
/* Whether the start of T, which was added now, was known and removed before. */
bool cv_target_was_known (const cv_target_t *t);
/* Whether the entry R is of the latest start known of its instance.  */
bool cv_entry_counts (cv_gateway_t *g, const cv_instance_record_t *r);
/* The entry of T shows it as ready: decides whether it takes requests.  */
void cv_target_admit_entry (cv_target_t *t, bool is_change);
void cv_target_tick_copied (cv_target_t *t, cv_time_t now);

/* loads.c: the datagram socket for observers, at the address that the settings
   call `loads` */
bool cv_loads_open (cv_gateway_t *g, cv_error_t *err);
void cv_loads_close (cv_gateway_t *g);
/* Sends a message to the observer of T, if one is known.  */
void cv_observer_send (const cv_target_t *t, const cv_msg_t *msg);
/* Whether a grant of KIND for RUN at T, which was asked for at ASKED_AT, may be
   used; logs one that may not.  */
bool cv_gateway_grant_holds (const cv_target_t *t, cv_slice_t run,
                             const char *kind, cv_time_t asked_at);
/* Sends MSG to all other gateways, and returns their number.  */
uint32_t cv_gateways_send (const cv_gateway_t *g, const cv_msg_t *msg);
bool cv_gateway_is_own_address (const cv_gateway_t *g,
                                const struct sockaddr_in *address);
/* Rank of the gateway at ADDRESS for KEY, the same at all gateways; the ranks
   of different keys are in different orders.  */
uint64_t cv_gateway_rank (const struct sockaddr_in *address, uint64_t key);
/* Takes over the number of gateways while no observer states it.  */
void cv_gateway_count_tick (cv_gateway_t *g, cv_time_t now);
/* Sets this gateway's share of the retry budget.  */
void cv_gateway_set_retry_budget (const cv_gateway_t *g, cv_retry_budget_t *b);

/* observers.c */
/* A load report has arrived from ADDRESS.  */
void cv_observers_heard (cv_observers_t *s, const struct sockaddr_in *address,
                         cv_time_t now);
/* Sends MSG to all observers heard lately, and returns their number.  */
uint32_t cv_observers_send (const cv_gateway_t *g, const cv_msg_t *msg,
                            cv_time_t now);
/* The observer of the highest rank for KEY below LIMIT, or NULL.  */
const struct sockaddr_in *cv_observers_ranked (const cv_gateway_t *g,
                                               uint64_t key, uint64_t limit,
                                               cv_time_t now);

/* register.c */
void cv_register_init (cv_register_t *r, cv_gateway_t *g);
void cv_register_finish (cv_register_t *r);
void cv_register_tick (cv_register_t *r, cv_time_t now);

/* evacuate.c */
void cv_migrations_tick (cv_gateway_t *g, cv_time_t now);
/* RUN has got the migration lease of T.  */
void cv_migration_lease_granted (cv_gateway_t *g, cv_target_t *t,
                                 const char *run);
/* Estimates the memory to copy and the remaining time of X's run.  */
void cv_migration_estimate (const cv_exchange_t *x, cv_time_t now,
                            cv_evacuation_candidate_t *out);

/* lease.c */
/* Whether the migration lease of T is granted by its observer or a gateway that
   replies.  */
bool cv_lease_has_granter (cv_target_t *t, cv_time_t now);
/* Sends who grants the lease of T a request of RUN, which has TOKENS, or its
   end.  */
void cv_lease_send (cv_target_t *t, cv_slice_t run, cv_lease_step_t step,
                    uint64_t tokens);
/* Drops the leases of engines that were not asked for lately, or ALL.  */
void cv_lease_drop (cv_gateway_t *g, cv_time_t now, bool all);
/* Handles M of an observer, or of another gateway at FROM.  */
void cv_lease_handle (cv_gateway_t *g, const cv_msg_migration_lease_t *m,
                      const struct sockaddr_in *from);

/* move.c */
/* Starts to migrate the run of X off T.  */
void cv_migration_start (cv_exchange_t *x, cv_target_t *t);
void cv_migration_tick_all (cv_gateway_t *g, cv_time_t now);
/* Frees the migrations as the process ends.  */
void cv_migrations_finish (cv_gateway_t *g);
/* Whether M is stopping the run: the end of its stream is no failure then.  */
bool cv_migration_is_stopping_run (const cv_migration_t *m);
/* Logs HOW the connection of a run ended that M is stopping.  */
void cv_migration_log_source_end (const cv_migration_t *m, const char *how);
/* Handles the reply of the observer of DESTINATION to a reservation request
   for a migration; false when no migration waits for it.  */
bool cv_migration_handle_reply (cv_gateway_t *g, const cv_target_t *destination,
                                const cv_msg_reservation_t *reply);
/* Handles the reply to a request for the lease of DESTINATION; false when no
   migration has requested it.  */
bool cv_migration_handle_link (cv_target_t *destination,
                               const cv_msg_migration_lease_t *reply);
/* Separates M from its exchange.  M continues, and ends at its next step; the
   exchange may continue too.  */
void cv_migration_detach (cv_migration_t *m);

#ifdef __cplusplus
}
#endif

#endif
