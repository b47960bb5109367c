/* Encoding of messages: a msgpack array [version, type, field...], with the
   fields in the order of the structures in wire.h.  */

#include <msgpack.h>
#include <string.h>

#include "wire/wire.h"

static int write_buf (void *data, const char *p, size_t n);
static void put_u64 (msgpack_packer *pk, uint64_t v);
static void put_slice (msgpack_packer *pk, cv_slice_t s);
static void put_text (msgpack_packer *pk, const char *text);
static void put_id (msgpack_packer *pk, cv_id_t id);
static void put_versions (msgpack_packer *pk, const cv_doc_versions_t *v);
static void put_load (msgpack_packer *pk, const cv_load_t *l);
static void put_ticket (msgpack_packer *pk, const cv_ticket_t *t);
static void put_report (msgpack_packer *pk, const cv_msg_report_t *m);
static void put_submit (msgpack_packer *pk, const cv_msg_submit_t *m);
static void put_call (msgpack_packer *pk, const cv_msg_call_t *m);
static void put_tokens (msgpack_packer *pk, const cv_msg_tokens_t *m);
static void put_call_result (msgpack_packer *pk, const cv_msg_call_result_t *m);
static void put_body (msgpack_packer *pk, const cv_msg_t *msg);

static int
write_buf (void *data, const char *p, size_t n)
{
  cv_buf_add (data, p, n);
  return 0;
}

static void
put_u64 (msgpack_packer *pk, uint64_t v)
{
  (void)msgpack_pack_uint64 (pk, v);
}

static void
put_slice (msgpack_packer *pk, cv_slice_t s)
{
  (void)msgpack_pack_bin (pk, s.n);
  (void)msgpack_pack_bin_body (pk, s.p, s.n);
}

static void
put_text (msgpack_packer *pk, const char *text)
{
  put_slice (pk, cv_slice (text));
}

static void
put_id (msgpack_packer *pk, cv_id_t id)
{
  cv_slice_t s = { (const char *)&id, sizeof id };

  put_slice (pk, s);
}

static void
put_versions (msgpack_packer *pk, const cv_doc_versions_t *v)
{
  for (int i = 0; i < CV_DOC_COUNT; i++)
    put_u64 (pk, v->version[i]);
  put_u64 (pk, v->age_ms);
}

static void
put_load (msgpack_packer *pk, const cv_load_t *l)
{
  put_u64 (pk, l->running);
  put_u64 (pk, l->waiting);
  put_u64 (pk, l->kv_used);
  put_u64 (pk, l->kv_total);
  put_u64 (pk, l->kv_promised);
  put_u64 (pk, l->preemptions);
  put_u64 (pk, l->token_us);
  put_u64 (pk, l->age_ms);
}

static void
put_ticket (msgpack_packer *pk, const cv_ticket_t *t)
{
  put_text (pk, t->target);
  put_u64 (pk, t->incarnation);
  put_u64 (pk, t->generation);
  put_id (pk, t->nonce);
}

static void
put_report (msgpack_packer *pk, const cv_msg_report_t *m)
{
  put_text (pk, m->target);
  put_text (pk, m->pool);
  put_text (pk, m->failure_domain);
  put_u64 (pk, m->incarnation);
  put_u64 (pk, m->generation);
  put_u64 (pk, m->state);
  put_load (pk, &m->load);
  put_versions (pk, &m->versions);
}

static bool
has_pace (const cv_msg_engine_load_t *m)
{
  return m->pace_permille > 0 || m->worst_pace_permille > 0 || m->is_slow;
}

