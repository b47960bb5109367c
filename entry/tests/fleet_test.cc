// An entry in a fleet of the size in docs/CAPACITY.md: the choice of targets
// to connect to, the bandwidth of heartbeats, and configuration patches.

#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "entry/link_internal.h"
}

namespace
{

constexpr int kEntries = 1800;
constexpr int kPools = 14;
constexpr int kTargetsPerPool = 529;
// TCP/IP and ZeroMQ headers of a message.
constexpr size_t kPacketHeaderBytes = 54;
// Upper bound in the test; an entry aims at 5,000 (core_targets.c).
constexpr double kHeartbeatBytesPerSecond = 7000;

std::string
document (int weight)
{
  return "{\"classes\":{\"tag\":{}},\"accounts\":{\"mall\":{\"key_hash\":\""
         + std::string (64, 'a')
         + "\",\"class\":\"tag\",\"weight\":" + std::to_string (weight) + "}}}";
}

class Core
{
public:
  Core ()
  {
    cv_entry_options_t o = {};
    (void)cv_copy (o.instance, sizeof o.instance, "entry-1");
    o.out = { send, nullptr, nullptr, nullptr, nullptr, this };
    core = cv_entry_new (&o);
  }

  ~Core () { cv_entry_free (core); }

  bool
  adopt (uint64_t version, int weight)
  {
    std::string text = document (weight);
    cv_config_t *c
        = cv_config_parse (version, { text.data (), text.size () }, nullptr);
    bool adopted = cv_entry_adopt_config (core, now, c);
    cv_config_unref (c);
    return adopted;
  }

  void
  deliver (const std::string &frame)
  {
    cv_msg_t msg;
    ASSERT_TRUE (cv_msg_decode (&msg, frame.data (), frame.size (), nullptr));
    cv_entry_message (core, now, 0, &msg);
  }

  std::vector<std::string>
  pull (uint64_t have)
  {
    cv_msg_t msg = {};
    msg.type = CV_MSG_DOC_PULL;
    msg.u.doc_pull.have = have;
    sent.clear ();
    cv_entry_message (core, now, 0, &msg);
    return sent;
  }

  std::string
  current () const
  {
    const cv_config_t *c = cv_entry_config (core);
    return std::to_string (c->version) + " weight "
           + std::to_string (cv_config_account (c, "mall")->limits.weight);
  }

