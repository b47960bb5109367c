/* Thread that polls the platform's instance list and passes it to the link.  */

#ifndef CV_ENTRY_INSTANCES_H
#define CV_ENTRY_INSTANCES_H

#include "entry/link.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_instances_t cv_instances_t;

/* Starts a thread that polls the list until cv_instances_free.  */
cv_instances_t *cv_instances_new (const cv_entry_settings_t *s,
                                  cv_entry_link_t *link, cv_error_t *err);
void cv_instances_free (cv_instances_t *i);

/* Parses the instance list.  LIST gets the COUNT targets and is freed by the
   calling function; ENTRIES gets the number of entries, REV the revision of the
   list in decimal, which the next poll sends as If-None-Match.  */
bool cv_instances_parse (cv_slice_t json, cv_instance_t **list, size_t *count,
                         uint32_t *entries, char rev[32], cv_error_t *err);

#ifdef __cplusplus
}
#endif

#endif
