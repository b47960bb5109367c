/* What all stand-ins share: arguments, JSON over HTTP, the common faults,
   the audit and the end of the process.  */

#ifndef STANDIN_H
#define STANDIN_H

#include <netinet/in.h>

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <ulfius.h>

/* One numeric option of a stand-in.  */
typedef struct
{
  const char *name;
  long long *value; /* holds the default before parsing */
  const char *doc;
} standin_option_t;

/* What makes one stand-in differ from the others.  */
typedef struct
{
  const char *name;
  const standin_option_t *options;
  size_t n_options;
  /* Take the switches of one fault object; the common ones are done.  */
  void (*fault) (json_object *switches);
  json_object *(*audit) (void);
} standin_t;

/* Parse the command line, print usage errors, and prepare the HTTP server.
   Ends the process on an error.  */
void standin_init (const standin_t *self, int argc, char **argv);
/* Serve METHOD PATH by CALLBACK.  */
void standin_on (const char *method, const char *path,
                 int (*callback) (const struct _u_request *,
                                  struct _u_response *, void *));
/* Serve everything that no other path takes.  */
void standin_on_any (int (*callback) (const struct _u_request *,
                                      struct _u_response *, void *));
/* Serve until SIGTERM or the end of the lifetime, then end the process.  */
void standin_run (void) __attribute__ ((noreturn));

/* Milliseconds on the monotonic clock.  */
int64_t standin_now_ms (void);
void standin_sleep_ms (int64_t ms);
uint64_t standin_seed (void);
bool standin_stalled (void);

/* The request's body, or NULL when it is not one JSON object.  The caller
   owns the result.  */
json_object *standin_body (const struct _u_request *request);
/* Answer with OBJECT and release it.  */
int standin_reply (struct _u_response *response, int status,
                   json_object *object);
/* Answer {"error":{"code":CODE}}; EXTRA (may be NULL) is added as NAME.  */
int standin_error (struct _u_response *response, int status, const char *code);
/* Close the request's connection without an answer.  */
int standin_drop (const struct _u_request *request,
                  struct _u_response *response);

/* Members of OBJECT with a default for absent ones.  */
int64_t standin_int (json_object *object, const char *key, int64_t otherwise);
bool standin_bool (json_object *object, const char *key, bool otherwise);
const char *standin_text (json_object *object, const char *key,
                          const char *otherwise);
/* A query parameter as a number.  */
int64_t standin_query (const struct _u_request *request, const char *key,
                       int64_t otherwise);
void standin_set_int (json_object *object, const char *key, int64_t value);
void standin_set_text (json_object *object, const char *key, const char *value);

/* Calls allowed per period, with a burst.  */
typedef struct
{
  double tokens;
  int64_t last_ms;
} standin_bucket_t;

/* Take one call at RATE calls per PERIOD_MS; false when it is over the rate.
 */
bool standin_take (standin_bucket_t *bucket, double rate, double period_ms,
                   double burst);

#endif