static void
put_engine_load (msgpack_packer *pk, const cv_msg_engine_load_t *m)
{
  put_text (pk, m->target);
  put_u64 (pk, m->started_ms);
  put_u64 (pk, m->sequence);
  put_u64 (pk, m->gateways);
  put_u64 (pk, m->draining);
  put_u64 (pk, m->leaves_ms);
  put_u64 (pk, m->running);
  put_u64 (pk, m->prefilling);
  put_u64 (pk, m->waiting);
  put_u64 (pk, m->waiting_tokens);
  put_u64 (pk, m->kv_used);
  put_u64 (pk, m->kv_total);
  put_u64 (pk, m->kv_copies);
  put_u64 (pk, m->kv_peak);
  put_u64 (pk, m->prefill_backlog);
  put_u64 (pk, m->memory_pressure);
  put_u64 (pk, m->failing);
  if (!has_pace (m) && m->warmup_ms == 0)
    return;
  put_u64 (pk, m->pace_permille);
  put_u64 (pk, m->worst_pace_permille);
  put_u64 (pk, m->is_slow);
  if (m->warmup_ms > 0)
    put_u64 (pk, m->warmup_ms);
}

static void
put_migration_lease (msgpack_packer *pk, const cv_msg_migration_lease_t *m)
{
  put_text (pk, m->target);
  put_text (pk, m->run);
  put_u64 (pk, m->step);
  put_u64 (pk, m->tokens);
}

static void
put_doc (msgpack_packer *pk, const cv_msg_doc_t *m)
{
  put_u64 (pk, m->doc);
  put_u64 (pk, m->version);
  put_u64 (pk, m->base);
  put_slice (pk, m->body);
}

static void
put_reservation (msgpack_packer *pk, const cv_msg_reservation_t *m)
{
  put_text (pk, m->target);
  put_text (pk, m->run);
  put_u64 (pk, m->step);
  put_u64 (pk, m->purpose);
  put_u64 (pk, m->prompt_tokens);
  put_u64 (pk, m->produced);
  put_u64 (pk, m->expected);
  put_u64 (pk, m->limit);
  if (!m->has_rank)
    return;
  put_u64 (pk, m->rank);
  put_u64 (pk, m->in_time_ms);
  put_u64 (pk, m->left_ms);
}

static void
put_rate (msgpack_packer *pk, const cv_msg_rate_t *m)
{
  put_text (pk, m->target);
  put_u64 (pk, m->started_ms);
  put_u64 (pk, m->step);
  put_u64 (pk, m->is_limited);
  put_u64 (pk, m->micro_per_s);
  put_u64 (pk, m->age_us);
  put_u64 (pk, m->number);
  put_u64 (pk, m->priority);
  put_u64 (pk, m->wait_us);
  put_u64 (pk, m->keeper_address);
  put_u64 (pk, m->keeper_port);
}

static void
put_origin (msgpack_packer *pk, const cv_msg_origin_t *m)
{
  put_u64 (pk, m->step);
  put_u64 (pk, m->key);
  put_u64 (pk, m->version);
  put_u64 (pk, m->number);
  put_text (pk, m->service);
  put_u64 (pk, m->is_mixed);
}

static void
put_page (msgpack_packer *pk, const cv_msg_page_t *m)
{
  put_u64 (pk, m->kind);
  put_u64 (pk, m->has_era);
  put_u64 (pk, m->era);
  put_u64 (pk, m->from);
  put_u64 (pk, m->to);
  put_u64 (pk, m->may_have_expired);
  put_slice (pk, m->body);
  if (m->late_ms > 0)
    put_u64 (pk, m->late_ms);
}

static void
put_share (msgpack_packer *pk, const cv_msg_share_t *m)
{
  CV_INVARIANT (m->count <= CV_SHARES_MAX);
  put_u64 (pk, m->sequence);
  (void)msgpack_pack_array (pk, m->count * CV_SHARE_ITEMS);
  for (uint32_t i = 0; i < m->count; i++)
    {
      put_text (pk, m->share[i].target);
      put_u64 (pk, m->share[i].tokens);
      put_u64 (pk, m->share[i].prefill_tokens);
      put_u64 (pk, m->share[i].requests);
    }
}

