/* Configuration documents and steps between them.  The input is a document,
   a null byte and a merge patch.  */

#include <string.h>

#include "config/config.h"
#include "config/patch.h"
#include "fuzz/fuzz.h"

static void check_step (cv_slice_t base, cv_slice_t changed);

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
      check_step (base, changed);
    }
  cv_config_unref (config);
  cv_buf_finish (&out);
  return 0;
}

/* The step made between two documents leads from one to the other.  */
static void
check_step (cv_slice_t base, cv_slice_t changed)
{
  cv_buf_t patch;
  cv_buf_t reached;
  cv_buf_t rest;

  cv_buf_init (&patch);
  cv_buf_init (&reached);
  cv_buf_init (&rest);
  if (cv_patch_make (base, changed, &patch, NULL))
    {
      cv_slice_t step = { patch.p, patch.n };
      cv_slice_t there;

      CV_INVARIANT (cv_patch_apply (base, step, &reached, NULL));
      there.p = reached.p;
      there.n = reached.n;
      CV_INVARIANT (cv_patch_make (there, changed, &rest, NULL));
      CV_INVARIANT (strcmp (cv_buf_text (&rest), "{}") == 0);
    }
  cv_buf_finish (&patch);
  cv_buf_finish (&reached);
  cv_buf_finish (&rest);
}
