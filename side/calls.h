/* Records of calls; used by calls.c and call_records.c.  */

#ifndef CV_SIDE_CALLS_H
#define CV_SIDE_CALLS_H

#include "side/core.h"

#ifdef __cplusplus
extern "C" {
#endif

void cv_call_add_waiter (cv_call_t *call, uint32_t peer, cv_id_t request);
/* Rejects all waiting requests, as not run.  */
void cv_call_reject_all (cv_side_core_t *c, cv_call_t *call,
                         cv_reject_t reason);
/* Sends the result to all waiting requests.  */
void cv_call_answer_all (cv_side_core_t *c, cv_call_t *call);
/* Sends the result to one request; REPLAYED unless it is the first request that
   gets the result.  */
void cv_call_answer (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                     const cv_call_t *call, bool replayed);
/* Sends a result that has an outcome alone, without status or body.  */
void cv_call_answer_outcome (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                             cv_outcome_t outcome);
/* Adds a record.  ID is the nonce of the ticket or, when not TICKETED, the
   request.  */
cv_call_t *cv_call_new (cv_side_core_t *c, cv_id_t id, bool ticketed,
                        uint32_t generation, const char *account);
void cv_call_free (cv_side_core_t *c, cv_call_t *call);
/* Frees the data to be sent to the service.  */
void cv_call_request_free (cv_call_t *call);
void cv_call_store_result (cv_side_core_t *c, cv_call_t *call,
                           const cv_call_end_t *end);
/* Frees the stored body of the result; its status stays.  */
void cv_call_body_free (cv_side_core_t *c, cv_call_t *call);

#ifdef __cplusplus
}
#endif

#endif
