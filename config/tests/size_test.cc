// Size and cost of a document with 1,800 accounts and 14 models.  Guards
// against a document that no longer fits one object of the store.

#include <gtest/gtest.h>

#include <malloc.h>

#include <cstdio>
#include <string>

#include "config/config.h"

namespace
{

constexpr int kAccounts = 1800;
constexpr int kModels = 14;
// Limit of an object in the store.
constexpr size_t kObjectMaxBytes = 1024 * 1024;

// Accounts have names of 20 characters and typical values in every field.
std::string
make_document (int accounts)
{
  std::string text = "{\"classes\":{\"report\":{},\"tag\":{}},\"pools\":{";
  char line[512];
  for (int i = 0; i < kModels; i++)
    {
      snprintf (line, sizeof line,
                "%s\"pool-%02d\":{\"kind\":\"engine\",\"kv_tokens\":65536}",
                i > 0 ? "," : "", i);
      text += line;
    }
  text += "},\"models\":{";
  for (int i = 0; i < kModels; i++)
    {
      snprintf (line, sizeof line,
                "%s\"model-%02d\":{\"pool\":\"pool-%02d\",\"adapter\":"
                "\"adapter-%02d\",\"version\":\"2026-11-30\"}",
                i > 0 ? "," : "", i, i, i);
      text += line;
    }
  text += "},\"accounts\":{";
  for (int i = 0; i < accounts; i++)
    {
      std::string key = "key-" + std::to_string (i);
      char hash[CV_KEY_HASH_TEXT];
      cv_key_hash (cv_slice (key.c_str ()), hash);
      snprintf (line, sizeof line,
                "%s\"client-account-%05d\":{\"key_hash\":\"%s\",\"class\":"
                "\"report\",\"weight\":4,\"concurrency\":100,"
                "\"tokens_per_s\":20000,\"burst_tokens\":200000}",
                i > 0 ? "," : "", i, hash);
      text += line;
    }
  return text + "}}";
}

// The document as written to the store by CHANGE, with its nonces.
std::string
changed_document (const cv_config_t *base, const char *change)
{
  cv_buf_t out;
  cv_buf_t diff;
  cv_buf_t doc;
  cv_error_t err = {};
  cv_buf_init (&out);
  cv_buf_init (&diff);
  cv_buf_init (&doc);
  EXPECT_TRUE (cv_change_apply (base, cv_slice (change), &out, &diff, &err))
      << err.text;
  EXPECT_TRUE (cv_config_add_nonces (base, cv_slice (cv_buf_text (&out)),
                                     "0123456789abcdef0123456789abcdef", &doc,
                                     &err));
  std::string text (cv_buf_text (&doc), doc.n);
  cv_buf_finish (&out);
  cv_buf_finish (&diff);
  cv_buf_finish (&doc);
  return text;
}

TEST (Size, FitsOneObject)
{
  cv_error_t err = {};
  std::string full = make_document (kAccounts);
  std::string half_text = make_document (kAccounts / 2);
  cv_config_t *c = cv_config_parse (1, cv_slice (full.c_str ()), &err);
  ASSERT_NE (nullptr, c) << err.text;
  cv_config_t *half = cv_config_parse (1, cv_slice (half_text.c_str ()), &err);
  ASSERT_NE (nullptr, half) << err.text;
  std::string text
      = changed_document (c, "set account client-account-00007 weight 9");
  std::string text_half
      = changed_document (half, "set account client-account-00007 weight 9");
  cv_config_unref (half);
  EXPECT_LT (text.size (),
             kObjectMaxBytes / 2); // leaves room for twice the accounts
  printf ("document: %zu bytes, %zu for an account\n", text.size (),
          (text.size () - text_half.size ()) / (kAccounts / 2));

  struct mallinfo2 before = mallinfo2 ();
  cv_time_t start = cv_now ();
  cv_config_t *again = cv_config_parse (2, cv_slice (text.c_str ()), &err);
  cv_time_t parsed = cv_now ();
  ASSERT_NE (nullptr, again) << err.text;
  printf ("parse: %lld us, %zu bytes kept\n",
          static_cast<long long> (parsed - start),
          mallinfo2 ().uordblks - before.uordblks);
  start = cv_now ();
  std::string next
      = changed_document (again, "set account client-account-00008 weight 9");
  printf ("change: %lld us\n", static_cast<long long> (cv_now () - start));
  EXPECT_EQ (c->account_count, again->account_count);
  cv_config_unref (again);
  cv_config_unref (c);
}

} // namespace
