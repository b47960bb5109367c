/* Decoding of messages.  Every field is checked for kind, range and length
   before use; slices point into the frame.  */

#include <msgpack.h>
#include <string.h>

#include "wire/wire.h"

/* First bytes of the msgpack items that messages are made of.  */
#define BYTE_FIXINT_LAST 0x7f
#define BYTE_FIXARRAY 0x90
#define BYTE_BIN8 0xc4
#define BYTE_UINT8 0xcc
#define BYTE_ARRAY16 0xdc
/* Array nesting: a message, and the tokens of CV_MSG_TOKENS within it.  */
#define NESTING_MAX 2

/* Reads the fields of one message in order.  After the first invalid field OK
   stays false and every further read returns zero.  */
typedef struct
{
  const msgpack_object *next;
  uint32_t left;
  bool ok;
} cursor_t;

static bool read_length (const uint8_t *p, size_t n, size_t *at, int width,
                         uint32_t *length);
static bool skip_bin (const uint8_t *p, size_t n, size_t *at);
static bool skip_item (const uint8_t *p, size_t n, size_t *at, int depth);
static bool skip_array (const uint8_t *p, size_t n, size_t *at, uint32_t count,
                        int depth);
static const msgpack_object *next_item (cursor_t *c);
static uint64_t get_u64 (cursor_t *c, uint64_t max);
static cv_slice_t get_slice (cursor_t *c, size_t max);
static void get_text (cursor_t *c, char *dst, size_t size);
static cv_id_t get_id (cursor_t *c);
static void get_versions (cursor_t *c, cv_doc_versions_t *v);
static void get_load (cursor_t *c, cv_load_t *l);
static void get_ticket (cursor_t *c, cv_ticket_t *t);
static void get_report (cursor_t *c, cv_msg_report_t *m);
static void get_submit (cursor_t *c, cv_msg_submit_t *m);
static void get_call (cursor_t *c, cv_msg_call_t *m);
static void get_tokens (cursor_t *c, cv_msg_tokens_t *m);
static void get_call_result (cursor_t *c, cv_msg_call_result_t *m);
static void get_body (cursor_t *c, cv_msg_t *msg);
static bool get_message (const msgpack_object *root, cv_msg_t *msg);

/* msgpack-c allocates an array by the length that the frame declares.  The
   frame is therefore validated first: it may hold only arrays, unsigned
   integers and byte strings, each of which ends within the frame.  */

/* Reads a big-endian length of WIDTH bytes at *AT and advances *AT.  */
static bool
read_length (const uint8_t *p, size_t n, size_t *at, int width,
             uint32_t *length)
{
  if (n - *at < (size_t)width)
    return false;
  *length = 0;
  for (int i = 0; i < width; i++)
    *length = *length << 8 | p[(*at)++];
  return true;
}

static bool
skip_bin (const uint8_t *p, size_t n, size_t *at)
{
  int width = 1 << (p[*at - 1] - BYTE_BIN8);
  uint32_t length;

  if (!read_length (p, n, at, width, &length) || n - *at < length)
    return false;
  *at += length;
  return true;
}

static bool
skip_array (const uint8_t *p, size_t n, size_t *at, uint32_t count, int depth)
{
  /* Each element has at least one byte.  */
  if (depth >= NESTING_MAX || n - *at < count)
    return false;
  for (uint32_t i = 0; i < count; i++)
    if (!skip_item (p, n, at, depth + 1))
      return false;
  return true;
}

static bool
skip_item (const uint8_t *p, size_t n, size_t *at, int depth)
{
  uint32_t count;
  uint8_t byte;

  if (*at >= n)
    return false;
  byte = p[(*at)++];
  if (byte <= BYTE_FIXINT_LAST)
    return true;
  if (byte >= BYTE_UINT8 && byte <= BYTE_UINT8 + 3)
    {
      *at += (size_t)1 << (byte - BYTE_UINT8);
      return *at <= n;
    }
  if (byte >= BYTE_BIN8 && byte <= BYTE_BIN8 + 2)
    return skip_bin (p, n, at);
  if ((byte & 0xf0) == BYTE_FIXARRAY)
    return skip_array (p, n, at, byte & 0x0f, depth);
  if (byte == BYTE_ARRAY16 && read_length (p, n, at, 2, &count))
    return skip_array (p, n, at, count, depth);
  return false;
}

