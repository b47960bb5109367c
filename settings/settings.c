/* Reads and checks the settings of a process.  */

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "settings/fields.h"

#define FILE_BYTES_MAX (256u * 1024)
#define PORT_MAX 65535
#define DAY_MS (24 * 60 * 60 * 1000)

static const char *const role_names[]
    = { "entry", "side", "gateway", "observer", NULL };
static const char *const target_kind_names[] = { "engine", "service", NULL };

/* Macros for the tables below; OFF is the offset in the enclosing struct.  */
#define NAME(k, req, off)                                                      \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_NAME, .required = (req), .offset = (off),     \
    .size = CV_NAME_MAX                                                        \
  }
#define NUMBER(k, off, low, high, value)                                       \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_U32, .offset = (off), .min = (low),           \
    .max = (high), .default_value = (value)                                    \
  }
#define OBJECT(k, off, table)                                                  \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_OBJECT, .required = true, .offset = (off),    \
    .fields = (table)                                                          \
  }
#define CHOICE(k, off, names)                                                  \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_CHOICE, .required = true, .offset = (off),    \
    .choices = (names)                                                         \
  }
#define ENTRY(member) offsetof (cv_settings_t, u.entry.member)
#define SIDE(member) offsetof (cv_settings_t, u.side.member)
#define OBSERVER(member) offsetof (cv_settings_t, u.observer.member)
#define GATEWAY(member) offsetof (cv_settings_t, u.gateway.member)
#define URL(k, req, off)                                                       \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_URL, .required = (req), .offset = (off),      \
    .size = CV_URL_MAX                                                         \
  }
#define REAL(k, off, low, high, value)                                         \
  {                                                                            \
    .key = (k), .kind = CV_FIELD_REAL, .offset = (off), .min = (low),          \
    .max = (high), .default_value = (value)                                    \
  }

static const cv_field_t endpoint_fields[]
    = { { .key = "address",
          .kind = CV_FIELD_ADDRESS,
          .required = true,
          .offset = offsetof (cv_endpoint_t, address),
          .size = CV_ADDRESS_MAX },
        { .key = "port",
          .kind = CV_FIELD_U32,
          .required = true,
          .offset = offsetof (cv_endpoint_t, port),
          .min = 1,
          .max = PORT_MAX },
        { .key = NULL } };

static const cv_field_t service_fields[]
    = { { .key = "url",
          .kind = CV_FIELD_URL,
          .required = true,
          .offset = offsetof (cv_service_url_t, url),
          .size = CV_URL_MAX },
        NUMBER ("timeout_ms", offsetof (cv_service_url_t, timeout_ms), 10,
                DAY_MS, 1000),
        { .key = NULL } };

static const cv_field_t entry_fields[]
    = { CHOICE ("role", offsetof (cv_settings_t, role), role_names),
        NAME ("instance", true, ENTRY (instance)),
        NAME ("failure_domain", true, ENTRY (failure_domain)),
        OBJECT ("http", ENTRY (http), endpoint_fields),
        OBJECT ("store", ENTRY (store), service_fields),
        OBJECT ("instance_list", ENTRY (instance_list), service_fields),
        { .key = "operator_key_hash",
          .kind = CV_FIELD_HASH,
          .offset = ENTRY (operator_key_hash),
          .size = 65 },
        NUMBER ("max_connections", ENTRY (max_connections), 1, 100000, 2000),
        NUMBER ("max_body_bytes", ENTRY (max_body_bytes), 1024, 4 * 1024 * 1024,
                1024 * 1024),
        NUMBER ("idle_timeout_s", ENTRY (idle_timeout_s), 1, 3600, 60),
        NUMBER ("keepalive_ms", ENTRY (keepalive_ms), 50, 60000, 1000),
        NUMBER ("store_poll_ms", ENTRY (store_poll_ms), 100, 60000, 1000),
        NUMBER ("instance_poll_ms", ENTRY (instance_poll_ms), 100, 60000, 1000),
        NUMBER ("drain_s", ENTRY (drain_s), 1, 86400, 600),
        { .key = NULL } };

