/* The most frequent event of an engine's stream, read without a JSON
   library.  */

#ifndef CV_SIDE_TOKEN_EVENT_H
#define CV_SIDE_TOKEN_EVENT_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Read {"i":INDEX,"t":"TEXT"} without spaces or escapes.  False for any
   other text, which may still be valid JSON.  TEXT points into P.  */
bool cv_token_event (const char *p, size_t n, uint32_t *index,
                     cv_slice_t *text);

#ifdef __cplusplus
}
#endif

#endif
