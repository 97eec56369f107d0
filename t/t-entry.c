/*
 * The entry's refusals, routing and shutdown, with real processes on
 * loopback: each refusal is sent at once, says whether the request ran and
 * when to retry, and a planned shutdown lets requests in progress finish.
 */
#include "harness.h"
#include "http-client.h"
#include "http-server.h"
#include "net.h"

#include <check.h>
#include <stdio.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENTRY "http://127.0.0.1:17580"
#define REQUEST                                                                \
  "{\"org\":\"aspen-coulee\",\"service\":\"assistant\",\"model\":\"desc-v3\"," \
  "\"deadline_ms\":5000,\"body\":{\"prompt\":\"p1\",\"max_tokens\":2}}"

static const char records[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17501\",\"127.0.0.1:17502\"]}\n"
      "{\"schema\":1,\"kind\":\"intent\",\"name\":\"i\",\"org\":\"aspen-"
      "coulee\","
      "\"service\":\"assistant\",\"model\":\"desc-v3\",\"groups\":[\"g\"],"
      "\"priority\":5,\"worth\":1}\n";

static pid_t
start_entry_with (const char *more)
{
  g_autofree char *s = g_strdup_printf (
      "[entry]\nname = \"e\"\nlisten = \"127.0.0.1:17580\"\n%s"
      "[config]\nurl = \"http://127.0.0.1:17500\"\n"
      "[vmlist]\nurl = \"http://127.0.0.1:17509\"\n",
      more);

  return t_start_program ("e-entry", "./comfrey-entry", s);
}

static pid_t
start_entry (void)
{
  return start_entry_with ("");
}

static void
start_platform (void)
{
  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/e-records.jsonl", records, -1, NULL);
  t_start_program ("e-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17500\"\n"
                   "records = \"t/out/e-records.jsonl\"\n");
  t_start_program ("e-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17509\"\n");
}

static void
start_agent (const char *name, const char *port)
{
  g_autofree char *s
      = g_strdup_printf ("[agent]\nlisten = \"127.0.0.1:%s\"\n"
                         "target_url = \"http://127.0.0.1:17590\"\n",
                         port);

  t_start_program (name, "./comfrey-agent", s);
}

/* Starts the platform, an engine and its two agents. */
static void
start_group (void)
{
  start_platform ();
  t_start_program ("e-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:17590\"\n");
  start_agent ("e-agent-1", "17501");
  start_agent ("e-agent-2", "17502");
}

/* Posts @body; returns the status, in @value the reply's @field, and in @ms
 * how long it took. */
static long
post (const char *body, const char *field, char **value, long long *ms)
{
  g_autofree char *reply = NULL;
  long long t0 = cf_now_ms ();
  long code = 0;
  json_t *o;

  ck_assert_int_eq (cf_http_call ("POST", ENTRY "/v1/requests", body, NULL,
                                  20000, &code, &reply),
                    CF_OK);
  if (ms)
    *ms = cf_now_ms () - t0;
  o = json_loads (reply, 0, NULL);
  if (value)
    *value = g_strdup (json_string_value (json_object_get (o, field)));
  json_decref (o);
  return code;
}

START_TEST (test_no_config_is_refused)
{
  g_autofree char *ran = NULL;

  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "config_version", 5000));
  ck_assert_int_eq (post (REQUEST, "ran", &ran, NULL), 503);
  ck_assert_str_eq (ran, "no");
  t_stop_all ();
}
END_TEST

START_TEST (test_no_target_is_refused_at_once)
{
  g_autofree char *ran = NULL;
  long long ms;

  start_platform ();
  start_entry ();
  ck_assert (
      t_wait_for_body (ENTRY "/v1/health", "\"config_version\":1", 5000));
  ck_assert_int_eq (post (REQUEST, "ran", &ran, &ms), 503);
  ck_assert_str_eq (ran, "no");
  /* The deadline is 5000 ms: the refusal must not wait for it. */
  ck_assert_msg (ms < 1000, "refusal took %lld ms", ms);
  t_stop_all ();
}
END_TEST

