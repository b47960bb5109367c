/* Runs a script of inputs against an entry core in virtual time.  */

#include "core_script.h"

#include <cstdlib>
#include <cstring>

namespace
{

const char *const kDocument
    = "{\"pools\":{\"engines\":{\"kind\":\"engine\"},"
      "\"shop\":{\"kind\":\"service\"}},"
      "\"models\":{\"m\":{\"pool\":\"engines\"}},"
      "\"classes\":{\"tag\":{\"priority\":80,\"first_token_ms\":5000},"
      "\"report\":{\"priority\":20,\"first_token_ms\":5000,"
      "\"buffered\":true}},"
      "\"accounts\":{\"portal\":{\"key_hash\":\""
      "0000000000000000000000000000000000000000000000000000000000000001\","
      "\"class\":\"tag\"},\"other\":{\"key_hash\":\""
      "0000000000000000000000000000000000000000000000000000000000000002\","
      "\"class\":\"tag\"},\"small\":{\"key_hash\":\""
      "0000000000000000000000000000000000000000000000000000000000000003\","
      "\"class\":\"tag\",\"concurrency\":4}}}";

cv_slice_t
slice (const std::string &s)
{
  return { s.data (), s.size () };
}

uint32_t
parse_number (const std::string &s)
{
  return static_cast<uint32_t> (strtoul (s.c_str (), nullptr, 10));
}

template <typename T>
T
lookup (const std::map<std::string, T> &table, const std::string &key)
{
  auto it = table.find (key);
  if (it == table.end ())
    {
      fprintf (stderr, "script: unknown word %s\n", key.c_str ());
      abort ();
    }
  return it->second;
}

/* Words of the scripts: full: no memory; condemned: quarantined; leaving:
   draining.  */
const std::map<std::string, cv_reject_t> kRejectReasons
    = { { "leaving", CV_REJECT_DRAINING },
        { "old-config", CV_REJECT_OLD_CONFIG },
        { "old-epoch", CV_REJECT_OLD_EPOCH },
        { "full", CV_REJECT_NO_MEMORY },
        { "condemned", CV_REJECT_QUARANTINED },
        { "not-found", CV_REJECT_NOT_FOUND },
        { "engine", CV_REJECT_ENGINE } };

const std::map<std::string, cv_end_t> kEnds
    = { { "stop", CV_END_STOP },
        { "length", CV_END_LENGTH },
        { "cancelled", CV_END_CANCELLED },
        { "engine-lost", CV_END_ENGINE_LOST },
        { "reclaimed", CV_END_RECLAIMED } };

const std::map<std::string, cv_target_state_t> kStates
    = { { "live", CV_TARGET_STATE_LIVE },
        { "leaving", CV_TARGET_STATE_DRAINING },
        { "down", CV_TARGET_STATE_DOWN } };

const std::map<std::string, cv_outcome_t> kOutcomes
    = { { "done", CV_OUTCOME_DONE },
        { "not-run", CV_OUTCOME_NOT_RUN },
        { "unknown", CV_OUTCOME_UNKNOWN } };

}

CoreScript::CoreScript ()
{
  cv_entry_options_t o = {};
  strcpy (o.instance, "entry-1");
  o.incarnation = 9;
  o.seed = 1;
  o.out.send = on_send;
  o.out.reply = on_reply;
  o.out.reset = on_reset;
  o.out.new_id = on_new_id;
  o.out.arg = this;
  core_ = cv_entry_new (&o);
  cv_entry_set_wall_clock (core_, 2000000);
}

CoreScript::~CoreScript ()
{
  cv_entry_free (core_);
  for (auto &c : callers_)
    delete c.second;
}

std::string
CoreScript::run (const std::string &script)
{
  std::istringstream in (script);
  std::string l;
  while (std::getline (in, l))
    run_line (l);
  out_ << "in flight " << cv_entry_requests_in_flight (core_) << ", dropped "
       << cv_entry_metrics_get (cv_entry_metrics (core_),
                                CV_COUNT_FRAMES_DROPPED)
       << "\n";
  return out_.str ();
}

