/* Differences between versions of the configuration document, as JSON merge
   patches (RFC 7396), so that a change costs each process the bytes of the
   change and not those of the document.  */

#ifndef CV_CONFIG_PATCH_H
#define CV_CONFIG_PATCH_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Patches that a process keeps for peers that are behind.  */
#define CV_HISTORY_PATCHES 32

/* Write to PATCH what turns the document FROM into TO.  False when either is
   no JSON object, or TO holds a null, which a merge patch cannot say.  */
bool cv_patch_make (cv_slice_t from, cv_slice_t to, cv_buf_t *patch,
                    cv_error_t *err);
/* Write to OUT the document BASE changed by PATCH.  */
bool cv_patch_apply (cv_slice_t base, cv_slice_t patch, cv_buf_t *out,
                     cv_error_t *err);

/* Write to OUT what BODY makes of the document OWN of version HAVE: BODY is
   the whole document when BASE is 0, else a patch from version BASE.  ERR is
   CONFLICT when BASE is another version than HAVE.  */
bool cv_patch_follow (uint64_t have, cv_slice_t own, uint64_t base,
                      cv_slice_t body, cv_buf_t *out, cv_error_t *err);

/* One step from an older version to a newer one.  */
typedef struct
{
  uint64_t from;
  uint64_t to;
  char *text; /* owned */
  size_t size;
} cv_patch_t;

/* The latest steps, in a ring.  */
typedef struct
{
  cv_patch_t patch[CV_HISTORY_PATCHES];
  size_t next;
} cv_history_t;

void cv_history_init (cv_history_t *h);
void cv_history_finish (cv_history_t *h);
/* Keep a copy of TEXT as the step between FROM and TO.  */
void cv_history_add (cv_history_t *h, uint64_t from, uint64_t to,
                     cv_slice_t text);
/* Keep the step between the documents OLD_TEXT of version FROM and NEW_TEXT
   of version TO, unless the kept ones lead there already.  */
void cv_history_compare (cv_history_t *h, uint64_t from, cv_slice_t old_text,
                         uint64_t to, cv_slice_t new_text);
/* The step that starts at version FROM and leads furthest, or NULL.  */
const cv_patch_t *cv_history_find (const cv_history_t *h, uint64_t from);
/* Do the kept steps lead from version FROM to version TO?  */
bool cv_history_leads (const cv_history_t *h, uint64_t from, uint64_t to);

#ifdef __cplusplus
}
#endif

#endif
