// Servers whose answers are odd: no HTTP, or sent before the request was read.

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

// Lines in place of a field of an answer.
inline const std::vector<std::string> kInvalidFields = {
  "X-Odd Name: 1",
  "X-Odd : 1",
  " X-Odd: 1",
  "\tX-Odd: 1",
  "X-Odd\tName: 1",
  std::string ("X-Odd\0Name: 1", 13),
  "X-Odd\x01Name: 1",
  "\x1bX-Odd: 1",
  "X-Odd\rName: 1",
  "X-Odd\x7fName: 1",
  "X-Odd\xe9: 1",
  ": 1",
  "X-Odd",
  "Content-Length : 1",
  "X-Empty:\r\n Content-Length: 1",
  "Transfer-Encoding : chunked",
  "HTTP/1.1 200 OK: 1",
};

// Listens at a free port of 127.0.0.1, which PORT is set to.
inline int
listen_at_any_port (unsigned *port, int receive_buffer = 0)
{
  struct sockaddr_in at = {};
  socklen_t size = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  at.sin_family = AF_INET;
  inet_pton (AF_INET, "127.0.0.1", &at.sin_addr);
  if (receive_buffer > 0)
    {
      EXPECT_EQ (0, setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                                sizeof receive_buffer));
    }
  EXPECT_EQ (0, bind (fd, reinterpret_cast<sockaddr *> (&at), sizeof at));
  EXPECT_EQ (0, listen (fd, 8));
  EXPECT_EQ (0, getsockname (fd, reinterpret_cast<sockaddr *> (&at), &size));
  *port = ntohs (at.sin_port);
  return fd;
}

// Answers an upload of one connection once its first bytes have arrived.  It
// reads no more and resets the connection, or with IS_ORDERLY closes it in
// order and reads the rest.
class EarlyServer
{
public:
  static constexpr size_t UploadBytes = 8 << 20; // more than sockets hold

  EarlyServer (const std::string &response, bool is_orderly)
      : socket_ (listen_at_any_port (&port_, 4096)),
        thread_ ([this, response, is_orderly] { serve (response, is_orderly); })
  {
  }
  ~EarlyServer ()
  {
    thread_.join ();
    close (socket_);
  }
  EarlyServer (const EarlyServer &) = delete;
  EarlyServer &operator= (const EarlyServer &) = delete;

  std::string
  url () const
  {
    return "http://127.0.0.1:" + std::to_string (port_);
  }

private:
  unsigned port_ = 0;
  int socket_;
  std::thread thread_;

  void
  serve (const std::string &response, bool is_orderly) const
  {
    const struct linger reset = { 1, 0 };
    char data[4096];
    int fd = accept (socket_, nullptr, nullptr);

    EXPECT_GT (recv (fd, data, sizeof data, 0), 0);
    EXPECT_EQ (static_cast<ssize_t> (response.size ()),
               send (fd, response.data (), response.size (), 0));
    usleep (50000);
    if (is_orderly)
      {
        shutdown (fd, SHUT_WR);
        while (recv (fd, data, sizeof data, 0) > 0)
          ;
      }
    else
      EXPECT_EQ (0,
                 setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset));
    close (fd);
  }
};

// Answers each connection's request with the same bytes.
class OddServer
{
public:
  // Answers FIRST once, if it is not empty, and RESPONSE then.  With
  // STAYS_OPEN, the server does not close connections.
  explicit OddServer (const std::string &response, bool stays_open = false,
                      const std::string &first = "")
      : response_ (response), first_ (first), stays_open_ (stays_open)
  {
    socket_ = listen_at_any_port (&port_);
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
