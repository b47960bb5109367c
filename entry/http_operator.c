/* Endpoints for operators: queries and configuration changes in the operators'
   language.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "entry/http_internal.h"

/* State of a query response while its rows are written.  */
typedef struct
{
  const cv_query_t *query;
  cv_buf_t *body;
  size_t rows;
  const char *instance;
} cv_query_rows_t;

/* A former configuration that is asked for, and the answer.  */
typedef struct
{
  uint64_t version;
  cv_config_t *config; /* NULL if there is none */
} cv_previous_config_t;

static void write_row (const cv_row_t *row, void *arg);
static void add_text (cv_row_t *row, const char *column, const char *text);
static void add_number (cv_row_t *row, const char *column, uint64_t number);
static void add_target (const cv_target_row_t *t, void *arg);
static void list_targets (cv_entry_core_t *core, cv_time_t now, void *arg);
static void list_entry (cv_entry_core_t *core, cv_time_t now, void *arg);
static int respond_config_error (cv_server_response_t *resp,
                                 const cv_error_t *err);
static cv_config_t *current_config (cv_http_t *h);
static cv_config_t *previous_config (cv_http_t *h, uint64_t version);
static void ref_previous (cv_entry_core_t *core, cv_time_t now, void *arg);
static void ref_config (cv_entry_core_t *core, cv_time_t now, void *arg);
static uint64_t config_version_of (const cv_config_t *config);
static bool check_base_version (cv_http_t *h, const cv_server_request_t *req,
                                cv_server_response_t *resp,
                                const cv_config_t *current);
static bool is_dry_run (const cv_server_request_t *req);
static int respond_conflict (cv_http_t *h, cv_server_response_t *resp,
                             uint64_t base);
static void append_changed_names (cv_http_t *h, cv_buf_t *body, uint64_t base,
                                  const cv_config_t *current);
static int write_change (cv_http_t *h, cv_server_response_t *resp,
                         cv_config_t *base, const char *json, cv_buf_t *diff,
                         bool dry);
static int respond_change_failure (cv_http_t *h, cv_server_response_t *resp,
                                   uint64_t base, const cv_change_t *change,
                                   const cv_error_t *err);
static int respond_change (cv_server_response_t *resp, const char *outcome,
                           const cv_change_t *change, cv_buf_t *diff);

int
cv_http_operator_query (const cv_server_request_t *req,
                        cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_query_rows_t listing = { .instance = h->settings->instance };
  cv_config_t *config;
  cv_query_t *query;
  cv_error_t err;
  cv_buf_t body;
  int rc;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  query = cv_query_parse (text, &err);
  if (query == NULL)
    return respond_config_error (resp, &err);
  config = cv_entry_link_config (h->link);
  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"config_version\":%llu,\"rows\":[",
                 config == NULL ? 0ULL : (unsigned long long)config->version);
  listing.query = query;
  listing.body = &body;
  if (strcmp (cv_query_table (query), "targets") == 0)
    cv_entry_link_inspect (h->link, list_targets, &listing);
  else if (strcmp (cv_query_table (query), "entries") == 0)
    cv_entry_link_inspect (h->link, list_entry, &listing);
  else if (config != NULL)
    cv_query_select (query, config, write_row, &listing);
  cv_buf_printf (&body, "]}");
  rc = cv_http_respond_json (resp, 200, &body);
  cv_buf_finish (&body);
  cv_query_free (query);
  cv_config_unref (config);
  return rc;
}

int
cv_http_operator_change (const cv_server_request_t *req,
                         cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_config_t *config;
  cv_error_t err;
  cv_buf_t json;
  cv_buf_t diff;
  int rc = U_CALLBACK_COMPLETE;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = current_config (h);
  if (config == NULL)
    return cv_http_respond_failure (resp, CV_FAIL_NO_CONFIG, 1000);
  cv_buf_init (&json);
  cv_buf_init (&diff);
  if (!check_base_version (h, req, resp, config))
    ; /* an error response has been set */
  else if (!cv_change_apply (config, text, &json, &diff, &err))
    rc = respond_config_error (resp, &err);
  else
    rc = write_change (h, resp, config, cv_buf_text (&json), &diff,
                       is_dry_run (req));
  cv_buf_finish (&json);
  cv_buf_finish (&diff);
  cv_config_unref (config);
  return rc;
}