START_TEST (test_draining_agents_get_no_requests)
{
  g_autofree char *target = NULL;
  g_autofree char *ran = NULL;
  g_autofree char *out = NULL;
  char *drain[] = { "./comfrey", "drain", "127.0.0.1:17501", NULL };
  int status;

  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert (g_spawn_sync (NULL, drain, NULL, 0, NULL, NULL, &out, NULL,
                           &status, NULL));
  ck_assert_int_eq (status, 0);
  ck_assert (strstr (out, "draining=yes"));
  for (int i = 0; i < 6; i++)
    {
      g_clear_pointer (&target, g_free);
      ck_assert_int_eq (post (REQUEST, "target", &target, NULL), 200);
      ck_assert_str_eq (target, "127.0.0.1:17502");
    }
  drain[2] = "127.0.0.1:17502";
  ck_assert (g_spawn_sync (NULL, drain, NULL, 0, NULL, NULL, NULL, NULL,
                           &status, NULL));
  /* The entry learns the agent's draining flag with the next heartbeat at the
   * latest. */
  ck_assert_int_eq (post (REQUEST, "ran", &ran, NULL), 503);
  ck_assert_str_eq (ran, "no");
  t_stop_all ();
}
END_TEST

/* A caller with a long request; on its own thread it has its own connection. */
static void *
slow_caller (void *unused)
{
  const char *slow = "{\"org\":\"aspen-coulee\",\"service\":\"assistant\","
                     "\"model\":\"desc-v3\",\"deadline_ms\":10000,"
                     "\"body\":{\"prompt\":\"slow\",\"max_tokens\":400}}";
  g_autofree char *reply = NULL;
  long code = 0;

  if (cf_http_call ("POST", ENTRY "/v1/requests", slow, NULL, 20000, &code,
                    &reply)
      != CF_OK)
    code = 0;
  return GINT_TO_POINTER ((int)code);
}

START_TEST (test_shutdown_finishes_request_in_progress)
{
  g_autofree char *text = NULL;
  pthread_t caller;
  void *code;
  pid_t entry;

  start_group ();
  entry = start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  pthread_create (&caller, NULL, slow_caller, NULL);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"in_flight\":1", 5000));
  kill (entry, SIGTERM);
  pthread_join (caller, &code);
  ck_assert_msg (GPOINTER_TO_INT (code) == 200,
                 "the request in progress got %d, not its answer, when the "
                 "entry was stopped",
                 GPOINTER_TO_INT (code));
  t_stop_all ();
  text = t_read_log ("e-entry");
  ck_assert (strstr (text, "E1406 drain-done in_flight=0"));
}
END_TEST

/* Reads from @fd until it closes or the HTTP body is complete; returns the
 * length of the body, and in @expected its Content-Length. */
static size_t
read_body (int fd, size_t *expected)
{
  g_autoptr (GString) got = g_string_new (NULL);
  char buf[16384];
  const char *head;

  *expected = 0;
  for (;;)
    {
      ssize_t n = read (fd, buf, sizeof buf);

      if (n > 0)
        g_string_append_len (got, buf, n);
      head = strstr (got->str, "\r\n\r\n");
      if (head && strstr (got->str, "Content-Length: "))
        *expected
            = strtoul (strstr (got->str, "Content-Length: ") + 16, NULL, 10);
      if (n <= 0 || (head && got->len - (head + 4 - got->str) >= *expected))
        return head ? got->len - (head + 4 - got->str) : 0;
    }
}

