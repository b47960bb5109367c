/* Fuzzes the parser of settings files, and with it the JSON reader: parsing the
   same text twice gives the same verdict, and accepted settings name an
   instance.  */

#include "fuzz/fuzz.h"
#include "settings/settings.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t text = { (const char *)data, n };
  cv_settings_t first;
  cv_settings_t again;
  bool ok = cv_settings_parse ("input", text, &first, NULL);

  CV_INVARIANT (ok == cv_settings_parse ("input", text, &again, NULL));
  CV_INVARIANT (!ok || cv_settings_instance (&first)[0] != '\0');
  return 0;
}
