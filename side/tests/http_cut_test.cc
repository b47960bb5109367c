// Tests of the HTTP client against a server that ends each connection after a
// part of its response.

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "side/http.h"

namespace
{

class HttpCutTest : public testing::Test
{
protected:
  int listener = -1;
  int epoll_fd = -1;
  std::string url;
  cv_http_t http;

  void
  SetUp () override
  {
    sockaddr_in a = {};
    socklen_t size = sizeof a;

    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (0, bind (listener, reinterpret_cast<sockaddr *> (&a), size));
    ASSERT_EQ (0, listen (listener, 8));
    ASSERT_EQ (
        0, getsockname (listener, reinterpret_cast<sockaddr *> (&a), &size));
    url = "http://127.0.0.1:" + std::to_string (ntohs (a.sin_port)) + "/x";
    epoll_fd = epoll_create1 (0);
    ASSERT_TRUE (cv_http_init (&http, epoll_fd, 0, nullptr));
  }
  void
  TearDown () override
  {
    cv_http_finish (&http);
    close (epoll_fd);
    close (listener);
  }

  struct Answer
  {
    bool is_done = false;
    cv_http_result_t result = {};
    std::string body;
  };
  static void
  on_done (void *arg, const cv_http_result_t *r)
  {
    Answer *a = static_cast<Answer *> (arg);

    a->is_done = true;
    a->result = *r;
    a->body.assign (r->body.p == nullptr ? "" : r->body.p, r->body.n);
  }

  // The result of a request that is answered with DATA and an orderly close.
  Answer
  call (const std::string &data)
  {
    Answer a;
    cv_http_call_t c = {};
    std::thread server ([this, &data] {
      char request[4096];
      int fd = accept (listener, nullptr, nullptr);

      EXPECT_GT (recv (fd, request, sizeof request, 0), 0);
      EXPECT_EQ (ssize_t (data.size ()),
                 send (fd, data.data (), data.size (), MSG_NOSIGNAL));
      shutdown (fd, SHUT_WR);
      (void)recv (fd, request, sizeof request, 0);
      close (fd);
    });

    c.method = "GET";
    c.url = url.c_str ();
    c.timeout_ms = 5000;
    c.at_most_once = true;
    c.done = on_done;
    c.arg = &a;
    EXPECT_NE (nullptr, cv_http_start (&http, &c));
    while (!a.is_done)
      {
        epoll_event events[4];
        int n = epoll_wait (epoll_fd, events, 4, 5);

        for (int i = 0; i < n; i++)
          cv_http_socket_ready (&http, int (uint32_t (events[i].data.u64)),
                                events[i].events);
        cv_http_tick (&http, cv_now ());
      }
    server.join ();
    return a;
  }
};

TEST_F (HttpCutTest, AResponseThatIsCutIsIncomplete)
{
  const std::string status = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
  // What ends a response: without the line feed behind the last chunk, its body
  // is whole.
  const struct
  {
    std::string text;
    size_t tail;
  } answers[]
      = { { status + "Content-Length: 4\r\n\r\nbody", 0 },
          { status + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            1 },
          { "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n\r\n" + status
                + "Content-Length: 4\r\n\r\nbody",
            0 },
          // The body ends with the connection; only its head can be cut.
          { status + "\r\n", 0 } };

  for (const auto &answer : answers)
    {
      Answer a = call (answer.text);

      EXPECT_EQ (CV_HTTP_COMPLETE, a.result.end) << answer.text;
      EXPECT_EQ (200, a.result.status);
      for (size_t n = 1; n < answer.text.size () - answer.tail; n++)
        EXPECT_EQ (CV_HTTP_INCOMPLETE,
                   call (answer.text.substr (0, n)).result.end)
            << answer.text.substr (0, n);
    }
}

TEST_F (HttpCutTest, AResponseWithoutALengthEndsWithItsConnection)
{
  Answer a = call ("HTTP/1.1 200 OK\r\n\r\nbody");

  EXPECT_EQ (CV_HTTP_COMPLETE, a.result.end);
  EXPECT_EQ ("body", a.body);
}

} // namespace
