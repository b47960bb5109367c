/* Parses and evaluates queries of the operators' language:
   show TABLE where ... and ...  */

#include <stdlib.h>
#include <string.h>

#include "config/kinds.h"
#include "config/lexer.h"

#define CONDITIONS_MAX 16
#define NAME_COLUMN "name"

typedef enum
{
  OP_EQUAL,
  OP_NOT_EQUAL,
  OP_LESS,
  OP_LESS_EQUAL,
  OP_GREATER,
  OP_GREATER_EQUAL
} operator_t;

typedef struct
{
  char column[CV_NAME_MAX];
  operator_t op;
  char value[CV_WORD_MAX];
} condition_t;

struct cv_query_t
{
  const char *table;
  const cv_object_kind_t
      *kind; /* NULL for a table that is not an object kind */
  condition_t condition[CONDITIONS_MAX];
  size_t count;
};

/* Tables of run-time state, whose rows the caller supplies.  */
static const char *const live_tables[] = { "targets", "entries" };
static const char *const live_table_singulars[] = { "target", "entry" };
static const char system_table[] = "system";

static bool
find_table (cv_query_t *q, const char *word)
{
  size_t i;

  q->kind = cv_kind_find (word);
  if (q->kind != NULL)
    {
      q->table = q->kind->plural;
      return true;
    }
  for (i = 0; i < sizeof live_tables / sizeof *live_tables; i++)
    if (strcmp (word, live_tables[i]) == 0
        || strcmp (word, live_table_singulars[i]) == 0)
      {
        q->table = live_tables[i];
        return true;
      }
  if (strcmp (word, system_table) != 0)
    return false;
  q->table = system_table;
  return true;
}

static bool
parse_operator (const char *text, operator_t *op)
{
  static const char *const names[] = { "=", "!=", "<", "<=", ">", ">=" };
  int i;

  for (i = 0; i <= OP_GREATER_EQUAL; i++)
    if (strcmp (text, names[i]) == 0)
      {
        *op = (operator_t)i;
        return true;
      }
  return false;
}

/* For an object kind the column must be one of its fields, and not a key
   hash.  The columns of other tables are not checked.  */
static bool
is_column_known (const cv_query_t *q, const char *column)
{
  const cv_field_t *f;

  if (q->kind == NULL || strcmp (column, NAME_COLUMN) == 0)
    return true;
  f = cv_kind_find_field (q->kind->fields, column);
  return f != NULL && f->kind != CV_FIELD_HASH;
}

static bool
read_condition (cv_query_t *q, cv_lexer_t *l, cv_error_t *err)
{
  condition_t *c = &q->condition[q->count];

  if (q->count == CONDITIONS_MAX)
    return cv_fail_at (err, l->word.line, l->word.column,
                       "expected at most %d conditions", CONDITIONS_MAX);
  if (l->word.kind != CV_WORD_PLAIN || !is_column_known (q, l->word.text)
      || !cv_copy (c->column, sizeof c->column, l->word.text))
    return cv_lexer_expected (l, "the name of a column");
  if (cv_lexer_next (l) != CV_WORD_OPERATOR
      || !parse_operator (l->word.text, &c->op))
    return cv_lexer_expected (l, "one of = != < <= > >=");
  (void)cv_lexer_next (l);
  if ((l->word.kind != CV_WORD_PLAIN && l->word.kind != CV_WORD_QUOTED)
      || !cv_copy (c->value, sizeof c->value, l->word.text))
    return cv_lexer_expected (l, "a value");
  q->count++;
  (void)cv_lexer_next (l);
  return true;
}

/* A query may span lines, so separators are skipped.  */
static void
skip_separators (cv_lexer_t *l)
{
  while (l->word.kind == CV_WORD_SEPARATOR)
    (void)cv_lexer_next (l);
}

