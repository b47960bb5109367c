/* catkinctl: parses the command line and runs a verb.  */

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "catkinctl/ctl.h"

#define DEFAULT_TIMEOUT_S 10
#define LOAD_TIMEOUT_S 120 /* a call of load lasts until its stream ends */
#define URL_TEXT 128
#define ENTRY_VARIABLE "CATKINVALE_ENTRY"
#define KEY_VARIABLE "CATKINVALE_KEY"
#define STORE_VARIABLE "CATKINVALE_STORE"

typedef struct
{
  const char *name;
  int (*run) (const cv_ctl_t *ctl);
} verb_t;

typedef enum
{
  OPT_BASE = 256,
  OPT_DRY_RUN,
  OPT_STORE,
  OPT_JSON,
  OPT_TIMEOUT,
  OPT_MODEL,
  OPT_POOL,
  OPT_LONG_CLASS,
  OPT_TAG_CLASS,
  OPT_COUNT,
  OPT_CONCURRENCY,
  OPT_SECONDS,
  OPT_SEED,
  OPT_TAGS,
  OPT_BOOKINGS,
  OPT_LONG_TOKENS,
  OPT_TAG_TOKENS
} option_key_t;

static const verb_t verbs[] = { { "check", cv_ctl_check },
                                { "explain", cv_ctl_explain },
                                { "show", cv_ctl_show },
                                { "query", cv_ctl_query },
                                { "change", cv_ctl_change },
                                { "install", cv_ctl_install },
                                { "document", cv_ctl_document },
                                { "status", cv_ctl_status },
                                { "histograms", cv_ctl_histograms },
                                { "hash", cv_ctl_hash },
                                { "quarantine", cv_ctl_quarantine },
                                { "load", cv_ctl_load },
                                { NULL, NULL } };

static const char doc[]
    = "Query and change the configuration and state of catkinvale.\v"
      "Verbs:\n"
      "  check FILE...        check settings and configuration documents\n"
      "  explain ID FILE...   history of one request, from log files of "
      "gateways\n"
      "  show THING [where COLUMN OP VALUE [and ...]]\n"
      "                       list targets, entries, accounts, classes, "
      "models, pools\n"
      "  query TEXT           run a query given as one text\n"
      "  change TEXT          set, add and remove objects; ';' separates "
      "edits\n"
      "  document             print the configuration in force\n"
      "  install FILE         replace the whole configuration document\n"
      "  status               state of the entry, its targets and peers\n"
      "  histograms           latencies and stall time by account and class\n"
      "  hash                 read a bearer key from standard input, print "
      "its hash\n"
      "  quarantine [lift CONTENT]\n"
      "                       list or lift content that crashed its targets\n"
      "  load                 send summaries, tags and bookings to the entry "
      "with the\n"
      "                       key of a client account\n"
      "\n"
      "Exit codes: 0 done, 1 refused, 2 invalid file, 3 conflict, 4 outcome "
      "unknown, 5 not run, 64 usage.";

static const struct argp_option options[] = {
  { "entry", 'e', "URL", 0,
    "URL of the entry, http://IP:PORT (default: $" ENTRY_VARIABLE ")", 0 },
  { "key", 'k', "KEY", 0, "bearer key (default: $" KEY_VARIABLE ")", 0 },
  { "store", OPT_STORE, "URL", 0,
    "URL of the platform's store, of quarantine (default: $" STORE_VARIABLE ")",
    0 },
  { "file", 'f', "FILE", 0,
    "read the text from FILE (- for standard "
    "input)",
    0 },
  { "base", OPT_BASE, "N", 0,
    "change the configuration only if version N is in force", 0 },
  { "dry-run", OPT_DRY_RUN, NULL, 0,
    "print the difference of a change without writing it", 0 },
  { "json", OPT_JSON, NULL, 0, "print the answer as JSON", 0 },
  { "timeout", OPT_TIMEOUT, "SECONDS", 0,
    "time limit of a call (10, of load 120)", 0 },
  { NULL, 0, NULL, 0, "Options of load:", 1 },
  { "model", OPT_MODEL, "NAME", 0, "model of the summaries and tags", 1 },
  { "pool", OPT_POOL, "NAME", 0, "service pool of the bookings", 1 },
  { "long-class", OPT_LONG_CLASS, "NAME", 0, "class of the summaries", 1 },
  { "tag-class", OPT_TAG_CLASS, "NAME", 0, "class of the tags", 1 },
  { "count", OPT_COUNT, "N", 0, "most requests (200)", 1 },
  { "concurrency", OPT_CONCURRENCY, "N", 0, "concurrent callers (8)", 1 },
  { "seconds", OPT_SECONDS, "N", 0, "start no request after N seconds (30)",
    1 },
  { "seed", OPT_SEED, "N", 0, "seed of the request mix (1)", 1 },
  { "tags", OPT_TAGS, "PERCENT", 0, "share of tags (70)", 1 },
  { "bookings", OPT_BOOKINGS, "PERCENT", 0, "share of bookings (0)", 1 },
  { "long-tokens", OPT_LONG_TOKENS, "N", 0, "max_tokens of a summary (1024)",
    1 },
  { "tag-tokens", OPT_TAG_TOKENS, "N", 0, "max_tokens of a tag (32)", 1 },
  { NULL, 0, NULL, 0, NULL, 0 }
};