static const msgpack_object *
next_item (cursor_t *c)
{
  if (!c->ok || c->left == 0)
    {
      c->ok = false;
      return NULL;
    }
  c->left--;
  return c->next++;
}

static uint64_t
get_u64 (cursor_t *c, uint64_t max)
{
  const msgpack_object *o = next_item (c);

  if (o == NULL)
    return 0;
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max)
    {
      c->ok = false;
      return 0;
    }
  return o->via.u64;
}

static cv_slice_t
get_slice (cursor_t *c, size_t max)
{
  const msgpack_object *o = next_item (c);
  cv_slice_t s = { "", 0 };

  if (o == NULL)
    return s;
  if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size > max)
    {
      c->ok = false;
      return s;
    }
  s.p = o->via.bin.ptr;
  s.n = o->via.bin.size;
  return s;
}

static void
get_text (cursor_t *c, char *dst, size_t size)
{
  cv_slice_t s = get_slice (c, size - 1);

  if (memchr (s.p, '\0', s.n) != NULL || !cv_copy_slice (dst, size, s))
    c->ok = false;
}

static cv_id_t
get_id (cursor_t *c)
{
  cv_id_t id = { 0, 0 };
  cv_slice_t s = get_slice (c, sizeof id);

  if (s.n == sizeof id)
    memcpy (&id, s.p, sizeof id);
  else
    c->ok = false;
  return id;
}

static void
get_versions (cursor_t *c, cv_doc_versions_t *v)
{
  for (int i = 0; i < CV_DOC_COUNT; i++)
    v->version[i] = get_u64 (c, UINT64_MAX);
  v->age_ms = (uint32_t)get_u64 (c, UINT32_MAX);
}

static void
get_load (cursor_t *c, cv_load_t *l)
{
  l->running = (uint32_t)get_u64 (c, UINT32_MAX);
  l->waiting = (uint32_t)get_u64 (c, UINT32_MAX);
  l->kv_used = get_u64 (c, UINT64_MAX);
  l->kv_total = get_u64 (c, UINT64_MAX);
  l->kv_promised = get_u64 (c, UINT64_MAX);
  l->preemptions = get_u64 (c, UINT64_MAX);
  l->token_us = (uint32_t)get_u64 (c, UINT32_MAX);
  l->age_ms = (uint32_t)get_u64 (c, UINT32_MAX);
}

static void
get_ticket (cursor_t *c, cv_ticket_t *t)
{
  get_text (c, t->target, sizeof t->target);
  t->incarnation = get_u64 (c, UINT64_MAX);
  t->generation = (uint32_t)get_u64 (c, UINT32_MAX);
  t->nonce = get_id (c);
}

static void
get_report (cursor_t *c, cv_msg_report_t *m)
{
  get_text (c, m->target, sizeof m->target);
  get_text (c, m->pool, sizeof m->pool);
  get_text (c, m->failure_domain, sizeof m->failure_domain);
  m->incarnation = get_u64 (c, UINT64_MAX);
  m->generation = (uint32_t)get_u64 (c, UINT32_MAX);
  m->state = (cv_target_state_t)get_u64 (c, CV_TARGET_STATE_DOWN);
  get_load (c, &m->load);
  get_versions (c, &m->versions);
  if (m->state < CV_TARGET_STATE_LIVE)
    c->ok = false;
}

