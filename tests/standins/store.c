/* Stand-in of the object store that entries use: versions, conditional updates,
   watches, rate limits and outages.  The gateway's store speaks another
   protocol and has its stand-in in tests/gateway/standins.py.  */

#include "standin.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PATH "/v1/objects"
#define MAX_VALUE_BYTES (1024 * 1024)
#define MAX_KEY_BYTES 512
#define MAX_WATCH_MS 60000
#define DEFAULT_LIMIT 1000
#define DOWN_HOLD_MS 1000 /* an outage drops a call after this time */

/* An object.  A deleted one is kept as a tombstone for watches.  */
typedef struct
{
  char *key;
  int64_t version; /* revision of the store at the last change */
  json_object *value;
  bool deleted;
} object_t;

static long long reads_per_s = 2000;
static long long writes_per_s = 400;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static object_t *objects; /* sorted by key */
static size_t n_objects;
static size_t cap_objects;
static int64_t revision;
static standin_bucket_t read_bucket;
static standin_bucket_t write_bucket;
static struct
{
  int64_t reads;
  int64_t writes;
  int64_t watches;
  int64_t conflicts;
  int64_t throttled;
  int64_t lost;
} counts;
static atomic_bool down;   /* drop every call */
static atomic_bool refuse; /* respond 503 to every call */
static atomic_llong slow_ms;
static int64_t lose_answers; /* responses to writes still to be dropped */

static int get (const struct _u_request *request, struct _u_response *response,
                void *data);
static int put (const struct _u_request *request, struct _u_response *response,
                void *data);
static int del (const struct _u_request *request, struct _u_response *response,
                void *data);
static int list (const struct _u_request *request, struct _u_response *response,
                 void *data);
static int watch (const struct _u_request *request,
                  struct _u_response *response, void *data);
static bool admit (const struct _u_request *request,
                   struct _u_response *response, bool write);
static const char *key_of (const struct _u_request *request);
static size_t find (const char *key);
static object_t *find_live (const char *key);
static object_t *insert (const char *key);
static bool has_prefix (const object_t *o, const char *prefix);
static json_object *changes_since (const char *prefix, int64_t since);
static bool lose_next_answer (void);
static int reply_conflict (struct _u_response *response, int64_t version);
static int reply_written (struct _u_response *response, const char *key,
                          int64_t version);
static void set_fault (json_object *switches);
static json_object *audit (void);

static const standin_option_t options[]
    = { { "reads-per-s", &reads_per_s, "reads and watches per second" },
        { "writes-per-s", &writes_per_s, "writes per second" } };
static const standin_t store
    = { "standin-store", options, 2, set_fault, audit };

int
main (int argc, char **argv)
{
  standin_init (&store, argc, argv);
  standin_on ("GET", PATH, list);
  standin_on ("GET", PATH "/*", get);
  standin_on ("PUT", PATH "/*", put);
  standin_on ("DELETE", PATH "/*", del);
  standin_on ("GET", "/v1/watch", watch);
  standin_run ();
}

/* Applies faults and rate limit.  Returns false if the call is already
   answered.  */
static bool
admit (const struct _u_request *request, struct _u_response *response,
       bool write)
{
  double rate = (double)(write ? writes_per_s : reads_per_s);
  bool allowed;

  if (down)
    {
      standin_sleep_ms (DOWN_HOLD_MS);
      standin_drop (request, response);
      return false;
    }
  if (refuse)
    {
      standin_error (response, 503, "unavailable");
      return false;
    }
  standin_sleep_ms (slow_ms);
  pthread_mutex_lock (&lock);
  /* The bucket holds a tenth of a second's calls, at least one.  */
  allowed = standin_bucket_take (write ? &write_bucket : &read_bucket, rate,
                                 1000, rate < 10 ? 1 : rate / 10);
  if (!allowed)
    counts.throttled++;
  else if (write)
    counts.writes++;
  else
    counts.reads++;
  pthread_mutex_unlock (&lock);
  if (allowed)
    return true;
  u_map_put (response->map_header, "Retry-After", "1");
  standin_error (response, 429, "throttled");
  return false;
}

static int
get (const struct _u_request *request, struct _u_response *response, void *data)
{
  const char *key = key_of (request);
  json_object *out = NULL;
  object_t *o;

  (void)data;
  if (key == NULL)
    return standin_error (response, 400, "invalid");
  if (!admit (request, response, false))
    return U_CALLBACK_COMPLETE;
  pthread_mutex_lock (&lock);
  o = find_live (key);
  if (o != NULL)
    {
      json_object *copy = NULL;

      out = json_object_new_object ();
      json_object_deep_copy (o->value, &copy, NULL);
      standin_set_text (out, "key", key);
      standin_set_int (out, "version", o->version);
      json_object_object_add (out, "value", copy);
    }
  pthread_mutex_unlock (&lock);
  if (out == NULL)
    return standin_error (response, 404, "not_found");
  return standin_reply (response, 200, out);
}