static const cv_field_t side_fields[]
    = { CHOICE ("role", offsetof (cv_settings_t, role), role_names),
        NAME ("instance", false, SIDE (instance)),
        NAME ("target", true, SIDE (target)),
        NAME ("pool", true, SIDE (pool)),
        NAME ("failure_domain", true, SIDE (failure_domain)),
        CHOICE ("kind", SIDE (kind), target_kind_names),
        OBJECT ("wire", SIDE (wire), endpoint_fields),
        OBJECT ("control", SIDE (control), endpoint_fields),
        OBJECT ("target_url", SIDE (target_url), service_fields),
        { .key = "weights_url",
          .kind = CV_FIELD_URL,
          .offset = SIDE (weights_url),
          .size = CV_URL_MAX },
        NUMBER ("max_batch", SIDE (max_batch), 1, 4096, 16),
        { .key = "kv_tokens",
          .kind = CV_FIELD_U64,
          .offset = SIDE (kv_tokens),
          .min = 1,
          .max = INT64_C (1000000000000),
          .default_value = 65536 },
        NUMBER ("max_calls", SIDE (max_calls), 1, 10000, 64),
        NUMBER ("buffer_bytes", SIDE (buffer_bytes), 1024 * 1024,
                1024 * 1024 * 1024, 64 * 1024 * 1024),
        NUMBER ("resume_s", SIDE (resume_s), 1, 3600, 30),
        NUMBER ("generation_s", SIDE (generation_s), 1, 86400, 300),
        NUMBER ("load_poll_ms", SIDE (load_poll_ms), 20, 60000, 250),
        NUMBER ("drain_s", SIDE (drain_s), 1, 86400, 600),
        { .key = NULL } };

static const cv_field_t gateway_fields[] = {
  CHOICE ("role", offsetof (cv_settings_t, role), role_names),
  NAME ("instance", true, GATEWAY (instance)),
  NAME ("failure_domain", true, GATEWAY (failure_domain)),
  URL ("listen_url", true, GATEWAY (listen_url)),
  URL ("ready_url", true, GATEWAY (ready_url)),
  URL ("metrics_url", false, GATEWAY (metrics_url)),
  URL ("store_url", true, GATEWAY (store_url)),
  OBJECT ("loads", GATEWAY (loads), endpoint_fields),
  NUMBER ("memory_mb", GATEWAY (memory_mb), 16, 1000000, 256),
  NUMBER ("descriptors", GATEWAY (descriptors), 64, 1000000, 1024),
  REAL ("grace_s", GATEWAY (grace_s), 1, 86400, 10),
  REAL ("retry_ratio", GATEWAY (retry_ratio), 0, 1, 0),
  REAL ("retry_slack", GATEWAY (retry_slack), 0, 1000000, 10),
  REAL ("lapse_s", GATEWAY (lapse_s), 0, 3600, 2),
  REAL ("warmup_overshoot", GATEWAY (warmup_overshoot), 1, 1000, 1),
  REAL ("warmup_slack", GATEWAY (warmup_slack), 0, 1000000, 0),
  { .key = "regions", .kind = CV_FIELD_NAMES, .offset = GATEWAY (regions) },
  { .key = "features", .kind = CV_FIELD_NAMES, .offset = GATEWAY (features) },
  NUMBER ("evacuate_ms", GATEWAY (evacuate_ms), 0, DAY_MS, 0),
  { .key = NULL }
};

static const cv_field_t observer_fields[]
    = { CHOICE ("role", offsetof (cv_settings_t, role), role_names),
        NAME ("instance", true, OBSERVER (instance)),
        URL ("engine_url", true, OBSERVER (engine_url)),
        URL ("store_url", true, OBSERVER (store_url)),
        NUMBER ("report_ms", OBSERVER (report_ms), 10, 10000, 50),
        { .key = NULL } };