/* Commands without a function of their own:
   connected TARGET; freeze MS; store-failed MS (age of the read); confirmed
   VERSION MS (age of the read); show-expect; entries N; ready; unlist TARGET
   (removes it at once); attach CALLER ACCOUNT POSITION; ticket CALLER POOL;
   gone CALLER; stop (refuses new requests); end-requests; accept TARGET
   STREAM; pull TARGET (the suspects document).  */
void
CoreScript::run_line (const std::string &l)
{
  out_ << (l.empty () || l[0] == '#' ? "" : "> ") << l << "\n";
  std::istringstream in (l);
  Words w;
  std::string word;
  while (in >> word)
    w.push_back (word);
  if (w.empty () || w[0][0] == '#')
    return;
  if (w[0] == "config")
    adopt (w);
  else if (w[0] == "target")
    target (w);
  else if (w[0] == "connected")
    cv_entry_target_connected (core_, now_, targets_.at (w[1]));
  else if (w[0] == "freeze")
    now_ += parse_number (w[1]) * CV_MS;
  else if (w[0] == "store-failed")
    cv_entry_store_failed (core_, now_ - parse_number (w[1]) * CV_MS);
  else if (w[0] == "confirmed")
    cv_entry_config_confirmed (core_, now_ - parse_number (w[2]) * CV_MS,
                               parse_number (w[1]));
  else if (w[0] == "metrics")
    metrics (w);
  else if (w[0] == "show-expect")
    show_expect_ = true;
  else if (w[0] == "entries")
    cv_entry_set_entries (core_, parse_number (w[1]));
  else if (w[0] == "ready")
    {
      const char *why = cv_entry_unready_reason (core_);
      out_ << "  " << (why == nullptr ? "ready" : why);
      uint32_t age = cv_entry_config_age_ms (core_, now_);
      if (age != UINT32_MAX)
        out_ << ", age " << age;
      out_ << "\n";
    }
  else if (w[0] == "unlist")
    cv_entry_target_remove (core_, now_, targets_.at (w[1]));
  else if (w[0] == "report")
    report (w);
  else if (w[0] == "submit")
    submit (w);
  else if (w[0] == "attach")
    {
      cv_position_t p;
      if (!cv_position_parse (&p, slice (w[3])))
        abort ();
      cv_entry_attach (core_, now_, caller_of (w[1]), w[2].c_str (), &p);
    }
  else if (w[0] == "call")
    call (w);
  else if (w[0] == "ticket")
    cv_entry_issue_ticket (core_, now_, caller_of (w[1]), w[2].c_str ());
  else if (w[0] == "gone")
    cv_entry_caller_gone (core_, now_, caller_of (w[1]));
  else if (w[0] == "stop")
    cv_entry_refuse_new (core_);
  else if (w[0] == "end-requests")
    cv_entry_end_requests (core_, now_);
  else if (w[0] == "accept")
    {
      cv_msg_t m = {};
      m.type = CV_MSG_ACCEPTED;
      m.u.accepted.stream = id_of (w[2]);
      deliver (w[1], m);
    }
  else if (w[0] == "tokens")
    tokens (w);
  else if (w[0] == "end")
    end (w);
  else if (w[0] == "reject")
    reject (w);
  else if (w[0] == "result")
    result (w);
  else if (w[0] == "suspects")
    suspects (w);
  else if (w[0] == "pull")
    {
      cv_msg_t m = {};
      m.type = CV_MSG_DOC_PULL;
      m.u.doc_pull.doc = CV_DOC_SUSPECTS;
      deliver (w[1], m);
    }
  else if (w[0] == "doc")
    doc (w);
  else if (w[0] == "wait")
    wait (w);
  else
    {
      fprintf (stderr, "script: unknown command: %s\n", l.c_str ());
      abort ();
    }
}

/* config VERSION */
void
CoreScript::adopt (const Words &w)
{
  cv_error_t err;
  cv_config_t *c
      = cv_config_parse (parse_number (w[1]), cv_slice (kDocument), &err);
  if (c == nullptr)
    {
      fprintf (stderr, "%s\n", err.text);
      abort ();
    }
  out_ << (cv_entry_adopt_config (core_, now_, c) ? "  adopted\n" : "  kept\n");
  cv_entry_config_confirmed (core_, now_, c->version);
  cv_config_unref (c);
}

