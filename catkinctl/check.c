/* The verb check: validates settings files and a configuration document, each
   alone and against the others.  */

#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "catkinctl/ctl.h"
#include "config/config.h"
#include "settings/settings.h"

typedef struct
{
  const char *path;
  cv_settings_t settings;
} settings_file_t;

typedef struct
{
  settings_file_t *files;
  size_t count;
  const char *config_path;
  cv_config_t *config;
  unsigned problems;
} check_t;

/* Tells a settings file from a configuration document by its key "role".  */
static bool
is_settings (cv_slice_t text)
{
  struct json_object *tree;
  cv_problems_t p;
  bool found;

  cv_problems_init (&p, NULL, NULL);
  tree = cv_json_parse (text, &p);
  found = json_object_object_get_ex (tree, "role", NULL);
  json_object_put (tree);
  return found;
}

static void
check_config (check_t *c, const char *path, cv_slice_t text)
{
  if (!cv_config_check (path, text, stderr))
    {
      c->problems++;
      return;
    }
  if (c->config != NULL)
    {
      fprintf (stderr, "%s:1:1: a second configuration; %s is the first\n",
               path, c->config_path);
      c->problems++;
      return;
    }
  c->config = cv_config_parse (0, text, NULL);
  c->config_path = path;
}

static void
check_file (check_t *c, const char *path)
{
  settings_file_t *f = &c->files[c->count];
  size_t n = 0;
  char *text = cv_ctl_read_file (path, &n);

  if (text == NULL)
    {
      c->problems++;
      return;
    }
  if (!is_settings ((cv_slice_t){ text, n }))
    check_config (c, path, (cv_slice_t){ text, n });
  else if (cv_settings_parse (path, (cv_slice_t){ text, n }, &f->settings,
                              stderr))
    {
      f->path = path;
      c->count++;
    }
  else
    c->problems++;
  free (text);
}

/* ---- checks across files ---- */

static void
check_pair (check_t *c, const settings_file_t *a, const settings_file_t *b)
{
  char a_endpoints[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT];
  char b_endpoints[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT];
  size_t a_count = cv_settings_listen_endpoints (&a->settings, a_endpoints);
  size_t b_count = cv_settings_listen_endpoints (&b->settings, b_endpoints);
  size_t i;
  size_t j;

  if (strcmp (cv_settings_instance (&a->settings),
              cv_settings_instance (&b->settings))
      == 0)
    {
      fprintf (stderr, "%s:1:1: duplicate instance %s, already used by %s\n",
               b->path, cv_settings_instance (&b->settings), a->path);
      c->problems++;
    }
  for (i = 0; i < a_count; i++)
    for (j = 0; j < b_count; j++)
      if (strcmp (a_endpoints[i], b_endpoints[j]) == 0)
        {
          fprintf (stderr, "%s:1:1: duplicate address %s, already used by %s\n",
                   b->path, b_endpoints[j], a->path);
          c->problems++;
        }
}

/* Checks that the pool of a side is declared and has the side's kind.  */
static void
check_pool (check_t *c, const settings_file_t *f)
{
  const cv_side_settings_t *side = &f->settings.u.side;
  const cv_pool_t *pool;

  if (c->config == NULL || f->settings.role != CV_ROLE_SIDE)
    return;
  pool = cv_config_pool (c->config, side->pool);
  if (pool != NULL && (int)pool->kind == (int)side->kind)
    return;
  fprintf (stderr,
           "%s:1:1: pool: expected a pool of this kind in %s, found "
           "\"%s\"\n",
           f->path, c->config_path, side->pool);
  c->problems++;
}

int
cv_ctl_check (const cv_ctl_t *ctl)
{
  check_t c = { 0 };
  size_t i;
  size_t j;

  if (ctl->arg_count == 0)
    {
      fprintf (stderr, "catkinctl: expected check FILE...\n");
      return CV_EXIT_USAGE;
    }
  c.files = cv_calloc (ctl->arg_count, sizeof *c.files);
  for (i = 0; i < ctl->arg_count; i++)
    check_file (&c, ctl->args[i]);
  for (i = 0; i < c.count; i++)
    {
      check_pool (&c, &c.files[i]);
      for (j = 0; j < i; j++)
        check_pair (&c, &c.files[j], &c.files[i]);
    }
  if (c.problems == 0 && !ctl->json)
    printf ("%zu checked, no problem\n", ctl->arg_count);
  cv_config_unref (c.config);
  free (c.files);
  return c.problems == 0 ? CV_EXIT_OK : CV_EXIT_INVALID;
}
