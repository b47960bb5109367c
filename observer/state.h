/* State of an observer, shared by its files.  One thread runs them all.  */

#ifndef CV_OBSERVER_STATE_H
#define CV_OBSERVER_STATE_H

#include <event2/event.h>

#include "base/line.h"
#include "http/call.h"
#include "observer/observer.h"
#include "platform/platform.h"
#include "policy/health.h"
#include "policy/room.h"
#include "policy/turns.h"
#include "wire/wire.h"

/* Gateways that are told; more are left out with a log line.  */
#define CV_OBSERVER_GATEWAYS_MAX 512

/* A gateway's wish to move a run.  */
typedef struct
{
  cv_msg_move_t move;
  struct sockaddr_in gateway;
} cv_asked_turn_t;

typedef struct
{
  cv_observer_settings_t settings;
  struct event_base *base;
  struct event *tick;
  struct event *signals[2];
  int socket; /* UDP: loads to the gateways, turns with them */
  struct event *datagrams;
  cv_http_call_t engine;
  cv_http_call_t store;
  bool asking_name; /* the call to the engine is for its name */
  bool reachable;   /* the engine answered the last call */
  char name[CV_NAME_MAX];
  uint64_t named_for; /* start of the engine that has this name */
  cv_msg_engine_load_t load;
  cv_time_t told_at;
  cv_time_t ask_at;
  cv_time_t list_at;
  char list_after[CV_NAME_MAX];
  struct sockaddr_in gateways[CV_OBSERVER_GATEWAYS_MAX];
  uint32_t gateway_count;
  /* Of the list being read.  */
  struct sockaddr_in listed[CV_OBSERVER_GATEWAYS_MAX];
  uint32_t listed_count;
  uint64_t sequence;
  cv_room_t room;
  cv_health_t health; /* of the engine, by what gateways say */
  bool told_failing;
  cv_time_t trial_until; /* the one request of a trial is under way */
  cv_turns_t turns;
  cv_asked_turn_t asked[CV_TURNS_MAX];
  uint32_t granted; /* place of the last grant that was logged */
  cv_time_t granted_at;
} cv_observer_t;

/* observer.c */
/* Tell the gateways the present load.  */
void cv_observer_tell (cv_observer_t *o);

/* requests.c */
void cv_observer_on_datagram (evutil_socket_t fd, short what, void *arg);

#endif
