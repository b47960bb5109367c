// Tests of the store client against an in-process object API that loses
// requests and responses.

#include <gtest/gtest.h>

#include <string>

#include "fake_store.h"
#include "odd_server.h"
#include "store/store.h"

namespace
{

// Expects that the outcome of a write of JSON to the store at URL is unknown.
void
expect_unknown (const std::string &url, const std::string &json)
{
  cv_store_t store;
  cv_error_t err = {};
  uint64_t version = 0;

  cv_store_init (&store, url.c_str (), 5000);
  EXPECT_FALSE (
      cv_store_put (&store, "claims/a", 0, json.c_str (), &version, &err));
  EXPECT_EQ (CV_ERR_UNKNOWN, err.code) << err.text;
  cv_store_finish (&store);
}

class StoreTest : public testing::Test
{
protected:
  FakeStore fake;
  cv_store_t store;
  cv_error_t err = {};
  uint64_t version = 0;

  void
  SetUp () override
  {
    cv_store_init (&store, fake.url ().c_str (), FakeStore::TimeoutMs);
  }
  void
  TearDown () override
  {
    cv_store_finish (&store);
  }
  bool
  put_resolved (uint64_t base, const char *nonce,
                cv_time_t wait = 5 * CV_SECOND)
  {
    std::string json = std::string ("{\"nonce\":\"") + nonce + "\"}";
    return cv_store_put_resolved (&store, "claims/a", base, json.c_str (),
                                  nonce, cv_now () + wait, &version, &err);
  }
};

TEST (StoreStatus, AWriteAnsweredWithAStatusThatIsNoneMayBeApplied)
{
  for (const char *status :
       { "000", "099", "20", "101", "103", "600", "999", "2000", "2xx" })
    {
      OddServer odd ("HTTP/1.1 " + std::string (status)
                     + " X\r\nContent-Length: 2\r\n\r\n{}");
      cv_store_t store;
      cv_object_t object;
      cv_error_t err = {};
      uint64_t version = 0;

      cv_store_init (&store, odd.url ().c_str (), FakeStore::TimeoutMs);
      EXPECT_FALSE (cv_store_put (&store, "claims/a", 0, "{}", &version, &err));
      EXPECT_EQ (CV_ERR_UNKNOWN, err.code) << status << ": " << err.text;
      EXPECT_FALSE (cv_store_get (&store, "claims/a", &object, &err));
      EXPECT_EQ (CV_ERR_UNAVAILABLE, err.code) << status << ": " << err.text;
      cv_store_finish (&store);
    }
}

TEST (StoreField, AWriteAnsweredWithALineThatIsNoFieldMayBeApplied)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string body = "Content-Length: 13\r\n\r\n{\"version\":7}";
  const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n";
  const std::string chunks = status
                             + "Transfer-Encoding: chunked\r\n\r\n"
                               "d\r\n{\"version\":7}\r\n0\r\nX-Sum: 1\r\n";

  for (const std::string &text : kInvalidFields)
    {
      const std::string line = text + "\r\n";

      for (const std::string &answer :
           { status + "X-A: 1\r\n" + line + body,
             early + line + "\r\n" + status + body,
             early + "\r\n" + status + line + body, chunks + line + "\r\n" })
        {
          OddServer server (answer);
          SCOPED_TRACE (answer);
          expect_unknown (server.url (), "{}");
        }
    }
}

TEST (StoreEarly, AWriteAnsweredEarlyWithAResetMayBeApplied)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string upload
      = "\"" + std::string (EarlyServer::UploadBytes, 'u') + "\"";

  for (const std::string &answer :
       { status + "\r\n{\"version\":7}",
         status + "Content-Length: 15\r\n\r\n{\"version\":7}",
         status
             + "Transfer-Encoding: chunked\r\n\r\nd\r\n{\"version\":7}\r\n" })
    {
      EarlyServer server (answer, false);
      SCOPED_TRACE (answer);
      expect_unknown (server.url (), upload);
    }
}

