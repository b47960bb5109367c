/* Runs a script of inputs against an entry core in virtual time and records a
   transcript of its output.  */

#ifndef CV_ENTRY_CORE_SCRIPT_H
#define CV_ENTRY_CORE_SCRIPT_H

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "entry/core.h"

class CoreScript
{
public:
  CoreScript ();
  ~CoreScript ();
  CoreScript (const CoreScript &) = delete;
  CoreScript &operator= (const CoreScript &) = delete;

  /* Runs every line of SCRIPT and returns the transcript.  */
  std::string run (const std::string &script);

private:
  using Words = std::vector<std::string>;

  void run_line (const std::string &text);
  void adopt (const Words &w);
  void target (const Words &w);
  void report (const Words &w);
  void submit (const Words &w);
  void call (const Words &w);
  void tokens (const Words &w);
  void end (const Words &w);
  void reject (const Words &w);
  void result (const Words &w);
  void doc (const Words &w);
  void metrics (const Words &w);
  void suspects (const Words &w);
  void wait (const Words &w);
  void deliver (const std::string &target, const cv_msg_t &msg);

  cv_id_t id_of (const std::string &name);
  void *caller_of (const std::string &name);
  std::string option (const Words &w, const std::string &key,
                      const std::string &default_value);

  void write_sent (uint32_t target, const cv_msg_t *msg);
  void write_reply (void *caller, const cv_reply_t *reply);

  static void on_send (void *arg, uint32_t target, const cv_msg_t *msg);
  static void on_reply (void *arg, void *caller, const cv_reply_t *reply);
  static void on_reset (void *arg, uint32_t target);
  static cv_id_t on_new_id (void *arg);

  cv_entry_core_t *core_;
  cv_time_t now_ = 1000 * CV_SECOND;
  uint64_t last_id_ = 0;
  bool show_expect_ = false; /* show the expected length of each SUBMIT */
  std::map<std::string, uint32_t> targets_;
  std::map<uint32_t, std::string> names_;
  std::map<std::string, uint64_t> incarnations_;
  std::map<std::string, char *> callers_;
  std::ostringstream out_;
};

#endif
