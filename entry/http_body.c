/* Parsing and writing of the JSON bodies of the HTTP API.  */

#include <string.h>

#include <json-c/json.h>

#include "entry/http_internal.h"

#define JSON_DEPTH_MAX 16

static struct json_object *parse_object (cv_slice_t body, cv_error_t *err);
static bool read_name (struct json_object *o, const char *key, bool required,
                       char *out, cv_error_t *err);
static bool read_max_tokens (struct json_object *o,
                             cv_completion_request_t *out, cv_error_t *err);
static bool read_prompt (struct json_object *o, cv_buf_t *out, cv_error_t *err);
static bool read_messages (struct json_object *o, cv_buf_t *out,
                           cv_error_t *err);
static bool read_content (struct json_object *content, cv_buf_t *out);

void
cv_json_quote (cv_buf_t *out, const char *text, size_t n)
{
  static const char hex[] = "0123456789abcdef";
  size_t unescaped = 0;

  cv_buf_add (out, "\"", 1);
  for (size_t i = 0; i < n; i++)
    {
      unsigned char c = (unsigned char)text[i];
      char escape[6] = { '\\', 'u', '0', '0', hex[c >> 4], hex[c & 15] };

      if (c >= 0x20 && c != '"' && c != '\\')
        continue;
      cv_buf_add (out, text + unescaped, i - unescaped);
      unescaped = i + 1;
      if (c == '\n')
        cv_buf_add (out, "\\n", 2);
      else
        cv_buf_add (out, escape, sizeof escape);
    }
  if (n > unescaped) /* TEXT may be NULL when it is empty */
    cv_buf_add (out, text + unescaped, n - unescaped);
  cv_buf_add (out, "\"", 1);
}

bool
cv_completion_parse (cv_slice_t body, bool chat, cv_completion_request_t *out,
                     cv_error_t *err)
{
  struct json_object *o = parse_object (body, err);
  struct json_object *stream;
  bool ok;

  memset (out, 0, sizeof *out);
  cv_buf_init (&out->prompt);
  if (o == NULL)
    return false;
  ok = read_name (o, "model", true, out->model, err)
       && read_name (o, "class", false, out->class_name, err)
       && read_max_tokens (o, out, err)
       && (chat ? read_messages (o, &out->prompt, err)
                : read_prompt (o, &out->prompt, err));
  if (ok && json_object_object_get_ex (o, "stream", &stream))
    {
      out->stream = json_object_get_boolean (stream) != 0;
      if (!json_object_is_type (stream, json_type_boolean))
        ok = cv_fail (err, CV_ERR_INVALID, "stream: expected true or false");
    }
  json_object_put (o);
  return ok;
}

bool
cv_json_string_member (cv_slice_t body, const char *key, char *out, size_t size,
                       cv_error_t *err)
{
  struct json_object *o = parse_object (body, err);
  struct json_object *value;
  bool ok;

  if (o == NULL)
    return false;
  ok = json_object_object_get_ex (o, key, &value)
       && json_object_is_type (value, json_type_string)
       && cv_copy (out, size, json_object_get_string (value));
  json_object_put (o);
  /* Missing, not a string, or too long.  */
  if (!ok)
    return cv_fail (err, CV_ERR_INVALID, "%s: expected a name", key);
  return true;
}

static struct json_object *
parse_object (cv_slice_t body, cv_error_t *err)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  struct json_object *o;
  size_t end;

  CV_INVARIANT (tokener != NULL);
  json_tokener_set_flags (tokener, JSON_TOKENER_STRICT);
  o = json_tokener_parse_ex (tokener, body.p, (int)body.n);
  end = json_tokener_get_parse_end (tokener);
  while (end < body.n && strchr (" \t\r\n", body.p[end]) != NULL)
    end++;
  json_tokener_free (tokener);
  if (json_object_is_type (o, json_type_object) && end == body.n)
    return o;
  json_object_put (o);
  (void)cv_fail (err, CV_ERR_INVALID,
                 "the body is no JSON object: stopped at byte %zu", end);
  return NULL;
}

