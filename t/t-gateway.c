/*
 * Runs the gateway process against the fake platform: what callers receive and
 * what targets see, with and without faults.
 */
#include "harness.h"
#include "platform-harness.h"

#include <signal.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define BASE 21000
#define STORE BASE
#define DESK_1 (BASE + 1)
#define DESK_2 (BASE + 2)
#define RANK_1 (BASE + 3)
#define N_RANKS 4

static pid_t gateway;
static int front;

static void
setup (void)
{
  p_start_platform (BASE, "--ranks", "4", NULL);
  gateway = p_start_gateway (BASE, 1);
  front = p_front_port (BASE, 1);
  p_wait_until_ready (BASE, 1);
}

static char *
send_request (const char *method_and_path, const char *id, const char *headers,
              const char *body)
{
  g_autofree char *req = p_build_request (method_and_path, id, headers, body);

  return p_round_trip (front, req);
}

/* Injects the fault @kind into the next @x requests at each plain target, or at
 * each rank. */
static void
set_desk_fault (const char *kind, int x)
{
  p_inject_fault (DESK_1, 2, kind, x);
}

static void
set_rank_fault (const char *kind, int x)
{
  p_inject_fault (RANK_1, N_RANKS, kind, x);
}

/* The sum of the counter @what over the plain targets. */
static double
desk_counter (const char *what)
{
  return p_sum_runs (DESK_1, 2, what);
}

START_TEST (request_is_forwarded_unchanged)
{
  g_autofree char *a = send_request (
      "POST /order/a%20b?c=d", "r1",
      "X-Other: 1\r\nComfreypost-Tenant: forged\r\n", "two parcels");

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "Comfreypost-Server-Signature: desk-"));
  ck_assert_ptr_nonnull (strstr (a, "Comfreypost-Request-Id: r1\r\n"));
  ck_assert_ptr_nonnull (strstr (a, " POST /order/a%20b?c=d org=museum "
                                    "key=hidden body=two parcels"));
}
END_TEST

START_TEST (public_route_needs_no_api_key)
{
  g_autofree char *a
      = p_round_trip (front, "GET /open/x HTTP/1.1\r\nHost: demo.example\r\n"
                             "Comfreypost-Tenant: forged\r\n"
                             "Comfreypost-Request-Id: r1\r\n\r\n");

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "org=- key=hidden"));
}
END_TEST

START_TEST (invalid_requests_get_error_status)
{
  const struct
  {
    const char *text;
    int status;
  } cases[] = {
    { "GET /none/ HTTP/1.1\r\nHost: demo.example\r\n\r\n", 404 },
    { "GET /quote/ HTTP/1.1\r\nHost: other\r\n\r\n", 404 },
    { "GET /quote/ HTTP/1.1\r\nHost: demo.example\r\n\r\n", 401 },
    { "GET /quote/ HTTP/1.1\r\nHost: demo.example\r\n"
      "Authorization: Token wrong\r\n\r\n",
      401 },
    { "GET /quote/ HTTP/1.1\r\n\r\n", 400 },
    { "nonsense\r\n\r\n", 400 },
    { "POST /order/ HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413 },
    { "GET / HTTP/1.1\r\nHost: demo.example\r\nContent-Length: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n",
      400 },
    { "GET /quote/ HTTP/1.1\r\nHost: demo.ex", 408 }, /* never ends */
  };

  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *a = p_round_trip (front, cases[i].text);

      ck_assert_msg (p_parse_status (a) == cases[i].status, "case %zu: %s", i,
                     a);
    }
}
END_TEST

START_TEST (oversized_headers_are_refused)
{
  GString *s = g_string_new ("GET /quote/ HTTP/1.1\r\nX: ");
  g_autofree char *a = NULL;

  for (int i = 0; i < 5000; i++)
    g_string_append_c (s, 'x');
  g_string_append (s, "\r\n\r\n");
  a = p_round_trip (front, s->str);
  ck_assert_int_eq (p_parse_status (a), 431);
  g_string_free (s, TRUE);
}
END_TEST

START_TEST (connection_serves_many_requests)
{
  int fd = p_connect (front);

  for (int i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("k%d", i);
      g_autofree char *want = g_strdup_printf ("Request-Id: %s\r\n", id);
      g_autofree char *req = p_build_request ("POST /order/a", id, NULL, "x");
      g_autofree char *a = NULL;

      p_send (fd, req);
      a = p_read_answer (fd, 2000);
      ck_assert_int_eq (p_parse_status (a), 200);
      ck_assert_ptr_nonnull (strstr (a, want));
    }
  close (fd);
}
END_TEST

/* A target's second answer to one request is never used for the next one. */
START_TEST (unsolicited_answers_are_dropped)
{
  set_desk_fault ("extra", 50);
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%d", i);
      g_autofree char *want = g_strdup_printf ("Request-Id: %s\r\n", id);
      g_autofree char *a = send_request ("GET /quote/a", id, NULL, "");

      ck_assert_int_eq (p_parse_status (a), 200);
      ck_assert_ptr_nonnull (strstr (a, want));
      ck_assert_ptr_null (strstr (a, "\r\nextra"));
    }
}
END_TEST

