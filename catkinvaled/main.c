/* The daemon: reads its settings and serves in the role that they name.  */

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "entry/entry.h"

/* Exit codes.  */
#define EXIT_SETTINGS 2

const char *argp_program_version = "catkinvaled 0.1.0";

typedef struct
{
  const char *path; /* of the settings file */
} cv_arguments_t;

static error_t parse_option (int key, char *arg, struct argp_state *state);
static bool read_settings (const char *path, cv_entry_settings_t *s,
                           cv_error_t *err);
static bool text_setting (struct json_object *o, const char *key, char *out,
                          size_t size, cv_error_t *err);

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { .parser = parse_option,
          .args_doc = "SETTINGS",
          .doc = "Serve in the role that the file SETTINGS names." };
  cv_arguments_t arguments = { 0 };
  cv_entry_settings_t settings;
  cv_error_t err = { 0 };

  (void)argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  cv_log_init ("catkinvaled");
  cv_entry_settings_init (&settings);
  if (!read_settings (arguments.path, &settings, &err))
    {
      cv_log (CV_EV_SETTINGS_INVALID, "%s: %s", arguments.path, err.text);
      return EXIT_SETTINGS;
    }
  cv_log (CV_EV_DAEMON_STARTED, "role entry instance %s at %s:%u",
          settings.instance, settings.address, settings.port);
  if (!cv_entry_run (&settings, &err))
    {
      cv_log (CV_EV_SETTINGS_INVALID, "%s", err.text);
      return EXIT_FAILURE;
    }
  cv_log (CV_EV_DAEMON_STOPPED, "instance %s", settings.instance);
  return EXIT_SUCCESS;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cv_arguments_t *arguments = state->input;

  switch (key)
    {
    case ARGP_KEY_ARG:
      if (state->arg_num > 0)
        argp_usage (state);
      arguments->path = arg;
      return 0;
    case ARGP_KEY_END:
      if (state->arg_num < 1)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static bool
read_settings (const char *path, cv_entry_settings_t *s, cv_error_t *err)
{
  struct json_object *o = json_object_from_file (path);
  struct json_object *port;
  bool ok;

  if (o == NULL)
    return cv_fail (err, CV_ERR_INVALID, "not readable as JSON");
  ok = text_setting (o, "instance", s->instance, sizeof s->instance, err)
       && text_setting (o, "failure_domain", s->failure_domain,
                        sizeof s->failure_domain, err)
       && text_setting (o, "address", s->address, sizeof s->address, err)
       && text_setting (o, "store", s->store_url, sizeof s->store_url, err)
       && text_setting (o, "instances", s->instances_url,
                        sizeof s->instances_url, err)
       && text_setting (o, "operator_key_hash", s->operator_key_hash,
                        sizeof s->operator_key_hash, err);
  if (json_object_object_get_ex (o, "port", &port))
    s->port = (uint16_t)json_object_get_int (port);
  json_object_put (o);
  return ok;
}

static bool
text_setting (struct json_object *o, const char *key, char *out, size_t size,
              cv_error_t *err)
{
  struct json_object *value;

  if (!json_object_object_get_ex (o, key, &value)
      || !cv_copy (out, size, json_object_get_string (value)))
    return cv_fail (err, CV_ERR_INVALID, "%s: missing or too long", key);
  return true;
}
