// Starts and stops the processes of a script, and runs its lines.

#include "processes.h"

#include "fake_entry.h"

#include <sys/wait.h>

#include <curl/curl.h>
#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

extern char **environ;

namespace
{

constexpr int kPollUs = 20000;
constexpr int kPollLimit = 750; // 15 s

// Last octet of the address and port of each process that scripts name.
// "narrator" and "portal" are sides; nothing listens at "none".
const std::map<std::string, std::string> kHosts
    = { { "store", "1:9000" },    { "list", "2:9001" },
        { "a", "11:8080" },       { "b", "12:8080" },
        { "none", "99:8080" },    { "fake", "13:8080" },
        { "engine", "21:9100" },  { "narrator", "22:7002" },
        { "service", "31:9200" }, { "portal", "32:7002" } };

const std::map<std::string, std::string> kStandins
    = { { "store", STANDIN_STORE },
        { "list", STANDIN_INSTANCES },
        { "engine", STANDIN_ENGINE },
        { "service", STANDIN_SERVICE } };

// Splits LINE at blanks outside "..." and '...'.
Words
split (const std::string &line)
{
  Words words;
  std::string word;
  char quote = 0;
  bool quoted = false;
  for (char c : line + " ")
    {
      if (quote == 0 && (c == '"' || c == '\''))
        {
          quote = c;
          quoted = true;
        }
      else if (c == quote)
        quote = 0;
      else if (c == ' ' && quote == 0)
        {
          if (quoted || !word.empty ())
            words.push_back (word);
          word.clear ();
          quoted = false;
        }
      else
        word += c;
    }
  return words;
}

std::string
replace_all (std::string text, const std::string &from, const std::string &to)
{
  for (size_t at = 0; (at = text.find (from, at)) != std::string::npos;
       at += to.size ())
    text.replace (at, from.size (), to);
  return text;
}

// Returns the end of the run of CHARACTERS that starts at AT.
size_t
run_end (const std::string &text, size_t at, const char *characters)
{
  return std::min (text.find_first_not_of (characters, at), text.size ());
}

// Replaces each run of 32 hexadecimal digits by NONCE.
std::string
hide_nonces (const std::string &text)
{
  std::string out;
  for (size_t at = 0; at < text.size ();)
    {
      size_t end = run_end (text, at, "0123456789abcdef");
      if (end - at == 32)
        out += "NONCE";
      else
        out += text.substr (at, std::max (end - at, size_t{ 1 }));
      at = std::max (end, at + 1);
    }
  return out;
}

// Replaces digits between BEFORE and AFTER by WORD.
std::string
hide_number (std::string text, const std::string &before,
             const std::string &after, const std::string &word)
{
  for (size_t at = 0; (at = text.find (before, at)) != std::string::npos;)
    {
      at += before.size ();
      size_t end = run_end (text, at, "0123456789");
      if (end > at && text.compare (end, after.size (), after) == 0)
        text.replace (at, end - at, word);
    }
  return text;
}

// Replaces numbers with a fraction by T and runs of blanks by one blank.
std::string
hide_times (const std::string &text)
{
  std::string out;
  for (size_t at = 0; at < text.size ();)
    {
      size_t end = run_end (text, at, "0123456789");
      size_t fraction = end < text.size () && text[end] == '.'
                            ? run_end (text, end + 1, "0123456789")
                            : end;
      if (end > at && fraction > end + 1)
        {
          out += "T";
          at = fraction;
        }
      else if (end > at)
        {
          out += text.substr (at, end - at);
          at = end;
        }
      else if (text[at] == ' ' && !out.empty () && out.back () == ' ')
        at++;
      else
        out += text[at++];
    }
  return out;
}

size_t
append (char *data, size_t size, size_t count, void *out)
{
  static_cast<std::string *> (out)->append (data, size * count);
  return size * count;
}

}