static void
get_engine_load (cursor_t *c, cv_msg_engine_load_t *m)
{
  get_text (c, m->target, sizeof m->target);
  m->started_ms = get_u64 (c, UINT64_MAX);
  m->sequence = get_u64 (c, UINT64_MAX);
  m->gateways = (uint32_t)get_u64 (c, UINT32_MAX);
  m->draining = get_u64 (c, 1) != 0;
  m->leaves_ms = (uint32_t)get_u64 (c, UINT32_MAX);
  m->running = (uint32_t)get_u64 (c, UINT32_MAX);
  m->prefilling = (uint32_t)get_u64 (c, UINT32_MAX);
  m->waiting = (uint32_t)get_u64 (c, UINT32_MAX);
  m->waiting_tokens = (uint32_t)get_u64 (c, UINT32_MAX);
  m->kv_used = get_u64 (c, UINT64_MAX);
  m->kv_total = get_u64 (c, UINT64_MAX);
  m->kv_copies = get_u64 (c, UINT64_MAX);
  m->kv_peak = get_u64 (c, UINT64_MAX);
  m->prefill_backlog = get_u64 (c, UINT64_MAX);
  m->memory_pressure
      = (cv_memory_pressure_t)get_u64 (c, CV_PRESSURE_OVERCOMMITTED);
  m->failing = get_u64 (c, 1) != 0;
  c->ok = c->ok && m->memory_pressure >= CV_PRESSURE_NONE;
  /* Not sent if they are 0.  */
  m->pace_permille = m->worst_pace_permille = 0;
  m->is_slow = false;
  m->warmup_ms = 0;
  if (!c->ok || c->left == 0)
    return;
  m->pace_permille = (uint32_t)get_u64 (c, CV_PACE_PERMILLE_MAX);
  m->worst_pace_permille = (uint32_t)get_u64 (c, CV_PACE_PERMILLE_MAX);
  m->is_slow = get_u64 (c, 1) != 0;
  if (c->ok && c->left > 0)
    m->warmup_ms = (uint32_t)get_u64 (c, UINT32_MAX);
}

static void
get_migration_lease (cursor_t *c, cv_msg_migration_lease_t *m)
{
  get_text (c, m->target, sizeof m->target);
  get_text (c, m->run, sizeof m->run);
  m->step = (cv_lease_step_t)get_u64 (c, CV_LEASE_WAITS);
  m->tokens = get_u64 (c, UINT64_MAX);
  c->ok = c->ok && m->step >= CV_LEASE_REQUESTED;
}

static void
get_doc (cursor_t *c, cv_msg_doc_t *m)
{
  m->doc = (cv_doc_t)get_u64 (c, CV_DOC_COUNT - 1);
  m->version = get_u64 (c, UINT64_MAX);
  m->base = get_u64 (c, UINT64_MAX);
  m->body = get_slice (c, CV_BODY_MAX);
}

static void
get_attach (cursor_t *c, cv_msg_attach_t *m)
{
  m->stream = get_id (c);
  m->incarnation = get_u64 (c, UINT64_MAX);
  m->offset = (uint32_t)get_u64 (c, UINT32_MAX);
  get_text (c, m->account, sizeof m->account);
}

static void
get_reservation (cursor_t *c, cv_msg_reservation_t *m)
{
  get_text (c, m->target, sizeof m->target);
  get_text (c, m->run, sizeof m->run);
  m->step = (cv_reservation_step_t)get_u64 (c, CV_RESERVATION_RELEASED);
  m->purpose = (cv_reservation_purpose_t)get_u64 (c, CV_RESERVE_RESCUE);
  m->prompt_tokens = (uint32_t)get_u64 (c, UINT32_MAX);
  m->produced = (uint32_t)get_u64 (c, UINT32_MAX);
  m->expected = (uint32_t)get_u64 (c, UINT32_MAX);
  m->limit = (uint32_t)get_u64 (c, UINT32_MAX);
  m->has_rank = c->ok && c->left > 0;
  m->rank = m->has_rank ? (uint32_t)get_u64 (c, UINT32_MAX) : 0;
  m->in_time_ms = m->has_rank ? (uint32_t)get_u64 (c, UINT32_MAX) : 0;
  m->left_ms = m->has_rank ? (uint32_t)get_u64 (c, UINT32_MAX) : 0;
  c->ok = c->ok && m->step >= CV_RESERVATION_REQUESTED
          && m->purpose >= CV_RESERVE_NEW;
}

