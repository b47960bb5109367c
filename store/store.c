/* Reads and conditional writes of the object API.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "store/http.h"

#define OBJECT_PATH "/v1/objects/"
#define LIST_ONE_PATH "/v1/objects?limit=1&prefix="
/* Wait before a lost write is resolved again; doubles from FIRST to MAX.  */
#define BACKOFF_FIRST (20 * CV_MS)
#define BACKOFF_MAX (500 * CV_MS)

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_THROTTLED 429
#define STATUS_UNAVAILABLE 503

void
cv_store_stop (cv_store_t *s)
{
  __atomic_store_n (&s->stopping, 1, __ATOMIC_RELAXED);
}

void
cv_object_finish (cv_object_t *o)
{
  free (o->json);
  o->json = NULL;
  o->version = 0;
}

bool
cv_store_key_is_valid (const char *key)
{
  return key[0] != '\0'
         && strspn (key, "abcdefghijklmnopqrstuvwxyz0123456789/_.-")
                == strlen (key);
}

bool
cv_store_path (char path[CV_STORE_PATH_TEXT], const char *key, cv_error_t *err)
{
  int n = snprintf (path, CV_STORE_PATH_TEXT, "%s%s", OBJECT_PATH, key);

  if (!cv_store_key_is_valid (key) || n < 0 || n >= CV_STORE_PATH_TEXT)
    return cv_fail (err, CV_ERR_INVALID,
                    "store: invalid or too long key \"%.100s\"", key);
  return true;
}

struct json_object *
cv_store_parse_body (const cv_store_response_t *response)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *tree = NULL;

  if (tok != NULL && response->body.n > 0 && response->body.n < INT32_MAX)
    tree = json_tokener_parse_ex (tok, response->body.p, (int)response->body.n);
  json_tokener_free (tok);
  return tree;
}

static bool
get_version (struct json_object *tree, uint64_t *version)
{
  struct json_object *value;

  if (!json_object_object_get_ex (tree, "version", &value)
      || !json_object_is_type (value, json_type_int)
      || json_object_get_int64 (value) <= 0)
    return false;
  *version = (uint64_t)json_object_get_int64 (value);
  return true;
}

/* ---- reads ---- */

static bool
text_equals (struct json_object *value, const char *text)
{
  return json_object_is_type (value, json_type_string)
         && strcmp (json_object_get_string (value), text) == 0;
}