/* An option with a whole number as value.  */
typedef struct
{
  const char *name;
  size_t offset;
  option_key_t key;
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
} number_option_t;

static const number_option_t number_options[] = {
  { "timeout", offsetof (cv_ctl_t, timeout_s), OPT_TIMEOUT, 1, 3600, 0 },
  { "count", offsetof (cv_ctl_t, count), OPT_COUNT, 1, 1000000, 200 },
  { "concurrency", offsetof (cv_ctl_t, concurrency), OPT_CONCURRENCY, 1,
    CV_LOAD_CALLERS_MAX, 8 },
  { "seconds", offsetof (cv_ctl_t, seconds), OPT_SECONDS, 1, 3600, 30 },
  { "seed", offsetof (cv_ctl_t, seed), OPT_SEED, 0, UINT32_MAX, 1 },
  { "tags", offsetof (cv_ctl_t, tag_percent), OPT_TAGS, 0, 100, 70 },
  { "bookings", offsetof (cv_ctl_t, booking_percent), OPT_BOOKINGS, 0, 100, 0 },
  { "long-tokens", offsetof (cv_ctl_t, summary_tokens), OPT_LONG_TOKENS, 1,
    1000000, 1024 },
  { "tag-tokens", offsetof (cv_ctl_t, tag_tokens), OPT_TAG_TOKENS, 1, 1000000,
    32 },
};
#define NUMBER_OPTION_COUNT (sizeof number_options / sizeof *number_options)

static uint32_t
parse_number (struct argp_state *state, const char *name, const char *text,
              uint32_t min, uint32_t max)
{
  char *rest;
  unsigned long n = strtoul (text, &rest, 10);

  if (text[0] < '0' || text[0] > '9' || *rest != '\0' || n < min || n > max)
    argp_error (state, "--%s: expected a whole number from %u to %u, found %s",
                name, min, max, text);
  return (uint32_t)n;
}

static void
set_number (cv_ctl_t *ctl, const number_option_t *n, uint32_t value)
{
  memcpy ((char *)ctl + n->offset, &value, sizeof value);
}

static error_t
parse_load_option (int key, char *arg, struct argp_state *state)
{
  cv_ctl_t *ctl = state->input;
  size_t i;

  for (i = 0; i < NUMBER_OPTION_COUNT; i++)
    if ((int)number_options[i].key == key)
      {
        set_number (ctl, &number_options[i],
                    parse_number (state, number_options[i].name, arg,
                                  number_options[i].min,
                                  number_options[i].max));
        return 0;
      }
  switch (key)
    {
    case OPT_MODEL:
      ctl->model = arg;
      return 0;
    case OPT_POOL:
      ctl->pool = arg;
      return 0;
    case OPT_LONG_CLASS:
      ctl->summary_class = arg;
      return 0;
    case OPT_TAG_CLASS:
      ctl->tag_class = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
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
    case OPT_STORE:
      ctl->store = arg;
      return 0;
    case OPT_JSON:
      ctl->json = true;
      return 0;
    case ARGP_KEY_ARGS:
      ctl->args = state->argv + state->next;
      ctl->arg_count = (size_t)(state->argc - state->next);
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return parse_load_option (key, arg, state);
    }
}

static const struct argp parser
    = { options, parse_option, "VERB [WORD...]", doc, NULL, NULL, NULL };

/* Checks that URL is http://IP:PORT; host names are not resolved.  */
static bool
is_valid_url (const char *option, const char *url)
{
  static const cv_field_t field
      = { .key = "entry", .kind = CV_FIELD_URL, .size = URL_TEXT };
  char copy[URL_TEXT];
  char expected[URL_TEXT];

  if (cv_field_parse_text (&field, url, copy, expected, sizeof expected))
    return true;
  fprintf (stderr, "catkinctl: --%s: expected %s, found \"%s\"\n", option,
           expected, url);
  return false;
}

int
main (int argc, char **argv)
{
  cv_ctl_t ctl = { 0 };
  const verb_t *v;
  size_t i;

  argp_program_version = "catkinctl 0.1.0";
  argp_err_exit_status = CV_EXIT_USAGE;
  cv_log_init ("catkinctl");
  ctl.entry = getenv (ENTRY_VARIABLE);
  ctl.key = getenv (KEY_VARIABLE);
  ctl.store = getenv (STORE_VARIABLE);
  for (i = 0; i < NUMBER_OPTION_COUNT; i++)
    set_number (&ctl, &number_options[i], number_options[i].default_value);
  if (argp_parse (&parser, argc, argv, 0, NULL, &ctl) != 0)
    return CV_EXIT_USAGE;
  if ((ctl.entry != NULL && !is_valid_url ("entry", ctl.entry))
      || (ctl.store != NULL && !is_valid_url ("store", ctl.store)))
    return CV_EXIT_USAGE;
  for (v = verbs; v->name != NULL; v++)
    if (strcmp (v->name, ctl.args[0]) == 0)
      {
        ctl.args++;
        ctl.arg_count--;
        if (ctl.timeout_s == 0)
          ctl.timeout_s
              = v->run == cv_ctl_load ? LOAD_TIMEOUT_S : DEFAULT_TIMEOUT_S;
        return v->run (&ctl);
      }
  fprintf (stderr, "catkinctl: there is no verb \"%s\"; see --help\n",
           ctl.args[0]);
  return CV_EXIT_USAGE;
}
