/* The thread of an entry that makes all calls to the object API.  It polls the
   configuration, and writes configuration changes and claims for other
   threads.  */

#ifndef CV_ENTRY_STOREJOBS_H
#define CV_ENTRY_STOREJOBS_H

#include "entry/link.h"
#include "store/store.h"

/* Object that holds the configuration.  */
#define CV_CONFIG_KEY "config/current"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_storejobs_t cv_storejobs_t;

cv_storejobs_t *cv_storejobs_new (const cv_entry_settings_t *s,
                                  cv_entry_link_t *link, cv_error_t *err);
void cv_storejobs_free (cv_storejobs_t *s);
/* Fails the jobs that wait and all later ones, without waiting for the object
   API.  */
void cv_storejobs_end (cv_storejobs_t *s);

/* Result of a configuration change.  */
typedef struct
{
  uint64_t version;       /* that contains the change; may be overwritten */
  char nonce[CV_ID_TEXT]; /* in the document's "nonce" or "nonces" */
} cv_change_t;

/* Writes JSON as the configuration that follows BASE (NULL: there is none
   yet) and passes the configuration to the link before it returns.
   CHANGE->nonce is set also on failure.  ERR: CONFLICT (the link then has the
   newer configuration if it could be read), LIMIT (too large), INVALID,
   UNAVAILABLE or UNKNOWN.  */
bool cv_storejobs_change (cv_storejobs_t *s, cv_config_t *base,
                          const char *json, cv_change_t *change,
                          cv_error_t *err);

/* Binds KEY (an object key) to the ticket *TICKET, or stores in *TICKET the
   ticket to which KEY is already bound.  ERR: UNAVAILABLE or UNKNOWN.  */
bool cv_storejobs_claim (cv_storejobs_t *s, const char *key,
                         cv_ticket_t *ticket, cv_error_t *err);

/* Counts of calls to the object API since the start.  */
cv_store_counts_t cv_storejobs_counts (cv_storejobs_t *s);

#ifdef __cplusplus
}
#endif

#endif
