/* Hash table of records by 128-bit identifier.  */

#include <stdlib.h>

#include "side/idmap.h"

#define IDMAP_INITIAL_BUCKETS 64

static struct cv_idlist_t *bucket_of (const cv_idmap_t *m, cv_id_t id);
static void grow (cv_idmap_t *m);

void
cv_idmap_init (cv_idmap_t *m)
{
  m->buckets = IDMAP_INITIAL_BUCKETS;
  m->bucket = cv_calloc (m->buckets, sizeof *m->bucket);
  m->count = 0;
}

void
cv_idmap_finish (cv_idmap_t *m)
{
  free (m->bucket);
  m->bucket = NULL;
  m->buckets = 0;
  m->count = 0;
}

cv_idnode_t *
cv_idmap_find (const cv_idmap_t *m, cv_id_t id)
{
  cv_idnode_t *node;

  LIST_FOREACH (node, bucket_of (m, id), link)
  if (cv_id_equal (node->id, id))
    return node;
  return NULL;
}

void
cv_idmap_add (cv_idmap_t *m, cv_idnode_t *node, cv_id_t id)
{
  if (m->count >= m->buckets)
    grow (m);
  node->id = id;
  LIST_INSERT_HEAD (bucket_of (m, id), node, link);
  m->count++;
}

void
cv_idmap_remove (cv_idmap_t *m, cv_idnode_t *node)
{
  CV_INVARIANT (m->count > 0);
  LIST_REMOVE (node, link);
  m->count--;
}

static struct cv_idlist_t *
bucket_of (const cv_idmap_t *m, cv_id_t id)
{
  uint64_t h = cv_hash (&id, sizeof id, 0);

  return &m->bucket[h & (m->buckets - 1)];
}

static void
grow (cv_idmap_t *m)
{
  struct cv_idlist_t *old = m->bucket;
  size_t buckets = m->buckets;
  size_t i;

  m->buckets = buckets * 2;
  m->bucket = cv_calloc (m->buckets, sizeof *m->bucket);
  for (i = 0; i < buckets; i++)
    {
      cv_idnode_t *node;

      while ((node = LIST_FIRST (&old[i])) != NULL)
        {
          LIST_REMOVE (node, link);
          LIST_INSERT_HEAD (bucket_of (m, node->id), node, link);
        }
    }
  free (old);
}
