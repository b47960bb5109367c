/* Parses and applies changes of the operators' language: set, add and
   remove.  */

#include <stdlib.h>
#include <string.h>

#include "config/kinds.h"
#include "config/lexer.h"

#define SYSTEM "system"
#define EXPECTED_BYTES 160
#define KEYS_BYTES 160

/* Position of an edit, for problems found only once all edits are applied.  */
typedef struct
{
  char name[CV_NAME_MAX]; /* of the object that the edit changes */
  int line;
  int column;
} edit_t;

typedef struct
{
  cv_lexer_t lexer;
  cv_config_t *config; /* the copy that is edited */
  edit_t *edits;
  size_t edit_count;
  size_t edit_capacity;
  cv_error_t *err;
  bool failed;
} change_t;

static void
record_edit (change_t *ch, const char *name, int line, int column)
{
  edit_t *e;

  if (ch->edit_count == ch->edit_capacity)
    {
      ch->edit_capacity = ch->edit_capacity == 0 ? 8 : ch->edit_capacity * 2;
      ch->edits = cv_realloc (ch->edits, ch->edit_capacity * sizeof *ch->edits);
    }
  e = &ch->edits[ch->edit_count++];
  (void)cv_copy (e->name, sizeof e->name, name);
  e->line = line;
  e->column = column;
}

/* Returns the last edit of the object NAME, else of the object OTHER, else the
   last edit.  */
static const edit_t *
find_edit (const change_t *ch, const char *name, const char *other)
{
  size_t i;

  for (i = ch->edit_count; i > 0; i--)
    if (strcmp (ch->edits[i - 1].name, name) == 0)
      return &ch->edits[i - 1];
  if (other != NULL)
    return find_edit (ch, other, NULL);
  return &ch->edits[ch->edit_count - 1];
}

/* ---- items ---- */

static char *
insert_item (cv_config_t *c, const cv_object_kind_t *kind, const char *name)
{
  size_t size = kind->item_size;
  size_t n = cv_kind_count (kind, c);
  char *items = cv_realloc (cv_kind_items (kind, c), (n + 1) * size);
  size_t i = 0;

  while (i < n && strcmp (items + i * size, name) < 0)
    i++;
  memmove (items + (i + 1) * size, items + i * size, (n - i) * size);
  memset (items + i * size, 0, size);
  cv_fields_set_defaults (kind->fields, items + i * size);
  (void)cv_copy (items + i * size, CV_NAME_MAX, name);
  cv_kind_set_items (kind, c, items, n + 1);
  return items + i * size;
}

static void
remove_item (cv_config_t *c, const cv_object_kind_t *kind, char *item)
{
  size_t size = kind->item_size;
  size_t n = cv_kind_count (kind, c);
  char *items = cv_kind_items (kind, c);
  char *end = items + n * size;

  memmove (item, item + size, (size_t)(end - item) - size);
  cv_kind_set_items (kind, c, items, n - 1);
}

/* ---- one edit ---- */

static void
list_keys (const cv_field_t *fields, char *out, size_t size)
{
  size_t used = 0;
  int n;

  for (; fields->key != NULL; fields++)
    {
      n = snprintf (out + used, size - used, "%s%s", used > 0 ? ", " : "",
                    fields->key);
      if (n < 0 || (size_t)n >= size - used)
        return;
      used += (size_t)n;
    }
}

static bool
is_at_edit_end (const cv_lexer_t *l)
{
  return l->word.kind == CV_WORD_END || l->word.kind == CV_WORD_SEPARATOR;
}

/* Reads one "KEY VALUE" or "KEY = VALUE".  FIELDS_SET is a bit set of the
   fields that the edit has already set.  */
