/* Requests for the migration lease of one engine.  */

#include "policy/lease_book.h"

void
cv_lease_book_init (cv_lease_book_t *b)
{
  cv_migration_lease_init (&b->lease);
}

static uint32_t
handle_request (cv_lease_book_t *b, uint64_t run,
                const cv_msg_migration_lease_t *m,
                const struct sockaddr_in *gateway, cv_time_t now)
{
  uint32_t index = cv_migration_lease_request (&b->lease, now, run, m->tokens);

  if (index == CV_MIGRATION_LEASE_NONE)
    return index;
  b->requests[index] = (cv_lease_request_t){ *m, *gateway };
  return cv_migration_lease_grant (&b->lease, now) == index
             ? index
             : CV_MIGRATION_LEASE_NONE;
}

uint32_t
cv_lease_book_handle (cv_lease_book_t *b, uint64_t run,
                      const cv_msg_migration_lease_t *m,
                      const struct sockaddr_in *gateway, cv_time_t now)
{
  uint32_t holder = b->lease.holder;
  uint32_t granted;

  switch (m->step)
    {
    case CV_LEASE_REQUESTED:
      return handle_request (b, run, m, gateway, now);
    case CV_LEASE_RELEASED:
      cv_migration_lease_release (&b->lease, run);
      granted = cv_migration_lease_grant (&b->lease, now);
      return granted == holder ? CV_MIGRATION_LEASE_NONE : granted;
    case CV_LEASE_GRANTED:
    case CV_LEASE_WAITS:
      break; /* who grants leases sends these and never receives them */
    }
  return CV_MIGRATION_LEASE_NONE;
}