Child::Child (const Words &command)
{
  int ends[2];
  if (pipe2 (ends, O_CLOEXEC) != 0)
    throw std::runtime_error ("pipe");
  std::vector<char *> argv;
  for (const auto &word : command)
    argv.push_back (const_cast<char *> (word.c_str ()));
  argv.push_back (nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_adddup2 (&actions, ends[1], 1);
  posix_spawn_file_actions_adddup2 (&actions, ends[1], 2);
  int rc
      = posix_spawn (&pid_, argv[0], &actions, nullptr, argv.data (), environ);
  posix_spawn_file_actions_destroy (&actions);
  close (ends[1]);
  out_ = ends[0];
  if (rc != 0)
    throw std::runtime_error ("cannot start " + command[0]);
}

Child::~Child ()
{
  if (pid_ > 0)
    {
      kill (pid_, SIGKILL);
      waitpid (pid_, nullptr, 0);
    }
  close (out_);
}

Output
Child::finish ()
{
  Output out;
  char chunk[4096];
  ssize_t n;
  int status = 0;
  while ((n = read (out_, chunk, sizeof chunk)) > 0)
    out.text.append (chunk, static_cast<size_t> (n));
  waitpid (pid_, &status, 0);
  pid_ = -1;
  if (WIFEXITED (status))
    out.code = WEXITSTATUS (status);
  return out;
}

void
Child::signal (int number) const
{
  kill (pid_, number);
}

Processes::Processes ()
{
  unsigned pid = static_cast<unsigned> (getpid ());
  net_ = "127." + std::to_string (100 + pid / 250 % 100) + "."
         + std::to_string (1 + pid % 250) + ".";
  char dir[] = "/tmp/catkinctl-test-XXXXXX";
  if (mkdtemp (dir) == nullptr)
    throw std::runtime_error ("mkdtemp");
  dir_ = dir;
}

Processes::~Processes ()
{
  running_.clear ();
  std::filesystem::remove_all (dir_);
}

std::string
Processes::url (const std::string &name) const
{
  return "http://" + net_ + kHosts.at (name);
}

std::string
Processes::write (const std::string &name, const std::string &text) const
{
  std::string path = dir_ + "/" + name;
  std::ofstream (path) << text;
  return path;
}

std::string
Processes::entry_settings (const std::string &name) const
{
  std::string host = kHosts.at (name);
  std::string address = net_ + host.substr (0, host.find (':'));
  return "{\"role\": \"entry\", \"instance\": \"entry-" + name
         + "\", \"failure_domain\": \"lhr-a\",\n\"http\": {\"address\": \""
         + address + "\", \"port\": 8080},\n\"store\": {\"url\": \""
         + url ("store") + "\", \"timeout_ms\": 500},\n\"instance_list\": "
         + "{\"url\": \"" + url ("list") + "\"},\n\"store_poll_ms\": 100, "
         + "\"drain_s\": 1,\n\"operator_key_hash\": \""
         // SHA-256 of the key "op"
         + "037aeaeaf4bbf26ddabe7256a8294dc52da48d575a1247b5c2598c47de7aebab"
         + "\"}\n";
}

std::string
Processes::side_settings (const std::string &name) const
{
  bool engine = name == "narrator";
  std::string address = net_ + (engine ? "22" : "32");
  return "{\"role\": \"side\", \"target\": \"" + name
         + "-1\", \"failure_domain\": \"lhr-a\",\n\"pool\": \"" + name
         + "-pool\", \"kind\": \"" + (engine ? "engine" : "service")
         + "\",\n\"wire\": {\"address\": \"" + address
         + "\", \"port\": 7001},\n\"control\": {\"address\": \"" + address
         + "\", \"port\": 7002},\n\"target_url\": {\"url\": \""
         + url (engine ? "engine" : "service") + "\"}, \"drain_s\": 1}\n";
}

std::string
Processes::http (const std::string &target, const std::string &body,
                 const char *method) const
{
  std::string answer;
  CURL *c = curl_easy_init ();
  curl_easy_setopt (c, CURLOPT_URL, target.c_str ());
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, 2000L);
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, &answer);
  if (!body.empty ())
    curl_easy_setopt (c, CURLOPT_POSTFIELDS, body.c_str ());
  if (method != nullptr)
    curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, method);
  if (curl_easy_perform (c) != CURLE_OK)
    answer.clear ();
  curl_easy_cleanup (c);
  return answer;
}

void
Processes::start (const Words &words)
{
  const std::string &name = words[1];
  std::string host = kHosts.at (name);
  size_t colon = host.find (':');
  std::string address = net_ + host.substr (0, colon);
  bool side = name == "narrator" || name == "portal";
  Words command;
  if (name == "fake")
    {
      fake_.reset (); // frees the address
      fake_ = std::make_unique<FakeEntry> (address, words[2]);
      return;
    }
  if (kStandins.count (name) > 0)
    {
      command = { kStandins.at (name),     "--bind",       address, "--port",
                  host.substr (colon + 1), "--lifetime-s", "120" };
      command.insert (command.end (), words.begin () + 2, words.end ());
    }
  else
    command
        = { CATKINVALED, write (name + ".json", side ? side_settings (name)
                                                     : entry_settings (name)) };
  running_[name] = std::make_unique<Child> (command);
  for (int i = 0; i < kPollLimit && http (url (name) + "/healthz").empty ();
       i++)
    usleep (kPollUs);
  if (side)
    http (url ("list") + "/v1/instances/" + name + "-1",
          "{\"id\":\"" + name + "-1\",\"pool\":\"" + name
              + "-pool\",\"role\":\"target\",\"failure_domain\":\"lhr-a\","
                "\"address\":\""
              + address + "\",\"port\":7001,\"state\":\"live\"}",
          "PUT");
}