static bool
parse_object (const cv_store_response_t *response, cv_object_t *out,
              cv_error_t *err)
{
  struct json_object *tree = cv_store_parse_body (response);
  struct json_object *value = NULL;
  const char *text;
  bool ok;

  ok = tree != NULL && get_version (tree, &out->version)
       && json_object_object_get_ex (tree, "value", &value);
  if (ok)
    {
      text = json_object_to_json_string_ext (
          value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
      out->json = cv_strdup_n (text, strlen (text));
    }
  json_object_put (tree);
  return ok
         || cv_fail (err, CV_ERR_UNAVAILABLE, "store: response without %s",
                     "version and value");
}

bool
cv_store_get (cv_store_t *s, const char *key, cv_object_t *out, cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_store_response_t response;
  bool ok;

  memset (out, 0, sizeof *out);
  if (!cv_store_path (path, key, err))
    return false;
  s->counts.reads++;
  ok = cv_store_exchange (s, "GET", path, NULL, &response, err);
  if (ok && response.status == STATUS_OK)
    ok = parse_object (&response, out, err);
  else if (ok && response.status != STATUS_NOT_FOUND)
    ok = cv_fail (err, CV_ERR_UNAVAILABLE, "store: read of %s: status %d", key,
                  response.status);
  if (!ok)
    s->counts.failures++;
  cv_buf_finish (&response.body);
  return ok;
}

/* The list with prefix KEY is in order, so that KEY is its first item if it
   exists.  */
static bool
parse_listed_version (const cv_store_response_t *response, const char *key,
                      uint64_t *version, cv_error_t *err)
{
  struct json_object *tree = cv_store_parse_body (response);
  struct json_object *items = NULL;
  struct json_object *item;
  struct json_object *name = NULL;
  bool ok;

  *version = 0;
  ok = json_object_object_get_ex (tree, "items", &items)
       && json_object_is_type (items, json_type_array);
  item = ok ? json_object_array_get_idx (items, 0) : NULL;
  if (item != NULL)
    ok = json_object_object_get_ex (item, "key", &name)
         && (!text_equals (name, key) || get_version (item, version));
  json_object_put (tree);
  return ok
         || cv_fail (err, CV_ERR_UNAVAILABLE, "store: response without %s",
                     "items");
}

bool
cv_store_get_version (cv_store_t *s, const char *key, uint64_t *version,
                      cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_store_response_t response;
  bool ok;
  int n = snprintf (path, sizeof path, "%s%s", LIST_ONE_PATH, key);

  if (!cv_store_key_is_valid (key) || n < 0 || (size_t)n >= sizeof path)
    return cv_fail (err, CV_ERR_INVALID,
                    "store: invalid or too long key \"%.100s\"", key);
  s->counts.reads++;
  ok = cv_store_exchange (s, "GET", path, NULL, &response, err);
  if (ok && response.status == STATUS_OK)
    ok = parse_listed_version (&response, key, version, err);
  else if (ok)
    ok = cv_fail (err, CV_ERR_UNAVAILABLE, "store: read of %s: status %d", key,
                  response.status);
  if (!ok)
    s->counts.failures++;
  cv_buf_finish (&response.body);
  return ok;
}

/* ---- writes ---- */

/* Evaluates the response to a write.  */
static bool
check_write_status (const char *key, const cv_store_response_t *response,
                    uint64_t *new_version, cv_error_t *err)
{
  struct json_object *tree;
  bool ok;

  switch (response->status)
    {
    case STATUS_OK:
      tree = cv_store_parse_body (response);
      ok = tree != NULL && get_version (tree, new_version);
      json_object_put (tree);
      return ok
             || cv_fail (err, CV_ERR_UNKNOWN,
                         "store: write of %s: response without version", key);
    case STATUS_CONFLICT:
      return cv_fail (err, CV_ERR_CONFLICT,
                      "store: write of %s: the object has another version",
                      key);
    case STATUS_THROTTLED:
    case STATUS_UNAVAILABLE:
      return cv_fail (err, CV_ERR_UNAVAILABLE,
                      "store: write of %s rejected: status %d", key,
                      response->status);
    default:
      return cv_fail (err,
                      response->status >= 500 ? CV_ERR_UNKNOWN : CV_ERR_INVALID,
                      "store: write of %s: status %d", key, response->status);
    }
}

bool
cv_store_put (cv_store_t *s, const char *key, uint64_t version,
              const char *json, uint64_t *new_version, cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_error_t local;
  cv_store_response_t response;
  cv_buf_t body;
  bool ok;

  if (err == NULL)
    err = &local;
  if (!cv_store_path (path, key, err))
    return false;
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"version\":%" PRIu64 ",\"value\":", version);
  cv_buf_add (&body, json, strlen (json));
  cv_buf_add (&body, "}", 1);
  s->counts.writes++;
  ok = cv_store_exchange (s, "PUT", path, cv_buf_text (&body), &response, err);
  if (ok)
    ok = check_write_status (key, &response, new_version, err);
  else if (response.sent)
    err->code = CV_ERR_UNKNOWN;
  if (!ok && err->code != CV_ERR_CONFLICT)
    s->counts.failures++;
  cv_buf_finish (&body);
  cv_buf_finish (&response.body);
  return ok;
}

/* ---- writes whose response was lost ---- */

void
cv_store_add_nonce (cv_slice_t json, const char *nonce, cv_buf_t *out)
{
  const char *open = memchr (json.p, '{', json.n);
  const char *end = json.p + json.n;
  const char *rest;

  CV_INVARIANT (open != NULL);
  rest = open + 1;
  while (rest < end && strchr (" \t\r\n", *rest) != NULL)
    rest++;
  cv_buf_printf (out, "{\"nonce\":\"%s\"%s", nonce, *rest == '}' ? "" : ",");
  cv_buf_add (out, rest, (size_t)(end - rest));
}

