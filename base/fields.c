/* Reading of a JSON object into a struct that a table of fields describes.  */

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"

#define EXPECTED_MAX_BYTES 160
#define PATH_MAX_BYTES 160
#define URL_SCHEME "http://"
#define HASH_DIGITS 64
#define FOUND_FORMAT (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

static const char name_characters[]
    = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

bool
cv_name_is_valid (const char *text)
{
  size_t n = strlen (text);

  return n > 0 && n < CV_NAME_MAX && strspn (text, name_characters) == n;
}

static bool
address_is_valid (const char *text)
{
  unsigned char raw[sizeof (struct in6_addr)];

  return inet_pton (AF_INET, text, raw) == 1
         || inet_pton (AF_INET6, text, raw) == 1;
}

/* "http://IP:PORT", with an IPv6 address in brackets.  */
static bool
url_is_valid (const char *text)
{
  char host[INET6_ADDRSTRLEN + 2];
  const char *colon;
  char *rest;
  size_t n;
  long port;

  if (strncmp (text, URL_SCHEME, strlen (URL_SCHEME)) != 0)
    return false;
  text += strlen (URL_SCHEME);
  colon = strrchr (text, ':');
  if (colon == NULL)
    return false;
  n = (size_t)(colon - text);
  if (n > 2 && text[0] == '[' && text[n - 1] == ']')
    {
      text++;
      n -= 2;
    }
  if (!cv_copy_slice (host, sizeof host, (cv_slice_t){ text, n })
      || !address_is_valid (host) || colon[1] < '0' || colon[1] > '9')
    return false;
  port = strtol (colon + 1, &rest, 10);
  return *rest == '\0' && port >= 1 && port <= UINT16_MAX;
}

static bool
hash_is_valid (const char *text)
{
  return strlen (text) == HASH_DIGITS
         && strspn (text, "0123456789abcdef") == HASH_DIGITS;
}

const char *
cv_names_find (const cv_names_t *n, const char *key)
{
  for (uint32_t i = 0; i < n->count; i++)
    if (strcmp (n->names[i].key, key) == 0)
      return n->names[i].value;
  return NULL;
}

static void
describe_choices (const cv_field_t *f, char *out, size_t size)
{
  size_t used = 0;
  int i;
  int n;

  out[0] = '\0';
  for (i = 0; f->choices[i] != NULL; i++)
    {
      n = snprintf (out + used, size - used, "%s\"%s\"", i > 0 ? " or " : "",
                    f->choices[i]);
      if (n < 0 || (size_t)n >= size - used)
        return;
      used += (size_t)n;
    }
}

/* Describes the valid values of F.  */
static void
describe_expected (const cv_field_t *f, char *out, size_t size)
{
  const char *valid_values = "";

  switch (f->kind)
    {
    case CV_FIELD_TEXT:
      (void)snprintf (out, size, "a text of less than %zu bytes", f->size);
      return;
    case CV_FIELD_U32:
    case CV_FIELD_U64:
      (void)snprintf (out, size, "a whole number from %" PRId64 " to %" PRId64,
                      f->min, f->max);
      return;
    case CV_FIELD_REAL:
      (void)snprintf (out, size, "a number from %" PRId64 " to %" PRId64,
                      f->min, f->max);
      return;
    case CV_FIELD_CHOICE:
      describe_choices (f, out, size);
      return;
    case CV_FIELD_NAME:
      valid_values = "a name (1 to 63 of letters, digits, '-', '_', '.')";
      break;
    case CV_FIELD_ADDRESS:
      valid_values = "an IP number";
      break;
    case CV_FIELD_URL:
      valid_values = "a URL of the form http://IP:PORT";
      break;
    case CV_FIELD_HASH:
      valid_values = "64 lower-case hexadecimal digits";
      break;
    case CV_FIELD_BOOL:
      valid_values = "true or false";
      break;
    case CV_FIELD_OBJECT:
      valid_values = "an object";
      break;
    case CV_FIELD_NAMES:
      valid_values = "an object of up to 64 names";
      break;
    }
  (void)snprintf (out, size, "%s", valid_values);
}

