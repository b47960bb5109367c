/* Tests of the HTTP reader: input split at every position, size limits, and
   messages with ambiguous framing.  */

#include <gtest/gtest.h>

#include <string>

#include "http/reader.h"

namespace
{

/* Reads TEXT in pieces of STEP bytes and returns the parts as text.  */
std::string
read (const std::string &text, enum http_parser_type type, size_t step,
      bool ends = false)
{
  cv_http_reader_t r;
  std::string out;

  cv_http_reader_init (&r, type, 256);
  for (size_t at = 0; at < text.size ();)
    {
      size_t n = std::min (step, text.size () - at);
      size_t used = 0;
      cv_http_part_t part
          = cv_http_reader_next (&r, text.data () + at, n, &used);
      at += used;
      if (part == CV_HTTP_HEAD)
        {
          cv_slice_t target = cv_http_request_target (&r.head);
          out += type == HTTP_REQUEST ? std::string (target.p, target.n)
                                      : std::to_string (r.head.status);
          for (uint32_t i = 0; i < r.head.fields; i++)
            {
              cv_http_field_t f = cv_http_field_at (&r.head, i);
              out += " " + std::string (f.name.p, f.name.n) + "="
                     + std::string (f.value.p, f.value.n);
            }
          out += "|";
        }
      else if (part == CV_HTTP_BODY)
        out += std::string (r.body.p, r.body.n);
      else if (part == CV_HTTP_DONE)
        {
          out += "|done;";
          cv_http_reader_reset (&r);
        }
      else if (part == CV_HTTP_HEAD_TOO_LARGE || part == CV_HTTP_MALFORMED)
        {
          out += part == CV_HTTP_HEAD_TOO_LARGE ? "limit" : "broken";
          break;
        }
    }
  if (ends)
    out += cv_http_reader_eof (&r) ? "|whole" : "|cut";
  cv_http_reader_finish (&r);
  return out;
}

TEST (Reader, SplitInputGivesTheSameResult)
{
  std::string text = "POST /a?b=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n"
                     "\r\nhelloGET /c HTTP/1.1\r\nHost: y\r\n\r\n";
  std::string whole = "/a?b=1 Host=x Content-Length=5|hello|done;"
                      "/c Host=y||done;";

  for (size_t step = 1; step <= text.size (); step++)
    EXPECT_EQ (whole, read (text, HTTP_REQUEST, step)) << step;
}

TEST (Reader, ChunksAndTrailers)
{
  std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n2\r\nde\r\n0\r\nX-After: 1\r\n\r\n";

  for (size_t step = 1; step <= text.size (); step++)
    EXPECT_EQ ("200 Transfer-Encoding=chunked|abcde|done;",
               read (text, HTTP_RESPONSE, step))
        << step;
}

TEST (Reader, AResponseWithoutALengthEndsWithItsConnection)
{
  EXPECT_EQ ("200|ab|whole",
             read ("HTTP/1.1 200 OK\r\n\r\nab", HTTP_RESPONSE, 100, true));
  EXPECT_EQ ("200 Content-Length=9|ab|cut",
             read ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
                   HTTP_RESPONSE, 100, true));
}

TEST (Reader, AmbiguousFramingIsRejected)
{
  const char *const heads[] = {
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
    "chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    "GET / HTTP/1.1\r\nBad Name: 1\r\n\r\n",
    "no protocol\r\n\r\n",
  };

  for (const char *head : heads)
    EXPECT_EQ ("broken", read (head, HTTP_REQUEST, 1000)) << head;
}

std::string
response (const std::string &status)
{
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nab";
}

TEST (Reader, AStatusThatIsNoneIsRejected)
{
  for (const char *status : { "000", "001", "099", "20", "0200", "101", "600",
                              "999", "2000", "-20", "2xx", "" })
    for (size_t step : { 1, 1000 })
      EXPECT_EQ ("broken", read (response (status), HTTP_RESPONSE, step))
          << status;
  for (const char *status : { "200", "299", "421", "500", "599" })
    EXPECT_EQ (std::string (status) + " Content-Length=2|ab|done;",
               read (response (status), HTTP_RESPONSE, 1))
        << status;
  for (const char *status : { "100", "102", "103", "199" })
    EXPECT_EQ (std::string (status) + "||done;200 Content-Length=2|ab|done;",
               read ("HTTP/1.1 " + std::string (status) + " X\r\n\r\n"
                         + response ("200"),
                     HTTP_RESPONSE, 1000))
        << status;
}

