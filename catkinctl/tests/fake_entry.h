// Stand-in for an entry.  MODE selects the guarantee of the API that its
// streams (gap, twice, mixed, short, cut) or bookings (booked-twice,
// booked-unmarked, booked-twice-marked) violate, or a refusal (refuse) or
// interruption (interrupted); in any other mode the responses are correct.

#ifndef CV_TEST_FAKE_ENTRY_H
#define CV_TEST_FAKE_ENTRY_H

#include <netinet/in.h>

#include <arpa/inet.h>
#include <ulfius.h>

#include <atomic>
#include <string>

class FakeEntry
{
public:
  FakeEntry (const std::string &address, const std::string &mode) : mode_ (mode)
  {
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    at.sin_port = htons (8080);
    inet_pton (AF_INET, address.c_str (), &at.sin_addr);
    ulfius_init_instance (&instance_, 8080, &at, nullptr);
    ulfius_add_endpoint_by_val (&instance_, "*", nullptr, "*", 0, &serve, this);
    ulfius_start_framework (&instance_);
  }
  ~FakeEntry ()
  {
    ulfius_stop_framework (&instance_);
    ulfius_clean_instance (&instance_);
  }
  FakeEntry (const FakeEntry &) = delete;
  FakeEntry &operator= (const FakeEntry &) = delete;

private:
  struct _u_instance instance_ = {};
  std::string mode_;
  std::atomic<int> preemptions_{ 0 };
  std::atomic<int> effects_{ 0 };
  std::atomic<bool> next_is_repeat_{ false };

  static std::string
  token (const std::string &generation, int offset)
  {
    return "id: t~1~" + generation + "~" + std::to_string (offset)
           + "\ndata: {\"choices\":[{\"index\":0,\"text\":\"w \"}]}\n\n";
  }
  static std::string
  end (int tokens)
  {
    return "data: {\"usage\":{\"completion_tokens\":" + std::to_string (tokens)
           + "},\"outcome\":\"done\"}\n\n";
  }
  std::string
  body () const
  {
    std::string done = "data: [DONE]\n\n";
    if (mode_ == "gap")
      return token ("g", 0) + token ("g", 2) + end (2) + done;
    if (mode_ == "twice")
      return token ("g", 0) + token ("g", 0) + end (2) + done;
    if (mode_ == "mixed")
      return token ("g", 0) + token ("h", 1) + end (2) + done;
    if (mode_ == "short")
      return token ("g", 0) + end (2) + done;
    if (mode_ == "cut")
      return token ("g", 0) + token ("g", 1);
    if (mode_ == "interrupted")
      return token ("g", 0)
             + "event: error\ndata: {\"error\":{\"code\":\"interrupted\","
               "\"outcome\":\"interrupted\"}}\n\n";
    return token ("g", 0) + token ("g", 1) + end (2) + done;
  }
  // Odd calls are first bookings, each even one the repeat of the call before.
  void
  book (struct _u_response *res)
  {
    bool repeat = next_is_repeat_.exchange (!next_is_repeat_);
    if (!repeat || mode_ == "booked-twice" || mode_ == "booked-twice-marked")
      effects_++;
    if (repeat && mode_ != "booked-twice" && mode_ != "booked-unmarked")
      u_map_put (res->map_header, "X-Replayed", "true");
    u_map_put (res->map_header, "X-Outcome", "done");
    ulfius_set_string_body_response (
        res, 200, ("{\"effect\":" + std::to_string (effects_) + "}").c_str ());
  }
  static int
  serve (const struct _u_request *req, struct _u_response *res, void *self)
  {
    auto *entry = static_cast<FakeEntry *> (self);
    std::string path = req->url_path;
    if (path == "/metrics")
      {
        std::string text = "catkinvale_preemptions_total "
                           + std::to_string (entry->preemptions_) + "\n";
        std::string name = "catkinvale_entry_first_token_seconds";
        std::string labels = "{account=\"mall\",class=\"tag\"";
        text += name + "_bucket" + labels + ",le=\"1\"} 6\n";
        text += name + "_sum" + labels + "} 3\n";
        text += name + "_count" + labels + "} 6\n";
        for (const char *q : { "0.5", "0.95", "0.99" })
          text += name + "_quantile" + labels + ",quantile=\"" + q + "\"} " + q
                  + "\n";
        ulfius_set_string_body_response (res, 200, text.c_str ());
      }
    else if (entry->mode_ == "refuse")
      ulfius_set_string_body_response (
          res, 429,
          "{\"error\":{\"code\":\"rate_limited\",\"message\":\"m\","
          "\"retry_after_ms\":5,\"outcome\":\"refused\"}}");
    else if (path == "/v1/tickets")
      ulfius_set_string_body_response (res, 200, "{\"ticket\":\"t\"}");
    else if (path.compare (0, 5, "/svc/") == 0)
      entry->book (res);
    else
      {
        entry->preemptions_++;
        ulfius_set_string_body_response (res, 200, entry->body ().c_str ());
      }
    return U_CALLBACK_COMPLETE;
  }
};

#endif
