// Runs scripts against the core of a side in virtual time.  A script has
// commands, each followed by its expected outputs, which are marked with ">";
// the transcript of the run must equal the script.  A script with "call" in its
// name runs beside a plain service, any other beside an engine; with "fetch" in
// its name, loads need the permission of the weight store, and the output
// "fetch" is the request for it.  The numbers after "reason", "state", "end"
// and "DOC_PULL" are values of cv_reject_t, cv_target_state_t, cv_end_t and
// cv_doc_t.

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "side/core.h"

namespace
{

constexpr cv_time_t kStart = 1000 * CV_SECOND;
constexpr cv_time_t kTick = 100 * CV_MS;
constexpr uint64_t kIncarnation = 7;

using args_t = std::vector<std::string>;

std::string
to_text (cv_slice_t s)
{
  return std::string (s.p, s.n);
}

std::string
abbreviate (const std::string &text)
{
  if (text.size () <= 100)
    return text;
  return std::to_string (text.size ()) + " bytes";
}

std::string
to_text (cv_id_t id)
{
  return std::to_string (id.lo);
}

class Runner
{
public:
  Runner (cv_pool_kind_t kind, bool needs_load_permission)
  {
    cv_side_core_settings_t set = {};

    cv_copy (set.target, sizeof set.target, "t1");
    cv_copy (set.pool, sizeof set.pool, "pool");
    set.kind = kind;
    set.incarnation = kIncarnation;
    set.kv_tokens = 1000;
    set.max_batch = 2;
    set.max_calls = 2;
    set.seed = 1;
    set.buffer_bytes = 1000;
    set.resume = 10 * CV_SECOND;
    set.ticket_generation_period = 300 * CV_SECOND;
    set.drain = 90 * CV_SECOND;
    set.needs_load_permission = needs_load_permission;
    cv_side_init (&core_, now_, &set, emit, this);
    cv_side_tick (&core_, now_, now_ / CV_SECOND);
  }
  ~Runner () { cv_side_finish (&core_); }

  std::string
  run (const std::string &line)
  {
    args_t a;
    std::istringstream in (line);
    std::string word;

    out_.clear ();
    while (in >> word)
      a.push_back (word);
    if (!command (a) && !message (a) && !engine (a))
      out_ = "> unknown command\n";
    cv_side_flush (&core_, now_);
    return out_;
  }

private:
  static void
  emit (void *arg, const cv_side_out_t *out)
  {
    static_cast<Runner *> (arg)->on_output (out);
  }

  void
  add_output (const std::string &text)
  {
    out_ += "> " + text + "\n";
  }

  void
  on_output (const cv_side_out_t *out)
  {
    switch (out->type)
      {
      case CV_OUT_SEND:
        on_message (out->u.send.peer, out->u.send.msg);
        break;
      case CV_OUT_PEER_LOST:
        add_output ("peer_lost " + std::to_string (out->u.lost_peer));
        break;
      case CV_OUT_ENGINE_START:
        slots_[out->u.start.ref.id.lo] = out->u.start.ref;
        add_output ("engine start " + to_text (out->u.start.ref.id) + " "
                    + to_text (out->u.start.prompt));
        break;
      case CV_OUT_ENGINE_PAUSE:
        add_output ("engine pause " + to_text (out->u.stream.id));
        break;
      case CV_OUT_ENGINE_RESUME:
        add_output ("engine resume " + to_text (out->u.stream.id));
        break;
      case CV_OUT_ENGINE_CANCEL:
        add_output ("engine cancel " + to_text (out->u.stream.id));
        break;
      case CV_OUT_SERVICE_CALL:
        add_output ("service " + std::string (out->u.call.method) + " "
                    + to_text (out->u.call.path) + " nonce "
                    + to_text (out->u.call.nonce));
        break;
      case CV_OUT_LOAD_PERMISSION:
        add_output ("fetch " + std::string (out->u.order->model) + " "
                    + out->u.order->version);
        break;
      case CV_OUT_ORDER:
        on_order (out->u.order);
        break;
      }
  }