static void
put_hello (msgpack_packer *pk, const cv_msg_hello_t *m)
{
  put_text (pk, m->instance);
  put_u64 (pk, m->incarnation);
  put_u64 (pk, m->report_ms);
  put_versions (pk, &m->versions);
}

static void
put_submit (msgpack_packer *pk, const cv_msg_submit_t *m)
{
  put_id (pk, m->stream);
  put_u64 (pk, m->incarnation);
  put_u64 (pk, m->config_version);
  put_text (pk, m->account);
  put_text (pk, m->class_name);
  put_text (pk, m->model);
  put_u64 (pk, m->priority);
  put_u64 (pk, m->max_tokens);
  put_u64 (pk, m->deadline_ms);
  put_u64 (pk, m->expect);
  put_u64 (pk, m->content_hash);
  put_slice (pk, m->prompt);
}

static void
put_call (msgpack_packer *pk, const cv_msg_call_t *m)
{
  put_id (pk, m->request);
  put_ticket (pk, &m->ticket);
  put_u64 (pk, m->config_version);
  put_text (pk, m->account);
  put_text (pk, m->method);
  put_slice (pk, m->path);
  put_slice (pk, m->content_type);
  put_slice (pk, m->body);
  put_u64 (pk, m->deadline_ms);
  put_u64 (pk, m->content_hash);
}

static void
put_tokens (msgpack_packer *pk, const cv_msg_tokens_t *m)
{
  CV_INVARIANT (m->count <= CV_TOKENS_MAX);
  put_id (pk, m->stream);
  put_u64 (pk, m->offset);
  (void)msgpack_pack_array (pk, m->count);
  for (uint32_t i = 0; i < m->count; i++)
    put_slice (pk, m->token[i]);
}

static void
put_call_result (msgpack_packer *pk, const cv_msg_call_result_t *m)
{
  put_id (pk, m->request);
  put_u64 (pk, m->outcome);
  put_u64 (pk, m->status);
  put_u64 (pk, m->replayed);
  put_slice (pk, m->content_type);
  put_slice (pk, m->body);
}

/* Of the messages of gateways and observers, which are datagrams.  */
static void
put_datagram_body (msgpack_packer *pk, const cv_msg_t *msg)
{
  switch (msg->type)
    {
    case CV_MSG_ENGINE_LOAD:
      put_engine_load (pk, &msg->u.engine_load);
      return;
    case CV_MSG_MOVE:
      put_migration_lease (pk, &msg->u.migration_lease);
      return;
    case CV_MSG_ROOM:
      put_reservation (pk, &msg->u.reservation);
      return;
    case CV_MSG_RATE:
      put_rate (pk, &msg->u.rate);
      return;
    case CV_MSG_ORIGIN:
      put_origin (pk, &msg->u.origin);
      return;
    case CV_MSG_PAGE:
      put_page (pk, &msg->u.page);
      return;
    case CV_MSG_SHARE:
      put_share (pk, &msg->u.share);
      return;
    default:
      return;
    }
}

