/* Verbs that query and change the configuration through an entry, and the verb
   hash.  */

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "catkinctl/ctl.h"
#include "config/config.h"

#define QUERY_PATH "/v1/operator/query"
#define CHANGE_PATH "/v1/operator/change"
#define DOCUMENT_PATH "/v1/operator/document"
#define STATUS_OK 200

static bool
has_entry (const cv_ctl_t *ctl)
{
  if (ctl->entry != NULL)
    return true;
  fprintf (stderr, "catkinctl: expected --entry URL or $CATKINVALE_ENTRY\n");
  return false;
}

/* ---- queries ---- */

static void
print_rows (struct json_object *rows)
{
  cv_table_t *t = cv_table_new ();
  struct json_object *row;
  size_t i;

  for (i = 0; i < json_object_array_length (rows); i++)
    {
      row = json_object_array_get_idx (rows, i);
      if (i == 0)
        {
          json_object_object_foreach (row, name, unused)
          {
            (void)unused;
            cv_table_add_cell (t, name);
          }
          cv_table_end_row (t);
        }
      json_object_object_foreach (row, key, value)
      {
        (void)key;
        cv_table_add_cell (t, json_object_get_string (value));
      }
      cv_table_end_row (t);
    }
  cv_table_print (t, stdout);
  cv_table_free (t);
}

static int
print_response (const cv_ctl_t *ctl, cv_response_t *a)
{
  struct json_object *tree;
  struct json_object *rows = NULL;
  int rc = CV_EXIT_OK;

  if (!a->connected || a->status != STATUS_OK)
    return cv_ctl_print_failure (ctl, a);
  if (ctl->json)
    {
      printf ("%s\n", cv_buf_text (&a->body));
      return CV_EXIT_OK;
    }
  tree = json_tokener_parse (cv_buf_text (&a->body));
  if (json_object_object_get_ex (tree, "rows", &rows)
      && json_object_is_type (rows, json_type_array))
    print_rows (rows);
  else
    {
      fprintf (stderr, "catkinctl: the response has no rows\n");
      rc = CV_EXIT_REFUSED;
    }
  json_object_put (tree);
  return rc;
}

static int
run_query (const cv_ctl_t *ctl, const char *verb)
{
  cv_error_t err = { 0 };
  cv_query_t *query;
  cv_response_t a;
  size_t n = 0;
  char *text;
  int rc;

  if (!has_entry (ctl))
    return CV_EXIT_USAGE;
  text = cv_ctl_command_text (ctl, verb, &n);
  if (text == NULL)
    return CV_EXIT_INVALID;
  query = cv_query_parse ((cv_slice_t){ text, n }, &err);
  if (query == NULL)
    {
      fprintf (stderr, "catkinctl: line %d, column %d: %s\n", err.line,
               err.column, err.text);
      free (text);
      return CV_EXIT_REFUSED;
    }
  cv_query_free (query);
  cv_ctl_call (ctl, "POST", QUERY_PATH, text, n, &a);
  rc = print_response (ctl, &a);
  cv_response_finish (&a);
  free (text);
  return rc;
}

int
cv_ctl_show (const cv_ctl_t *ctl)
{
  return run_query (ctl, "show");
}

int
cv_ctl_query (const cv_ctl_t *ctl)
{
  return run_query (ctl, NULL);
}

/* ---- changes ---- */

static void
print_change (const cv_response_t *a, struct json_object *tree)
{
  struct json_object *diff = NULL;
  struct json_object *outcome = NULL;
  struct json_object *version = NULL;

  (void)a;
  if (json_object_object_get_ex (tree, "diff", &diff))
    printf ("%s", json_object_get_string (diff));
  if (json_object_object_get_ex (tree, "outcome", &outcome)
      && json_object_object_get_ex (tree, "version", &version))
    printf ("%s version %s\n", json_object_get_string (outcome),
            json_object_get_string (version));
}

