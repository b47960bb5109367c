/* Reads and conditional writes of the object API.  */

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <json-c/json.h>

#include "store/http.h"

#define OBJECTS "/v1/objects/"
#define LIST "/v1/objects?limit=1&prefix="
#define PAUSE_FIRST (20 * CV_MS)
#define PAUSE_MAX (500 * CV_MS)

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_THROTTLED 429
#define STATUS_UNAVAILABLE 503

void
cv_object_finish (cv_object_t *o)
{
  free (o->json);
  o->json = NULL;
  o->version = 0;
}

bool
cv_store_key_valid (const char *key)
{
  return key[0] != '\0'
         && strspn (key, "abcdefghijklmnopqrstuvwxyz0123456789/_.-")
                == strlen (key);
}

bool
cv_store_path (char path[CV_STORE_PATH_TEXT], const char *key, cv_error_t *err)
{
  int n = snprintf (path, CV_STORE_PATH_TEXT, "%s%s", OBJECTS, key);

  if (!cv_store_key_valid (key) || n < 0 || n >= CV_STORE_PATH_TEXT)
    return cv_fail (err, CV_ERR_INVALID, "store: bad key \"%.100s\"", key);
  return true;
}

struct json_object *
cv_store_tree (const cv_reply_t *reply)
{
  struct json_tokener *tok = json_tokener_new ();
  struct json_object *tree = NULL;

  if (tok != NULL && reply->body.n > 0 && reply->body.n < INT32_MAX)
    tree = json_tokener_parse_ex (tok, reply->body.p, (int)reply->body.n);
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
is_text (struct json_object *value, const char *text)
{
  return json_object_is_type (value, json_type_string)
         && strcmp (json_object_get_string (value), text) == 0;
}

static bool
take_object (const cv_reply_t *reply, cv_object_t *out, cv_error_t *err)
{
  struct json_object *tree = cv_store_tree (reply);
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
         || cv_fail (err, CV_ERR_UNAVAILABLE, "store: answer without %s",
                     "version and value");
}

bool
cv_store_get (cv_store_t *s, const char *key, cv_object_t *out, cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_reply_t reply;
  bool ok;

  memset (out, 0, sizeof *out);
  if (!cv_store_path (path, key, err))
    return false;
  s->counts.reads++;
  ok = cv_store_exchange (s, "GET", path, NULL, &reply, err);
  if (ok && reply.status == STATUS_OK)
    ok = take_object (&reply, out, err);
  else if (ok && reply.status != STATUS_NOT_FOUND)
    ok = cv_fail (err, CV_ERR_UNAVAILABLE, "store: read of %s: status %d", key,
                  reply.status);
  if (!ok)
    s->counts.failures++;
  cv_buf_finish (&reply.body);
  return ok;
}

/* The first key that KEY is a prefix of is KEY itself, if it exists.  */
static bool
take_version (const cv_reply_t *reply, const char *key, uint64_t *version,
              cv_error_t *err)
{
  struct json_object *tree = cv_store_tree (reply);
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
         && (!is_text (name, key) || get_version (item, version));
  json_object_put (tree);
  return ok
         || cv_fail (err, CV_ERR_UNAVAILABLE, "store: answer without %s",
                     "items");
}

bool
cv_store_version (cv_store_t *s, const char *key, uint64_t *version,
                  cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_reply_t reply;
  bool ok;
  int n = snprintf (path, sizeof path, "%s%s", LIST, key);

  if (!cv_store_key_valid (key) || n < 0 || (size_t)n >= sizeof path)
    return cv_fail (err, CV_ERR_INVALID, "store: bad key \"%.100s\"", key);
  s->counts.reads++;
  ok = cv_store_exchange (s, "GET", path, NULL, &reply, err);
  if (ok && reply.status == STATUS_OK)
    ok = take_version (&reply, key, version, err);
  else if (ok)
    ok = cv_fail (err, CV_ERR_UNAVAILABLE, "store: read of %s: status %d", key,
                  reply.status);
  if (!ok)
    s->counts.failures++;
  cv_buf_finish (&reply.body);
  return ok;
}

/* ---- writes ---- */

/* What an answer to a write means.  */
static bool
judge_write (const char *key, const cv_reply_t *reply, uint64_t *new_version,
             cv_error_t *err)
{
  struct json_object *tree;
  bool ok;

  switch (reply->status)
    {
    case STATUS_OK:
      tree = cv_store_tree (reply);
      ok = tree != NULL && get_version (tree, new_version);
      json_object_put (tree);
      return ok
             || cv_fail (err, CV_ERR_UNKNOWN,
                         "store: write of %s: answer without version", key);
    case STATUS_CONFLICT:
      return cv_fail (err, CV_ERR_CONFLICT,
                      "store: write of %s: another write came first", key);
    case STATUS_THROTTLED:
    case STATUS_UNAVAILABLE:
      return cv_fail (err, CV_ERR_UNAVAILABLE,
                      "store: write of %s refused: status %d", key,
                      reply->status);
    default:
      return cv_fail (err,
                      reply->status >= 500 ? CV_ERR_UNKNOWN : CV_ERR_INVALID,
                      "store: write of %s: status %d", key, reply->status);
    }
}

bool
cv_store_put (cv_store_t *s, const char *key, uint64_t version,
              const char *json, uint64_t *new_version, cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_error_t local;
  cv_reply_t reply;
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
  ok = cv_store_exchange (s, "PUT", path, cv_buf_text (&body), &reply, err);
  if (ok)
    ok = judge_write (key, &reply, new_version, err);
  else if (reply.sent)
    err->code = CV_ERR_UNKNOWN;
  if (!ok && err->code != CV_ERR_CONFLICT)
    s->counts.failures++;
  cv_buf_finish (&body);
  cv_buf_finish (&reply.body);
  return ok;
}

/* ---- lost answers ---- */

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

typedef enum
{
  SETTLED_OURS,    /* the object carries our nonce */
  SETTLED_OTHER,   /* another write came first */
  SETTLED_PENDING, /* the object is as before our write */
  SETTLED_SILENT   /* the store did not answer */
} settled_t;

/* NONCE is the object's own or one of the earlier writes'.  */
static bool
carries_nonce (const char *json, const char *nonce)
{
  struct json_object *tree = json_tokener_parse (json);
  struct json_object *value;
  bool found = false;
  size_t i;

  if (json_object_object_get_ex (tree, "nonce", &value))
    found = is_text (value, nonce);
  if (json_object_object_get_ex (tree, "nonces", &value)
      && json_object_is_type (value, json_type_array))
    for (i = 0; !found && i < json_object_array_length (value); i++)
      found = is_text (json_object_array_get_idx (value, i), nonce);
  json_object_put (tree);
  return found;
}

static settled_t
read_back (cv_store_t *s, const char *key, uint64_t version, const char *nonce,
           uint64_t *new_version)
{
  cv_object_t object;
  settled_t result;

  if (!cv_store_get (s, key, &object, NULL))
    return SETTLED_SILENT;
  if (object.version == version)
    result = SETTLED_PENDING;
  else if (object.json != NULL && carries_nonce (object.json, nonce))
    {
      *new_version = object.version;
      result = SETTLED_OURS;
    }
  else
    result = SETTLED_OTHER;
  cv_object_finish (&object);
  return result;
}

static void
pause_for (cv_time_t t)
{
  struct timespec ts = { t / CV_SECOND, (t % CV_SECOND) * 1000 };

  (void)nanosleep (&ts, NULL);
}

/* An earlier write of ours may have taken effect: find out.  A conflict of
   the write that follows can be with that one, so only a read decides.  */
static bool
settle (cv_store_t *s, const char *key, uint64_t version, const char *json,
        const char *nonce, cv_time_t deadline, uint64_t *new_version,
        cv_error_t *err)
{
  cv_time_t pause = PAUSE_FIRST;

  for (;;)
    {
      switch (read_back (s, key, version, nonce, new_version))
        {
        case SETTLED_OURS:
          s->counts.settled++;
          return true;
        case SETTLED_OTHER:
          s->counts.settled++;
          return cv_fail (err, CV_ERR_CONFLICT,
                          "store: write of %s: another write came first", key);
        case SETTLED_PENDING:
          /* The lost write may still arrive.  This one, on the same
             version, bars it or finds it there.  */
          if (cv_store_put (s, key, version, json, new_version, err))
            return true;
          break;
        case SETTLED_SILENT:
          break;
        }
      if (cv_now () + pause >= deadline)
        return cv_fail (err, CV_ERR_UNKNOWN,
                        "store: write of %s: no answer in time", key);
      pause_for (pause);
      pause = pause * 2 < PAUSE_MAX ? pause * 2 : PAUSE_MAX;
    }
}

bool
cv_store_put_settled (cv_store_t *s, const char *key, uint64_t version,
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
  return settle (s, key, version, json, nonce, deadline, new_version, err);
}
