/* Frames: what decodes encodes to a frame that decodes to the same.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "wire/wire.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_error_t err;
  cv_msg_t msg;
  cv_msg_t again;
  cv_buf_t one;
  cv_buf_t two;

  if (!cv_msg_decode (&msg, data, n, &err))
    return 0;
  cv_buf_init (&one);
  cv_buf_init (&two);
  cv_msg_encode (&msg, &one);
  CV_INVARIANT (cv_msg_decode (&again, one.p, one.n, &err));
  CV_INVARIANT (again.type == msg.type);
  cv_msg_encode (&again, &two);
  CV_INVARIANT (one.n == two.n && memcmp (one.p, two.p, one.n) == 0);
  cv_buf_finish (&one);
  cv_buf_finish (&two);
  return 0;
}