/* A caller was told that its request has not run, while the target ran it. */
START_TEST (late_copy_of_a_refusal_is_not_taken_for_the_answer_to_a_retry)
{
  g_autofree char *config
      = p_call_standin (STORE, "GET /test/get?key=op/config", "");
  g_auto (GStrv) parts = g_strsplit (config, "\"max-attempts\":1,", -1);
  g_autofree char *retried = g_strjoinv ("\"max-attempts\":2,", parts);
  g_autofree char *newer = g_strdup_printf (
      "{\"version\":9,%s", retried + strlen ("{\"version\":1,"));

  ck_assert_uint_ge (g_strv_length (parts), 2);
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-1", ""));
  g_free (p_call_standin (STORE, "POST /test/put?key=op/config", newer));
  usleep (500000);
  for (int i = 0; i < 3; i++)
    {
      g_autofree char *id = g_strdup_printf ("l%d", i);
      g_autofree char *a = NULL;

      p_inject_fault (DESK_1, 1, "full-late", 1);
      a = send_request ("POST /order/a", id, NULL, "x");
      ck_assert_int_eq (p_parse_status (a), 200);
    }
  ck_assert_double_eq (p_sum_runs (DESK_1, 1, "runs"), 3);
}
END_TEST

/* The rest of the body was awaited until the request's time was up. */
START_TEST (failure_whose_body_does_not_end_is_not_awaited)
{
  gint64 start_ms = g_get_monotonic_time () / 1000;
  g_autofree char *unsafe = NULL;
  g_autofree char *safe = NULL;

  set_desk_fault ("fail-long", 1);
  unsafe = send_request ("POST /order/a", "f1", NULL, "x");
  ck_assert_int_eq (p_parse_status (unsafe), 502);
  safe = send_request ("GET /quote/a", "f2", NULL, "");
  ck_assert_int_eq (p_parse_status (safe), 200);
  ck_assert_int_lt (g_get_monotonic_time () / 1000 - start_ms, 400);
}
END_TEST

START_TEST (idempotent_requests_are_retried)
{
  const char *const kinds[]
      = { "lost", "truncate", "garbage", "unsigned", "full", "fail" };

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *call
          = g_strdup_printf ("POST /test/fault?kind=%s&x=1", kinds[i]);
      g_autofree char *a = NULL;

      /* One target fails once; the request may reach the other first. */
      g_free (p_call_standin (DESK_1, call, ""));
      a = send_request ("GET /quote/a", kinds[i], NULL, "");
      ck_assert_msg (p_parse_status (a) == 200, "%s: %s", kinds[i], a);
      g_free (p_call_standin (DESK_1, "POST /test/fault?kind=x&x=0", ""));
    }
}
END_TEST

static void
setup_one_desk (void)
{
  p_start_platform (BASE, "--plain", "1", "--ranks", "0", NULL);
  gateway = p_start_gateway (BASE, 1);
  front = p_front_port (BASE, 1);
  p_wait_until_ready (BASE, 1);
}

/* Guards against a request that ends with the refusal of the only target, which
 * is full for a moment. */
