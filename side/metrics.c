/* Metrics of a side as Prometheus text.  */

#include <inttypes.h>

#include "side/metrics.h"

static void counter (cv_buf_t *out, const char *name, uint64_t value);
static void gauge (cv_buf_t *out, const char *name, uint64_t value);

void
cv_side_metrics (const cv_side_core_t *c, cv_time_t now, cv_buf_t *out)
{
  const cv_side_counts_t *n = &c->counts;
  cv_load_t load;

  cv_side_load (c, now, &load);
  counter (out, "submits", n->submits);
  counter (out, "rejects", n->rejects);
  counter (out, "tokens", n->tokens);
  counter (out, "token_messages", n->token_messages);
  counter (out, "stream_ends", n->ends);
  counter (out, "engine_losses", n->engine_losses);
  counter (out, "preemptions", n->preemptions);
  counter (out, "calls", n->calls);
  counter (out, "calls_replayed", n->calls_replayed);
  counter (out, "calls_unknown", n->calls_unknown);
  gauge (out, "running", load.running);
  gauge (out, "waiting", load.waiting);
  gauge (out, "kv_used_tokens", load.kv_used);
  gauge (out, "kv_total_tokens", load.kv_total);
  gauge (out, "kv_promised_tokens", load.kv_promised);
  gauge (out, "streams", c->stream_ids.count);
  gauge (out, "tickets", c->tickets.count);
  gauge (out, "answer_bytes", c->result_bytes);
  gauge (out, "state", (uint64_t)cv_side_state (c));
  gauge (out, "config_version", c->doc[CV_DOC_CONFIG].version);
}

static void
counter (cv_buf_t *out, const char *name, uint64_t value)
{
  cv_buf_printf (out,
                 "# TYPE catkinvale_side_%s_total counter\n"
                 "catkinvale_side_%s_total %" PRIu64 "\n",
                 name, name, value);
}

static void
gauge (cv_buf_t *out, const char *name, uint64_t value)
{
  cv_buf_printf (out,
                 "# TYPE catkinvale_side_%s gauge\n"
                 "catkinvale_side_%s %" PRIu64 "\n",
                 name, name, value);
}
