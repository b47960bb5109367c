/* State of a gateway, shared by its files.  One thread runs them all.  */

#ifndef CV_GATEWAY_STATE_H
#define CV_GATEWAY_STATE_H

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "base/line.h"
#include "gateway/events.h"
#include "gateway/gateway.h"
#include "http/call.h"
#include "http/link.h"
#include "http/reader.h"
#include "platform/platform.h"
#include "policy/evacuation.h"
#include "policy/health.h"
#include "policy/output.h"
#include "policy/placement.h"
#include "policy/policy.h"
#include "policy/refusal.h"
#include "policy/urgency.h"
#include "routing/routing.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_gateway_t cv_gateway_t;
typedef struct cv_client_t cv_client_t;
typedef struct cv_exchange_t cv_exchange_t;
typedef struct cv_target_t cv_target_t;
typedef struct cv_move_t cv_move_t;

TAILQ_HEAD (cv_http_links_t, cv_http_link_t);
TAILQ_HEAD (cv_targets_t, cv_target_t);
TAILQ_HEAD (cv_clients_t, cv_client_t);
TAILQ_HEAD (cv_exchanges_t, cv_exchange_t);

/* ---- targets ---- */

typedef enum
{
  CV_TARGET_LISTED = 1, /* takes new requests */
  CV_TARGET_MISSING,    /* fell off the list while the store was away */
  CV_TARGET_DEPARTING,  /* leaving: no new requests */
  CV_TARGET_REMOVED     /* off the list; kept while requests are there */
} cv_target_presence_t;

struct cv_target_t
{
  TAILQ_ENTRY (cv_target_t) entry;
  cv_gateway_t *gateway;
  uint32_t refs; /* the table, and each exchange that names it */
  cv_instance_record_t record;
  cv_target_presence_t presence;
  cv_time_t listed_at;
  cv_time_t missing_until;   /* CV_TARGET_MISSING: then it is removed */
  bool seen;                 /* in the list being read */
  cv_time_t displaced_until; /* another instance has its address now */
  cv_health_t health;
  cv_time_t full_until;    /* it rejected a request for want of room */
  cv_time_t no_room_until; /* its observer refused a run that moves */
  /* The least that its observer refused since it last told its load, 0:
     nothing; to requests in time and to late ones, which get less room.  */
  uint64_t refused_tokens;
  uint64_t refused_late_tokens;
  struct cv_http_links_t idle;
  uint32_t idle_count;
  uint32_t in_flight; /* own requests there */
  /* Tokens of own requests: memory at their end, prompts not yet read, and
     memory of copies kept there.  */
  uint64_t run_tokens;
  uint64_t unread_tokens;
  uint64_t copy_tokens;
  /* What its observer last told, and when that came.  */
  cv_msg_engine_load_t load;
  cv_time_t load_at;           /* 0: never */
  struct sockaddr_in observer; /* who told it */
  /* Of own requests that the observer cannot have seen yet; kept only while
     a target is chosen.  */
  uint64_t unseen_tokens;
  uint64_t unseen_prompt;
  uint32_t unseen;
  cv_candidate_t seen_as; /* inputs of the last choice among targets */
  cv_move_t *move;        /* of a run off this target, or NULL */
};

/* What a gateway keeps of a service beyond one configuration.  */
typedef struct cv_service_state_t
{
  TAILQ_ENTRY (cv_service_state_t) entry;
  char name[CV_NAME_MAX];
  cv_retry_budget_t retries;
  cv_refusal_t refusals;
} cv_service_state_t;

TAILQ_HEAD (cv_service_states_t, cv_service_state_t);

/* What a gateway keeps of a route beyond one configuration.  */
typedef struct cv_route_state_t
{
  TAILQ_ENTRY (cv_route_state_t) entry; /* the one used last goes first */
  char name[CV_NAME_MAX];
  cv_patience_t patience;
} cv_route_state_t;

TAILQ_HEAD (cv_route_states_t, cv_route_state_t);

/* Routes that are remembered; configurations may name ever new ones.  */
#define CV_ROUTE_STATES_MAX 64

/* ---- callers ---- */

/* What a listening address is for.  */
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
} cv_port_t;

#define CV_PORTS_MAX 3

