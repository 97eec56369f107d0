/*
 * The gateway as a process, before the stand-in of the platform: what
 * callers get and what targets see, in calm and under faults.
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
ask (const char *method_and_path, const char *id, const char *headers,
     const char *body)
{
  g_autofree char *req = p_build_request (method_and_path, id, headers, body);

  return p_round_trip (front, req);
}

/* The next @x requests at each plain target, or each rank, meet @kind. */
static void
fault_desks (const char *kind, int x)
{
  p_inject_fault (DESK_1, 2, kind, x);
}

static void
fault_ranks (const char *kind, int x)
{
  p_inject_fault (RANK_1, N_RANKS, kind, x);
}

static double
at_desks (const char *what)
{
  return p_sum_runs (DESK_1, 2, what);
}

START_TEST (a_request_passes_unchanged)
{
  g_autofree char *a
      = ask ("POST /order/a%20b?c=d", "r1",
             "X-Other: 1\r\nComfreypost-Tenant: forged\r\n", "two parcels");

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "Comfreypost-Server-Signature: desk-"));
  ck_assert_ptr_nonnull (strstr (a, "Comfreypost-Request-Id: r1\r\n"));
  ck_assert_ptr_nonnull (strstr (a, " POST /order/a%20b?c=d org=museum "
                                    "key=hidden body=two parcels"));
}
END_TEST

START_TEST (a_public_route_needs_no_key)
{
  g_autofree char *a
      = p_round_trip (front, "GET /open/x HTTP/1.1\r\nHost: demo.example\r\n"
                             "Comfreypost-Tenant: forged\r\n"
                             "Comfreypost-Request-Id: r1\r\n\r\n");

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "org=- key=hidden"));
}
END_TEST

START_TEST (improper_requests_are_answered)
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

START_TEST (large_heads_are_refused)
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

START_TEST (requests_follow_on_one_connection)
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

/* A target's second answer to one request is never given to the next. */
START_TEST (extra_answers_reach_nobody)
{
  fault_desks ("extra", 50);
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%d", i);
      g_autofree char *want = g_strdup_printf ("Request-Id: %s\r\n", id);
      g_autofree char *a = ask ("GET /quote/a", id, NULL, "");

      ck_assert_int_eq (p_parse_status (a), 200);
      ck_assert_ptr_nonnull (strstr (a, want));
      ck_assert_ptr_null (strstr (a, "\r\nextra"));
    }
}
END_TEST

START_TEST (idempotent_requests_are_tried_again)
{
  const char *const kinds[]
      = { "lost", "truncate", "garbage", "unsigned", "full", "fail" };

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *call
          = g_strdup_printf ("POST /test/fault?kind=%s&x=1", kinds[i]);
      g_autofree char *a = NULL;

      /* One target fails once; whichever is asked first. */
      g_free (p_call_standin (DESK_1, call, ""));
      a = ask ("GET /quote/a", kinds[i], NULL, "");
      ck_assert_msg (p_parse_status (a) == 200, "%s: %s", kinds[i], a);
      g_free (p_call_standin (DESK_1, "POST /test/fault?kind=x&x=0", ""));
    }
}
END_TEST

START_TEST (answers_without_length_are_whole)
{
  g_autofree char *a = NULL;

  fault_desks ("unframed", 1);
  a = ask ("GET /quote/a", "u1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, "unframed desk-"));
}
END_TEST

/* What may have run is not sent again, and never called "not run". */
START_TEST (orders_run_at_most_once)
{
  const char *const kinds[] = { "lost", "truncate", "garbage", "unsigned" };

  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      g_autofree char *a = NULL;

      fault_desks (kinds[i], 1);
      a = ask ("POST /order/a", kinds[i], NULL, "x");
      ck_assert_msg (p_parse_status (a) == 502, "%s: %s", kinds[i], a);
      fault_desks ("x", 0);
    }
  ck_assert_double_eq (at_desks ("runs"), G_N_ELEMENTS (kinds));
  ck_assert_double_eq (at_desks ("doubled"), 0);
}
END_TEST

