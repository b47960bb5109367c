/* Migration lease of one engine: permission for one migration off it at a time.
   Runs get it in turn, the smallest first.
   Load pattern: many gateways have runs on an engine that stops within a second
   or two or is short of memory; two concurrent copies over its network link
   delay both, and lengthen the pause of each run.  */

#ifndef CV_POLICY_TURNS_H
#define CV_POLICY_TURNS_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Most runs that may wait for the lease; an engine's batch is smaller.  */
#define CV_MIGRATION_LEASE_REQUESTS_MAX 128
#define CV_MIGRATION_LEASE_NONE UINT32_MAX

typedef struct
{
  uint64_t run;           /* hash of its name, 0: a free entry */
  uint64_t tokens;        /* KV cache to copy */
  cv_time_t requested_at; /* time of the last request */
} cv_migration_lease_entry_t;

typedef struct
{
  cv_migration_lease_entry_t entries[CV_MIGRATION_LEASE_REQUESTS_MAX];
  uint32_t holder; /* index in entries, or CV_MIGRATION_LEASE_NONE */
  cv_time_t since; /* when the holder got the lease */
} cv_migration_lease_t;

void cv_migration_lease_init (cv_migration_lease_t *t);
/* Requests the lease for RUN, or renews its request.  Returns the index of its
   entry, or CV_MIGRATION_LEASE_NONE when the table is full.  */
uint32_t cv_migration_lease_request (cv_migration_lease_t *t, cv_time_t now,
                                     uint64_t run, uint64_t tokens);
/* Releases the lease of RUN, or withdraws its request.  */
void cv_migration_lease_release (cv_migration_lease_t *t, uint64_t run);
/* Grants the lease to the next run if it is free or has expired.  Returns the
   index of the holder's entry, or CV_MIGRATION_LEASE_NONE.  */
uint32_t cv_migration_lease_grant (cv_migration_lease_t *t, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
