// Reads the settings files in this folder and compares the reported problems
// with the *.expected files.

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "base/tests/field_rows.h"
#include "settings/fields.h"
#include "settings/settings.h"

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

// Reads NAME.json of this folder into OUT and returns the reported problems.
std::string
problems_of (const std::string &name, cv_settings_t *out, bool *ok)
{
  std::string text
      = read_file (std::string (CV_TEST_DIR) + "/" + name + ".json");
  char *report = nullptr;
  size_t size = 0;
  FILE *errors = open_memstream (&report, &size);
  *ok = cv_settings_parse ((name + ".json").c_str (),
                           cv_slice_t{ text.data (), text.size () }, out,
                           errors);
  fclose (errors);
  std::string result (report, size);
  free (report);
  return result;
}

class InvalidFile : public testing::TestWithParam<const char *>
{
};

TEST_P (InvalidFile, ReportsEachProblem)
{
  cv_settings_t s;
  bool ok = true;
  std::string name = GetParam ();
  std::string got = problems_of (name, &s, &ok);
  EXPECT_FALSE (ok);
  EXPECT_EQ (read_file (std::string (CV_TEST_DIR) + "/" + name + ".expected"),
             got);
}

INSTANTIATE_TEST_SUITE_P (Files, InvalidFile,
                          testing::Values ("many_problems", "side_problems",
                                           "duplicate_address", "no_role",
                                           "not_json", "cut", "trailing"));

TEST (Settings, ReadsEntryWithDefaults)
{
  cv_settings_t s;
  bool ok = false;
  EXPECT_EQ ("", problems_of ("entry", &s, &ok));
  ASSERT_TRUE (ok);
  ASSERT_EQ (CV_ROLE_ENTRY, s.role);
  EXPECT_STREQ ("entry-1", s.u.entry.instance);
  EXPECT_STREQ ("127.1.0.1", s.u.entry.http.address);
  EXPECT_EQ (8080u, s.u.entry.http.port);
  EXPECT_EQ (1000u, s.u.entry.store.timeout_ms);
  EXPECT_EQ (300u, s.u.entry.instance_list.timeout_ms);
  EXPECT_EQ (2000u, s.u.entry.max_connections);
  char where[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT];
  ASSERT_EQ (1u, cv_settings_listen_endpoints (&s, where));
  EXPECT_STREQ ("127.1.0.1:8080", where[0]);
}

TEST (Settings, ReadsSide)
{
  cv_settings_t s;
  bool ok = false;
  EXPECT_EQ ("", problems_of ("side", &s, &ok));
  ASSERT_TRUE (ok);
  ASSERT_EQ (CV_ROLE_SIDE, s.role);
  EXPECT_STREQ ("narrator-1", s.u.side.instance);
  EXPECT_EQ (CV_TARGET_ENGINE, s.u.side.kind);
  char where[CV_SETTINGS_ENDPOINTS_MAX][CV_ENDPOINT_TEXT];
  ASSERT_EQ (2u, cv_settings_listen_endpoints (&s, where));
  EXPECT_STREQ ("[::1]:7002", where[1]);
}

TEST (Settings, MissingFileIsOneLine)
{
  cv_settings_t s;
  char *report = nullptr;
  size_t size = 0;
  FILE *errors = open_memstream (&report, &size);
  EXPECT_FALSE (cv_settings_load ("/nonexistent.json", &s, errors));
  fclose (errors);
  EXPECT_STREQ (
      "/nonexistent.json:0:0: cannot be opened: No such file or directory\n",
      report);
  free (report);
}

class Documentation
    : public testing::TestWithParam<std::pair<cv_role_t, const char *>>
{
};

// docs/SETTINGS.md must have a table row for each key in the section of the
// role, and the manual page an item.
TEST_P (Documentation, HasEachKeyWithItsRangeAndDefault)
{
  std::string page
      = read_file (std::string (CV_TEST_DIR) + "/../../docs/SETTINGS.md");
  std::string man
      = read_file (std::string (CV_TEST_DIR) + "/../../man/catkinvale.conf.5");
  size_t start
      = page.find (std::string ("\n## Role `") + GetParam ().second + "`");
  ASSERT_NE (std::string::npos, start);
  std::string part
      = page.substr (start, page.find ("\n## ", start + 1) - start);
  for (const auto &row : field_rows (cv_settings_fields (GetParam ().first)))
    {
      EXPECT_NE (std::string::npos, part.find ("\n" + row)) << row;
      EXPECT_NE (std::string::npos, man.find (man_item (row))) << row;
    }
}

INSTANTIATE_TEST_SUITE_P (
    Roles, Documentation,
    testing::Values (std::make_pair (CV_ROLE_ENTRY, "entry"),
                     std::make_pair (CV_ROLE_SIDE, "side"),
                     std::make_pair (CV_ROLE_GATEWAY, "gateway"),
                     std::make_pair (CV_ROLE_OBSERVER, "observer")));

} // namespace
