/* Listing of keys and conditional deletes.  */

#include <inttypes.h>
#include <string.h>

#include <json-c/json.h>

#include "store/http.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_SERVER_ERROR 500
#define STATUS_UNAVAILABLE 503

static bool check_delete_status (const char *key, int status, cv_error_t *err);
static bool parse_items (const cv_store_response_t *response,
                         cv_store_entry_t *out, size_t max, size_t *count);
static bool parse_item (struct json_object *item, cv_store_entry_t *out);

bool
cv_store_delete (cv_store_t *s, const char *key, uint64_t version,
                 cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_error_t local;
  cv_store_response_t response;
  size_t n;
  int added;
  bool ok;

  if (err == NULL)
    err = &local;
  if (!cv_store_path (path, key, err))
    return false;
  n = strlen (path);
  added = snprintf (path + n, sizeof path - n, "?version=%" PRIu64, version);
  if (added < 0 || (size_t)added >= sizeof path - n)
    return cv_fail (err, CV_ERR_INVALID, "store: key is too long");
  s->counts.writes++;
  ok = cv_store_exchange (s, "DELETE", path, NULL, &response, err);
  if (ok)
    ok = check_delete_status (key, response.status, err);
  else if (response.sent)
    err->code = CV_ERR_UNKNOWN;
  if (!ok && err->code != CV_ERR_CONFLICT)
    s->counts.failures++;
  cv_buf_finish (&response.body);
  return ok;
}

static bool
check_delete_status (const char *key, int status, cv_error_t *err)
{
  if (status == STATUS_OK || status == STATUS_NOT_FOUND)
    return true;
  if (status == STATUS_CONFLICT)
    return cv_fail (err, CV_ERR_CONFLICT,
                    "store: delete of %s: the object has another version", key);
  return cv_fail (err,
                  status >= STATUS_SERVER_ERROR && status != STATUS_UNAVAILABLE
                      ? CV_ERR_UNKNOWN
                      : CV_ERR_UNAVAILABLE,
                  "store: delete of %s: status %d", key, status);
}

bool
cv_store_list (cv_store_t *s, const char *prefix, const char *after,
               cv_store_entry_t *out, size_t max, size_t *count,
               cv_error_t *err)
{
  char path[CV_STORE_PATH_TEXT];
  cv_store_response_t response;
  bool ok;
  int n = snprintf (path, sizeof path, "/v1/objects?prefix=%s&limit=%zu%s%s",
                    prefix, max, after[0] == '\0' ? "" : "&after=", after);

  *count = 0;
  if (!cv_store_key_is_valid (prefix) || n < 0 || (size_t)n >= sizeof path
      || (after[0] != '\0' && !cv_store_key_is_valid (after)))
    return cv_fail (
        err, CV_ERR_INVALID,
        "store: invalid or too long prefix or start key, prefix \"%.100s\"",
        prefix);
  s->counts.reads++;
  ok = cv_store_exchange (s, "GET", path, NULL, &response, err);
  if (ok && response.status != STATUS_OK)
    ok = cv_fail (err, CV_ERR_UNAVAILABLE, "store: list of %s: status %d",
                  prefix, response.status);
  else if (ok && !parse_items (&response, out, max, count))
    ok = cv_fail (err, CV_ERR_UNAVAILABLE,
                  "store: list of %s: malformed response", prefix);
  if (!ok)
    s->counts.failures++;
  cv_buf_finish (&response.body);
  return ok;
}

static bool
parse_items (const cv_store_response_t *response, cv_store_entry_t *out,
             size_t max, size_t *count)
{
  struct json_object *tree = cv_store_parse_body (response);
  struct json_object *items = NULL;
  bool ok = json_object_object_get_ex (tree, "items", &items)
            && json_object_is_type (items, json_type_array)
            && json_object_array_length (items) <= max;
  size_t n = ok ? json_object_array_length (items) : 0;

  for (size_t i = 0; ok && i < n; i++)
    ok = parse_item (json_object_array_get_idx (items, i), &out[i]);
  if (ok)
    *count = n;
  json_object_put (tree);
  return ok;
}

static bool
parse_item (struct json_object *item, cv_store_entry_t *out)
{
  struct json_object *key;
  struct json_object *version;

  if (!json_object_object_get_ex (item, "key", &key)
      || !json_object_object_get_ex (item, "version", &version)
      || !json_object_is_type (key, json_type_string)
      || !json_object_is_type (version, json_type_int)
      || json_object_get_int64 (version) <= 0)
    return false;
  out->version = (uint64_t)json_object_get_int64 (version);
  return cv_copy (out->key, sizeof out->key, json_object_get_string (key));
}