typedef enum
{
  CV_CLIENT_READING,   /* a request, or idle before one */
  CV_CLIENT_WAITING,   /* for the answer to its request */
  CV_CLIENT_LINGERING, /* answered; input is dropped until it closes */
} cv_client_state_t;

struct cv_client_t
{
  TAILQ_ENTRY (cv_client_t) entry;
  cv_port_t *port;
  cv_client_state_t state;
  struct bufferevent *bev;
  cv_http_reader_t reader;
  cv_buf_t body;
  cv_exchange_t *exchange; /* of CV_CLIENT_WAITING */
  cv_time_t since;         /* start of the request, or of being idle */
  bool close_after;        /* the connection ends with this answer */
  bool ends_body;          /* the end of the answer is that of the connection */
  bool unread;             /* answered before its request was read whole */
  bool handling;           /* its input is being handled */
  bool doomed;             /* closed once its input was handled */
};

/* ---- exchanges ---- */

typedef enum
{
  CV_EXCHANGE_WAITING = 1, /* for a target with room */
  CV_EXCHANGE_ASKING,      /* an observer whether its engine has room */
  CV_EXCHANGE_SENT,        /* no answer yet */
  CV_EXCHANGE_COLLECTING,  /* the answer is collected whole */
  CV_EXCHANGE_RELAYING,    /* a large answer is passed on as it comes */
  CV_EXCHANGE_STREAMING    /* events are passed on */
} cv_exchange_state_t;

/* Longest name of a copy of a run's memory, with its null byte.  */
#define CV_HANDLE_MAX 128
/* Most targets that one exchange remembers as tried.  */
#define CV_TRIED_MAX 8

/* One request of a caller and all that is done for it.  */
struct cv_exchange_t
{
  TAILQ_ENTRY (cv_exchange_t) entry;   /* of all */
  TAILQ_ENTRY (cv_exchange_t) waiting; /* for a target */
  cv_gateway_t *gateway;
  cv_client_t *client;
  cv_exchange_state_t state;
  cv_routing_t *routing;
  const cv_route_t *route;
  const cv_service_t *service;
  cv_service_state_t *service_state;
  const cv_client_account_t *account; /* NULL: none */
  cv_caller_request_t request;
  cv_output_t output; /* of a generation, as expected */
  cv_urgency_t urgency;
  uint64_t need_tokens; /* memory of the run at its end, as expected */
  cv_time_t started;
  cv_time_t expires;    /* the caller or the route gives up */
  cv_time_t wait_until; /* no use in waiting for a target any longer */

  cv_target_t *asked; /* of CV_EXCHANGE_ASKING */
  cv_time_t asked_at;
  uint32_t asks;       /* in a row */
  bool has_grant;      /* of room at its target */
  bool is_judged;      /* the present attempt, by cv_attempt_judge */
  cv_target_t *target; /* of the present attempt */
  cv_http_link_t *link;
  cv_time_t sent_at;
  cv_time_t heard_at;    /* last event of a stream */
  cv_time_t first_event; /* from the start to the first event; 0: none */
  cv_time_t gap_max;     /* longest time between events */
  cv_time_t passed_at;   /* last event passed on */
  uint32_t sends;        /* attempts that reached a connection */
  uint32_t rejections;   /* of them, stated as not run */
  uint32_t connects;     /* connections that did not come about */
  uint32_t resumes;
  char tried[CV_TRIED_MAX][CV_NAME_MAX];
  uint32_t tried_count;
  bool may_have_run;   /* some attempt, as far as is known */
  bool is_queued;      /* in the list of waiting ones */
  bool counted_unread; /* its prompt counts as not yet read */
  bool skip_answer;    /* the answer that comes belongs to another request */
  bool rejected;       /* the answer that comes says: not run */

  bool resume_pending; /* no event yet since the stream was resumed */
  bool from_copy;      /* the present attempt goes on from a copy */
  struct sockaddr_in copy_at;
  char copy_handle[CV_HANDLE_MAX];
  cv_move_t *move;         /* of its run, or NULL */
  uint32_t moves;          /* that were tried */
  cv_time_t no_move_until; /* no engine had room for its run */
  bool is_parted;          /* its run was stopped for a move */

  cv_buf_t answer;    /* collected body */
  bool head_sent;     /* the caller has the answer's head */
  cv_events_t events; /* of a stream */
};