  void
  on_message (uint32_t peer, const cv_msg_t *m)
  {
    std::ostringstream o;

    o << peer << " " << cv_msg_name (m->type);
    switch (m->type)
      {
      case CV_MSG_REPORT:
        if (!reports_)
          return;
        o << " state " << m->u.report.state << " generation "
          << m->u.report.generation << " config "
          << m->u.report.versions.version[CV_DOC_CONFIG];
        break;
      case CV_MSG_ACCEPTED:
        o << " " << to_text (m->u.accepted.stream);
        break;
      case CV_MSG_REJECTED:
        o << " " << to_text (m->u.rejected.id) << " reason "
          << m->u.rejected.reason;
        break;
      case CV_MSG_TOKENS:
        o << " " << to_text (m->u.tokens.stream) << " at " << m->u.tokens.offset
          << ":";
        for (uint32_t i = 0; i < m->u.tokens.count; i++)
          o << " " << to_text (m->u.tokens.token[i]);
        break;
      case CV_MSG_END:
        o << " " << to_text (m->u.end.stream) << " end " << m->u.end.end
          << " total " << m->u.end.total;
        break;
      case CV_MSG_CALL_RESULT:
        o << " " << to_text (m->u.call_result.request) << " "
          << cv_outcome_name (m->u.call_result.outcome) << " "
          << m->u.call_result.status << " "
          << (m->u.call_result.replayed ? "replayed " : "")
          << abbreviate (to_text (m->u.call_result.body));
        break;
      case CV_MSG_DOC_PULL:
        o << " " << m->u.doc_pull.doc;
        if (m->u.doc_pull.have != 0)
          o << " have " << m->u.doc_pull.have;
        break;
      case CV_MSG_DOC:
        o << " " << m->u.doc.doc << " from " << m->u.doc.base << " to "
          << m->u.doc.version << " "
          << (m->u.doc.base != 0 ? to_text (m->u.doc.body) : "whole");
        break;
      default:
        break;
      }
    add_output (o.str ());
  }

  void
  on_order (const cv_order_t *o)
  {
    static const char *const kinds[] = { "", "load", "unload", "role" };
    std::string text = "order " + std::to_string (o->fence);

    text = text + " " + kinds[o->kind];
    for (const char *word : { o->model, o->adapter, o->version })
      text += *word != 0 ? " " + std::string (word) : "";
    add_output (text);
  }

  static uint32_t
  number (const args_t &a, size_t i, uint32_t fallback = 0)
  {
    return i < a.size () ? static_cast<uint32_t> (
               std::strtoul (a[i].c_str (), nullptr, 10))
                         : fallback;
  }

  static cv_id_t
  id (const args_t &a, size_t i)
  {
    return cv_id_t{ 0, number (a, i) };
  }

  cv_stream_ref_t
  ref (const args_t &a, size_t i)
  {
    return slots_[number (a, i)];
  }

  bool
  command (const args_t &a)
  {
    if (a[0] == "at") // at MS: ticks until MS ms after the start
      {
        cv_time_t until = kStart + number (a, 1) * CV_MS;

        while (now_ < until)
          {
            now_ = now_ + kTick < until ? now_ + kTick : until;
            for (uint32_t peer : alive_)
              hello (peer, "e" + std::to_string (peer), 1, version_);
            cv_side_tick (&core_, now_, now_ / CV_SECOND);
          }
      }
    else if (a[0] == "freeze")       // freeze MS
      now_ += number (a, 1) * CV_MS; // no ticks
    else if (a[0] == "reports")
      reports_ = a[1] == "on";
    else if (a[0] == "config")
      config (a);
    else if (a[0] == "alive")
      alive_.push_back (number (a, 1));
    else if (a[0] == "silent")
      alive_.clear ();
    else if (a[0] == "up" || a[0] == "down")
      cv_side_backend_state (&core_, now_, a[0] == "up");
    else if (a[0] == "leave") // leave MS: reclaim after MS ms, 0: none
      cv_side_start_drain (&core_, now_, number (a, 1) * CV_MS);
    else if (a[0] == "drained")
      add_output (cv_side_is_drained (&core_, now_) ? "yes" : "no");
    else
      return false;
    return true;
  }

  // config PEER VERSION fenced|unfenced [MODEL:VERSION...]
  void
  config (const args_t &a)
  {
    cv_msg_t m = {};
    std::string body = "{'pools':{'other':{'kind':'engine'},"
                       "'pool':{'kind':'engine','checks_fence':";

    body += a[3] == "fenced" ? "true}" : "false}";
    body += "},'models':{'alien':{'pool':'other','version':'1'}";
    for (size_t i = 4; i < a.size (); i++)
      {
        size_t colon = a[i].find (':');

        body += ",'" + a[i].substr (0, colon) + "':{'pool':'pool','version':'"
                + a[i].substr (colon + 1) + "'}";
      }
    body += "}}";
    std::replace (body.begin (), body.end (), '\'', '"');
    version_ = number (a, 2);
    m.type = CV_MSG_DOC;
    m.u.doc.doc = CV_DOC_CONFIG;
    m.u.doc.version = version_;
    m.u.doc.body = cv_slice (body.c_str ());
    cv_side_message (&core_, now_, number (a, 1), &m);
  }