START_TEST (test_shutdown_waits_until_answer_is_sent)
{
  g_autofree char *prompt = g_strnfill (800000, 'p');
  g_autofree char *body = g_strdup_printf (
      "{\"org\":\"aspen-coulee\",\"service\":\"assistant\",\"model\":"
      "\"desc-v3\",\"deadline_ms\":5000,\"body\":{\"prompt\":\"%s\","
      "\"max_tokens\":1}}",
      prompt);
  g_autofree char *request
      = g_strdup_printf ("POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (body), body);
  int small = 4096;
  size_t expected;
  size_t len;
  pid_t entry;
  int fd = -1;

  start_group ();
  entry = start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
  /* With a small receive buffer the answer cannot be written in one piece. */
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  ck_assert_int_eq (cf_write_all (fd, request, strlen (request)), CF_OK);
  usleep (500000);
  kill (entry, SIGTERM);
  usleep (500000);
  len = read_body (fd, &expected);
  ck_assert_msg (expected > 800000 && len == expected,
                 "the shutdown cut the answer off after %zu of %zu bytes", len,
                 expected);
  close (fd);
  t_stop_all ();
}
END_TEST

/*
 * A request whose head has arrived only in part when the entry gets SIGTERM
 * is refused.  A request is active only once its head has been read
 * completely, so an entry that exits as soon as no request is active closes
 * the connection without a reply, and the caller cannot tell whether the
 * request ran.  The log of such an entry has E1405 in_flight=0, E1406 and
 * E1002 in a row, and no E1205 for the request.
 */
START_TEST (test_shutdown_refuses_partly_received_request)
{
  static const char first[] = "POST /v1/requests HTTP/1.1\r\nHost: e\r\n";
  g_autofree char *rest = g_strdup_printf (
      "Content-Length: %zu\r\n\r\n" REQUEST, strlen (REQUEST));
  char reply[4096] = "";
  pid_t entry;
  int fd = -1;

  start_group ();
  entry = start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
  ck_assert_int_eq (cf_write_all (fd, first, strlen (first)), CF_OK);
  usleep (200000);
  kill (entry, SIGTERM);
  usleep (50000);
  if (cf_write_all (fd, rest, strlen (rest)) == CF_OK)
    for (size_t got = 0; got < sizeof reply - 1;)
      {
        ssize_t n = read (fd, reply + got, sizeof reply - 1 - got);

        if (n <= 0)
          break;
        got += (size_t)n;
      }
  ck_assert_msg (g_str_has_prefix (reply, "HTTP/1.1 503 "),
                 "a request partly received at SIGTERM got no refusal: '%s'",
                 reply);
  ck_assert (strstr (reply, "\"ran\":\"no\""));
  ck_assert (strstr (reply, "Connection: close"));
  close (fd);
  t_stop_all ();
}
END_TEST

/*
 * A request that takes longer (8 s) than the entry's drain grace (1 s) is
 * refused before the entry exits.  An entry that does not check pending
 * requests during the shutdown closes their connections without a reply.  Its
 * log has E1406 in_flight=1 with no E1205 before it.
 */
START_TEST (test_shutdown_refuses_request_longer_than_grace)
{
  static const char body[]
      = "{\"org\":\"aspen-coulee\",\"service\":\"assistant\",\"model\":"
        "\"desc-v3\",\"deadline_ms\":30000,\"body\":{\"prompt\":\"long\","
        "\"max_tokens\":4000}}";
  g_autofree char *request
      = g_strdup_printf ("POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (body), body);
  char reply[4096] = "";
  size_t got = 0;
  ssize_t n;
  pid_t entry;
  int fd = -1;

  start_group ();
  entry = start_entry_with ("drain_grace_ms = 1000\n");
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
  ck_assert_int_eq (cf_write_all (fd, request, strlen (request)), CF_OK);
  ck_assert (t_wait_for_body ("http://127.0.0.1:17590/v1/load", "\"running\":1",
                              3000));
  kill (entry, SIGTERM);
  while (got < sizeof reply - 1
         && (n = read (fd, reply + got, sizeof reply - 1 - got)) > 0)
    got += (size_t)n;
  ck_assert_msg (g_str_has_prefix (reply, "HTTP/1.1 503 "),
                 "a request longer than the grace got no refusal: '%s'", reply);
  ck_assert (strstr (reply, "\"error\":\"draining\""));
  ck_assert (strstr (reply, "\"ran\":\"unknown\""));
  /* The engine's work on the request is cancelled too. */
  ck_assert (t_wait_for_body ("http://127.0.0.1:17590/v1/load", "\"running\":0",
                              2000));
  close (fd);
  t_stop_all ();
}
END_TEST

START_TEST (test_request_is_cancelled_when_caller_leaves)
{
  static const char body[]
      = "{\"org\":\"aspen-coulee\",\"service\":\"assistant\",\"model\":"
        "\"desc-v3\",\"deadline_ms\":30000,\"body\":{\"prompt\":\"left\","
        "\"max_tokens\":4000}}";
  g_autofree char *request
      = g_strdup_printf ("POST /v1/requests HTTP/1.1\r\nHost: e\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         strlen (body), body);
  int fd = -1;

  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
  ck_assert_int_eq (cf_write_all (fd, request, strlen (request)), CF_OK);
  ck_assert (t_wait_for_body ("http://127.0.0.1:17590/v1/load", "\"running\":1",
                              3000));
  close (fd);
  /* Without a cancel, 4000 tokens keep the engine busy for over 8 s. */
  ck_assert_msg (
      t_wait_for_body ("http://127.0.0.1:17590/v1/load", "\"running\":0", 3000),
      "the engine still works for a caller that has left");
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"in_flight\":0", 2000));
  t_stop_all ();
}
END_TEST

START_TEST (test_request_too_large_for_a_frame_keeps_link_up)
{
  static const char head[]
      = "{\"org\":\"aspen-coulee\",\"service\":\"assistant\",\"model\":"
        "\"desc-v3\",\"body\":{\"prompt\":\"";
  static const char tail[] = "\"}}";
  /* Exactly the HTTP limit, so that the frame, which has more fields, is over
   * its own limit. */
  g_autofree char *prompt = g_strnfill (
      CF_HTTP_BODY_MAX_BYTES - strlen (head) - strlen (tail), 'p');
  g_autofree char *body = g_strconcat (head, prompt, tail, NULL);
  g_autofree char *ran = NULL;
  g_autofree char *log = NULL;
  pthread_t caller;
  void *code;
  pid_t entry;

  start_group ();
  entry = start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  pthread_create (&caller, NULL, slow_caller, NULL);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"in_flight\":1", 5000));
  ck_assert_int_eq (post (body, "ran", &ran, NULL), 413);
  ck_assert_str_eq (ran, "no");
  pthread_join (caller, &code);
  ck_assert_int_eq (GPOINTER_TO_INT (code), 200);
  /* The entry stops before its agents, as it would log their stops as lost
   * links. */
  kill (entry, SIGTERM);
  waitpid (entry, NULL, 0);
  log = t_read_log ("e-entry");
  t_stop_all ();
  ck_assert_msg (strstr (log, "E1302") == NULL, "a link was lost: %s", log);
}
END_TEST

