/* The operators' configuration of a gateway as one immutable version: routes,
   services, limits on callers and client accounts.  Also the record of one
   instance of a service.  */

#ifndef CV_ROUTING_H
#define CV_ROUTING_H

#include <netinet/in.h>

#include "base/base.h"
#include "policy/map.h"
#include "policy/regions.h"
#include "policy/warmup.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_NO_SERVICE UINT32_MAX

/* Kind of a route: whether a request may be sent again, within one attempt of
   its caller, when a target may have run it already.  */
typedef enum
{
  CV_ROUTE_STREAMING = 1, /* only if the route is resumable */
  CV_ROUTE_IDEMPOTENT,    /* yes */
  CV_ROUTE_NON_IDEMPOTENT /* no */
} cv_route_kind_t;

typedef struct
{
  uint32_t service; /* index into the services */
  uint32_t weight;
} cv_route_share_t;

typedef struct
{
  char name[CV_NAME_MAX];
  char *host;   /* matches only if in lower case and without a port */
  char *prefix; /* matches only if it begins and ends with a slash */
  cv_route_kind_t kind;
  bool resumable;            /* a cut stream may continue in a new generation */
  bool keyless;              /* needs no key even if KEYS_REQUIRED */
  uint32_t timeout_ms;       /* 0: none */
  uint32_t objective_ms;     /* latency of answer or stream's first event */
  uint32_t gap_objective_ms; /* between events of a stream, 0: none */
  uint32_t priority;         /* 0 is the most urgent */
  uint32_t max_targets;      /* tried per attempt of a caller */
  cv_regions_t regions;      /* in which its requests may run */
  cv_route_share_t *shares;  /* the services that share its requests */
  uint32_t share_count;
} cv_route_t;

/* Properties of the engines of a service; all 0 for other services.  */
typedef struct
{
  uint32_t slots;         /* concurrent requests */
  uint64_t memory_tokens; /* KV cache: running requests, cached prompts */
  bool can_migrate;       /* generations can migrate to another engine */
  uint32_t event_tokens;  /* tokens per event of a stream; at least 1 */
} cv_engine_traits_t;

typedef struct
{
  char name[CV_NAME_MAX];
  uint32_t max_connections; /* to one target; not used by the gateway */
  bool is_engine; /* else a plain service: its targets are not engines */
  cv_engine_traits_t engine;
  cv_warmup_limit_t warmup;
  bool has_malformed_warmup; /* a malformed limit, which counts as none */
  bool is_ranked;            /* its routes differ in priority or objective */
} cv_service_t;

/* Limits on the size and the duration of a caller's request.  */
typedef struct
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  uint32_t head_timeout_ms;
  uint32_t idle_timeout_ms;
} cv_caller_limits_t;

/* The higher of each limit of A and B.  */
cv_caller_limits_t cv_caller_limits_higher (const cv_caller_limits_t *a,
                                            const cv_caller_limits_t *b);

typedef struct
{
  char name[CV_NAME_MAX];
  bool has_priority; /* PRIORITY overrides the route's */
  uint32_t priority;
  cv_regions_t regions; /* in which its requests may run */
} cv_client_account_t;

typedef struct
{
  char *text;
  uint32_t account; /* index into the accounts */
} cv_account_key_t;

/* One version; reference-counted, immutable once indexed.  */
typedef struct
{
  uint32_t refs;
  uint64_t version; /* number set by the operators */
  uint64_t
      history; /* of the store, in which it was read (policy/store_history.h) */
  uint64_t revision; /* of the object in the store, in HISTORY */
  cv_route_t *routes;
  uint32_t route_count;
  cv_service_t *services;
  uint32_t service_count;
  cv_client_account_t *accounts;
  uint32_t account_count;
  cv_account_key_t *keys;
  uint32_t key_count;
  /* Client accounts are declared; callers need a key of one, except on keyless
     routes.  */
  bool keys_required;
  cv_caller_limits_t limits;
  cv_map_t route_by_host_prefix; /* hash of both to index in ROUTES */
  cv_map_t key_by_hash;          /* hash of an account key to index in KEYS */
  cv_map_t longest_prefix; /* hash of a host to length of longest prefix */
} cv_routing_t;

/* Whether R replaces CURRENT.  Versions increase in all histories of the store;
   revisions tell two writes of one version apart.  */
bool cv_routing_supersedes (const cv_routing_t *r, const cv_routing_t *current);
/* Returns an empty version with one reference, for a decoder to fill.  */
cv_routing_t *cv_routing_new (void);
cv_routing_t *cv_routing_ref (cv_routing_t *r);
void cv_routing_unref (cv_routing_t *r);
/* Builds the indexes and marks the ranked services.  Returns false with ERR set
   when a prefix is declared twice for one host, or a key twice.  */
bool cv_routing_build_index (cv_routing_t *r, cv_error_t *err);

/* Returns the route with the longest prefix of PATH on HOST, or NULL.  The
   case and the port of HOST are ignored.  */
const cv_route_t *cv_routing_find_route (const cv_routing_t *r, cv_slice_t host,
                                         cv_slice_t path);
/* Returns the account that holds KEY, or NULL.  */
const cv_client_account_t *cv_routing_find_account (const cv_routing_t *r,
                                                    cv_slice_t key);
/* Returns the index of the service NAME, or CV_NO_SERVICE.  */
uint32_t cv_routing_find_service (const cv_routing_t *r, const char *name);
/* Whether a request of ROUTE may be sent again when a target may have run
   it.  */
bool cv_route_is_repeatable (const cv_route_t *route);
/* Picks the service of one request at random by weight; DRAW is a random
   number in [0, 1).  */
uint32_t cv_route_pick_service (const cv_route_t *route, double draw);

/* One instance as listed by the platform.  */
typedef struct
{
  char id[CV_NAME_MAX];
  char service[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  struct sockaddr_in address;
  uint32_t slots;      /* concurrent requests, 0: no limit */
  bool draining;       /* about to stop, takes no new requests */
  uint32_t warmup_ms;  /* left of its warm-up */
  uint64_t started_ms; /* Unix time of its start; changes at a restart */
  /* Version of its software, not of its weights.  */
  char software[CV_NAME_MAX];
} cv_instance_record_t;

#ifdef __cplusplus
}
#endif

#endif