/* State of a write whose response was lost.  */
typedef enum
{
  WRITE_APPLIED,     /* the object has our nonce */
  WRITE_SUPERSEDED,  /* another write was applied first */
  WRITE_NOT_APPLIED, /* the object still has the version before our write */
  WRITE_UNKNOWN      /* the store did not respond */
} write_state_t;

/* Whether NONCE belongs to the last or to an earlier write of the object.  */
static bool
has_nonce (const char *json, const char *nonce)
{
  struct json_object *tree = json_tokener_parse (json);
  struct json_object *value;
  bool found = false;
  size_t i;

  if (json_object_object_get_ex (tree, "nonce", &value))
    found = text_equals (value, nonce);
  if (json_object_object_get_ex (tree, "nonces", &value)
      && json_object_is_type (value, json_type_array))
    for (i = 0; !found && i < json_object_array_length (value); i++)
      found = text_equals (json_object_array_get_idx (value, i), nonce);
  json_object_put (tree);
  return found;
}

static write_state_t
read_write_state (cv_store_t *s, const char *key, uint64_t version,
                  const char *nonce, uint64_t *new_version)
{
  cv_object_t object;
  write_state_t result;

  if (!cv_store_get (s, key, &object, NULL))
    return WRITE_UNKNOWN;
  if (object.version == version)
    result = WRITE_NOT_APPLIED;
  else if (object.json != NULL && has_nonce (object.json, nonce))
    {
      *new_version = object.version;
      result = WRITE_APPLIED;
    }
  else
    result = WRITE_SUPERSEDED;
  cv_object_finish (&object);
  return result;
}

static void
sleep_for (cv_time_t t)
{
  struct timespec ts = { t / CV_SECOND, (t % CV_SECOND) * 1000 };

  (void)nanosleep (&ts, NULL);
}

/* Determines whether a write with a lost response was applied, and repeats it
   if not.  A conflict of the repeated write may be with the lost one, so only a
   read decides.  */
static bool
resolve_write (cv_store_t *s, const char *key, uint64_t version,
               const char *json, const char *nonce, cv_time_t deadline,
               uint64_t *new_version, cv_error_t *err)
{
  cv_time_t backoff = BACKOFF_FIRST;

  for (;;)
    {
      switch (read_write_state (s, key, version, nonce, new_version))
        {
        case WRITE_APPLIED:
          s->counts.resolved++;
          return true;
        case WRITE_SUPERSEDED:
          s->counts.resolved++;
          return cv_fail (err, CV_ERR_CONFLICT,
                          "store: write of %s: the object has another version",
                          key);
        case WRITE_NOT_APPLIED:
          /* The lost write may still arrive.  Of the two writes on the same
             version only one can be applied: either this one prevents the
             lost one, or it conflicts with it.  */
          if (cv_store_put (s, key, version, json, new_version, err))
            return true;
          break;
        case WRITE_UNKNOWN:
          break;
        }
      if (cv_now () + backoff >= deadline
          || __atomic_load_n (&s->stopping, __ATOMIC_RELAXED) != 0)
        return cv_fail (err, CV_ERR_UNKNOWN,
                        "store: write of %s: outcome unknown at the deadline",
                        key);
      sleep_for (backoff);
      backoff = backoff * 2 < BACKOFF_MAX ? backoff * 2 : BACKOFF_MAX;
    }
}

bool
cv_store_put_resolved (cv_store_t *s, const char *key, uint64_t version,
                       const char *json, const char *nonce, cv_time_t deadline,
                       uint64_t *new_version, cv_error_t *err)
{
  cv_error_t first;

  if (cv_store_put (s, key, version, json, new_version, &first))
    return true;
  if (first.code != CV_ERR_UNKNOWN)
    {
      if (err != NULL)
        *err = first;
      return false;
    }
  return resolve_write (s, key, version, json, nonce, deadline, new_version,
                        err);
}
