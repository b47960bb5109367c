/* Failure domains that are being evacuated.  */

#include "policy/domains.h"

#include <stdlib.h>
#include <string.h>

#include "policy/store_history.h"

/* A gateway that starts takes requests without the list after this time: a
   store that is down must not stop all service.  Three calls are lost in it, or
   two pages of a reader and the answers to a question to the other gateways. */
#define START_WAIT (2 * CV_SECOND)
/* A gateway that had no contact with the store or a reader for this time before
   a stall does not wait after it: the bound does not cover it.  */
#define CONTACT_MAX (4 * CV_SECOND)

void
cv_domains_init (cv_domains_t *d)
{
  TAILQ_INIT (&d->list);
  d->count = 0;
}

void
cv_domains_finish (cv_domains_t *d)
{
  cv_evacuated_domain_t *e;
  cv_evacuated_domain_t *next;

  for (e = TAILQ_FIRST (&d->list); e != NULL; e = next)
    {
      next = TAILQ_NEXT (e, entry);
      free (e);
    }
  cv_domains_init (d);
}

static cv_evacuated_domain_t *
find (const cv_domains_t *d, const char *name)
{
  cv_evacuated_domain_t *e;

  TAILQ_FOREACH (e, &d->list, entry)
  if (strcmp (e->name, name) == 0)
    return e;
  return NULL;
}

bool
cv_domains_has (const cv_domains_t *d, const char *name)
{
  return find (d, name) != NULL;
}

bool
cv_domains_add (cv_domains_t *d, const char *name)
{
  cv_evacuated_domain_t *e = find (d, name);
  bool begins = e == NULL;

  if (begins)
    {
      e = cv_calloc (1, sizeof *e);
      CV_INVARIANT (cv_copy (e->name, sizeof e->name, name));
      TAILQ_INSERT_TAIL (&d->list, e, entry);
      d->count++;
    }
  e->in_current_list = true;
  e->missing_until = 0;
  return begins;
}

bool
cv_domains_remove (cv_domains_t *d, const char *name)
{
  cv_evacuated_domain_t *e = find (d, name);

  if (e == NULL)
    return false;
  TAILQ_REMOVE (&d->list, e, entry);
  d->count--;
  free (e);
  return true;
}

void
cv_domains_list_begin (cv_domains_t *d)
{
  cv_evacuated_domain_t *e;

  TAILQ_FOREACH (e, &d->list, entry)
  e->in_current_list = false;
}

void
cv_domains_list_end (cv_domains_t *d, bool is_restored, cv_time_t now)
{
  cv_evacuated_domain_t *e;

  TAILQ_FOREACH (e, &d->list, entry)
  if (!e->in_current_list && e->missing_until == 0)
    e->missing_until = is_restored ? now + CV_COPY_DOUBT_PERIOD : now;
}

const cv_evacuated_domain_t *
cv_domains_next_ended (const cv_domains_t *d, cv_time_t now)
{
  const cv_evacuated_domain_t *e;

  TAILQ_FOREACH (e, &d->list, entry)
  if (e->missing_until != 0 && now >= e->missing_until)
    return e;
  return NULL;
}

bool
cv_domains_must_wait (const cv_domains_basis_t *b)
{
  if (!b->is_known)
    return b->asked < START_WAIT;
  return b->is_behind && b->silence < CONTACT_MAX;
}

cv_takeover_t
cv_domains_takeover (cv_final_copy_t copy, bool is_source_evacuated,
                     bool is_destination_evacuated)
{
  /* A source that has failed to make the copy has the run, and otherwise the
     destination; the other end may still have what was copied before.  */
  bool is_source_first = copy == CV_FINAL_COPY_FAILED;

  if (is_source_first && !is_source_evacuated)
    return CV_TAKEOVER_SOURCE;
  if (!is_destination_evacuated)
    return CV_TAKEOVER_DESTINATION;
  if (copy == CV_FINAL_COPY_MADE && !is_source_evacuated)
    return CV_TAKEOVER_SOURCE;
  return CV_TAKEOVER_NONE;
}
