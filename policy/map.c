/* Hash table with open addressing and linear probing.  */

#include <stdlib.h>

#include "policy/map.h"

#define MAP_INITIAL_CELLS 64

static size_t map_find (const cv_map_t *m, uint64_t key);
static void map_grow (cv_map_t *m);

void
cv_map_init (cv_map_t *m)
{
  m->cells = cv_calloc (MAP_INITIAL_CELLS, sizeof *m->cells);
  m->mask = MAP_INITIAL_CELLS - 1;
  m->count = 0;
}

void
cv_map_finish (cv_map_t *m)
{
  free (m->cells);
  m->cells = NULL;
}

uint64_t
cv_mix (uint64_t x)
{
  x ^= x >> 33;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33;
  return x;
}

/* Returns the index of the cell that holds KEY, or of the free cell where it
   would be put.  */
static size_t
map_find (const cv_map_t *m, uint64_t key)
{
  size_t i = cv_mix (key) & m->mask;

  while (m->cells[i].used && m->cells[i].key != key)
    i = (i + 1) & m->mask;
  return i;
}

uint32_t
cv_map_get (const cv_map_t *m, uint64_t key)
{
  const cv_map_cell_t *cell = &m->cells[map_find (m, key)];

  return cell->used ? cell->value : CV_MAP_NONE;
}

static void
map_grow (cv_map_t *m)
{
  cv_map_cell_t *old = m->cells;
  size_t old_cells = m->mask + 1;

  m->cells = cv_calloc (old_cells * 2, sizeof *m->cells);
  m->mask = old_cells * 2 - 1;
  for (size_t i = 0; i < old_cells; i++)
    if (old[i].used)
      m->cells[map_find (m, old[i].key)] = old[i];
  free (old);
}

void
cv_map_put (cv_map_t *m, uint64_t key, uint32_t value)
{
  cv_map_cell_t *cell;

  if ((m->count + 1) * 4 > (m->mask + 1) * 3)
    map_grow (m);
  cell = &m->cells[map_find (m, key)];
  if (!cell->used)
    m->count++;
  cell->key = key;
  cell->value = value;
  cell->used = true;
}

void
cv_map_remove (cv_map_t *m, uint64_t key)
{
  size_t hole = map_find (m, key);
  size_t i;

  if (!m->cells[hole].used)
    return;
  m->cells[hole].used = false;
  m->count--;
  /* Move back the cells whose probe sequence passes the hole.  */
  for (i = (hole + 1) & m->mask; m->cells[i].used; i = (i + 1) & m->mask)
    {
      size_t home = cv_mix (m->cells[i].key) & m->mask;

      if (((i - home) & m->mask) < ((i - hole) & m->mask))
        continue;
      m->cells[hole] = m->cells[i];
      m->cells[i].used = false;
      hole = i;
    }
}
