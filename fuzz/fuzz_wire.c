/* Fuzzes the frame decoder: a decoded message encodes to a frame that decodes
   to the same message.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "wire/wire.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_error_t err;
  cv_msg_t msg;
  cv_msg_t decoded;
  cv_buf_t first_frame;
  cv_buf_t second_frame;

  if (!cv_msg_decode (&msg, data, n, &err))
    return 0;
  cv_buf_init (&first_frame);
  cv_buf_init (&second_frame);
  cv_msg_encode (&msg, &first_frame);
  CV_INVARIANT (cv_msg_decode (&decoded, first_frame.p, first_frame.n, &err));
  CV_INVARIANT (decoded.type == msg.type);
  cv_msg_encode (&decoded, &second_frame);
  CV_INVARIANT (first_frame.n == second_frame.n
                && memcmp (first_frame.p, second_frame.p, first_frame.n) == 0);
  cv_buf_finish (&first_frame);
  cv_buf_finish (&second_frame);
  return 0;
}