START_TEST (a_refused_order_may_come_back)
{
  g_autofree char *a = NULL;

  fault_desks ("full", 1);
  a = ask ("POST /order/a", "f1", NULL, "x");
  ck_assert_int_eq (p_parse_status (a), 503);
  ck_assert_ptr_nonnull (strstr (a, "Retry-After: "));
  ck_assert_ptr_null (strstr (a, "Signature"));
  ck_assert_double_eq (at_desks ("runs"), 0);
}
END_TEST

START_TEST (a_targets_failure_passes_as_it_is)
{
  g_autofree char *a = NULL;

  fault_desks ("fail", 1);
  a = ask ("POST /order/a", "x1", NULL, "x");
  ck_assert_int_eq (p_parse_status (a), 500);
  ck_assert_ptr_nonnull (strstr (a, "Signature: desk-"));
  ck_assert_ptr_nonnull (strstr (a, "failed\n"));
}
END_TEST

/* A target that hangs: an order is answered at its route's timeout, not
 * before and not later; a quote is tried elsewhere long before. */
START_TEST (hanging_targets)
{
  gint64 begun = g_get_monotonic_time () / 1000;
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  gint64 ms;

  fault_desks ("hang", 1);
  a = ask ("POST /order/a", "h1", NULL, "x");
  ms = g_get_monotonic_time () / 1000 - begun;
  ck_assert_int_eq (p_parse_status (a), 504);
  ck_assert_int_ge (ms, 750);
  ck_assert_int_le (ms, 1200);
  fault_desks ("x", 0);
  g_free (p_call_standin (DESK_1, "POST /test/fault?kind=hang&x=1", ""));
  b = ask ("GET /quote/a", "h2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 200);
}
END_TEST

static guint
count_of (const char *text, const char *needle)
{
  guint n = 0;

  while ((text = strstr (text, needle)))
    {
      n++;
      text += strlen (needle);
    }
  return n;
}

START_TEST (streams_are_passed_whole)
{
  g_autofree char *a
      = ask ("POST /chat/a", "s1", "Comfreypost-Token-Count: 10,80\r\n", "");

  ck_assert_int_eq (p_parse_status (a), 200);
  for (int e = 1; e <= 20; e++)
    {
      g_autofree char *ev
          = g_strdup_printf ("id: %d\ndata: token-%d\n\n", e, e);

      ck_assert_uint_eq (count_of (a, ev), 1);
    }
  ck_assert (g_str_has_suffix (a, "0\r\n\r\n"));
}
END_TEST

/* A stream that breaks off within an event goes on at another rank. */
START_TEST (broken_streams_are_resumed)
{
  g_autofree char *a = NULL;

  fault_ranks ("cut", 1);
  a = ask ("POST /chat/a", "s2", "Comfreypost-Token-Count: 10,80\r\n", "");
  /* The second rank breaks off too: the route allows two attempts. */
  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert (!g_str_has_suffix (a, "0\r\n\r\n"));
  ck_assert_uint_eq (count_of (a, "id: 4\n"), 1);
  fault_ranks ("x", 0);
  g_free (p_call_standin (RANK_1, "POST /test/fault?kind=cut&x=100", ""));
  for (int i = 0; i < 8; i++)
    {
      g_autofree char *id = g_strdup_printf ("s3-%d", i);
      g_autofree char *b
          = ask ("POST /chat/a", id, "Comfreypost-Token-Count: 10,80\r\n", "");

      ck_assert (g_str_has_suffix (b, "0\r\n\r\n"));
      for (int e = 1; e <= 20; e++)
        {
          g_autofree char *ev
              = g_strdup_printf ("id: %d\ndata: token-%d\n\n", e, e);

          ck_assert_uint_eq (count_of (b, ev), 1);
        }
    }
}
END_TEST

/* The peak memory of a process, in kB. */
static gint64
peak_kb (pid_t pid)
{
  g_autofree char *path = g_strdup_printf ("/proc/%d/status", (int)pid);
  g_autofree char *text = NULL;
  const char *at;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  at = strstr (text, "VmHWM:");
  ck_assert_ptr_nonnull (at);
  return g_ascii_strtoll (at + strlen ("VmHWM:"), NULL, 10);
}

/* Callers that do not read their streams hold up nobody else, and little
 * of what they do not read is held here. */
START_TEST (slow_readers_cost_only_themselves)
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
      g_autofree char *a = ask ("GET /quote/a", id, NULL, "");

      ck_assert_int_eq (p_parse_status (a), 200);
    }
  ck_assert_int_lt (g_get_monotonic_time () / 1000 - begun, 2000);
  ck_assert_int_lt (peak_kb (gateway), 32768);
  for (gsize i = 0; i < G_N_ELEMENTS (fds); i++)
    close (fds[i]);
}
END_TEST

