/* HTTP requests with libcurl.  The client of ulfius, an HTTP library, is not
   used: its time-outs have a resolution of one second, and it does not
   distinguish a refused connection from a lost response, on which the outcome
   of a write depends.  */

#include <string.h>

#include <curl/curl.h>

#include "base/head_lines.h"
#include "store/http.h"

#define RESPONSE_MAX_BYTES (2u * 1024 * 1024)
#define URL_MAX_BYTES 512

static size_t
append_body (char *data, size_t size, size_t count, void *arg)
{
  cv_buf_t *body = arg;

  if (size * count > RESPONSE_MAX_BYTES - body->n)
    return 0; /* makes the transfer fail */
  cv_buf_add (body, data, size * count);
  return size * count;
}

void
cv_store_init (cv_store_t *s, const char *url, int timeout_ms)
{
  memset (s, 0, sizeof *s);
  (void)cv_copy (s->url, sizeof s->url, url);
  s->timeout_ms = timeout_ms;
  s->curl = curl_easy_init ();
  CV_INVARIANT (s->curl != NULL);
}

void
cv_store_finish (cv_store_t *s)
{
  curl_easy_cleanup (s->curl);
  s->curl = NULL;
}

/* Whether the store may have received the request of a failed transfer.
   CURLE_UNSUPPORTED_PROTOCOL is also the result of a response with a status
   below 100 or that is no number.  */
static bool
may_have_been_sent (CURLcode code)
{
  switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_FAILED_INIT:
      return false;
    default:
      return true;
    }
}

static void
set_options (cv_store_t *s, const char *method, const char *url,
             const char *body, cv_head_lines_t *head,
             cv_store_response_t *response)
{
  CURL *c = s->curl;

  curl_easy_reset (c);
  (void)curl_easy_setopt (c, CURLOPT_URL, url);
  (void)curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, method);
  (void)curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  (void)curl_easy_setopt (c, CURLOPT_PROXY, "");
  (void)curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, (long)s->timeout_ms);
  (void)curl_easy_setopt (c, CURLOPT_HEADERFUNCTION, cv_head_lines_add);
  (void)curl_easy_setopt (c, CURLOPT_HEADERDATA, head);
  (void)curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, append_body);
  (void)curl_easy_setopt (c, CURLOPT_WRITEDATA, &response->body);
  if (body == NULL)
    return;
  (void)curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
  (void)curl_easy_setopt (c, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
  /* On a reused connection libcurl may retry a request by itself, but a write
     must be sent only once.  */
  (void)curl_easy_setopt (c, CURLOPT_FRESH_CONNECT, 1L);
}

bool
cv_store_exchange (cv_store_t *s, const char *method, const char *path,
                   const char *body, cv_store_response_t *response,
                   cv_error_t *err)
{
  struct curl_slist *headers = NULL;
  cv_head_lines_t head = { 0 };
  char url[URL_MAX_BYTES];
  CURLcode code;
  long status = 0;
  int n;

  memset (response, 0, sizeof *response);
  cv_buf_init (&response->body);
  n = snprintf (url, sizeof url, "%s%s", s->url, path);
  if (n < 0 || (size_t)n >= sizeof url)
    return cv_fail (err, CV_ERR_INVALID, "store: request URL is too long");
  set_options (s, method, url, body, &head, response);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  (void)curl_easy_setopt (s->curl, CURLOPT_HTTPHEADER, headers);
  code = curl_easy_perform (s->curl);
  curl_slist_free_all (headers);
  response->sent = code == CURLE_OK || may_have_been_sent (code);
  if (head.is_invalid)
    return cv_fail (err, CV_ERR_UNAVAILABLE,
                    "store %s: a line of the response is no field", s->url);
  if (code != CURLE_OK)
    return cv_fail (err, CV_ERR_UNAVAILABLE, "store %s: %s", s->url,
                    curl_easy_strerror (code));
  if (!head.is_whole)
    return cv_fail (err, CV_ERR_UNAVAILABLE,
                    "store %s: the head of the response was cut", s->url);
  (void)curl_easy_getinfo (s->curl, CURLINFO_RESPONSE_CODE, &status);
  /* libcurl accepts 101 and what is above 599.  */
  if (status < CV_STATUS_FINAL_MIN || status > CV_STATUS_MAX)
    return cv_fail (err, CV_ERR_UNAVAILABLE, "store %s: invalid status %ld",
                    s->url, status);
  response->status = (int)status;
  return true;
}
