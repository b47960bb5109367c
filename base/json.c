/* Parser of JSON with comments: json-c's tree, checked by a scan.  */

#include <errno.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json_visit.h>

#include "base/json.h"

/* Bits of the column in a position; greater columns become COLUMN_MAX.  */
#define COLUMN_BITS 12
#define COLUMN_MAX ((1 << COLUMN_BITS) - 1)
/* Levels of nested values, including the document.  */
#define NESTING_MAX 16
#define KEY_MAX_BYTES 128
/* Flag in the position of a number that json-c clamped to 64 bits.  */
#define CLAMPED ((uintptr_t)1 << 62)

typedef struct
{
  const char *p;
  const char *end;
  const char *line_start;
  int line;
  int depth;
  cv_problems_t *problems;
} scan_t;

static int scan_column (const scan_t *s);
static bool scan_value (scan_t *s, struct json_object *tree);

void
cv_problems_init (cv_problems_t *p, FILE *out, const char *file)
{
  memset (p, 0, sizeof *p);
  p->out = out;
  p->file = file;
}

bool
cv_problem (cv_problems_t *p, int line, int column, const char *format, ...)
{
  char text[sizeof p->first.text];
  va_list ap;

  va_start (ap, format);
  if (vsnprintf (text, sizeof text, format, ap) < 0)
    text[0] = '\0';
  va_end (ap);
  if (p->count == 0)
    cv_fail_at (&p->first, line, column, "%s", text);
  p->count++;
  if (p->out != NULL)
    fprintf (p->out, "%s:%d:%d: %s\n", p->file != NULL ? p->file : "input",
             line, column, text);
  return false;
}

/* ---- positions, stored as user data of json-c objects ---- */

static void
set_position (struct json_object *tree, int line, int column)
{
  uintptr_t at;

  if (column > COLUMN_MAX)
    column = COLUMN_MAX;
  at = ((uintptr_t)line << COLUMN_BITS) | (uintptr_t)column;
  json_object_set_serializer (tree, NULL, (void *)at, NULL);
}

static void
set_clamped (struct json_object *tree)
{
  uintptr_t at;

  if (tree == NULL)
    return;
  at = (uintptr_t)json_object_get_userdata (tree) | CLAMPED;
  json_object_set_serializer (tree, NULL, (void *)at, NULL);
}

int
cv_json_line (struct json_object *value)
{
  uintptr_t at;

  if (value == NULL)
    return 0;
  at = (uintptr_t)json_object_get_userdata (value) & ~CLAMPED;
  return (int)(at >> COLUMN_BITS);
}

bool
cv_json_is_out_of_range (struct json_object *value)
{
  return value != NULL
         && ((uintptr_t)json_object_get_userdata (value) & CLAMPED) != 0;
}

int
cv_json_column (struct json_object *value)
{
  if (value == NULL)
    return 0;
  return (int)((uintptr_t)json_object_get_userdata (value) & COLUMN_MAX);
}

/* ---- scanner ---- */

static int
scan_column (const scan_t *s)
{
  return (int)(s->p - s->line_start) + 1;
}

static bool
scan_fail (scan_t *s, const char *expected)
{
  return cv_problem (s->problems, s->line, scan_column (s), "expected %s",
                     expected);
}

static void
scan_advance (scan_t *s)
{
  if (*s->p == '\n')
    {
      s->line++;
      s->line_start = s->p + 1;
    }
  s->p++;
}

/* Skips one comment at the cursor; false if there is none.  */
static bool
scan_comment (scan_t *s)
{
  if (s->end - s->p < 2 || s->p[0] != '/')
    return false;
  if (s->p[1] == '/')
    {
      while (s->p < s->end && *s->p != '\n')
        scan_advance (s);
      return true;
    }
  if (s->p[1] != '*')
    return false;
  s->p += 2;
  while (s->p < s->end
         && !(s->end - s->p >= 2 && s->p[0] == '*' && s->p[1] == '/'))
    scan_advance (s);
  if (s->p < s->end)
    s->p += 2;
  return true;
}

