/* Thread that polls the platform's instance list.  */

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>
#include <json-c/json.h>

#include "base/head_lines.h"
#include "entry/instances.h"

struct cv_instances_t
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t quit_cond;
  bool quit;
  bool failing;
  cv_entry_link_t *link;
  char url[160];
  uint32_t interval_ms;
  unsigned long timeout_s;
  char rev[32];
};

static void *poll_loop (void *arg);
static void poll_once (cv_instances_t *i);
static void apply_list (cv_instances_t *i, cv_slice_t json);
static bool wait_interval (cv_instances_t *i);
static bool parse_instance (struct json_object *o, cv_instance_t *out,
                            bool *is_target);
static const char *string_member (struct json_object *o, const char *key);

cv_instances_t *
cv_instances_new (const cv_entry_settings_t *s, cv_entry_link_t *link,
                  cv_error_t *err)
{
  cv_instances_t *i = cv_calloc (1, sizeof *i);

  i->link = link;
  i->interval_ms = s->instance_poll_ms;
  i->timeout_s = (s->instance_list.timeout_ms + 999) / 1000;
  (void)snprintf (i->url, sizeof i->url, "%s/v1/instances",
                  s->instance_list.url);
  CV_INVARIANT (pthread_mutex_init (&i->lock, NULL) == 0);
  CV_INVARIANT (pthread_cond_init (&i->quit_cond, NULL) == 0);
  if (pthread_create (&i->thread, NULL, poll_loop, i) == 0)
    return i;
  (void)cv_fail (err, CV_ERR_SYSTEM, "cannot start the instance list thread");
  free (i);
  return NULL;
}

void
cv_instances_free (cv_instances_t *i)
{
  (void)pthread_mutex_lock (&i->lock);
  i->quit = true;
  (void)pthread_cond_signal (&i->quit_cond);
  (void)pthread_mutex_unlock (&i->lock);
  (void)pthread_join (i->thread, NULL);
  (void)pthread_cond_destroy (&i->quit_cond);
  (void)pthread_mutex_destroy (&i->lock);
  free (i);
}

bool
cv_instances_parse (cv_slice_t json, cv_instance_t **list, size_t *count,
                    uint32_t *entries, char rev[32], cv_error_t *err)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root;
  struct json_object *array;
  struct json_object *number;
  size_t n;

  CV_INVARIANT (tokener != NULL);
  root = json_tokener_parse_ex (tokener, json.p, (int)json.n);
  json_tokener_free (tokener);
  if (!json_object_object_get_ex (root, "instances", &array)
      || !json_object_is_type (array, json_type_array)
      || !json_object_object_get_ex (root, "rev", &number))
    {
      json_object_put (root);
      return cv_fail (
          err, CV_ERR_INVALID,
          "instance list lacks the array \"instances\" or the number \"rev\"");
    }
  (void)snprintf (rev, 32, "%lld", (long long)json_object_get_int64 (number));
  n = json_object_array_length (array);
  *list = cv_calloc (n + 1, sizeof **list);
  *count = 0;
  *entries = 0;
  for (size_t k = 0; k < n; k++)
    {
      bool is_target = false;

      if (!parse_instance (json_object_array_get_idx (array, k), *list + *count,
                           &is_target))
        continue;
      if (is_target)
        (*count)++;
      else
        (*entries)++;
    }
  json_object_put (root);
  return true;
}

static void *
poll_loop (void *arg)
{
  cv_instances_t *i = arg;

  do
    poll_once (i);
  while (wait_interval (i));
  return NULL;
}

static size_t
append_body (char *data, size_t size, size_t count, void *body)
{
  cv_buf_add (body, data, size * count);
  return size * count;
}

/* Requests the list, if it has changed since REV, into BODY.  Returns the HTTP
   status, or 0 if no complete and valid response was received.  */
