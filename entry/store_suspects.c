/* Persistence of the suspect content table in the object API.  Every entry
   reads the object once and writes it when it lacks a strike (a crash with the
   content in flight) of the entry's table.  A merge is idempotent, so a lost
   response needs no more than a repeated sync.  */

#include <stdlib.h>
#include <string.h>

#include "entry/store_suspects.h"
#include "policy/policy.h"

static bool write_merged (cv_store_t *store, const cv_object_t *object,
                          const char *text);

bool
cv_store_suspects_due (const cv_store_suspects_t *s, uint64_t version)
{
  return !s->loaded || s->version != version;
}

bool
cv_store_suspects_sync (cv_store_suspects_t *s, cv_store_t *store,
                        const char *text, uint64_t version, char **stored)
{
  cv_object_t object = { 0 };

  *stored = NULL;
  if (!cv_store_get (store, CV_SUSPECTS_KEY, &object, NULL))
    return false;
  if (object.json != NULL)
    *stored = cv_strdup_n (object.json, strlen (object.json));
  s->loaded = true;
  if (text != NULL && !write_merged (store, &object, text))
    {
      cv_object_finish (&object);
      return false;
    }
  cv_object_finish (&object);
  s->version = version;
  return true;
}

static bool
write_merged (cv_store_t *store, const cv_object_t *object, const char *text)
{
  cv_suspects_t *table = cv_suspects_new ();
  uint64_t new_version;
  cv_buf_t before;
  cv_buf_t after;
  bool ok = true;

  cv_buf_init (&before);
  cv_buf_init (&after);
  /* An object whose text cannot be parsed is replaced.  */
  if (object->json != NULL)
    (void)cv_suspects_merge (table, cv_slice (object->json), NULL);
  cv_suspects_dump (table, NULL, NULL, &before);
  (void)cv_suspects_merge (table, cv_slice (text), NULL);
  cv_suspects_dump (table, NULL, NULL, &after);
  if (strcmp (cv_buf_text (&before), cv_buf_text (&after)) != 0)
    ok = cv_store_put (store, CV_SUSPECTS_KEY, object->version,
                       cv_buf_text (&after), &new_version, NULL);
  cv_buf_finish (&before);
  cv_buf_finish (&after);
  cv_suspects_free (table);
  return ok;
}