static int
put (const struct _u_request *request, struct _u_response *response, void *data)
{
  const char *key = key_of (request);
  json_object *body = standin_body (request);
  json_object *value = NULL;
  int64_t version = standin_int (body, "version", -1);
  int64_t stored;
  bool matches, lost;
  object_t *o;

  (void)data;
  if (key == NULL || body == NULL || version < 0
      || !json_object_object_get_ex (body, "value", &value)
      || request->binary_body_length > MAX_VALUE_BYTES)
    {
      json_object_put (body);
      return standin_error (response, 400, "invalid");
    }
  if (!admit (request, response, true))
    {
      json_object_put (body);
      return U_CALLBACK_COMPLETE;
    }
  pthread_mutex_lock (&lock);
  o = find_live (key);
  stored = o != NULL ? o->version : 0;
  matches = stored == version;
  if (matches)
    {
      o = insert (key);
      json_object_put (o->value);
      o->value = json_object_get (value);
      stored = o->version = ++revision;
      pthread_cond_broadcast (&changed);
    }
  else
    counts.conflicts++;
  lost = matches && lose_next_answer ();
  pthread_mutex_unlock (&lock);
  json_object_put (body);
  if (lost)
    return standin_drop (request, response);
  return matches ? reply_written (response, key, stored)
                 : reply_conflict (response, stored);
}

static int
del (const struct _u_request *request, struct _u_response *response, void *data)
{
  const char *key = key_of (request);
  int64_t version = standin_query (request, "version", -1);
  int64_t stored;
  bool lost = false;
  object_t *o;

  (void)data;
  if (key == NULL || version < 0)
    return standin_error (response, 400, "invalid");
  if (!admit (request, response, true))
    return U_CALLBACK_COMPLETE;
  pthread_mutex_lock (&lock);
  o = find_live (key);
  stored = o != NULL ? o->version : 0;
  if (o != NULL && stored == version)
    {
      o->deleted = true;
      o->version = ++revision;
      json_object_put (o->value);
      o->value = NULL;
      lost = lose_next_answer ();
      pthread_cond_broadcast (&changed);
    }
  else if (o != NULL)
    counts.conflicts++;
  pthread_mutex_unlock (&lock);
  if (lost)
    return standin_drop (request, response);
  if (stored == 0)
    return standin_error (response, 404, "not_found");
  return stored == version ? reply_written (response, key, stored)
                           : reply_conflict (response, stored);
}

static int
list (const struct _u_request *request, struct _u_response *response,
      void *data)
{
  const char *prefix = u_map_get (request->map_url, "prefix");
  const char *after = u_map_get (request->map_url, "after");
  int64_t limit = standin_query (request, "limit", DEFAULT_LIMIT);
  json_object *out = json_object_new_object ();
  json_object *items = json_object_new_array ();
  size_t i;

  (void)data;
  json_object_object_add (out, "items", items);
  if (!admit (request, response, false))
    {
      json_object_put (out);
      return U_CALLBACK_COMPLETE;
    }
  pthread_mutex_lock (&lock);
  for (i = 0; i < n_objects && limit > 0; i++)
    {
      json_object *item;

      if (objects[i].deleted || !has_prefix (&objects[i], prefix)
          || (after != NULL && strcmp (objects[i].key, after) <= 0))
        continue;
      item = json_object_new_object ();
      standin_set_text (item, "key", objects[i].key);
      standin_set_int (item, "version", objects[i].version);
      json_object_array_add (items, item);
      limit--;
    }
  pthread_mutex_unlock (&lock);
  return standin_reply (response, 200, out);
}

static int
watch (const struct _u_request *request, struct _u_response *response,
       void *data)
{
  const char *prefix = u_map_get (request->map_url, "prefix");
  int64_t since = standin_query (request, "since", 0);
  int64_t wait_ms = standin_query (request, "timeout_ms", 10000);
  json_object *changes, *out;
  struct timespec until;

  (void)data;
  if (!admit (request, response, false))
    return U_CALLBACK_COMPLETE;
  if (wait_ms > MAX_WATCH_MS)
    wait_ms = MAX_WATCH_MS;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_nsec += wait_ms % 1000 * 1000000;
  until.tv_sec += wait_ms / 1000 + until.tv_nsec / 1000000000;
  until.tv_nsec %= 1000000000;
  pthread_mutex_lock (&lock);
  counts.reads--;
  counts.watches++;
  changes = changes_since (prefix, since);
  while (json_object_array_length (changes) == 0 && !down
         && pthread_cond_timedwait (&changed, &lock, &until) != ETIMEDOUT)
    {
      json_object_put (changes);
      changes = changes_since (prefix, since);
    }
  out = json_object_new_object ();
  standin_set_int (out, "rev", revision);
  json_object_object_add (out, "changes", changes);
  pthread_mutex_unlock (&lock);
  if (!down)
    return standin_reply (response, 200, out);
  json_object_put (out);
  return standin_drop (request, response);
}