START_TEST (request_that_full_target_refused_is_queued_again)
{
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  p_inject_fault (DESK_1, 1, "full", 1);
  a = send_request ("GET /quote/a", "q1", NULL, "");
  ck_assert_msg (p_parse_status (a) == 200, "%s", a);
  /* Its second attempt is its last. */
  p_inject_fault (DESK_1, 1, "full", 2);
  b = send_request ("GET /quote/a", "q2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 503);
  ck_assert_double_eq (p_sum_runs (DESK_1, 1, "runs"), 1);
}
END_TEST

START_TEST (answer_without_length_is_complete)
{
  g_autofree char *a = NULL;

  set_desk_fault ("unframed", 1);
  a = send_request ("GET /quote/a", "u1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "unframed desk-"));
}
END_TEST

/* A request that may have run is not sent again, and its caller is never told
 * that it did not run. */
START_TEST (non_idempotent_requests_run_at_most_once)
{
  const char *const kinds[] = { "lost", "truncate", "garbage", "unsigned" };

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *a = NULL;

      set_desk_fault (kinds[i], 1);
      a = send_request ("POST /order/a", kinds[i], NULL, "x");
      ck_assert_msg (p_parse_status (a) == 502, "%s: %s", kinds[i], a);
      set_desk_fault ("x", 0);
    }
  ck_assert_double_eq (desk_counter ("runs"), G_N_ELEMENTS (kinds));
  ck_assert_double_eq (desk_counter ("doubled"), 0);
}
END_TEST

START_TEST (refused_request_gets_retry_after)
{
  g_autofree char *a = NULL;

  set_desk_fault ("full", 1);
  a = send_request ("POST /order/a", "f1", NULL, "x");
  ck_assert_int_eq (p_parse_status (a), 503);
  ck_assert_ptr_nonnull (strstr (a, "Retry-After: "));
  ck_assert_ptr_null (strstr (a, "Signature"));
  ck_assert_double_eq (desk_counter ("runs"), 0);
}
END_TEST

START_TEST (target_failure_is_forwarded_unchanged)
{
  g_autofree char *a = NULL;

  set_desk_fault ("fail", 1);
  a = send_request ("POST /order/a", "x1", NULL, "x");
  ck_assert_int_eq (p_parse_status (a), 500);
  ck_assert_ptr_nonnull (strstr (a, "Signature: desk-"));
  ck_assert_ptr_nonnull (strstr (a, "failed\n"));
}
END_TEST

/* At a target that hangs, a request that must not be repeated is answered at
 * its route's timeout, neither before nor later.  One that may be repeated is
 * retried elsewhere long before. */
START_TEST (hanging_target_times_out)
{
  gint64 begun = g_get_monotonic_time () / 1000;
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  gint64 ms;

  set_desk_fault ("hang", 1);
  a = send_request ("POST /order/a", "h1", NULL, "x");
  ms = g_get_monotonic_time () / 1000 - begun;
  ck_assert_int_eq (p_parse_status (a), 504);
  ck_assert_int_ge (ms, 750);
  ck_assert_int_le (ms, 1200);
  set_desk_fault ("x", 0);
  g_free (p_call_standin (DESK_1, "POST /test/fault?kind=hang&x=1", ""));
  b = send_request ("GET /quote/a", "h2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 200);
}
END_TEST

static guint
count_occurrences (const char *text, const char *needle)
{
  guint n = 0;

  while ((text = strstr (text, needle)))
    {
      n++;
      text += strlen (needle);
    }
  return n;
}

START_TEST (stream_is_forwarded_completely)
{
  g_autofree char *a = send_request ("POST /chat/a", "s1",
                                     "Comfreypost-Token-Count: 10,80\r\n", "");

  ck_assert_int_eq (p_parse_status (a), 200);
  for (int e = 1; e <= 20; e++)
    {
      g_autofree char *ev
          = g_strdup_printf ("id: %d\ndata: token-%d\n\n", e, e);

      ck_assert_uint_eq (count_occurrences (a, ev), 1);
    }
  ck_assert (g_str_has_suffix (a, "0\r\n\r\n"));
}
END_TEST

/* A stream that is cut off within an event is resumed at another rank. */
START_TEST (interrupted_stream_is_resumed)
{
  g_autofree char *a = NULL;

  set_rank_fault ("cut", 1);
  a = send_request ("POST /chat/a", "s2", "Comfreypost-Token-Count: 10,80\r\n",
                    "");
  /* The second rank cuts it off too, and the route allows two attempts. */
  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert (!g_str_has_suffix (a, "0\r\n\r\n"));
  ck_assert_uint_eq (count_occurrences (a, "id: 4\n"), 1);
  set_rank_fault ("x", 0);
  g_free (p_call_standin (RANK_1, "POST /test/fault?kind=cut&x=100", ""));
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("s3-%d", i);
      g_autofree char *b = send_request (
          "POST /chat/a", id, "Comfreypost-Token-Count: 10,80\r\n", "");

      ck_assert (g_str_has_suffix (b, "0\r\n\r\n"));
      for (int e = 1; e <= 20; e++)
        {
          g_autofree char *ev
              = g_strdup_printf ("id: %d\ndata: token-%d\n\n", e, e);

          ck_assert_uint_eq (count_occurrences (b, ev), 1);
        }
    }
}
END_TEST

/* The peak resident memory of a process, in kB. */
static gint64
peak_rss_kb (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  g_autofree char *text = NULL;
  const char *at;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  at = strstr (text, "VmHWM:");
  ck_assert_ptr_nonnull (at);
  return g_ascii_strtoll (at + strlen ("VmHWM:"), NULL, 10);
}

/* Callers that do not read their streams delay no other caller, and the gateway
 * buffers little of what they do not read. */
START_TEST (slow_readers_do_not_delay_others)
{
  int fds[8];
  gint64 begun;

  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    {
      g_autofree char *id = g_strdup_printf ("slow%zu", i);
      g_autofree char *req = p_build_request (
          "POST /chat/a", id, "Comfreypost-Token-Count: 10,4000\r\n", "");

      fds[i] = p_connect (front);
      p_send (fds[i], req);
    }
  usleep (1000000);
  begun = g_get_monotonic_time () / 1000;
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("quick%d", i);
      g_autofree char *a = send_request ("GET /quote/a", id, NULL, "");

      ck_assert_int_eq (p_parse_status (a), 200);
    }
  ck_assert_int_lt (g_get_monotonic_time () / 1000 - begun, 2000);
  ck_assert_int_lt (peak_rss_kb (gateway), 32768);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* An idle connection is usable until the idle timeout (3 s here), then it is
 * closed. */
START_TEST (idle_connection_closes_after_timeout)
{
  g_autofree char *first = p_build_request ("POST /order/a", "i1", NULL, "x");
  g_autofree char *second = p_build_request ("POST /order/a", "i2", NULL, "x");
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  g_autofree char *end = NULL;
  gint64 begun;
  int fd = p_connect (front);

  p_send (fd, first);
  a = p_read_answer (fd, 2000);
  ck_assert_int_eq (p_parse_status (a), 200);
  usleep (2600000);
  p_send (fd, second);
  b = p_read_answer (fd, 2000);
  ck_assert_int_eq (p_parse_status (b), 200);
  begun = g_get_monotonic_time () / 1000;
  end = p_read_answer (fd, 5000);
  ck_assert_str_eq (end, "");
  ck_assert_int_ge (g_get_monotonic_time () / 1000 - begun, 2700);
  ck_assert_int_lt (g_get_monotonic_time () / 1000 - begun, 4500);
  close (fd);
}
END_TEST

START_TEST (request_is_cancelled_when_caller_leaves)
{
  g_autofree char *req = p_build_request ("POST /order/a", "g1", NULL, "x");
  int fd;

  set_desk_fault ("hang", 1);
  fd = p_connect (front);
  p_send (fd, req);
  usleep (100000);
  ck_assert_double_eq (desk_counter ("runs"), 1);
  close (fd);
  for (int i = 0; i < 50 && desk_counter ("gone") == 0; i++)
    usleep (10000);
  ck_assert_double_eq (desk_counter ("gone"), 1);
}
END_TEST

START_TEST (draining_target_gets_no_new_requests)
{
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  usleep (300000);
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("d%d", i);
      g_autofree char *a = send_request ("POST /order/a", id, NULL, "x");

      ck_assert_ptr_nonnull (strstr (a, "Signature: desk-1\r\n"));
    }
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-1", ""));
  usleep (300000);
  {
    g_autofree char *a = send_request ("POST /order/a", "d-last", NULL, "x");

    ck_assert_int_eq (p_parse_status (a), 503);
    ck_assert_ptr_nonnull (strstr (a, "Retry-After: "));
  }
}
END_TEST

