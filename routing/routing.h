/* What the operators declare to a gateway: routes, services, limits on
   callers and client accounts, as one immutable version; and the record of
   one instance that serves a service.  */

#ifndef CV_ROUTING_H
#define CV_ROUTING_H

#include <netinet/in.h>

#include "base/base.h"
#include "policy/map.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Services that one route may share its requests among.  */
#define CV_ROUTE_SHARES_MAX 8
#define CV_NO_SERVICE UINT32_MAX

/* What may be repeated on a route.  */
typedef enum
{
  CV_ROUTE_STREAMING = 1, /* at most once, unless it may be resumed */
  CV_ROUTE_IDEMPOTENT,
  CV_ROUTE_NON_IDEMPOTENT /* at most once for an attempt of a caller */
} cv_route_kind_t;

typedef struct
{
  uint32_t service; /* index into the services */
  uint32_t weight;
} cv_route_share_t;

typedef struct
{
  char name[CV_NAME_MAX];
  char *host;   /* lower case, without a port */
  char *prefix; /* begins and ends with a slash */
  cv_route_kind_t kind;
  bool resumable;            /* a stream may go on in a new run */
  bool keyless;              /* callers need no key */
  uint32_t timeout_ms;       /* 0: none */
  uint32_t objective_ms;     /* to the answer, or to a stream's first event */
  uint32_t gap_objective_ms; /* between events of a stream, 0: none */
  uint32_t priority;         /* 0 is the most urgent */
  uint32_t max_targets;      /* for one attempt of a caller */
  cv_route_share_t shares[CV_ROUTE_SHARES_MAX];
  uint32_t share_count;
} cv_route_t;

/* What the engines of a service have; all 0 for a plain service.  */
typedef struct
{
  uint32_t slots;         /* requests at once */
  uint64_t memory_tokens; /* of running requests and cached prompts */
  bool can_move;          /* a run's memory can go to another engine */
  uint32_t event_tokens;  /* tokens in an event of a stream */
} cv_engine_traits_t;

typedef struct
{
  char name[CV_NAME_MAX];
  uint32_t max_connections; /* of one target, from all callers together */
  bool is_engine;
  cv_engine_traits_t engine;
} cv_service_t;

/* Bounds on what a caller may send and how long it may take.  */
typedef struct
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} cv_caller_limits_t;

typedef struct
{
  char name[CV_NAME_MAX];
  bool has_priority; /* goes before the route's */
  uint32_t priority;
} cv_client_account_t;

typedef struct
{
  char *text;
  uint32_t account;
} cv_account_key_t;

/* One version; shared by reference, immutable once indexed.  */
typedef struct
{
  uint32_t refs;
  uint64_t version;  /* as the operators number it */
  uint64_t revision; /* of the store's object */
  cv_route_t *routes;
  uint32_t route_count;
  cv_service_t *services;
  uint32_t service_count;
  cv_client_account_t *accounts;
  uint32_t account_count;
  cv_account_key_t *keys;
  uint32_t key_count;
  bool keys_required; /* the version declares client accounts */
  cv_caller_limits_t limits;
  cv_map_t by_place; /* hash of host and prefix to a route */
  cv_map_t by_key;   /* hash of a key to its entry */
  cv_map_t hosts;    /* hash of a host to its longest prefix */
} cv_routing_t;

/* An empty version with one reference, for a decoder to fill.  */
cv_routing_t *cv_routing_new (void);
cv_routing_t *cv_routing_ref (cv_routing_t *r);
void cv_routing_unref (cv_routing_t *r);
/* Build the indexes.  ERR names a prefix or key that stands twice.  */
bool cv_routing_index (cv_routing_t *r, cv_error_t *err);

/* The route with the longest prefix of PATH on HOST (any case, a port is
   left out), or NULL.  */
const cv_route_t *cv_routing_route (const cv_routing_t *r, cv_slice_t host,
                                    cv_slice_t path);
/* The account that holds KEY, or NULL.  */
const cv_client_account_t *cv_routing_account (const cv_routing_t *r,
                                               cv_slice_t key);
uint32_t cv_routing_service (const cv_routing_t *r, const char *name);
/* Whether a request of ROUTE may be sent again when its run is in doubt.  */
bool cv_route_is_repeatable (const cv_route_t *route);
/* The service of one request: POINT in [0, 1) falls on the weights.  */
uint32_t cv_route_pick_service (const cv_route_t *route, double point);

/* One instance as the platform lists it.  */
typedef struct
{
  char id[CV_NAME_MAX];
  char service[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  struct sockaddr_in address;
  uint32_t slots;
  bool leaving;
  uint32_t warmup_ms;
  uint64_t started_ms; /* Unix time of its start; another one, another life */
} cv_instance_record_t;

#ifdef __cplusplus
}
#endif

#endif