static bool
set_string (const cv_field_t *f, const char *text, char *base)
{
  int i;

  switch (f->kind)
    {
    case CV_FIELD_TEXT:
      return cv_copy (base + f->offset, f->size, text);
    case CV_FIELD_NAME:
      return (cv_name_is_valid (text) || (text[0] == '\0' && !f->required))
             && cv_copy (base + f->offset, f->size, text);
    case CV_FIELD_ADDRESS:
      return address_is_valid (text)
             && cv_copy (base + f->offset, f->size, text);
    case CV_FIELD_URL:
      return url_is_valid (text) && cv_copy (base + f->offset, f->size, text);
    case CV_FIELD_HASH:
      return hash_is_valid (text) && cv_copy (base + f->offset, f->size, text);
    case CV_FIELD_CHOICE:
      for (i = 0; f->choices[i] != NULL; i++)
        if (strcmp (f->choices[i], text) == 0)
          {
            memcpy (base + f->offset, &(int){ i + 1 }, sizeof (int));
            return true;
          }
      return false;
    default:
      return false;
    }
}

static bool
set_number (const cv_field_t *f, int64_t value, char *base)
{
  uint32_t narrow;
  uint64_t wide;

  if (value < f->min || value > f->max)
    return false;
  narrow = (uint32_t)value;
  wide = (uint64_t)value;
  if (f->kind == CV_FIELD_U32)
    memcpy (base + f->offset, &narrow, sizeof narrow);
  else
    memcpy (base + f->offset, &wide, sizeof wide);
  return true;
}

static bool
set_real (const cv_field_t *f, double value, char *base)
{
  if (!(value >= (double)f->min && value <= (double)f->max))
    return false;
  memcpy (base + f->offset, &value, sizeof value);
  return true;
}

static bool
set_names (const cv_field_t *f, struct json_object *object, char *base)
{
  cv_names_t *out = (cv_names_t *)(void *)(base + f->offset);

  out->count = 0;
  json_object_object_foreach (object, key, value)
  {
    if (out->count == CV_NAMES_MAX
        || !json_object_is_type (value, json_type_string)
        || !cv_copy (out->names[out->count].key, CV_NAME_MAX, key)
        || !cv_copy (out->names[out->count].value, CV_NAME_MAX,
                     json_object_get_string (value)))
      return false;
    out->count++;
  }
  return true;
}

static bool
set_bool (const cv_field_t *f, bool value, char *base)
{
  memcpy (base + f->offset, &value, sizeof value);
  return true;
}

bool
cv_field_parse_text (const cv_field_t *f, const char *text, void *out,
                     char *expected, size_t expected_size)
{
  char *rest;
  int64_t n;
  bool ok;

  switch (f->kind)
    {
    case CV_FIELD_U32:
    case CV_FIELD_U64:
      ok = text[0] != '\0' && strspn (text, "0123456789") == strlen (text)
           && strlen (text) <= 18;
      n = ok ? strtoll (text, &rest, 10) : 0;
      ok = ok && set_number (f, n, out);
      break;
    case CV_FIELD_REAL:
      ok = text[0] != '\0' && set_real (f, strtod (text, &rest), out)
           && *rest == '\0';
      break;
    case CV_FIELD_BOOL:
      ok = strcmp (text, "true") == 0 || strcmp (text, "false") == 0;
      ok = ok && set_bool (f, strcmp (text, "true") == 0, out);
      break;
    default:
      ok = set_string (f, text, out);
      break;
    }
  if (!ok && expected != NULL)
    describe_expected (f, expected, expected_size);
  return ok;
}