static bool
read_assignment (change_t *ch, const cv_field_t *fields, char *item,
                 uint32_t *fields_set)
{
  char expected[EXPECTED_BYTES];
  char keys[KEYS_BYTES] = "";
  cv_lexer_t *l = &ch->lexer;
  const cv_field_t *f = NULL;
  char text[EXPECTED_BYTES + CV_NAME_MAX];

  if (l->word.kind == CV_WORD_PLAIN)
    f = cv_kind_find_field (fields, l->word.text);
  if (f == NULL)
    {
      list_keys (fields, keys, sizeof keys);
      return cv_lexer_expected (l, keys);
    }
  if (*fields_set & (1u << (f - fields)))
    return cv_fail_at (ch->err, l->word.line, l->word.column,
                       "%s is given twice in one edit", f->key);
  *fields_set |= 1u << (f - fields);
  (void)cv_lexer_next (l);
  if (l->word.kind == CV_WORD_OPERATOR && strcmp (l->word.text, "=") == 0)
    (void)cv_lexer_next (l);
  if ((l->word.kind == CV_WORD_PLAIN || l->word.kind == CV_WORD_QUOTED)
      && cv_field_parse_text (f, l->word.text, item, expected, sizeof expected))
    {
      (void)cv_lexer_next (l);
      return true;
    }
  if (l->word.kind != CV_WORD_PLAIN && l->word.kind != CV_WORD_QUOTED)
    (void)cv_copy (expected, sizeof expected, "a value");
  (void)snprintf (text, sizeof text, "%s for %s", expected, f->key);
  return cv_lexer_expected (l, text);
}

static bool
read_assignments (change_t *ch, const cv_field_t *fields, char *item,
                  uint32_t *fields_set)
{
  do
    if (!read_assignment (ch, fields, item, fields_set))
      return false;
  while (!is_at_edit_end (&ch->lexer));
  return true;
}

/* Reads the kind and the name of the object that an edit changes, and records
   the position of VERB for it.  */
static bool
read_object (change_t *ch, const cv_object_kind_t **kind,
             char name[CV_NAME_MAX], const cv_word_t *verb)
{
  cv_lexer_t *l = &ch->lexer;

  *kind = NULL;
  if (l->word.kind == CV_WORD_PLAIN)
    *kind = cv_kind_find (l->word.text);
  if (*kind == NULL)
    {
      (void)cv_lexer_expected (l, "account, class, model, pool or system");
      return false;
    }
  (void)cv_lexer_next (l);
  if ((l->word.kind != CV_WORD_PLAIN && l->word.kind != CV_WORD_QUOTED)
      || !cv_name_is_valid (l->word.text))
    {
      (void)cv_lexer_expected (
          l, "a name (1 to 63 of letters, digits, '-', '_', '.')");
      return false;
    }
  (void)cv_copy (name, CV_NAME_MAX, l->word.text);
  record_edit (ch, name, verb->line, verb->column);
  return true;
}

static bool
edit_system (change_t *ch, const cv_word_t *verb)
{
  uint32_t fields_set = 0;

  record_edit (ch, SYSTEM, verb->line, verb->column);
  (void)cv_lexer_next (&ch->lexer);
  return read_assignments (ch, cv_system_fields, (char *)ch->config,
                           &fields_set);
}

static bool
edit_set (change_t *ch, const cv_word_t *verb)
{
  char name[CV_NAME_MAX];
  const cv_object_kind_t *kind;
  uint32_t fields_set = 0;
  char *item;

  if (cv_lexer_is_word (&ch->lexer, SYSTEM))
    return edit_system (ch, verb);
  if (!read_object (ch, &kind, name, verb))
    return false;
  item = cv_kind_find_item (kind, ch->config, name);
  if (item == NULL)
    return cv_fail_at (ch->err, ch->lexer.word.line, ch->lexer.word.column,
                       "there is no %s \"%s\"", kind->singular, name);
  (void)cv_lexer_next (&ch->lexer);
  return read_assignments (ch, kind->fields, item, &fields_set);
}

