// Processes of one script, on loopback addresses of their own.

#ifndef CV_TEST_PROCESSES_H
#define CV_TEST_PROCESSES_H

#include <sys/types.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using Words = std::vector<std::string>;

struct Output
{
  std::string text; // standard output and error
  int code = -1;    // exit code; -1 if killed by a signal
};

// A child process that runs in the background.
class Child
{
public:
  explicit Child (const Words &command);
  Child (const Child &) = delete;
  Child &operator= (const Child &) = delete;
  ~Child ();
  Output finish (); // reads the output to its end and waits
  void signal (int number) const;

private:
  pid_t pid_ = -1;
  int out_ = -1;
};

class FakeEntry;

class Processes
{
public:
  Processes ();
  Processes (const Processes &) = delete;
  Processes &operator= (const Processes &) = delete;
  ~Processes ();

  // Runs a line of a script and returns its output.
  std::string run (const std::string &line);

private:
  std::string net_; // "127.A.B.", derived from the process id
  std::string dir_;
  std::map<std::string, std::unique_ptr<Child>> running_;
  std::unique_ptr<FakeEntry> fake_;

  std::string url (const std::string &name) const;
  std::string write (const std::string &name, const std::string &text) const;
  void start (const Words &words);
  void stop (const std::string &name, int number);
  std::string wait (const std::string &name, const std::string &what) const;
  Words ctl (const std::string &name, const Words &words) const;
  std::string load (const Words &words) const;
  std::string until (const Words &words) const;
  std::string race (const Words &words) const;
  // Replaces addresses, process ids, nonces and times, which differ between
  // runs.
  std::string normalize (std::string text) const;
  std::string entry_settings (const std::string &name) const;
  std::string side_settings (const std::string &name) const;
  std::string http (const std::string &url, const std::string &body = "",
                    const char *method = nullptr) const;
};

#endif