/* A kept connection serves until the idle limit (3 s here), then ends. */
START_TEST (kept_connections_live_to_the_idle_limit)
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

START_TEST (work_of_callers_that_left_is_stopped)
{
  g_autofree char *req = p_build_request ("POST /order/a", "g1", NULL, "x");
  int fd;

  fault_desks ("hang", 1);
  fd = p_connect (front);
  p_send (fd, req);
  usleep (100000);
  ck_assert_double_eq (at_desks ("runs"), 1);
  close (fd);
  for (int i = 0; i < 50 && at_desks ("gone") == 0; i++)
    usleep (10000);
  ck_assert_double_eq (at_desks ("gone"), 1);
}
END_TEST

START_TEST (leaving_targets_get_no_new_work)
{
  g_free (p_call_standin (DESK_1, "POST /test/drain", ""));
  usleep (300000);
  for (int i = 0; i < 10; i++)
    {
      g_autofree char *id = g_strdup_printf ("d%d", i);
      g_autofree char *a = ask ("POST /order/a", id, NULL, "x");

      ck_assert_ptr_nonnull (strstr (a, "Signature: desk-1\r\n"));
    }
  g_free (p_call_standin (STORE, "POST /test/delete?key=servers/desk-1", ""));
  usleep (300000);
  {
    g_autofree char *a = ask ("POST /order/a", "d-last", NULL, "x");

    ck_assert_int_eq (p_parse_status (a), 503);
    ck_assert_ptr_nonnull (strstr (a, "Retry-After: "));
  }
}
END_TEST

/* The store was away and is back for longer than lapsed entries get to come
 * back: a target that leaves then gets no more work at once. */
START_TEST (leaving_is_heard_after_the_stores_return)
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
      g_autofree char *a = ask ("POST /order/a", id, NULL, "x");

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

/* Crashed targets are back under other ids while the list still names the
 * starts before: those take nothing any more. */
START_TEST (restarted_targets_are_used_at_once)
{
  g_free (p_call_standin (DESK_1, "POST /test/restart", ""));
  g_free (p_call_standin (DESK_2, "POST /test/restart", ""));
  usleep (100000);
  for (int i = 0; i < 20; i++)
    {
      g_autofree char *id = g_strdup_printf ("n%d", i);
      g_autofree char *a = ask ("POST /order/a", id, NULL, "x");

      ck_assert_msg (p_parse_status (a) == 200, "%d: %s", i, a);
    }
}
END_TEST

/* A listed target's address has gone to another service: it is found out by
 * the first refusal.  With a pause of 50 ms for it, 7 of 30 were refused. */
/* How often the request @id ran at the desks. */
static double
times_at_desks (const char *id)
{
  g_autofree char *call = g_strdup_printf ("GET /test/runs?id=%s", id);
  g_autofree char *a = p_call_standin (DESK_1, call, "");
  g_autofree char *b = p_call_standin (DESK_2, call, "");

  return p_json_number (a, "times") + p_json_number (b, "times");
}

/* Both desks work on a request that they will never answer, on VMs that
 * lost power; they start again under their ids.  A call that may be repeated
 * is sent to the next start at once, and an order is answered at once as one
 * that may have run: 375 ms of silence is what it takes without. */
