// A server that answers each connection's request with the same bytes, which
// may be no HTTP.

#ifndef CV_ODD_SERVER_H
#define CV_ODD_SERVER_H

#include <netinet/in.h>

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>
#include <vector>

class OddServer
{
public:
  // Answers FIRST once, if it is not empty, and RESPONSE then.  With
  // STAYS_OPEN, the server does not close connections.
  explicit OddServer (const std::string &response, bool stays_open = false,
                      const std::string &first = "")
      : response_ (response), first_ (first), stays_open_ (stays_open)
  {
    struct sockaddr_in at = {};
    socklen_t size = sizeof at;
    at.sin_family = AF_INET;
    inet_pton (AF_INET, "127.0.0.1", &at.sin_addr);
    socket_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    EXPECT_EQ (0,
               bind (socket_, reinterpret_cast<sockaddr *> (&at), sizeof at));
    EXPECT_EQ (0, listen (socket_, 8));
    EXPECT_EQ (
        0, getsockname (socket_, reinterpret_cast<sockaddr *> (&at), &size));
    port_ = ntohs (at.sin_port);
    thread_ = std::thread ([this] { serve (); });
  }
  ~OddServer ()
  {
    shutdown (socket_, SHUT_RDWR);
    thread_.join ();
    close (socket_);
    for (int fd : open_)
      close (fd);
  }
  OddServer (const OddServer &) = delete;
  OddServer &operator= (const OddServer &) = delete;

  std::string
  url () const
  {
    return "http://127.0.0.1:" + std::to_string (port_);
  }

private:
  std::string response_;
  std::string first_;
  bool stays_open_;
  int socket_;
  unsigned port_ = 0;
  std::vector<int> open_;
  std::thread thread_;

  void
  serve ()
  {
    int fd;
    while ((fd = accept (socket_, nullptr, nullptr)) >= 0)
      {
        char request[4096];
        EXPECT_GT (recv (fd, request, sizeof request, 0), 0);
        const std::string &sent = first_.empty () ? response_ : first_;
        EXPECT_EQ (static_cast<ssize_t> (sent.size ()),
                   send (fd, sent.data (), sent.size (), 0));
        first_.clear ();
        if (stays_open_)
          open_.push_back (fd);
        else
          close (fd);
      }
  }
};

#endif