/* An outage of the store ended longer ago than the time that expired entries
 * have to come back.  A target that is removed now gets no more requests from
 * this moment on. */
START_TEST (target_removal_is_seen_after_store_outage)
{
  g_free (p_call_standin (STORE, "POST /test/mode?mode=busy", ""));
  g_free (p_call_standin (STORE, "POST /test/forget", ""));
  usleep (500000);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=up", ""));
  usleep (3600000);
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-0", ""));
  usleep (300000);
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);
      g_autofree char *a = send_request ("POST /order/a", id, NULL, "x");

      ck_assert_ptr_nonnull (strstr (a, "Signature: desk-1\r\n"));
    }
}
END_TEST

#define CONFIG(version, prefix)                                                \
  "{\"version\":" version ",\"routes\":[{\"name\":\"n\",\"host\":"             \
  "\"demo.example\",\"prefix\":\"" prefix "\",\"kind\":\"safe\","              \
  "\"service\":\"desk\",\"max-attempts\":1,\"timeout-ms\":800}],"              \
  "\"services\":[{\"name\":\"desk\",\"max-conns\":9}],\"tenants\":["           \
  "{\"name\":\"museum\",\"api-keys\":[\"key-museum\"]}]}"

/* Crashed targets have restarted under other ids while the list still shows the
 * old incarnations, which accept nothing any more. */
START_TEST (restarted_targets_are_used_immediately)
{
  g_free (p_call_standin (DESK_1, "POST /test/restart", ""));
  g_free (p_call_standin (DESK_2, "POST /test/restart", ""));
  usleep (100000);
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("n%d", i);
      g_autofree char *a = send_request ("POST /order/a", id, NULL, "x");

      ck_assert_msg (p_parse_status (a) == 200, "%d: %s", i, a);
    }
}
END_TEST

/* How often the request @id ran at the plain targets. */
static double
run_count (const char *id)
{
  g_autofree char *call = g_strdup_printf ("GET /test/runs?id=%s", id);
  g_autofree char *a = p_call_standin (DESK_1, call, "");
  g_autofree char *b = p_call_standin (DESK_2, call, "");

  return p_json_number (a, "times") + p_json_number (b, "times");
}

/* Both plain targets work on a request that they will never answer, since their
 * VMs lose power; they restart under the same ids.  A request that may be
 * repeated is sent to the new incarnation at once.  One that may not is
 * answered at once, as one that may have run.  If the restart were not noticed,
 * either would be answered only after 375 ms of silence. */
