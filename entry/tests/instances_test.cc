/* Answers to polls of the instance list.  */

#include <gtest/gtest.h>

#include <unistd.h>

#include <cstring>
#include <string>

#include "entry/instances.h"
#include "store/tests/odd_server.h"

namespace
{

/* A list of COUNT entries.  */
std::string
list_of (int count)
{
  std::string entries = "{\"role\":\"entry\"}";

  for (int i = 1; i < count; i++)
    entries += ",{\"role\":\"entry\"}";
  return "{\"rev\":" + std::to_string (count) + ",\"instances\":[" + entries
         + "]}";
}

std::string
answer (const std::string &status, const std::string &fields,
        const std::string &body)
{
  return "HTTP/1.1 " + status + " X\r\nContent-Length: "
         + std::to_string (body.size ()) + "\r\n" + fields + "\r\n" + body;
}

/* Whether a list of three entries in ANSWER, which a proper list of two
   follows, is adopted.  */
bool
is_adopted (const std::string &first)
{
  OddServer server (answer ("200", "", list_of (2)), false, first);
  cv_entry_settings_t settings = {};
  cv_error_t err = {};
  uint32_t count = 0;
  bool adopted = false;

  strcpy (settings.instance, "e");
  strcpy (settings.instance_list.url, server.url ().c_str ());
  settings.instance_list.timeout_ms = 1000;
  settings.instance_poll_ms = 100;
  cv_entry_link_t *link = cv_entry_link_new (&settings, &err);
  cv_instances_t *instances = cv_instances_new (&settings, link, &err);
  for (cv_time_t until = cv_now () + 5 * CV_SECOND;
       count != 2 && cv_now () < until; usleep (1000))
    {
      count = cv_entry_link_entry_count (link);
      adopted |= count == 3;
    }
  EXPECT_EQ (2U, count) << first;
  cv_instances_free (instances);
  cv_entry_link_free (link);
  return adopted;
}

TEST (Instances, AListWithALineThatIsNoFieldIsNone)
{
  const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n";
  const std::string chunks = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n";
  const std::string list = list_of (3);
  char size[16];

  (void)snprintf (size, sizeof size, "%zx", list.size ());
  const std::string chunked
      = chunks + size + "\r\n" + list + "\r\n0\r\nX-Sum: 1\r\n";
  EXPECT_TRUE (is_adopted (chunked + "\r\n"));
  for (const std::string &text : kInvalidFields)
    {
      const std::string line = text + "\r\n";

      for (const std::string &odd :
           { answer ("200", "X-A: 1\r\n" + line, list),
             early + line + "\r\n" + answer ("200", "", list),
             early + "\r\n" + answer ("200", line, list),
             chunked + line + "\r\n" })
        EXPECT_FALSE (is_adopted (odd)) << odd;
    }
}

TEST (Instances, AListWithAStatusThatIsNoneIsNone)
{
  EXPECT_TRUE (is_adopted (answer ("200", "", list_of (3))));
  for (const char *status :
       { "000", "099", "101", "600", "2000", "-20", "2xx" })
    EXPECT_FALSE (is_adopted (answer (status, "", list_of (3)))) << status;
}

} // namespace
