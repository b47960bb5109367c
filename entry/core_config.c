/* The entry's current configuration.  An entry accepts new requests under it
   only once it is confirmed after the start or a freeze of the process.  */

#include "entry/core_internal.h"

static void keep_previous_config (cv_entry_core_t *c, cv_config_t *config);
static void send_waiting_for_config (cv_entry_core_t *c, cv_time_t now);
static void update_confirmed (cv_entry_core_t *c, cv_time_t confirmed);

bool
cv_entry_adopt_config (cv_entry_core_t *c, cv_time_t now, cv_config_t *config)
{
  if (c->config != NULL && config->version <= c->config->version)
    return false;
  if (c->config != NULL)
    {
      cv_slice_t from = { c->config->text, c->config->text_size };
      cv_slice_t to = { config->text, config->text_size };

      cv_history_make_patch (&c->history, c->config->version, from,
                             config->version, to);
      keep_previous_config (c, c->config);
    }
  c->config = cv_config_ref (config);
  c->confirmed = 0;
  cv_entry_apply_limits (c);
  cv_entry_metrics_count (c->metrics, CV_COUNT_CONFIGS_ADOPTED);
  cv_entry_targets_hello (c, now);
  send_waiting_for_config (c, now);
  return true;
}

/* Takes over the reference to CONFIG.  */
static void
keep_previous_config (cv_entry_core_t *c, cv_config_t *config)
{
  cv_config_unref (c->previous[CV_PREVIOUS_CONFIGS_MAX - 1]);
  for (size_t i = CV_PREVIOUS_CONFIGS_MAX - 1; i > 0; i--)
    c->previous[i] = c->previous[i - 1];
  c->previous[0] = config;
}

cv_config_t *
cv_entry_config_parse_doc (cv_entry_core_t *c, const cv_msg_doc_t *doc,
                           cv_error_t *err)
{
  cv_config_t *config = NULL;
  uint64_t have = 0;
  cv_slice_t own = { "", 0 };
  cv_buf_t text;

  if (c->config != NULL)
    {
      have = c->config->version;
      own.p = c->config->text;
      own.n = c->config->text_size;
    }
  cv_buf_init (&text);
  if (cv_patch_apply_update (have, own, doc->base, doc->body, &text, err))
    config
        = cv_config_parse (doc->version, cv_slice (cv_buf_text (&text)), err);
  if (config != NULL && doc->base != 0)
    cv_history_add (&c->history, doc->base, doc->version, doc->body);
  cv_buf_finish (&text);
  return config;
}

void
cv_entry_config_send (cv_entry_core_t *c, uint32_t target, uint64_t have)
{
  cv_msg_t msg = { .type = CV_MSG_DOC };
  cv_msg_doc_t *doc = &msg.u.doc;

  doc->doc = CV_DOC_CONFIG;
  if (have == 0 || !cv_history_connects (&c->history, have, c->config->version))
    {
      doc->version = c->config->version;
      doc->body.p = c->config->text;
      doc->body.n = c->config->text_size;
      cv_entry_send (c, target, &msg);
      return;
    }
  while (have < c->config->version)
    {
      const cv_patch_t *step = cv_history_find (&c->history, have);

      doc->base = step->from;
      doc->version = step->to;
      doc->body.p = step->text;
      doc->body.n = step->size;
      cv_entry_send (c, target, &msg);
      have = step->to;
    }
}

void
cv_entry_config_confirmed (cv_entry_core_t *c, cv_time_t read_start,
                           uint64_t version)
{
  if (read_start < c->last_freeze)
    return;
  c->store_read = true;
  if (c->config != NULL && c->config->version == version)
    update_confirmed (c, read_start);
}

void
cv_entry_store_failed (cv_entry_core_t *c, cv_time_t read_start)
{
  if (read_start >= c->last_freeze)
    c->store_down = true;
}

cv_config_t *
cv_entry_config (const cv_entry_core_t *c)
{
  return c->config;
}

cv_config_t *
cv_entry_previous_config (const cv_entry_core_t *c, uint64_t version)
{
  for (size_t i = 0; i < CV_PREVIOUS_CONFIGS_MAX && c->previous[i] != NULL; i++)
    if (c->previous[i]->version == version)
      return c->previous[i];
  return NULL;
}

const char *
cv_entry_unready_reason (const cv_entry_core_t *c)
{
  if (c->config == NULL)
    return "no configuration is known: neither the object API nor a peer gave "
           "one";
  if (c->store_read || (c->store_down && c->peer_reported))
    return NULL;
  /* Also returned when sides reported, but only newer versions.  */
  if (c->store_down)
    return "the configuration is not confirmed: the object API is down and no "
           "peer reported";
  return "the configuration is not confirmed: the object API was not read yet";
}

uint32_t
cv_entry_config_age_ms (const cv_entry_core_t *c, cv_time_t now)
{
  cv_time_t age = (now - c->confirmed) / CV_MS;

  if (c->confirmed == 0)
    return UINT32_MAX;
  return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX - 1;
}

void
cv_entry_config_peer_version (cv_entry_core_t *c, cv_time_t now,
                              const cv_doc_versions_t *versions)
{
  if (c->config == NULL
      || versions->version[CV_DOC_CONFIG] > c->config->version)
    return;
  c->peer_reported = true;
  if (versions->version[CV_DOC_CONFIG] == c->config->version
      && versions->age_ms != UINT32_MAX)
    update_confirmed (c, now - versions->age_ms * CV_MS);
}

bool
cv_entry_detect_freeze (cv_entry_core_t *c, cv_time_t now)
{
  if (c->last_tick == 0)
    c->last_tick = now;
  if (now - c->last_tick < CV_PEER_TIMEOUT)
    return false;
  cv_log (CV_EV_ENTRY_FROZEN, "for %lld ms",
          (long long)((now - c->last_tick) / CV_MS));
  c->last_tick = now;
  c->last_freeze = now;
  c->store_read = false;
  c->store_down = false;
  c->peer_reported = false;
  cv_entry_targets_mark_stale (c, now);
  return true;
}

/* ---- local ---- */

static void
update_confirmed (cv_entry_core_t *c, cv_time_t confirmed)
{
  if (confirmed > c->confirmed)
    c->confirmed = confirmed;
}

/* Sends the requests that waited for a newer configuration.  */
static void
send_waiting_for_config (cv_entry_core_t *c, cv_time_t now)
{
  cv_request_t *r;
  cv_request_t *next;

  for (r = TAILQ_FIRST (&c->requests); r != NULL; r = next)
    {
      next = TAILQ_NEXT (r, all);
      if (r->phase != PHASE_WAIT_CONFIG)
        continue;
      if (r->kind == REQUEST_STREAM)
        cv_entry_streams_send (c, now, r, CV_FAIL_NO_TARGET);
      else
        cv_entry_calls_send (c, now, r, CV_FAIL_NO_TARGET);
    }
}