START_TEST (a_restart_under_the_same_id_ends_what_ran_there)
{
  g_autofree char *quote = p_build_request ("GET /quote/a", "s1", "", "");
  g_autofree char *order = p_build_request ("POST /order/a", "s2", "", "x");
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  int fd[2];

  set_desk_fault ("hang", 1);
  fd[0] = p_connect (front);
  p_send (fd[0], quote);
  fd[1] = p_connect (front);
  p_send (fd[1], order);
  usleep (60000);
  g_free (p_call_standin (DESK_1, "POST /test/restart?same=1", ""));
  g_free (p_call_standin (DESK_2, "POST /test/restart?same=1", ""));
  a = p_read_answer (fd[0], 200);
  b = p_read_answer (fd[1], 200);
  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_int_eq (p_parse_status (b), 502);
  ck_assert_double_eq (run_count ("s1"), 2);
  ck_assert_double_eq (run_count ("s2"), 1);
  close (fd[0]);
  close (fd[1]);
}
END_TEST

/* A delayed write of the old incarnation says that the target drains. */
START_TEST (old_incarnation_cannot_drain_new_one)
{
  char *late[2];

  for (int i = 0; i < 2; i++)
    {
      late[i] = g_strdup_printf (
          "{\"service\":\"desk\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"dc1\","
          "\"version\":\"v1\",\"slots\":6,\"state\":\"draining\","
          "\"cold-left-ms\":0,\"seq\":9,\"born\":1000}",
          DESK_1 + i);
      g_free (p_call_standin (STORE,
                              i ? "POST /test/put?key=servers/desk-1"
                                : "POST /test/put?key=servers/desk-0",
                              late[i]));
      g_free (late[i]);
    }
  usleep (50000);
  for (int i = 0; i < 4; i++)
    {
      g_autofree char *a = send_request ("GET /quote/a", "f1", "", "");

      ck_assert_int_eq (p_parse_status (a), 200);
    }
  ck_assert (
      p_wait_for_log ("t/out/gateway-21000-1.log", "older-incarnation", 500));
}
END_TEST

/* Invalid entries in the store do not affect the others.  Each is logged once
 * per revision, and the target that the id named before is not used any more.
 */
START_TEST (invalid_entries_are_ignored)
{
  const char *const puts[][2] = {
    { "POST /test/put?key=servers/x-1", "no json" },
    { "POST /test/put?key=servers/x-2", "{\"service\":\"desk\"}" },
    { "POST /test/put-raw?key=servers/x-3", "***" },
    { "POST /test/put?key=servers/x/../4", "{}" },
    { "POST /test/put?key=servers/x-5",
      "{\"service\":\"nonsense\",\"addr\":\"127.0.0.1:21001\",\"zone\":\"dc1\","
      "\"version\":\"v1\",\"slots\":900,\"state\":\"ready\","
      "\"cold-left-ms\":0,\"seq\":1,\"born\":1783022913149}" },
    { "POST /test/put?key=servers/desk-1",
      "{\"service\":\"desk\",\"slots\":-1}" },
  };
  const char *const log = "t/out/gateway-21000-1.log";

  for (gsize i = 0; i < G_N_ELEMENTS (puts); i++)
    g_free (p_call_standin (STORE, puts[i][0], puts[i][1]));
  ck_assert (p_wait_for_log_count (log, "outcome=bad", 5, 1000));
  /* Makes the gateway read the complete list again. */
  g_free (p_call_standin (STORE, "POST /test/forget", ""));
  usleep (300000);
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *a = send_request ("GET /quote/a", "p1", "", "");

      ck_assert_int_eq (p_parse_status (a), 200);
      ck_assert_ptr_nonnull (strstr (a, "Server-Signature: desk-0"));
    }
  ck_assert_uint_eq (p_count_in_log (log, "outcome=bad"), 5);
}
END_TEST

/* A listed target's address now belongs to another service, which the first
 * refusal shows.  When a refusal only paused the target for 50 ms, 7 of 30
 * requests were refused. */
START_TEST (reused_address_is_avoided)
{
  int refused = 0;

  g_free (p_call_standin (DESK_1, "POST /test/fault?kind=moved&x=1000", ""));
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("m%d", i);
      g_autofree char *a = send_request ("POST /order/a", id, NULL, "x");

      refused += p_parse_status (a) != 200;
    }
  ck_assert_int_le (refused, 3);
}
END_TEST

START_TEST (config_version_never_goes_back)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  g_autofree char *c = NULL;
  g_autofree char *d = NULL;

  g_free (p_call_standin (STORE, put, CONFIG ("9", "/nine/")));
  usleep (300000);
  a = send_request ("GET /nine/", "c1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  b = send_request ("GET /quote/", "c2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 404);
  /* An older version and an invalid one change nothing. */
  g_free (p_call_standin (STORE, put, CONFIG ("8", "/eight/")));
  g_free (p_call_standin (STORE, put, "{\"version\":10,\"routes\":[{}]}"));
  usleep (300000);
  c = send_request ("GET /nine/", "c3", NULL, "");
  ck_assert_int_eq (p_parse_status (c), 200);
  /* The store has dropped its history: the next version is still found. */
  g_free (p_call_standin (STORE, "POST /test/forget", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("11", "/eleven/")));
  usleep (800000);
  d = send_request ("GET /eleven/", "c4", NULL, "");
  ck_assert_int_eq (p_parse_status (d), 200);
}
END_TEST

