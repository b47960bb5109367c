/* Stand-in of the weight store, which limits the rate of fetches.  */

#include "standin.h"

#include <pthread.h>
#include <stdio.h>

static long long fetches_per_min = 60;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static standin_bucket_t bucket;
static int64_t granted;
static int64_t throttled;

static int fetch (const struct _u_request *request,
                  struct _u_response *response, void *data);
static json_object *audit (void);

static const standin_option_t options[]
    = { { "fetches-per-min", &fetches_per_min, "fetches granted per minute" } };
static const standin_t weights = { "standin-weights", options, 1, NULL, audit };

int
main (int argc, char **argv)
{
  standin_init (&weights, argc, argv);
  standin_on ("POST", "/v1/fetch", fetch);
  standin_run ();
}

static int
fetch (const struct _u_request *request, struct _u_response *response,
       void *data)
{
  json_object *o = standin_body (request);
  char token[32];
  bool allowed;

  (void)data;
  if (o == NULL || standin_text (o, "model", NULL) == NULL)
    {
      json_object_put (o);
      return standin_error (response, 400, "invalid");
    }
  json_object_put (o);
  pthread_mutex_lock (&lock);
  /* The bucket holds a tenth of a minute's fetches, at least one.  */
  allowed = standin_bucket_take (
      &bucket, (double)fetches_per_min, 60000,
      fetches_per_min < 10 ? 1 : (double)fetches_per_min / 10);
  if (allowed)
    granted++;
  else
    throttled++;
  snprintf (token, sizeof token, "fetch-%lld", (long long)granted);
  pthread_mutex_unlock (&lock);
  if (!allowed)
    {
      u_map_put (response->map_header, "Retry-After", "1");
      return standin_error (response, 429, "throttled");
    }
  o = json_object_new_object ();
  standin_set_text (o, "token", token);
  return standin_reply (response, 200, o);
}

static json_object *
audit (void)
{
  json_object *o = json_object_new_object ();

  pthread_mutex_lock (&lock);
  standin_set_int (o, "granted", granted);
  standin_set_int (o, "throttled", throttled);
  pthread_mutex_unlock (&lock);
  return o;
}
