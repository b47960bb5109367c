/* Bench of the decisions.

   decisions [-gq] [-s FIRST_SEED] [-n SEEDS] [-o JSON] [-r REVISION]
     prints the table; -q only steady and burst at 0.95 and 1.2, -g also
     what the gaps between tokens consist of.
   decisions -c
     prints the regression bounds and what they are held against.  */

#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "bench/decisions/check.h"
#include "bench/decisions/report.h"

#define LINES_MAX 64
/* Constants were chosen with seeds 1 to 8 only.  */
#define REPORT_SEED 101
#define REPORT_SEEDS 5

static size_t lines_all (line_t *lines, const setup_t *setups);

static size_t
lines_all (line_t *lines, const setup_t *setups)
{
  static const double loads[] = { .7, .95, 1.2, 2 };
  size_t n = 0;

  for (size_t s = 0; s < setup_count (); s++)
    {
      for (int what = CASE_STEADY; what <= CASE_BURST; what++)
        for (int i = 0; i < 4; i++)
          lines[n++] = (line_t){ .setup = &setups[s],
                                 .what = (case_t)what,
                                 .load = loads[i] };
      lines[n++] = (line_t){ .setup = &setups[s], .load = 1 };
      for (int what = CASE_LOST; what < CASES; what++)
        lines[n++] = (line_t){ .setup = &setups[s],
                               .what = (case_t)what,
                               .load = .95 };
    }
  return n;
}

int
main (int argc, char **argv)
{
  line_t lines[LINES_MAX];
  setup_t setups[2];
  uint64_t first = REPORT_SEED;
  size_t seeds = REPORT_SEEDS;
  const char *json = NULL;
  const char *revision = "unknown";
  bool quick = false;
  bool gaps = false;
  size_t n;
  int opt;

  for (size_t i = 0; i < setup_count (); i++)
    {
      setup_init (&setups[i], i);
      printf ("%s: best of one engine %.0f tokens/s\n", setups[i].name,
              setups[i].best_tokens_per_s);
    }
  while ((opt = getopt (argc, argv, "cgqs:n:o:r:")) != -1)
    switch (opt)
      {
      case 'c':
        return check (setups) ? 0 : 1;
      case 'g':
        gaps = true;
        break;
      case 'q':
        quick = true;
        break;
      case 's':
        first = strtoull (optarg, NULL, 10);
        break;
      case 'n':
        seeds = strtoull (optarg, NULL, 10);
        break;
      case 'o':
        json = optarg;
        break;
      case 'r':
        revision = optarg;
        break;
      default:
        return 2;
      }
  if (seeds < 1 || seeds > SEEDS_MAX)
    return 2;
  n = quick ? report_lines_bounded (lines, setups) : lines_all (lines, setups);
  report_run (lines, n, WAYS, first, seeds);
  report_table (lines, n, seeds);
  if (gaps)
    report_gaps (lines, n, seeds);
  if (json != NULL && !report_json (json, revision, lines, n, first, seeds))
    perror (json);
  report_free (lines, n);
  return 0;
}