/* Reports a change that was sent but not answered.  */
static int
report_unknown_outcome (const cv_ctl_t *ctl)
{
  fprintf (stderr,
           "catkinctl: %s did not answer the change, which may have been "
           "accepted; \"catkinctl document\" shows what is in force, with its "
           "version\n",
           ctl->entry);
  return CV_EXIT_UNKNOWN;
}

/* Sends TEXT, which may change the configuration.  GET /healthz first tells an
   entry that cannot be reached (nothing changed) from one whose response to the
   change is lost (outcome unknown).  */
static int
send_change (const cv_ctl_t *ctl, const char *method, const char *path,
             const char *text, size_t n)
{
  struct json_object *tree;
  cv_response_t a;
  int rc = CV_EXIT_OK;

  cv_ctl_call (ctl, "GET", "/healthz", NULL, 0, &a);
  if (!a.connected)
    {
      rc = cv_ctl_print_failure (ctl, &a);
      cv_response_finish (&a);
      return rc;
    }
  cv_response_finish (&a);
  cv_ctl_call (ctl, method, path, text, n, &a);
  if (!a.connected)
    rc = ctl->dry_run ? CV_EXIT_NOT_RUN : report_unknown_outcome (ctl);
  else if (a.status != STATUS_OK)
    rc = cv_ctl_print_failure (ctl, &a);
  else if (ctl->json)
    printf ("%s\n", cv_buf_text (&a.body));
  else
    {
      tree = json_tokener_parse (cv_buf_text (&a.body));
      print_change (&a, tree);
      json_object_put (tree);
    }
  cv_response_finish (&a);
  return rc;
}

int
cv_ctl_change (const cv_ctl_t *ctl)
{
  size_t n = 0;
  char *text;
  int rc;

  if (!has_entry (ctl))
    return CV_EXIT_USAGE;
  text = cv_ctl_command_text (ctl, NULL, &n);
  if (text == NULL)
    return CV_EXIT_INVALID;
  rc = send_change (ctl, "POST", CHANGE_PATH, text, n);
  free (text);
  return rc;
}

int
cv_ctl_install (const cv_ctl_t *ctl)
{
  const char *path = ctl->file;
  size_t n = 0;
  char *text;
  int rc;

  if (path == NULL && ctl->arg_count == 1)
    path = ctl->args[0];
  if (path == NULL || !has_entry (ctl))
    {
      fprintf (stderr, "catkinctl: expected install FILE\n");
      return CV_EXIT_USAGE;
    }
  text = cv_ctl_read_file (path, &n);
  if (text == NULL || !cv_config_check (path, (cv_slice_t){ text, n }, stderr))
    rc = CV_EXIT_INVALID;
  else
    rc = send_change (ctl, "PUT", DOCUMENT_PATH, text, n);
  free (text);
  return rc;
}

int
cv_ctl_document (const cv_ctl_t *ctl)
{
  cv_response_t a;
  int rc = CV_EXIT_OK;

  if (!has_entry (ctl))
    return CV_EXIT_USAGE;
  cv_ctl_call (ctl, "GET", DOCUMENT_PATH, NULL, 0, &a);
  if (!a.connected || a.status != STATUS_OK)
    rc = cv_ctl_print_failure (ctl, &a);
  else
    printf ("%s\n", cv_buf_text (&a.body));
  cv_response_finish (&a);
  return rc;
}

int
cv_ctl_hash (const cv_ctl_t *ctl)
{
  char hash[CV_KEY_HASH_TEXT];
  size_t n = 0;
  char *text = cv_ctl_read_file (ctl->file != NULL ? ctl->file : "-", &n);

  if (text == NULL)
    return CV_EXIT_INVALID;
  while (n > 0 && strchr ("\r\n", text[n - 1]) != NULL)
    n--;
  if (n > 0)
    {
      cv_key_hash ((cv_slice_t){ text, n }, hash);
      printf ("%s\n", hash);
    }
  else
    fprintf (stderr, "catkinctl: expected a key on standard input\n");
  free (text);
  return n > 0 ? CV_EXIT_OK : CV_EXIT_INVALID;
}
