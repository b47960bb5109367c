// In-process object API with injected faults, one per write.

#ifndef CV_FAKE_STORE_H
#define CV_FAKE_STORE_H

#include <netinet/in.h>

#include <arpa/inet.h>
#include <json-c/json.h>
#include <ulfius.h>
#include <unistd.h>

#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>

// Effect on one write.  Queued faults apply in order; after the last: Normal.
enum class Fault
{
  Normal,
  LoseResponse, // the write is applied; the client times out
  LoseRequest,  // the write is not applied; the client times out
  Late,         // the client times out; the write is applied LateMs later
  Error500,     // the write is applied; the status is 500
  Refuse        // the write is not applied; the status is 503
};

class FakeStore
{
public:
  static constexpr int LateMs = 250;
  static constexpr int TimeoutMs = 100; // time-out of the client under test

  FakeStore ()
  {
    struct sockaddr_in at = {};
    at.sin_family = AF_INET;
    inet_pton (AF_INET, "127.77.0.1", &at.sin_addr);
    for (unsigned i = 0; i < 100 && !running_; i++)
      {
        port_ = 20000 + (static_cast<unsigned> (getpid ()) * 7 + i) % 20000;
        at.sin_port = htons (static_cast<uint16_t> (port_));
        if (ulfius_init_instance (&instance_, port_, &at, nullptr) != U_OK)
          continue;
        ulfius_add_endpoint_by_val (&instance_, "*", nullptr, "*", 0, &serve,
                                    this);
        running_ = ulfius_start_framework (&instance_) == U_OK;
        if (!running_)
          ulfius_clean_instance (&instance_);
      }
  }
  ~FakeStore ()
  {
    stop ();
    for (auto &t : late_)
      t.join ();
  }
  FakeStore (const FakeStore &) = delete;
  FakeStore &operator= (const FakeStore &) = delete;

  void
  stop ()
  {
    if (!running_)
      return;
    ulfius_stop_framework (&instance_);
    ulfius_clean_instance (&instance_);
    running_ = false;
  }
  std::string
  url () const
  {
    return "http://127.77.0.1:" + std::to_string (port_);
  }
  void
  fault (Fault f)
  {
    std::lock_guard<std::mutex> hold (lock_);
    faults_.push_back (f);
  }
  // Writes KEY like another client.
  void
  overwrite (const std::string &key, const std::string &json)
  {
    std::lock_guard<std::mutex> hold (lock_);
    objects_[key] = { ++revision_, json };
  }
  // Sets KEY to an older version, like a replica that lags.
  void
  rewind (const std::string &key, long version, const std::string &json)
  {
    std::lock_guard<std::mutex> hold (lock_);
    objects_[key] = { version, json };
  }
  std::string
  value (const std::string &key)
  {
    std::lock_guard<std::mutex> hold (lock_);
    return objects_[key].json;
  }
  int writes = 0; // writes by clients that were applied, without overwrite ()

private:
  struct Object
  {
    long version = 0;
    std::string json;
  };
  struct _u_instance instance_ = {};
  unsigned port_ = 0;
  bool running_ = false;
  std::mutex lock_;
  std::deque<Fault> faults_;
  std::deque<std::thread> late_;
  std::map<std::string, Object> objects_;
  long revision_ = 0;