/* Skips white space and comments; returns the next character, 0 at the end.  */
static char
scan_peek (scan_t *s)
{
  while (s->p < s->end)
    {
      if (strchr (" \t\r\n", *s->p) != NULL && *s->p != '\0')
        scan_advance (s);
      else if (!scan_comment (s))
        return *s->p;
    }
  return '\0';
}

static bool
scan_string (scan_t *s, cv_slice_t *out)
{
  if (scan_peek (s) != '"')
    return scan_fail (s, "a text in double quotes");
  s->p++;
  out->p = s->p;
  while (s->p < s->end && *s->p != '"')
    {
      if ((unsigned char)*s->p < ' ')
        return scan_fail (s, "no control character inside a text");
      if (*s->p == '\\' && s->end - s->p >= 2)
        s->p++;
      s->p++;
    }
  if (s->p >= s->end)
    return scan_fail (s, "the closing quote of a text");
  out->n = (size_t)(s->p - out->p);
  s->p++;
  return true;
}

/* Checks a number, true, false or null.  */
static bool
scan_literal (scan_t *s, struct json_object *tree)
{
  const char *start = s->p;
  char text[64];
  char *rest;
  size_t n;

  while (s->p < s->end && strchr (" \t\r\n,:]}/", *s->p) == NULL)
    s->p++;
  n = (size_t)(s->p - start);
  if (!cv_copy_slice (text, sizeof text, (cv_slice_t){ start, n }))
    text[0] = '\0';
  s->p = start;
  if (strcmp (text, "null") == 0)
    cv_problem (s->problems, s->line, scan_column (s),
                "expected a value; null is not one");
  else if (strcmp (text, "true") != 0 && strcmp (text, "false") != 0)
    {
      errno = 0;
      if (strchr ("-0123456789", text[0]) == NULL || text[0] == '\0')
        return scan_fail (s, "a value");
      (void)strtoll (text, &rest, 10);
      if (errno == ERANGE)
        set_clamped (tree);
    }
  s->p = start + n;
  return true;
}

/* Finds the child of TREE for KEY and records the key's position in
   the child; NULL if
   there is no child or the key is a duplicate.  */
static struct json_object *
scan_child (scan_t *s, struct json_object *tree, cv_slice_t key, int line,
            int column)
{
  struct json_object *child = NULL;
  char name[KEY_MAX_BYTES];

  if (!cv_copy_slice (name, sizeof name, key)
      || memchr (name, '\\', key.n) != NULL)
    {
      cv_problem (s->problems, line, column,
                  "expected a key of less than %d bytes, no escapes",
                  KEY_MAX_BYTES);
      return NULL;
    }
  if (tree == NULL || !json_object_is_type (tree, json_type_object)
      || !json_object_object_get_ex (tree, name, &child) || child == NULL)
    return NULL;
  if (cv_json_line (child) != 0)
    {
      cv_problem (s->problems, line, column, "key \"%s\" is given twice", name);
      return NULL;
    }
  set_position (child, line, column);
  return child;
}

static bool
scan_object (scan_t *s, struct json_object *tree)
{
  struct json_object *child;
  cv_slice_t key = { NULL, 0 };
  int column;
  int line;

  s->p++;
  if (scan_peek (s) == '}')
    return s->p++, true;
  for (;;)
    {
      if (scan_peek (s) != '"')
        return scan_fail (s, "a key in double quotes");
      line = s->line;
      column = scan_column (s);
      if (!scan_string (s, &key))
        return false;
      if (scan_peek (s) != ':')
        return scan_fail (s, "':' after a key");
      s->p++;
      child = scan_child (s, tree, key, line, column);
      if (!scan_value (s, child))
        return false;
      if (scan_peek (s) == '}')
        return s->p++, true;
      if (scan_peek (s) != ',')
        return scan_fail (s, "',' or '}'");
      s->p++;
    }
}

static bool
scan_array (scan_t *s, struct json_object *tree)
{
  struct json_object *child;
  size_t i;

  s->p++;
  if (scan_peek (s) == ']')
    return s->p++, true;
  for (i = 0;; i++)
    {
      child = NULL;
      if (scan_peek (s) == '\0')
        return scan_fail (s, "a value");
      if (tree != NULL && json_object_is_type (tree, json_type_array))
        child = json_object_array_get_idx (tree, i);
      if (child != NULL)
        set_position (child, s->line, scan_column (s));
      if (!scan_value (s, child))
        return false;
      if (scan_peek (s) == ']')
        return s->p++, true;
      if (scan_peek (s) != ',')
        return scan_fail (s, "',' or ']'");
      s->p++;
    }
}

