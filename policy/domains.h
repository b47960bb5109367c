/* Failure domains that are being evacuated.  Load pattern: an operator takes a
   whole domain out of use, and no request may reach it some seconds later,
   whichever of hundreds of gateways has it.  Gateways start, stand still, lose
   the store, and follow a store that returns from an older copy.  */

#ifndef CV_POLICY_DOMAINS_H
#define CV_POLICY_DOMAINS_H

#include <sys/queue.h>

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct cv_evacuated_domain_t
{
  TAILQ_ENTRY (cv_evacuated_domain_t) entry;
  char name[CV_NAME_MAX];
  bool in_current_list; /* occurs in the list being read */
  /* The last list lacks it: it is evacuated until then; 0: it is listed.  */
  cv_time_t missing_until;
  bool is_checked; /* whether targets are in it is known */
} cv_evacuated_domain_t;

TAILQ_HEAD (cv_evacuated_domains_t, cv_evacuated_domain_t);

/* The domains that are evacuated now.  */
typedef struct
{
  struct cv_evacuated_domains_t list;
  uint32_t count;
} cv_domains_t;

void cv_domains_init (cv_domains_t *d);
void cv_domains_finish (cv_domains_t *d);
bool cv_domains_has (const cv_domains_t *d, const char *name);
/* NAME, shorter than CV_NAME_MAX, is listed.  Returns whether its evacuation
   begins.  */
bool cv_domains_add (cv_domains_t *d, const char *name);
/* NAME was removed from the store.  Returns whether its evacuation ends.  */
bool cv_domains_remove (cv_domains_t *d, const char *name);
/* Begin and end of a whole list.  IS_RESTORED: the store was restored lately,
   so that the list may lack a domain which the operator writes again.  */
void cv_domains_list_begin (cv_domains_t *d);
void cv_domains_list_end (cv_domains_t *d, bool is_restored, cv_time_t now);
/* A domain whose evacuation ends, as the list lacks it; or NULL.  */
const cv_evacuated_domain_t *cv_domains_next_ended (const cv_domains_t *d,
                                                    cv_time_t now);

/* What a gateway knows of the list.  */
typedef struct
{
  bool is_known;     /* a whole list was read or heard of since the start */
  cv_time_t asked;   /* !IS_KNOWN: since it was first asked for */
  bool is_behind;    /* the process stood still and has heard nothing since */
  cv_time_t silence; /* IS_BEHIND: from the last confirmation to the stall */
} cv_domains_basis_t;

/* Whether requests wait for the list to be read.  */
bool cv_domains_must_wait (const cv_domains_basis_t *b);

/* Answer to the order that a migration's source stops the run and copies the
   rest.  */
typedef enum
{
  CV_FINAL_COPY_MADE = 1,
  CV_FINAL_COPY_FAILED, /* the source keeps the run, stopped */
  CV_FINAL_COPY_UNKNOWN /* the source is lost; there is an earlier copy */
} cv_final_copy_t;

typedef enum
{
  CV_TAKEOVER_DESTINATION = 1,
  CV_TAKEOVER_SOURCE,
  CV_TAKEOVER_NONE
} cv_takeover_t;

/* Which end of a migration goes on with the run that was stopped.  */
cv_takeover_t cv_domains_takeover (cv_final_copy_t copy,
                                   bool is_source_evacuated,
                                   bool is_destination_evacuated);

#ifdef __cplusplus
}
#endif

#endif
