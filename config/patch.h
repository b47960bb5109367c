/* JSON merge patches (RFC 7396) between versions of the configuration
   document, so that a process receives the bytes of a change instead of the
   whole document.  */

#ifndef CV_CONFIG_PATCH_H
#define CV_CONFIG_PATCH_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Number of patches that a process keeps for peers with an older version.  */
#define CV_HISTORY_PATCHES 32

/* Append to PATCH the merge patch from document FROM to document TO.  Fails
   with INVALID when either is not a JSON object or contains NaN or Infinity,
   or when TO has a null member, which a merge patch cannot express; a null in
   an array is allowed.  */
bool cv_patch_make (cv_slice_t from, cv_slice_t to, cv_buf_t *patch,
                    cv_error_t *err);
/* Append to OUT the result of applying PATCH to the document BASE.  Fails with
   INVALID when either is not a JSON object or contains NaN or Infinity.  */
bool cv_patch_apply (cv_slice_t base, cv_slice_t patch, cv_buf_t *out,
                     cv_error_t *err);

/* Apply a received update to the document CURRENT of version CURRENT_VERSION
   and append the new document to OUT.  BODY is a whole document when BASE is
   0, else a patch against version BASE; ERR is CONFLICT when BASE differs from
   CURRENT_VERSION.  */
bool cv_patch_apply_update (uint64_t current_version, cv_slice_t current,
                            uint64_t base, cv_slice_t body, cv_buf_t *out,
                            cv_error_t *err);

/* The patch from version FROM to the newer version TO.  */
typedef struct
{
  uint64_t from;
  uint64_t to;
  char *text; /* JSON, owned */
  size_t size;
} cv_patch_t;

/* Ring buffer of the latest patches.  */
typedef struct
{
  cv_patch_t patch[CV_HISTORY_PATCHES];
  size_t next; /* index that the next patch is stored at */
} cv_history_t;

void cv_history_init (cv_history_t *h);
void cv_history_finish (cv_history_t *h);
/* Store a copy of TEXT as the patch from version FROM to version TO, in place
   of the oldest one when the history is full.  */
void cv_history_add (cv_history_t *h, uint64_t from, uint64_t to,
                     cv_slice_t text);
/* Compute and store the patch from the document OLD_TEXT of version FROM to
   NEW_TEXT of version TO, unless stored patches already connect the two
   versions.  Stores nothing when no patch can express the difference.  */
void cv_history_make_patch (cv_history_t *h, uint64_t from, cv_slice_t old_text,
                            uint64_t to, cv_slice_t new_text);
/* The stored patch from version FROM with the highest TO, or NULL.  */
const cv_patch_t *cv_history_find (const cv_history_t *h, uint64_t from);
/* Whether a chain of stored patches connects version FROM to version TO.  */
bool cv_history_connects (const cv_history_t *h, uint64_t from, uint64_t to);

#ifdef __cplusplus
}
#endif

#endif
