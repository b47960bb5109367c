/* Encodes responses to callers: the gateway's own, and the heads and framing
   of those of targets.  */

#include <string.h>

#include "gateway/state.h"

static const char *
reason_phrase (unsigned status)
{
  const char *text = http_status_str ((enum http_status)status);

  return text != NULL ? text : "Unknown";
}

void
cv_response_send_own (cv_client_t *c, unsigned status, const char *reason,
                      uint32_t retry_after_ms)
{
  cv_buf_t head;
  cv_buf_t body;

  cv_buf_init (&head);
  cv_buf_init (&body);
  if (status != 200)
    cv_buf_printf (&body, "{\"error\":\"%s\"}\n", reason);
  cv_buf_printf (&head, "HTTP/1.1 %u %s\r\n", status, reason_phrase (status));
  if (body.n > 0)
    cv_buf_printf (&head, "Content-Type: application/json\r\n");
  cv_buf_printf (&head, "Content-Length: %zu\r\n", body.n);
  if (retry_after_ms > 0)
    cv_buf_printf (&head, "Retry-After: %u.%03u\r\n", retry_after_ms / 1000,
                   retry_after_ms % 1000);
  if (cv_client_decide_close (c))
    cv_buf_printf (&head, "Connection: close\r\n");
  cv_buf_add (&head, "\r\n", 2);
  if (c->reader.head.method == HTTP_HEAD)
    cv_buf_reset (&body);
  cv_client_send (c, (cv_slice_t){ head.p, head.n },
                  (cv_slice_t){ body.p, body.n });
  cv_buf_finish (&head);
  cv_buf_finish (&body);
}

void
cv_response_encode_head (cv_buf_t *out, const cv_http_head_t *head,
                         cv_framing_t framing, size_t length, bool last)
{
  cv_buf_printf (out, "HTTP/1.1 %u %s\r\n", head->status,
                 reason_phrase (head->status));
  for (uint32_t i = 0; i < head->fields; i++)
    {
      cv_http_field_t f = cv_http_field_at (head, i);

      if (cv_http_is_connection_field (f.name)
          && !(framing == CV_FRAMING_NONE
               && cv_http_field_name_equal (f.name, "Content-Length")))
        continue;
      cv_http_add_field (out, f);
    }
  switch (framing)
    {
    case CV_FRAMING_LENGTH:
      cv_buf_printf (out, "Content-Length: %zu\r\n", length);
      break;
    case CV_FRAMING_CHUNKED:
      cv_buf_printf (out, "Transfer-Encoding: chunked\r\n");
      break;
    case CV_FRAMING_CLOSE:
    case CV_FRAMING_NONE:
      break;
    }
  if (last)
    cv_buf_printf (out, "Connection: close\r\n");
  cv_buf_add (out, "\r\n", 2);
}

void
cv_response_send_data (cv_client_t *c, cv_framing_t framing, cv_slice_t data)
{
  char size[32];
  int n;

  switch (framing)
    {
    case CV_FRAMING_CHUNKED:
      n = snprintf (size, sizeof size, "%zx\r\n", data.n);
      cv_client_send (c, (cv_slice_t){ size, (size_t)n }, data);
      cv_client_send (c, cv_slice ("\r\n"), (cv_slice_t){ NULL, 0 });
      return;
    case CV_FRAMING_LENGTH:
    case CV_FRAMING_CLOSE:
      cv_client_send (c, data, (cv_slice_t){ NULL, 0 });
      return;
    case CV_FRAMING_NONE:
      return;
    }
}

void
cv_response_end_body (cv_client_t *c, cv_framing_t framing)
{
  if (framing == CV_FRAMING_CHUNKED)
    cv_client_send (c, cv_slice ("0\r\n\r\n"), (cv_slice_t){ NULL, 0 });
}

/* Ready once the store's lists were read, even if they are empty, and until a
   stop begins.  */
void
cv_response_send_readiness (cv_client_t *c)
{
  const cv_gateway_t *g = c->port->gateway;
  bool ready = g->routing_watcher.is_synced && g->instance_watcher.is_synced
               && cv_evacuations_are_known (g)
               && cv_quarantine_store_is_ready (&g->quarantine_store)
               && !g->stopping;

  if (!cv_platform_is_ready_path (cv_http_request_target (&c->reader.head)))
    cv_response_send_own (c, 404, "no such page", 0);
  else
    cv_response_send_own (c, ready ? 200 : 503, "not ready", 0);
  cv_client_response_done (c, true);
}

