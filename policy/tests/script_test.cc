/* Scripted tests of the decisions: the output of each tests/scripts/NAME.script
   is compared with NAME.expected.  Times are in milliseconds.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "policy/length.h"
#include "policy/policy.h"
#include "policy/subset.h"

namespace
{

using Words = std::vector<std::string>;

uint64_t
name_hash (const std::string &name)
{
  return cv_hash (name.data (), name.size (), 0);
}

/* Returns the number after KEY= among the words, or FALLBACK.  */
double
number (const Words &words, const std::string &key, double fallback)
{
  for (const std::string &word : words)
    if (word.rfind (key + "=", 0) == 0)
      return std::stod (word.substr (key.size () + 1));
  return fallback;
}

class Script
{
public:
  Script ()
      : lengths (cv_length_new (64)), router (cv_router_new (1)),
        limits (cv_limits_new (1)), gate (nullptr),
        suspects (cv_suspects_new ())
  {
    cv_retry_budget_init (&budget);
  }
  ~Script ()
  {
    cv_length_free (lengths);
    cv_router_free (router);
    cv_limits_free (limits);
    cv_gate_free (gate);
    cv_suspects_free (suspects);
  }
  std::string
  run (std::istream &in)
  {
    std::string line;

    while (std::getline (in, line))
      {
        std::istringstream split (line);
        Words words;
        std::string word;

        if (line.empty () || line[0] == '#')
          continue;
        while (split >> word)
          words.push_back (word);
        out << "> " << line << "\n";
        command (words);
      }
    return out.str ();
  }

private:
  cv_time_t now = 0;
  cv_length_t *lengths;
  cv_router_t *router;
  cv_limits_t *limits;
  cv_gate_t *gate;
  cv_suspects_t *suspects;
  uint64_t deaths = 0;
  cv_retry_budget_t budget;
  std::ostringstream out;

  void
  command (const Words &w)
  {
    if (w[0] == "at")
      now = std::stol (w[1]) * CV_MS;
    else if (w[0].rfind ("gate.", 0) == 0)
      gate_command (w);
    else if (w[0].rfind ("router.", 0) == 0)
      router_command (w);
    else if (w[0].rfind ("limits.", 0) == 0)
      limits_command (w);
    else if (w[0].rfind ("suspects.", 0) == 0)
      suspects_command (w);
    else if (w[0] == "subset")
      subset_command (w);
    else if (w[0].rfind ("length.", 0) == 0)
      length_command (w);
    else if (w[0] == "retry.first")
      for (int i = 0; i < std::stoi (w[1]); i++)
        cv_retry_budget_first (&budget);
    else if (w[0] == "retry.take")
      out << (cv_retry_budget_take (&budget) ? "granted" : "denied") << "\n";
    else
      FAIL () << "unknown command " << w[0];
  }

  using Subsets = std::vector<std::set<uint64_t>>;

  static Subsets
  subsets (uint32_t entries, const std::vector<cv_subset_target_t> &targets,
           size_t want)
  {
    std::vector<uint32_t> picks (targets.size ());
    Subsets all (entries);

    for (uint32_t e = 0; e < entries; e++)
      {
        std::string name = "entry-" + std::to_string (e);
        size_t n = cv_subset_choose (name.c_str (), entries, targets.data (),
                                     targets.size (), want, picks.data ());

        for (size_t i = 0; i < n; i++)
          all[e].insert (targets[picks[i]].name);
      }
    return all;
  }

  /* Returns the number of picks in B that are not in A.  */
  static size_t
  count_new (const Subsets &a, const Subsets &b)
  {
    size_t n = 0;

    for (size_t e = 0; e < a.size (); e++)
      for (uint64_t t : b[e])
        n += a[e].count (t) == 0;
    return n;
  }

  void
  subset_command (const Words &w)
  {
    uint32_t entries = (uint32_t)number (w, "entries", 3);
    size_t want = (size_t)number (w, "want", 64);
    uint32_t domains = (uint32_t)number (w, "domains", 3);
    std::vector<cv_subset_target_t> targets;
    std::map<uint64_t, size_t> seen;
    size_t picks = 0;
    size_t most = 0;
    size_t least = SIZE_MAX;

    for (uint32_t i = 0; i < number (w, "targets", 10); i++)
      targets.push_back ({ name_hash ("target-" + std::to_string (i)),
                           name_hash (std::to_string (i % domains)) });
    Subsets before = subsets (entries, targets, want);
    for (const auto &subset : before)
      for (uint64_t t : subset)
        picks++, seen[t]++;
    for (const auto &t : targets)
      {
        most = std::max (most, seen[t.name]);
        least = std::min (least, seen[t.name]);
      }
    out << "each entry chooses " << picks / entries
        << ", each target is chosen by " << least << " to " << most << ", mean "
        << picks / targets.size () << "\n";
    std::reverse (targets.begin (), targets.end ());
    out << "another order: "
        << count_new (before, subsets (entries, targets, want))
        << " new picks\n";
    targets.front ().name = name_hash ("another");
    out << "a target replaced: "
        << count_new (before, subsets (entries, targets, want))
        << " new picks\n";
    targets.erase (std::remove_if (targets.begin (), targets.end (),
                                   [] (const cv_subset_target_t &t) {
                                     return t.domain == name_hash ("0");
                                   }),
                   targets.end ());
    Subsets after = subsets (entries, targets, want);
    out << "a failure domain lost: " << count_new (before, after)
        << " new picks of " << picks << "\n";
  }

