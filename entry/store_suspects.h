/* The object that keeps the suspects while no process of the system runs.  */

#ifndef CV_ENTRY_STORE_SUSPECTS_H
#define CV_ENTRY_STORE_SUSPECTS_H

#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Object that holds the document of suspects.  */
#define CV_SUSPECTS_KEY "suspects/current"

/* What this entry knows of the object.  */
typedef struct
{
  bool read;        /* once since the start */
  uint64_t version; /* of the entry's document, when it was written */
} cv_store_suspects_t;

/* Does the object have to be read or written?  VERSION is that of the
   entry's document, 0 when it has none.  */
bool cv_store_suspects_due (const cv_store_suspects_t *s, uint64_t version);

/* Write the union of the object and TEXT (NULL: none), the entry's document
   of VERSION, unless the object has it all.  *STORED is set to what was read
   (NULL: nothing), to be merged and freed by the caller.  False when the
   object API failed or another entry wrote meanwhile: do it again later.  */
bool cv_store_suspects_sync (cv_store_suspects_t *s, cv_store_t *store,
                             const char *text, uint64_t version, char **stored);

#ifdef __cplusplus
}
#endif

#endif