static long
fetch_list (const cv_instances_t *i, cv_buf_t *body)
{
  CURL *c = curl_easy_init ();
  struct curl_slist *headers = NULL;
  cv_head_lines_t head = { 0 };
  char etag[64];
  long status = 0;

  CV_INVARIANT (c != NULL);
  (void)curl_easy_setopt (c, CURLOPT_URL, i->url);
  (void)curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  (void)curl_easy_setopt (c, CURLOPT_PROXY, "");
  (void)curl_easy_setopt (c, CURLOPT_TIMEOUT, (long)i->timeout_s);
  (void)curl_easy_setopt (c, CURLOPT_HEADERFUNCTION, cv_head_lines_add);
  (void)curl_easy_setopt (c, CURLOPT_HEADERDATA, &head);
  (void)curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, append_body);
  (void)curl_easy_setopt (c, CURLOPT_WRITEDATA, body);
  if (i->rev[0] != '\0')
    {
      (void)snprintf (etag, sizeof etag, "If-None-Match: \"%s\"", i->rev);
      headers = curl_slist_append (headers, etag);
      (void)curl_easy_setopt (c, CURLOPT_HTTPHEADER, headers);
    }
  if (curl_easy_perform (c) == CURLE_OK && head.is_whole)
    (void)curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (c);
  return status;
}

static void
poll_once (cv_instances_t *i)
{
  cv_buf_t body;
  long status;

  cv_buf_init (&body);
  status = fetch_list (i, &body);
  if (status == 200)
    apply_list (i, (cv_slice_t){ body.p, body.n });
  if (status != 200 && status != 304)
    {
      if (!i->failing)
        cv_log (CV_EV_ENTRY_LIST_FAILED, "%s status %ld", i->url, status);
      i->failing = true;
    }
  else
    i->failing = false;
  cv_buf_finish (&body);
}

static void
apply_list (cv_instances_t *i, cv_slice_t json)
{
  cv_instance_t *list = NULL;
  size_t count = 0;
  uint32_t entries = 0;
  cv_error_t err;

  if (!cv_instances_parse (json, &list, &count, &entries, i->rev, &err))
    {
      cv_log (CV_EV_ENTRY_LIST_FAILED, "%s", err.text);
      return;
    }
  cv_entry_link_set_instances (i->link, list, count, entries);
  free (list);
}

/* Waits for one poll interval.  Returns false if the thread must end.  */
static bool
wait_interval (cv_instances_t *i)
{
  struct timespec until;
  bool quit;

  CV_INVARIANT (clock_gettime (CLOCK_REALTIME, &until) == 0);
  until.tv_sec += i->interval_ms / 1000;
  until.tv_nsec += i->interval_ms % 1000 * 1000000L;
  until.tv_sec += until.tv_nsec / 1000000000L;
  until.tv_nsec %= 1000000000L;
  (void)pthread_mutex_lock (&i->lock);
  if (!i->quit)
    (void)pthread_cond_timedwait (&i->quit_cond, &i->lock, &until);
  quit = i->quit;
  (void)pthread_mutex_unlock (&i->lock);
  return !quit;
}

static bool
parse_instance (struct json_object *o, cv_instance_t *out, bool *is_target)
{
  const char *role = string_member (o, "role");
  struct json_object *port;
  int64_t number;

  memset (out, 0, sizeof *out);
  if (strcmp (role, "entry") == 0)
    return true;
  if (strcmp (role, "target") != 0
      || !json_object_object_get_ex (o, "port", &port))
    return false;
  number = json_object_get_int64 (port);
  if (number < 1 || number > UINT16_MAX)
    return false;
  *is_target = true;
  out->port = (uint16_t)number;
  out->leaving = strcmp (string_member (o, "state"), "leaving") == 0;
  return cv_copy (out->id, sizeof out->id, string_member (o, "id"))
         && cv_copy (out->pool, sizeof out->pool, string_member (o, "pool"))
         && cv_copy (out->failure_domain, sizeof out->failure_domain,
                     string_member (o, "failure_domain"))
         && cv_copy (out->address, sizeof out->address,
                     string_member (o, "address"));
}

static const char *
string_member (struct json_object *o, const char *key)
{
  struct json_object *value;

  if (!json_object_object_get_ex (o, key, &value)
      || !json_object_is_type (value, json_type_string))
    return "";
  return json_object_get_string (value);
}
