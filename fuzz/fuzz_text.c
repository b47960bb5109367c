/* Tickets and positions: a text that is taken reads back the same after it
   was formatted.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "wire/wire.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t text = { (const char *)data, n };
  char out[CV_TICKET_TEXT];
  cv_position_t p;
  cv_position_t p2;
  cv_ticket_t t;
  cv_ticket_t t2;

  if (cv_ticket_parse (&t, text))
    {
      CV_INVARIANT (
          cv_ticket_parse (&t2, cv_slice (cv_ticket_format (&t, out))));
      CV_INVARIANT (
          strcmp (t.target, t2.target) == 0 && t.incarnation == t2.incarnation
          && t.generation == t2.generation && cv_id_equal (t.nonce, t2.nonce));
    }
  if (cv_position_parse (&p, text))
    {
      CV_INVARIANT (
          cv_position_parse (&p2, cv_slice (cv_position_format (&p, out))));
      CV_INVARIANT (strcmp (p.target, p2.target) == 0
                    && p.incarnation == p2.incarnation && p.offset == p2.offset
                    && cv_id_equal (p.stream, p2.stream));
    }
  return 0;
}