static bool
read_query (cv_query_t *q, cv_lexer_t *l, cv_error_t *err)
{
  skip_separators (l);
  if (!cv_lexer_is_word (l, "show"))
    return cv_lexer_expected (l, "show");
  (void)cv_lexer_next (l);
  if (l->word.kind != CV_WORD_PLAIN || !find_table (q, l->word.text))
    return cv_lexer_expected (
        l, "targets, entries, accounts, classes, models, pools or system");
  (void)cv_lexer_next (l);
  if (cv_lexer_is_word (l, "where"))
    {
      do
        {
          (void)cv_lexer_next (l);
          if (!read_condition (q, l, err))
            return false;
        }
      while (cv_lexer_is_word (l, "and"));
    }
  skip_separators (l);
  if (l->word.kind != CV_WORD_END)
    return cv_lexer_expected (l, q->count > 0 ? "and, or the end of the query"
                                              : "where, or the end of the "
                                                "query");
  return true;
}

cv_query_t *
cv_query_parse (cv_slice_t text, cv_error_t *err)
{
  cv_query_t *q = cv_calloc (1, sizeof *q);
  cv_lexer_t l;

  cv_lexer_init (&l, text, err);
  if (read_query (q, &l, err))
    return q;
  free (q);
  return NULL;
}

void
cv_query_free (cv_query_t *q)
{
  free (q);
}

const char *
cv_query_table (const cv_query_t *q)
{
  return q->table;
}

/* ---- matching ---- */

/* Compares two numbers as numbers and anything else as text.  */
static int
compare_values (const char *a, const char *b)
{
  char *a_end;
  char *b_end;
  double x = strtod (a, &a_end);
  double y = strtod (b, &b_end);

  if (a_end != a && *a_end == '\0' && b_end != b && *b_end == '\0')
    return (x > y) - (x < y);
  return strcmp (a, b);
}

static bool
is_condition_met (const condition_t *c, const char *value)
{
  int order = compare_values (value, c->value);

  switch (c->op)
    {
    case OP_EQUAL:
      return order == 0;
    case OP_NOT_EQUAL:
      return order != 0;
    case OP_LESS:
      return order < 0;
    case OP_LESS_EQUAL:
      return order <= 0;
    case OP_GREATER:
      return order > 0;
    case OP_GREATER_EQUAL:
      return order >= 0;
    }
  return false;
}

static const char *
row_value (const cv_row_t *row, const char *column)
{
  size_t i;

  for (i = 0; i < row->count; i++)
    if (strcmp (row->cell[i].column, column) == 0)
      return row->cell[i].value;
  return NULL;
}

bool
cv_query_match (const cv_query_t *q, const cv_row_t *row)
{
  const char *value;
  size_t i;

  for (i = 0; i < q->count; i++)
    {
      value = row_value (row, q->condition[i].column);
      if (value == NULL || !is_condition_met (&q->condition[i], value))
        return false;
    }
  return true;
}

/* ---- rows of declared objects ---- */

static void
add_cells (cv_row_t *row, const cv_field_t *f, const char *item)
{
  cv_cell_t *cell;

  for (; f->key != NULL && row->count < CV_ROW_CELLS; f++)
    {
      if (f->kind == CV_FIELD_HASH)
        continue; /* key hashes are not shown */
      cell = &row->cell[row->count++];
      cell->column = f->key;
      cv_field_format (f, item, cell->value, sizeof cell->value);
    }
}

void
cv_query_select (const cv_query_t *q, const cv_config_t *c,
                 void (*fn) (const cv_row_t *row, void *arg), void *arg)
{
  const char *item;
  cv_row_t row;
  size_t n;

  if (q->kind == NULL)
    {
      if (q->table != system_table || c == NULL)
        return;
      row.count = 0;
      add_cells (&row, cv_system_fields, (const char *)c);
      if (cv_query_match (q, &row))
        fn (&row, arg);
      return;
    }
  item = cv_kind_items (q->kind, c);
  for (n = cv_kind_count (q->kind, c); n > 0; n--, item += q->kind->item_size)
    {
      row.count = 1;
      row.cell[0].column = NAME_COLUMN;
      (void)cv_copy (row.cell[0].value, CV_NAME_MAX, item);
      add_cells (&row, q->kind->fields, item);
      if (cv_query_match (q, &row))
        fn (&row, arg);
    }
}
