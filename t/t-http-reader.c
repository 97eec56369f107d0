/* Reading HTTP messages: framing, limits, and what is passed on. */
#include "gateway/forward.h"
#include "gateway/http-reader.h"
#include "harness.h"

#include <string.h>

static GString *body;
static int heads;
static int completes;

static void
on_head (void *owner)
{
  heads++;
}

static void
on_body (void *owner, const char *data, gsize n)
{
  g_string_append_len (body, data, (gssize)n);
}

static void
on_complete (void *owner)
{
  completes++;
}

static const CfHttpReaderCalls calls = { on_head, on_body, on_complete };

static void
setup (void)
{
  body = g_string_new (NULL);
  heads = completes = 0;
}

static void
teardown (void)
{
  g_string_free (body, TRUE);
}

/* Feeds @text a piece of @step bytes at a time; FALSE once refused. */
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

START_TEST (any_cut_reads_the_same)
{
  const CfForwardHeaders ours = { 500, "i-1", "org", -1 };

  for (gsize step = 1; step < 60; step++)
    {
      CfHttpReader r;
      GString *out;

      g_string_truncate (body, 0);
      cf_http_reader_init (&r, HTTP_REQUEST, &calls, NULL, 4096);
      ck_assert (feed_all (&r, request, step));
      ck_assert (r.is_complete);
      ck_assert_str_eq (body->str, "abcde");
      ck_assert_str_eq (cf_http_reader_target (&r), "/a/b?c=d");
      out = cf_forward_request (&r, body, &ours);
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

START_TEST (smuggled_and_bad_requests_are_refused)
{
  const char *const bad[] = {
    "GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"
    "\r\n",
    "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "nonsense\r\n\r\n",
    "GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n",
    "GET / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      CfHttpReader r;

      cf_http_reader_init (&r, HTTP_REQUEST, &calls, NULL, 4096);
      ck_assert_msg (!feed_all (&r, bad[i], 7), "case %zu was taken", i);
      cf_http_reader_clear (&r);
    }
}
END_TEST

START_TEST (heads_are_bounded)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\nX: ");
  CfHttpReader r;

  for (int i = 0; i < 300; i++)
    g_string_append_c (text, 'x');
  g_string_append (text, "\r\n\r\n");
  cf_http_reader_init (&r, HTTP_REQUEST, &calls, NULL, 200);
  ck_assert (!feed_all (&r, text->str, 50));
  ck_assert (r.too_large);
  cf_http_reader_clear (&r);
  g_string_free (text, TRUE);
}
END_TEST

START_TEST (cut_answers_are_not_whole)
{
  CfHttpReader r;
  const char *const cut[] = {
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    "HTTP/1.1 200 OK\r\nContent-Le",
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cut); i++)
    {
      cf_http_reader_init (&r, HTTP_RESPONSE, &calls, NULL, 4096);
      ck_assert (feed_all (&r, cut[i], 9));
      ck_assert (!cf_http_reader_eof (&r));
      cf_http_reader_clear (&r);
    }
  /* An answer without a length ends with its connection. */
  cf_http_reader_init (&r, HTTP_RESPONSE, &calls, NULL, 4096);
  ck_assert (feed_all (&r, "HTTP/1.1 200 OK\r\n\r\nabc", 9));
  ck_assert (cf_http_reader_eof (&r));
  ck_assert (!cf_http_reader_keeps (&r));
  cf_http_reader_clear (&r);
}
END_TEST

START_TEST (messages_follow_each_other)
{
  CfHttpReader r;
  const char two[] = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n";
  gsize used;

  cf_http_reader_init (&r, HTTP_REQUEST, &calls, NULL, 4096);
  ck_assert (cf_http_reader_feed (&r, two, strlen (two), &used));
  ck_assert_uint_eq (used, strlen (two) / 2);
  ck_assert_str_eq (cf_http_reader_target (&r), "/1");
  cf_http_reader_next (&r);
  ck_assert (cf_http_reader_feed (&r, two + used, strlen (two) - used, &used));
  ck_assert_str_eq (cf_http_reader_target (&r), "/2");
  ck_assert_int_eq (completes, 2);
  cf_http_reader_clear (&r);
}
END_TEST

/* Random bytes and random damage must neither crash nor hang the reader. */
START_TEST (random_damage_is_survived)
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
      cf_http_reader_init (&r, HTTP_REQUEST, &calls, NULL, 512);
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
  tcase_add_test (t, any_cut_reads_the_same);
  tcase_add_test (t, smuggled_and_bad_requests_are_refused);
  tcase_add_test (t, heads_are_bounded);
  tcase_add_test (t, cut_answers_are_not_whole);
  tcase_add_test (t, messages_follow_each_other);
  tcase_add_test (t, random_damage_is_survived);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
