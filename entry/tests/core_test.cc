/* Runs each scripts/NAME.script against an entry core and compares the
   transcript with scripts/NAME.expected.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "core_script.h"

namespace
{

const std::filesystem::path kScripts = CV_TEST_DIR "/scripts";

std::string
read_file (const std::filesystem::path &path)
{
  std::ifstream in (path);
  std::stringstream text;
  text << in.rdbuf ();
  return text.str ();
}

std::vector<std::string>
script_names ()
{
  std::vector<std::string> names;
  for (const auto &e : std::filesystem::directory_iterator (kScripts))
    if (e.path ().extension () == ".script")
      names.push_back (e.path ().stem ().string ());
  std::sort (names.begin (), names.end ());
  return names;
}

class CoreTest : public testing::TestWithParam<std::string>
{
};

TEST_P (CoreTest, TranscriptMatches)
{
  CoreScript script;
  std::string got
      = script.run (read_file (kScripts / (GetParam () + ".script")));
  EXPECT_EQ (read_file (kScripts / (GetParam () + ".expected")), got);
}

INSTANTIATE_TEST_SUITE_P (Scripts, CoreTest,
                          testing::ValuesIn (script_names ()),
                          [] (const auto &name) { return name.param; });

}