  static int
  serve (const struct _u_request *req, struct _u_response *res, void *self)
  {
    auto *store = static_cast<FakeStore *> (self);
    std::string prefix = "/v1/objects/";
    std::string path = req->url_path;
    std::string key = path.substr (std::min (prefix.size (), path.size ()));
    if (path == "/v1/objects")
      return store->list (req->map_url, res);
    if (strcmp (req->http_verb, "DELETE") == 0)
      return store->remove (key, atol (u_map_get (req->map_url, "version")),
                            res);
    if (strcmp (req->http_verb, "GET") == 0)
      return store->read (key, res);
    std::string body (static_cast<const char *> (req->binary_body),
                      req->binary_body_length);
    return store->write (key, body, res);
  }
  int
  read (const std::string &key, struct _u_response *res)
  {
    std::lock_guard<std::mutex> hold (lock_);
    auto it = objects_.find (key);
    if (it == objects_.end () || it->second.version == 0)
      {
        ulfius_set_string_body_response (res, 404, "{}");
        return U_CALLBACK_COMPLETE;
      }
    std::string text = "{\"key\":\"" + key
                       + "\",\"version\":" + std::to_string (it->second.version)
                       + ",\"value\":" + it->second.json + "}";
    ulfius_set_string_body_response (res, 200, text.c_str ());
    return U_CALLBACK_COMPLETE;
  }
  int
  list (const struct _u_map *query, struct _u_response *res)
  {
    std::lock_guard<std::mutex> hold (lock_);
    std::string prefix = u_map_get (query, "prefix");
    const char *after = u_map_get (query, "after");
    const char *limit = u_map_get (query, "limit");
    long left = limit == nullptr ? 1000 : atol (limit);
    std::string items;
    for (const auto &[key, object] : objects_)
      if (key.compare (0, prefix.size (), prefix) == 0 && object.version > 0
          && (after == nullptr || key > after) && left-- > 0)
        items += std::string (items.empty () ? "" : ",") + "{\"key\":\"" + key
                 + "\",\"version\":" + std::to_string (object.version) + "}";
    ulfius_set_string_body_response (res, 200,
                                     ("{\"items\":[" + items + "]}").c_str ());
    return U_CALLBACK_COMPLETE;
  }
  int
  remove (const std::string &key, long version, struct _u_response *res)
  {
    std::lock_guard<std::mutex> hold (lock_);
    auto it = objects_.find (key);
    bool exists = it != objects_.end () && it->second.version > 0;
    bool ok = exists && it->second.version == version;
    if (ok)
      {
        objects_.erase (it);
        revision_++;
      }
    ulfius_set_string_body_response (res, !exists ? 404 : ok ? 200 : 409, "{}");
    return U_CALLBACK_COMPLETE;
  }
  Fault
  next_fault ()
  {
    std::lock_guard<std::mutex> hold (lock_);
    if (faults_.empty ())
      return Fault::Normal;
    Fault f = faults_.front ();
    faults_.pop_front ();
    return f;
  }
  // Applies a conditional write and returns the HTTP status.
  unsigned
  apply (const std::string &key, const std::string &body, std::string *answer)
  {
    std::lock_guard<std::mutex> hold (lock_);
    struct json_object *tree = json_tokener_parse (body.c_str ());
    struct json_object *version = nullptr;
    struct json_object *value = nullptr;
    json_object_object_get_ex (tree, "version", &version);
    json_object_object_get_ex (tree, "value", &value);
    Object &o = objects_[key];
    bool ok = json_object_get_int64 (version) == o.version;
    if (ok)
      {
        o.version = ++revision_;
        o.json = json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN);
        writes++;
      }
    json_object_put (tree);
    *answer = ok ? "{\"key\":\"" + key
                       + "\",\"version\":" + std::to_string (o.version) + "}"
                 : "{\"error\":{\"code\":\"conflict\"}}";
    return ok ? 200 : 409;
  }
  int
  write (const std::string &key, const std::string &body,
         struct _u_response *res)
  {
    std::string answer;
    unsigned status = 503;
    Fault fault = next_fault ();
    if (fault == Fault::Late)
      {
        std::lock_guard<std::mutex> hold (lock_);
        late_.emplace_back ([this, key, body] {
          std::string ignored;
          usleep (LateMs * 1000);
          apply (key, body, &ignored);
        });
      }
    else if (fault != Fault::LoseRequest && fault != Fault::Refuse)
      status = apply (key, body, &answer);
    if (fault == Fault::LoseResponse || fault == Fault::LoseRequest
        || fault == Fault::Late)
      usleep (TimeoutMs * 1500); // 1.5 times the time-out, in microseconds
    if (fault == Fault::Error500)
      status = 500;
    ulfius_set_string_body_response (res, status, answer.c_str ());
    return U_CALLBACK_COMPLETE;
  }
};

#endif
