// Runs catkinctl and catkinvaled with the stand-ins: the transcript of each
// scripts/NAME.script must equal NAME.expected.

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "processes.h"
#include "store/tests/odd_server.h"

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

// Exit code of catkinctl with ARGUMENTS to the entry at URL.
int
run (const std::string &url, const std::string &arguments)
{
  std::string command = std::string (CATKINCTL) + " --entry " + url
                        + " --key k " + arguments + " >/dev/null 2>&1";
  int status = system (command.c_str ());

  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

TEST (Status, OneThatIsNoneIsNoAnswerOfAnEntry)
{
  const std::string sound
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";

  for (const char *status : { "000", "101", "600", "999" })
    {
      std::string odd = "HTTP/1.1 " + std::string (status)
                        + " X\r\nContent-Length: 2\r\n"
                          "Connection: close\r\n\r\n{}";
      OddServer answers_change (odd, false, sound);
      OddServer answers_none (odd);

      EXPECT_EQ (
          4, run (answers_change.url (), "change 'set account mall weight 2'"))
          << status << ": the outcome is unknown";
      EXPECT_EQ (
          5, run (answers_none.url (), "change 'set account mall weight 2'"))
          << status << ": nothing was sent";
    }
}

}