/* From a store that answers late, or refuses every second call, each version
 * still arrives within two seconds. */
START_TEST (config_arrives_from_slow_or_failing_store)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  g_free (p_call_standin (STORE, "POST /test/mode?mode=slow", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("3", "/three/")));
  usleep (1200000);
  a = send_request ("GET /three/", "w1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=some", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("4", "/four/")));
  usleep (1900000);
  b = send_request ("GET /four/", "w2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 200);
}
END_TEST

/* A store that serves only old revisions does not revert the configuration. */
START_TEST (stale_store_does_not_revert_config)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  g_free (p_call_standin (STORE, put, CONFIG ("5", "/five/")));
  usleep (300000);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=stale", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("6", "/six/")));
  usleep (500000);
  a = send_request ("GET /five/", "v1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  b = send_request ("GET /six/", "v2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 404);
}
END_TEST

/* Invalid settings end the program with a message that names the setting and a
 * remedy. */
START_TEST (invalid_settings_are_reported)
{
  g_autofree char *out = NULL;
  g_autofree char *err = NULL;
  int status = 0;

  g_file_set_contents ("t/out/wrong.conf", "ip=127.0.0.1\n", -1, NULL);
  ck_assert (g_spawn_command_line_sync (
      "env COMFREYPOST_CONFIG=t/out/wrong.conf target/comfrey-gateway "
      "--check-settings",
      &out, &err, &status, NULL));
  ck_assert_int_eq (WEXITSTATUS (status), 2);
  ck_assert_ptr_nonnull (strstr (err, "listen.front"));
  ck_assert_ptr_nonnull (strstr (err, "remedy: "));
}
END_TEST

START_TEST (large_body_is_forwarded)
{
  g_autofree char *body = g_strnfill (60000, 'b');
  g_autofree char *a = send_request ("POST /order/a", "big", NULL, body);

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, body));
}
END_TEST

START_TEST (gateway_without_store_learns_from_peer)
{
  g_autofree char *req = p_build_request ("POST /order/a", "p1", NULL, "x");
  g_autofree char *a = NULL;

  g_free (p_call_standin (STORE, "POST /test/mode?mode=silent", ""));
  p_start_ready_gateway (BASE, 2);
  a = p_round_trip (p_front_port (BASE, 2), req);
  ck_assert_int_eq (p_parse_status (a), 200);
}
END_TEST

/* Guards against refusing requests that arrive while a new process reads its
 * configuration: after a kill of all gateways, most of these requests were on
 * their last attempt. */
START_TEST (request_waits_for_config_at_startup)
{
  g_autofree char *req = p_build_request ("POST /order/a", "u1", NULL, "x");
  g_autofree char *a = NULL;
  int fd;

  p_signal (gateway, SIGKILL);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=busy", ""));
  p_start_gateway (BASE, 1);
  fd = p_connect (front);
  p_send (fd, req);
  usleep (300000);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=good", ""));
  a = p_read_answer (fd, 2000);
  ck_assert_int_eq (p_parse_status (a), 200);
  close (fd);
}
END_TEST

START_TEST (gateway_without_config_is_not_ready)
{
  g_autofree char *req = p_build_request ("POST /order/a", "n1", NULL, "x");
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  p_signal (gateway, SIGKILL);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=busy", ""));
  p_start_gateway (BASE, 1);
  a = p_round_trip (front + 1, "GET /v1/readyz HTTP/1.1\r\n\r\n");
  ck_assert_int_eq (p_parse_status (a), 503);
  b = p_round_trip (front, req);
  ck_assert_int_eq (p_parse_status (b), 503);
  ck_assert_ptr_nonnull (strstr (b, "Retry-After: "));
  g_free (p_call_standin (STORE, "POST /test/mode?mode=up", ""));
  p_wait_until_ready (BASE, 1);
}
END_TEST

/* A planned stop cuts off nothing.  Running requests are completed.  A late
 * request is answered if it completes in time; else it is refused as not run,
 * with a Retry-After at which this process has restarted, since no other
 * accepts it. */