  cv_length_key_t
  key (const std::string &account, const std::string &class_name)
  {
    return { name_hash (account), name_hash (class_name), 1 };
  }

  void
  length_command (const Words &w)
  {
    cv_length_key_t k = key (w[1], w[2]);

    if (w[0] == "length.observe")
      for (int i = 0; i < (int)number (w, "times", 1); i++)
        cv_length_observe (lengths, &k, (uint32_t)std::stoul (w[3]));
    else
      out << cv_length_remaining (
          lengths, &k, (uint32_t)number (w, "produced", 0),
          (uint32_t)number (w, "limit", 4096), number (w, "q", 0.5))
          << "\n";
  }

  void
  router_command (const Words &w)
  {
    cv_route_request_t req = {};
    cv_load_t load = {};
    uint32_t target = w.size () > 1 ? (uint32_t)atoi (w[1].c_str ()) : 0;

    req.pool = 7;
    req.prefix_hash = (uint64_t)number (w, "prefix", 1);
    req.prompt_tokens = (uint32_t)number (w, "prompt", 100);
    req.expect = (uint32_t)number (w, "expect", 100);
    req.avoid = (uint32_t)number (w, "avoid", CV_NO_TARGET);
    load.kv_total = 100000;
    load.kv_used = (uint64_t)number (w, "used", 0);
    load.waiting = (uint32_t)number (w, "waiting", 0);
    load.running = (uint32_t)number (w, "running", 0);
    if (w[0] == "router.report")
      cv_router_report (router, now, target, 7,
                        (cv_target_state_t)number (w, "state", 1), &load);
    else if (w[0] == "router.remove")
      cv_router_remove (router, target);
    else if (w[0] == "router.progress")
      cv_router_progress (router, now, target, 1);
    else if (w[0] == "router.started")
      cv_router_started (router, now, target, &req);
    else if (w[0] == "router.ended")
      cv_router_ended (router, now, target, &req, number (w, "ok", 1) > 0);
    else if (w[0] == "router.pressure")
      out << cv_router_pressure (router, 7) << "\n";
    else
      {
        uint32_t t = cv_router_pick (router, now, &req);

        out << (t == CV_NO_TARGET ? "none" : std::to_string (t)) << "\n";
        if (t != CV_NO_TARGET && number (w, "start", 0) > 0)
          cv_router_started (router, now, t, &req);
      }
  }

  void
  limits_command (const Words &w)
  {
    cv_account_limits_t a = {};

    if (w[0] == "limits.set")
      {
        a.weight = (uint32_t)number (w, "weight", 1);
        a.concurrency = (uint32_t)number (w, "concurrency", 0);
        a.tokens_per_s = (uint32_t)number (w, "rate", 0);
        a.burst_tokens = (uint32_t)number (w, "burst", 0);
        cv_limits_set (limits, name_hash (w[1]), &a);
      }
    else if (w[0] == "limits.share")
      cv_limits_set_entries (limits, (uint32_t)std::stoul (w[1]));
    else if (w[0] == "limits.pressure")
      cv_limits_set_pressure (limits, std::stod (w[1]));
    else if (w[0] == "limits.charge")
      cv_limits_charge (limits, now, name_hash (w[1]),
                        (uint32_t)std::stoul (w[2]));
    else if (w[0] == "limits.ended")
      cv_limits_ended (limits, now, name_hash (w[1]));
    else
      {
        cv_admission_t r = cv_limits_admit (limits, now, name_hash (w[1]), 1);

        if (r.admitted)
          out << "admitted\n";
        else
          out << "refused " << r.reason << " retry in "
              << (r.retry_after_ms + 499) / 500 * 500 << " ms or less\n";
      }
  }