/* ---- following the store ---- */

typedef enum
{
  CV_FOLLOW_LIST = 1, /* read the whole list, page by page */
  CV_FOLLOW_WATCH     /* wait for changes */
} cv_follow_phase_t;

typedef struct
{
  cv_gateway_t *gateway;
  cv_store_kind_t kind;
  cv_follow_phase_t phase;
  cv_http_call_t call;
  uint64_t at;             /* revision up to which changes are known */
  uint64_t list_at;        /* revision of the list being read */
  char after[CV_NAME_MAX]; /* last name of the page before */
  cv_time_t next_call;
  cv_time_t hurried_at;
  bool is_synced; /* a whole list was read since the start */
  bool lost;      /* the store did not answer the last call */
  cv_time_t lost_at;
  cv_time_t regained_at;
  cv_time_t confirmed_at; /* last answer as it should be */
  uint32_t failures;      /* in a row */
} cv_follow_t;

typedef enum
{
  CV_REGISTER_CREATE = 1,
  CV_REGISTER_REPLACE,
  CV_REGISTER_DONE
} cv_register_phase_t;

/* The object by which observers find this gateway.  */
typedef struct
{
  cv_gateway_t *gateway;
  cv_register_phase_t phase;
  cv_http_call_t call;
  cv_time_t next_call;
} cv_register_t;

/* ---- counters ---- */

typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t refused;
  uint64_t failed;
  uint64_t cut;
  uint64_t left; /* callers that went away */
  uint64_t retries;
  uint64_t resumes;
  uint64_t sends;
  uint64_t connections;
} cv_gateway_counts_t;

struct cv_gateway_t
{
  cv_gateway_settings_t settings;
  const char *settings_path;
  struct sockaddr_in store;
  struct event_base *base;
  struct event *tick;
  struct event *signals[4];
  cv_port_t ports[CV_PORTS_MAX];
  uint32_t port_count;
  cv_routing_t *routing; /* NULL until one is known */
  struct cv_targets_t targets;
  struct cv_service_states_t services;
  struct cv_route_states_t route_states;
  uint32_t route_state_count;
  struct cv_clients_t clients;
  uint32_t client_count;
  bool accepting;
  struct cv_exchanges_t exchanges;
  struct cv_exchanges_t waiting; /* most urgent first, then in order */
  cv_follow_t follow_routing;
  cv_follow_t follow_instances;
  cv_register_t registration;
  struct sockaddr_in loads_address;
  int loads_fd;
  struct event *loads_event;
  uint32_t gateway_count; /* that share the retry budget, as observers tell */
  cv_time_t observed_at;  /* last word of any observer */
  cv_time_t ticked_at;
  cv_time_t woke_at; /* last end of a stretch without a tick */
  cv_rng_t rng;
  bool stopping;
  cv_time_t stop_at;
  cv_time_t stop_by; /* requests under way are cut then */
  cv_gateway_counts_t counts;
  cv_hist_t latency; /* milliseconds to the end of an answer */
  cv_hist_t first_event;
  cv_hist_t gaps; /* longest gap of each stream */
};

/* client.c */
bool cv_port_open (cv_gateway_t *g, cv_port_kind_t kind, const char *url,
                   cv_error_t *err);
void cv_port_close (cv_port_t *p);
/* The answer is complete (WHOLE) or broken off.  */
void cv_client_answered (cv_client_t *c, bool whole);
/* Put the head of an answer together: status line, FIELDS of HEAD (may be
   NULL) and framing.  */
void cv_client_send (cv_client_t *c, cv_slice_t head, cv_slice_t body);
void cv_client_close (cv_client_t *c);
void cv_clients_tick (cv_gateway_t *g, cv_time_t now);
/* Called for each head: whether this answer is the last of its connection,
   which the head then has to say.  */
bool cv_client_announce_end (cv_client_t *c);

/* answer.c */
/* A short answer of the gateway's own; RETRY_AFTER_MS 0: none.  */
void cv_answer_own (cv_client_t *c, unsigned status, const char *reason,
                    uint32_t retry_after_ms);
