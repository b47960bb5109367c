/* Persistence of the suspect content table in the object API.  The object
   preserves the table while no process of the system runs.  */

#ifndef CV_ENTRY_STORE_SUSPECTS_H
#define CV_ENTRY_STORE_SUSPECTS_H

#include "store/store.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Object that holds the suspects document.  */
#define CV_SUSPECTS_KEY "suspects/current"

/* Synchronisation state of this entry with the object.  */
typedef struct
{
  bool loaded;      /* the object was read once since the start */
  uint64_t version; /* of the entry's document at the last sync */
} cv_store_suspects_t;

/* Whether the object has to be read or written.  VERSION is that of the
   entry's document, 0 when the entry has none.  */
bool cv_store_suspects_due (const cv_store_suspects_t *s, uint64_t version);

/* Writes the union of the object and TEXT, the entry's document of VERSION
   (NULL: none), unless the object already contains all of it.  *STORED is set
   to the text that was read (NULL: no object); the calling function merges and
   frees it.  False when the object API failed or another entry wrote
   concurrently; the sync is then repeated later.  */
bool cv_store_suspects_sync (cv_store_suspects_t *s, cv_store_t *store,
                             const char *text, uint64_t version, char **stored);

#ifdef __cplusplus
}
#endif

#endif
