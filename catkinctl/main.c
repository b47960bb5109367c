/* catkinctl: the operators' tool.  */

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "catkinctl/ctl.h"

#define DEFAULT_TIMEOUT_S 10
#define ENTRY_VARIABLE "CATKINVALE_ENTRY"
#define KEY_VARIABLE "CATKINVALE_KEY"

typedef struct
{
  const char *name;
  int (*run) (const cv_ctl_t *ctl);
} verb_t;

typedef enum
{
  OPT_BASE = 256,
  OPT_DRY_RUN,
  OPT_JSON,
  OPT_TIMEOUT
} option_key_t;

static const verb_t verbs[]
    = { { "check", cv_ctl_check },     { "show", cv_ctl_show },
        { "query", cv_ctl_query },     { "change", cv_ctl_change },
        { "install", cv_ctl_install }, { "document", cv_ctl_document },
        { "status", cv_ctl_status },   { "histograms", cv_ctl_histograms },
        { "hash", cv_ctl_hash },       { NULL, NULL } };

static const char doc[]
    = "Ask and change what catkinvale serves.\v"
      "Verbs:\n"
      "  check FILE...        check settings and configuration documents\n"
      "  show THING [where COLUMN OP VALUE [and ...]]\n"
      "                       list targets, entries, accounts, classes, "
      "models, pools\n"
      "  query TEXT           the same, as one text\n"
      "  change TEXT          set, add and remove; several edits separated "
      "by ';'\n"
      "  document             print the configuration in force\n"
      "  install FILE         put a whole configuration document\n"
      "  status               state of the entry, its targets and peers\n"
      "  histograms           latencies and stall time by account and class\n"
      "  hash                 read a bearer key from standard input, print "
      "its hash\n"
      "\n"
      "Exit codes: 0 done, 1 refused, 2 invalid file, 3 conflict, 4 outcome "
      "unknown, 5 no entry answered, 64 usage.";

static const struct argp_option options[] = {
  { "entry", 'e', "URL", 0,
    "entry to ask, http://IP:PORT; else $" ENTRY_VARIABLE, 0 },
  { "key", 'k', "KEY", 0, "the operators' bearer key; else $" KEY_VARIABLE, 0 },
  { "file", 'f', "FILE", 0,
    "read the text from FILE (- for standard "
    "input)",
    0 },
  { "base", OPT_BASE, "N", 0, "change only version N", 0 },
  { "dry-run", OPT_DRY_RUN, NULL, 0, "show the difference only", 0 },
  { "json", OPT_JSON, NULL, 0, "print the answer as JSON", 0 },
  { "timeout", OPT_TIMEOUT, "SECONDS", 0, "longest wait for an answer", 0 },
  { NULL, 0, NULL, 0, NULL, 0 }
};

static uint32_t
parse_number (struct argp_state *state, const char *name, const char *text,
              uint32_t low, uint32_t high)
{
  char *rest;
  unsigned long n = strtoul (text, &rest, 10);

  if (text[0] < '0' || text[0] > '9' || *rest != '\0' || n < low || n > high)
    argp_error (state, "--%s: expected a whole number from %u to %u, found %s",
                name, low, high, text);
  return (uint32_t)n;
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  cv_ctl_t *ctl = state->input;

  switch (key)
    {
    case 'e':
      ctl->entry = arg;
      return 0;
    case 'k':
      ctl->key = arg;
      return 0;
    case 'f':
      ctl->file = arg;
      return 0;
    case OPT_BASE:
      (void)parse_number (state, "base", arg, 0, UINT32_MAX);
      ctl->base = arg;
      return 0;
    case OPT_DRY_RUN:
      ctl->dry_run = true;
      return 0;
    case OPT_JSON:
      ctl->json = true;
      return 0;
    case OPT_TIMEOUT:
      ctl->timeout_s = parse_number (state, "timeout", arg, 1, 3600);
      return 0;
    case ARGP_KEY_ARGS:
      ctl->args = state->argv + state->next;
      ctl->arg_count = (size_t)(state->argc - state->next);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { options, parse_option, "VERB [WORD...]", doc, NULL, NULL, NULL };

int
main (int argc, char **argv)
{
  cv_ctl_t ctl = { 0 };
  const verb_t *v;

  argp_program_version = "catkinctl 0.1.0";
  argp_err_exit_status = CV_EXIT_USAGE;
  cv_log_init ("catkinctl");
  ctl.entry = getenv (ENTRY_VARIABLE);
  ctl.key = getenv (KEY_VARIABLE);
  ctl.timeout_s = DEFAULT_TIMEOUT_S;
  if (argp_parse (&parser, argc, argv, 0, NULL, &ctl) != 0)
    return CV_EXIT_USAGE;
  for (v = verbs; v->name != NULL; v++)
    if (strcmp (v->name, ctl.args[0]) == 0)
      {
        ctl.args++;
        ctl.arg_count--;
        return v->run (&ctl);
      }
  fprintf (stderr, "catkinctl: there is no verb \"%s\"; see --help\n",
           ctl.args[0]);
  return CV_EXIT_USAGE;
}
