/* Stand-in of a plain service.  It counts the executions ("effects" in its
   responses and audit) of each request key.  */

#include "standin.h"

#include <pthread.h>
#include <stdatomic.h>

static long long work_option = 5;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_object *effects; /* number of executions by key */
static int64_t total;
static json_object *calls; /* key, path and time of each execution */
static atomic_llong work_ms;
static atomic_bool drop_answer;

static int run (const struct _u_request *request, struct _u_response *response,
                void *data);
static int64_t count_effect (const char *key, const char *path);
static void set_fault (json_object *switches);
static json_object *audit (void);

static const standin_option_t options[]
    = { { "work-ms", &work_option, "duration of a call" } };
static const standin_t service
    = { "standin-service", options, 1, set_fault, audit };

int
main (int argc, char **argv)
{
  standin_init (&service, argc, argv);
  effects = json_object_new_object ();
  calls = json_object_new_array ();
  work_ms = work_option;
  standin_on_any (run);
  standin_run ();
}

static int
run (const struct _u_request *request, struct _u_response *response, void *data)
{
  const char *key = u_map_get_case (request->map_header, "X-Request-Key");
  json_object *o = json_object_new_object ();

  (void)data;
  standin_set_int (o, "effect",
                   count_effect (key != NULL ? key : "", request->url_path));
  standin_sleep_ms (work_ms);
  if (!drop_answer)
    return standin_reply (response, 200, o);
  json_object_put (o);
  return standin_drop (request, response);
}

/* Counts one execution of KEY and returns its number of executions.  */
static int64_t
count_effect (const char *key, const char *path)
{
  json_object *call = json_object_new_object ();
  int64_t n;

  standin_set_text (call, "key", key);
  standin_set_text (call, "path", path);
  standin_set_int (call, "at_ms", standin_now_ms ());

  pthread_mutex_lock (&lock);
  n = standin_int (effects, key, 0) + 1;
  standin_set_int (effects, key, n);
  json_object_array_add (calls, call);
  total++;
  pthread_mutex_unlock (&lock);
  return n;
}

static void
set_fault (json_object *switches)
{
  work_ms = standin_int (switches, "work_ms", work_ms);
  drop_answer = standin_bool (switches, "drop_answer", drop_answer);
}

static json_object *
audit (void)
{
  json_object *o = json_object_new_object ();
  json_object *copy = NULL;
  json_object *copy_calls = NULL;

  pthread_mutex_lock (&lock);
  json_object_deep_copy (effects, &copy, NULL);
  json_object_deep_copy (calls, &copy_calls, NULL);
  standin_set_int (o, "total", total);
  pthread_mutex_unlock (&lock);
  json_object_object_add (o, "effects", copy);
  json_object_object_add (o, "calls", copy_calls);
  return o;
}
