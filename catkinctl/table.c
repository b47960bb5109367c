/* Text tables for a terminal.  */

#include <stdlib.h>
#include <string.h>

#include "catkinctl/ctl.h"

#define COLUMNS_MAX 32
#define GAP "  "

typedef struct cv_table_cell_t
{
  STAILQ_ENTRY (cv_table_cell_t) link;
  size_t column;
  bool last; /* of its row */
  char text[];
} cv_table_cell_t;

struct cv_table_t
{
  STAILQ_HEAD (cv_table_cells_t, cv_table_cell_t) cells;
  cv_table_cell_t *newest;
  size_t column;
  size_t width[COLUMNS_MAX];
};

cv_table_t *
cv_table_new (void)
{
  cv_table_t *t = cv_calloc (1, sizeof *t);

  STAILQ_INIT (&t->cells);
  return t;
}

void
cv_table_free (cv_table_t *t)
{
  cv_table_cell_t *c;

  while ((c = STAILQ_FIRST (&t->cells)) != NULL)
    {
      STAILQ_REMOVE_HEAD (&t->cells, link);
      free (c);
    }
  free (t);
}

void
cv_table_add_cell (cv_table_t *t, const char *text)
{
  size_t n = strlen (text);
  cv_table_cell_t *c;

  if (t->column >= COLUMNS_MAX)
    return;
  c = cv_calloc (1, sizeof *c + n + 1);
  memcpy (c->text, text, n);
  c->column = t->column;
  if (n > t->width[t->column])
    t->width[t->column] = n;
  t->column++;
  t->newest = c;
  STAILQ_INSERT_TAIL (&t->cells, c, link);
}

void
cv_table_end_row (cv_table_t *t)
{
  if (t->column > 0)
    t->newest->last = true;
  t->column = 0;
}

void
cv_table_print (const cv_table_t *t, FILE *out)
{
  const cv_table_cell_t *c;

  for (c = STAILQ_FIRST (&t->cells); c != NULL; c = STAILQ_NEXT (c, link))
    {
      if (c->last)
        fprintf (out, "%s\n", c->text);
      else
        fprintf (out, "%-*s" GAP, (int)t->width[c->column], c->text);
    }
}