/* The caller of the functions below holds the lock, except for key_of,
   reply_conflict and reply_written, which need none, and set_fault and audit,
   which take it.  */

static json_object *
changes_since (const char *prefix, int64_t since)
{
  json_object *changes = json_object_new_array ();
  size_t i;

  for (i = 0; i < n_objects; i++)
    {
      json_object *item;

      if (objects[i].version <= since || !has_prefix (&objects[i], prefix))
        continue;
      item = json_object_new_object ();
      standin_set_text (item, "key", objects[i].key);
      standin_set_int (item, "version", objects[i].version);
      json_object_object_add (item, "deleted",
                              json_object_new_boolean (objects[i].deleted));
      json_object_array_add (changes, item);
    }
  return changes;
}

/* Returns the key in the path, or NULL if it is malformed.  */
static const char *
key_of (const struct _u_request *request)
{
  const char *key = request->url_path + strlen (PATH "/");
  size_t n;

  if (strncmp (request->url_path, PATH "/", strlen (PATH "/")) != 0)
    return NULL;
  n = strspn (key, "abcdefghijklmnopqrstuvwxyz0123456789/_.-");
  return n > 0 && n < MAX_KEY_BYTES && key[n] == '\0' ? key : NULL;
}

/* Returns the index of KEY, or the index at which to insert it.  */
static size_t
find (const char *key)
{
  size_t low = 0, high = n_objects;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (strcmp (objects[middle].key, key) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the object of KEY, or NULL if there is none or it is deleted.  */
static object_t *
find_live (const char *key)
{
  size_t i = find (key);

  if (i == n_objects || strcmp (objects[i].key, key) != 0 || objects[i].deleted)
    return NULL;
  return &objects[i];
}

/* Returns the object of KEY, creating it if needed.  */
static object_t *
insert (const char *key)
{
  size_t i = find (key);

  if (i < n_objects && strcmp (objects[i].key, key) == 0)
    {
      objects[i].deleted = false;
      return &objects[i];
    }
  if (n_objects == cap_objects)
    {
      cap_objects = cap_objects == 0 ? 64 : cap_objects * 2;
      objects = realloc (objects, cap_objects * sizeof *objects);
      if (objects == NULL)
        abort ();
    }
  memmove (&objects[i + 1], &objects[i], (n_objects - i) * sizeof *objects);
  n_objects++;
  objects[i] = (object_t){ .key = strdup (key) };
  return &objects[i];
}

static bool
has_prefix (const object_t *o, const char *prefix)
{
  return prefix == NULL || strncmp (o->key, prefix, strlen (prefix)) == 0;
}

static bool
lose_next_answer (void)
{
  if (lose_answers == 0)
    return false;
  lose_answers--;
  counts.lost++;
  return true;
}

static int
reply_conflict (struct _u_response *response, int64_t version)
{
  json_object *o = json_object_new_object ();
  json_object *error = json_object_new_object ();

  standin_set_text (error, "code", "conflict");
  json_object_object_add (o, "error", error);
  standin_set_int (o, "version", version);
  return standin_reply (response, 409, o);
}

static int
reply_written (struct _u_response *response, const char *key, int64_t version)
{
  json_object *o = json_object_new_object ();

  standin_set_text (o, "key", key);
  standin_set_int (o, "version", version);
  return standin_reply (response, 200, o);
}

static void
set_fault (json_object *switches)
{
  down = standin_bool (switches, "down", down);
  refuse = standin_bool (switches, "refuse", refuse);
  slow_ms = standin_int (switches, "slow_ms", slow_ms);
  pthread_mutex_lock (&lock);
  lose_answers = standin_int (switches, "lose_answers", lose_answers);
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
}

static json_object *
audit (void)
{
  json_object *o = json_object_new_object ();

  pthread_mutex_lock (&lock);
  standin_set_int (o, "reads", counts.reads);
  standin_set_int (o, "writes", counts.writes);
  standin_set_int (o, "watches", counts.watches);
  standin_set_int (o, "conflicts", counts.conflicts);
  standin_set_int (o, "throttled", counts.throttled);
  standin_set_int (o, "lost", counts.lost);
  pthread_mutex_unlock (&lock);
  return o;
}