static void
add_counter (cv_buf_t *out, const char *name, const char *help, uint64_t value)
{
  cv_buf_printf (out,
                 "# HELP catkinvale_gateway_%s %s\n"
                 "# TYPE catkinvale_gateway_%s counter\n"
                 "catkinvale_gateway_%s %llu\n",
                 name, help, name, name, (unsigned long long)value);
}

static void
add_histogram (cv_buf_t *out, const char *name, const char *help,
               const cv_hist_t *h)
{
  uint64_t sum = 0;

  cv_buf_printf (out,
                 "# HELP catkinvale_gateway_%s %s\n"
                 "# TYPE catkinvale_gateway_%s histogram\n",
                 name, help, name);
  for (size_t i = 0; i < cv_hist_bins (h); i++)
    {
      sum += cv_hist_bin_count (h, i);
      cv_buf_printf (out, "catkinvale_gateway_%s_bucket{le=\"%.0f\"} %llu\n",
                     name, cv_hist_upper_edge (h, i), (unsigned long long)sum);
    }
  cv_buf_printf (out,
                 "catkinvale_gateway_%s_bucket{le=\"+Inf\"} %llu\n"
                 "catkinvale_gateway_%s_sum %.0f\n"
                 "catkinvale_gateway_%s_count %llu\n",
                 name, (unsigned long long)h->count, name, h->sum, name,
                 (unsigned long long)h->count);
}

static void
add_longest_steps (cv_buf_t *out, const cv_gateway_t *g)
{
  cv_buf_printf (out, "# HELP catkinvale_gateway_longest_step_us Longest "
                      "processor time of a job in one go.\n"
                      "# TYPE catkinvale_gateway_longest_step_us gauge\n");
  for (int job = 0; job < CV_JOBS; job++)
    cv_buf_printf (out, "catkinvale_gateway_longest_step_us{job=\"%s\"} %llu\n",
                   cv_job_text ((cv_job_t)job),
                   (unsigned long long)g->longest_step_us[job]);
}

/* Time factors up to which an engine counts as faster than, and from which as
   slower than the nominal one.  */
#define FAST_PACE_MAX 0.8
#define SLOW_PACE_MIN 1.25

typedef struct
{
  uint32_t fast;
  uint32_t nominal;
  uint32_t slow;
  uint32_t unknown;
  uint32_t in_slow_phase;
  double slowest;
} pace_counts_t;

/* The engines by the pace that a placement used last.  */
static pace_counts_t
count_paces (const cv_gateway_t *g)
{
  pace_counts_t n = { 0 };
  const cv_target_t *t;

  for (t = TAILQ_FIRST (&g->targets); t != NULL; t = TAILQ_NEXT (t, entry))
    {
      const cv_pace_estimate_t *pace = &t->candidate.pace;

      if (t->candidate.memory_total == 0)
        continue;
      if (pace->factor <= 0)
        n.unknown++;
      else if (pace->factor < FAST_PACE_MAX)
        n.fast++;
      else if (pace->factor < SLOW_PACE_MIN)
        n.nominal++;
      else
        n.slow++;
      n.in_slow_phase += pace->is_slow;
      if (pace->factor > n.slowest)
        n.slowest = pace->factor;
    }
  return n;
}

static void
add_gauge (cv_buf_t *out, const char *name, const char *help, uint64_t value)
{
  cv_buf_printf (out,
                 "# HELP catkinvale_gateway_%s %s\n"
                 "# TYPE catkinvale_gateway_%s gauge\n"
                 "catkinvale_gateway_%s %llu\n",
                 name, help, name, name, (unsigned long long)value);
}

/* A count of each kind, as a label for each engine would make the page of a
   large fleet long.  */
static void
add_paces (cv_buf_t *body, const cv_gateway_t *g)
{
  pace_counts_t n = count_paces (g);

  add_gauge (body, "engines_fast", "Engines faster than the nominal one.",
             n.fast);
  add_gauge (body, "engines_nominal", "Engines of about nominal pace.",
             n.nominal);
  add_gauge (body, "engines_slow", "Engines slower than the nominal one.",
             n.slow);
  add_gauge (body, "engines_of_unknown_pace", "Engines of unknown pace.",
             n.unknown);
  add_gauge (body, "engines_in_slow_phase",
             "Engines that are much slower than usual for a short time.",
             n.in_slow_phase);
  add_gauge (body, "slowest_engine_permille",
             "Time per step of the slowest engine, in thousandths of that of "
             "the nominal one.",
             (uint64_t)(n.slowest * 1000));
}