int
cv_http_document_get (const cv_server_request_t *req,
                      cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_config_t *config;
  char version[24];

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = cv_entry_link_config (h->link);
  if (config == NULL)
    return cv_http_respond_failure (resp, CV_FAIL_NO_CONFIG, 1000);
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
cv_http_document_put (const cv_server_request_t *req,
                      cv_server_response_t *resp, void *arg)
{
  cv_http_t *h = arg;
  cv_slice_t text = { .p = req->binary_body, .n = req->binary_body_length };
  cv_config_t *config;
  cv_config_t *checked = NULL;
  cv_error_t err;
  cv_buf_t diff;
  char *json;
  int rc = U_CALLBACK_COMPLETE;

  if (!cv_http_check_request (h, req, resp)
      || !cv_http_authenticate_operator (h, req, resp))
    return U_CALLBACK_COMPLETE;
  config = current_config (h);
  if (check_base_version (h, req, resp, config))
    {
      checked = cv_config_parse (config_version_of (config) + 1, text, &err);
      if (checked == NULL)
        rc = respond_config_error (resp, &err);
    }
  if (checked != NULL)
    {
      cv_buf_init (&diff);
      cv_config_diff (config, checked, &diff);
      json = cv_strdup_n (text.p, text.n);
      rc = write_change (h, resp, config, json, &diff, is_dry_run (req));
      free (json);
      cv_buf_finish (&diff);
    }
  cv_config_unref (checked);
  cv_config_unref (config);
  return rc;
}

/* ---- rows ---- */

static void
write_row (const cv_row_t *row, void *arg)
{
  cv_query_rows_t *l = arg;

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
  cv_query_rows_t *l = arg;
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
    write_row (&row, l);
}

static void
list_targets (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_entry_foreach_target (core, now, add_target, arg);
}

static void
list_entry (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_query_rows_t *l = arg;
  const cv_config_t *config = cv_entry_config (core);
  cv_row_t row = { .count = 0 };

  (void)now;
  add_text (&row, "name", l->instance);
  add_number (&row, "config", config == NULL ? 0 : config->version);
  add_number (&row, "requests", cv_entry_requests_in_flight (core));
  if (cv_query_match (l->query, &row))
    write_row (&row, l);
}

/* ---- changes ---- */

static int
respond_config_error (cv_server_response_t *resp, const cv_error_t *err)
{
  char text[300];

  if (err->line == 0)
    return cv_http_respond_bad_request (resp, err->text);
  (void)snprintf (text, sizeof text, "line %d column %d: %s", err->line,
                  err->column, err->text);
  return cv_http_respond_bad_request (resp, text);
}

/* Returns the configuration of the core, read on the I/O thread.  Unlike the
   copy of cv_entry_link_config it always includes a change that was accepted
   immediately before.  */
static cv_config_t *
current_config (cv_http_t *h)
{
  cv_config_t *config = NULL;

  cv_entry_link_inspect (h->link, ref_config, &config);
  return config;
}

static void
ref_config (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_config_t **out = arg;

  (void)now;
  if (cv_entry_config (core) != NULL)
    *out = cv_config_ref (cv_entry_config (core));
}

/* Returns the former configuration VERSION with a reference, or NULL when this
   entry does not hold it.  */
static cv_config_t *
previous_config (cv_http_t *h, uint64_t version)
{
  cv_previous_config_t previous = { .version = version };

  cv_entry_link_inspect (h->link, ref_previous, &previous);
  return previous.config;
}

static void
ref_previous (cv_entry_core_t *core, cv_time_t now, void *arg)
{
  cv_previous_config_t *out = arg;
  cv_config_t *config = cv_entry_previous_config (core, out->version);

  (void)now;
  if (config != NULL)
    out->config = cv_config_ref (config);
}

static uint64_t
config_version_of (const cv_config_t *config)
{
  return config == NULL ? 0 : config->version;
}

/* Checks that the base version stated by the operator, if any, is that of
   CURRENT; false when an error response has been set.  */
static bool
check_base_version (cv_http_t *h, const cv_server_request_t *req,
                    cv_server_response_t *resp, const cv_config_t *current)
{
  const char *value = cv_http_header (req, "X-Base-Version");
  uint64_t base;
  char *end;

  if (value == NULL)
    return true;
  errno = 0;
  base = strtoull (value, &end, 10);
  if (errno != 0 || end == value || *end != '\0')
    {
      (void)cv_http_respond_bad_request (resp,
                                         "X-Base-Version: expected a number");
      return false;
    }
  if (base == config_version_of (current))
    return true;
  (void)respond_conflict (h, resp, base);
  return false;
}

static bool
is_dry_run (const cv_server_request_t *req)
{
  const char *value = cv_http_header (req, "X-Dry-Run");

  return value != NULL && strcmp (value, "1") == 0;
}

static int
respond_conflict (cv_http_t *h, cv_server_response_t *resp, uint64_t base)
{
  cv_config_t *current = current_config (h);
  cv_buf_t body;
  int rc;

  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"outcome\":\"conflict\",\"base\":%llu,\"version\":",
                 (unsigned long long)base);
  /* 0 when this entry has not received the newer version yet.  */
  cv_buf_printf (&body, "%llu,\"changed\":",
                 (unsigned long long)(config_version_of (current) > base
                                          ? config_version_of (current)
                                          : 0));
  append_changed_names (h, &body, base, current);
  cv_buf_printf (&body,
                 ",\"error\":{\"code\":\"conflict\",\"message\":"
                 "\"version %llu is not the one in force\","
                 "\"retry_after_ms\":0,\"outcome\":\"refused\"}}",
                 (unsigned long long)base);
  rc = cv_http_respond_json (resp, 409, &body);
  cv_buf_finish (&body);
  cv_config_unref (current);
  return rc;
}

