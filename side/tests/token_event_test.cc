// Token events: the fast reader takes what it must and leaves the rest.

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "side/token_event.h"

namespace
{

std::string
read (const std::string &event)
{
  uint32_t index = 0;
  cv_slice_t text = {};

  if (!cv_token_event (event.data (), event.size (), &index, &text))
    return "other";
  return std::to_string (index) + " '" + std::string (text.p, text.n) + "'";
}

TEST (TokenEvent, Table)
{
  const std::vector<std::pair<std::string, std::string>> table = {
    { R"({"i":0,"t":"word "})", "0 'word '" },
    { R"({"i":123456789,"t":""})", "123456789 ''" },
    { "{\"i\":7,\"t\":\"z\xc4\x81" "b\"}", "7 'z\xc4\x81" "b'" },
    { R"({"i":1,"t":"}{:,"})", "1 '}{:,'" },
    { R"({"i":1,"t":"a\"b"})", "other" },
    { R"({"i":1,"t":"a\\"})", "other" },
    { R"({"i":1,"t":"a","x":"b"})", "other" },
    { R"({"i":1,"t":"a"b"})", "other" },
    { R"({"i":01,"t":"a"})", "other" },
    { R"({"i":-1,"t":"a"})", "other" },
    { R"({"i":1234567890,"t":"a"})", "other" },
    { R"({"i":,"t":"a"})", "other" },
    { R"({"i":1,"t":"})", "other" },
    { R"({"i":1,"t":"a"} )", "other" },
    { R"({"i":1})", "other" },
    { R"({"t":"a","i":1})", "other" },
    { "{\"i\":1,\"t\":\"a\tb\"}", "other" },
    { R"({"end":"stop","n":17})", "other" },
    { "", "other" },
  };

  for (const auto &[event, expected] : table)
    EXPECT_EQ (read (event), expected) << event;
}

// Every cut of a valid event is left to the other reader.
TEST (TokenEvent, Cuts)
{
  const std::string whole = R "({" i ":12," t ":" ab "})";

  for (size_t n = 0; n < whole.size (); n++)
    EXPECT_EQ (read (whole.substr (0, n)), "other") << n;
}

} // namespace