START_TEST (a_restart_under_the_same_id_ends_what_ran_there)
{
  g_autofree char *quote = p_build_request ("GET /quote/a", "s1", "", "");
  g_autofree char *order = p_build_request ("POST /order/a", "s2", "", "x");
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  int fd[2];

  fault_desks ("hang", 1);
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
  ck_assert_double_eq (times_at_desks ("s1"), 2);
  ck_assert_double_eq (times_at_desks ("s2"), 1);
  close (fd[0]);
  close (fd[1]);
}
END_TEST

/* A write of the start before, done late, says that it drains. */
START_TEST (a_former_start_cannot_drain_the_next)
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
      g_autofree char *a = ask ("GET /quote/a", "f1", "", "");

      ck_assert_int_eq (p_parse_status (a), 200);
    }
  ck_assert (
      p_wait_for_log ("t/out/gateway-21000-1.log", "older-incarnation", 500));
}
END_TEST

/* Entries that another writer spoiled: the others hold, each is logged once
 * a revision, and what stood under the id before is used no more. */
START_TEST (spoiled_entries_name_no_target)
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
  /* The whole list is read again. */
  g_free (p_call_standin (STORE, "POST /test/forget", ""));
  usleep (300000);
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *a = ask ("GET /quote/a", "p1", "", "");

      ck_assert_int_eq (p_parse_status (a), 200);
      ck_assert_ptr_nonnull (strstr (a, "Server-Signature: desk-0"));
    }
  ck_assert_uint_eq (p_count_in_log (log, "outcome=bad"), 5);
}
END_TEST

START_TEST (a_reused_address_is_left_alone)
{
  int refused = 0;

  g_free (p_call_standin (DESK_1, "POST /test/fault?kind=moved&x=1000", ""));
  for (int i = 0; i < 30; i++)
    {
      g_autofree char *id = g_strdup_printf ("m%d", i);
      g_autofree char *a = ask ("POST /order/a", id, NULL, "x");

      refused += p_parse_status (a) != 200;
    }
  ck_assert_int_le (refused, 3);
}
END_TEST

START_TEST (versions_come_into_force_and_never_go_back)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;
  g_autofree char *c = NULL;
  g_autofree char *d = NULL;

  g_free (p_call_standin (STORE, put, CONFIG ("9", "/nine/")));
  usleep (300000);
  a = ask ("GET /nine/", "c1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  b = ask ("GET /quote/", "c2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 404);
  /* An older one and a broken one change nothing. */
  g_free (p_call_standin (STORE, put, CONFIG ("8", "/eight/")));
  g_free (p_call_standin (STORE, put, "{\"version\":10,\"routes\":[{}]}"));
  usleep (300000);
  c = ask ("GET /nine/", "c3", NULL, "");
  ck_assert_int_eq (p_parse_status (c), 200);
  /* History forgotten: the next one is found all the same. */
  g_free (p_call_standin (STORE, "POST /test/forget", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("11", "/eleven/")));
  usleep (800000);
  d = ask ("GET /eleven/", "c4", NULL, "");
  ck_assert_int_eq (p_parse_status (d), 200);
}
END_TEST

/* A store that answers late, or refuses every second call, still brings
 * each version within two seconds. */
START_TEST (slow_and_choosy_stores_are_followed)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  g_free (p_call_standin (STORE, "POST /test/mode?mode=slow", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("3", "/three/")));
  usleep (1200000);
  a = ask ("GET /three/", "w1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=some", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("4", "/four/")));
  usleep (1900000);
  b = ask ("GET /four/", "w2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 200);
}
END_TEST

/* A store that shows only the past takes nothing back. */
START_TEST (stale_stores_take_nothing_back)
{
  const char put[] = "POST /test/put?key=op/config";
  g_autofree char *a = NULL;
  g_autofree char *b = NULL;

  g_free (p_call_standin (STORE, put, CONFIG ("5", "/five/")));
  usleep (300000);
  g_free (p_call_standin (STORE, "POST /test/mode?mode=stale", ""));
  g_free (p_call_standin (STORE, put, CONFIG ("6", "/six/")));
  usleep (500000);
  a = ask ("GET /five/", "v1", NULL, "");
  ck_assert_int_eq (p_parse_status (a), 200);
  b = ask ("GET /six/", "v2", NULL, "");
  ck_assert_int_eq (p_parse_status (b), 404);
}
END_TEST

