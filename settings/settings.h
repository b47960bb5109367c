/* Settings of one process: its role, addresses, failure domain and the external
   services it uses.  JSON with comments; docs/SETTINGS.md describes each key.
   What operators declare for all processes is not settings but
   configuration: that of the entries (config/config.h), and the routing
   configuration of the gateways (routing/routing.h).  */

#ifndef CV_SETTINGS_H
#define CV_SETTINGS_H

#include "base/json.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_ADDRESS_MAX 48 /* IP address with its null byte */
#define CV_URL_MAX 128

/* Exit code of a process whose settings are invalid.  */
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
  CV_TARGET_SERVICE     /* a plain service: a target that is no engine */
} cv_target_kind_t;

/* IP address and port to listen on.  */
typedef struct
{
  char address[CV_ADDRESS_MAX];
  uint32_t port;
} cv_endpoint_t;

/* An HTTP server that the process calls.  */
typedef struct
{
  char url[CV_URL_MAX]; /* http://IP:PORT */
  uint32_t timeout_ms;  /* of one call */
} cv_service_url_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  cv_endpoint_t http;             /* for callers and operators */
  cv_service_url_t store;         /* holds the configuration */
  cv_service_url_t instance_list; /* list of live and draining instances */
  char operator_key_hash[65];     /* of the operators' bearer key; "": none */
  uint32_t max_connections;       /* concurrent callers */
  uint32_t max_body_bytes;        /* of one request */
  uint32_t idle_timeout_s;        /* of a caller that sends nothing */
  uint32_t keepalive_ms;     /* between SSE comments that keep an idle stream
                                open */
  uint32_t store_poll_ms;    /* between reads of the configuration by a single
                               entry; longer with more entries */
  uint32_t instance_poll_ms; /* between calls to INSTANCE_LIST */
  uint32_t drain_s; /* longest wait for requests in flight at shutdown */
} cv_entry_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX]; /* default: the target's name */
  char target[CV_NAME_MAX];
  char pool[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  cv_target_kind_t kind;
  cv_endpoint_t wire;           /* ZeroMQ, for entries */
  cv_endpoint_t control;        /* HTTP: /healthz, /metrics, notices */
  cv_service_url_t target_url;  /* the engine or plain service */
  char weights_url[CV_URL_MAX]; /* called before a model load; "": none */
  uint32_t max_batch;           /* concurrent streams of an engine */
  uint64_t kv_tokens;           /* assumed engine memory until it reports */
  uint32_t max_calls;           /* concurrent calls of a plain service */
  uint32_t buffer_bytes; /* for tokens kept for resuming callers, in total */
  uint32_t resume_s;     /* how long a stream without a reader is kept */
  uint32_t generation_s; /* length of a ticket generation; a finished call is
                           kept for CV_TICKET_GENERATIONS_KEPT of them */
  uint32_t load_poll_ms; /* between polls of the engine's load */
  uint32_t drain_s;      /* longest wait for work in flight at shutdown */
} cv_side_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char failure_domain[CV_NAME_MAX];
  char listen_url[CV_URL_MAX];  /* for callers */
  char ready_url[CV_URL_MAX];   /* readiness check of the load balancer */
  char metrics_url[CV_URL_MAX]; /* counters and histograms; "": none */
  char store_url[CV_URL_MAX];   /* routing configuration and list of
                                   instances */
  uint32_t memory_mb;           /* memory limit of the process */
  uint32_t descriptors;         /* file descriptor limit of the process */
  double grace_s;               /* from the stop signal to the kill */
  double retry_ratio;           /* retry budget: retries per first attempt */
  double retry_slack;           /* further retries in a burst, of all gateways
                                   together */
  cv_endpoint_t loads;          /* UDP, for the observers' messages */
  /* How long a target stays in use that is missing from the store's list only
     because its entry may have expired during an outage of the store.  */
  double lapse_s;
  /* Requests a second that a cold target may get beyond its limit: up to the
     limit times WARMUP_OVERSHOOT, and WARMUP_SLACK.  */
  double warmup_overshoot;
  double warmup_slack;
  cv_names_t regions;  /* of the failure domains */
  cv_names_t features; /* that the platform asks for, by name */
  /* Time from the request to evacuate a failure domain until no request may
     reach its targets; 0: such requests are not read.  */
  uint32_t evacuate_ms;
} cv_gateway_settings_t;

typedef struct
{
  char instance[CV_NAME_MAX];
  char engine_url[CV_URL_MAX]; /* the engine beside this observer */
  char store_url[CV_URL_MAX];  /* for the list of gateways */
  uint32_t report_ms;          /* between polls of the engine's load */
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

/* Reads the file PATH into OUT.  Writes each problem as one line
   "PATH:LINE:COLUMN: text" to ERRORS (may be NULL).  Returns false when there
   is any.  */
bool cv_settings_load (const char *path, cv_settings_t *out, FILE *errors);
/* The same for TEXT in memory; PATH is used in error lines only.  */
bool cv_settings_parse (const char *path, cv_slice_t text, cv_settings_t *out,
                        FILE *errors);

/* Writes to OUT "IP:PORT" of the addresses that no other settings file may use,
   and returns their number.  They are those that the process listens on, but
   not metrics_url and loads of a gateway.  */
#define CV_SETTINGS_ENDPOINTS_MAX 2
#define CV_ENDPOINT_TEXT (CV_ADDRESS_MAX + 10)
size_t cv_settings_listen_endpoints (
    const cv_settings_t *s,
    char out[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT]);
/* Returns the instance name of the process.  */
const char *cv_settings_instance (const cv_settings_t *s);

#ifdef __cplusplus
}
#endif

#endif
