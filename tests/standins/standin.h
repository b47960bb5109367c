/* Common part of all stand-ins: command line, JSON over HTTP, fault injection,
   audit and process lifetime.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <netinet/in.h>

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <ulfius.h>

/* A numeric command-line option of a stand-in.  */
typedef struct
{
  const char *name;
  long long *value; /* holds the default before parsing */
  const char *doc;
} standin_option_t;

/* Description of one stand-in.  */
typedef struct
{
  const char *name;
  const standin_option_t *options;
  size_t n_options;
  /* Applies the fault switches of this stand-in from the body of POST /fault;
     the common ones are already applied.  May be NULL.  */
  void (*fault) (json_object *switches);
  /* Returns the body of GET /audit; the caller owns it.  */
  json_object *(*audit) (void);
} standin_t;

/* Parses the command line and prepares the HTTP server.  Exits with a message
   on an error.  */
void standin_init (const standin_t *self, int argc, char **argv);
/* Handles requests of METHOD for PATH with CALLBACK.  */
void standin_on (const char *method, const char *path,
                 int (*callback) (const struct _u_request *,
                                  struct _u_response *, void *));
/* Handles all requests that match no other path with CALLBACK.  */
void standin_on_any (int (*callback) (const struct _u_request *,
                                      struct _u_response *, void *));
/* Serves until SIGTERM, SIGINT or the end of the lifetime, then exits.  */
void standin_run (void) __attribute__ ((noreturn));

/* Time on the monotonic clock, in milliseconds.  */
int64_t standin_now_ms (void);
void standin_sleep_ms (int64_t ms);
uint64_t standin_seed (void);
/* Whether the stall fault is set.  */
bool standin_is_stalled (void);

/* Parses the request's body.  Returns NULL if it is not a JSON object.  The
   caller owns the result.  */
json_object *standin_body (const struct _u_request *request);
/* Responds with STATUS and OBJECT, and releases OBJECT.  */
int standin_reply (struct _u_response *response, int status,
                   json_object *object);
/* Responds with STATUS and {"error":{"code":CODE}}.  */
int standin_error (struct _u_response *response, int status, const char *code);
/* Closes the request's connection without a response.  */
int standin_drop (const struct _u_request *request,
                  struct _u_response *response);

/* Return member KEY of OBJECT, or FALLBACK if it is absent or of another
   type.  */
int64_t standin_int (json_object *object, const char *key, int64_t fallback);
bool standin_bool (json_object *object, const char *key, bool fallback);
const char *standin_text (json_object *object, const char *key,
                          const char *fallback);
/* Returns query parameter KEY as a number, or FALLBACK if it is absent,
   negative or not a number.  */
int64_t standin_query (const struct _u_request *request, const char *key,
                       int64_t fallback);
void standin_set_int (json_object *object, const char *key, int64_t value);
void standin_set_text (json_object *object, const char *key, const char *value);

/* Token bucket of a rate limit.  */
typedef struct
{
  double tokens;
  int64_t last_ms;
} standin_bucket_t;

/* Takes a token for one call.  The bucket holds up to BURST tokens and refills
   at RATE tokens per PERIOD_MS.  Returns false if it is empty.  */
bool standin_bucket_take (standin_bucket_t *bucket, double rate,
                          double period_ms, double burst);

#endif