/* target NAME POOL */
void
CoreScript::target (const Words &w)
{
  uint32_t slot
      = cv_entry_target_add (core_, now_, w[1].c_str (), w[2].c_str ());
  targets_[w[1]] = slot;
  names_[slot] = w[1];
}

/* report TARGET [inc=N] [gen=N] [state=S] [config=N] [suspects=N]
   [used=TOKENS] [age=MS]: TARGET has memory for 100000 tokens; age= is
   the time since its configuration was confirmed.  */
void
CoreScript::report (const Words &w)
{
  cv_msg_t m = {};
  m.type = CV_MSG_REPORT;
  cv_msg_report_t &r = m.u.report;
  strcpy (r.target, w[1].c_str ());
  strcpy (r.pool, "engines");
  r.incarnation = parse_number (option (w, "inc", "1"));
  r.generation = parse_number (option (w, "gen", "1"));
  r.state = lookup (kStates, option (w, "state", "live"));
  r.load.kv_total = 100000;
  r.load.kv_used = parse_number (option (w, "used", "0"));
  r.load.token_us = 20000;
  r.versions.version[CV_DOC_CONFIG] = parse_number (option (w, "config", "1"));
  r.versions.version[CV_DOC_SUSPECTS]
      = parse_number (option (w, "suspects", "0"));
  std::string age = option (w, "age", "");
  r.versions.age_ms = age.empty () ? UINT32_MAX : parse_number (age);
  incarnations_[w[1]] = r.incarnation;
  deliver (w[1], m);
}

/* submit CALLER [class=C] [prompt=P] [max=N] [whole=1] [account=A] [model=M]:
   whole=1 requests a buffered stream.  */
void
CoreScript::submit (const Words &w)
{
  cv_stream_spec_t s = {};
  std::string prompt = option (w, "prompt", "hello");
  strcpy (s.account, option (w, "account", "portal").c_str ());
  strcpy (s.class_name, option (w, "class", "").c_str ());
  strcpy (s.model, option (w, "model", "m").c_str ());
  s.max_tokens = parse_number (option (w, "max", "0"));
  s.buffered = option (w, "whole", "0") == "1";
  s.prompt = slice (prompt);
  cv_entry_submit_stream (core_, now_, caller_of (w[1]), &s);
}

/* call CALLER MODE [ticket=T] [deadline=MS] [pool=P] */
void
CoreScript::call (const Words &w)
{
  cv_call_spec_t s = {};
  std::string ticket = option (w, "ticket", "");
  strcpy (s.account, "portal");
  strcpy (s.pool, option (w, "pool", "shop").c_str ());
  strcpy (s.method, "POST");
  s.mode = w[2] == "idempotent" ? CV_CALL_IDEMPOTENT
           : w[2] == "once"     ? CV_CALL_ONCE
                                : CV_CALL_TICKET;
  if (!ticket.empty () && !cv_ticket_parse (&s.ticket, slice (ticket)))
    abort ();
  s.deadline_ms = parse_number (option (w, "deadline", "1000"));
  s.path = cv_slice ("/book");
  s.content_type = cv_slice ("application/json");
  s.body = cv_slice ("{}");
  cv_entry_submit_call (core_, now_, caller_of (w[1]), &s);
}

/* tokens TARGET STREAM OFFSET TEXT... */
void
CoreScript::tokens (const Words &w)
{
  cv_msg_t m = {};
  m.type = CV_MSG_TOKENS;
  m.u.tokens.stream = id_of (w[2]);
  m.u.tokens.offset = parse_number (w[3]);
  for (size_t i = 4; i < w.size (); i++)
    m.u.tokens.token[m.u.tokens.count++] = slice (w[i]);
  deliver (w[1], m);
}

/* end TARGET STREAM KIND TOTAL */
void
CoreScript::end (const Words &w)
{
  cv_msg_t m = {};
  m.type = CV_MSG_END;
  m.u.end.stream = id_of (w[2]);
  m.u.end.end = lookup (kEnds, w[3]);
  m.u.end.total = parse_number (w[4]);
  deliver (w[1], m);
}

/* reject TARGET ID REASON */
void
CoreScript::reject (const Words &w)
{
  cv_msg_t m = {};
  m.type = CV_MSG_REJECTED;
  m.u.rejected.id = id_of (w[2]);
  m.u.rejected.reason = lookup (kRejectReasons, w[3]);
  deliver (w[1], m);
}

