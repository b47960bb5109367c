// Tests of the side's HTTP client against servers whose answers are odd.

#include <gtest/gtest.h>

#include <sys/epoll.h>
#include <unistd.h>

#include <cstdlib>
#include <string>

#include "side/http.h"
#include "store/tests/odd_server.h"

namespace
{

constexpr cv_time_t kWait = 5 * CV_SECOND;

struct Result
{
  bool ended = false;
  cv_http_end_t end = CV_HTTP_COMPLETE;
  long status = 0;
  std::string body;
};

void
on_data (void *arg, const char *p, size_t n)
{
  static_cast<Result *> (arg)->body.append (p, n);
}

void
on_done (void *arg, const cv_http_result_t *result)
{
  auto *r = static_cast<Result *> (arg);

  r->ended = true;
  r->end = result->end;
  r->status = result->status;
}

// Sends BODY to the server URL without a time limit.
Result
post (const std::string &server_url, const std::string &body)
{
  std::string url = server_url + "/x";
  cv_http_call_t call = {};
  cv_http_t http;
  cv_error_t err = {};
  Result r;
  int epoll_fd = epoll_create1 (EPOLL_CLOEXEC);

  EXPECT_TRUE (cv_http_init (&http, epoll_fd, 1, &err)) << err.text;
  call.method = "POST";
  call.url = url.c_str ();
  call.body = { body.data (), body.size () };
  call.at_most_once = true;
  call.data = on_data;
  call.done = on_done;
  call.arg = &r;
  EXPECT_NE (nullptr, cv_http_start (&http, &call));
  for (cv_time_t until = cv_now () + kWait; !r.ended && cv_now () < until;)
    {
      struct epoll_event ev;

      cv_http_tick (&http, cv_now ());
      if (epoll_wait (epoll_fd, &ev, 1, 10) == 1)
        cv_http_socket_ready (
            &http, static_cast<int> (ev.data.u64 & 0xffffffff), ev.events);
    }
  cv_http_finish (&http);
  close (epoll_fd);
  return r;
}

Result
request (const std::string &response, bool stays_open)
{
  OddServer server (response, stays_open);

  return post (server.url (), "x");
}

std::string
answer (const std::string &status)
{
  return "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nab";
}

TEST (Http, AStatusThatIsNoneIsNoAnswer)
{
  for (const char *status :
       { "000", "099", "20", "101", "103", "600", "999", "2000", "-20", "2xx" })
    for (bool stays_open : { false, true })
      {
        Result r = request (answer (status), stays_open);

        EXPECT_TRUE (r.ended) << status << ' ' << stays_open;
        EXPECT_EQ (CV_HTTP_INCOMPLETE, r.end) << status << ' ' << stays_open;
        EXPECT_EQ ("", r.body) << status;
      }
}

TEST (Http, AnEarlyAnswerThatIsResetIsIncomplete)
{
  const std::string upload (EarlyServer::UploadBytes, 'u');
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const struct
  {
    std::string head;
    std::string part;
    std::string rest;
  } answers[] = { { status + "\r\n", "ab", "cd" },
                  { status + "Content-Length: 4\r\n\r\n", "ab", "cd" },
                  { status + "Transfer-Encoding: chunked\r\n\r\n",
                    "2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n" } };

  for (const auto &a : answers)
    {
      {
        EarlyServer server (a.head + a.part, false);
        EXPECT_EQ (CV_HTTP_INCOMPLETE, post (server.url (), upload).end)
            << a.head;
      }
      EarlyServer server (a.head + a.part + a.rest, true);
      Result r = post (server.url (), upload);
      EXPECT_EQ (CV_HTTP_COMPLETE, r.end) << a.head;
      EXPECT_EQ ("abcd", r.body);
    }
}

TEST (Http, ALineOfAHeadThatIsNoFieldIsNoAnswer)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const std::string rest = "Content-Length: 2\r\n";
  const std::string body = "\r\nab";
  const std::string early = "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n";

  for (const std::string &text : kInvalidFields)
    {
      const std::string line = text + "\r\n";
      const std::string answers[]
          = { status + line + rest + body,
              status + rest + "X-A: 1\r\n" + line + body,
              early + line + "\r\n" + status + rest + body,
              early + "\r\n" + status + rest + "X-A: 1\r\n" + line + body };

      for (const std::string &response : answers)
        for (bool stays_open : { false, true })
          {
            Result r = request (response, stays_open);

            EXPECT_TRUE (r.ended) << response << stays_open;
            EXPECT_EQ (CV_HTTP_INCOMPLETE, r.end) << response << stays_open;
            EXPECT_EQ ("", r.body) << response << stays_open;
          }
    }
}

TEST (Http, ATrailerThatIsNoFieldIsNoAnswer)
{
  const std::string start = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                            "\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\n";

  EXPECT_EQ (CV_HTTP_COMPLETE, request (start + "\r\n", true).end);
  for (const std::string &line : kInvalidFields)
    for (bool stays_open : { false, true })
      {
        Result r = request (start + line + "\r\n\r\n", stays_open);

        EXPECT_TRUE (r.ended) << line << stays_open;
        EXPECT_EQ (CV_HTTP_INCOMPLETE, r.end) << line << stays_open;
      }
}

TEST (Http, ProperAnswersAreComplete)
{
  for (const char *status : { "200", "404", "503", "599" })
    {
      Result r = request ("HTTP/1.1 100 Continue\r\n\r\n"
                          "HTTP/1.1 103 Early Hints\r\n\r\n"
                              + answer (status),
                          true);

      EXPECT_TRUE (r.ended) << status;
      EXPECT_EQ (CV_HTTP_COMPLETE, r.end) << status;
      EXPECT_EQ (atol (status), r.status);
      EXPECT_EQ (r.status == 200 ? "ab" : "", r.body);
    }
}

} // namespace