/* The head of a target's answer for the caller.  */
typedef enum
{
  CV_FRAMING_LENGTH = 1, /* the body's length is known */
  CV_FRAMING_CHUNKED,
  CV_FRAMING_CLOSE, /* the body ends with the connection */
  CV_FRAMING_NONE   /* no body, fields as the target gave them */
} cv_framing_t;
void cv_answer_head (cv_buf_t *out, const cv_http_head_t *head,
                     cv_framing_t framing, size_t length, bool last);
/* Bytes of a body in FRAMING.  */
void cv_answer_chunk (cv_client_t *c, cv_framing_t framing, cv_slice_t data);
/* The end of a body in FRAMING.  */
void cv_answer_body_end (cv_client_t *c, cv_framing_t framing);
void cv_answer_ready (cv_client_t *c);
void cv_answer_metrics (cv_client_t *c);

/* exchange.c */
void cv_exchange_begin (cv_client_t *c);
/* The caller went away.  */
void cv_exchange_left (cv_exchange_t *x);
/* Place what waits, after room came free.  */
void cv_exchange_place_waiting (cv_gateway_t *g);
void cv_exchanges_tick (cv_gateway_t *g, cv_time_t now);
/* Answer X with STATUS of the gateway's own, and end it.  */
void cv_exchange_refuse (cv_exchange_t *x, unsigned status,
                         uint32_t retry_after_ms, const char *reason);
void cv_exchange_end (cv_exchange_t *x, bool whole);
/* Another attempt fits into the route's bound and before the end.  */
bool cv_exchange_may_repeat (const cv_exchange_t *x);
/* The target states that it did not run X.  */
void cv_exchange_rejected (cv_exchange_t *x, unsigned status);
/* The present attempt ended without a proper answer.  */
void cv_exchange_failed (cv_exchange_t *x, const char *reason,
                         bool may_have_run);
/* Go on at T from the copy HANDLE of the run's memory that SOURCE made.  */
void cv_exchange_resume (cv_exchange_t *x, cv_target_t *t,
                         const struct sockaddr_in *source, const char *handle,
                         const char *reason);
/* Tokens of its output that X's caller has.  */
uint64_t cv_exchange_produced (const cv_exchange_t *x);
/* Wait for a target with room, or end X when there is no time left.  */
void cv_exchange_wait (cv_exchange_t *x);
/* Find a target and send, or wait for one.  */
void cv_exchange_place (cv_exchange_t *x);

/* attempt.c */
/* Send X to T; the link is opened where none is idle.  */
void cv_attempt_start (cv_exchange_t *x, cv_target_t *t);
/* Give up the connection and the target of the present attempt.  */
void cv_attempt_stop (cv_exchange_t *x);
/* The target of the present attempt has done as it should, or not: note it,
   and tell its observer, who hears of all gateways.  */
void cv_attempt_judge (cv_exchange_t *x, bool served);
/* The first event or the answer came: the prompt is read.  */
void cv_attempt_read (cv_exchange_t *x);

/* states.c */
/* The state of a service or a route by its NAME, made anew where there is
   none.  */
cv_service_state_t *cv_service_state (cv_gateway_t *g, const char *name);
cv_route_state_t *cv_route_state (cv_gateway_t *g, const char *name);
void cv_states_finish (cv_gateway_t *g);

/* choose.c */
/* The target for X now, or NULL.  */
cv_target_t *cv_choose_target (cv_exchange_t *x);
/* Where to move X's run of TOKENS off T, or NULL.  */
cv_target_t *cv_choose_destination (cv_exchange_t *x, const cv_target_t *t,
                                    uint64_t tokens, cv_room_purpose_t purpose);
uint32_t cv_choose_retry_after (cv_exchange_t *x);

/* targets.c */
void cv_targets_note (cv_gateway_t *g, const cv_instance_record_t *r);
void cv_targets_remove (cv_gateway_t *g, const char *id, bool in_doubt);
/* Begin and end of reading a whole list.  */
void cv_targets_list_begin (cv_gateway_t *g);
void cv_targets_list_end (cv_gateway_t *g, bool in_doubt);
void cv_targets_tick (cv_gateway_t *g, cv_time_t now);
cv_target_t *cv_target_ref (cv_target_t *t);
void cv_target_unref (cv_target_t *t);
/* Its address is another instance's; it gets no more requests.  */
void cv_target_displaced (cv_target_t *t);
/* A request failed there.  */
void cv_target_failed (cv_target_t *t);
bool cv_target_usable (const cv_target_t *t, cv_time_t now);
/* Whether T's observer has spoken lately, so that it can be asked.  */
bool cv_target_is_observed (const cv_target_t *t, cv_time_t now);
/* An idle connection, or a new one; NULL with ERR.  FRESH: one that was used
   a moment ago or is new.  */