/* Sends requests until none goes to @addr; returns how long that took in ms,
 * or -1 after @limit_ms. */
static long long
ms_until_excluded (const char *addr, long long limit_ms)
{
  long long t0 = cf_now_ms ();
  int n_elsewhere = 0;

  while (cf_now_ms () - t0 < limit_ms)
    {
      g_autofree char *target = NULL;

      ck_assert_int_eq (post (REQUEST, "target", &target, NULL), 200);
      n_elsewhere = strcmp (target, addr) == 0 ? 0 : n_elsewhere + 1;
      /* Of ten in a row, least-loaded routing would send some to @addr if it
       * were still a candidate. */
      if (n_elsewhere == 10)
        return cf_now_ms () - t0;
      usleep (20000);
    }
  return -1;
}

START_TEST (test_leaving_target_is_excluded_within_bound)
{
  long long ms;

  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  /* The VM list has the change only after its lag of 2000 ms. */
  ck_assert (
      t_wait_for_body ("http://127.0.0.1:17509/test/vm?addr=127.0.0.1:17501"
                       "&state=leaving",
                       "ok", 1000));
  ms = ms_until_excluded ("127.0.0.1:17501", 10000);
  fprintf (stderr,
           "t-entry: leaving target got its last request within "
           "%lld ms (VM list lag 2000 ms, poll 500 ms)\n",
           ms);
  ck_assert_msg (ms >= 0 && ms < 3000,
                 "the leaving target still got requests: %lld ms", ms);
  t_stop_all ();
}
END_TEST