/* Writes "IP:PORT", with an IPv6 address in brackets.  */
static size_t
format_endpoint (const cv_endpoint_t *e, char out[CV_ENDPOINT_TEXT])
{
  bool v6 = strchr (e->address, ':') != NULL;
  int n = snprintf (out, CV_ENDPOINT_TEXT, "%s%s%s:%u", v6 ? "[" : "",
                    e->address, v6 ? "]" : "", e->port);

  CV_INVARIANT (n > 0 && n < CV_ENDPOINT_TEXT);
  return (size_t)n;
}

/* One address in the settings, and its key.  */
typedef struct
{
  const char *key;
  char text[CV_URL_MAX];
} used_address_t;

#define USED_ADDRESSES_MAX 4

static void
add_endpoint (used_address_t used[], size_t *n, const char *key,
              const cv_endpoint_t *e)
{
  if (e->port == 0)
    return;
  used[*n].key = key;
  (void)format_endpoint (e, used[*n].text);
  (*n)++;
}

static void
add_url (used_address_t used[], size_t *n, const char *key, const char *url)
{
  if (url[0] == '\0')
    return;
  used[*n].key = key;
  (void)cv_copy (used[*n].text, sizeof used[*n].text, url + strlen ("http://"));
  (*n)++;
}

static size_t
collect_addresses (const cv_settings_t *s,
                   used_address_t used[USED_ADDRESSES_MAX])
{
  size_t n = 0;

  switch (s->role)
    {
    case CV_ROLE_ENTRY:
      add_endpoint (used, &n, "http", &s->u.entry.http);
      add_url (used, &n, "store", s->u.entry.store.url);
      add_url (used, &n, "instance_list", s->u.entry.instance_list.url);
      break;
    case CV_ROLE_SIDE:
      add_endpoint (used, &n, "wire", &s->u.side.wire);
      add_endpoint (used, &n, "control", &s->u.side.control);
      add_url (used, &n, "target_url", s->u.side.target_url.url);
      break;
    case CV_ROLE_GATEWAY:
      add_url (used, &n, "listen_url", s->u.gateway.listen_url);
      add_url (used, &n, "ready_url", s->u.gateway.ready_url);
      add_url (used, &n, "metrics_url", s->u.gateway.metrics_url);
      add_url (used, &n, "store_url", s->u.gateway.store_url);
      break;
    case CV_ROLE_OBSERVER:
      add_url (used, &n, "engine_url", s->u.observer.engine_url);
      add_url (used, &n, "store_url", s->u.observer.store_url);
      break;
    }
  return n;
}

static void
check_addresses (const cv_settings_t *s, struct json_object *tree,
                 cv_problems_t *p)
{
  used_address_t used[USED_ADDRESSES_MAX] = { 0 };
  struct json_object *value = NULL;
  size_t n = collect_addresses (s, used);
  size_t i;
  size_t j;

  for (i = 1; i < n; i++)
    for (j = 0; j < i; j++)
      if (strcmp (used[i].text, used[j].text) == 0)
        {
          json_object_object_get_ex (tree, used[i].key, &value);
          cv_problem (p, cv_json_line (value), cv_json_column (value),
                      "%s: duplicate address %s, already used by %s",
                      used[i].key, used[i].text, used[j].key);
          break;
        }
}

/* Returns the table of the role that the key "role" names, or NULL with a
   problem recorded when it is missing or unknown.  */
static const cv_field_t *
choose_table (struct json_object *tree, cv_problems_t *p)
{
  struct json_object *role = NULL;
  const char *text;

  if (!json_object_object_get_ex (tree, "role", &role) || role == NULL)
    {
      cv_problem (p, cv_json_line (tree), cv_json_column (tree),
                  "role: required key is missing");
      return NULL;
    }
  text = json_object_get_string (role);
  if (json_object_is_type (role, json_type_string))
    {
      if (strcmp (text, role_names[CV_ROLE_ENTRY - 1]) == 0)
        return entry_fields;
      if (strcmp (text, role_names[CV_ROLE_SIDE - 1]) == 0)
        return side_fields;
      if (strcmp (text, role_names[CV_ROLE_GATEWAY - 1]) == 0)
        return gateway_fields;
      if (strcmp (text, role_names[CV_ROLE_OBSERVER - 1]) == 0)
        return observer_fields;
    }
  cv_problem (p, cv_json_line (role), cv_json_column (role),
              "role: expected \"entry\", \"side\", \"gateway\" or "
              "\"observer\", found %.40s",
              text);
  return NULL;
}

