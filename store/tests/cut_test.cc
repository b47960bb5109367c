// Tests of the store client against a server that ends each connection after a
// part of its response.

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "store/store.h"

namespace
{

class CutTest : public testing::Test
{
protected:
  int listener = -1;
  cv_store_t store;
  cv_error_t err = {};

  void
  SetUp () override
  {
    sockaddr_in a = {};
    socklen_t size = sizeof a;
    std::string url;

    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    listener = socket (AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ (0, bind (listener, reinterpret_cast<sockaddr *> (&a), size));
    ASSERT_EQ (0, listen (listener, 8));
    ASSERT_EQ (
        0, getsockname (listener, reinterpret_cast<sockaddr *> (&a), &size));
    url = "http://127.0.0.1:" + std::to_string (ntohs (a.sin_port));
    cv_store_init (&store, url.c_str (), 5000);
  }
  void
  TearDown () override
  {
    cv_store_finish (&store);
    close (listener);
  }

  // A thread that answers one request with DATA and an orderly close.
  std::thread
  answer_with (const std::string &data)
  {
    return std::thread ([this, data] {
      const timeval wait = { 0, 20000 };
      char request[4096];
      int fd = accept (listener, nullptr, nullptr);

      EXPECT_GT (recv (fd, request, sizeof request, 0), 0);
      EXPECT_EQ (ssize_t (data.size ()),
                 send (fd, data.data (), data.size (), MSG_NOSIGNAL));
      shutdown (fd, SHUT_WR);
      // The client may keep the connection.  A close before the whole request
      // was read would be a reset.
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
      (void)recv (fd, request, sizeof request, 0);
      close (fd);
    });
  }
};

TEST_F (CutTest, TheOutcomeOfAWriteIsUnknown)
{
  const std::string body = R"({"version":7})";
  const std::string response = "HTTP/1.1 103 Early Hints\r\nLink: </y>\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nContent-Length: "
                               + std::to_string (body.size ()) + "\r\n\r\n"
                               + body;

  for (size_t n = 1; n <= response.size (); n++)
    {
      std::thread server = answer_with (response.substr (0, n));
      uint64_t version = 0;
      bool ok = cv_store_put (&store, "claims/a", 0, "{}", &version, &err);

      server.join ();
      if (n == response.size ())
        {
          EXPECT_TRUE (ok) << err.text;
          EXPECT_EQ (7U, version);
          continue;
        }
      EXPECT_FALSE (ok) << response.substr (0, n);
      EXPECT_EQ (CV_ERR_UNKNOWN, err.code) << response.substr (0, n);
    }
}

TEST_F (CutTest, AnObjectIsNotAbsent)
{
  const std::string response
      = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

  for (size_t n = 1; n <= response.size (); n++)
    {
      std::thread server = answer_with (response.substr (0, n));
      cv_object_t o;

      EXPECT_EQ (n == response.size (),
                 cv_store_get (&store, "claims/a", &o, &err))
          << response.substr (0, n);
      cv_object_finish (&o);
      server.join ();
    }
}

} // namespace
