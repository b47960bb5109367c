// Runs each script under scripts/ through the scheduler in virtual time and
// compares the output with the .expected file of the same name.

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include "scheduler.h"

namespace
{

const char *const kStates[] = { "waiting", "running", "paused", "ended" };
const char *const kResults[] = { "ok", "full", "exists", "too_long" };

std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream text;

  text << in.rdbuf ();
  return text.str ();
}

// Runs one script and collects its output.
class Replay
{
public:
  Replay () { instance_ = this; }
  ~Replay ()
  {
    if (started_)
      sched_finish (&sched_);
    instance_ = nullptr;
  }

  std::string
  run (const std::string &script)
  {
    std::istringstream lines (script);
    std::string line;

    while (std::getline (lines, line))
      if (!line.empty () && line[0] != '#')
        {
          out_ << "> " << line << "\n";
          command (line);
        }
    return out_.str ();
  }

private:
  static Replay *instance_;
  sched_t sched_;
  bool started_ = false;
  int64_t now_ = 0;
  int64_t due_ = -1;
  std::ostringstream out_;

  static void
  changed (sched_stream_t *s)
  {
    instance_->out_ << instance_->now_ / 1000 << " " << s->id << " "
                    << kStates[s->state] << " " << s->produced;
    if (s->preempted > 0)
      instance_->out_ << " preempted " << s->preempted << " at "
                      << s->preempted_at;
    if (s->state == SCHED_ENDED)
      instance_->out_ << " " << sched_end_name (s->end);
    instance_->out_ << "\n";
  }

  void
  command (const std::string &line)
  {
    std::istringstream in (line);
    std::string verb;

    in >> verb;
    if (verb == "engine")
      engine (in);
    else if (verb == "submit")
      submit (in);
    else if (verb == "run")
      advance (in);
    else if (verb == "load")
      load ();
    else if (verb == "events")
      events (in);
    else
      change (verb, in);
  }

  void
  engine (std::istringstream &in)
  {
    std::map<std::string, int> v;
    std::string word;

    while (in >> word)
      v[word.substr (0, word.find ('='))]
          = atoi (word.c_str () + word.find ('=') + 1);
    sched_config_t config = {};
    config.kv_tokens = v["kv"];
    config.batch = v["batch"];
    config.queue = v["queue"];
    config.token_us = v["token_ms"] * 1000;
    config.prefill_us_per_1k = v["prefill_ms"] * 1000;
    config.load_lag_us = v["lag_ms"] * 1000;
    config.cache_blocks = v["cache"];
    config.event_loss_percent = v["loss"];
    config.seed = 1;
    config.changed = changed;
    sched_init (&sched_, &config);
    started_ = true;
  }

  // submit ID PRIORITY MAX_TOKENS PROMPT_BYTES TEXT
  void
  submit (std::istringstream &in)
  {
    std::string id, text;
    int priority, max_tokens;
    size_t bytes;
    sched_stream_t *stream;

    in >> id >> priority >> max_tokens >> bytes;
    std::getline (in, text);
    if (text.size () < bytes)
      text.insert (0, bytes - text.size (), 'x');
    sched_result_t r = sched_submit (&sched_, id.c_str (), text.c_str (),
                                     max_tokens, priority, &stream);
    out_ << kResults[r] << "\n";
    due_ = sched_step (&sched_, now_);
  }

  void
  advance (std::istringstream &in)
  {
    int64_t ms, end;

    in >> ms;
    end = now_ + ms * 1000;
    while (due_ >= 0 && due_ <= end)
      {
        now_ = due_;
        due_ = sched_step (&sched_, now_);
        EXPECT_LE (sched_.kv_used, sched_.config.kv_tokens);
        EXPECT_LE (sched_.n_running, sched_.config.batch);
      }
    now_ = end;
    sched_step (&sched_, now_);
    out_ << "memory " << sched_.kv_used << " running " << sched_.n_running
         << " waiting " << sched_.n_waiting << " poisoned " << sched_.poisoned
         << "\n";
  }

  void
  load ()
  {
    sched_load_t l;

    if (!sched_load (&sched_, now_, &l))
      out_ << "no report\n";
    else
      out_ << "as of " << l.at_us / 1000 << ": running " << l.running
           << " waiting " << l.waiting << " memory " << l.kv_used
           << " preemptions " << l.preemptions << "\n";
  }

  // events SINCE LAG_MS
  void
  events (std::istringstream &in)
  {
    static prefix_event_t read[16];
    uint64_t since, next;
    int64_t lag;

    in >> since >> lag;
    size_t n = prefix_cache_read (&sched_.cache, since, now_ - lag * 1000, read,
                                  16, &next);
    for (size_t i = 0; i < n; i++)
      out_ << read[i].seq << (read[i].add ? " add\n" : " drop\n");
    out_ << "next " << next << "\n";
  }

  void
  change (const std::string &verb, std::istringstream &in)
  {
    std::string id;

    in >> id;
    if (verb == "slow")
      {
        sched_.slow_factor = atof (id.c_str ());
        return;
      }
    sched_stream_t *stream = sched_find (&sched_, id.c_str ());
    if (stream == nullptr)
      out_ << "unknown\n";
    else if (verb == "pause")
      sched_pause (&sched_, stream);
    else if (verb == "resume") // "run" advances the time
      sched_run (&sched_, stream);
    else if (verb == "cancel")
      sched_cancel (&sched_, stream);
    else
      ADD_FAILURE () << "unknown verb " << verb;
    due_ = sched_step (&sched_, now_);
  }
};

Replay *Replay::instance_;

class SchedulerScript : public testing::TestWithParam<const char *>
{
};

TEST_P (SchedulerScript, PrintsTheExpectedText)
{
  std::string base = std::string (CV_TEST_DIR) + "/scripts/" + GetParam ();
  Replay replay;
  std::string got = replay.run (read_file (base + ".script"));

  EXPECT_EQ (read_file (base + ".expected"), got) << "printed:\n"
                                                  << got << "end of print";
}

INSTANTIATE_TEST_SUITE_P (All, SchedulerScript,
                          testing::Values ("ends", "memory", "priority",
                                           "pause", "cache"));

TEST (TokenText, NamesBootStreamAndIndex)
{
  char text[SCHED_TEXT_MAX];

  sched_token_text (text, 7, "abcdefghijkl", 3);
  EXPECT_STREQ (text, "7-abcdefgh-3 ");
}

} // namespace
