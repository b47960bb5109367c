/* Output length: log-normal around the geometric mean of hint and prior, cut
   off at the limit.  */

#include <math.h>

#include "policy/output.h"

/* Median output length as a fraction of the limit, without a hint; callers set
   limits of about four times the usual output.  */
#define PRIOR_FRACTION 0.25
/* Standard deviation of the logarithm of the length.  Outputs deviate by about
   1.2 from the hint, and by about 1.2 from PRIOR_FRACTION of the limit;
   combining both estimates gives 1.2 / sqrt (2).  The same value is used
   without a hint.  */
#define LOG_SIGMA 0.85
/* An output whose length so far is less probable than this is expected to go
   on to its limit.  */
#define SURVIVAL_MIN 1e-9

cv_output_t
cv_output_estimate (uint32_t hint, uint32_t limit)
{
  double prior = PRIOR_FRACTION * limit;
  double median = hint > 0 ? sqrt (hint * prior) : prior;

  if (median > limit)
    median = limit;
  return (cv_output_t){ median > 1 ? (uint32_t)median : 1, limit };
}

/* Returns the probability that the output is longer than TOKENS.  */
static double
probability_longer (const cv_output_t *o, double tokens)
{
  double z = log (tokens / o->median) / LOG_SIGMA;

  return 0.5 * erfc (z * M_SQRT1_2);
}

void
cv_output_survivals (const cv_output_t *o, uint32_t produced,
                     const uint32_t *ahead, size_t n, double *survival)
{
  double from = produced > 0 ? produced : 1;
  double base = probability_longer (o, from);

  for (size_t i = 0; i < n; i++)
    {
      double length = from + ahead[i];

      if (length >= o->limit)
        survival[i] = 0;
      else
        survival[i]
            = base > SURVIVAL_MIN ? probability_longer (o, length) / base : 1;
    }
}
