/* Client of the platform's store, for all that a process reads there and writes
   to it.  It follows the store's histories: an answer that belongs to another
   one than the current is marked, since its revisions and names are not
   positions in the current one.  */

#ifndef CV_REPLICA_CALL_H
#define CV_REPLICA_CALL_H

#include "http/call.h"
#include "platform/platform.h"
#include "policy/store_history.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Receives the result.  IS_OUTDATED: the store answered, but not in the current
   history; the reader starts over.  May start the next call.  */
typedef void cv_replica_handler_t (void *owner, const cv_http_result_t *r,
                                   bool is_outdated);

/* At most one call to the store is in progress.  */
typedef struct
{
  cv_http_call_t http;
  cv_store_history_t *history; /* shared by all calls of the process */
  cv_call_basis_t basis;       /* of the call in progress */
  bool has_malformed_era;      /* one was logged */
  cv_replica_handler_t *handler;
  void *owner;
} cv_replica_call_t;

/* A call as it is started.  */
typedef struct
{
  const char *method;
  const char *path;
  cv_slice_t body;
  cv_time_t timeout;          /* until the answer, or its first byte */
  cv_time_t progress_timeout; /* between bytes of the answer; 0: TIMEOUT is for
                                 all of it */
  bool continues;             /* goes on from a revision or a name in a list */
  bool may_be_stale;          /* the answer may be seconds old */
} cv_replica_request_t;

void cv_replica_call_init (cv_replica_call_t *c, struct event_base *base,
                           const struct sockaddr_in *store,
                           cv_store_history_t *history,
                           cv_replica_handler_t *handler, void *owner);
/* Cancels a call in progress without calling its handler, and frees the
   resources.  */
void cv_replica_call_finish (cv_replica_call_t *c);
/* Starts a call; no other one may be in progress.  */
void cv_replica_call_start (cv_replica_call_t *c,
                            const cv_replica_request_t *request);
/* Cancels a call in progress without calling its handler.  */
void cv_replica_call_cancel (cv_replica_call_t *c);
/* Fails a call that has reached its deadline.  */
void cv_replica_call_tick (cv_replica_call_t *c, cv_time_t now);

#ifdef __cplusplus
}
#endif

#endif
