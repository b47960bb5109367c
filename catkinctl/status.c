/* Verbs that print the state and the histograms of an entry, from /healthz and
   /metrics.  */

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "catkinctl/ctl.h"

#define STATUS_OK 200
#define PREFIX "catkinvale_entry_"
#define LABEL_TEXT 80
#define METRIC_NAME_TEXT 80

/* A sample in Prometheus text format.  */
typedef struct
{
  char name[METRIC_NAME_TEXT];
  char account[LABEL_TEXT];
  char class_name[LABEL_TEXT];
  char quantile[16]; /* "" without this label */
  double value;
} sample_t;

/* A histogram of one account and class.  */
typedef struct
{
  sample_t key;
  double p50;
  double p95;
  double p99;
  double count;
  double sum;
} histogram_t;

typedef struct
{
  histogram_t *items;
  size_t count;
} histograms_t;

static void
copy_label (const char *labels, const char *name, char *out, size_t size)
{
  char pattern[32];
  const char *at;
  const char *end;

  out[0] = '\0';
  (void)snprintf (pattern, sizeof pattern, "%s=\"", name);
  at = strstr (labels, pattern);
  if (at == NULL)
    return;
  at += strlen (pattern);
  end = strchr (at, '"');
  if (end != NULL)
    (void)cv_copy_slice (out, size, (cv_slice_t){ at, (size_t)(end - at) });
}

static bool
parse_sample (const char *line, sample_t *s)
{
  size_t n = strcspn (line, "{ ");
  const char *value = strrchr (line, ' ');
  char *rest;

  if (line[0] == '#' || value == NULL
      || !cv_copy_slice (s->name, sizeof s->name, (cv_slice_t){ line, n }))
    return false;
  copy_label (line, "account", s->account, sizeof s->account);
  copy_label (line, "class", s->class_name, sizeof s->class_name);
  copy_label (line, "quantile", s->quantile, sizeof s->quantile);
  s->value = strtod (value + 1, &rest);
  return rest != value + 1;
}

/* Removes SUFFIX from NAME; false when NAME does not end with it.  */
static bool
remove_suffix (char *name, const char *suffix)
{
  size_t n = strlen (name);
  size_t k = strlen (suffix);

  if (n <= k || strcmp (name + n - k, suffix) != 0)
    return false;
  name[n - k] = '\0';
  return true;
}

static histogram_t *
find_or_add_histogram (histograms_t *h, const sample_t *key)
{
  histogram_t *item;
  size_t i;

  for (i = 0; i < h->count; i++)
    {
      item = &h->items[i];
      if (strcmp (item->key.name, key->name) == 0
          && strcmp (item->key.account, key->account) == 0
          && strcmp (item->key.class_name, key->class_name) == 0)
        return item;
    }
  h->items = cv_realloc (h->items, (h->count + 1) * sizeof *h->items);
  item = &h->items[h->count++];
  memset (item, 0, sizeof *item);
  item->key = *key;
  return item;
}

static void
add_sample (histograms_t *h, sample_t *s)
{
  histogram_t *item;

  if (remove_suffix (s->name, "_sum"))
    find_or_add_histogram (h, s)->sum = s->value;
  else if (remove_suffix (s->name, "_count"))
    find_or_add_histogram (h, s)->count = s->value;
  else if (s->quantile[0] != '\0')
    {
      (void)remove_suffix (s->name, "_quantile");
      (void)remove_suffix (s->name, "_quantile");
      item = find_or_add_histogram (h, s);
      if (strcmp (s->quantile, "0.5") == 0)
        item->p50 = s->value;
      else if (strcmp (s->quantile, "0.95") == 0)
        item->p95 = s->value;
      else if (strcmp (s->quantile, "0.99") == 0)
        item->p99 = s->value;
    }
}

static void
parse_metrics (char *text, histograms_t *h)
{
  sample_t s;
  char *line;
  char *rest;

  for (line = strtok_r (text, "\n", &rest); line != NULL;
       line = strtok_r (NULL, "\n", &rest))
    if (parse_sample (line, &s))
      add_sample (h, &s);
}

static void
add_number (cv_table_t *t, double value)
{
  char text[32];

  (void)snprintf (text, sizeof text, "%.4g", value);
  cv_table_add_cell (t, text);
}

