/* Measures unit costs ("slopes") of the messages and tables: size and CPU time
   (encode and decode) of each message, and memory and CPU time per account and
   per target.  Prints one JSON object.  Sizes are exact; times depend on the
   machine.  */

#include <malloc.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "config/config.h"
#include "policy/policy.h"
#include "wire/wire.h"

#define ROUNDS 200000
#define ACCOUNTS_SMALL 100
#define ACCOUNTS_LARGE 1800
#define TARGETS_SMALL 100
#define TARGETS_LARGE 7400
#define TARGET_NAME "narrator-lhr-a-001"

/* Heap memory and CPU time used to build a table.  */
typedef struct
{
  double bytes;
  double us;
} cost_t;

static cv_msg_t sample_message (cv_msg_type_t type);
static double cpu_us (void);
static double heap_bytes (void);
static void print_message (cv_msg_type_t type);
static double message_us (cv_msg_type_t type);
static void write_document (cv_buf_t *out, int accounts);
static cost_t config_cost (int accounts, double *json_bytes);
static cost_t router_cost (uint32_t targets);
static cost_t limits_cost (uint32_t accounts);
static void print_slope (const char *name, cost_t small, cost_t large,
                         int small_count, int large_count);

int
main (void)
{
  double small_json;
  double large_json;
  cost_t small;
  cost_t large;

  printf ("{\n  \"messages\": {\n");
  for (int type = CV_MSG_HELLO; type < CV_MSG_LAST; type++)
    print_message ((cv_msg_type_t)type);
  printf ("  },\n");
  small = config_cost (ACCOUNTS_SMALL, &small_json);
  large = config_cost (ACCOUNTS_LARGE, &large_json);
  print_slope ("config_account", small, large, ACCOUNTS_SMALL, ACCOUNTS_LARGE);
  printf ("  \"config_json_bytes_per_account\": %.1f,\n",
          (large_json - small_json) / (ACCOUNTS_LARGE - ACCOUNTS_SMALL));
  small = router_cost (TARGETS_SMALL);
  large = router_cost (TARGETS_LARGE);
  print_slope ("router_target", small, large, TARGETS_SMALL, TARGETS_LARGE);
  small = limits_cost (ACCOUNTS_SMALL);
  large = limits_cost (ACCOUNTS_LARGE);
  print_slope ("limits_account", small, large, ACCOUNTS_SMALL, ACCOUNTS_LARGE);
  printf ("  \"rounds\": %d\n}\n", ROUNDS);
  return EXIT_SUCCESS;
}

/* ---- messages ---- */

/* Returns a message of TYPE.  The frequent types have names and numbers of
   realistic size; the others are empty.  */
static cv_msg_t
sample_message (cv_msg_type_t type)
{
  static const char token[] = "summary ";
  cv_msg_t msg;

  memset (&msg, 0, sizeof msg);
  msg.type = type;
  switch (type)
    {
    case CV_MSG_HELLO:
      (void)cv_copy (msg.u.hello.instance, CV_NAME_MAX, "entry-lhr-a-001");
      msg.u.hello.incarnation = UINT64_MAX;
      msg.u.hello.versions.version[CV_DOC_CONFIG] = 1000000;
      break;
    case CV_MSG_REPORT:
      (void)cv_copy (msg.u.report.target, CV_NAME_MAX, TARGET_NAME);
      (void)cv_copy (msg.u.report.pool, CV_NAME_MAX, "narrator-pool");
      (void)cv_copy (msg.u.report.failure_domain, CV_NAME_MAX, "lhr-a");
      msg.u.report.incarnation = UINT64_MAX;
      msg.u.report.generation = 1000;
      msg.u.report.state = CV_TARGET_STATE_LIVE;
      msg.u.report.load = (cv_load_t){ 60,     300,    900000, 1000000,
                                       900000, 100000, 50000,  1000 };
      msg.u.report.versions.version[CV_DOC_CONFIG] = 1000000;
      break;
    case CV_MSG_REJECTED:
      msg.u.rejected.reason = CV_REJECT_NO_MEMORY;
      break;
    case CV_MSG_TOKENS:
      msg.u.tokens.offset = 1000;
      msg.u.tokens.count = 1;
      msg.u.tokens.token[0] = cv_slice (token);
      break;
    case CV_MSG_END:
      msg.u.end.end = CV_END_STOP;
      break;
    case CV_MSG_SUBMIT:
      (void)cv_copy (msg.u.submit.account, CV_NAME_MAX, "packages-mall");
      (void)cv_copy (msg.u.submit.class_name, CV_NAME_MAX, "summary");
      (void)cv_copy (msg.u.submit.model, CV_NAME_MAX, "narrator");
      msg.u.submit.incarnation = UINT64_MAX;
      msg.u.submit.content_hash = UINT64_MAX;
      break;
    default:
      break;
    }
  return msg;
}

