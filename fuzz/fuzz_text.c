/* Fuzzes the parsers of tickets and stream positions: a parsed value is
   unchanged after it is formatted and parsed again.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "wire/wire.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t text = { (const char *)data, n };
  char out[CV_TICKET_TEXT];
  cv_position_t position;
  cv_position_t position_again;
  cv_ticket_t ticket;
  cv_ticket_t ticket_again;

  if (cv_ticket_parse (&ticket, text))
    {
      CV_INVARIANT (cv_ticket_parse (
          &ticket_again, cv_slice (cv_ticket_format (&ticket, out))));
      CV_INVARIANT (strcmp (ticket.target, ticket_again.target) == 0
                    && ticket.incarnation == ticket_again.incarnation
                    && ticket.generation == ticket_again.generation
                    && cv_id_equal (ticket.nonce, ticket_again.nonce));
    }
  if (cv_position_parse (&position, text))
    {
      CV_INVARIANT (cv_position_parse (
          &position_again, cv_slice (cv_position_format (&position, out))));
      CV_INVARIANT (strcmp (position.target, position_again.target) == 0
                    && position.incarnation == position_again.incarnation
                    && position.offset == position_again.offset
                    && cv_id_equal (position.stream, position_again.stream));
    }
  return 0;
}
