// Runs catkinctl and catkinvaled with the stand-ins: the transcript of each
// scripts/NAME.script must equal NAME.expected.

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "processes.h"

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
  std::vector<std::string> found;
  for (const auto &e : std::filesystem::directory_iterator (kScripts))
    if (e.path ().extension () == ".script")
      found.push_back (e.path ().stem ().string ());
  std::sort (found.begin (), found.end ());
  return found;
}

class Script : public testing::TestWithParam<std::string>
{
};

TEST_P (Script, GivesTheExpectedTranscript)
{
  Processes processes;
  std::istringstream script (read_file (kScripts / (GetParam () + ".script")));
  std::string got;
  std::string line;
  while (std::getline (script, line))
    if (!line.empty ())
      got += line[0] == '#' ? line + "\n"
                            : "> " + line + "\n" + processes.run (line);
  if (getenv ("CV_TEST_OUT") != nullptr)
    std::ofstream (std::string (getenv ("CV_TEST_OUT")) + "/" + GetParam ()
                   + ".expected")
        << got;
  EXPECT_EQ (read_file (kScripts / (GetParam () + ".expected")), got);
}

INSTANTIATE_TEST_SUITE_P (Files, Script, testing::ValuesIn (script_names ()),
                          [] (const auto &script) { return script.param; });

}