START_TEST (planned_stop_completes_running_requests)
{
  g_autofree char *stream = p_build_request (
      "POST /chat/a", "t1", "Comfreypost-Token-Count: 10,1800\r\n", "");
  g_autofree char *order = p_build_request ("POST /order/a", "t2", NULL, "x");
  g_autofree char *longer = p_build_request (
      "POST /chat/a", "t3", "Comfreypost-Token-Count: 10,4000\r\n", "");
  g_autofree char *early = NULL;
  g_autofree char *late = NULL;
  g_autofree char *too_late = NULL;
  g_autofree char *whole = NULL;
  g_autofree char *ready = NULL;
  int fd = p_connect (front);
  int kept = p_connect (front);

  p_send (fd, stream);
  usleep (100000);
  kill (gateway, SIGTERM);
  usleep (200000);
  ready = p_round_trip (front + 1, "GET /v1/readyz HTTP/1.1\r\n\r\n");
  ck_assert_int_eq (p_parse_status (ready), 503);
  early = p_round_trip (front, order);
  ck_assert_int_eq (p_parse_status (early), 200);
  ck_assert_ptr_nonnull (strstr (early, "Connection: close"));
  usleep (2300000);
  late = p_round_trip (front, order);
  ck_assert_int_eq (p_parse_status (late), 200);
  ck_assert_ptr_nonnull (strstr (late, "Connection: close"));
  too_late = p_round_trip (front, longer);
  ck_assert_int_eq (p_parse_status (too_late), 503);
  ck_assert_ptr_nonnull (strstr (too_late, "Retry-After: 1."));
  whole = p_read_answer (fd, 5000);
  ck_assert (g_str_has_suffix (whole, "0\r\n\r\n"));
  ck_assert_uint_eq (count_occurrences (whole, "id: 450\n"), 1);
  ck_assert_int_eq (p_stop (gateway), 0);
  close (fd);
  close (kept);
}
END_TEST

START_TEST (reload_interrupts_no_stream)
{
  g_autofree char *stream = p_build_request (
      "POST /chat/a", "u1", "Comfreypost-Token-Count: 10,200\r\n", "");
  g_autofree char *whole = NULL;
  int fd = p_connect (front);

  p_send (fd, stream);
  usleep (50000);
  p_signal (gateway, SIGHUP);
  whole = p_read_answer (fd, 5000);
  ck_assert (g_str_has_suffix (whole, "0\r\n\r\n"));
  close (fd);
}
END_TEST

