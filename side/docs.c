/* Exchange of the configuration and of the suspect content with entries.  Both
   are documents with a version; a process pulls a newer one from a peer.  */

#include <stdlib.h>

#include "side/core.h"

static void store_doc (cv_doc_state_t *d, uint64_t version, cv_slice_t body);
static void send_patches (cv_side_core_t *c, uint32_t peer,
                          const cv_doc_state_t *d, uint64_t have);
static void apply_config (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                          const cv_msg_doc_t *m);
static void merge_suspects (cv_side_core_t *c, cv_time_t now,
                            const cv_msg_doc_t *m);
static void store_suspects (cv_side_core_t *c);
static void pull_doc (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      cv_doc_t doc);

void
cv_docs_finish (cv_side_core_t *c)
{
  int i;

  for (i = 0; i < CV_DOC_COUNT; i++)
    {
      free (c->doc[i].body);
      cv_history_finish (&c->doc[i].history);
    }
  cv_config_unref (c->config);
}

void
cv_docs_get_versions (const cv_side_core_t *c, cv_time_t now,
                      cv_doc_versions_t *out)
{
  int64_t age = c->config_age_ms;
  int i;

  for (i = 0; i < CV_DOC_COUNT; i++)
    out->version[i] = c->doc[i].version;
  if (c->config_age_ms != UINT32_MAX)
    age += (now - c->config_age_time) / CV_MS;
  out->age_ms = age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

void
cv_docs_receive_versions (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                          const cv_doc_versions_t *v)
{
  cv_doc_versions_t own;
  int i;

  for (i = 0; i < CV_DOC_COUNT; i++)
    {
      if (v->version[i] > c->doc[i].newest_seen)
        c->doc[i].newest_seen = v->version[i];
      if (v->version[i] > c->doc[i].version)
        pull_doc (c, now, peer, (cv_doc_t)i);
    }
  cv_docs_get_versions (c, now, &own);
  if (v->version[CV_DOC_CONFIG] == own.version[CV_DOC_CONFIG]
      && v->age_ms < own.age_ms)
    {
      c->config_age_ms = v->age_ms;
      c->config_age_time = now;
    }
}

bool
cv_docs_check_config (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                      uint64_t version)
{
  cv_doc_state_t *d = &c->doc[CV_DOC_CONFIG];

  if (version > d->newest_seen)
    d->newest_seen = version;
  if (version > d->version)
    pull_doc (c, now, peer, CV_DOC_CONFIG);
  return version >= d->newest_seen;
}

void
cv_docs_send (cv_side_core_t *c, uint32_t peer, const cv_msg_doc_pull_t *m)
{
  cv_msg_t msg = { .type = CV_MSG_DOC };
  const cv_doc_state_t *d;

  if (m->doc >= CV_DOC_COUNT || c->doc[m->doc].body == NULL)
    return;
  d = &c->doc[m->doc];
  msg.u.doc.doc = m->doc;
  if (m->have != 0 && cv_history_connects (&d->history, m->have, d->version))
    {
      send_patches (c, peer, d, m->have);
      return;
    }
  msg.u.doc.version = d->version;
  msg.u.doc.body.p = d->body;
  msg.u.doc.body.n = d->size;
  cv_side_send (c, peer, &msg);
}

void
cv_docs_receive (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                 const cv_msg_doc_t *m)
{
  if (m->doc >= CV_DOC_COUNT || m->version <= c->doc[m->doc].version)
    return;
  if (m->version > c->doc[m->doc].newest_seen)
    c->doc[m->doc].newest_seen = m->version;
  switch (m->doc)
    {
    case CV_DOC_CONFIG:
      apply_config (c, now, peer, m);
      break;
    case CV_DOC_SUSPECTS:
      merge_suspects (c, now, m);
      break;
    case CV_DOC_COUNT:
      break;
    }
}

void
cv_docs_suspects_changed (cv_side_core_t *c, cv_time_t now)
{
  store_suspects (c);
  cv_running_check_suspects (c, now);
  cv_peers_report_all (c, now);
}

/* Stores the suspects as a document with a new version, above newest_seen.  */
static void
store_suspects (cv_side_core_t *c)
{
  cv_doc_state_t *d = &c->doc[CV_DOC_SUSPECTS];
  uint64_t newest = d->newest_seen > d->version ? d->newest_seen : d->version;
  cv_buf_t body;
  cv_slice_t text;

  cv_buf_init (&body);
  cv_suspects_dump (c->suspects, NULL, NULL, &body);
  text = cv_slice (cv_buf_text (&body));
  store_doc (d, cv_suspects_version (newest, text), text);
  cv_buf_finish (&body);
}

static void
store_doc (cv_doc_state_t *d, uint64_t version, cv_slice_t body)
{
  free (d->body);
  d->body = cv_strdup_n (body.p, body.n);
  d->size = body.n;
  d->version = version;
  if (version > d->newest_seen)
    d->newest_seen = version;
}

/* Sends the patches that lead from version HAVE to the current one.  */
static void
send_patches (cv_side_core_t *c, uint32_t peer, const cv_doc_state_t *d,
              uint64_t have)
{
  cv_msg_t msg = { .type = CV_MSG_DOC };

  msg.u.doc.doc = CV_DOC_CONFIG;
  while (have < d->version)
    {
      const cv_patch_t *patch = cv_history_find (&d->history, have);

      msg.u.doc.base = patch->from;
      msg.u.doc.version = patch->to;
      msg.u.doc.body.p = patch->text;
      msg.u.doc.body.n = patch->size;
      cv_side_send (c, peer, &msg);
      have = patch->to;
    }
}

static void
apply_config (cv_side_core_t *c, cv_time_t now, uint32_t peer,
              const cv_msg_doc_t *m)
{
  cv_doc_state_t *d = &c->doc[CV_DOC_CONFIG];
  cv_slice_t own = { d->body, d->size };
  cv_error_t err;
  cv_config_t *config = NULL;
  cv_slice_t text;
  cv_buf_t doc;

  cv_buf_init (&doc);
  if (cv_patch_apply_update (d->version, own, m->base, m->body, &doc, &err))
    {
      text = cv_slice (cv_buf_text (&doc));
      config = cv_config_parse (m->version, text, &err);
    }
  if (config == NULL)
    {
      if (err.code != CV_ERR_CONFLICT)
        cv_log (CV_EV_SIDE_DOC_INVALID, "config %llu: %s",
                (unsigned long long)m->version, err.text);
      cv_buf_finish (&doc);
      return;
    }
  cv_config_unref (c->config);
  c->config = config;
  if (m->base != 0)
    cv_history_add (&d->history, m->base, m->version, m->body);
  else if (d->body != NULL)
    cv_history_make_patch (&d->history, d->version, own, m->version, text);
  store_doc (d, m->version, text);
  cv_buf_finish (&doc);
  c->config_age_ms = UINT32_MAX;
  if (cv_peers_is_connected (c, peer)
      && c->peers[peer].versions.version[CV_DOC_CONFIG] == m->version)
    c->config_age_ms = c->peers[peer].versions.age_ms;
  c->config_age_time = now;
  cv_peers_report_all (c, now);
}

/* Merges both documents.  When the union differs from the peer's document, it
   becomes a new version, which the peer will pull.  */
static void
merge_suspects (cv_side_core_t *c, cv_time_t now, const cv_msg_doc_t *m)
{
  cv_doc_state_t *d = &c->doc[CV_DOC_SUSPECTS];
  cv_error_t err;
  cv_buf_t body;
  cv_slice_t text;

  if (!cv_suspects_merge (c->suspects, m->body, &err))
    {
      cv_log (CV_EV_SIDE_DOC_INVALID, "suspects: %s", err.text);
      return;
    }
  cv_buf_init (&body);
  cv_suspects_dump (c->suspects, NULL, NULL, &body);
  text = cv_slice (cv_buf_text (&body));
  if (cv_slice_equal (text, m->body))
    store_doc (d, m->version, text);
  else
    store_suspects (c);
  cv_buf_finish (&body);
  cv_running_check_suspects (c, now);
}

static void
pull_doc (cv_side_core_t *c, cv_time_t now, uint32_t peer, cv_doc_t doc)
{
  cv_doc_state_t *d = &c->doc[doc];
  cv_msg_t msg = { .type = CV_MSG_DOC_PULL };

  if (d->last_pull != 0 && now - d->last_pull < CV_DOC_PULL_INTERVAL)
    return;
  d->last_pull = now;
  msg.u.doc_pull.doc = doc;
  msg.u.doc_pull.have = d->version;
  cv_side_send (c, peer, &msg);
}
