/* Reading HTTP messages: framing, limits, and which headers are forwarded. */
#include "gateway/forward.h"
#include "gateway/http-reader.h"
#include "harness.h"

#include <string.h>

static GString *body;
static int n_heads;
static int n_completes;

static void
on_head (void *owner)
{
  n_heads++;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  g_string_append_len (body, data, (gssize)n);
}

static void
on_complete (void *owner)
{
  n_completes++;
}

static const CfHttpReaderCallbacks callbacks
    = { on_head, on_body, on_complete };

static void
setup (void)
{
  body = g_string_new (NULL);
  n_heads = n_completes = 0;
}

static void
teardown (void)
{
  g_string_free (body, TRUE);
}

/* Feeds @text in pieces of @step bytes.  Returns FALSE if a piece is refused.
 */
static gboolean
feed_all (CfHttpReader *r, const char *text, gsize step)
{
  gsize n = strlen (text);
  gsize used;

  for (gsize at = 0; at < n && !r->is_complete; at += used)
    if (!cf_http_reader_feed (r, text + at, MIN (step, n - at), &used))
      return FALSE;
  return TRUE;
}

static const char request[]
    = "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
      "Comfreypost-Request-Id: r1\r\nAuthorization: Token k\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Stay: 2\r\n"
      "Comfreypost-Tenant: forged\r\nX-Empty:\r\n"
      "Comfreypost-Deadline-Ms: 900\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";

START_TEST (split_input_is_read_the_same)
{
  const CfForwardHeaders headers = { 500, "i-1", "org", -1 };

  for (gsize step = 1; step < 60; step++)
    {
      CfHttpReader r;
      GString *out;

      g_string_truncate (body, 0);
      cf_http_reader_init (&r, HTTP_REQUEST, &callbacks, NULL, 4096);
      ck_assert (feed_all (&r, request, step));
      ck_assert (r.is_complete);
      ck_assert_str_eq (body->str, "abcde");
      ck_assert_str_eq (cf_http_reader_request_target (&r), "/a/b?c=d");
      out = cf_forward_build_request (&r, body, &headers);
      ck_assert_str_eq (out->str,
                        "POST /a/b?c=d HTTP/1.1\r\nHost: h.example\r\n"
                        "Comfreypost-Request-Id: r1\r\nX-Stay: 2\r\n"
                        "X-Empty: \r\n"
                        "Comfreypost-Deadline-Ms: 500\r\n"
                        "Comfreypost-Expect-Instance: i-1\r\n"
                        "Comfreypost-Tenant: org\r\n"
                        "Content-Length: 5\r\n\r\nabcde");
      g_string_free (out, TRUE);
      cf_http_reader_clear (&r);
    }
}
END_TEST

START_TEST (smuggled_and_invalid_requests_are_refused)
{
  const char *const invalid[] = {
    "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
    "\r\n",
    "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "nonsense\r\n\r\n",
    "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      CfHttpReader r;

      cf_http_reader_init (&r, HTTP_REQUEST, &callbacks, NULL, 4096);
      ck_assert_msg (!feed_all (&r, invalid[i], 7), "case %zu was accepted", i);
      cf_http_reader_clear (&r);
    }
}
END_TEST

START_TEST (long_heads_are_refused)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\nX: ");
  CfHttpReader r;

  for (int i = 0; i < 300; i++)
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  cf_http_reader_init (&r, HTTP_REQUEST, &callbacks, NULL, 200);
  ck_assert (!feed_all (&r, text->str, 50));
  ck_assert (r.too_large);
  cf_http_reader_clear (&r);
  g_string_free (text, TRUE);
}
END_TEST

START_TEST (truncated_answers_are_incomplete)
{
  CfHttpReader r;
  const char *const truncated[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (truncated); i++)
    {
      cf_http_reader_init (&r, HTTP_RESPONSE, &callbacks, NULL, 4096);
      ck_assert (feed_all (&r, truncated[i], 9));
      ck_assert (!cf_http_reader_eof (&r));
      cf_http_reader_clear (&r);
    }
  /* The end of the connection ends an answer without a length. */
  cf_http_reader_init (&r, HTTP_RESPONSE, &callbacks, NULL, 4096);
  ck_assert (feed_all (&r, "HTTP/1.1 200 OK\r\n\r\nabc", 9));
  ck_assert (cf_http_reader_eof (&r));
  ck_assert (!cf_http_reader_can_keep_alive (&r));
  cf_http_reader_clear (&r);
}
END_TEST

START_TEST (pipelined_messages_are_read_one_by_one)
{
  CfHttpReader r;
  const char two[] = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  gsize used;

  cf_http_reader_init (&r, HTTP_REQUEST, &callbacks, NULL, 4096);
  ck_assert (cf_http_reader_feed (&r, two, strlen (two), &used));
  ck_assert_uint_eq (used, strlen (two) / 2);
  ck_assert_str_eq (cf_http_reader_request_target (&r), "/1");
  cf_http_reader_next (&r);
  ck_assert (cf_http_reader_feed (&r, two + used, strlen (two) - used, &used));
  ck_assert_str_eq (cf_http_reader_request_target (&r), "/2");
  ck_assert_int_eq (n_completes, 2);
  cf_http_reader_clear (&r);
}
END_TEST

/* Requests with random bytes overwritten neither crash nor hang the reader. */
START_TEST (damaged_requests_neither_crash_nor_hang)
{
  GRand *rand = g_rand_new_with_seed (7);

  for (int round = 0; round < 20000; round++)
    {
      CfHttpReader r;
      char *text = g_strdup (request);
      gsize n = strlen (text);

      for (int i = g_rand_int_range (rand, 0, 6); i > 0; i--)
        text[g_rand_int_range (rand, 0, (int)n)]
            = (char)g_rand_int_range (rand, 1, 256);
      g_string_truncate (body, 0);
      cf_http_reader_init (&r, HTTP_REQUEST, &callbacks, NULL, 512);
      feed_all (&r, text, (gsize)g_rand_int_range (rand, 1, 80));
      ck_assert_uint_le (body->len, n);
      cf_http_reader_clear (&r);
      g_free (text);
    }
  g_rand_free (rand);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("http-reader");
  TCase *t = tcase_create ("http-reader");

  tcase_add_checked_fixture (t, setup, teardown);
  tcase_add_test (t, split_input_is_read_the_same);
  tcase_add_test (t, smuggled_and_invalid_requests_are_refused);
  tcase_add_test (t, long_heads_are_refused);
  tcase_add_test (t, truncated_answers_are_incomplete);
  tcase_add_test (t, pipelined_messages_are_read_one_by_one);
  tcase_add_test (t, damaged_requests_neither_crash_nor_hang);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