TEST (Reader, ATrailerWhoseNameIsNoneIsRejected)
{
  const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n1\r\na\r\n0\r\nX-Sum: 1\r\n";

  for (const char *name : { "X Odd", "X-Odd ", "X-Odd\t", "X\x01Odd", "X(Odd)",
                            "X\xe9", "", "Content-Length " })
    for (size_t step : { 1, 3, 1000 })
      EXPECT_EQ ("200 Transfer-Encoding=chunked|abroken",
                 read (start + name + ": 1\r\n\r\n", HTTP_RESPONSE, step))
          << name << ' ' << step;
}

TEST (Reader, AFoldedLineOfAResponseIsRejected)
{
  const std::string start = "HTTP/1.1 200 OK\r\n";
  const std::string chunks = start + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last = "0\r\nX-Sum: 1\r\n";
  const std::string heads[]
      = { start + "X-A: 1\r\n Content-Length: 2\r\n\r\nab",
          start + "X-A: 1\r\n\tX-B: 2\r\nContent-Length: 2\r\n\r\nab",
          start + "X-A:\r\n Content-Length: 2\r\n\r\nab",
          start + "X-A: 1\n X-B: 2\n\n" };

  for (size_t step : { 1, 3, 1000 })
    {
      for (const std::string &head : heads)
        EXPECT_EQ ("broken", read (head, HTTP_RESPONSE, step)) << head;
      EXPECT_EQ ("200 Transfer-Encoding=chunked|broken",
                 read (chunks + last + " X-B: 2\r\n\r\n", HTTP_RESPONSE, step));
      EXPECT_EQ ("200 Transfer-Encoding=chunked| a\n b|done;",
                 read (chunks + "5\r\n a\n b\r\n" + last + "\r\n",
                       HTTP_RESPONSE, step));
    }
}

TEST (Reader, RequestsHaveFoldedLinesButNoInvalidTrailers)
{
  const std::string start = "POST /a HTTP/1.1\r\n";
  const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n0\r\n";

  for (size_t step : { 1, 3, 1000 })
    {
      EXPECT_EQ (
          "/a X-A=1 X-B: 2||done;",
          read (start + "X-A: 1\r\n X-B: 2\r\n\r\n", HTTP_REQUEST, step));
      EXPECT_EQ (
          "/a Transfer-Encoding=chunked||done;",
          read (chunked + "X-Sum: 1\r\n X-B: 2\r\n\r\n", HTTP_REQUEST, step));
      EXPECT_EQ ("/a Transfer-Encoding=chunked|broken",
                 read (chunked + "X Odd: 1\r\n\r\n", HTTP_REQUEST, step));
    }
}

TEST (Reader, AnswersWithoutABodyEndWithTheirHead)
{
  const std::string next = response ("200");

  for (const char *status : { "100", "103", "204", "304" })
    for (const char *field :
         { "Content-Length: 4", "Transfer-Encoding: chunked",
           "Transfer-Encoding: gzip" })
      {
        std::string out = read ("HTTP/1.1 " + std::string (status) + " X\r\n"
                                    + field + "\r\n\r\n" + next,
                                HTTP_RESPONSE, 1000);
        EXPECT_NE (std::string::npos,
                   out.find ("||done;200 Content-Length=2|ab|done;"))
            << status << ' ' << field << ": " << out;
      }
}

TEST (Reader, AHeadOverTheLimitIsRejected)
{
  std::string text
      = "GET / HTTP/1.1\r\nX: " + std::string (300, 'a') + "\r\n\r\n";

  EXPECT_EQ ("limit", read (text, HTTP_REQUEST, 10));
}

TEST (Reader, ConnectionFieldsAreRecognizedInAnyCase)
{
  for (const char *name :
       { "Connection", "keep-alive", "TRANSFER-ENCODING", "te", "Trailer",
         "Proxy-Connection", "upgrade", "content-length" })
    EXPECT_TRUE (cv_http_is_connection_field (cv_slice (name))) << name;
  for (const char *name : { "Content-Type", "Expect", "T", "" })
    EXPECT_FALSE (cv_http_is_connection_field (cv_slice (name))) << name;
}

} // namespace