START_TEST (test_silent_agent_is_excluded)
{
  g_autofree char *target = NULL;
  long long t0;
  long long ms;
  pid_t agent;

  start_platform ();
  t_start_program ("e-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:17590\"\n");
  agent = t_start_program ("e-agent-1", "./comfrey-agent",
                           "[agent]\nlisten = \"127.0.0.1:17501\"\n"
                           "target_url = \"http://127.0.0.1:17590\"\n");
  start_agent ("e-agent-2", "17502");
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  /* A stopped agent's connection stays open, but the agent never replies. */
  kill (agent, SIGSTOP);
  t0 = cf_now_ms ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"links_up\":1", 6000));
  ms = cf_now_ms () - t0;
  fprintf (stderr, "t-entry: silent agent's link declared lost after %lld ms\n",
           ms);
  for (int i = 0; i < 5; i++)
    {
      g_clear_pointer (&target, g_free);
      ck_assert_int_eq (post (REQUEST, "target", &target, NULL), 200);
      ck_assert_str_eq (target, "127.0.0.1:17502");
    }
  kill (agent, SIGCONT);
  t_stop_all ();
}
END_TEST

/* An intent whose first group is down; its second is that of start_group(). */
static const char two_groups[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"first\",\"target\":"
      "\"engine\",\"agents\":[\"127.0.0.1:17503\"]}\n"
      "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17501\",\"127.0.0.1:17502\"]}\n"
      "{\"schema\":1,\"kind\":\"intent\",\"name\":\"i\",\"org\":\"aspen-"
      "coulee\",\"service\":\"assistant\",\"model\":\"desc-v3\",\"groups\":["
      "\"first\",\"g\"],\"priority\":5,\"worth\":1}\n";

START_TEST (test_failing_target_is_ejected)
{
  g_autofree char *log = NULL;
  int attempts = 0;

  start_platform ();
  t_start_program ("e-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:17590\"\n");
  /* The agent is healthy, but nothing listens at its target's address. */
  t_start_program ("e-agent-1", "./comfrey-agent",
                   "[agent]\nlisten = \"127.0.0.1:17501\"\n"
                   "target_url = \"http://127.0.0.1:17599\"\n");
  start_agent ("e-agent-2", "17502");
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  for (int i = 0; i < 120; i++)
    ck_assert_int_eq (post (REQUEST, NULL, NULL, NULL), 200);
  t_stop_all ();
  log = t_read_log ("e-entry");
  for (const char *p = log; (p = strstr (p, "target=127.0.0.1:17501 attempt="));
       p++)
    attempts++;
  ck_assert_msg (attempts <= 6, "the failing target was tried %d times",
                 attempts);
  ck_assert (
      strstr (log, "E1209 outlier-eject target=127.0.0.1:17501 ms=1000"));
}
END_TEST

START_TEST (test_falls_back_to_next_group)
{
  g_autofree char *group = NULL;
  g_autofree char *target = NULL;
  long code = 0;

  start_group ();
  start_entry ();
  ck_assert (
      t_wait_for_body (ENTRY "/v1/health", "\"config_version\":1", 5000));
  ck_assert_int_eq (cf_http_call ("POST", "http://127.0.0.1:17500/test/publish",
                                  two_groups, NULL, 2000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":2,\"links_up\":2", 5000));
  ck_assert_int_eq (post (REQUEST, "group", &group, NULL), 200);
  ck_assert_str_eq (group, "g");
  /* Once the first group is up, it gets the requests. */
  start_agent ("e-agent-3", "17503");
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"links_up\":3", 5000));
  ck_assert_int_eq (post (REQUEST, "target", &target, NULL), 200);
  ck_assert_str_eq (target, "127.0.0.1:17503");
  t_stop_all ();
}
END_TEST

