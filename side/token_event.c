/* Fast parser for token events.  */

#include <string.h>

#include "side/token_event.h"

#define DIGITS_MAX 9 /* so that the number fits in 32 bits */

bool
cv_token_event_parse (const char *p, size_t n, uint32_t *index,
                      cv_slice_t *text)
{
  static const char prefix[] = "{\"i\":";
  static const char separator[] = ",\"t\":\"";
  static const char suffix[] = "\"}";
  const char *limit = p + n;
  uint32_t value = 0;
  unsigned digits = 0;

  if (n < sizeof prefix + sizeof separator + sizeof suffix - 2
      || memcmp (p, prefix, sizeof prefix - 1) != 0)
    return false;
  p += sizeof prefix - 1;
  while (p < limit && *p >= '0' && *p <= '9' && digits <= DIGITS_MAX)
    {
      value = value * 10 + (uint32_t)(*p++ - '0');
      digits++;
    }
  if (digits == 0 || digits > DIGITS_MAX
      || (digits > 1 && p[-(int)digits] == '0'))
    return false;
  if ((size_t)(limit - p) < sizeof separator + sizeof suffix - 2
      || memcmp (p, separator, sizeof separator - 1) != 0
      || memcmp (limit - (sizeof suffix - 1), suffix, sizeof suffix - 1) != 0)
    return false;
  p += sizeof separator - 1;
  limit -= sizeof suffix - 1;
  text->p = p;
  text->n = (size_t)(limit - p);
  for (; p < limit; p++)
    if ((unsigned char)*p < ' ' || *p == '"' || *p == '\\')
      return false;
  *index = value;
  return true;
}
