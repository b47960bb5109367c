/* Fuzzes the parser of callers' request bodies: a parsed model and prompt,
   written into a new body, parse to the same values.  */

#include <string.h>

#include "entry/http_internal.h"
#include "fuzz/fuzz.h"

static void check_round_trip (const cv_completion_request_t *first);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t n)
{
  cv_slice_t body = { (const char *)data, n };
  cv_completion_request_t c;
  cv_error_t err;
  char name[CV_NAME_MAX];

  if (cv_completion_parse (body, false, &c, &err))
    check_round_trip (&c);
  cv_buf_finish (&c.prompt);
  (void)cv_completion_parse (body, true, &c, &err);
  cv_buf_finish (&c.prompt);
  if (cv_json_string_member (body, "pool", name, sizeof name, &err))
    CV_INVARIANT (strlen (name) < sizeof name);
  return 0;
}

static void
check_round_trip (const cv_completion_request_t *first)
{
  cv_completion_request_t again;
  cv_error_t err;
  cv_buf_t body;

  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"model\":");
  cv_json_quote (&body, first->model, strlen (first->model));
  cv_buf_printf (&body, ",\"prompt\":");
  cv_json_quote (&body, first->prompt.p, first->prompt.n);
  cv_buf_printf (&body, "}");
  CV_INVARIANT (cv_completion_parse ((cv_slice_t){ body.p, body.n }, false,
                                     &again, &err));
  CV_INVARIANT (
      strcmp (first->model, again.model) == 0
      && first->prompt.n == again.prompt.n
      && (again.prompt.n == 0
          || memcmp (first->prompt.p, again.prompt.p, again.prompt.n) == 0));
  cv_buf_finish (&again.prompt);
  cv_buf_finish (&body);
}
