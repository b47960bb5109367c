/* Suspect content in the object API: several entries write it once, each entry
   reads it at its start, and a sync after a lost response completes it.  */

#include <gtest/gtest.h>

#include <cstdlib>

#include "entry/store_suspects.h"
#include "store/tests/fake_store.h"

namespace
{

const char *const kOne = "{\"suspects\":[{\"hash\":\"0000000000000001\","
                         "\"strikes\":[5,0],\"deaths\":[\"0000000000000007\","
                         "\"0000000000000000\"],\"cleared\":0}]}";
const char *const kTwo = "{\"suspects\":[{\"hash\":\"0000000000000002\","
                         "\"strikes\":[6,0],\"deaths\":[\"0000000000000008\","
                         "\"0000000000000000\"],\"cleared\":0}]}";
const char *const kBoth = "{\"suspects\":[{\"hash\":\"0000000000000001\","
                          "\"strikes\":[5,0],\"deaths\":[\"0000000000000007\","
                          "\"0000000000000000\"],\"cleared\":0},"
                          "{\"hash\":\"0000000000000002\","
                          "\"strikes\":[6,0],\"deaths\":[\"0000000000000008\","
                          "\"0000000000000000\"],\"cleared\":0}]}";

struct Entry
{
  explicit Entry (const FakeStore &fake)
  {
    cv_store_init (&store, fake.url ().c_str (), FakeStore::TimeoutMs);
  }
  ~Entry () { cv_store_finish (&store); }
  bool
  sync (const char *text, uint64_t version)
  {
    char *read = nullptr;
    bool ok = cv_store_suspects_sync (&state, &store, text, version, &read);
    stored = read == nullptr ? "" : read;
    free (read);
    return ok;
  }
  cv_store_t store;
  cv_store_suspects_t state = {};
  std::string stored;
};

TEST (StoreSuspects, AreMergedAndWrittenOnce)
{
  FakeStore fake;
  Entry a (fake), b (fake), c (fake);
  EXPECT_TRUE (cv_store_suspects_due (&a.state, 0));
  EXPECT_TRUE (a.sync (nullptr, 0));
  EXPECT_EQ ("", a.stored);
  EXPECT_FALSE (cv_store_suspects_due (&a.state, 0));
  EXPECT_TRUE (a.sync (kOne, 1));
  EXPECT_TRUE (b.sync (kTwo, 1));
  EXPECT_EQ (kOne, b.stored);
  EXPECT_EQ (2u, a.store.counts.writes + b.store.counts.writes);
  // The entries have received the union from the sides: nothing to write.
  EXPECT_TRUE (a.sync (kBoth, 2));
  EXPECT_TRUE (c.sync (kBoth, 2));
  EXPECT_EQ (kBoth, c.stored);
  EXPECT_EQ (1u, a.store.counts.writes);
  EXPECT_EQ (0u, c.store.counts.writes);
}

TEST (StoreSuspects, ALostResponseTakesOneMoreRead)
{
  FakeStore fake;
  Entry a (fake);
  fake.fault (Fault::LoseResponse);
  EXPECT_FALSE (a.sync (kOne, 1));
  EXPECT_TRUE (cv_store_suspects_due (&a.state, 1));
  EXPECT_TRUE (a.sync (kOne, 1));
  EXPECT_EQ (kOne, a.stored);
  EXPECT_EQ (1u, a.store.counts.writes);
}

}
