// Drain requests that reach the control server before the event loop takes
// them.

#include <netinet/in.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <string>

#include <gtest/gtest.h>

#include "side/control.h"

namespace
{

constexpr const char *kAddress = "127.0.0.1";

class Control : public testing::Test
{
protected:
  void
  SetUp () override
  {
    cv_error_t err = {};

    port_ = free_port ();
    ASSERT_TRUE (cv_control_init (&control_, kAddress, port_, &err))
        << err.text;
  }
  void
  TearDown () override
  {
    cv_control_finish (&control_);
  }

  // The status line of the response to POST /leave with BODY.
  std::string
  leave (const std::string &body)
  {
    struct sockaddr_in to = address (port_);
    std::string request = "POST /leave HTTP/1.1\r\nHost: side\r\n"
                          "Connection: close\r\nContent-Length: "
                          + std::to_string (body.size ()) + "\r\n\r\n" + body;
    std::string response;
    char block[512];
    ssize_t n;
    int fd = socket (AF_INET, SOCK_STREAM, 0);

    EXPECT_EQ (
        connect (fd, reinterpret_cast<struct sockaddr *> (&to), sizeof to), 0);
    EXPECT_EQ (write (fd, request.data (), request.size ()),
               static_cast<ssize_t> (request.size ()));
    while ((n = read (fd, block, sizeof block)) > 0)
      response.append (block, static_cast<size_t> (n));
    (void)close (fd);
    return response.substr (0, response.find ('\r'));
  }

  cv_control_t control_ = {};

private:
  static struct sockaddr_in
  address (uint16_t port)
  {
    struct sockaddr_in a = {};

    a.sin_family = AF_INET;
    a.sin_port = htons (port);
    (void)inet_pton (AF_INET, kAddress, &a.sin_addr);
    return a;
  }
  static uint16_t
  free_port ()
  {
    struct sockaddr_in a = address (0);
    socklen_t size = sizeof a;
    int fd = socket (AF_INET, SOCK_STREAM, 0);

    EXPECT_EQ (bind (fd, reinterpret_cast<struct sockaddr *> (&a), size), 0);
    EXPECT_EQ (
        getsockname (fd, reinterpret_cast<struct sockaddr *> (&a), &size), 0);
    (void)close (fd);
    return ntohs (a.sin_port);
  }

  uint16_t port_ = 0;
};

TEST_F (Control, KeepsTheEarliestReclaim)
{
  uint32_t within_ms = 0;

  EXPECT_EQ (leave ("{\"within_ms\":60000}"), "HTTP/1.1 202 Accepted");
  EXPECT_EQ (leave ("{\"within_ms\":3000}"), "HTTP/1.1 202 Accepted");
  EXPECT_EQ (leave ("{\"within_ms\":50000}"), "HTTP/1.1 202 Accepted");
  EXPECT_EQ (leave ("{}"), "HTTP/1.1 202 Accepted");
  ASSERT_TRUE (cv_control_take_drain_request (&control_, &within_ms));
  EXPECT_EQ (within_ms, 3000u);
  EXPECT_FALSE (cv_control_take_drain_request (&control_, &within_ms));
}

TEST_F (Control, TakesEachDrainRequestOnce)
{
  uint32_t within_ms = 1;

  EXPECT_FALSE (cv_control_take_drain_request (&control_, &within_ms));
  EXPECT_EQ (leave (""), "HTTP/1.1 202 Accepted");
  ASSERT_TRUE (cv_control_take_drain_request (&control_, &within_ms));
  EXPECT_EQ (within_ms, 0u);
  EXPECT_EQ (leave ("{\"within_ms\":700}"), "HTTP/1.1 202 Accepted");
  ASSERT_TRUE (cv_control_take_drain_request (&control_, &within_ms));
  EXPECT_EQ (within_ms, 700u);
  EXPECT_FALSE (cv_control_take_drain_request (&control_, &within_ms));
}

} // namespace