START_TEST (metrics_are_served)
{
  g_autofree char *a = send_request ("POST /order/a", "m1", NULL, "x");
  g_autofree char *m
      = p_round_trip (front + 3, "GET /metrics HTTP/1.1\r\n\r\n");

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_int_eq (p_parse_status (m), 200);
  ck_assert_ptr_nonnull (
      strstr (m, "\ncomfrey_outcomes_total{outcome=\"success\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (m, "\ncomfrey_config_version 1\n"));
  ck_assert_ptr_nonnull (strstr (m, "comfrey_answer_ms_bucket{le=\"+Inf\"}"));
}
END_TEST

/** Targets that register one by one, and the time between two. */
#define N_REGISTRATIONS 40
#define REGISTRATION_INTERVAL_MS 25
/** Store calls that a gateway may need for them: one for each half second, and
 * some at either end. */
#define MAX_STORE_CALLS 8

/* The value of a counter or gauge that gateway @n exports. */
static double
metric (int n, const char *name)
{
  g_autofree char *m = p_round_trip (p_front_port (BASE, n) + 3,
                                     "GET /metrics HTTP/1.1\r\n\r\n");
  g_autofree char *line = g_strdup_printf ("\ncomfrey_%s ", name);
  const char *at = strstr (m, line);

  ck_assert_ptr_nonnull (at);
  return g_ascii_strtod (at + strlen (line), NULL);
}

/*
 * Guards against a flood of store calls while targets register one by one. When
 * each new entry completed the watch of each gateway, which watched again at
 * once, the start of 35 gateways and 197 targets took 7,300 store calls, nine
 * tenths of them for that reason.  Changes that are close together are fetched
 * together.
 */
START_TEST (registrations_are_batched_into_few_store_calls)
{
  double before = metric (1, "store_calls_total");

  for (int i = 0; i < N_REGISTRATIONS; i++)
    {
      g_autofree char *call
          = g_strdup_printf ("POST /test/put?key=servers/new-%d", i);
      g_autofree char *entry = g_strdup_printf (
          "{\"service\":\"desk\",\"addr\":\"127.0.0.1:1\",\"slots\":6,"
          "\"state\":\"draining\",\"seq\":%d}",
          i);

      g_free (p_call_standin (BASE, call, entry));
      usleep (REGISTRATION_INTERVAL_MS * 1000);
    }
  ck_assert_double_lt (metric (1, "store_calls_total") - before,
                       MAX_STORE_CALLS);
}
END_TEST

/** Of 220 descriptors, 200 are reserved for files, and half of the rest are for
 * callers. */
#define MAX_FDS 220
#define MAX_CALLERS 10

/* Callers' connections do not use up the descriptors that targets need.  An
 * idle caller is disconnected for the next one; one that waits for its answer
 * is not. */
START_TEST (callers_do_not_use_up_file_descriptors)
{
  g_autofree char *quick = p_build_request ("POST /order/a", "f", NULL, "x");
  g_autofree char *stream = p_build_request (
      "POST /chat/a", "f", "Comfreypost-Token-Count: 10,100\r\n", "");
  int idle[2 * MAX_CALLERS];
  int fds[MAX_CALLERS];

  p_overrides.max_fds = MAX_FDS;
  p_start_ready_gateway (BASE, 2);
  for (int i = 0; i < 2 * MAX_CALLERS; i++)
    {
      g_autofree char *a = NULL;

      idle[i] = p_connect (p_front_port (BASE, 2));
      p_send (idle[i], quick);
      a = p_read_answer (idle[i], 3000);
      ck_assert_msg (p_parse_status (a) == 200, "%d: %s", i, a);
    }
  ck_assert_double_eq (metric (2, "callers"), MAX_CALLERS);
  for (int i = 0; i < MAX_CALLERS; i++)
    {
      fds[i] = p_connect (p_front_port (BASE, 2));
      p_send (fds[i], stream);
    }
  usleep (100000);
  ck_assert_double_eq (metric (2, "callers"), MAX_CALLERS);
  {
    g_autofree char *a = p_round_trip (p_front_port (BASE, 2), quick);

    ck_assert_str_eq (a, "");
    ck_assert_double_eq (metric (2, "callers_turned_away_total"), 1);
  }
  for (int i = 0; i < MAX_CALLERS; i++)
    {
      g_autofree char *a = p_read_answer (fds[i], 8000);

      ck_assert (g_str_has_suffix (a, "0\r\n\r\n"));
    }
  {
    g_autofree char *a = p_round_trip (p_front_port (BASE, 2), quick);

    ck_assert_int_eq (p_parse_status (a), 200);
  }
  for (int i = 0; i < MAX_CALLERS; i++)
    {
      close (idle[i]);
      close (idle[MAX_CALLERS + i]);
      close (fds[i]);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("gateway");
  TCase *t = tcase_create ("gateway");

  tcase_set_timeout (t, 30);
  tcase_add_checked_fixture (t, setup, p_stop_all);
  tcase_add_test (t, request_is_forwarded_unchanged);
  tcase_add_test (t, public_route_needs_no_api_key);
  tcase_add_test (t, invalid_requests_get_error_status);
  tcase_add_test (t, oversized_headers_are_refused);
  tcase_add_test (t, connection_serves_many_requests);
  tcase_add_test (t, unsolicited_answers_are_dropped);
  tcase_add_test (t, failure_whose_body_does_not_end_is_not_awaited);
  tcase_add_test (
      t, late_copy_of_a_refusal_is_not_taken_for_the_answer_to_a_retry);
  tcase_add_test (t, idempotent_requests_are_retried);
  tcase_add_test (t, answer_without_length_is_complete);
  tcase_add_test (t, non_idempotent_requests_run_at_most_once);
  tcase_add_test (t, refused_request_gets_retry_after);
  tcase_add_test (t, target_failure_is_forwarded_unchanged);
  tcase_add_test (t, hanging_target_times_out);
  tcase_add_test (t, stream_is_forwarded_completely);
  tcase_add_test (t, interrupted_stream_is_resumed);
  tcase_add_test (t, slow_readers_do_not_delay_others);
  tcase_add_test (t, idle_connection_closes_after_timeout);
  tcase_add_test (t, request_is_cancelled_when_caller_leaves);
  tcase_add_test (t, draining_target_gets_no_new_requests);
  tcase_add_test (t, target_removal_is_seen_after_store_outage);
  tcase_add_test (t, restarted_targets_are_used_immediately);
  tcase_add_test (t, a_restart_under_the_same_id_ends_what_ran_there);
  tcase_add_test (t, old_incarnation_cannot_drain_new_one);
  tcase_add_test (t, invalid_entries_are_ignored);
  tcase_add_test (t, reused_address_is_avoided);
  tcase_add_test (t, config_version_never_goes_back);
  tcase_add_test (t, config_arrives_from_slow_or_failing_store);
  tcase_add_test (t, stale_store_does_not_revert_config);
  tcase_add_test (t, invalid_settings_are_reported);
  tcase_add_test (t, large_body_is_forwarded);
  tcase_add_test (t, gateway_without_store_learns_from_peer);
  tcase_add_test (t, request_waits_for_config_at_startup);
  tcase_add_test (t, gateway_without_config_is_not_ready);
  tcase_add_test (t, planned_stop_completes_running_requests);
  tcase_add_test (t, reload_interrupts_no_stream);
  tcase_add_test (t, metrics_are_served);
  tcase_add_test (t, registrations_are_batched_into_few_store_calls);
  tcase_add_test (t, callers_do_not_use_up_file_descriptors);
  suite_add_tcase (s, t);
  t = tcase_create ("one-desk");
  tcase_add_checked_fixture (t, setup_one_desk, p_stop_all);
  tcase_add_test (t, request_that_full_target_refused_is_queued_again);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
