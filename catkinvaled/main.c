/* The daemon: loads the settings file and runs the role that it names.  */

#include <argp.h>
#include <signal.h>
#include <stdlib.h>

#include "entry/entry.h"
#include "gateway/gateway.h"
#include "observer/observer.h"
#include "side/side.h"

const char *argp_program_version = "catkinvaled 0.1.0";

typedef struct
{
  const char *path; /* settings file */
} cv_arguments_t;

static error_t parse_option (int key, char *arg, struct argp_state *state);
static bool serve (const cv_settings_t *settings, const char *path,
                   cv_error_t *err);

int
main (int argc, char **argv)
{
  static const struct argp parser
      = { .parser = parse_option,
          .args_doc = "SETTINGS",
          .doc = "Serve in the role that the file SETTINGS names." };
  cv_arguments_t arguments = { 0 };
  cv_settings_t settings;
  cv_error_t err = { 0 };

  (void)argp_parse (&parser, argc, argv, 0, NULL, &arguments);
  cv_log_init ("catkinvaled");
  /* Only the gateway reloads its settings, with a handler of its own; no role
     ends at SIGHUP.  */
  if (signal (SIGHUP, SIG_IGN) == SIG_ERR)
    {
      cv_log (CV_EV_DAEMON_FAILED, "cannot ignore SIGHUP");
      return EXIT_FAILURE;
    }
  if (!cv_settings_load (arguments.path, &settings, stderr))
    {
      cv_log (CV_EV_SETTINGS_INVALID, "%s", arguments.path);
      return CV_EXIT_SETTINGS;
    }
  cv_log (CV_EV_DAEMON_STARTED, "instance %s",
          cv_settings_instance (&settings));
  if (!serve (&settings, arguments.path, &err))
    {
      cv_log (CV_EV_DAEMON_FAILED, "%s", err.text);
      return EXIT_FAILURE;
    }
  cv_log (CV_EV_DAEMON_STOPPED, "instance %s",
          cv_settings_instance (&settings));
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

/* The gateway reloads its settings from PATH when the file changes.  */
static bool
serve (const cv_settings_t *settings, const char *path, cv_error_t *err)
{
  switch (settings->role)
    {
    case CV_ROLE_ENTRY:
      return cv_entry_run (&settings->u.entry, err);
    case CV_ROLE_SIDE:
      return cv_side_run (&settings->u.side, err);
    case CV_ROLE_GATEWAY:
      return cv_gateway_run (&settings->u.gateway, path, err);
    case CV_ROLE_OBSERVER:
      return cv_observer_run (&settings->u.observer, err);
    }
  return cv_fail (err, CV_ERR_INVALID, "settings name an unknown role");
}
