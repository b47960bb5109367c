/* HTTP client of the side's event loop.  */

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "base/head_lines.h"
#include "side/http.h"
#include "wire/wire.h"

#define CONNECT_TIMEOUT_MS 1000L
#define RETRY_AFTER_MAX_S 3600

struct cv_http_request_t
{
  LIST_ENTRY (cv_http_request_t) link;
  cv_http_t *http;
  CURL *easy;
  struct curl_slist *headers;
  char *request_body;
  cv_head_lines_t response_head;
  cv_buf_t response_body;
  cv_http_call_t call;
};

static bool set_options (cv_http_request_t *r, const cv_http_call_t *call);
static bool set_method (CURL *easy, const cv_http_call_t *call,
                        const char *body);
static bool set_headers (cv_http_request_t *r, const cv_http_call_t *call);
static bool add_header (cv_http_request_t *r, const char *line);
static void request_free (cv_http_request_t *r);
static size_t on_response_header (char *p, size_t size, size_t n, void *arg);
static size_t on_response_data (char *p, size_t size, size_t n, void *arg);
static int on_socket (CURL *easy, curl_socket_t fd, int action, void *arg,
                      void *socket_arg);
static int on_timer (CURLM *multi, long timeout_ms, void *arg);
static void finish_completed (cv_http_t *h);
static void finish_request (CURL *easy, CURLcode code);

bool
cv_http_init (cv_http_t *h, int epoll_fd, uint32_t tag, cv_error_t *err)
{
  *h = (cv_http_t){ .epoll_fd = epoll_fd, .tag = (uint64_t)tag << 32 };
  LIST_INIT (&h->requests);
  h->multi = curl_multi_init ();
  if (h->multi == NULL)
    return cv_fail (err, CV_ERR_SYSTEM, "cannot start the HTTP client");
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (h->multi, CURLMOPT_SOCKETDATA, h);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (h->multi, CURLMOPT_TIMERDATA, h);
  return true;
}

void
cv_http_finish (cv_http_t *h)
{
  cv_http_request_t *r = LIST_FIRST (&h->requests);

  while (r != NULL)
    {
      cv_http_request_t *next = LIST_NEXT (r, link);

      cv_http_cancel (r);
      r = next;
    }
  if (h->multi != NULL)
    curl_multi_cleanup (h->multi);
  h->multi = NULL;
}

cv_http_request_t *
cv_http_start (cv_http_t *h, const cv_http_call_t *call)
{
  cv_http_request_t *r = cv_calloc (1, sizeof *r);

  r->http = h;
  r->call = *call;
  cv_buf_init (&r->response_body);
  LIST_INSERT_HEAD (&h->requests, r, link);
  r->easy = curl_easy_init ();
  if (r->easy == NULL || !set_options (r, call)
      || curl_multi_add_handle (h->multi, r->easy) != CURLM_OK)
    {
      request_free (r);
      return NULL;
    }
  return r;
}

void
cv_http_cancel (cv_http_request_t *r)
{
  if (r == NULL)
    return;
  curl_multi_remove_handle (r->http->multi, r->easy);
  request_free (r);
}

void
cv_http_socket_ready (cv_http_t *h, int fd, uint32_t events)
{
  int mask = 0;
  int running;

  if (events & EPOLLIN)
    mask |= CURL_CSELECT_IN;
  if (events & EPOLLOUT)
    mask |= CURL_CSELECT_OUT;
  if (events & (EPOLLERR | EPOLLHUP))
    mask |= CURL_CSELECT_ERR;
  curl_multi_socket_action (h->multi, fd, mask, &running);
  finish_completed (h);
}

void
cv_http_tick (cv_http_t *h, cv_time_t now)
{
  int running;

  if (h->wake_at == 0 || now < h->wake_at)
    return;
  h->wake_at = 0;
  curl_multi_socket_action (h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (h);
}

static bool
set_options (cv_http_request_t *r, const cv_http_call_t *call)
{
  CURL *easy = r->easy;

  r->request_body = cv_strdup_n (call->body.p, call->body.n);
  if (curl_easy_setopt (easy, CURLOPT_URL, call->url) != CURLE_OK
      || !set_method (easy, call, r->request_body) || !set_headers (r, call))
    return false;
  /* When a reused connection turns out to be closed, libcurl sends the request
     again on a new one.  */
  if (call->at_most_once)
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
  curl_easy_setopt (easy, CURLOPT_PRIVATE, r);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_response_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, r);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_response_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, r);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
  return true;
}

static bool
set_method (CURL *easy, const cv_http_call_t *call, const char *body)
{
  if (strcmp (call->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else if (call->body.n > 0 || strcmp (call->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)call->body.n);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
    }
  return curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method)
         == CURLE_OK;
}