START_TEST (test_answer_to_each_http_version_has_a_length)
{
  static const char *const versions[] = { "1.0", "1.1" };

  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  for (size_t i = 0; i < G_N_ELEMENTS (versions); i++)
    {
      g_autofree char *request
          = g_strdup_printf ("POST /v1/requests HTTP/%s\r\nHost: e\r\n"
                             "Content-Length: %zu\r\n\r\n" REQUEST,
                             versions[i], strlen (REQUEST));
      size_t expected;
      size_t len;
      int fd = -1;

      ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
      ck_assert_int_eq (cf_write_all (fd, request, strlen (request)), CF_OK);
      len = read_body (fd, &expected);
      ck_assert_msg (expected > 0 && len == expected,
                     "HTTP/%s: %zu bytes, stated %zu", versions[i], len,
                     expected);
      close (fd);
    }
  t_stop_all ();
}
END_TEST

/* Requests, each with a whole JSON document, that end before their framing
 * does. */
static const char *const broken_off_requests[] = {
  "POST /v1/requests HTTP/1.1\r\nHost: e\r\nContent-Length: "
  "1000\r\n\r\n" REQUEST,
  "POST /v1/requests HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n"
  "\r\n77\r\n" REQUEST,
  "POST /v1/requests HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n"
  "\r\n77\r\n" REQUEST "\r\n",
  "POST /v1/requests HTTP/1.0\r\nHost: e\r\n\r\n" REQUEST,
};

START_TEST (test_request_that_broke_off_is_not_run)
{
  /* The chunks above state the length of the request. */
  ck_assert_int_eq (strlen (REQUEST), 0x77);
  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  for (size_t i = 0; i < G_N_ELEMENTS (broken_off_requests); i++)
    {
      g_autofree char *seen = NULL;
      char reply[4096] = "";
      long code = 0;
      int fd = -1;

      ck_assert_int_eq (cf_connect_tcp ("127.0.0.1:17580", 1000, &fd), CF_OK);
      ck_assert_int_eq (cf_write_all (fd, broken_off_requests[i],
                                      strlen (broken_off_requests[i])),
                        CF_OK);
      shutdown (fd, SHUT_WR);
      if (read (fd, reply, sizeof reply - 1) > 0)
        ck_assert_msg (strstr (reply, " 400 "), "%zu: %s", i, reply);
      close (fd);
      ck_assert_int_eq (cf_http_call ("GET", "http://127.0.0.1:17590/test/seen",
                                      NULL, NULL, 2000, &code, &seen),
                        CF_OK);
      ck_assert_msg (strstr (seen, "p1") == NULL, "%zu ran", i);
    }
  t_stop_all ();
}
END_TEST

/* A target whose answer contains a NUL byte. */
static void *
serve_nul_byte (void *data)
{
  static const char answer[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf\0rest";
  int fd = accept (GPOINTER_TO_INT (data), NULL, NULL);
  char request[4096];

  if (read (fd, request, sizeof request) > 0)
    cf_write_all (fd, answer, sizeof answer - 1);
  /* Until the agent closes it. */
  while (read (fd, request, sizeof request) > 0)
    continue;
  close (fd);
  return NULL;
}

START_TEST (test_answer_is_not_cut_at_a_nul_byte)
{
  g_autofree char *answer = NULL;
  pthread_t t;
  long code;
  int fd;

  start_platform ();
  ck_assert_int_eq (cf_listen_tcp ("127.0.0.1:17590", &fd), CF_OK);
  start_agent ("e-agent-1", "17501");
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":1", 5000));
  pthread_create (&t, NULL, serve_nul_byte, GINT_TO_POINTER (fd));
  code = post (REQUEST, "answer", &answer, NULL);
  ck_assert_msg (code == 409, "%ld with '%s'", code, answer);
  t_stop_all ();
  pthread_join (t, NULL);
  close (fd);
}
END_TEST

#define VM_LIST "http://127.0.0.1:17509"