/* Of where requests may go: cold targets, regions, evacuations.  */
static void
add_placement_counters (cv_buf_t *body, const cv_gateway_t *g)
{
  add_counter (body, "warmup_waits_total",
               "Requests chosen for a cold target that had no share left.",
               g->counts.warmup_waits);
  add_counter (body, "warmup_refusals_total",
               "Requests refused because of the shares of cold targets.",
               g->counts.warmup_refusals);
  add_counter (body, "sent_to_cold_total",
               "Attempts at cold targets with a limit.",
               g->counts.sent_to_cold);
  add_counter (body, "warmup_gateways",
               "Gateways that share cold targets; 0: not known.",
               cv_warmup_fleet_count (&g->warmup_fleet, cv_now ()));
  add_counter (body, "region_refusals_total",
               "Requests refused as no target is in their regions.",
               g->counts.region_refusals);
  add_counter (body, "evacuated_domains", "Failure domains evacuated now.",
               g->domains.count);
  add_counter (body, "evacuations_begun_total",
               "Evacuations of failure domains that began.",
               g->counts.evacuations_begun);
  add_counter (body, "evacuations_ended_total",
               "Evacuations of failure domains that ended.",
               g->counts.evacuations_ended);
  add_counter (body, "evacuation_refusals_total",
               "Requests ended because all their targets are evacuated.",
               g->counts.evacuation_refusals);
  add_counter (body, "evacuation_diversions_total",
               "Attempts whose target was evacuated before they were sent.",
               g->counts.evacuation_diversions);
  add_counter (body, "evacuations_reader",
               "Whether it reads the list of evacuations for the others.",
               g->evacuation_watcher.reader.is_reader);
}

/* Of what gateways decide together: limits of targets, versions of streams.  */
static void
add_fleet_counters (cv_buf_t *body, const cv_gateway_t *g)
{
  add_counter (body, "limit_waits_total",
               "Requests not sent at once because of a target's limit.",
               g->counts.limit_waits);
  add_counter (body, "limit_refusals_total",
               "Requests refused because of the limits of all targets.",
               g->counts.limit_refusals);
  add_counter (body, "leavings_announced_total",
               "Targets that announced their leaving in an answer.",
               g->counts.leavings);
  add_counter (body, "sent_to_leaving_total",
               "Attempts at targets that were known to be leaving.",
               g->counts.sent_to_leaving);
  add_counter (body, "pauses_total",
               "Pauses without requests that targets asked for.",
               g->counts.pauses);
  add_counter (body, "stream_questions_total",
               "Questions to other gateways about a stream's version.",
               g->counts.stream_questions);
  add_counter (body, "streams_in_doubt_total",
               "Streams cut because their run may have been stopped.",
               g->counts.streams_in_doubt);
  add_counter (body, "streams_unknown_total",
               "Streams refused because their version is not known.",
               g->counts.streams_unknown);
  add_counter (body, "stream_records_dropped_total",
               "Records of streams dropped before their time.",
               g->origins.dropped);
  add_counter (body, "pages_sent_total",
               "Answers of the store handed on to another gateway.",
               g->counts.pages_sent);
  add_counter (body, "pages_heard_total",
               "Answers of the store that another gateway handed on.",
               g->counts.pages_heard);
  add_counter (body, "shares_sent_total",
               "Messages to other gateways on its work at engines.",
               g->counts.shares_sent);
  add_counter (body, "shares_heard_total",
               "Messages of other gateways on their work at engines.",
               g->counts.shares_heard);
  add_counter (body, "configuration_reader",
               "Whether it reads configurations for the others.",
               g->routing_watcher.reader.is_reader);
  add_counter (body, "instances_reader",
               "Whether it reads the list of instances for the others.",
               g->instance_watcher.reader.is_reader);
}