static bool
read_name (struct json_object *o, const char *key, bool required, char *out,
           cv_error_t *err)
{
  struct json_object *value;

  if (!json_object_object_get_ex (o, key, &value))
    return !required || cv_fail (err, CV_ERR_INVALID, "%s: missing", key);
  if (!json_object_is_type (value, json_type_string))
    return cv_fail (err, CV_ERR_INVALID, "%s: expected a string", key);
  if (!cv_copy (out, CV_NAME_MAX, json_object_get_string (value)))
    return cv_fail (err, CV_ERR_INVALID, "%s: longer than %d bytes", key,
                    CV_NAME_MAX - 1);
  return true;
}

static bool
read_max_tokens (struct json_object *o, cv_completion_request_t *out,
                 cv_error_t *err)
{
  struct json_object *value;
  int64_t n;

  if (!json_object_object_get_ex (o, "max_tokens", &value))
    return true;
  n = json_object_get_int64 (value);
  if (!json_object_is_type (value, json_type_int) || n < 1 || n > INT32_MAX)
    return cv_fail (err, CV_ERR_INVALID,
                    "max_tokens: expected a number from 1 to %d", INT32_MAX);
  out->max_tokens = (uint32_t)n;
  return true;
}

static bool
read_prompt (struct json_object *o, cv_buf_t *out, cv_error_t *err)
{
  struct json_object *value;

  if (!json_object_object_get_ex (o, "prompt", &value)
      || !json_object_is_type (value, json_type_string))
    return cv_fail (err, CV_ERR_INVALID, "prompt: expected a string");
  cv_buf_add (out, json_object_get_string (value),
              (size_t)json_object_get_string_len (value));
  return true;
}

/* Concatenates the messages to one prompt with a line "ROLE: TEXT" for each. */
static bool
read_messages (struct json_object *o, cv_buf_t *out, cv_error_t *err)
{
  struct json_object *messages;
  size_t n;

  if (!json_object_object_get_ex (o, "messages", &messages)
      || !json_object_is_type (messages, json_type_array))
    return cv_fail (err, CV_ERR_INVALID, "messages: expected an array");
  n = json_object_array_length (messages);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *m = json_object_array_get_idx (messages, i);
      struct json_object *role = NULL;
      struct json_object *content = NULL;

      if (!json_object_object_get_ex (m, "role", &role)
          || !json_object_is_type (role, json_type_string))
        return cv_fail (err, CV_ERR_INVALID,
                        "messages[%zu].role: expected a string", i);
      (void)json_object_object_get_ex (m, "content", &content);
      cv_buf_printf (out, "%s: ", json_object_get_string (role));
      if (!read_content (content, out))
        return cv_fail (err, CV_ERR_INVALID,
                        "messages[%zu].content: expected text", i);
      cv_buf_add (out, "\n", 1);
    }
  return n > 0
         || cv_fail (err, CV_ERR_INVALID, "messages: expected at least one");
}

/* Appends CONTENT: a string, or an array of {"type":"text","text":...}.  */
static bool
read_content (struct json_object *content, cv_buf_t *out)
{
  size_t n;

  if (json_object_is_type (content, json_type_string))
    {
      cv_buf_add (out, json_object_get_string (content),
                  (size_t)json_object_get_string_len (content));
      return true;
    }
  if (!json_object_is_type (content, json_type_array))
    return false;
  n = json_object_array_length (content);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *text;

      if (!json_object_object_get_ex (json_object_array_get_idx (content, i),
                                      "text", &text)
          || !json_object_is_type (text, json_type_string))
        return false;
      cv_buf_add (out, json_object_get_string (text),
                  (size_t)json_object_get_string_len (text));
    }
  return true;
}
