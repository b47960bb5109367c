/* Requests for the migration lease of one engine and who sent them.  The
   engine's observer keeps the book, or a gateway if there is no observer.  */

#ifndef CV_POLICY_LEASE_BOOK_H
#define CV_POLICY_LEASE_BOOK_H

#include <netinet/in.h>

#include "policy/turns.h"
#include "wire/wire.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct
{
  cv_msg_migration_lease_t message;
  struct sockaddr_in gateway;
} cv_lease_request_t;

typedef struct
{
  cv_migration_lease_t lease;
  cv_lease_request_t
      requests[CV_MIGRATION_LEASE_REQUESTS_MAX]; /* by index in
                                                    lease.entries */
} cv_lease_book_t;

void cv_lease_book_init (cv_lease_book_t *b);
/* Handles M of the GATEWAY about RUN, the hash of its run.  Returns the index
   of the request to which the lease is granted now, or CV_MIGRATION_LEASE_NONE.
   A request that is repeated by the holder is granted again, since the grant
   may have been lost.  */
uint32_t cv_lease_book_handle (cv_lease_book_t *b, uint64_t run,
                               const cv_msg_migration_lease_t *m,
                               const struct sockaddr_in *gateway,
                               cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