TEST_F (StoreTest, ReadsWhatItWrote)
{
  cv_object_t o;
  ASSERT_TRUE (cv_store_get (&store, "config/current", &o, &err)) << err.text;
  EXPECT_EQ (0u, o.version);
  ASSERT_TRUE (cv_store_put (&store, "config/current", 0, "{\"a\":\"b/c\"}",
                             &version, &err));
  ASSERT_TRUE (cv_store_get (&store, "config/current", &o, &err));
  EXPECT_EQ (version, o.version);
  EXPECT_STREQ ("{\"a\":\"b/c\"}", o.json);
  cv_object_finish (&o);
  EXPECT_FALSE (
      cv_store_put (&store, "config/current", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_CONFLICT, err.code);
  EXPECT_EQ (2u, store.counts.reads);
  EXPECT_EQ (2u, store.counts.writes);
  EXPECT_EQ (0u, store.counts.failures);
}

TEST_F (StoreTest, ListsKeysAndDeletesAtAVersion)
{
  cv_store_entry_t listed[2];
  size_t n;
  for (const char *key : { "a/1", "a/2", "a/3", "b/1" })
    fake.overwrite (key, "{}");
  ASSERT_TRUE (cv_store_list (&store, "a/", "", listed, 2, &n, &err));
  ASSERT_EQ (2u, n);
  EXPECT_STREQ ("a/1", listed[0].key);
  ASSERT_TRUE (cv_store_list (&store, "a/", "a/2", listed, 2, &n, &err));
  ASSERT_EQ (1u, n);
  EXPECT_STREQ ("a/3", listed[0].key);
  EXPECT_FALSE (cv_store_delete (&store, "a/3", listed[0].version + 1, &err));
  EXPECT_EQ (CV_ERR_CONFLICT, err.code);
  EXPECT_EQ ("{}", fake.value ("a/3"));
  EXPECT_TRUE (cv_store_delete (&store, "a/3", listed[0].version, &err));
  EXPECT_EQ ("", fake.value ("a/3"));
  EXPECT_TRUE (cv_store_delete (&store, "a/3", listed[0].version, &err));
  EXPECT_FALSE (cv_store_list (&store, "a/", "a b", listed, 2, &n, &err));
  EXPECT_EQ (CV_ERR_INVALID, err.code);
  EXPECT_EQ (2u, store.counts.reads);
  EXPECT_EQ (3u, store.counts.writes);
}

TEST_F (StoreTest, ReadsVersionAlone)
{
  uint64_t found = 7;
  ASSERT_TRUE (cv_store_get_version (&store, "config/current", &found, &err));
  EXPECT_EQ (0u, found);
  fake.overwrite ("config/current2", "{}");
  ASSERT_TRUE (cv_store_get_version (&store, "config/current", &found, &err));
  EXPECT_EQ (0u, found);
  fake.overwrite ("config/current", "{}");
  ASSERT_TRUE (cv_store_get_version (&store, "config/current", &found, &err));
  EXPECT_EQ (2u, found);
  fake.stop ();
  EXPECT_FALSE (cv_store_get_version (&store, "config/current", &found, &err));
  EXPECT_EQ (CV_ERR_UNAVAILABLE, err.code);
}

TEST_F (StoreTest, RejectsInvalidKeys)
{
  cv_object_t o;
  EXPECT_FALSE (cv_store_get (&store, "Config?x", &o, &err));
  EXPECT_EQ (CV_ERR_INVALID, err.code);
  EXPECT_FALSE (cv_store_put (&store, "", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_INVALID, err.code);
}

TEST_F (StoreTest, PlainWriteDistinguishesUnknownFromUnavailable)
{
  fake.fault (Fault::LoseResponse);
  EXPECT_FALSE (cv_store_put (&store, "k", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_UNKNOWN, err.code);
  fake.fault (Fault::Error500);
  EXPECT_FALSE (cv_store_put (&store, "l", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_UNKNOWN, err.code);
  fake.fault (Fault::Refuse);
  EXPECT_FALSE (cv_store_put (&store, "m", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_UNAVAILABLE, err.code);
  EXPECT_EQ (2, fake.writes);
  fake.stop ();
  EXPECT_FALSE (cv_store_put (&store, "n", 0, "{}", &version, &err));
  EXPECT_EQ (CV_ERR_UNAVAILABLE, err.code);
}

TEST_F (StoreTest, ResolvesALostResponse)
{
  fake.fault (Fault::LoseResponse);
  ASSERT_TRUE (put_resolved (0, "n1")) << err.text;
  EXPECT_EQ (1u, version);
  EXPECT_EQ (1, fake.writes);
  EXPECT_EQ (1u, store.counts.resolved);
}

TEST_F (StoreTest, RetriesWhenTheRequestWasLost)
{
  fake.fault (Fault::LoseRequest);
  ASSERT_TRUE (put_resolved (0, "n1")) << err.text;
  EXPECT_EQ (1, fake.writes);
}

TEST_F (StoreTest, RetryPreventsADelayedWrite)
{
  fake.fault (Fault::Late);
  ASSERT_TRUE (put_resolved (0, "n1")) << err.text;
  usleep ((FakeStore::LateMs + 100) * 1000);
  EXPECT_EQ (1, fake.writes);
  EXPECT_EQ (1u, version);
}

TEST_F (StoreTest, RepeatedWriteWithLostResponseIsSuccess)
{
  fake.fault (Fault::LoseRequest);
  fake.fault (Fault::LoseResponse);
  ASSERT_TRUE (put_resolved (0, "n1")) << err.text;
  EXPECT_EQ (1, fake.writes);
}

TEST_F (StoreTest, LostResponseAfterAnotherWriteIsAConflict)
{
  fake.overwrite ("claims/a", "{\"nonce\":\"other\"}");
  fake.fault (Fault::LoseResponse);
  EXPECT_FALSE (put_resolved (0, "n1"));
  EXPECT_EQ (CV_ERR_CONFLICT, err.code);
  EXPECT_EQ (0, fake.writes);
}

TEST_F (StoreTest, OverwrittenWriteIsFoundAmongEarlierNonces)
{
  fake.overwrite ("claims/a", "{\"nonce\":\"n2\",\"nonces\":[\"n1\"]}");
  fake.fault (Fault::LoseRequest);
  ASSERT_TRUE (put_resolved (0, "n1")) << err.text;
  EXPECT_EQ (1u, version);
}

TEST_F (StoreTest, UnknownOnlyAfterTheDeadline)
{
  for (int i = 0; i < 20; i++)
    fake.fault (Fault::LoseRequest);
  EXPECT_FALSE (put_resolved (0, "n1", 600 * CV_MS));
  EXPECT_EQ (CV_ERR_UNKNOWN, err.code);
}

TEST_F (StoreTest, FirstConflictAndRejectionAreNotRetried)
{
  fake.overwrite ("claims/a", "{\"nonce\":\"other\"}");
  EXPECT_FALSE (put_resolved (0, "n1"));
  EXPECT_EQ (CV_ERR_CONFLICT, err.code);
  fake.fault (Fault::Refuse);
  EXPECT_FALSE (put_resolved (1, "n1"));
  EXPECT_EQ (CV_ERR_UNAVAILABLE, err.code);
  EXPECT_EQ (2u, store.counts.writes);
  EXPECT_EQ (0u, store.counts.reads);
}

TEST (StoreNonce, IsTheFirstKey)
{
  cv_buf_t b;
  cv_buf_init (&b);
  cv_store_add_nonce (cv_slice ("{ \"a\": 1}"), "n", &b);
  EXPECT_STREQ ("{\"nonce\":\"n\",\"a\": 1}", cv_buf_text (&b));
  cv_buf_reset (&b);
  cv_store_add_nonce (cv_slice ("{\n}"), "n", &b);
  EXPECT_STREQ ("{\"nonce\":\"n\"}", cv_buf_text (&b));
  cv_buf_finish (&b);
}

} // namespace