static void
get_rate (cursor_t *c, cv_msg_rate_t *m)
{
  get_text (c, m->target, sizeof m->target);
  m->started_ms = get_u64 (c, UINT64_MAX);
  m->step = (cv_rate_step_t)get_u64 (c, CV_RATE_RETURNED);
  m->is_limited = get_u64 (c, 1) == 1;
  m->micro_per_s = get_u64 (c, UINT64_MAX);
  m->age_us = get_u64 (c, INT64_MAX);
  m->number = get_u64 (c, UINT64_MAX);
  m->priority = (uint32_t)get_u64 (c, UINT32_MAX);
  m->wait_us = get_u64 (c, INT64_MAX);
  m->keeper_address = (uint32_t)get_u64 (c, UINT32_MAX);
  m->keeper_port = (uint32_t)get_u64 (c, UINT16_MAX);
  c->ok = c->ok && m->step >= CV_RATE_NAMED;
}

static void
get_share (cursor_t *c, cv_msg_share_t *m)
{
  const msgpack_object *o;
  cursor_t items;

  m->sequence = get_u64 (c, UINT64_MAX);
  o = next_item (c);
  if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY
      || o->via.array.size > CV_SHARES_MAX * CV_SHARE_ITEMS
      || o->via.array.size % CV_SHARE_ITEMS != 0)
    {
      c->ok = false;
      return;
    }
  items.next = o->via.array.ptr;
  items.left = o->via.array.size;
  items.ok = true;
  m->count = o->via.array.size / CV_SHARE_ITEMS;
  for (uint32_t i = 0; i < m->count; i++)
    {
      get_text (&items, m->share[i].target, sizeof m->share[i].target);
      m->share[i].tokens = get_u64 (&items, UINT32_MAX);
      m->share[i].prefill_tokens = get_u64 (&items, UINT32_MAX);
      m->share[i].requests = (uint32_t)get_u64 (&items, UINT32_MAX);
    }
  c->ok = c->ok && items.ok;
}

static void
get_origin (cursor_t *c, cv_msg_origin_t *m)
{
  m->step = (cv_origin_step_t)get_u64 (c, CV_ORIGIN_UNKNOWN);
  m->key = get_u64 (c, UINT64_MAX);
  m->version = get_u64 (c, UINT64_MAX);
  m->number = get_u64 (c, UINT64_MAX);
  get_text (c, m->service, sizeof m->service);
  m->is_mixed = get_u64 (c, 1) == 1;
  c->ok = c->ok && m->step >= CV_ORIGIN_RECORDED;
}

static void
get_page (cursor_t *c, cv_msg_page_t *m)
{
  m->kind = (cv_page_kind_t)get_u64 (c, CV_PAGE_EVACUATIONS);
  m->has_era = get_u64 (c, 1) == 1;
  m->era = get_u64 (c, UINT64_MAX);
  m->from = get_u64 (c, UINT64_MAX);
  m->to = get_u64 (c, UINT64_MAX);
  m->may_have_expired = get_u64 (c, 1) == 1;
  m->body = get_slice (c, CV_BODY_MAX);
  /* Not sent if it is 0.  */
  m->late_ms = c->ok && c->left > 0 ? get_u64 (c, UINT32_MAX) : 0;
  c->ok = c->ok && m->kind >= CV_PAGE_CONFIGURATION;
}

static void
get_rejected (cursor_t *c, cv_msg_rejected_t *m)
{
  m->id = get_id (c);
  m->reason = (cv_reject_t)get_u64 (c, CV_REJECT_ENGINE);
  m->retry_after_ms = (uint32_t)get_u64 (c, UINT32_MAX);
  c->ok = c->ok && m->reason >= CV_REJECT_DRAINING;
}