/* Of what is held for callers.  */
static void
add_held_counters (cv_buf_t *body, const cv_gateway_t *g)
{
  add_counter (body, "callers_shed_total",
               "Callers refused or closed because memory was short.",
               g->counts.shed);
  add_counter (body, "connections_shed_total",
               "Stalled connections closed because there were too many.",
               g->counts.connections_shed);
  add_counter (body, "caller_bytes", "Bytes held for callers.",
               g->held.sum.all);
  add_counter (body, "caller_bytes_max", "Most bytes held for callers.",
               cv_held_limits (g).all);
}

/* Of decisions when room is short or a request fails at any target.  */
static void
add_shortage_counters (cv_buf_t *body, const cv_gateway_t *g)
{
  add_counter (body, "shortage_refusals_total",
               "Requests refused because the queue ahead was too long.",
               g->counts.shortage_refusals);
  add_counter (body, "failures_passed_on_total",
               "Answers of 500 not retried, as that does not help.",
               g->counts.failures_passed_on);
  cv_shortage_add_metrics (body, g);
}

static void
add_histograms (cv_buf_t *body, const cv_gateway_t *g)
{
  add_histogram (body, "latency_ms", "Milliseconds to the end of an answer.",
                 &g->latency);
  add_histogram (body, "first_event_ms",
                 "Milliseconds to the first event of a stream.",
                 &g->first_event);
  add_histogram (body, "configuration_delay_ms",
                 "Most milliseconds that configurations were in force late.",
                 &g->adoption_delay);
  add_histogram (body, "gap_ms",
                 "Longest milliseconds between two events, by stream.",
                 &g->gaps);
}

void
cv_response_send_metrics (cv_client_t *c)
{
  const cv_gateway_t *g = c->port->gateway;
  const cv_gateway_counts_t *n = &g->counts;
  cv_buf_t head;
  cv_buf_t body;

  cv_buf_init (&head);
  cv_buf_init (&body);
  add_counter (&body, "requests_total", "Requests of callers.", n->requests);
  add_counter (&body, "answered_total", "Answers of targets passed on.",
               n->answered);
  add_counter (&body, "refused_total", "Requests answered as not run.",
               n->refused);
  add_counter (&body, "failed_total", "Requests answered by another failure.",
               n->failed);
  add_counter (&body, "cut_total", "Answers broken off.", n->cut);
  add_counter (&body, "left_total", "Callers gone before their answer.",
               n->left);
  add_counter (&body, "unanswered_total",
               "Connections closed with a request in progress.", n->unanswered);
  add_counter (&body, "sends_total", "Attempts at targets.", n->sends);
  /* state.h states what the two counters include.  */
  add_counter (&body, "retries_total", "Attempts after the first.", n->retries);
  add_counter (&body, "resumes_total", "Streams that went on elsewhere.",
               n->resumes);
  add_counter (&body, "connections_total", "Connections opened to targets.",
               n->connections);
  add_counter (&body, "crash_checks_total",
               "Connections opened to see if a target crashed.",
               n->crash_checks);
  add_counter (&body, "crashes_total",
               "Targets that crashed with a request in progress.", n->crashes);
  add_counter (&body, "quarantined_total",
               "Requests refused because their content crashed targets.",
               n->quarantined);
  add_held_counters (&body, g);
  add_placement_counters (&body, g);
  add_fleet_counters (&body, g);
  add_paces (&body, g);
  add_shortage_counters (&body, g);
  add_counter (&body, "store_calls_total", "Calls to the store.",
               g->routing_watcher.call.http.calls
                   + g->instance_watcher.call.http.calls
                   + g->evacuation_watcher.call.http.calls
                   + g->registration.call.http.calls
                   + g->evidence.roster.store.http.calls
                   + g->quarantine_store.call.http.calls);
  add_counter (&body, "configuration_version", "Version in force.",
               g->routing != NULL ? g->routing->version : 0);
  add_counter (&body, "store_era", "Era of the store.",
               g->store_history.era.number);
  add_counter (&body, "log_lines_dropped_total", "Log lines dropped.",
               cv_line_dropped ());
  add_longest_steps (&body, g);
  add_histograms (&body, g);
  cv_buf_printf (&head,
                 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                 "Content-Length: %zu\r\n%s\r\n",
                 body.n,
                 cv_client_decide_close (c) ? "Connection: close\r\n" : "");
  cv_client_send (c, (cv_slice_t){ head.p, head.n },
                  (cv_slice_t){ body.p, body.n });
  cv_buf_finish (&head);
  cv_buf_finish (&body);
  cv_client_response_done (c, true);
}