/* Wrong settings end the program with a message that names the remedy. */
START_TEST (wrong_settings_are_named)
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

START_TEST (a_large_body_passes_whole)
{
  g_autofree char *body = g_strnfill (60000, 'b');
  g_autofree char *a = ask ("POST /order/a", "big", NULL, body);

  ck_assert_int_eq (p_parse_status (a), 200);
  ck_assert_ptr_nonnull (strstr (a, body));
}
END_TEST

START_TEST (a_gateway_without_the_store_learns_from_a_peer)
{
  g_autofree char *req = p_build_request ("POST /order/a", "p1", NULL, "x");
  g_autofree char *a = NULL;

  g_free (p_call_standin (STORE, "POST /test/mode?mode=silent", ""));
  p_start_ready_gateway (BASE, 2);
  a = p_round_trip (p_front_port (BASE, 2), req);
  ck_assert_int_eq (p_parse_status (a), 200);
}
END_TEST

/* All processes had been killed: what came while they read the configuration
 * again was refused, most of it for the last time. */
START_TEST (a_request_waits_for_the_configuration_at_a_start)
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

START_TEST (a_gateway_that_knows_nothing_is_not_ready)
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

/* A planned stop cuts off nothing: what runs is ended; what comes late is
 * answered if it ends in time, else refused, not run, and told to come back
 * when this process is there again, since no other takes it. */
START_TEST (a_planned_stop_ends_what_runs)
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
  ck_assert_uint_eq (count_of (whole, "id: 450\n"), 1);
  ck_assert_int_eq (p_stop (gateway), 0);
  close (fd);
  close (kept);
}
END_TEST

START_TEST (a_reload_cuts_off_nothing)
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
  g_autofree char *a = ask ("POST /order/a", "m1", NULL, "x");
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

/** Targets that register one by one, and the pause between two. */
#define REGISTERED 40
#define REGISTER_EVERY_MS 25
/** Calls that a gateway may need for them: for each half second one, and
 * some at either end. */
#define REGISTER_CALLS 8

/* A counter or gauge on the metrics page of gateway @n. */
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
 * At a start of 35 gateways and 197 targets the store was called 7,300 times,
 * nine tenths of them while targets registered one by one: each entry woke
 * the watch of each gateway, which asked again at once.  News that come close
 * together are asked for together.
 */
START_TEST (targets_that_register_one_by_one_cost_few_calls)
{
  double before = metric (1, "store_calls_total");

  for (int i = 0; i < REGISTERED; i++)
    {
      g_autofree char *call
          = g_strdup_printf ("POST /test/put?key=servers/new-%d", i);
      g_autofree char *entry = g_strdup_printf (
          "{\"service\":\"desk\",\"addr\":\"127.0.0.1:1\",\"slots\":6,"
          "\"state\":\"draining\",\"seq\":%d}",
          i);

      g_free (p_call_standin (BASE, call, entry));
      usleep (REGISTER_EVERY_MS * 1000);
    }
  ck_assert_double_lt (metric (1, "store_calls_total") - before,
                       REGISTER_CALLS);
}
END_TEST

/** Of 220 descriptors 200 are for files, and half of the rest for callers. */
#define FEW_FDS 220
#define FEW_CALLERS 10

/* Callers that hold connections do not take those that targets need: one that
 * is idle makes room for the next, one that waits for its answer does not. */