static void
get_hello (cursor_t *c, cv_msg_hello_t *m)
{
  get_text (c, m->instance, sizeof m->instance);
  m->incarnation = get_u64 (c, UINT64_MAX);
  m->report_ms = (uint32_t)get_u64 (c, UINT32_MAX);
  get_versions (c, &m->versions);
}

static void
get_submit (cursor_t *c, cv_msg_submit_t *m)
{
  m->stream = get_id (c);
  m->incarnation = get_u64 (c, UINT64_MAX);
  m->config_version = get_u64 (c, UINT64_MAX);
  get_text (c, m->account, sizeof m->account);
  get_text (c, m->class_name, sizeof m->class_name);
  get_text (c, m->model, sizeof m->model);
  m->priority = (uint32_t)get_u64 (c, UINT32_MAX);
  m->max_tokens = (uint32_t)get_u64 (c, UINT32_MAX);
  m->deadline_ms = (uint32_t)get_u64 (c, UINT32_MAX);
  m->expect = (uint32_t)get_u64 (c, UINT32_MAX);
  m->content_hash = get_u64 (c, UINT64_MAX);
  m->prompt = get_slice (c, CV_BODY_MAX);
}

static void
get_call (cursor_t *c, cv_msg_call_t *m)
{
  m->request = get_id (c);
  get_ticket (c, &m->ticket);
  m->config_version = get_u64 (c, UINT64_MAX);
  get_text (c, m->account, sizeof m->account);
  get_text (c, m->method, sizeof m->method);
  m->path = get_slice (c, CV_BODY_MAX);
  m->content_type = get_slice (c, CV_BODY_MAX);
  m->body = get_slice (c, CV_BODY_MAX);
  m->deadline_ms = (uint32_t)get_u64 (c, UINT32_MAX);
  m->content_hash = get_u64 (c, UINT64_MAX);
}

static void
get_tokens (cursor_t *c, cv_msg_tokens_t *m)
{
  const msgpack_object *o;
  cursor_t items;

  m->stream = get_id (c);
  m->offset = (uint32_t)get_u64 (c, UINT32_MAX - CV_TOKENS_MAX);
  o = next_item (c);
  if (o == NULL || o->type != MSGPACK_OBJECT_ARRAY
      || o->via.array.size > CV_TOKENS_MAX)
    {
      c->ok = false;
      return;
    }
  items.next = o->via.array.ptr;
  items.left = o->via.array.size;
  items.ok = true;
  m->count = o->via.array.size;
  for (uint32_t i = 0; i < m->count; i++)
    m->token[i] = get_slice (&items, CV_BODY_MAX);
  c->ok = c->ok && items.ok;
}

static void
get_call_result (cursor_t *c, cv_msg_call_result_t *m)
{
  m->request = get_id (c);
  m->outcome = (cv_outcome_t)get_u64 (c, CV_OUTCOME_INTERRUPTED);
  m->status = (uint32_t)get_u64 (c, 999);
  m->replayed = get_u64 (c, 1) != 0;
  m->content_type = get_slice (c, CV_BODY_MAX);
  m->body = get_slice (c, CV_BODY_MAX);
}

/* Of the messages of gateways and observers, which are datagrams.  */
static void
get_datagram_body (cursor_t *c, cv_msg_t *msg)
{
  switch (msg->type)
    {
    case CV_MSG_ENGINE_LOAD:
      get_engine_load (c, &msg->u.engine_load);
      return;
    case CV_MSG_MOVE:
      get_migration_lease (c, &msg->u.migration_lease);
      return;
    case CV_MSG_ROOM:
      get_reservation (c, &msg->u.reservation);
      return;
    case CV_MSG_RATE:
      get_rate (c, &msg->u.rate);
      return;
    case CV_MSG_ORIGIN:
      get_origin (c, &msg->u.origin);
      return;
    case CV_MSG_PAGE:
      get_page (c, &msg->u.page);
      return;
    case CV_MSG_SHARE:
      get_share (c, &msg->u.share);
      return;
    default:
      c->ok = false;
      return;
    }
}

