/* Histograms with logarithmic bins, based on gsl_histogram.  */

#include <gsl/gsl_histogram.h>
#include <math.h>

#include "base/base.h"

/* About ten bins per octave, so that a quantile within the range of the bins
   has an error of at most 7.3%.  */
#define BINS_PER_DECADE 33

void
cv_hist_init (cv_hist_t *h, double low, double high)
{
  double decades = log10 (high / low);
  size_t bins = (size_t)ceil (decades * BINS_PER_DECADE);

  CV_INVARIANT (low > 0 && high > low);
  h->bins = gsl_histogram_alloc (bins);
  CV_INVARIANT (h->bins != NULL);
  gsl_histogram_set_ranges_uniform (h->bins, log10 (low), log10 (high));
  h->sum = 0;
  h->max = 0;
  h->count = 0;
}

void
cv_hist_finish (cv_hist_t *h)
{
  gsl_histogram_free (h->bins);
  h->bins = NULL;
}

void
cv_hist_add (cv_hist_t *h, double value)
{
  gsl_histogram *bins = h->bins;
  double low = gsl_histogram_min (bins);
  double high = gsl_histogram_max (bins);
  double x = value > 0 ? log10 (value) : low;

  if (x < low)
    x = low;
  if (x >= high)
    x = nextafter (high, low);
  (void)gsl_histogram_increment (bins, x);
  h->sum += value;
  if (value > h->max)
    h->max = value;
  h->count++;
}

double
cv_hist_quantile (const cv_hist_t *h, double q)
{
  const gsl_histogram *bins = h->bins;
  double rank = q * (double)h->count;
  double seen = 0;

  if (h->count == 0)
    return 0;
  for (size_t i = 0; i < gsl_histogram_bins (bins); i++)
    {
      double lower;
      double upper;

      seen += gsl_histogram_get (bins, i);
      if (seen < rank || seen == 0)
        continue;
      if (gsl_histogram_get_range (bins, i, &lower, &upper) != 0)
        return 0;
      return fmin (pow (10, upper), h->max);
    }
  return h->max;
}

size_t
cv_hist_bins (const cv_hist_t *h)
{
  return gsl_histogram_bins (h->bins);
}

double
cv_hist_upper_edge (const cv_hist_t *h, size_t i)
{
  double lower = 0;
  double upper = 0;

  (void)gsl_histogram_get_range (h->bins, i, &lower, &upper);
  return pow (10, upper);
}

uint64_t
cv_hist_bin_count (const cv_hist_t *h, size_t i)
{
  return (uint64_t)gsl_histogram_get (h->bins, i);
}