bool
cv_settings_parse (const char *path, cv_slice_t text, cv_settings_t *out,
                   FILE *errors)
{
  const cv_field_t *table;
  struct json_object *tree;
  cv_problems_t p;

  memset (out, 0, sizeof *out);
  cv_problems_init (&p, errors, path);
  tree = cv_json_parse (text, &p);
  if (tree == NULL)
    return false;
  table = choose_table (tree, &p);
  if (table != NULL)
    {
      cv_fields_read (table, tree, "", out, &p);
      check_addresses (out, tree, &p);
    }
  json_object_put (tree);
  if (out->role == CV_ROLE_SIDE && out->u.side.instance[0] == '\0')
    (void)cv_copy (out->u.side.instance, sizeof out->u.side.instance,
                   out->u.side.target);
  return p.count == 0;
}

bool
cv_settings_load (const char *path, cv_settings_t *out, FILE *errors)
{
  char *text;
  FILE *in;
  size_t n;
  bool ok;

  memset (out, 0, sizeof *out);
  in = fopen (path, "re");
  if (in == NULL)
    {
      if (errors != NULL)
        fprintf (errors, "%s:0:0: cannot be opened: %s\n", path,
                 strerror (errno));
      return false;
    }
  text = cv_calloc (FILE_BYTES_MAX + 1, 1);
  n = fread (text, 1, FILE_BYTES_MAX + 1, in);
  ok = ferror (in) == 0 && n <= FILE_BYTES_MAX;
  (void)fclose (in);
  if (ok)
    ok = cv_settings_parse (path, (cv_slice_t){ text, n }, out, errors);
  else if (errors != NULL)
    fprintf (errors, "%s:0:0: cannot be read or has more than %u bytes\n", path,
             FILE_BYTES_MAX);
  free (text);
  return ok;
}

size_t
cv_settings_listen_endpoints (
    const cv_settings_t *s,
    char out[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT])
{
  switch (s->role)
    {
    case CV_ROLE_ENTRY:
      (void)format_endpoint (&s->u.entry.http, out[0]);
      return 1;
    case CV_ROLE_SIDE:
      (void)format_endpoint (&s->u.side.wire, out[0]);
      (void)format_endpoint (&s->u.side.control, out[1]);
      return 2;
    case CV_ROLE_GATEWAY:
      (void)cv_copy (out[0], CV_ENDPOINT_TEXT,
                     s->u.gateway.listen_url + strlen ("http://"));
      (void)cv_copy (out[1], CV_ENDPOINT_TEXT,
                     s->u.gateway.ready_url + strlen ("http://"));
      return 2;
    case CV_ROLE_OBSERVER:
      return 0;
    }
  return 0;
}

const cv_field_t *
cv_settings_fields (cv_role_t role)
{
  switch (role)
    {
    case CV_ROLE_ENTRY:
      return entry_fields;
    case CV_ROLE_SIDE:
      return side_fields;
    case CV_ROLE_GATEWAY:
      return gateway_fields;
    case CV_ROLE_OBSERVER:
      return observer_fields;
    }
  return NULL;
}

const char *
cv_settings_instance (const cv_settings_t *s)
{
  switch (s->role)
    {
    case CV_ROLE_ENTRY:
      return s->u.entry.instance;
    case CV_ROLE_SIDE:
      return s->u.side.instance;
    case CV_ROLE_GATEWAY:
      return s->u.gateway.instance;
    case CV_ROLE_OBSERVER:
      return s->u.observer.instance;
    }
  return "";
}
