/* Stand-in of the platform's instance list, which shows changes late.  */

#include "standin.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_VIEWS 256 /* views kept, as readers see old ones */
#define PATH "/v1/instances"

/* The instance list after one change.  */
typedef struct
{
  int64_t at_ms;
  int64_t rev;
  json_object *list;
} view_t;

static long long lag_option = 0;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static json_object *current; /* instances by id */
static view_t views[MAX_VIEWS];
static int64_t revision;
static int64_t reads;
static atomic_llong lag_ms;
static atomic_bool down;

static int list (const struct _u_request *request, struct _u_response *response,
                 void *data);
static int put (const struct _u_request *request, struct _u_response *response,
                void *data);
static int del (const struct _u_request *request, struct _u_response *response,
                void *data);
static void record_view (void);
static const view_t *visible_view (void);
static void set_fault (json_object *switches);
static json_object *audit (void);

static const standin_option_t options[]
    = { { "lag-ms", &lag_option, "delay until a change is visible" } };
static const standin_t instances
    = { "standin-instances", options, 1, set_fault, audit };

int
main (int argc, char **argv)
{
  standin_init (&instances, argc, argv);
  current = json_object_new_object ();
  lag_ms = lag_option;
  views[0].list = json_object_new_array ();
  standin_on ("GET", PATH, list);
  standin_on ("PUT", PATH "/:id", put);
  standin_on ("DELETE", PATH "/:id", del);
  standin_run ();
}

static int
list (const struct _u_request *request, struct _u_response *response,
      void *data)
{
  const char *known_tag = u_map_get_case (request->map_header, "If-None-Match");
  json_object *o = json_object_new_object ();
  char tag[32];
  const view_t *view;

  (void)data;
  if (down)
    {
      json_object_put (o);
      return standin_drop (request, response);
    }
  pthread_mutex_lock (&lock);
  reads++;
  view = visible_view ();
  snprintf (tag, sizeof tag, "\"%lld\"", (long long)view->rev);
  standin_set_int (o, "rev", view->rev);
  if (known_tag == NULL || strcmp (known_tag, tag) != 0)
    {
      json_object *copy = NULL;

      json_object_deep_copy (view->list, &copy, NULL);
      json_object_object_add (o, "instances", copy);
    }
  pthread_mutex_unlock (&lock);
  u_map_put (response->map_header, "ETag", tag);
  if (json_object_object_get (o, "instances") != NULL)
    return standin_reply (response, 200, o);
  json_object_put (o);
  ulfius_set_empty_body_response (response, 304);
  return U_CALLBACK_COMPLETE;
}

static int
put (const struct _u_request *request, struct _u_response *response, void *data)
{
  json_object *o = standin_body (request);
  const char *id = u_map_get (request->map_url, "id");

  (void)data;
  if (o == NULL)
    return standin_error (response, 400, "invalid");
  standin_set_text (o, "id", id);
  pthread_mutex_lock (&lock);
  json_object_object_add (current, id, o);
  record_view ();
  pthread_mutex_unlock (&lock);
  return standin_reply (response, 200, json_object_new_object ());
}

static int
del (const struct _u_request *request, struct _u_response *response, void *data)
{
  (void)data;
  pthread_mutex_lock (&lock);
  json_object_object_del (current, u_map_get (request->map_url, "id"));
  record_view ();
  pthread_mutex_unlock (&lock);
  return standin_reply (response, 200, json_object_new_object ());
}

static void
record_view (void)
{
  json_object *array = json_object_new_array ();
  view_t *v;

  json_object_object_foreach (current, id, o)
  {
    json_object *copy = NULL;

    (void)id;
    json_object_deep_copy (o, &copy, NULL);
    json_object_array_add (array, copy);
  }
  revision++;
  v = &views[revision % MAX_VIEWS];
  json_object_put (v->list);
  *v = (view_t){ standin_now_ms (), revision, array };
}

/* Returns the newest view older than the lag, or the oldest one kept.  */
static const view_t *
visible_view (void)
{
  int64_t until = standin_now_ms () - lag_ms;
  int64_t rev = revision;

  while (rev > 0 && rev > revision - MAX_VIEWS + 1
         && views[rev % MAX_VIEWS].at_ms > until)
    rev--;
  return &views[rev % MAX_VIEWS];
}

static void
set_fault (json_object *switches)
{
  lag_ms = standin_int (switches, "lag_ms", lag_ms);
  down = standin_bool (switches, "down", down);
}

static json_object *
audit (void)
{
  json_object *o = json_object_new_object ();

  pthread_mutex_lock (&lock);
  standin_set_int (o, "rev", revision);
  standin_set_int (o, "reads", reads);
  pthread_mutex_unlock (&lock);
  return o;
}