  void
  hello (uint32_t peer, const std::string &name, uint64_t incarnation,
         uint64_t config)
  {
    cv_msg_t m = {};

    m.type = CV_MSG_HELLO;
    cv_copy (m.u.hello.instance, sizeof m.u.hello.instance, name.c_str ());
    m.u.hello.incarnation = incarnation;
    m.u.hello.versions.version[CV_DOC_CONFIG] = config;
    m.u.hello.versions.age_ms = 0;
    cv_side_message (&core_, now_, peer, &m);
  }

  // Messages from entries: "KIND PEER ...".
  bool
  message (const args_t &a)
  {
    cv_msg_t m = {};

    if (a[0] == "hello") // hello PEER NAME [INCARNATION [CONFIG]]
      {
        hello (number (a, 1), a[2], number (a, 3, 1), number (a, 4));
        return true;
      }
    if (a[0] == "submit")
      {
        m.type = CV_MSG_SUBMIT;
        submit (a, &m.u.submit);
      }
    else if (a[0] == "attach")
      {
        // attach PEER STREAM OFFSET ACCOUNT [INCARNATION]
        m.type = CV_MSG_ATTACH;
        m.u.attach.stream = id (a, 2);
        m.u.attach.offset = number (a, 3);
        cv_copy (m.u.attach.account, CV_NAME_MAX, a[4].c_str ());
        m.u.attach.incarnation = number (a, 5, kIncarnation);
      }
    else if (a[0] == "detach" || a[0] == "cancel")
      {
        m.type = a[0] == "detach" ? CV_MSG_DETACH : CV_MSG_CANCEL;
        m.u.stream.stream = id (a, 2);
      }
    else if (a[0] == "call")
      {
        m.type = CV_MSG_CALL;
        call (a, &m.u.call);
      }
    else if (a[0] == "revoke")
      {
        // revoke PEER REQUEST NONCE [GENERATION [INCARNATION]]
        m.type = CV_MSG_REVOKE;
        m.u.revoke.request = id (a, 2);
        ticket (&m.u.revoke.ticket, id (a, 3), number (a, 4, 1),
                number (a, 5, 7));
        cv_copy (m.u.revoke.account, CV_NAME_MAX, "acc");
      }
    else if (a[0] == "pull")
      {
        m.type = CV_MSG_DOC_PULL;
        m.u.doc_pull.have = number (a, 2);
      }
    else if (a[0] == "patch") // patch PEER BASE VERSION PATCH
      {
        m.type = CV_MSG_DOC;
        m.u.doc.base = number (a, 2);
        m.u.doc.version = number (a, 3);
        m.u.doc.body = cv_slice (a[4].c_str ());
      }
    else
      return false;
    cv_side_message (&core_, now_, number (a, 1), &m);
    return true;
  }

  // submit PEER STREAM ACCOUNT [INCARNATION [CONFIG [PROMPT [MS]]]]
  static void
  submit (const args_t &a, cv_msg_submit_t *s)
  {
    s->stream = id (a, 2);
    cv_copy (s->account, CV_NAME_MAX, a[3].c_str ());
    s->incarnation = number (a, 4, kIncarnation);
    s->config_version = number (a, 5);
    s->prompt = cv_slice (a.size () > 6 ? a[6].c_str () : "hi");
    s->content_hash = cv_hash (s->prompt.p, s->prompt.n, 0);
    s->deadline_ms = number (a, 7, 5000);
    s->max_tokens = 100;
    cv_copy (s->class_name, CV_NAME_MAX, "tag");
    cv_copy (s->model, CV_NAME_MAX, "m");
  }

  static void
  ticket (cv_ticket_t *t, cv_id_t nonce, uint32_t generation,
          uint64_t incarnation)
  {
    cv_copy (t->target, CV_NAME_MAX, "t1");
    t->nonce = nonce;
    t->generation = generation;
    t->incarnation = incarnation;
  }

  // call PEER REQUEST NONCE [GENERATION [INCARNATION [ACCOUNT [MS]]]]
  static void
  call (const args_t &a, cv_msg_call_t *c)
  {
    c->request = id (a, 2);
    ticket (&c->ticket, id (a, 3), number (a, 4, 1), number (a, 5, 7));
    cv_copy (c->account, CV_NAME_MAX, a.size () > 6 ? a[6].c_str () : "acc");
    cv_copy (c->method, sizeof c->method, "POST");
    c->path = cv_slice ("/book");
    c->content_type = cv_slice ("");
    c->body = cv_slice ("{}");
    c->deadline_ms = number (a, 7, 5000);
  }

