/* Table of the settings keys of each role.  */

#ifndef CV_SETTINGS_FIELDS_H
#define CV_SETTINGS_FIELDS_H

#include "base/json.h"
#include "settings/settings.h"

#ifdef __cplusplus
extern "C" {
#endif

const cv_field_t *cv_settings_fields (cv_role_t role);

#ifdef __cplusplus
}
#endif

#endif
