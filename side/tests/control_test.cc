// Drain requests that reach the control server before the event loop takes
// them.

#include <netinet/in.h>
#include <unistd.h>

#include <arpa/inet.h>

#include <chrono>
#include <string>
#include <thread>

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
    finish ();
  }

  void
  finish ()
  {
    if (!finished_)
      cv_control_finish (&control_);
    finished_ = true;
  }

  // Sends REQUEST on a new connection and returns its descriptor.
  int
  open_request (const std::string &request)
  {
    struct sockaddr_in to = address (port_);
    int fd = socket (AF_INET, SOCK_STREAM, 0);

    EXPECT_EQ (
        connect (fd, reinterpret_cast<struct sockaddr *> (&to), sizeof to), 0);
    EXPECT_EQ (write (fd, request.data (), request.size ()),
               static_cast<ssize_t> (request.size ()));
    return fd;
  }
  // Returns what is received until the server closes the connection.
  static std::string
  read_to_end (int fd)
  {
    std::string response;
    char block[512];
    ssize_t n;

    while ((n = read (fd, block, sizeof block)) > 0)
      response.append (block, static_cast<size_t> (n));
    (void)close (fd);
    return response;
  }
  // The status line of the response to POST /leave with BODY.
  std::string
  leave (const std::string &body)
  {
    std::string response = read_to_end (
        open_request ("POST /leave HTTP/1.1\r\nHost: side\r\n"
                      "Connection: close\r\nContent-Length: "
                      + std::to_string (body.size ()) + "\r\n\r\n" + body));

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
  bool finished_ = false;
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

// The handler of a request that was read waits for the lock while the server
// ends.
TEST_F (Control, SendsTheResponseOfARequestThatWasRead)
{
  constexpr auto pause = std::chrono::milliseconds (100);
  std::string response;
  int fd;

  cv_control_set_metrics (&control_, "text\n");
  pthread_mutex_lock (&control_.lock);
  fd = open_request ("GET /metrics HTTP/1.1\r\nHost: side\r\n\r\n");
  std::this_thread::sleep_for (pause);
  std::thread finisher ([this] { finish (); });
  std::this_thread::sleep_for (pause);
  pthread_mutex_unlock (&control_.lock);
  response = read_to_end (fd);
  finisher.join ();
  EXPECT_EQ (response.substr (0, response.find ('\r')), "HTTP/1.1 200 OK");
  EXPECT_NE (response.find ("\r\n\r\ntext\n"), std::string::npos);
}

// A request that is not sent whole does not keep the server.
TEST_F (Control, EndsBesideAnUnfinishedRequest)
{
  auto start = std::chrono::steady_clock::now ();
  int fd = open_request ("POST /leave HTTP/1.1\r\nHost: side\r\n"
                         "Content-Length: 2\r\n\r\n{");

  std::this_thread::sleep_for (std::chrono::milliseconds (100));
  finish ();
  EXPECT_LT (std::chrono::steady_clock::now () - start,
             std::chrono::seconds (3));
  EXPECT_EQ (read_to_end (fd), "");
}

} // namespace
