/* Fuzzes pages of the platform's store.  The first byte says which kind of page
   and which decoder of its objects.  */

#include <string.h>

#include "fuzz/fuzz.h"
#include "platform/platform.h"

static void
decode_object (const cv_store_object_t *o)
{
  cv_instance_record_t record;
  char cursor[CV_NAME_MAX];

  CV_INVARIANT (o->name != NULL);
  (void)cv_platform_decode_instance (o, &record, NULL);
  cv_routing_unref (cv_platform_decode_routing (o, NULL));
  /* A list goes on behind each object.  */
  cv_platform_page_cursor (o, cursor);
  CV_INVARIANT (strcmp (cursor, o->name) >= 0
                || strlen (o->name) >= CV_NAME_MAX);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t body = { (const char *)data, n };
  cv_store_page_t page;
  cv_store_object_t o;

  if (n == 0)
    return 0;
  body.p++;
  body.n--;
  if (!cv_platform_decode_page (body, (data[0] & 1) != 0, &page, NULL))
    return 0;
  while (cv_platform_page_next (&page, &o))
    decode_object (&o);
  cv_platform_page_finish (&page);
  return 0;
}
