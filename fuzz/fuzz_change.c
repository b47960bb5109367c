/* Fuzzes the operators' change and query language: an accepted change yields a
   document that parses; a rejected one writes no output and sets an error
   code.  The same text is also parsed and run as a query.  */

#include <stdlib.h>
#include <string.h>

#include "config/config.h"
#include "fuzz/fuzz.h"

static const char base_text[]
    = "add pool p kind engine max_batch 8; add pool s kind service;"
      "add model m pool p max_tokens 100; add class c priority 5;"
      "add account a class c weight 2 key_hash "
      "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881";

static const cv_config_t *base_config (void);
static void check_change (const cv_config_t *base, cv_slice_t text);
static void count_row (const cv_row_t *row, void *arg);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t text = { (const char *)data, n };
  cv_error_t err;
  cv_query_t *q;
  size_t rows = 0;

  check_change (NULL, text);
  check_change (base_config (), text);
  q = cv_query_parse (text, &err);
  if (q == NULL)
    {
      CV_INVARIANT (err.code != CV_ERR_NONE);
      return 0;
    }
  CV_INVARIANT (cv_query_table (q)[0] != '\0');
  cv_query_select (q, base_config (), count_row, &rows);
  CV_INVARIANT (rows <= 5); /* base_text adds 5 objects in all */
  cv_query_free (q);
  return 0;
}

/* Returns a configuration with at least one object of each kind; parsed at the
   first call.  */
static const cv_config_t *
base_config (void)
{
  static cv_config_t *config;
  cv_error_t err;
  cv_buf_t out;
  cv_buf_t diff;

  if (config != NULL)
    return config;
  cv_buf_init (&out);
  cv_buf_init (&diff);
  if (!cv_change_apply (NULL, cv_slice (base_text), &out, &diff, &err))
    {
      fprintf (stderr, "base: %d:%d: %s\n", err.line, err.column, err.text);
      abort ();
    }
  config = cv_config_parse (1, cv_slice (cv_buf_text (&out)), &err);
  CV_INVARIANT (config != NULL);
  cv_buf_finish (&out);
  cv_buf_finish (&diff);
  return config;
}

static void
check_change (const cv_config_t *base, cv_slice_t text)
{
  cv_config_t *config;
  cv_error_t err = { .code = CV_ERR_NONE };
  cv_buf_t out;
  cv_buf_t diff;

  cv_buf_init (&out);
  cv_buf_init (&diff);
  if (cv_change_apply (base, text, &out, &diff, &err))
    {
      config = cv_config_parse (2, (cv_slice_t){ out.p, out.n }, &err);
      CV_INVARIANT (config != NULL);
      cv_config_unref (config);
    }
  else
    CV_INVARIANT (out.n == 0 && diff.n == 0 && err.code != CV_ERR_NONE);
  cv_buf_finish (&out);
  cv_buf_finish (&diff);
}

static void
count_row (const cv_row_t *row, void *arg)
{
  size_t *rows = arg;

  CV_INVARIANT (row->count <= CV_ROW_CELLS);
  (*rows)++;
}
