/* Writes a configuration as a JSON document, and the differences between two
   configurations.  */

#include <string.h>

#include "config/kinds.h"

#define VALUE_BYTES 80
#define HASH_DIGITS_SHOWN 8
#define DIFF_ADDED '+'
#define DIFF_REMOVED '-'
#define DIFF_CHANGED '~'

/* ---- document ---- */

static bool
is_quoted (const cv_field_t *f)
{
  return f->kind != CV_FIELD_U32 && f->kind != CV_FIELD_U64
         && f->kind != CV_FIELD_BOOL;
}

/* Values are not escaped: names, hashes and choices contain no character that
   JSON requires to be escaped.  */
static void
write_item (const cv_object_kind_t *kind, const char *item, cv_buf_t *out)
{
  const cv_field_t *f;
  char value[VALUE_BYTES];
  const char *separator = "";

  cv_buf_printf (out, "    \"%s\": {", item);
  for (f = kind->fields; f->key != NULL; f++)
    {
      cv_field_format (f, item, value, sizeof value);
      if (value[0] == '\0')
        continue;
      cv_buf_printf (out, is_quoted (f) ? "%s\"%s\": \"%s\"" : "%s\"%s\": %s",
                     separator, f->key, value);
      separator = ", ";
    }
  cv_buf_printf (out, "}");
}

static void
write_kind (const cv_object_kind_t *kind, const cv_config_t *c, cv_buf_t *out)
{
  const char *item = cv_kind_items (kind, c);
  size_t n = cv_kind_count (kind, c);
  size_t i;

  cv_buf_printf (out, ",\n  \"%s\": {", kind->plural);
  for (i = 0; i < n; i++, item += kind->item_size)
    {
      cv_buf_printf (out, i > 0 ? ",\n" : "\n");
      write_item (kind, item, out);
    }
  cv_buf_printf (out, n > 0 ? "\n  }" : "}");
}

void
cv_config_write (const cv_config_t *c, cv_buf_t *out)
{
  size_t i;

  cv_buf_printf (out, "{\n  \"limit_share\": %u", c->limit_share);
  for (i = 0; i < CV_KIND_COUNT; i++)
    write_kind (&cv_kinds[i], c, out);
  cv_buf_printf (out, "\n}\n");
}

/* ---- difference ---- */

typedef struct
{
  cv_buf_t *out;
  bool names_only;
} diff_t;

/* Formats a field for a difference; a hash is cut to its first digits.  */
static void
format_field (const cv_field_t *f, const char *item, char out[VALUE_BYTES])
{
  cv_field_format (f, item, out, VALUE_BYTES);
  if (f->kind == CV_FIELD_HASH && strlen (out) > HASH_DIGITS_SHOWN)
    memcpy (out + HASH_DIGITS_SHOWN, "...", sizeof "...");
}

/* Writes an added or removed item: "+ account X class report weight 3 ...".  */
static void
diff_item (const diff_t *d, char sign, const cv_object_kind_t *kind,
           const char *item)
{
  const cv_field_t *f;
  char value[VALUE_BYTES];

  if (d->names_only)
    {
      cv_buf_printf (d->out, "%s %s\n", kind->singular, item);
      return;
    }
  cv_buf_printf (d->out, "%c %s %s", sign, kind->singular, item);
  for (f = kind->fields; f->key != NULL; f++)
    {
      format_field (f, item, value);
      if (value[0] != '\0')
        cv_buf_printf (d->out, " %s %s", f->key, value);
    }
  cv_buf_printf (d->out, "\n");
}

static void
diff_fields (const diff_t *d, const char *kind_name, const char *name,
             const cv_field_t *fields, const char *from, const char *to)
{
  const cv_field_t *f;
  char before[VALUE_BYTES];
  char after[VALUE_BYTES];

  for (f = fields; f->key != NULL; f++)
    {
      format_field (f, from, before);
      format_field (f, to, after);
      if (strcmp (before, after) == 0)
        continue;
      if (d->names_only)
        {
          cv_buf_printf (d->out, "%s%s%s\n", kind_name,
                         name[0] != '\0' ? " " : "", name);
          return;
        }
      cv_buf_printf (d->out, "%c %s%s%s %s: %s -> %s\n", DIFF_CHANGED,
                     kind_name, name[0] != '\0' ? " " : "", name, f->key,
                     before[0] != '\0' ? before : "\"\"",
                     after[0] != '\0' ? after : "\"\"");
    }
}

/* Merges the sorted items of FROM and TO and writes each difference.  */
static void
diff_kind (const diff_t *d, const cv_object_kind_t *kind,
           const cv_config_t *from, const cv_config_t *to)
{
  const char *a = cv_kind_items (kind, from);
  const char *b = cv_kind_items (kind, to);
  size_t a_left = cv_kind_count (kind, from);
  size_t b_left = cv_kind_count (kind, to);
  int order;

  while (a_left > 0 || b_left > 0)
    {
      order = a_left == 0 ? 1 : b_left == 0 ? -1 : strcmp (a, b);
      if (order < 0)
        diff_item (d, DIFF_REMOVED, kind, a);
      else if (order > 0)
        diff_item (d, DIFF_ADDED, kind, b);
      else
        diff_fields (d, kind->singular, a, kind->fields, a, b);
      if (order <= 0)
        {
          a += kind->item_size;
          a_left--;
        }
      if (order >= 0)
        {
          b += kind->item_size;
          b_left--;
        }
    }
}

static void
diff_configs (const diff_t *d, const cv_config_t *from, const cv_config_t *to)
{
  cv_config_t *empty = cv_config_new (0);
  size_t i;

  diff_fields (d, "system", "", cv_system_fields,
               (const char *)(from != NULL ? from : empty),
               (const char *)(to != NULL ? to : empty));
  for (i = 0; i < CV_KIND_COUNT; i++)
    diff_kind (d, &cv_kinds[i], from, to);
  cv_config_unref (empty);
}

void
cv_config_diff (const cv_config_t *from, const cv_config_t *to, cv_buf_t *out)
{
  diff_t d = { out, false };

  diff_configs (&d, from, to);
}

void
cv_config_list_changed (const cv_config_t *from, const cv_config_t *to,
                        cv_buf_t *out)
{
  diff_t d = { out, true };

  diff_configs (&d, from, to);
}
