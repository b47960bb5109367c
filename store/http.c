/* HTTP exchanges by libcurl, the library below ulfius's own client: that one
   counts time-outs in whole seconds and does not tell a refused connection
   from a lost answer, which the outcomes of a write depend on.  */

#include <string.h>

#include <curl/curl.h>

#include "store/http.h"

#define REPLY_MAX (2u * 1024 * 1024)
#define URL_TEXT 512

static size_t
take_body (char *data, size_t size, size_t count, void *arg)
{
  cv_buf_t *body = arg;

  if (size * count > REPLY_MAX - body->n)
    return 0; /* fails the exchange */
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

/* Whether a failed transfer may have carried the request to the store.  */
static bool
may_have_arrived (CURLcode code)
{
  switch (code)
    {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_FAILED_INIT:
      return false;
    default:
      return true;
    }
}

static void
set_options (cv_store_t *s, const char *method, const char *url,
             const char *body, cv_reply_t *reply)
{
  CURL *c = s->curl;

  curl_easy_reset (c);
  (void)curl_easy_setopt (c, CURLOPT_URL, url);
  (void)curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, method);
  (void)curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  (void)curl_easy_setopt (c, CURLOPT_PROXY, "");
  (void)curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, (long)s->timeout_ms);
  (void)curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, take_body);
  (void)curl_easy_setopt (c, CURLOPT_WRITEDATA, &reply->body);
  if (body == NULL)
    return;
  (void)curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
  (void)curl_easy_setopt (c, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
  /* On a connection that was open before, curl would send a request again
     by itself; a write has to be sent once.  */
  (void)curl_easy_setopt (c, CURLOPT_FRESH_CONNECT, 1L);
}

bool
cv_store_exchange (cv_store_t *s, const char *method, const char *path,
                   const char *body, cv_reply_t *reply, cv_error_t *err)
{
  struct curl_slist *headers = NULL;
  char url[URL_TEXT];
  CURLcode code;
  long status = 0;
  int n;

  memset (reply, 0, sizeof *reply);
  cv_buf_init (&reply->body);
  n = snprintf (url, sizeof url, "%s%s", s->url, path);
  if (n < 0 || (size_t)n >= sizeof url)
    return cv_fail (err, CV_ERR_INVALID, "store: key is too long");
  set_options (s, method, url, body, reply);
  headers = curl_slist_append (headers, "Content-Type: application/json");
  headers = curl_slist_append (headers, "Expect:");
  (void)curl_easy_setopt (s->curl, CURLOPT_HTTPHEADER, headers);
  code = curl_easy_perform (s->curl);
  curl_slist_free_all (headers);
  reply->sent = code == CURLE_OK || may_have_arrived (code);
  if (code != CURLE_OK)
    return cv_fail (err, CV_ERR_UNAVAILABLE, "store %s: %s", s->url,
                    curl_easy_strerror (code));
  (void)curl_easy_getinfo (s->curl, CURLINFO_RESPONSE_CODE, &status);
  reply->status = (int)status;
  return true;
}
