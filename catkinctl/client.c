/* HTTP calls of an entry with the ulfius client; reading of files.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <ulfius.h>

#include "catkinctl/ctl.h"

#define TEXT_MAX_BYTES (4u * 1024 * 1024)
#define URL_TEXT 512
#define STATUS_CONFLICT 409
#define STATUS_UNKNOWN 504
#define STATUS_UNAVAILABLE 503

static bool
add_headers (const cv_ctl_t *ctl, struct _u_request *req)
{
  cv_buf_t bearer;
  int rc = U_OK;

  if (ctl->key != NULL)
    {
      cv_buf_init (&bearer);
      cv_buf_printf (&bearer, "Bearer %s", ctl->key);
      rc = u_map_put (req->map_header, "Authorization", cv_buf_text (&bearer));
      cv_buf_finish (&bearer);
    }
  if (rc == U_OK && ctl->base != NULL)
    rc = u_map_put (req->map_header, "X-Base-Version", ctl->base);
  if (rc == U_OK && ctl->ticket != NULL)
    rc = u_map_put (req->map_header, "Idempotency-Key", ctl->ticket);
  if (rc == U_OK && ctl->dry_run)
    rc = u_map_put (req->map_header, "X-Dry-Run", "1");
  if (rc == U_OK)
    rc = u_map_put (req->map_header, "Expect", "");
  return rc == U_OK;
}

bool
cv_ctl_request (const cv_ctl_t *ctl, const char *method, const char *path,
                const char *body, size_t n, struct _u_request *req)
{
  char url[URL_TEXT];

  (void)snprintf (url, sizeof url, "%s%s", ctl->entry, path);
  if (ulfius_init_request (req) != U_OK)
    return false;
  if (add_headers (ctl, req)
      && ulfius_set_request_properties (
             req, U_OPT_HTTP_VERB, method, U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
             (unsigned long)ctl->timeout_s, U_OPT_NONE)
             == U_OK
      && (n == 0 || ulfius_set_binary_body_request (req, body, n) == U_OK))
    return true;
  ulfius_clean_request (req);
  return false;
}

static void
copy_response (const struct _u_response *resp, cv_response_t *a)
{
  const char *outcome = u_map_get_case (resp->map_header, "X-Outcome");

  /* libcurl accepts statuses that are none.  */
  if (resp->status < CV_STATUS_FINAL_MIN || resp->status > CV_STATUS_MAX)
    return;
  a->connected = true;
  a->status = (int)resp->status;
  a->replayed = u_map_get_case (resp->map_header, "X-Replayed") != NULL;
  if (outcome != NULL)
    (void)cv_copy (a->outcome, sizeof a->outcome, outcome);
  cv_buf_add (&a->body, resp->binary_body, resp->binary_body_length);
}

void
cv_ctl_call (const cv_ctl_t *ctl, const char *method, const char *path,
             const char *body, size_t n, cv_response_t *a)
{
  struct _u_request req;
  struct _u_response resp;

  memset (a, 0, sizeof *a);
  cv_buf_init (&a->body);
  if (!cv_ctl_request (ctl, method, path, body, n, &req))
    return;
  if (ulfius_init_response (&resp) == U_OK)
    {
      if (ulfius_send_http_request (&req, &resp) == U_OK)
        copy_response (&resp, a);
      ulfius_clean_response (&resp);
    }
  ulfius_clean_request (&req);
}

void
cv_response_finish (cv_response_t *a)
{
  cv_buf_finish (&a->body);
}

static int
exit_code (int status)
{
  switch (status)
    {
    case STATUS_CONFLICT:
      return CV_EXIT_CONFLICT;
    case STATUS_UNKNOWN:
      return CV_EXIT_UNKNOWN;
    case STATUS_UNAVAILABLE:
      return CV_EXIT_NOT_RUN;
    default:
      return CV_EXIT_REFUSED;
    }
}

/* Prints the version in force and the objects that changed since the base
   version of a change refused with 409.  */
static void
print_changed (struct json_object *tree)
{
  struct json_object *version = NULL;
  struct json_object *changed = NULL;
  size_t i;

  if (json_object_object_get_ex (tree, "version", &version)
      && json_object_get_int64 (version) > 0)
    fprintf (stderr, "catkinctl: the current version is %s\n",
             json_object_get_string (version));
  if (!json_object_object_get_ex (tree, "changed", &changed)
      || !json_object_is_type (changed, json_type_array))
    return;
  for (i = 0; i < json_object_array_length (changed); i++)
    fprintf (stderr, "catkinctl: changed since the base: %s\n",
             json_object_get_string (json_object_array_get_idx (changed, i)));
}

static void
print_error (cv_response_t *a)
{
  struct json_object *tree = json_tokener_parse (cv_buf_text (&a->body));
  struct json_object *error = NULL;
  struct json_object *text = NULL;

  if (json_object_object_get_ex (tree, "error", &error)
      && json_object_object_get_ex (error, "message", &text))
    fprintf (stderr, "catkinctl: %s\n", json_object_get_string (text));
  else
    fprintf (stderr, "catkinctl: the entry returned HTTP status %d: %.200s\n",
             a->status, cv_buf_text (&a->body));
  if (a->status == STATUS_CONFLICT)
    print_changed (tree);
  json_object_put (tree);
}

int
cv_ctl_print_failure (const cv_ctl_t *ctl, cv_response_t *a)
{
  if (!a->connected)
    {
      fprintf (stderr, "catkinctl: %s does not answer\n", ctl->entry);
      return CV_EXIT_NOT_RUN;
    }
  if (ctl->json)
    printf ("%s\n", cv_buf_text (&a->body));
  else
    print_error (a);
  return exit_code (a->status);
}

/* ---- files and command texts ---- */

char *
cv_ctl_read_file (const char *path, size_t *n)
{
  FILE *in = strcmp (path, "-") == 0 ? stdin : fopen (path, "re");
  char *text;

  if (in == NULL)
    {
      fprintf (stderr, "%s:0:0: cannot be opened: %s\n", path,
               strerror (errno));
      return NULL;
    }
  text = cv_calloc (TEXT_MAX_BYTES + 1, 1);
  *n = fread (text, 1, TEXT_MAX_BYTES + 1, in);
  if (ferror (in) != 0 || *n > TEXT_MAX_BYTES)
    {
      fprintf (stderr, "%s:0:0: cannot be read or has more than %u bytes\n",
               path, TEXT_MAX_BYTES);
      free (text);
      text = NULL;
    }
  if (in != stdin)
    (void)fclose (in);
  return text;
}

char *
cv_ctl_command_text (const cv_ctl_t *ctl, const char *verb, size_t *n)
{
  cv_buf_t words;
  char *text;
  size_t i;

  if (ctl->file != NULL)
    return cv_ctl_read_file (ctl->file, n);
  cv_buf_init (&words);
  if (verb != NULL)
    cv_buf_printf (&words, "%s", verb);
  for (i = 0; i < ctl->arg_count; i++)
    cv_buf_printf (&words, "%s%s", words.n > 0 ? " " : "", ctl->args[i]);
  *n = words.n;
  text = cv_strdup_n (cv_buf_text (&words), words.n);
  cv_buf_finish (&words);
  return text;
}
