/* Memory that the runs of one engine will need at a few points ahead.  Load
   pattern: engines are full, every run grows, and each frees all of its memory
   at an end that nobody knows; the sum of what all runs need at their ends is
   never needed at once.  */

#ifndef CV_POLICY_FORECAST_H
#define CV_POLICY_FORECAST_H

#include "base/base.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CV_FORECAST_POINTS 8

/* Further tokens of every run at each point.  */
extern const uint32_t cv_forecast_ahead[CV_FORECAST_POINTS];

/* Expectation and variance of the memory at each point, in tokens, and what is
   needed there if no run ends before.  */
typedef struct
{
  double mean[CV_FORECAST_POINTS];
  double variance[CV_FORECAST_POINTS];
  double most[CV_FORECAST_POINTS];
} cv_forecast_t;

void cv_forecast_init (cv_forecast_t *f);
/* A run that holds TOKENS now and goes on until each point with probability
   ALIVE.  */
void cv_forecast_add (cv_forecast_t *f, double tokens,
                      const double alive[CV_FORECAST_POINTS]);
/* The most that is needed at any point, with SIGMAS standard deviations.  */
double cv_forecast_peak (const cv_forecast_t *f, double sigmas);

#ifdef __cplusplus
}
#endif

#endif
