/* Runs a fuzz harness on the given files.  It builds with any compiler, so the
   committed corpus is checked where libFuzzer is not installed.  */

#include <stdio.h>
#include <stdlib.h>

#include "fuzz/fuzz.h"

#define MAX_INPUT_BYTES (1024 * 1024)

static int replay_file (const char *path);

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
    if (replay_file (argv[i]) != 0)
      return 1;
  printf ("%d inputs\n", argc - 1);
  return 0;
}

/* Runs the harness on the file PATH; returns 0 on success.  The input is copied
   to memory of its exact size, so that the address sanitizer detects a read
   past its end.  */
static int
replay_file (const char *path)
{
  FILE *in = fopen (path, "rb");
  uint8_t *buffer = malloc (MAX_INPUT_BYTES);
  uint8_t *data = NULL;
  size_t n = 0;
  size_t i;
  int failed = in == NULL || buffer == NULL;

  if (!failed)
    {
      n = fread (buffer, 1, MAX_INPUT_BYTES, in);
      failed = ferror (in) != 0 || (data = malloc (n + (n == 0))) == NULL;
    }
  if (failed)
    fprintf (stderr, "%s: cannot be read\n", path);
  else
    {
      for (i = 0; i < n; i++)
        data[i] = buffer[i];
      (void)LLVMFuzzerTestOneInput (data, n);
    }
  if (in != NULL)
    (void)fclose (in);
  free (data);
  free (buffer);
  return failed;
}