  cv_entry_core_t *core;
  cv_time_t now = CV_SECOND;
  std::vector<std::string> sent;

private:
  static void
  send (void *arg, uint32_t, const cv_msg_t *msg)
  {
    cv_buf_t frame;
    cv_buf_init (&frame);
    cv_msg_encode (msg, &frame);
    static_cast<Core *> (arg)->sent.emplace_back (frame.p, frame.n);
    cv_buf_finish (&frame);
  }
};

cv_msg_doc_t
doc_of (const std::string &frame)
{
  cv_msg_t msg = {};
  EXPECT_TRUE (cv_msg_decode (&msg, frame.data (), frame.size (), nullptr));
  EXPECT_EQ (CV_MSG_DOC, msg.type);
  return msg.u.doc;
}

TEST (Fleet, ConfigIsSentAsPatchesIfKnownAndElseAsDocument)
{
  Core writer;
  cv_entry_target_add (writer.core, writer.now, "t", "p");
  writer.adopt (10, 1);
  Core reader;
  cv_entry_target_add (reader.core, reader.now, "t", "p");
  reader.adopt (10, 1);
  writer.adopt (11, 2);
  writer.adopt (12, 3);

  auto patches = writer.pull (10);
  ASSERT_EQ (2u, patches.size ());
  EXPECT_EQ (10u, doc_of (patches[0]).base);
  EXPECT_LT (patches[0].size () + patches[1].size (), 120u);
  auto full = writer.pull (3);
  ASSERT_EQ (1u, full.size ());
  EXPECT_EQ (0u, doc_of (full[0]).base);

  reader.deliver (patches[1]); // for another base version
  EXPECT_EQ ("10 weight 1", reader.current ());
  reader.deliver (patches[0]);
  EXPECT_EQ ("11 weight 2", reader.current ());
  reader.deliver (patches[1]);
  EXPECT_EQ ("12 weight 3", reader.current ());
  reader.deliver (patches[0]); // late
  EXPECT_EQ ("12 weight 3", reader.current ());
  // A reader that received a patch can send it to others.
  ASSERT_EQ (1u, reader.pull (11).size ());
  EXPECT_EQ (11u, doc_of (reader.sent[0]).base);
}

TEST (Fleet, HeartbeatsStayWithinTheBandwidthLimit)
{
  for (int targets : { 1, 12, 84, 200 })
    {
      Core c;
      size_t bytes = 0;
      std::string report;
      cv_msg_t msg = {};
      cv_buf_t frame;

      c.adopt (1, 1);
      for (int i = 0; i < targets; i++)
        cv_entry_target_add (c.core, c.now,
                             ("target-lhr-a-00" + std::to_string (i)).c_str (),
                             "narrator-pool");
      msg.type = CV_MSG_REPORT;
      (void)cv_copy (msg.u.report.pool, CV_NAME_MAX, "narrator-pool");
      (void)cv_copy (msg.u.report.failure_domain, CV_NAME_MAX, "lhr-a");
      msg.u.report.incarnation = UINT64_MAX;
      msg.u.report.state = CV_TARGET_STATE_LIVE;
      msg.u.report.load
          = { 60, 300, 900000, 1000000, 900000, 100000, 50000, 1000 };
      cv_buf_init (&frame);
      for (int s = 0; s < 60 * 1000; s += 20)
        {
          c.sent.clear ();
          c.now += 20 * CV_MS;
          cv_entry_tick (c.core, c.now);
          // Each HELLO is answered by a REPORT.
          for (size_t i = 0; i < c.sent.size (); i++)
            {
              uint32_t t = static_cast<uint32_t> (i) % targets;
              (void)snprintf (msg.u.report.target, CV_NAME_MAX,
                              "target-lhr-a-00%u", t);
              cv_buf_reset (&frame);
              cv_msg_encode (&msg, &frame);
              if (s >= 20 * 1000) // all have reported by then
                bytes += c.sent[i].size () + frame.n + 2 * kPacketHeaderBytes;
              cv_entry_message (c.core, c.now, t, &msg);
            }
        }
      cv_buf_finish (&frame);
      EXPECT_LE (bytes / 40., kHeartbeatBytesPerSecond) << targets;
      EXPECT_GT (bytes, 0u);
      EXPECT_FALSE (cv_entry_target_is_lost (c.core, 0)) << targets;
    }
}

std::vector<cv_instance_t>
fleet (int pools, int per_pool)
{
  std::vector<cv_instance_t> list;

  for (int i = 0; i < pools * per_pool; i++)
    {
      cv_instance_t instance = {};
      (void)snprintf (instance.id, sizeof instance.id, "t%d", i);
      (void)snprintf (instance.pool, sizeof instance.pool, "p%d", i % pools);
      (void)snprintf (instance.failure_domain, sizeof instance.failure_domain,
                      "d%d", i % 13);
      list.push_back (instance);
    }
  return list;
}

std::map<std::string, int>
chosen_per_pool (int entries, std::vector<cv_instance_t> list)
{
  cv_entry_link_t link = {};
  std::map<std::string, int> by_pool;

  (void)cv_copy (link.instance, sizeof link.instance, "entry-lhr-a-1");
  link.entries = static_cast<uint32_t> (entries);
  cv_entry_link_select_targets (&link, list.data (), list.size ());
  for (const auto &instance : list)
    by_pool[instance.pool] += instance.chosen;
  return by_pool;
}

TEST (Fleet, ConnectsToAllTargetsOfASmallFleetAndSomeOfALargeOne)
{
  for (const auto &[pool, count] : chosen_per_pool (4, fleet (2, 8)))
    EXPECT_EQ (8, count) << pool;
  auto large = chosen_per_pool (kEntries, fleet (kPools, kTargetsPerPool));
  EXPECT_EQ (static_cast<size_t> (kPools), large.size ());
  for (const auto &[pool, count] : large)
    {
      EXPECT_GE (count, 4) << pool;
      EXPECT_LE (count, 14) << pool;
    }
}

}
