/* Forecast of the KV-cache memory that the runs of one engine will need.  */

#include <math.h>
#include <string.h>

#include "policy/forecast.h"

const uint32_t cv_forecast_ahead[CV_FORECAST_POINTS]
    = { 16, 48, 96, 192, 384, 768, 1536, 3072 };

void
cv_forecast_init (cv_forecast_t *f)
{
  memset (f, 0, sizeof *f);
}

void
cv_forecast_add (cv_forecast_t *f, double tokens,
                 const double survival[CV_FORECAST_POINTS])
{
  for (int k = 0; k < CV_FORECAST_POINTS; k++)
    {
      double size = tokens + cv_forecast_ahead[k];
      double p = survival[k];

      f->mean[k] += p * size;
      f->variance[k] += p * (1 - p) * size * size;
      f->upper[k] += p > 0 ? size : 0;
    }
}

double
cv_forecast_peak (const cv_forecast_t *f, double sigmas)
{
  return cv_forecast_peak_until (f, sigmas, CV_FORECAST_POINTS);
}

double
cv_forecast_peak_until (const cv_forecast_t *f, double sigmas, uint32_t points)
{
  double peak = 0;

  for (uint32_t k = 0; k < points && k < CV_FORECAST_POINTS; k++)
    {
      double need
          = fmin (f->mean[k] + sigmas * sqrt (f->variance[k]), f->upper[k]);

      if (need > peak)
        peak = need;
    }
  return peak;
}
