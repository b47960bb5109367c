/* Endpoints for operators: queries and changes in the operators' language.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

/* Rows of one answer while they are written.  */
typedef struct
{
  const cv_query_t *query;
  cv_buf_t *body;
  size_t rows;
  const char *instance;
} cv_listing_t;

static void add_row (const cv_row_t *row, void *arg);
static void add_text (cv_row_t *row, const char *column, const char *text);
static void add_number (cv_row_t *row, const char *column, uint64_t number);
static void add_target (const cv_target_row_t *t, void *arg);
static void list_targets (cv_entry_core_t *core, cv_time_t now, void *arg);
static void list_entry (cv_entry_core_t *core, cv_time_t now, void *arg);
static int bad_text (cv_response_t *resp, const cv_error_t *err);
static bool read_base (const cv_request_in_t *req, cv_response_t *resp,
                       uint64_t present, uint64_t *base);
static bool dry_run (const cv_request_in_t *req);
static int conflict (cv_response_t *resp, uint64_t base, uint64_t present,
                     const char *text);
static int write_change (cv_http_t *h, cv_response_t *resp, uint64_t base,
                         const char *json, cv_buf_t *diff, bool dry);
static int answer_change (cv_response_t *resp, const char *outcome,
                          uint64_t version, cv_buf_t *diff);

int
cv_http_query (const cv_request_in_t *req, cv_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_listing_t listing = { .instance = h->settings->instance };
  cv_config_t *config;
  cv_query_t *query;
  cv_error_t err;
  cv_buf_t body;
  int rc;

  if (!cv_http_begin (h, req, resp) || !cv_http_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  query = cv_query_parse (text, &err);
  if (query == NULL)
    return bad_text (resp, &err);
  config = cv_entry_link_config (h->link);
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"config_version\":%llu,\"rows\":[",
                 config == NULL ? 0ULL : (unsigned long long)config->version);
  listing.query = query;
  listing.body = &body;
  if (strcmp (cv_query_thing (query), "targets") == 0)
    cv_entry_link_inspect (h->link, list_targets, &listing);
  else if (strcmp (cv_query_thing (query), "entries") == 0)
    cv_entry_link_inspect (h->link, list_entry, &listing);
  else if (config != NULL)
    cv_query_config (query, config, add_row, &listing);
  cv_buf_printf (&body, "]}");
  rc = cv_http_json (resp, 200, &body);
  cv_buf_finish (&body);
  cv_query_free (query);
  cv_config_unref (config);
  return rc;
}