static void
put_body (msgpack_packer *pk, const cv_msg_t *msg)
{
  switch (msg->type)
    {
    case CV_MSG_HELLO:
      put_hello (pk, &msg->u.hello);
      break;
    case CV_MSG_REPORT:
      put_report (pk, &msg->u.report);
      break;
    case CV_MSG_DOC_PULL:
      put_u64 (pk, msg->u.doc_pull.doc);
      put_u64 (pk, msg->u.doc_pull.have);
      break;
    case CV_MSG_DOC:
      put_doc (pk, &msg->u.doc);
      break;
    case CV_MSG_SUBMIT:
      put_submit (pk, &msg->u.submit);
      break;
    case CV_MSG_ATTACH:
      put_id (pk, msg->u.attach.stream);
      put_u64 (pk, msg->u.attach.incarnation);
      put_u64 (pk, msg->u.attach.offset);
      put_text (pk, msg->u.attach.account);
      break;
    case CV_MSG_DETACH:
    case CV_MSG_CANCEL:
      put_id (pk, msg->u.stream.stream);
      break;
    case CV_MSG_CALL:
      put_call (pk, &msg->u.call);
      break;
    case CV_MSG_REVOKE:
      put_id (pk, msg->u.revoke.request);
      put_ticket (pk, &msg->u.revoke.ticket);
      put_text (pk, msg->u.revoke.account);
      break;
    case CV_MSG_ACCEPTED:
      put_id (pk, msg->u.accepted.stream);
      break;
    case CV_MSG_REJECTED:
      put_id (pk, msg->u.rejected.id);
      put_u64 (pk, msg->u.rejected.reason);
      put_u64 (pk, msg->u.rejected.retry_after_ms);
      break;
    case CV_MSG_TOKENS:
      put_tokens (pk, &msg->u.tokens);
      break;
    case CV_MSG_END:
      put_id (pk, msg->u.end.stream);
      put_u64 (pk, msg->u.end.end);
      put_u64 (pk, msg->u.end.total);
      break;
    case CV_MSG_CALL_RESULT:
      put_call_result (pk, &msg->u.call_result);
      break;
    case CV_MSG_ENGINE_LOAD:
    case CV_MSG_MOVE:
    case CV_MSG_ROOM:
    case CV_MSG_RATE:
    case CV_MSG_ORIGIN:
    case CV_MSG_PAGE:
    case CV_MSG_SHARE:
      put_datagram_body (pk, msg);
      break;
    case CV_MSG_LAST:
      break;
    }
}

/* Number of fields of each message, without version and type.  */
static const uint8_t field_count[CV_MSG_LAST] = {
  [CV_MSG_HELLO] = 6,        [CV_MSG_REPORT] = 17,  [CV_MSG_DOC_PULL] = 2,
  [CV_MSG_DOC] = 4,          [CV_MSG_SUBMIT] = 12,  [CV_MSG_ATTACH] = 4,
  [CV_MSG_DETACH] = 1,       [CV_MSG_CANCEL] = 1,   [CV_MSG_CALL] = 13,
  [CV_MSG_REVOKE] = 6,       [CV_MSG_ACCEPTED] = 1, [CV_MSG_REJECTED] = 3,
  [CV_MSG_TOKENS] = 3,       [CV_MSG_END] = 3,      [CV_MSG_CALL_RESULT] = 6,
  [CV_MSG_ENGINE_LOAD] = 17, [CV_MSG_MOVE] = 4,     [CV_MSG_ROOM] = 8,
  [CV_MSG_RATE] = 11,        [CV_MSG_ORIGIN] = 6,   [CV_MSG_PAGE] = 7,
  [CV_MSG_SHARE] = 2,
};

/* Number of fields that MSG has beyond those.  */
static uint32_t
optional_count (const cv_msg_t *msg)
{
  if (msg->type == CV_MSG_PAGE)
    return msg->u.page.late_ms > 0;
  if (msg->type == CV_MSG_ENGINE_LOAD)
    return msg->u.engine_load.warmup_ms > 0 ? 4
           : has_pace (&msg->u.engine_load) ? 3
                                            : 0;
  if (msg->type == CV_MSG_ROOM)
    return msg->u.reservation.has_rank ? 3 : 0;
  return 0;
}

void
cv_msg_encode (const cv_msg_t *msg, cv_buf_t *out)
{
  msgpack_packer pk;

  CV_INVARIANT (msg->type > 0 && msg->type < CV_MSG_LAST);
  msgpack_packer_init (&pk, out, write_buf);
  (void)msgpack_pack_array (&pk,
                            field_count[msg->type] + optional_count (msg) + 2u);
  put_u64 (&pk, CV_WIRE_VERSION);
  put_u64 (&pk, msg->type);
  put_body (&pk, msg);
}
