/* Core of a side: initialization, message dispatch, ticks.  */

#include <stdlib.h>

#include "side/core.h"

#define LENGTH_KEYS 4096 /* account, class and model combinations */

static bool is_answer (cv_msg_type_t type);

void
cv_side_init (cv_side_core_t *c, cv_time_t now,
              const cv_side_core_settings_t *set, cv_side_emit_t emit,
              void *arg)
{
  *c = (cv_side_core_t){ .settings = *set, .emit = emit, .arg = arg };
  c->last_tick = now;
  c->config_age_ms = UINT32_MAX;
  c->gate = cv_gate_new (set->kv_tokens, set->max_batch);
  c->lengths = cv_length_new (LENGTH_KEYS);
  c->suspects = cv_suspects_new ();
  cv_streams_init (c);
  cv_calls_init (c, now);
  cv_orders_init (c, now);
}

void
cv_side_finish (cv_side_core_t *c)
{
  cv_streams_finish (c);
  cv_calls_finish (c);
  cv_docs_finish (c);
  cv_orders_finish (c);
  cv_gate_free (c->gate);
  cv_length_free (c->lengths);
  cv_suspects_free (c->suspects);
  free (c->peers);
}

void
cv_side_message (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                 const cv_msg_t *msg)
{
  cv_peers_detect_freeze (c, now);
  cv_peers_record_activity (c, now, peer);
  switch (msg->type)
    {
    case CV_MSG_HELLO:
      cv_peers_hello (c, now, peer, &msg->u.hello);
      break;
    case CV_MSG_DOC_PULL:
      cv_docs_send (c, peer, &msg->u.doc_pull);
      break;
    case CV_MSG_DOC:
      cv_docs_receive (c, now, peer, &msg->u.doc);
      break;
    case CV_MSG_SUBMIT:
      cv_streams_submit (c, now, peer, &msg->u.submit);
      break;
    case CV_MSG_ATTACH:
      cv_streams_attach (c, now, peer, &msg->u.attach);
      break;
    case CV_MSG_DETACH:
      cv_streams_detach (c, now, peer, msg->u.stream.stream);
      break;
    case CV_MSG_CANCEL:
      cv_streams_cancel (c, now, peer, msg->u.stream.stream);
      break;
    case CV_MSG_CALL:
      cv_calls_submit (c, now, peer, &msg->u.call);
      break;
    case CV_MSG_REVOKE:
      cv_calls_revoke (c, now, peer, &msg->u.revoke);
      break;
    case CV_MSG_REPORT:
    case CV_MSG_ACCEPTED:
    case CV_MSG_REJECTED:
    case CV_MSG_TOKENS:
    case CV_MSG_END:
    case CV_MSG_CALL_RESULT:
    case CV_MSG_ENGINE_LOAD:
    case CV_MSG_MOVE:
    case CV_MSG_ROOM:
    case CV_MSG_RATE:
    case CV_MSG_ORIGIN:
    case CV_MSG_PAGE:
    case CV_MSG_SHARE:
    case CV_MSG_LAST:
      break; /* for entries only */
    }
}

void
cv_side_tick (cv_side_core_t *c, cv_time_t now, int64_t wall_s)
{
  cv_peers_detect_freeze (c, now);
  c->last_tick = now;
  c->wall_s = wall_s;
  cv_peers_tick (c, now);
  cv_streams_tick (c, now);
  cv_calls_tick (c, now);
  cv_orders_tick (c, now);
  cv_drain_tick (c, now);
  c->gate_stale = true; /* the gate depends on time and progress too */
  cv_side_flush (c, now);
}

void
cv_side_flush (cv_side_core_t *c, cv_time_t now)
{
  cv_running_schedule (c, now);
  cv_calls_start_queued (c, now);
  cv_streams_flush (c);
}

void
cv_side_send (cv_side_core_t *c, uint32_t peer, const cv_msg_t *msg)
{
  cv_side_out_t out = { .type = CV_OUT_SEND };

  if (!cv_peers_is_connected (c, peer))
    return;
  if (is_answer (msg->type))
    c->answered_since_tick = true;
  out.u.send.peer = peer;
  out.u.send.msg = msg;
  c->emit (c->arg, &out);
}

bool
cv_side_can_admit (cv_side_core_t *c, cv_time_t now, uint32_t peer,
                   cv_pool_kind_t kind, uint64_t config_version,
                   uint64_t content_hash, cv_reject_t *reason)
{
  if (!cv_peers_has_recent_hello (c, peer))
    {
      *reason = CV_REJECT_ENGINE;
      return false;
    }
  if (!cv_docs_check_config (c, now, peer, config_version))
    *reason = CV_REJECT_OLD_CONFIG;
  else if (c->draining)
    *reason = CV_REJECT_DRAINING;
  else if (!c->backend_up || c->settings.kind != kind)
    *reason = CV_REJECT_ENGINE;
  else if (cv_suspects_state (c->suspects, content_hash, c->wall_s)
           == CV_CONTENT_QUARANTINED)
    *reason = CV_REJECT_QUARANTINED;
  else
    return true;
  return false;
}

void
cv_side_reject (cv_side_core_t *c, uint32_t peer, cv_id_t id,
                cv_reject_t reason, uint32_t retry_after_ms)
{
  cv_msg_t msg = { .type = CV_MSG_REJECTED };

  msg.u.rejected.id = id;
  msg.u.rejected.reason = reason;
  msg.u.rejected.retry_after_ms = retry_after_ms;
  c->counts.rejects++;
  cv_side_send (c, peer, &msg);
}

cv_target_state_t
cv_side_state (const cv_side_core_t *c)
{
  if (c->draining)
    return CV_TARGET_STATE_DRAINING;
  return c->backend_up ? CV_TARGET_STATE_LIVE : CV_TARGET_STATE_DOWN;
}

void
cv_side_load (const cv_side_core_t *c, cv_time_t now, cv_load_t *load)
{
  cv_time_t age;

  *load = (cv_load_t){ 0 };
  if (c->settings.kind == CV_POOL_SERVICE)
    {
      load->running = c->calls_running;
      load->waiting = c->calls_queued;
      return;
    }
  cv_gate_load (c->gate, load);
  age = (now - c->engine_load_time) / CV_MS;
  load->preemptions = c->engine_load.preemptions;
  load->token_us = c->engine_load.token_us;
  load->age_ms = c->engine_load.age_ms + (uint32_t)age;
}

/* Whether an entry waits for a message of this TYPE.  */
static bool
is_answer (cv_msg_type_t type)
{
  return type == CV_MSG_ACCEPTED || type == CV_MSG_REJECTED
         || type == CV_MSG_TOKENS || type == CV_MSG_END
         || type == CV_MSG_CALL_RESULT;
}