  bool
  engine (const args_t &a)
  {
    if (a[0] == "token") // token STREAM INDEX TEXT
      cv_side_token (&core_, now_, ref (a, 1), number (a, 2),
                     cv_slice (a[3].c_str ()));
    else if (a[0] == "tokens") // tokens STREAM FIRST END: up to END - 1
      for (uint32_t i = number (a, 2); i < number (a, 3); i++)
        cv_side_token (&core_, now_, ref (a, 1), i,
                       cv_slice (std::to_string (i).c_str ()));
    else if (a[0] == "end") // end STREAM TOTAL: ended by the model
      cv_side_stream_end (&core_, now_, ref (a, 1), CV_END_STOP, number (a, 2));
    else if (a[0] == "start_failed")
      cv_side_start_failed (&core_, now_, ref (a, 1), CV_REJECT_NO_MEMORY);
    else if (a[0] == "preempted")
      cv_side_stream_preempted (&core_, now_, ref (a, 1));
    else if (a[0] == "lost")
      cv_side_engine_lost (&core_, now_);
    else if (a[0] == "load") // load KV_TOKENS TOKEN_US
      {
        cv_load_t load = {};

        load.kv_total = number (a, 1);
        load.token_us = number (a, 2);
        cv_side_engine_load (&core_, now_, &load);
      }
    else if (a[0] == "result")
      result (a);
    else if (a[0] == "ordered") // ordered STATUS [FENCE], 0: no answer
      {
        cv_order_end_t e = { number (a, 1) != 0, number (a, 1), number (a, 2) };

        cv_side_order_end (&core_, now_, &e);
      }
    else if (a[0] == "granted" || a[0] == "denied")
      cv_side_load_permission_end (&core_, now_, a[0] == "granted",
                                   number (a, 1));
    else if (a[0] == "engine_restarted")
      cv_side_engine_restarted (&core_);
    else
      return false;
    return true;
  }

  // result NONCE done|unknown|unsent [STATUS [BODY]]
  void
  result (const args_t &a)
  {
    cv_call_end_t e = {};

    e.call = id (a, 1);
    e.ran = a[2] != "unsent";
    e.outcome = a[2] == "done" ? CV_OUTCOME_DONE : CV_OUTCOME_UNKNOWN;
    e.status = number (a, 3);
    e.content_type = cv_slice ("text/plain");
    std::string body = a.size () > 4 ? a[4] : "";
    if (body[0] == '*')
      body = std::string (number ({ body.substr (1) }, 0), 'x');
    e.body = cv_slice_t{ body.data (), body.size () };
    cv_side_call_end (&core_, now_, &e);
  }

  cv_side_core_t core_;
  cv_time_t now_ = kStart;
  bool reports_ = false;
  uint64_t version_ = 0;        // of the configuration in the HELLOs of alive_
  std::vector<uint32_t> alive_; // entries that send a HELLO at each tick
  std::map<uint64_t, cv_stream_ref_t> slots_;
  std::string out_;
};

class Script : public testing::TestWithParam<std::string>
{
};

TEST_P (Script, Transcript)
{
  std::ifstream in (GetParam ());
  bool calls = GetParam ().find ("call") != std::string::npos;
  bool needs_load_permission = GetParam ().find ("fetch") != std::string::npos;
  Runner runner (calls ? CV_POOL_SERVICE : CV_POOL_ENGINE,
                 needs_load_permission);
  std::string line, script, transcript;

  ASSERT_TRUE (in.is_open ());
  while (std::getline (in, line))
    {
      script += line + "\n";
      if (line.rfind ("> ", 0) == 0)
        continue;
      transcript += line + "\n";
      if (!line.empty () && line[0] != '#')
        transcript += runner.run (line);
    }
  EXPECT_EQ (transcript, script);
}

std::vector<std::string>
script_paths ()
{
  std::vector<std::string> all;

  for (const auto &entry :
       std::filesystem::directory_iterator (CV_TEST_DIR "/scripts"))
    all.push_back (entry.path ().string ());
  std::sort (all.begin (), all.end ());
  return all;
}

std::string
test_name (const testing::TestParamInfo<std::string> &info)
{
  return std::filesystem::path (info.param).stem ().string ();
}

INSTANTIATE_TEST_SUITE_P (Core, Script, testing::ValuesIn (script_paths ()),
                          test_name);

} // namespace