void
Processes::stop (const std::string &name, int number)
{
  running_.at (name)->signal (number);
  running_.at (name)->finish ();
  running_.erase (name);
}

// Waits until /healthz of NAME contains WHAT.
std::string
Processes::wait (const std::string &name, const std::string &what) const
{
  std::string health;
  for (int i = 0; i < kPollLimit; i++)
    {
      health = http (url (name) + "/healthz");
      health.erase (std::remove (health.begin (), health.end (), '"'),
                    health.end ());
      if (health.find (what) != std::string::npos)
        return "";
      usleep (kPollUs);
    }
  return "never: " + health + "\n";
}

Words
Processes::ctl (const std::string &name, const Words &words) const
{
  Words command = { CATKINCTL };
  if (name != "-")
    command.insert (command.end (), { "--entry", url (name), "--key", "op" });
  for (const std::string &word : words)
    command.push_back (replace_all (word, "@", CV_TEST_DIR "/scripts/"));
  return command;
}

// Runs two commands at once, "race A WORDS | B WORDS", and returns their lines
// in sorted order, since either command may win.  Lines that begin with ~ are
// changed values of the printed difference; they depend on the winner and are
// left out.
std::string
Processes::race (const Words &words) const
{
  auto bar = std::find (words.begin (), words.end (), "|");
  Child one (ctl (words[1], Words (words.begin () + 2, bar)));
  Child two (ctl (*(bar + 1), Words (bar + 2, words.end ())));
  std::vector<std::string> lines;
  for (const Output &out : { one.finish (), two.finish () })
    {
      std::istringstream in (out.text);
      std::string line;
      while (std::getline (in, line))
        if (line[0] != '~')
          lines.push_back (line);
      lines.push_back ("exit " + std::to_string (out.code));
    }
  std::sort (lines.begin (), lines.end ());
  std::string text;
  for (const auto &line : lines)
    text += normalize (line) + "\n";
  return text;
}

// Runs catkinctl load and hides times and column widths, which differ between
// runs.
std::string
Processes::load (const Words &words) const
{
  Words all = { "load", "--key", "mall-key" };
  all.insert (all.end (), words.begin () + 2, words.end ());
  Output out = Child (ctl (words[1], all)).finish ();
  std::string text
      = hide_number (hide_times (out.text), "elapsed_ms\":", ",", "T");
  return text + "exit " + std::to_string (out.code) + "\n";
}

// Repeats a command until it prints TEXT: "until TEXT A WORDS".
std::string
Processes::until (const Words &words) const
{
  Output out;
  for (int i = 0; i < kPollLimit; i++)
    {
      out = Child (ctl (words[2], Words (words.begin () + 3, words.end ())))
                .finish ();
      if (out.text.find (words[1]) != std::string::npos)
        return "";
      usleep (kPollUs);
    }
  return "never: " + out.text;
}

std::string
Processes::normalize (std::string text) const
{
  text = replace_all (text, net_, "127.N.N.");
  text = replace_all (text, CV_TEST_DIR "/scripts/", "@");
  return hide_number (hide_number (hide_nonces (text), "[", "]:", "PID"),
                      "at_ms\":", "}", "T");
}

std::string
Processes::run (const std::string &line)
{
  Words words = split (line);
  const std::string verb = words[0];
  Words rest (words.begin () + 1, words.end ());
  if (verb == "start")
    start (words);
  else if (verb == "stop")
    stop (words[1], SIGTERM);
  else if (verb == "kill")
    stop (words[1], SIGKILL);
  else if (verb == "freeze")
    running_.at (words[1])->signal (SIGSTOP);
  else if (verb == "thaw")
    running_.at (words[1])->signal (SIGCONT);
  else if (verb == "wait")
    return wait (words[1], words[2]);
  else if (verb == "fault")
    http (url (words[1]) + "/fault", words[2]);
  else if (verb == "get")
    return normalize (http (url (words[1]) + words[2])) + "\n";
  else if (verb == "race")
    return race (words);
  else if (verb == "load")
    return load (words);
  else if (verb == "until")
    return until (words);
  else if (verb == "ctl" || verb == "daemon")
    {
      Words command
          = verb == "ctl"
                ? ctl (words[1], Words (rest.begin () + 1, rest.end ()))
                : Words{ CATKINVALED, CV_TEST_DIR "/scripts/" + words[1] };
      Output out = Child (command).finish ();
      return normalize (out.text) + "exit " + std::to_string (out.code) + "\n";
    }
  else
    return "there is no verb " + verb + "\n";
  return "";
}
