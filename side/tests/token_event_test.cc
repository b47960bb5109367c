// Tests of the fast parser for token events: it accepts only the plain form and
// rejects everything else, which the JSON parser then handles.  In the tables '
// replaces the quotation mark.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "side/token_event.h"

namespace
{

using row_t = std::pair<std::string, std::string>;

std::string
parse (std::string event)
{
  uint32_t index = 0;
  cv_slice_t text = {};

  std::replace (event.begin (), event.end (), '\'', '"');
  if (!cv_token_event_parse (event.data (), event.size (), &index, &text))
    return "other";
  return std::to_string (index) + " [" + std::string (text.p, text.n) + "]";
}

TEST (TokenEvent, Table)
{
  const std::vector<row_t> table = {
    { "{'i':0,'t':'word '}", "0 [word ]" },
    { "{'i':123456789,'t':''}", "123456789 []" },
    { "{'i':7,'t':'z\xc4\x81'}", "7 [z\xc4\x81]" },
    { "{'i':1,'t':'}{:,'}", "1 [}{:,]" },
    { "{'i':1,'t':'a\\'b'}", "other" },
    { "{'i':1,'t':'a\\'}", "other" },
    { "{'i':1,'t':'a','x':'b'}", "other" },
    { "{'i':1,'t':'a'b'}", "other" },
    { "{'i':01,'t':'a'}", "other" },
    { "{'i':-1,'t':'a'}", "other" },
    { "{'i':1234567890,'t':'a'}", "other" },
    { "{'i':,'t':'abc'}", "other" },
    { "{'i':1,'t':'}", "other" },
    { "{'i':12345,'t':'}", "other" },
    { "{'i':1,'t':'a'} ", "other" },
    { "{'i':1}", "other" },
    { "{'t':'a','i':1}", "other" },
    { "{'i':1,'t':'a\tb'}", "other" },
    { "{'end':'stop','n':17}", "other" },
    { "", "other" },
  };

  for (const auto &row : table)
    EXPECT_EQ (parse (row.first), row.second) << row.first;
}

// Every truncation of a valid event is rejected.
TEST (TokenEvent, Cuts)
{
  const std::string complete = "{'i':12,'t':'ab'}";

  for (size_t n = 0; n < complete.size (); n++)
    EXPECT_EQ (parse (complete.substr (0, n)), "other") << n;
}

} // namespace
