/* Settings of one process: its role, its addresses, its failure domain and
   the outside services it uses.  JSON with comments; docs/SETTINGS.md
   describes each key.  What the operators declare for all processes is the
   configuration (config/config.h), not settings.  */

#ifndef CV_SETTINGS_H
#define CV_SETTINGS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_ADDRESS_MAX 48 /* an IP number and a null byte */
#define CV_URL_MAX 128

/* Exit code of a process whose settings were refused.  */
#define CV_EXIT_SETTINGS 2

typedef enum
{
  CV_ROLE_ENTRY = 1,
  CV_ROLE_SIDE,
  CV_ROLE_GATEWAY,
  CV_ROLE_OBSERVER
} cv_role_t;

typedef enum
{
  CV_TARGET_ENGINE = 1, /* a model engine */
  CV_TARGET_SERVICE     /* a plain service */
} cv_target_kind_t;

/* An IP number and a port to listen on.  */
typedef struct
{
  char address[CV_ADDRESS_MAX];
  uint32_t port;
} cv_endpoint_t;

typedef struct
{
  char url[CV_URL_MAX]; /* http://IP:PORT */
  uint32_t timeout_ms;  /* of one call */
} cv_service_url_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  cv_endpoint_t http;             /* callers and operators */
  cv_service_url_t store;         /* object API */
  cv_service_url_t instance_list; /* list of live and leaving instances */
  char operator_key_hash[65];     /* of the operators' bearer key; "": none */
  uint32_t max_connections;       /* callers at once */
  uint32_t max_body_bytes;        /* of one request */
  uint32_t idle_timeout_s;        /* of a caller that sends nothing */
  uint32_t keepalive_ms;          /* between comment lines of a silent stream */
  uint32_t store_poll_ms;         /* of the configuration, one entry alone */
  uint32_t instance_poll_ms;
  uint32_t drain_s; /* longest wait for requests in flight at a stop */
} cv_entry_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX]; /* the target's name when absent */
  char target[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  cv_target_kind_t kind;
  cv_endpoint_t wire;           /* ZeroMQ, for the entries */
  cv_endpoint_t control;        /* HTTP: /healthz, /metrics, notices */
  cv_service_url_t target_url;  /* the engine or service */
  char weights_url[CV_URL_MAX]; /* weight store asked before a load; "" */
  uint32_t max_batch;           /* streams of an engine at once */
  uint64_t kv_tokens;           /* engine memory until it reports */
  uint32_t max_calls;           /* calls of a service at once */
  uint32_t buffer_bytes;        /* tokens kept for resuming callers, in all */
  uint32_t resume_s;            /* a stream without a reader lives so long */
  uint32_t generation_s;        /* ticket generation */
  uint32_t load_poll_ms;        /* of the engine's own figures */
  uint32_t drain_s;             /* longest wait for work in flight at a stop */
} cv_side_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  char listen_url[CV_URL_MAX];  /* where callers come in */
  char ready_url[CV_URL_MAX];   /* where the balancer asks for readiness */
  char metrics_url[CV_URL_MAX]; /* counters and histograms; "": none */
  char store_url[CV_URL_MAX];   /* configuration and list of instances */
  uint32_t memory_mb;           /* of the process */
  uint32_t descriptors;         /* of the process */
  double grace_s;               /* from the request to stop to the kill */
  double retry_ratio;           /* repeated arrivals for each request */
  double retry_slack;           /* and so many beside */
  cv_endpoint_t loads;          /* UDP, for the observers' messages */
  double lapse_s; /* a store that was away lists live targets again within */
} cv_gateway_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char engine_url[CV_URL_MAX]; /* the engine on this instance */
  char store_url[CV_URL_MAX];  /* where gateways are listed */
  uint32_t report_ms;          /* between looks at the engine's load */
} cv_observer_settings_t;

typedef struct
{
  cv_role_t role;
  union
  {
    cv_entry_settings_t entry;
    cv_side_settings_t side;
    cv_gateway_settings_t gateway;
    cv_observer_settings_t observer;
  } u;
} cv_settings_t;

/* Read PATH into OUT.  Each problem is one line "PATH:LINE:COLUMN: text" on
   ERRORS (may be NULL); all of them are reported.  False when there was
   any.  */
bool cv_settings_load (const char *path, cv_settings_t *out, FILE *errors);
/* The same for a text in memory; PATH only names it.  */
bool cv_settings_parse (const char *path, cv_slice_t text, cv_settings_t *out,
                        FILE *errors);

/* "IP:PORT" texts of the endpoints that the process listens on, for checks
   across files; returns their number.  */
#define CV_SETTINGS_ENDPOINTS 2
#define CV_ENDPOINT_TEXT (CV_ADDRESS_MAX + 10)
size_t
cv_settings_endpoints (const cv_settings_t *s,
                       char out[CV_SETTINGS_ENDPOINTS][CV_ENDPOINT_TEXT]);
/* Name of the process.  */
const char *cv_settings_instance (const cv_settings_t *s);

#ifdef __cplusplus
}
#endif

#endif
