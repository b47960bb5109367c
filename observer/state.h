/* State of an observer, shared by its source files.  Single-threaded.  */

#ifndef CV_OBSERVER_STATE_H
#define CV_OBSERVER_STATE_H

#include <event2/event.h>

#include "base/line.h"
#include "http/call.h"
#include "observer/observer.h"
#include "platform/platform.h"
#include "policy/health.h"
#include "policy/lease_book.h"
#include "policy/origins.h"
#include "policy/pace.h"
#include "policy/room.h"
#include "roster/roster.h"
#include "wire/wire.h"

/* The versions of one service that began streams lately.  */
typedef struct
{
  char service[CV_NAME_MAX];
  cv_versions_t versions;
  cv_time_t recorded_at;
} cv_served_t;

/* Services of which versions are kept.  Engines belong to one or two.  */
#define CV_SERVED_MAX 8

typedef struct
{
  cv_observer_settings_t settings;
  cv_time_t started_at;
  struct event_base *base;
  struct event *tick;
  struct event *signals[2];
  int socket; /* UDP: load reports, reservations and migration leases */
  struct event *datagrams;
  cv_http_call_t engine;
  cv_store_history_t store_history;
  cv_roster_t roster; /* gateways that get load reports */
  bool wants_name; /* the next or current call to the engine is for its name */
  bool reachable;  /* the last engine report was valid, and all later calls to
                      the engine were answered */
  char name[CV_NAME_MAX];
  uint64_t name_started_ms; /* engine start that NAME belongs to */
  cv_time_t warmup_until;   /* as stated by that start, 0: not stated */
  cv_msg_engine_load_t load;
  cv_time_t load_sent_at;
  cv_time_t next_poll_at; /* next poll of the engine */
  uint64_t sequence;      /* of the last load report */
  cv_reservations_t reservations;
  cv_pace_t pace;
  bool sent_slow;       /* "is_slow" in the last load report */
  cv_origins_t origins; /* streams, as recorded by gateways */
  cv_served_t served[CV_SERVED_MAX];
  cv_engine_health_t
      health;        /* of the engine, by the outcomes that gateways report */
  bool sent_failing; /* "failing" in the last load report: the engine is
                        avoided */
  cv_time_t probe_until; /* no second probe before this time */
  cv_lease_book_t leases;
  uint32_t logged_lease;        /* index of the last lease that was logged */
  cv_time_t logged_lease_since; /* start of that lease */
} cv_observer_t;

/* observer.c */
/* Sends the present load to all gateways.  */
void cv_observer_send_load (cv_observer_t *o);

/* streams.c */
void cv_observer_handle_origin (cv_observer_t *o, const cv_msg_origin_t *m,
                                const struct sockaddr_in *from);

/* requests.c */
void cv_observer_on_datagram (evutil_socket_t fd, short what, void *arg);

#endif
