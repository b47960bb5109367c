// Scripted tests of the operators' language: each line of NAME.script is a
// command on the current configuration, and NAME.expected is the output of all
// commands.  Also tests key lookup, nonces and the documentation of the fields.

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "base/tests/field_rows.h"
#include "config/config.h"
extern "C" {
#include "config/kinds.h"
}

namespace
{

std::string
read_file (const std::string &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

cv_slice_t
slice (const std::string &s)
{
  return cv_slice_t{ s.data (), s.size () };
}

std::string
describe (const cv_error_t &err)
{
  return std::to_string (err.line) + ":" + std::to_string (err.column) + ": "
         + err.text + "\n";
}

// Replaces "\n" in a script line by a newline.
std::string
unescape (std::string s)
{
  for (size_t at = 0; (at = s.find ("\\n", at)) != std::string::npos;)
    s.replace (at, 2, "\n");
  return s;
}

class Session
{
public:
  ~Session () { cv_config_unref (config_); }

  std::string
  run (const std::string &line)
  {
    size_t blank = line.find (' ');
    std::string verb = line.substr (0, blank);
    std::string rest
        = blank == std::string::npos ? "" : unescape (line.substr (blank + 1));
    if (verb == "load")
      return load (read_file (std::string (CV_TEST_DIR) + "/" + rest));
    if (verb == "change" || verb == "try")
      return change (rest, verb == "change");
    if (verb == "document")
      return std::string (config_->text, config_->text_size);
    if (verb == "key")
      return key (rest);
    return query (line);
  }

private:
  cv_config_t *config_ = nullptr;

  std::string
  load (const std::string &text)
  {
    cv_error_t err = {};
    cv_config_t *c = cv_config_parse (version (), slice (text), &err);
    if (c == nullptr)
      return describe (err);
    cv_config_unref (config_);
    config_ = c;
    return "version " + std::to_string (c->version) + "\n";
  }

  uint64_t
  version () const
  {
    return config_ == nullptr ? 1 : config_->version + 1;
  }

  std::string
  change (const std::string &text, bool commit)
  {
    cv_error_t err = {};
    cv_buf_t out;
    cv_buf_t diff;
    cv_buf_init (&out);
    cv_buf_init (&diff);
    std::string result;
    if (!cv_change_apply (config_, slice (text), &out, &diff, &err))
      {
        EXPECT_EQ (0u, out.n);
        EXPECT_EQ (0u, diff.n);
        result = describe (err);
      }
    else
      {
        result = cv_buf_text (&diff);
        if (commit)
          result += load (cv_buf_text (&out));
      }
    cv_buf_finish (&out);
    cv_buf_finish (&diff);
    return result;
  }

  std::string
  key (const std::string &text)
  {
    const cv_account_t *a = cv_config_account_by_key (config_, slice (text));
    return std::string (a == nullptr ? "no account" : a->name) + "\n";
  }

  std::string
  query (const std::string &text)
  {
    cv_error_t err = {};
    cv_query_t *q = cv_query_parse (slice (text), &err);
    if (q == nullptr)
      return describe (err);
    std::string rows;
    cv_query_select (
        q, config_,
        [] (const cv_row_t *row, void *arg) {
          auto *out = static_cast<std::string *> (arg);
          for (size_t i = 0; i < row->count; i++)
            *out += std::string (i > 0 ? " " : "") + row->cell[i].column + "="
                    + row->cell[i].value;
          *out += "\n";
        },
        &rows);
    cv_query_free (q);
    return rows;
  }
};

class Script : public testing::TestWithParam<const char *>
{
};

TEST_P (Script, PrintsWhatIsExpected)
{
  std::string base = std::string (CV_TEST_DIR) + "/" + GetParam ();
  std::istringstream script (read_file (base + ".script"));
  std::string got;
  std::string line;
  Session session;
  while (std::getline (script, line))
    if (!line.empty () && line[0] != '#')
      got += "> " + line + "\n" + session.run (line);
  EXPECT_EQ (read_file (base + ".expected"), got);
}

INSTANTIATE_TEST_SUITE_P (Files, Script,
                          testing::Values ("documents", "changes",
                                           "bad_changes", "queries"));

TEST (Config, ChecksReportEveryProblem)
{
  std::string text = read_file (std::string (CV_TEST_DIR) + "/broken.json");
  char *report = nullptr;
  size_t size = 0;
  FILE *errors = open_memstream (&report, &size);
  EXPECT_FALSE (cv_config_check ("broken.json", slice (text), errors));
  fclose (errors);
  EXPECT_EQ (read_file (std::string (CV_TEST_DIR) + "/broken.expected"),
             std::string (report, size));
  free (report);
}

TEST (Config, LooksUpEachOf1800Accounts)
{
  std::string text = "add class tag\n";
  for (int i = 0; i < 1800; i++)
    {
      char hash[CV_KEY_HASH_TEXT];
      std::string key = "key-" + std::to_string (i);
      cv_key_hash (slice (key), hash);
      text += "add account a" + std::to_string (i) + " class tag key_hash "
              + hash + "\n";
    }
  cv_buf_t out;
  cv_buf_t diff;
  cv_error_t err = {};
  cv_buf_init (&out);
  cv_buf_init (&diff);
  ASSERT_TRUE (cv_change_apply (nullptr, slice (text), &out, &diff, &err))
      << err.text;
  cv_config_t *c = cv_config_parse (1, cv_slice (cv_buf_text (&out)), &err);
  ASSERT_NE (nullptr, c) << err.text;
  EXPECT_EQ (1800u, c->account_count);
  EXPECT_LT (c->text_size, 1024u * 1024);
  for (int i = 0; i < 1800; i++)
    {
      std::string name = "a" + std::to_string (i);
      std::string key = "key-" + std::to_string (i);
      const cv_account_t *a = cv_config_account_by_key (c, slice (key));
      ASSERT_NE (nullptr, a);
      EXPECT_EQ (name, a->name);
      EXPECT_EQ (a, cv_config_account (c, name.c_str ()));
    }
  cv_config_unref (c);
  cv_buf_finish (&out);
  cv_buf_finish (&diff);
}

TEST (Config, DocumentKeepsTheNoncesOfEarlierWrites)
{
  cv_config_t *c = nullptr;
  for (int i = 0; i < 20; i++)
    {
      cv_buf_t out;
      cv_error_t err = {};
      cv_buf_init (&out);
      std::string nonce = "n" + std::to_string (i);
      std::string text
          = c == nullptr ? "{} // empty" : std::string (c->text, c->text_size);
      ASSERT_TRUE (
          cv_config_add_nonces (c, slice (text), nonce.c_str (), &out, &err));
      cv_config_unref (c);
      c = cv_config_parse (1, cv_slice (cv_buf_text (&out)), &err);
      cv_buf_finish (&out);
      ASSERT_NE (nullptr, c) << err.text;
    }
  ASSERT_EQ (static_cast<size_t> (CV_NONCES_MAX), c->nonce_count);
  EXPECT_STREQ ("n19", c->nonces[0]);
  EXPECT_STREQ ("n18", c->nonces[1]);
  EXPECT_STREQ ("n4", c->nonces[15]);
  cv_config_unref (c);
}

TEST (Config, KeyMatchesItsHashOnly)
{
  char hash[CV_KEY_HASH_TEXT];
  cv_key_hash (cv_slice ("abc"), hash);
  EXPECT_STREQ (
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", hash);
  EXPECT_TRUE (cv_key_matches (cv_slice ("abc"), hash));
  EXPECT_FALSE (cv_key_matches (cv_slice ("abd"), hash));
  EXPECT_FALSE (cv_key_matches (cv_slice (""), ""));
}

TEST (Config, PageHasEachKeyWithItsRangeAndDefault)
{
  std::string page
      = read_file (std::string (CV_TEST_DIR) + "/../../docs/CONFIGURATION.md");
  std::string man = read_file (std::string (CV_TEST_DIR)
                               + "/../../man/catkinvale-config.5");
  for (const cv_object_kind_t &kind : cv_kinds)
    {
      size_t at = page.find (std::string ("\n### ") + kind.plural + "\n");
      ASSERT_NE (std::string::npos, at) << kind.plural;
      size_t end = page.find ("\n### ", at + 1);
      for (const auto &row : field_rows (kind.fields))
        {
          EXPECT_LT (page.find ("\n" + row, at), end) << row;
          EXPECT_NE (std::string::npos, man.find (man_item (row))) << row;
        }
    }
  for (const auto &row : field_rows (cv_system_fields))
    EXPECT_NE (std::string::npos, page.find ("\n" + row)) << row;
}

} // namespace