void
cv_fields_set_defaults (const cv_field_t *fields, void *out)
{
  const cv_field_t *f;
  char *base = out;
  int choice;

  for (f = fields; f->key != NULL; f++)
    switch (f->kind)
      {
      case CV_FIELD_U32:
      case CV_FIELD_U64:
        (void)set_number (f, f->default_value, base);
        break;
      case CV_FIELD_REAL:
        (void)set_real (f, (double)f->default_value, base);
        break;
      case CV_FIELD_BOOL:
        set_bool (f, f->default_value != 0, base);
        break;
      case CV_FIELD_CHOICE:
        choice = (int)f->default_value;
        memcpy (base + f->offset, &choice, sizeof choice);
        break;
      case CV_FIELD_OBJECT:
        cv_fields_set_defaults (f->fields, base + f->offset);
        break;
      case CV_FIELD_NAMES:
        ((cv_names_t *)(void *)(base + f->offset))->count = 0;
        break;
      default:
        base[f->offset] = '\0';
        break;
      }
}

/* Stores VALUE in field F of BASE; false if it is not a valid value.  */
static bool
set_value (const cv_field_t *f, struct json_object *value, char *base)
{
  switch (f->kind)
    {
    case CV_FIELD_U32:
    case CV_FIELD_U64:
      return json_object_is_type (value, json_type_int)
             && !cv_json_is_out_of_range (value)
             && set_number (f, json_object_get_int64 (value), base);
    case CV_FIELD_REAL:
      return (json_object_is_type (value, json_type_double)
              || json_object_is_type (value, json_type_int))
             && !cv_json_is_out_of_range (value)
             && set_real (f, json_object_get_double (value), base);
    case CV_FIELD_BOOL:
      return json_object_is_type (value, json_type_boolean)
             && set_bool (f, json_object_get_boolean (value), base);
    case CV_FIELD_NAMES:
      return json_object_is_type (value, json_type_object)
             && set_names (f, value, base);
    default:
      return json_object_is_type (value, json_type_string)
             && set_string (f, json_object_get_string (value), base);
    }
}

static void
join_path (char *out, size_t size, const char *path, const char *key)
{
  (void)snprintf (out, size, "%s%s%s", path, path[0] != '\0' ? "." : "", key);
}

static void
read_field (const cv_field_t *f, struct json_object *value, const char *path,
            char *base, cv_problems_t *p)
{
  char expected[EXPECTED_MAX_BYTES];
  char full_path[PATH_MAX_BYTES];

  join_path (full_path, sizeof full_path, path, f->key);
  if (f->kind == CV_FIELD_OBJECT
      && json_object_is_type (value, json_type_object))
    {
      cv_fields_read (f->fields, value, full_path, base + f->offset, p);
      return;
    }
  if (f->kind != CV_FIELD_OBJECT && set_value (f, value, base))
    return;
  describe_expected (f, expected, sizeof expected);
  cv_problem (p, cv_json_line (value), cv_json_column (value),
              "%s: expected %s, found %.60s", full_path, expected,
              cv_json_is_out_of_range (value)
                  ? "a number that is too large"
                  : json_object_to_json_string_ext (value, FOUND_FORMAT));
}

static const cv_field_t *
find_field (const cv_field_t *fields, const char *key)
{
  for (; fields->key != NULL; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

void
cv_fields_read (const cv_field_t *fields, struct json_object *object,
                const char *path, void *out, cv_problems_t *p)
{
  const cv_field_t *f;
  char full_path[PATH_MAX_BYTES];

  cv_fields_set_defaults (fields, out);
  json_object_object_foreach (object, key, value)
  {
    if (value == NULL)
      continue; /* cv_json_parse has reported the null */
    f = find_field (fields, key);
    join_path (full_path, sizeof full_path, path, key);
    if (f == NULL)
      cv_problem (p, cv_json_line (value), cv_json_column (value),
                  "%s: unknown key", full_path);
    else
      read_field (f, value, path, out, p);
  }
  for (f = fields; f->key != NULL; f++)
    if (f->required && !json_object_object_get_ex (object, f->key, NULL))
      {
        join_path (full_path, sizeof full_path, path, f->key);
        cv_problem (p, cv_json_line (object), cv_json_column (object),
                    "%s: required key is missing", full_path);
      }
}
