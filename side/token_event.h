/* Fast parser for token events, the most frequent events of an engine's stream,
   without a JSON library.  */

#ifndef CV_SIDE_TOKEN_EVENT_H
#define CV_SIDE_TOKEN_EVENT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Parse {"i":INDEX,"t":"TEXT"} with no spaces outside TEXT and no escapes in
   it.  False for anything else, which may still be valid JSON.  TEXT points
   into P.  */
bool cv_token_event_parse (const char *p, size_t n, uint32_t *index,
                           cv_slice_t *text);

#ifdef __cplusplus
}
#endif

#endif
