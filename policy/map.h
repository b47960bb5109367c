/* Hash table from 64-bit keys to 32-bit values with open addressing.  Keys are
   mixed here; lookups do not allocate.  */

#ifndef CV_POLICY_MAP_H
#define CV_POLICY_MAP_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_MAP_NONE UINT32_MAX

typedef struct
{
  uint64_t key;
  uint32_t value;
  bool used;
} cv_map_cell_t;

typedef struct
{
  cv_map_cell_t *cells;
  size_t mask; /* number of cells - 1; the number is a power of two */
  size_t count;
} cv_map_t;

void cv_map_init (cv_map_t *m);
void cv_map_finish (cv_map_t *m);
/* Returns the value of KEY, or CV_MAP_NONE.  */
uint32_t cv_map_get (const cv_map_t *m, uint64_t key);
void cv_map_put (cv_map_t *m, uint64_t key, uint32_t value);
void cv_map_remove (cv_map_t *m, uint64_t key);

/* Returns a hash of X that depends on all of its bits.  */
uint64_t cv_mix (uint64_t x);

#ifdef __cplusplus
}
#endif

#endif
