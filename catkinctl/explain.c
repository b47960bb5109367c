/* The verb explain: prints the history of one request from the log files of
   several processes.  */

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "catkinctl/ctl.h"

#define LINE_MAX_BYTES 4096
/* Fields common to all log lines; not repeated among a line's own fields.  */
#define KEY_STEADY "steady_us"
#define KEY_TIME "time"
#define KEY_EVENT "event"
#define KEY_NAME "name"
#define KEY_REQUEST "request"

/* A log line of the request.  */
typedef struct
{
  const char *file;
  double time; /* wall clock, seconds */
  struct json_object *fields;
} log_line_t;

typedef struct
{
  log_line_t *lines;
  size_t count;
} history_t;

static bool
has_request (struct json_object *line, const char *request)
{
  struct json_object *id = NULL;

  return json_object_is_type (line, json_type_object)
         && json_object_object_get_ex (line, KEY_REQUEST, &id)
         && json_object_is_type (id, json_type_string)
         && strcmp (json_object_get_string (id), request) == 0;
}

static void
add_line (history_t *h, const char *file, const char *text, const char *request)
{
  struct json_object *line = json_tokener_parse (text);
  struct json_object *time = NULL;

  if (!has_request (line, request))
    {
      (void)json_object_put (line);
      return;
    }
  h->lines = cv_realloc (h->lines, (h->count + 1) * sizeof *h->lines);
  h->lines[h->count] = (log_line_t){ .file = file, .fields = line };
  if (json_object_object_get_ex (line, KEY_TIME, &time))
    h->lines[h->count].time = json_object_get_double (time);
  h->count++;
}

static bool
read_file (history_t *h, const char *file, const char *request)
{
  char text[LINE_MAX_BYTES];
  FILE *in = fopen (file, "re");
  bool ok;

  if (in == NULL)
    {
      fprintf (stderr, "catkinctl: %s: %s\n", file, strerror (errno));
      return false;
    }
  /* Parses only lines that contain the id: most are of other requests.  */
  while (fgets (text, sizeof text, in) != NULL)
    if (strstr (text, request) != NULL)
      add_line (h, file, strchr (text, '{') != NULL ? strchr (text, '{') : text,
                request);
  ok = ferror (in) == 0;
  (void)fclose (in);
  if (!ok)
    fprintf (stderr, "catkinctl: %s: cannot be read\n", file);
  return ok;
}

static int
compare_time (const void *a, const void *b)
{
  const log_line_t *x = a;
  const log_line_t *y = b;

  return x->time < y->time ? -1 : x->time > y->time;
}

static void
print_log_line (const log_line_t *l, double start)
{
  struct json_object *name = NULL;

  (void)json_object_object_get_ex (l->fields, KEY_NAME, &name);
  printf ("%9.3f ms  %-24s", (l->time - start) * 1000,
          name != NULL ? json_object_get_string (name) : "?");
  json_object_object_foreach (l->fields, key, value)
  {
    if (strcmp (key, KEY_STEADY) != 0 && strcmp (key, KEY_TIME) != 0
        && strcmp (key, KEY_EVENT) != 0 && strcmp (key, KEY_NAME) != 0
        && strcmp (key, KEY_REQUEST) != 0)
      printf (
          " %s=%s", key,
          json_object_to_json_string_ext (
              value, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  }
  printf ("  [%s]\n", l->file);
}

int
cv_ctl_explain (const cv_ctl_t *ctl)
{
  history_t h = { 0 };
  bool ok = true;

  if (ctl->arg_count < 2)
    {
      fprintf (stderr, "catkinctl: expected explain ID FILE...\n");
      return CV_EXIT_USAGE;
    }
  for (size_t i = 1; i < ctl->arg_count; i++)
    ok = read_file (&h, ctl->args[i], ctl->args[0]) && ok;
  if (h.count > 0)
    qsort (h.lines, h.count, sizeof *h.lines, compare_time);
  for (size_t i = 0; i < h.count; i++)
    print_log_line (&h.lines[i], h.lines[0].time);
  if (ok && h.count == 0)
    fprintf (stderr, "catkinctl: no log line of request %s\n", ctl->args[0]);
  for (size_t i = 0; i < h.count; i++)
    (void)json_object_put (h.lines[i].fields);
  ok = ok && h.count > 0;
  free (h.lines);
  return ok ? CV_EXIT_OK : CV_EXIT_INVALID;
}
