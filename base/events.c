/* Table of log events.  */

#include "base/events.h"

static const cv_event_info_t events[] = {
#define CV_EVENT(number, priority, name, text) { number, priority, #name },
#include "base/events.def"
#undef CV_EVENT
};

const cv_event_info_t *
cv_event_info (cv_event_t event)
{
  static const cv_event_info_t unknown = { 0, 3, "UNKNOWN" };

  for (size_t i = 0; i < sizeof events / sizeof events[0]; i++)
    if (events[i].number == (int)event)
      return &events[i];
  return &unknown;
}