static bool
set_headers (cv_http_request_t *r, const cv_http_call_t *call)
{
  char line[256];
  const char *type = call->content_type != NULL ? call->content_type : "";
  int n = snprintf (line, sizeof line, "Content-Type:%s%s",
                    type[0] != '\0' ? " " : "", type);

  if (n < 0 || (size_t)n >= sizeof line)
    return false;
  if (!add_header (r, line) || !add_header (r, "Expect:"))
    return false;
  if (call->header != NULL && !add_header (r, call->header))
    return false;
  return curl_easy_setopt (r->easy, CURLOPT_HTTPHEADER, r->headers) == CURLE_OK;
}

static bool
add_header (cv_http_request_t *r, const char *line)
{
  struct curl_slist *list;

  if (strpbrk (line, "\r\n") != NULL)
    return false;
  list = curl_slist_append (r->headers, line);
  if (list == NULL)
    return false;
  r->headers = list;
  return true;
}

static void
request_free (cv_http_request_t *r)
{
  LIST_REMOVE (r, link);
  if (r->easy != NULL)
    curl_easy_cleanup (r->easy);
  curl_slist_free_all (r->headers);
  cv_buf_finish (&r->response_body);
  free (r->request_body);
  free (r);
}

/* Ends the request at a status that is none (RFC 9110, 15), or at 101
   (Switching Protocols), which was not asked for.  libcurl accepts both, and
   reads what follows 101 until the connection ends.  */
static size_t
on_response_header (char *p, size_t size, size_t n, void *arg)
{
  cv_http_request_t *r = arg;
  long status = 0;

  curl_easy_getinfo (r->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status == 101 || status > CV_STATUS_MAX)
    return 0;
  return cv_head_lines_add (p, size, n, &r->response_head);
}

static size_t
on_response_data (char *p, size_t size, size_t n, void *arg)
{
  cv_http_request_t *r = arg;
  long status = 0;

  n *= size;
  curl_easy_getinfo (r->easy, CURLINFO_RESPONSE_CODE, &status);
  if (r->call.data != NULL && status == 200)
    {
      r->call.data (r->call.arg, p, n);
      return n;
    }
  if (r->response_body.n + n > CV_BODY_MAX)
    return 0;
  cv_buf_add (&r->response_body, p, n);
  return n;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int action, void *arg,
           void *socket_arg)
{
  cv_http_t *h = arg;
  struct epoll_event ev = { 0 };

  (void)easy;
  if (action == CURL_POLL_REMOVE)
    {
      (void)epoll_ctl (h->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
      return 0;
    }
  if (action != CURL_POLL_OUT)
    ev.events |= EPOLLIN;
  if (action != CURL_POLL_IN)
    ev.events |= EPOLLOUT;
  ev.data.u64 = h->tag | (uint32_t)fd;
  if (socket_arg != NULL
      && epoll_ctl (h->epoll_fd, EPOLL_CTL_MOD, fd, &ev) == 0)
    return 0;
  if (epoll_ctl (h->epoll_fd, EPOLL_CTL_ADD, fd, &ev) != 0)
    (void)epoll_ctl (h->epoll_fd, EPOLL_CTL_MOD, fd, &ev);
  curl_multi_assign (h->multi, fd, h);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *arg)
{
  cv_http_t *h = arg;

  (void)multi;
  h->wake_at = timeout_ms < 0 ? 0 : cv_now () + timeout_ms * CV_MS;
  return 0;
}

static void
finish_completed (cv_http_t *h)
{
  CURLMsg *msg;
  int left;

  while ((msg = curl_multi_info_read (h->multi, &left)) != NULL)
    if (msg->msg == CURLMSG_DONE)
      finish_request (msg->easy_handle, msg->data.result);
}

static void
finish_request (CURL *easy, CURLcode code)
{
  cv_http_request_t *r = NULL;
  cv_http_result_t result = { .end = CV_HTTP_COMPLETE };
  char *type = NULL;
  curl_off_t connect_us = 0;
  curl_off_t retry_after = 0;

  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &r);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &result.status);
  curl_easy_getinfo (easy, CURLINFO_CONTENT_TYPE, &type);
  curl_easy_getinfo (easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  curl_easy_getinfo (easy, CURLINFO_RETRY_AFTER, &retry_after);
  if (code == CURLE_COULDNT_CONNECT
      || (code == CURLE_OPERATION_TIMEDOUT && r->call.at_most_once
          && connect_us == 0))
    result.end = CV_HTTP_NOT_SENT;
  else if (code != CURLE_OK || !r->response_head.is_whole)
    result.end = CV_HTTP_INCOMPLETE;
  if (retry_after > 0)
    result.retry_after_s = retry_after < RETRY_AFTER_MAX_S
                               ? (uint32_t)retry_after
                               : RETRY_AFTER_MAX_S;
  result.content_type = type != NULL ? type : "";
  result.body.p = r->response_body.p;
  result.body.n = r->response_body.n;
  curl_multi_remove_handle (r->http->multi, easy);
  r->call.done (r->call.arg, &result);
  request_free (r);
}
