/* Fast reader of token events.  */

#include <string.h>

#include "side/token_event.h"

#define DIGITS_MAX 9 /* fits 32 bits without an overflow */

bool
cv_token_event (const char *p, size_t n, uint32_t *index, cv_slice_t *text)
{
  static const char begin[] = "{\"i\":";
  static const char middle[] = ",\"t\":\"";
  static const char end[] = "\"}";
  const char *stop = p + n;
  uint32_t value = 0;
  unsigned digits = 0;

  if (n < sizeof begin + sizeof middle + sizeof end - 2
      || memcmp (p, begin, sizeof begin - 1) != 0)
    return false;
  p += sizeof begin - 1;
  while (p < stop && *p >= '0' && *p <= '9' && digits <= DIGITS_MAX)
    {
      value = value * 10 + (uint32_t)(*p++ - '0');
      digits++;
    }
  if (digits == 0 || digits > DIGITS_MAX
      || (digits > 1 && p[-(int)digits] == '0'))
    return false;
  if ((size_t)(stop - p) < sizeof middle + sizeof end - 2
      || memcmp (p, middle, sizeof middle - 1) != 0
      || memcmp (stop - (sizeof end - 1), end, sizeof end - 1) != 0)
    return false;
  p += sizeof middle - 1;
  stop -= sizeof end - 1;
  text->p = p;
  text->n = (size_t)(stop - p);
  for (; p < stop; p++)
    if ((unsigned char)*p < ' ' || *p == '"' || *p == '\\')
      return false;
  *index = value;
  return true;
}
