#include "http-client.h"

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;
static __thread CURL *thread_handle;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

static size_t
append_body (char *ptr, size_t size, size_t n, void *data)
{
  g_string_append_len (data, ptr, size * n);
  return size * n;
}

/* Whether the answer's body ends with a length or a last chunk, whose absence
 * libcurl reports, or there is none by definition. */
static gboolean
is_framed (CURL *h, long code)
{
  struct curl_header *coding = NULL;
  curl_off_t length = -1;

  if (code == 204 || code == 304)
    return TRUE;
  curl_easy_getinfo (h, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
  if (length >= 0)
    return TRUE;
  return curl_easy_header (h, "Transfer-Encoding", 0, CURLH_HEADER, -1, &coding)
             == CURLHE_OK
         && strcasestr (coding->value, "chunked") != NULL;
}

/* Whether @body is an object or an array, of which no proper beginning is
 * valid JSON. */
static gboolean
is_self_delimiting (const GString *body)
{
  json_t *o = json_loadb (body->str, body->len, 0, NULL);
  gboolean ok = o != NULL;

  json_decref (o);
  return ok;
}

/* Checks that an answer did not break off unnoticed, and that it can be handed
 * on as a string. */
static CfStatus
check_answer (CURL *h, const char *method, const char *url, long code,
              const GString *body)
{
  /* If only the end of the connection marks the answer's end, libcurl takes any
   * part of it for the whole. */
  if (!is_framed (h, code) && !is_self_delimiting (body))
    return cf_fail (CF_ERR_HTTP,
                    "check the peer's logs, and have it state a length or send "
                    "chunks",
                    "%s %s: the answer, status %ld, has neither a length nor "
                    "chunks, and its connection ended after %zu bytes, which "
                    "are not a complete JSON document",
                    method, url, code, body->len);
  /* A NUL byte would end the string before the answer ends. */
  if (!g_utf8_validate_len (body->str, body->len, NULL))
    return cf_fail (CF_ERR_HTTP, "have the peer send text in UTF-8",
                    "%s %s: the answer, status %ld, of %zu bytes is not text "
                    "in UTF-8",
                    method, url, code, body->len);
  return CF_OK;
}

static CfStatus
perform (const char *method, const char *url, const char *body,
         const char *const *headers, long timeout_ms, gboolean once, long *code,
         char **out)
{
  struct curl_slist *list = NULL;
  GString *reply = g_string_new (NULL);
  CfStatus st = CF_OK;
  CURLcode rc;
  CURL *h;

  pthread_once (&curl_once, init_curl);
  if (thread_handle == NULL)
    thread_handle = curl_easy_init ();
  h = thread_handle;
  curl_easy_reset (h);
  curl_easy_setopt (h, CURLOPT_URL, url);
  curl_easy_setopt (h, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (h, CURLOPT_TIMEOUT_MS, timeout_ms);
  curl_easy_setopt (h, CURLOPT_CONNECTTIMEOUT_MS,
                    timeout_ms < 1000 ? timeout_ms : 1000L);
  curl_easy_setopt (h, CURLOPT_NOSIGNAL, 1L);
  /* libcurl sends a request again, even a POST, when a reused connection
   * closes before any answer.  It never does so on a new connection. */
  curl_easy_setopt (h, CURLOPT_FRESH_CONNECT, once ? 1L : 0L);
  curl_easy_setopt (h, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (h, CURLOPT_WRITEDATA, reply);
  list = curl_slist_append (list, "Content-Type: application/json");
  list = curl_slist_append (list, "Expect:");
  for (const char *const *p = headers; p && *p; p++)
    list = curl_slist_append (list, *p);
  curl_easy_setopt (h, CURLOPT_HTTPHEADER, list);
  if (body)
    curl_easy_setopt (h, CURLOPT_POSTFIELDS, body);
  else if (g_str_equal (method, "GET"))
    curl_easy_setopt (h, CURLOPT_HTTPGET, 1L);

  rc = curl_easy_perform (h);
  switch (rc)
    {
    case CURLE_OK:
      curl_easy_getinfo (h, CURLINFO_RESPONSE_CODE, code);
      st = check_answer (h, method, url, *code, reply);
      break;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      st = cf_fail (CF_ERR_NET,
                    "check that the URL is correct and that the peer is up",
                    "%s %s: %s", method, url, curl_easy_strerror (rc));
      break;
    case CURLE_OPERATION_TIMEDOUT:
      st = cf_fail (CF_ERR_TIMEOUT,
                    "check the peer's load or raise the timeout",
                    "%s %s: no answer within %ld ms", method, url, timeout_ms);
      break;
    default:
      st = cf_fail (CF_ERR_HTTP, "check the peer's logs", "%s %s: %s", method,
                    url, curl_easy_strerror (rc));
      break;
    }
  curl_slist_free_all (list);
  if (out && st == CF_OK)
    *out = g_string_free (reply, FALSE);
  else
    g_string_free (reply, TRUE);
  return st;
}

CfStatus
cf_http_call (const char *method, const char *url, const char *body,
              const char *const *headers, long timeout_ms, long *code,
              char **out)
{
  return perform (method, url, body, headers, timeout_ms, FALSE, code, out);
}

CfStatus
cf_http_call_once (const char *method, const char *url, const char *body,
                   const char *const *headers, long timeout_ms, long *code,
                   char **out)
{
  return perform (method, url, body, headers, timeout_ms, TRUE, code, out);
}
