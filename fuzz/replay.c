/* Runs a harness over the files given, with any compiler: the committed
   corpus is judged also where libFuzzer is not installed.  */

#include <stdio.h>
#include <stdlib.h>

#include "fuzz/fuzz.h"

#define INPUT_MAX (1024 * 1024)

static int replay (const char *path);

int
main (int argc, char **argv)
{
  int i;

  if (argc < 2)
    {
      fprintf (stderr, "usage: %s FILE...\n", argv[0]);
      return 64;
    }
  for (i = 1; i < argc; i++)
    if (replay (argv[i]) != 0)
      return 1;
  printf ("%d inputs\n", argc - 1);
  return 0;
}

/* The input is copied to memory of its exact size, so that a sanitizer sees a
   read past its end.  */
static int
replay (const char *path)
{
  FILE *in = fopen (path, "rb");
  uint8_t *all = malloc (INPUT_MAX);
  uint8_t *data = NULL;
  size_t n = 0;
  size_t i;
  int bad = in == NULL || all == NULL;

  if (!bad)
    {
      n = fread (all, 1, INPUT_MAX, in);
      bad = ferror (in) != 0 || (data = malloc (n + (n == 0))) == NULL;
    }
  if (bad)
    fprintf (stderr, "%s: cannot be read\n", path);
  else
    {
      for (i = 0; i < n; i++)
        data[i] = all[i];
      (void)LLVMFuzzerTestOneInput (data, n);
    }
  if (in != NULL)
    (void)fclose (in);
  free (data);
  free (all);
  return bad;
}