cv_http_link_t *cv_target_take_link (cv_target_t *t, bool fresh,
                                     cv_error_t *err);
/* The exchange on L is over.  */
void cv_target_return_link (cv_target_t *t, cv_http_link_t *l);
void cv_targets_finish (cv_gateway_t *g);

cv_target_t *cv_target_find (cv_gateway_t *g, const char *id);
/* Whether T ends soon: listed as leaving, off the list, or by its own
   word.  */
bool cv_target_is_departing (const cv_target_t *t);
/* Time until T ends, 0 when not known.  */
cv_time_t cv_target_time_left (const cv_target_t *t, cv_time_t now);

/* ask.c */
/* Ask the observer of T for room; false when there is none to ask.  */
bool cv_ask_room (cv_exchange_t *x, cv_target_t *t);
/* The observer of T answers.  */
void cv_ask_answered (cv_gateway_t *g, cv_target_t *t, const cv_msg_room_t *m);
/* No answer came in time: the request is sent.  */
void cv_ask_tick (cv_exchange_t *x, cv_time_t now);
/* Ask the observer of T for room for X, without waiting.  */
void cv_ask_tell (const cv_exchange_t *x, const cv_target_t *t,
                  cv_room_purpose_t purpose);
/* X waits for no answer any more.  */
void cv_ask_stop (cv_exchange_t *x);
/* Tell the observer of T that RUN has ended there, or will not come.  */
void cv_ask_end (const cv_target_t *t, cv_slice_t run, cv_room_step_t how);

/* loads.c */
bool cv_loads_open (cv_gateway_t *g, cv_error_t *err);
void cv_loads_close (cv_gateway_t *g);
/* Send a message to the observer of T, if one is known.  */
void cv_loads_send (const cv_target_t *t, const cv_msg_t *msg);
/* This gateway's share of the retry budget.  */
void cv_loads_set_budget (const cv_gateway_t *g, cv_retry_budget_t *b);

/* register.c */
void cv_register_init (cv_register_t *r, cv_gateway_t *g);
void cv_register_finish (cv_register_t *r);
void cv_register_tick (cv_register_t *r, cv_time_t now);

/* evacuate.c */
void cv_moves_tick (cv_gateway_t *g, cv_time_t now);
void cv_moves_finish (cv_gateway_t *g);
/* The observer of T has given RUN its turn.  */
void cv_move_granted (cv_gateway_t *g, cv_target_t *t, const char *run);
/* What a move of X's run costs and saves.  */
void cv_evacuee_describe (const cv_exchange_t *x, cv_time_t now,
                          cv_evacuee_t *out);
/* Tell the observer of T about the turn of RUN, which has TOKENS.  */
void cv_evacuee_turn (const cv_target_t *t, cv_slice_t run, cv_turn_t turn,
                      uint64_t tokens);

/* move.c */
/* Move the run of X off T.  */
void cv_move_start (cv_exchange_t *x, cv_target_t *t);
void cv_move_tick (cv_move_t *m, cv_time_t now);
/* The process ends: forget M.  */
void cv_move_abandon (cv_move_t *m);
/* The run stops now: the end of its stream is no failure.  */
bool cv_move_is_stopping (const cv_move_t *m);
/* The observer of TO answers for a run that is to move there; false when none
   is.  */
bool cv_move_answered (cv_gateway_t *g, const cv_target_t *to,
                       const cv_msg_room_t *answer);
/* The exchange of M ends.  */
void cv_move_forget (cv_move_t *m);

/* follow.c */
void cv_follow_init (cv_follow_t *f, cv_gateway_t *g, cv_store_kind_t kind);
void cv_follow_finish (cv_follow_t *f);
/* There is news that are not known yet: do not gather any longer.  */
void cv_follow_hurry (cv_follow_t *f, cv_time_t now);
void cv_follow_tick (cv_follow_t *f, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
