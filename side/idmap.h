/* Hash table of records by 128-bit identifier, with intrusive nodes.  */

#ifndef CV_SIDE_IDMAP_H
#define CV_SIDE_IDMAP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Must be the first member of a record in the table.  */
typedef struct cv_idnode_t
{
  LIST_ENTRY (cv_idnode_t) link;
  cv_id_t id;
} cv_idnode_t;

LIST_HEAD (cv_idlist_t, cv_idnode_t);

typedef struct
{
  struct cv_idlist_t *bucket;
  size_t buckets; /* a power of two */
  size_t count;
} cv_idmap_t;

void cv_idmap_init (cv_idmap_t *m);
void cv_idmap_finish (cv_idmap_t *m);
/* The node with identifier ID, or NULL.  */
cv_idnode_t *cv_idmap_find (const cv_idmap_t *m, cv_id_t id);
/* Adds NODE under ID, which must not be in the table.  */
void cv_idmap_add (cv_idmap_t *m, cv_idnode_t *node, cv_id_t id);
void cv_idmap_remove (cv_idmap_t *m, cv_idnode_t *node);

#ifdef __cplusplus
}
#endif

#endif
