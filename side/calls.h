/* Records of calls, shared by calls.c and call_records.c.  */

#ifndef CV_SIDE_CALLS_H
#define CV_SIDE_CALLS_H

#include "side/core.h"

#ifdef __cplusplus
extern "C" {
#endif

/* REQUEST of PEER waits for the result.  */
void cv_call_wait (cv_call_t *call, uint32_t peer, cv_id_t request);
/* Tell all who wait that nothing was run by their messages.  */
void cv_call_reject (cv_side_core_t *c, cv_call_t *call, cv_reject_t reason);
/* Give all who wait the result.  */
void cv_call_answer_all (cv_side_core_t *c, cv_call_t *call);
/* Give one request the result; REPLAYED when it is not the first.  */
void cv_call_answer (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                     const cv_call_t *call, bool replayed);
/* Answer a request for which there is no result.  */
void cv_call_answer_plain (cv_side_core_t *c, uint32_t peer, cv_id_t request,
                           cv_outcome_t outcome);
/* Add a record for the ticket (or, when not TICKETED, the request) ID.  */
cv_call_t *cv_call_new (cv_side_core_t *c, cv_id_t id, bool ticketed,
                        uint32_t generation, const char *account);
void cv_call_free (cv_side_core_t *c, cv_call_t *call);
/* Drop what was to be sent to the service.  */
void cv_call_request_free (cv_call_t *call);
/* Keep the result END.  */
void cv_call_store (cv_side_core_t *c, cv_call_t *call,
                    const cv_call_end_t *end);
/* Drop the stored answer of CALL; its status stays.  */
void cv_call_body_free (cv_side_core_t *c, cv_call_t *call);

#ifdef __cplusplus
}
#endif

#endif