/* result TARGET ID OUTCOME[=STATUS] [BODY [replayed]]: any word after BODY sets
   the flag; the status is 200 without one.  */
void
CoreScript::result (const Words &w)
{
  cv_msg_t m = {};
  size_t at = w[3].find ('=');
  m.type = CV_MSG_CALL_RESULT;
  m.u.call_result.request = id_of (w[2]);
  m.u.call_result.outcome = lookup (kOutcomes, w[3].substr (0, at));
  m.u.call_result.status
      = at == std::string::npos
            ? 200
            : static_cast<uint32_t> (std::stoul (w[3].substr (at + 1)));
  m.u.call_result.replayed = w.size () > 5;
  m.u.call_result.body = w.size () > 4 ? slice (w[4]) : cv_slice ("");
  deliver (w[1], m);
}

/* suspects TARGET VERSION STRIKES [PROMPT]: a suspects document with the
   content of a stream of account "portal" and its strikes, two wall-clock times
   in seconds with a comma between (the clock of the core is at 2000000).  Their
   crashes have the ids 1 and 2.  */
void
CoreScript::suspects (const Words &w)
{
  std::string prompt = w.size () > 4 ? w[4] : "hello";
  uint64_t hash = cv_hash (prompt.data (), prompt.size (),
                           cv_hash ("portal", 6, 0) ^ cv_hash ("m", 1, 0));
  char body[320];
  snprintf (body, sizeof body,
            "{\"suspects\":[{\"hash\":\"%016llx\","
            "\"strikes\":[%s],\"deaths\":[\"0000000000000001\","
            "\"0000000000000002\"],\"cleared\":0}]}",
            static_cast<unsigned long long> (hash), w[3].c_str ());
  cv_msg_t m = {};
  m.type = CV_MSG_DOC;
  m.u.doc.doc = CV_DOC_SUSPECTS;
  m.u.doc.version = parse_number (w[2]);
  m.u.doc.body = cv_slice (body);
  deliver (w[1], m);
}

/* metrics TEXT: writes the metrics lines that contain TEXT.  */
void
CoreScript::metrics (const Words &w)
{
  cv_buf_t buf;
  cv_buf_init (&buf);
  cv_entry_metrics_write (cv_entry_metrics (core_), &buf);
  std::istringstream in (cv_buf_text (&buf));
  std::string l;
  while (std::getline (in, l))
    if (l.find (w[1]) != std::string::npos)
      out_ << "  " << l << "\n";
  cv_buf_finish (&buf);
}

/* doc TARGET VERSION */
void
CoreScript::doc (const Words &w)
{
  cv_msg_t m = {};
  m.type = CV_MSG_DOC;
  m.u.doc.doc = CV_DOC_CONFIG;
  m.u.doc.version = parse_number (w[2]);
  m.u.doc.body = cv_slice (kDocument);
  deliver (w[1], m);
}

/* wait MS [alive=TARGET,...] */
void
CoreScript::wait (const Words &w)
{
  cv_time_t until = now_ + parse_number (w[1]) * CV_MS;
  std::string alive = option (w, "alive", "");
  while (now_ < until)
    {
      now_ += CV_ENTRY_TICK;
      std::istringstream in (alive);
      std::string t;
      while (std::getline (in, t, ','))
        report (
            { "report", t, "inc=" + std::to_string (incarnations_.at (t)) });
      cv_entry_tick (core_, now_);
    }
}

void
CoreScript::deliver (const std::string &target, const cv_msg_t &msg)
{
  cv_entry_message (core_, now_, targets_.at (target), &msg);
}

cv_id_t
CoreScript::id_of (const std::string &name)
{
  return { 0, parse_number (name.substr (1)) };
}

void *
CoreScript::caller_of (const std::string &name)
{
  char *&c = callers_[name];
  if (c == nullptr)
    c = new char;
  return c;
}

std::string
CoreScript::option (const Words &w, const std::string &key,
                    const std::string &default_value)
{
  for (const std::string &word : w)
    if (word.compare (0, key.size () + 1, key + "=") == 0)
      return word.substr (key.size () + 1);
  return default_value;
}