/* Appends the names that differ between version BASE and CURRENT as a JSON
   array, or null when this entry does not hold BASE.  */
static void
append_changed_names (cv_http_t *h, cv_buf_t *body, uint64_t base,
                      const cv_config_t *current)
{
  cv_config_t *base_config = previous_config (h, base);
  cv_buf_t names;
  char *name;
  char *save;
  size_t n = 0;

  if (config_version_of (current) <= base || (base_config == NULL && base != 0))
    {
      cv_buf_printf (body, "null");
      cv_config_unref (base_config);
      return;
    }
  cv_buf_init (&names);
  cv_config_list_changed (base_config, current, &names);
  cv_buf_printf (body, "[");
  (void)cv_buf_text (&names);
  for (name = strtok_r (names.p, "\n", &save); name != NULL;
       name = strtok_r (NULL, "\n", &save))
    {
      cv_buf_printf (body, "%s", n++ > 0 ? "," : "");
      cv_json_quote (body, name, strlen (name));
    }
  cv_buf_printf (body, "]");
  cv_buf_finish (&names);
  cv_config_unref (base_config);
}

static int
write_change (cv_http_t *h, cv_server_response_t *resp, cv_config_t *base,
              const char *json, cv_buf_t *diff, bool dry)
{
  cv_change_t change = { .version = config_version_of (base) };
  cv_error_t err = { 0 };

  if (dry)
    return respond_change (resp, "dry_run", &change, diff);
  if (cv_storejobs_change (h->jobs, base, json, &change, &err))
    return respond_change (resp, "accepted", &change, diff);
  return respond_change_failure (h, resp, config_version_of (base), &change,
                                 &err);
}

static int
respond_change_failure (cv_http_t *h, cv_server_response_t *resp, uint64_t base,
                        const cv_change_t *change, const cv_error_t *err)
{
  cv_http_error_t e = { .status = 503,
                        .code = "store_unavailable",
                        .text = "the object API took no write",
                        .outcome = CV_OUTCOME_NOT_RUN,
                        .retry_after_ms = 2000 };
  char text[256];

  switch (err->code)
    {
    case CV_ERR_CONFLICT:
      return respond_conflict (h, resp, base);
    case CV_ERR_INVALID:
    case CV_ERR_LIMIT:
      return respond_config_error (resp, err);
    case CV_ERR_UNKNOWN:
      /* A document names the change by its "nonce" or in its "nonces".  */
      (void)snprintf (text, sizeof text,
                      "the answer of the object API was lost; the change was "
                      "accepted if a document after version %llu names %s",
                      (unsigned long long)base, change->nonce);
      e.status = 504;
      e.code = "unknown";
      e.text = text;
      e.outcome = CV_OUTCOME_UNKNOWN;
      break;
    default:
      break;
    }
  return cv_http_respond_error (resp, &e);
}

static int
respond_change (cv_server_response_t *resp, const char *outcome,
                const cv_change_t *change, cv_buf_t *diff)
{
  cv_buf_t body;
  int rc;

  cv_buf_init (&body);
  cv_buf_printf (&body, "{\"outcome\":\"%s\",\"version\":%llu,", outcome,
                 (unsigned long long)change->version);
  if (change->nonce[0] != '\0')
    cv_buf_printf (&body, "\"change\":\"%s\",", change->nonce);
  cv_buf_printf (&body, "\"diff\":");
  cv_json_quote (&body, cv_buf_text (diff), diff->n);
  cv_buf_printf (&body, "}");
  rc = cv_http_respond_json (resp, 200, &body);
  cv_buf_finish (&body);
  return rc;
}