int
cv_http_change (const cv_request_in_t *req, cv_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_config_t *config;
  cv_error_t err;
  cv_buf_t json;
  cv_buf_t diff;
  uint64_t base;
  int rc = U_CALLBACK_COMPLETE;

  if (!cv_http_begin (h, req, resp) || !cv_http_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = cv_entry_link_config (h->link);
  if (config == NULL)
    return cv_http_failure (resp, CV_FAIL_NO_CONFIG, 1000);
  cv_buf_init (&json);
  cv_buf_init (&diff);
  if (!read_base (req, resp, config->version, &base))
    ;
  else if (!cv_change_apply (config, text, &json, &diff, &err))
    rc = bad_text (resp, &err);
  else
    rc = write_change (h, resp, base, cv_buf_text (&json), &diff,
                       dry_run (req));
  cv_buf_finish (&json);
  cv_buf_finish (&diff);
  cv_config_unref (config);
  return rc;
}

int
cv_http_document_get (const cv_request_in_t *req, cv_response_t *resp,
                      void *arg)
{
  cv_http_t *h = arg;
  cv_config_t *config;
  char version[24];

  if (!cv_http_begin (h, req, resp) || !cv_http_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = cv_entry_link_config (h->link);
  if (config == NULL)
    return cv_http_failure (resp, CV_FAIL_NO_CONFIG, 1000);
  (void)snprintf (version, sizeof version, "%llu",
                  (unsigned long long)config->version);
  (void)u_map_put (resp->map_header, "X-Config-Version", version);
  (void)u_map_put (resp->map_header, "Content-Type", "application/json");
  (void)ulfius_set_binary_body_response (resp, 200, config->text,
                                         config->text_size);
  cv_config_unref (config);
  return U_CALLBACK_COMPLETE;
}

int
cv_http_document_put (const cv_request_in_t *req, cv_response_t *resp,
                      void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_config_t *config;
  cv_config_t *checked;
  uint64_t present;
  uint64_t base;
  cv_error_t err;
  cv_buf_t diff;
  char *json;
  int rc;

  if (!cv_http_begin (h, req, resp) || !cv_http_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = cv_entry_link_config (h->link);
  present = config == NULL ? 0 : config->version;
  cv_config_unref (config);
  if (!read_base (req, resp, present, &base))
    return U_CALLBACK_COMPLETE;
  checked = cv_config_parse (base + 1, text, &err);
  if (checked == NULL)
    return bad_text (resp, &err);
  cv_config_unref (checked);
  cv_buf_init (&diff);
  json = cv_strdup_n (text.p, text.n);
  rc = write_change (h, resp, base, json, &diff, dry_run (req));
  free (json);
  cv_buf_finish (&diff);
  return rc;
}

/* ---- rows ---- */

static void
add_row (const cv_row_t *row, void *arg)
{
  cv_listing_t *l = arg;

  cv_buf_printf (l->body, l->rows++ == 0 ? "{" : ",{");
  for (size_t i = 0; i < row->count; i++)
    {
      cv_buf_printf (l->body, "%s\"%s\":", i == 0 ? "" : ",",
                     row->cell[i].column);
      cv_json_quote (l->body, row->cell[i].value, strlen (row->cell[i].value));
    }
  cv_buf_printf (l->body, "}");
}

static void
add_text (cv_row_t *row, const char *column, const char *text)
{
  cv_cell_t *cell = &row->cell[row->count];

  CV_INVARIANT (row->count < CV_ROW_CELLS);
  row->count++;
  cell->column = column;
  (void)cv_copy (cell->value, sizeof cell->value, text);
}

static void
add_number (cv_row_t *row, const char *column, uint64_t number)
{
  char text[24];

  (void)snprintf (text, sizeof text, "%llu", (unsigned long long)number);
  add_text (row, column, text);
}

static void
add_target (const cv_target_row_t *t, void *arg)
{
  cv_listing_t *l = arg;
  cv_row_t row = { .count = 0 };
  char incarnation[20];

  (void)snprintf (incarnation, sizeof incarnation, "%llx",
                  (unsigned long long)t->incarnation);
  add_text (&row, "name", t->name);
  add_text (&row, "pool", t->pool);
  add_text (&row, "domain", t->failure_domain);
  add_text (&row, "state", t->state);
  add_text (&row, "incarnation", incarnation);
  add_number (&row, "config", t->versions.version[CV_DOC_CONFIG]);
  add_number (&row, "running", t->load.running);
  add_number (&row, "waiting", t->load.waiting);
  add_number (&row, "kv_used", t->load.kv_used);
  add_number (&row, "kv_total", t->load.kv_total);
  add_number (&row, "preemptions", t->load.preemptions);
  add_number (&row, "token_us", t->load.token_us);
  add_number (&row, "requests", t->requests);
  add_number (&row, "silent_ms", t->silent_ms);
  if (cv_query_match (l->query, &row))
    add_row (&row, l);
}

static void
list_targets (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_entry_each_target (core, now, add_target, arg);
}

static void
list_entry (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_listing_t *l = arg;
  const cv_config_t *config = cv_entry_config (core);
  cv_row_t row = { .count = 0 };

  (void)now;
  add_text (&row, "name", l->instance);
  add_number (&row, "config", config == NULL ? 0 : config->version);
  add_number (&row, "requests", cv_entry_in_flight (core));
  if (cv_query_match (l->query, &row))
    add_row (&row, l);
}

/* ---- changes ---- */

static int
bad_text (cv_response_t *resp, const cv_error_t *err)
{
  char text[300];

  if (err->line == 0)
    return cv_http_bad (resp, err->text);
  (void)snprintf (text, sizeof text, "line %d column %d: %s", err->line,
                  err->column, err->text);
  return cv_http_bad (resp, text);
}

/* The version that the operator looked at; absent: the present one.  */
static bool
read_base (const cv_request_in_t *req, cv_response_t *resp, uint64_t present,
           uint64_t *base)
{
  const char *value = cv_http_header (req, "X-Base-Version");
  char *end;

  *base = present;
  if (value == NULL)
    return true;
  errno = 0;
  *base = strtoull (value, &end, 10);
  if (errno != 0 || end == value || *end != '\0')
    {
      (void)cv_http_bad (resp, "X-Base-Version: expected a number");
      return false;
    }
  if (*base == present)
    return true;
  (void)conflict (resp, *base, present, "the base is not the version here");
  return false;
}

static bool
dry_run (const cv_request_in_t *req)
{
  const char *value = cv_http_header (req, "X-Dry-Run");

  return value != NULL && strcmp (value, "1") == 0;
}

static int
conflict (cv_response_t *resp, uint64_t base, uint64_t present,
          const char *text)
{
  cv_buf_t body;
  int rc;

  cv_buf_init (&body);
  cv_buf_printf (&body,
                 "{\"outcome\":\"conflict\",\"base\":%llu,\"version\":%llu,"
                 "\"error\":{\"code\":\"conflict\",\"message\":\"%s\","
                 "\"retry_after_ms\":0,\"outcome\":\"refused\"}}",
                 (unsigned long long)base, (unsigned long long)present, text);
  rc = cv_http_json (resp, 409, &body);
  cv_buf_finish (&body);
  return rc;
}

static int
write_change (cv_http_t *h, cv_response_t *resp, uint64_t base,
              const char *json, cv_buf_t *diff, bool dry)
{
  uint64_t version = 0;
  cv_error_t err = { 0 };
  cv_http_error_t e = { .status = 503,
                        .code = "store_unavailable",
                        .text = "the object API took no write",
                        .outcome = CV_OUTCOME_NOT_RUN,
                        .retry_after_ms = 2000 };

  if (dry)
    return answer_change (resp, "dry_run", base, diff);
  if (cv_storejobs_change (h->jobs, base, json, &version, &err))
    return answer_change (resp, "accepted", version, diff);
  if (err.code == CV_ERR_CONFLICT)
    return conflict (resp, base, 0, "another change was accepted before");
  if (err.code == CV_ERR_UNKNOWN)
    {
      e.status = 504;
      e.code = "unknown";
      e.text = "the answer of the object API was lost; read the document and "
               "compare its version";
      e.outcome = CV_OUTCOME_UNKNOWN;
    }
  return cv_http_fail (resp, &e);
}

static int
answer_change (cv_response_t *resp, const char *outcome, uint64_t version,
               cv_buf_t *diff)
{
  cv_buf_t body;
  int rc;

  cv_buf_init (&body);
  cv_buf_printf (&body,
                 "{\"outcome\":\"%s\",\"version\":%llu,\"diff\":", outcome,
                 (unsigned long long)version);
  cv_json_quote (&body, cv_buf_text (diff), diff->n);
  cv_buf_printf (&body, "}");
  rc = cv_http_json (resp, 200, &body);
  cv_buf_finish (&body);
  return rc;
}
