/* The one thread of an entry that speaks with the object API: it polls the
   configuration, and writes changes and claims for other threads.  */

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

/* A write of the configuration.  */
typedef struct
{
  uint64_t version;       /* that holds it; later ones may have followed */
  char nonce[CV_ID_TEXT]; /* in the document's "nonce" or "nonces" */
} cv_change_t;

/* Write JSON as the configuration that follows BASE (NULL: there is none
   yet), and hand it to the link before returning.  CHANGE->nonce is set also
   on failure.  ERR: CONFLICT (the link then has the newer configuration, when
   it could be read), LIMIT (too large), INVALID, UNAVAILABLE or UNKNOWN.  */
bool cv_storejobs_change (cv_storejobs_t *s, cv_config_t *base,
                          const char *json, cv_change_t *change,
                          cv_error_t *err);

/* One of the last configurations of this entry, with a reference, or NULL. */
cv_config_t *cv_storejobs_earlier (cv_storejobs_t *s, uint64_t version);

/* Bind KEY (an object's name) to the ticket *TICKET, or read the ticket that
   it was bound to before into *TICKET.  ERR: UNAVAILABLE or UNKNOWN.  */
bool cv_storejobs_claim (cv_storejobs_t *s, const char *key,
                         cv_ticket_t *ticket, cv_error_t *err);

/* Counts of calls so far.  */
cv_store_counts_t cv_storejobs_counts (cv_storejobs_t *s);

#ifdef __cplusplus
}
#endif

#endif