START_TEST (callers_leave_descriptors_for_targets)
{
  g_autofree char *quick = p_build_request ("POST /order/a", "f", NULL, "x");
  g_autofree char *stream = p_build_request (
      "POST /chat/a", "f", "Comfreypost-Token-Count: 10,100\r\n", "");
  int idle[2 * FEW_CALLERS];
  int fds[FEW_CALLERS];

  p_overrides.max_fds = FEW_FDS;
  p_start_ready_gateway (BASE, 2);
  for (int i = 0; i < 2 * FEW_CALLERS; i++)
    {
      g_autofree char *a = NULL;

      idle[i] = p_connect (p_front_port (BASE, 2));
      p_send (idle[i], quick);
      a = p_read_answer (idle[i], 3000);
      ck_assert_msg (p_parse_status (a) == 200, "%d: %s", i, a);
    }
  ck_assert_double_eq (metric (2, "callers"), FEW_CALLERS);
  for (int i = 0; i < FEW_CALLERS; i++)
    {
      fds[i] = p_connect (p_front_port (BASE, 2));
      p_send (fds[i], stream);
    }
  usleep (100000);
  ck_assert_double_eq (metric (2, "callers"), FEW_CALLERS);
  {
    g_autofree char *a = p_round_trip (p_front_port (BASE, 2), quick);

    ck_assert_str_eq (a, "");
    ck_assert_double_eq (metric (2, "callers_turned_away_total"), 1);
  }
  for (int i = 0; i < FEW_CALLERS; i++)
    {
      g_autofree char *a = p_read_answer (fds[i], 8000);

      ck_assert (g_str_has_suffix (a, "0\r\n\r\n"));
    }
  {
    g_autofree char *a = p_round_trip (p_front_port (BASE, 2), quick);

    ck_assert_int_eq (p_parse_status (a), 200);
  }
  for (int i = 0; i < FEW_CALLERS; i++)
    {
      close (idle[i]);
      close (idle[FEW_CALLERS + i]);
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
  tcase_add_test (t, a_request_passes_unchanged);
  tcase_add_test (t, a_public_route_needs_no_key);
  tcase_add_test (t, improper_requests_are_answered);
  tcase_add_test (t, large_heads_are_refused);
  tcase_add_test (t, requests_follow_on_one_connection);
  tcase_add_test (t, extra_answers_reach_nobody);
  tcase_add_test (t, idempotent_requests_are_tried_again);
  tcase_add_test (t, answers_without_length_are_whole);
  tcase_add_test (t, orders_run_at_most_once);
  tcase_add_test (t, a_refused_order_may_come_back);
  tcase_add_test (t, a_targets_failure_passes_as_it_is);
  tcase_add_test (t, hanging_targets);
  tcase_add_test (t, streams_are_passed_whole);
  tcase_add_test (t, broken_streams_are_resumed);
  tcase_add_test (t, slow_readers_cost_only_themselves);
  tcase_add_test (t, kept_connections_live_to_the_idle_limit);
  tcase_add_test (t, work_of_callers_that_left_is_stopped);
  tcase_add_test (t, leaving_targets_get_no_new_work);
  tcase_add_test (t, leaving_is_heard_after_the_stores_return);
  tcase_add_test (t, restarted_targets_are_used_at_once);
  tcase_add_test (t, a_restart_under_the_same_id_ends_what_ran_there);
  tcase_add_test (t, a_former_start_cannot_drain_the_next);
  tcase_add_test (t, spoiled_entries_name_no_target);
  tcase_add_test (t, a_reused_address_is_left_alone);
  tcase_add_test (t, versions_come_into_force_and_never_go_back);
  tcase_add_test (t, slow_and_choosy_stores_are_followed);
  tcase_add_test (t, stale_stores_take_nothing_back);
  tcase_add_test (t, wrong_settings_are_named);
  tcase_add_test (t, a_large_body_passes_whole);
  tcase_add_test (t, a_gateway_without_the_store_learns_from_a_peer);
  tcase_add_test (t, a_request_waits_for_the_configuration_at_a_start);
  tcase_add_test (t, a_gateway_that_knows_nothing_is_not_ready);
  tcase_add_test (t, a_planned_stop_ends_what_runs);
  tcase_add_test (t, a_reload_cuts_off_nothing);
  tcase_add_test (t, metrics_are_served);
  tcase_add_test (t, targets_that_register_one_by_one_cost_few_calls);
  tcase_add_test (t, callers_leave_descriptors_for_targets);
  suite_add_tcase (s, t);
  return t_run_suite (s);
}