static void
print_table (const histograms_t *h)
{
  static const char *const titles[]
      = { "measure", "account", "class", "count", "mean", "p50", "p95", "p99" };
  cv_table_t *t = cv_table_new ();
  const histogram_t *item;
  const char *name;
  size_t i;

  for (i = 0; i < sizeof titles / sizeof *titles; i++)
    cv_table_add_cell (t, titles[i]);
  cv_table_end_row (t);
  for (i = 0; i < h->count; i++)
    {
      item = &h->items[i];
      if (item->count <= 0)
        continue;
      name = item->key.name;
      if (strncmp (name, PREFIX, strlen (PREFIX)) == 0)
        name += strlen (PREFIX);
      cv_table_add_cell (t, name);
      cv_table_add_cell (t, item->key.account);
      cv_table_add_cell (t, item->key.class_name);
      add_number (t, item->count);
      add_number (t, item->sum / item->count);
      add_number (t, item->p50);
      add_number (t, item->p95);
      add_number (t, item->p99);
      cv_table_end_row (t);
    }
  cv_table_print (t, stdout);
  cv_table_free (t);
}

static void
print_json (const histograms_t *h)
{
  const histogram_t *item;
  size_t i;

  printf ("{\"histograms\":[");
  for (i = 0; i < h->count; i++)
    {
      item = &h->items[i];
      printf ("%s{\"measure\":\"%s\",\"account\":\"%s\",\"class\":\"%s\","
              "\"count\":%.0f,\"sum\":%g,\"p50\":%g,\"p95\":%g,\"p99\":%g}",
              i > 0 ? "," : "", item->key.name, item->key.account,
              item->key.class_name, item->count, item->sum, item->p50,
              item->p95, item->p99);
    }
  printf ("]}\n");
}

int
cv_ctl_histograms (const cv_ctl_t *ctl)
{
  histograms_t h = { 0 };
  cv_response_t a;
  char *text;
  int rc = CV_EXIT_OK;

  if (ctl->entry == NULL)
    {
      fprintf (stderr, "catkinctl: expected --entry URL\n");
      return CV_EXIT_USAGE;
    }
  cv_ctl_call (ctl, "GET", "/metrics", NULL, 0, &a);
  if (!a.connected || a.status != STATUS_OK)
    rc = cv_ctl_print_failure (ctl, &a);
  else
    {
      text = cv_strdup_n (cv_buf_text (&a.body), a.body.n);
      parse_metrics (text, &h);
      free (text);
      if (ctl->json)
        print_json (&h);
      else
        print_table (&h);
    }
  free (h.items);
  cv_response_finish (&a);
  return rc;
}

/* ---- status ---- */

static int
print_health (const cv_ctl_t *ctl)
{
  struct json_object *tree;
  cv_response_t a;
  int rc = CV_EXIT_OK;

  cv_ctl_call (ctl, "GET", "/healthz", NULL, 0, &a);
  if (!a.connected)
    rc = cv_ctl_print_failure (ctl, &a);
  else if (ctl->json)
    printf ("%s\n", cv_buf_text (&a.body));
  else
    {
      tree = json_tokener_parse (cv_buf_text (&a.body));
      printf ("entry %s", ctl->entry);
      if (json_object_is_type (tree, json_type_object))
        {
          json_object_object_foreach (tree, key, value)
          {
            printf ("  %s %s", key, json_object_get_string (value));
          }
        }
      printf ("\n");
      json_object_put (tree);
    }
  if (a.connected && a.status != STATUS_OK)
    rc = CV_EXIT_NOT_RUN;
  cv_response_finish (&a);
  return rc;
}

static int
show_thing (const cv_ctl_t *ctl, const char *thing)
{
  char *args[] = { cv_strdup_n (thing, strlen (thing)) };
  cv_ctl_t sub = *ctl;
  int rc;

  sub.args = args;
  sub.arg_count = 1;
  sub.file = NULL;
  rc = cv_ctl_show (&sub);
  free (args[0]);
  return rc;
}

int
cv_ctl_status (const cv_ctl_t *ctl)
{
  int rc;

  if (ctl->entry == NULL)
    {
      fprintf (stderr, "catkinctl: expected --entry URL\n");
      return CV_EXIT_USAGE;
    }
  rc = print_health (ctl);
  if (rc != CV_EXIT_OK || ctl->key == NULL)
    return rc;
  rc = show_thing (ctl, "entries");
  return rc != CV_EXIT_OK ? rc : show_thing (ctl, "targets");
}
