/* Length of an output: log-normal around the middle of hint and prior, and cut
   off at the limit.  */

#include <math.h>

#include "policy/output.h"

/* Median of outputs as part of their limit, where nothing else is known;
   callers allow about four times what they mostly need.  */
#define PRIOR_PART 0.25
/* Standard deviation of the logarithm.  Hints and outputs were each seen to
   spread by about 1.2; together they leave 1.2 / sqrt (2).  */
#define SIGMA_HINTED 0.85
/* Least probability that is told apart from none.  */
#define ALIVE_MIN 1e-9

cv_output_t
cv_output_expect (uint32_t hint, uint32_t limit)
{
  double prior = PRIOR_PART * limit;
  double median = hint > 0 ? sqrt (hint * prior) : prior;

  if (median > limit)
    median = limit;
  return (cv_output_t){ median > 1 ? (uint32_t)median : 1, limit };
}

static double
longer_than (const cv_output_t *o, double tokens)
{
  double z = log (tokens / o->median) / SIGMA_HINTED;

  return 0.5 * erfc (z * M_SQRT1_2);
}

void
cv_output_survivals (const cv_output_t *o, uint32_t produced,
                     const uint32_t *ahead, size_t n, double *alive)
{
  double from = produced > 0 ? produced : 1;
  double base = longer_than (o, from);

  for (size_t i = 0; i < n; i++)
    {
      double then = from + ahead[i];

      if (then >= o->limit)
        alive[i] = 0;
      else
        alive[i] = base > ALIVE_MIN ? longer_than (o, then) / base : 1;
    }
}