static void
get_body (cursor_t *c, cv_msg_t *msg)
{
  switch (msg->type)
    {
    case CV_MSG_HELLO:
      get_hello (c, &msg->u.hello);
      break;
    case CV_MSG_REPORT:
      get_report (c, &msg->u.report);
      break;
    case CV_MSG_DOC_PULL:
      msg->u.doc_pull.doc = (cv_doc_t)get_u64 (c, CV_DOC_COUNT - 1);
      msg->u.doc_pull.have = get_u64 (c, UINT64_MAX);
      break;
    case CV_MSG_DOC:
      get_doc (c, &msg->u.doc);
      break;
    case CV_MSG_SUBMIT:
      get_submit (c, &msg->u.submit);
      break;
    case CV_MSG_ATTACH:
      get_attach (c, &msg->u.attach);
      break;
    case CV_MSG_DETACH:
    case CV_MSG_CANCEL:
      msg->u.stream.stream = get_id (c);
      break;
    case CV_MSG_CALL:
      get_call (c, &msg->u.call);
      break;
    case CV_MSG_REVOKE:
      msg->u.revoke.request = get_id (c);
      get_ticket (c, &msg->u.revoke.ticket);
      get_text (c, msg->u.revoke.account, sizeof msg->u.revoke.account);
      break;
    case CV_MSG_ACCEPTED:
      msg->u.accepted.stream = get_id (c);
      break;
    case CV_MSG_REJECTED:
      get_rejected (c, &msg->u.rejected);
      break;
    case CV_MSG_TOKENS:
      get_tokens (c, &msg->u.tokens);
      break;
    case CV_MSG_END:
      msg->u.end.stream = get_id (c);
      msg->u.end.end = (cv_end_t)get_u64 (c, CV_END_RECLAIMED);
      msg->u.end.total = (uint32_t)get_u64 (c, UINT32_MAX);
      c->ok = c->ok && msg->u.end.end >= CV_END_STOP;
      break;
    case CV_MSG_CALL_RESULT:
      get_call_result (c, &msg->u.call_result);
      break;
    case CV_MSG_ENGINE_LOAD:
    case CV_MSG_MOVE:
    case CV_MSG_ROOM:
    case CV_MSG_RATE:
    case CV_MSG_ORIGIN:
    case CV_MSG_PAGE:
    case CV_MSG_SHARE:
      get_datagram_body (c, msg);
      break;
    case CV_MSG_LAST:
      c->ok = false;
      break;
    }
}

static bool
get_message (const msgpack_object *root, cv_msg_t *msg)
{
  cursor_t c;

  if (root->type != MSGPACK_OBJECT_ARRAY)
    return false;
  c.next = root->via.array.ptr;
  c.left = root->via.array.size;
  c.ok = true;
  if (get_u64 (&c, UINT64_MAX) != CV_WIRE_VERSION)
    return false;
  msg->type = (cv_msg_type_t)get_u64 (&c, CV_MSG_LAST - 1);
  if (!c.ok || msg->type < CV_MSG_HELLO)
    return false;
  get_body (&c, msg);
  return c.ok && c.left == 0;
}

bool
cv_msg_decode (cv_msg_t *msg, const void *data, size_t n, cv_error_t *err)
{
  msgpack_unpacked unpacked;
  size_t offset = 0;
  size_t end = 0;
  msgpack_unpack_return got;
  bool ok;

  if (!skip_item (data, n, &end, 0) || end != n)
    return cv_fail (err, CV_ERR_INVALID,
                    "message of %zu bytes: malformed msgpack", n);
  msgpack_unpacked_init (&unpacked);
  got = msgpack_unpack_next (&unpacked, data, n, &offset);
  ok = got == MSGPACK_UNPACK_SUCCESS && offset == n
       && get_message (&unpacked.data, msg);
  msgpack_unpacked_destroy (&unpacked);
  if (!ok)
    return cv_fail (
        err, CV_ERR_INVALID,
        "message of %zu bytes: unknown version or type, or invalid field", n);
  return true;
}
