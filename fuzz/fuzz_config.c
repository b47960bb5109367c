/* Fuzzes configuration documents and merge patches.  The input is a document,
   a null byte and a merge patch.  */

#include <string.h>

#include "config/config.h"
#include "config/patch.h"
#include "fuzz/fuzz.h"

static void check_patch (cv_slice_t base, cv_slice_t changed);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  const char *text = (const char *)data;
  const char *end = n == 0 ? NULL : memchr (text, '\0', n);
  cv_slice_t base = { text, end == NULL ? n : (size_t)(end - text) };
  cv_slice_t patch
      = { end == NULL ? "" : end + 1, end == NULL ? 0 : n - base.n - 1 };
  cv_config_t *config = cv_config_parse (1, base, NULL);
  cv_buf_t out;

  cv_buf_init (&out);
  CV_INVARIANT ((config != NULL) == cv_config_check ("input", base, NULL));
  if (cv_patch_apply (base, patch, &out, NULL))
    {
      cv_slice_t changed = { out.p, out.n };

      cv_config_unref (cv_config_parse (2, changed, NULL));
      check_patch (base, changed);
    }
  cv_config_unref (config);
  cv_buf_finish (&out);
  return 0;
}

/* Checks that the patch made from BASE and CHANGED turns BASE into CHANGED.  */
static void
check_patch (cv_slice_t base, cv_slice_t changed)
{
  cv_buf_t patch;
  cv_buf_t patched;
  cv_buf_t remaining;

  cv_buf_init (&patch);
  cv_buf_init (&patched);
  cv_buf_init (&remaining);
  if (cv_patch_make (base, changed, &patch, NULL))
    {
      cv_slice_t patch_text = { patch.p, patch.n };
      cv_slice_t patched_text;

      CV_INVARIANT (cv_patch_apply (base, patch_text, &patched, NULL));
      patched_text.p = patched.p;
      patched_text.n = patched.n;
      CV_INVARIANT (cv_patch_make (patched_text, changed, &remaining, NULL));
      CV_INVARIANT (strcmp (cv_buf_text (&remaining), "{}") == 0);
    }
  cv_buf_finish (&patch);
  cv_buf_finish (&patched);
  cv_buf_finish (&remaining);
}