static bool
edit_add (change_t *ch, const cv_word_t *verb)
{
  char name[CV_NAME_MAX];
  const cv_object_kind_t *kind;
  const cv_field_t *f;
  uint32_t fields_set = 0;
  char *item;

  if (!read_object (ch, &kind, name, verb))
    return false;
  if (cv_kind_find_item (kind, ch->config, name) != NULL)
    return cv_fail_at (ch->err, ch->lexer.word.line, ch->lexer.word.column,
                       "%s \"%s\" exists already", kind->singular, name);
  (void)cv_lexer_next (&ch->lexer);
  item = insert_item (ch->config, kind, name);
  if (!is_at_edit_end (&ch->lexer)
      && !read_assignments (ch, kind->fields, item, &fields_set))
    return false;
  for (f = kind->fields; f->key != NULL; f++)
    if (f->required && !(fields_set & (1u << (f - kind->fields))))
      return cv_fail_at (ch->err, verb->line, verb->column,
                         "%s \"%s\" needs a value for %s", kind->singular, name,
                         f->key);
  return true;
}

static bool
edit_remove (change_t *ch, const cv_word_t *verb)
{
  char name[CV_NAME_MAX];
  const cv_object_kind_t *kind;
  char *item;

  if (!read_object (ch, &kind, name, verb))
    return false;
  item = cv_kind_find_item (kind, ch->config, name);
  if (item == NULL)
    return cv_fail_at (ch->err, ch->lexer.word.line, ch->lexer.word.column,
                       "there is no %s \"%s\"", kind->singular, name);
  remove_item (ch->config, kind, item);
  (void)cv_lexer_next (&ch->lexer);
  return true;
}

static bool
read_edit (change_t *ch)
{
  cv_lexer_t *l = &ch->lexer;
  cv_word_t verb = l->word;
  bool ok;

  if (!cv_lexer_is_word (l, "set") && !cv_lexer_is_word (l, "add")
      && !cv_lexer_is_word (l, "remove"))
    return cv_lexer_expected (l, "set, add or remove");
  (void)cv_lexer_next (l);
  if (strcmp (verb.text, "set") == 0)
    ok = edit_set (ch, &verb);
  else if (strcmp (verb.text, "add") == 0)
    ok = edit_add (ch, &verb);
  else
    ok = edit_remove (ch, &verb);
  if (!ok)
    return false;
  return is_at_edit_end (l)
         || cv_lexer_expected (l, "';' or the end of a line");
}

static bool
read_edits (change_t *ch)
{
  while (ch->lexer.word.kind != CV_WORD_END)
    {
      if (ch->lexer.word.kind == CV_WORD_SEPARATOR)
        (void)cv_lexer_next (&ch->lexer);
      else if (!read_edit (ch))
        return false;
    }
  if (ch->edit_count == 0)
    return cv_lexer_expected (&ch->lexer, "set, add or remove");
  return true;
}

/* ---- the changed configuration ---- */

static void
fail_on_dangling (const cv_dangling_ref_t *d, void *arg)
{
  change_t *ch = arg;
  const edit_t *e;

  if (ch->failed)
    return;
  ch->failed = true;
  e = find_edit (ch, d->referenced, d->name);
  cv_fail_at (ch->err, e->line, e->column, "%s", d->text);
}

static bool
check_config (change_t *ch)
{
  const cv_account_t *duplicate;
  const edit_t *e;

  if (!cv_config_index (ch->config, &duplicate))
    {
      e = find_edit (ch, duplicate->name, NULL);
      return cv_fail_at (ch->err, e->line, e->column,
                         "account \"%s\": another account has the same key",
                         duplicate->name);
    }
  cv_config_find_dangling (ch->config, fail_on_dangling, ch);
  return !ch->failed;
}

bool
cv_change_apply (const cv_config_t *base, cv_slice_t text, cv_buf_t *out,
                 cv_buf_t *diff, cv_error_t *err)
{
  change_t ch = { 0 };
  bool ok;

  ch.err = err;
  ch.config = cv_config_copy (base);
  cv_lexer_init (&ch.lexer, text, err);
  ok = read_edits (&ch) && check_config (&ch);
  if (ok)
    {
      cv_config_write (ch.config, out);
      cv_config_diff (base, ch.config, diff);
    }
  cv_config_unref (ch.config);
  free (ch.edits);
  return ok;
}