START_TEST (test_vm_list_that_broke_off_ends_no_leave)
{
  static const char *const framings[]
      = { "length", "chunked", "close", "short" };
  g_autofree char *log = NULL;

  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  ck_assert (t_wait_for_body (
      VM_LIST "/test/vm?addr=127.0.0.1:17501&state=leaving", "ok", 1000));
  ck_assert_int_ge (ms_until_excluded ("127.0.0.1:17501", 10000), 0);
  for (size_t i = 0; i < G_N_ELEMENTS (framings); i++)
    {
      g_autofree char *url = g_strdup_printf (
          VM_LIST "/test/break?path=/v1/vms&framing=%s&after=10&count=100",
          framings[i]);

      ck_assert (t_wait_for_body (url, "ok", 1000));
      /* Two polls. */
      usleep (1100000);
      for (int j = 0; j < 5; j++)
        {
          g_autofree char *target = NULL;

          ck_assert_int_eq (post (REQUEST, "target", &target, NULL), 200);
          ck_assert_msg (g_str_equal (target, "127.0.0.1:17502"),
                         "%s: the leaving target got a request", framings[i]);
        }
    }
  t_stop_all ();
  log = t_read_log ("e-entry");
  ck_assert (strstr (log, "E1304 vmlist-down"));
}
END_TEST

/* An answer of the engine: its framing, and where it breaks off. */
static const struct
{
  const char *framing;
  const char *after;
  long code;
  const char *ran;
} engine_answers[] = {
  { "length", "-1", 200, "yes" },   { "length", "10", 409, "unknown" },
  { "chunked", "-1", 200, "yes" },  { "chunked", "10", 409, "unknown" },
  { "close", "-1", 200, "yes" },    { "close", "10", 409, "unknown" },
  { "close", "0", 409, "unknown" },
};

START_TEST (test_answer_that_broke_off_is_not_passed_on)
{
  start_group ();
  start_entry ();
  ck_assert (t_wait_for_body (ENTRY "/v1/health",
                              "\"config_version\":1,\"links_up\":2", 5000));
  for (size_t i = 0; i < G_N_ELEMENTS (engine_answers); i++)
    {
      g_autofree char *url = g_strdup_printf (
          "http://127.0.0.1:17590/test/break?path=/v1/generate&framing=%s"
          "&after=%s",
          engine_answers[i].framing, engine_answers[i].after);
      g_autofree char *ran = NULL;
      long code;

      ck_assert (t_wait_for_body (url, "ok", 1000));
      code = post (REQUEST, "ran", &ran, NULL);
      ck_assert_msg (code == engine_answers[i].code, "%s, after %s: %ld",
                     engine_answers[i].framing, engine_answers[i].after, code);
      ck_assert_str_eq (ran, engine_answers[i].ran);
    }
  t_stop_all ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("entry");
  TCase *tc = tcase_create ("refusals");
  TCase *late = tcase_create ("late");
  TCase *grace = tcase_create ("grace");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_no_config_is_refused);
  tcase_add_test (tc, test_no_target_is_refused_at_once);
  tcase_add_test (tc, test_draining_agents_get_no_requests);
  tcase_add_test (tc, test_failing_target_is_ejected);
  tcase_add_test (tc, test_falls_back_to_next_group);
  tcase_add_test (tc, test_shutdown_finishes_request_in_progress);
  tcase_add_test (tc, test_shutdown_waits_until_answer_is_sent);
  tcase_add_test (tc, test_request_is_cancelled_when_caller_leaves);
  tcase_add_test (tc, test_request_too_large_for_a_frame_keeps_link_up);
  tcase_add_test (tc, test_leaving_target_is_excluded_within_bound);
  tcase_add_test (tc, test_silent_agent_is_excluded);
  tcase_add_test (tc, test_answer_to_each_http_version_has_a_length);
  tcase_add_test (tc, test_request_that_broke_off_is_not_run);
  tcase_add_test (tc, test_answer_that_broke_off_is_not_passed_on);
  tcase_add_test (tc, test_answer_is_not_cut_at_a_nul_byte);
  tcase_add_test (tc, test_vm_list_that_broke_off_ends_no_leave);
  suite_add_tcase (s, tc);
  tcase_set_timeout (late, 60);
  tcase_set_tags (late, "late");
  tcase_add_test (late, test_shutdown_refuses_partly_received_request);
  suite_add_tcase (s, late);
  tcase_set_timeout (grace, 60);
  tcase_set_tags (grace, "grace");
  tcase_add_test (grace, test_shutdown_refuses_request_longer_than_grace);
  suite_add_tcase (s, grace);
  return t_run_suite (s);
}