static bool
scan_value (scan_t *s, struct json_object *tree)
{
  cv_slice_t text;
  bool ok;

  if (s->depth >= NESTING_MAX)
    return scan_fail (s, "at most 16 levels of values");
  s->depth++;
  switch (scan_peek (s))
    {
    case '\0':
      ok = scan_fail (s, "a value");
      break;
    case '{':
      ok = scan_object (s, tree);
      break;
    case '[':
      ok = scan_array (s, tree);
      break;
    case '"':
      ok = scan_string (s, &text);
      break;
    default:
      ok = scan_literal (s, tree);
      break;
    }
  s->depth--;
  return ok;
}

/* ---- json-c ---- */

static void
find_position (cv_slice_t text, size_t offset, int *line, int *column)
{
  size_t i;

  *line = 1;
  *column = 1;
  for (i = 0; i < offset && i < text.n; i++)
    {
      *column = text.p[i] == '\n' ? 1 : *column + 1;
      *line += text.p[i] == '\n';
    }
}

static struct json_object *
parse_tree (cv_slice_t text, cv_problems_t *p)
{
  struct json_tokener *tok = json_tokener_new_ex (NESTING_MAX + 1);
  struct json_object *tree;
  enum json_tokener_error err;
  size_t end;
  int column;
  int line;

  if (tok == NULL || text.n > INT32_MAX)
    {
      cv_problem (p, 1, 1, "the text is too large");
      json_tokener_free (tok);
      return NULL;
    }
  json_tokener_set_flags (tok, JSON_TOKENER_VALIDATE_UTF8
                                   | JSON_TOKENER_ALLOW_TRAILING_CHARS);
  tree = json_tokener_parse_ex (tok, text.p, (int)text.n);
  /* The text may end with a comment that has no newline.  */
  if (tree == NULL && json_tokener_get_error (tok) == json_tokener_continue)
    tree = json_tokener_parse_ex (tok, "\n", 1);
  err = json_tokener_get_error (tok);
  end = json_tokener_get_parse_end (tok);
  json_tokener_free (tok);
  if (tree != NULL)
    return tree;
  if (err == json_tokener_continue || err == json_tokener_success)
    end = text.n;
  find_position (text, end, &line, &column);
  cv_problem (p, line, column, "not JSON: %s",
              err == json_tokener_continue  ? "the text ends too early"
              : err == json_tokener_success ? "no object"
                                            : json_tokener_error_desc (err));
  return NULL;
}

/* json-c stores the text of a floating-point number in the user data, which
   holds the position here.  */
static int
drop_number_text (json_object *value, int flags, json_object *parent,
                  const char *key, size_t *index, void *arg)
{
  (void)flags;
  (void)parent;
  (void)key;
  (void)index;
  (void)arg;
  if (json_object_is_type (value, json_type_double))
    json_object_set_serializer (value, NULL, NULL, NULL);
  return JSON_C_VISIT_RETURN_CONTINUE;
}

struct json_object *
cv_json_parse (cv_slice_t text, cv_problems_t *p)
{
  struct json_object *tree;
  scan_t s = { 0 };

  tree = parse_tree (text, p);
  if (tree == NULL)
    return NULL;
  (void)json_c_visit (tree, 0, drop_number_text, NULL);
  s.p = text.p;
  s.end = text.p + text.n;
  s.line_start = text.p;
  s.line = 1;
  s.problems = p;
  if (scan_peek (&s) != '{')
    scan_fail (&s, "'{' at the start");
  else
    {
      set_position (tree, s.line, scan_column (&s));
      if (scan_value (&s, tree))
        {
          if (scan_peek (&s) == '\0' && s.p == s.end)
            return tree;
          scan_fail (&s, "nothing after the object");
        }
    }
  json_object_put (tree);
  return NULL;
}