  void
  gate_command (const Words &w)
  {
    uint32_t slot = w.size () > 1 ? (uint32_t)atoi (w[1].c_str ()) : 0;

    if (w[0] == "gate.new")
      {
        cv_gate_free (gate);
        gate = cv_gate_new ((uint64_t)number (w, "memory", 1000),
                            (uint32_t)number (w, "batch", 8));
      }
    else if (w[0] == "gate.offer")
      gate_offer (w, slot);
    else if (w[0] == "gate.progress")
      cv_gate_progress (gate, now, slot, (uint32_t)std::stoul (w[2]));
    else if (w[0] == "gate.preempted")
      cv_gate_preempted (gate, now, slot);
    else if (w[0] == "gate.ended")
      cv_gate_ended (gate, now, slot, number (w, "natural", 1) > 0);
    else if (w[0] == "gate.learn")
      gate_learn (w);
    else if (w[0] == "gate.load")
      {
        cv_load_t load = {};

        cv_gate_load (gate, &load);
        out << "running " << load.running << " waiting " << load.waiting
            << " used " << load.kv_used << "\n";
      }
    else
      gate_tick ();
  }

  void
  gate_offer (const Words &w, uint32_t slot)
  {
    cv_gate_work_t work = {};
    uint32_t retry = 0;

    work.slot = slot;
    work.key = key (w[2], w[3]);
    work.priority = (uint32_t)number (w, "priority", 1);
    work.weight = (uint32_t)number (w, "weight", 1);
    work.prompt_tokens = (uint32_t)number (w, "prompt", 10);
    work.max_tokens = (uint32_t)number (w, "max", 100);
    work.deadline = now + (cv_time_t)number (w, "deadline", 1000) * CV_MS;
    work.suspect = number (w, "suspect", 0) > 0;
    if (cv_gate_offer (gate, now, &work, &retry))
      out << "queued\n";
    else
      out << "rejected, retry in " << retry << " ms\n";
  }

  /* Runs streams of an account and class to their end, one by one.  */
  void
  gate_learn (const Words &w)
  {
    cv_gate_action_t act[4];
    cv_gate_work_t work = {};
    uint32_t retry = 0;

    work.slot = 1000;
    work.key = key (w[1], w[2]);
    work.max_tokens = 10000;
    work.deadline = now + CV_SECOND;
    for (int i = 0; i < (int)number (w, "times", 1); i++)
      {
        ASSERT_TRUE (cv_gate_offer (gate, now, &work, &retry));
        ASSERT_EQ (1u, cv_gate_tick (gate, now, act, 4));
        cv_gate_progress (gate, now, 1000, (uint32_t)std::stoul (w[3]));
        cv_gate_ended (gate, now, 1000, true);
      }
  }

  void
  gate_tick ()
  {
    static const char *const verb[] = { "start", "pause", "resume", "refuse" };
    cv_gate_action_t act[16];
    size_t n = cv_gate_tick (gate, now, act, 16);

    for (size_t i = 0; i < n; i++)
      out << verb[act[i].verb] << " " << act[i].slot << "\n";
  }

  void
  suspects_command (const Words &w)
  {
    static const char *const name[] = { "clear", "suspect", "quarantined" };

    if (w[0] == "suspects.strike")
      {
        std::vector<cv_suspect_request_t> contents;

        for (size_t i = 2; i < w.size (); i++)
          {
            size_t slash = w[i].find ('/');
            uint32_t seen
                = slash == std::string::npos
                      ? CV_SEEN_ALL
                      : (uint32_t)std::stoul (w[i].substr (slash + 1));

            contents.push_back ({ { std::stoull (w[i]), seen, 0 }, {}, 0 });
          }
        cv_suspects_strike (suspects, contents.data (), contents.size (),
                            std::stol (w[1]), ++deaths);
      }
    else if (w[0] == "suspects.state")
      out << name[cv_suspects_state (suspects, std::stoull (w[2]),
                                     std::stol (w[1]))]
          << "\n";
    else if (w[0] == "suspects.clear")
      cv_suspects_clear (suspects, std::stoull (w[1]));
    else if (w[0] == "suspects.merge")
      {
        cv_error_t err = {};

        out << (cv_suspects_merge (suspects, cv_slice (w[1].c_str ()), &err)
                    ? "merged"
                    : err.text)
            << "\n";
      }
    else
      {
        cv_buf_t buf;

        cv_buf_init (&buf);
        cv_suspects_dump (suspects, NULL, NULL, &buf);
        out << cv_buf_text (&buf) << "\n";
        cv_buf_finish (&buf);
      }
  }
};

std::string
read_file (const std::filesystem::path &path)
{
  std::ifstream in (path);
  std::ostringstream text;

  text << in.rdbuf ();
  return text.str ();
}

class Scripts : public testing::TestWithParam<std::string>
{
};

TEST_P (Scripts, PrintTheExpectedOutput)
{
  std::filesystem::path dir = CV_TEST_DIR "/scripts";
  std::ifstream in (dir / (GetParam () + ".script"));
  Script script;

  ASSERT_TRUE (in.is_open ());
  EXPECT_EQ (read_file (dir / (GetParam () + ".expected")), script.run (in));
}

INSTANTIATE_TEST_SUITE_P (Policy, Scripts,
                          testing::Values ("gate", "length", "limits", "retry",
                                           "router", "subset", "suspects"),
                          [] (const auto &param) { return param.param; });

} /* namespace */