static double
cpu_us (void)
{
  struct timespec ts;

  CV_INVARIANT (clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts) == 0);
  return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Returns the CPU time to encode and decode one message.  */
static double
message_us (cv_msg_type_t type)
{
  cv_msg_t msg = sample_message (type);
  cv_msg_t out;
  cv_buf_t frame;
  double start;

  cv_buf_init (&frame);
  start = cpu_us ();
  for (int i = 0; i < ROUNDS; i++)
    {
      cv_buf_reset (&frame);
      cv_msg_encode (&msg, &frame);
      CV_INVARIANT (cv_msg_decode (&out, frame.p, frame.n, NULL));
    }
  cv_buf_finish (&frame);
  return (cpu_us () - start) / ROUNDS;
}

static void
print_message (cv_msg_type_t type)
{
  cv_msg_t msg = sample_message (type);
  cv_buf_t frame;

  cv_buf_init (&frame);
  cv_msg_encode (&msg, &frame);
  printf ("    \"%s\": {\"bytes\": %zu, \"us\": %.3f}%s\n", cv_msg_name (type),
          frame.n, message_us (type), type == CV_MSG_LAST - 1 ? "" : ",");
  cv_buf_finish (&frame);
}

/* ---- tables ---- */

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

/* Writes a configuration document with the given number of accounts.  */
static void
write_document (cv_buf_t *out, int accounts)
{
  cv_buf_printf (out,
                 "{\"limit_share\":0,\"pools\":{\"narrator-pool\":{\"kind\":"
                 "\"engine\",\"max_batch\":16,\"kv_tokens\":65536}},"
                 "\"models\":{\"narrator\":{\"pool\":\"narrator-pool\","
                 "\"version\":\"7\",\"max_tokens\":16384}},"
                 "\"classes\":{\"summary\":{\"priority\":60,"
                 "\"first_token_ms\":5000,\"max_tokens\":8192}},"
                 "\"accounts\":{");
  for (int i = 0; i < accounts; i++)
    cv_buf_printf (out,
                   "%s\"account-%05d\":{\"key_hash\":\"%064x\",\"class\":"
                   "\"summary\",\"weight\":8,\"concurrency\":400,"
                   "\"tokens_per_s\":20000,\"burst_tokens\":200000}",
                   i == 0 ? "" : ",", i, i + 1);
  cv_buf_printf (out, "}}");
}

static cost_t
config_cost (int accounts, double *json_bytes)
{
  cv_buf_t json;
  cv_error_t err;
  cv_config_t *config;
  cost_t cost;

  cv_buf_init (&json);
  write_document (&json, accounts);
  *json_bytes = (double)json.n;
  cost.bytes = heap_bytes ();
  cost.us = cpu_us ();
  config = cv_config_parse (1, (cv_slice_t){ json.p, json.n }, &err);
  if (config == NULL)
    (void)fprintf (stderr, "slopes: %s\n", err.text);
  CV_INVARIANT (config != NULL);
  cost.us = cpu_us () - cost.us;
  cost.bytes = heap_bytes () - cost.bytes;
  cv_config_unref (config);
  cv_buf_finish (&json);
  return cost;
}

static cost_t
router_cost (uint32_t targets)
{
  cv_router_t *r;
  cv_load_t load = { .kv_total = 1000000 };
  cost_t cost;

  cost.bytes = heap_bytes ();
  r = cv_router_new (1);
  cost.us = cpu_us ();
  for (uint32_t i = 0; i < targets; i++)
    cv_router_report (r, CV_SECOND, i, 7, CV_TARGET_STATE_LIVE, &load);
  cost.us = cpu_us () - cost.us;
  cost.bytes = heap_bytes () - cost.bytes;
  cv_router_free (r);
  return cost;
}

static cost_t
limits_cost (uint32_t accounts)
{
  cv_limits_t *l;
  cv_account_limits_t limits = { .weight = 1, .concurrency = 10 };
  cost_t cost;

  cost.bytes = heap_bytes ();
  l = cv_limits_new (1);
  cost.us = cpu_us ();
  for (uint32_t i = 0; i < accounts; i++)
    cv_limits_set (l, cv_hash (&i, sizeof i, 0), &limits);
  cost.us = cpu_us () - cost.us;
  cost.bytes = heap_bytes () - cost.bytes;
  cv_limits_free (l);
  return cost;
}

/* Prints the cost of one more account or target, from the costs of tables of
   two sizes.  */
static void
print_slope (const char *name, cost_t small, cost_t large, int small_count,
             int large_count)
{
  printf ("  \"%s\": {\"bytes\": %.1f, \"us\": %.3f},\n", name,
          (large.bytes - small.bytes) / (large_count - small_count),
          (large.us - small.us) / (large_count - small_count));
}
