/* Forecast of the KV-cache memory that the runs of one engine will need.  Load
   pattern: engines are full, every run grows, and each frees all of its memory
   when it ends, at an unpredictable time; the sum of the final sizes of all
   runs is never needed at once.  */

#ifndef CV_POLICY_FORECAST_H
#define CV_POLICY_FORECAST_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_FORECAST_POINTS 8

/* Further output tokens of every run at each forecast point.  */
extern const uint32_t cv_forecast_ahead[CV_FORECAST_POINTS];

/* Memory at each forecast point, in tokens.  */
typedef struct
{
  double mean[CV_FORECAST_POINTS];
  double variance[CV_FORECAST_POINTS];
  double upper[CV_FORECAST_POINTS]; /* if no run ends before its output limit */
} cv_forecast_t;

void cv_forecast_init (cv_forecast_t *f);
/* Adds a run that holds TOKENS now; SURVIVAL is the probability that it is
   still running at each point.  */
void cv_forecast_add (cv_forecast_t *f, double tokens,
                      const double survival[CV_FORECAST_POINTS]);
/* Returns the largest need at any point, in tokens: the mean plus SIGMAS
   standard deviations, but no more than if no run ends.  */
double cv_forecast_peak (const cv_forecast_t *f, double sigmas);
/* The same at the first POINTS points only.  */
double cv_forecast_peak_until (const cv_forecast_t *f, double sigmas,
                               uint32_t points);

#ifdef __cplusplus
}
#endif

#endif
