/* Metrics of a side as Prometheus text.  */

#ifndef CV_SIDE_METRICS_H
#define CV_SIDE_METRICS_H

#include "side/core.h"

#ifdef __cplusplus
extern "C" {
#endif

void cv_side_metrics (const cv_side_core_t *c, cv_time_t now, cv_buf_t *out);

#ifdef __cplusplus
}
#endif

#endif
