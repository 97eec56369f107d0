/*
 * An accepted configuration is applied within seconds and is never replaced
 * by an older one: entries follow the fake configuration service through new
 * versions, stale reads, outages, restarts, and a long pause.
 */
#include "harness.h"
#include "http-client.h"
#include "http-server.h"
#include "net.h"

#include <check.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONFIG "http://127.0.0.1:17600"
#define ENTRY "http://127.0.0.1:17680"
/* Requirement: every process applies a change within 9 s. */
#define APPLY_MAX_MS 9000
/* The service takes about 2,000 reads/s from all readers together, so one
 * process may make only a few. */
#define READS_PER_S_MAX 5

static const char group[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17601\"]}\n";

/* Returns how many reads the configuration service has answered. */
static gint64
count_reads (void)
{
  g_autofree char *body = NULL;
  long code = 0;
  json_t *o;
  gint64 n;

  ck_assert_int_eq (cf_http_call ("GET", CONFIG "/test/reads", NULL, NULL, 2000,
                                  &code, &body),
                    CF_OK);
  o = json_loads (body, 0, NULL);
  n = json_integer_value (json_object_get (o, "reads"));
  json_decref (o);
  return n;
}

/* Makes an HTTP request and checks that it succeeds. */
static void
call (const char *method, const char *url, const char *body)
{
  long code = 0;

  ck_assert_int_eq (cf_http_call (method, url, body, NULL, 2000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
}

START_TEST (test_change_is_applied_soon_and_never_reverted)
{
  long long t0;
  long long took;
  gint64 before;
  gint64 stale_reads;

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/c-records.jsonl", group, -1, NULL);
  t_start_program ("c-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17600\"\n"
                   "records = \"t/out/c-records.jsonl\"\n");
  t_start_program ("c-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17609\"\n");
  t_start_program ("c-entry", "./comfrey-entry",
                   "[entry]\nlisten = \"127.0.0.1:17680\"\n"
                   "[config]\nurl = \"http://127.0.0.1:17600\"\n"
                   "[vmlist]\nurl = \"http://127.0.0.1:17609\"\n");
  ck_assert (
      t_wait_for_body (ENTRY "/v1/health", "\"config_version\":1", 5000));

  t0 = cf_now_ms ();
  call ("POST", CONFIG "/test/publish", group);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"config_version\":2",
                              APPLY_MAX_MS));
  took = cf_now_ms () - t0;
  fprintf (stderr, "t-config: version 2 applied after %lld ms\n", took);

  /* A stale replica serves version 1 again: the entry keeps version 2, and
   * does not poll the service without a delay while it waits for a newer
   * one. */
  call ("GET", CONFIG "/test/mode?mode=stale&version=1", NULL);
  before = count_reads ();
  usleep (2000000);
  stale_reads = count_reads () - before - 1;
  fprintf (stderr,
           "t-config: %" G_GINT64_FORMAT " reads of a stale service "
           "in 2 s\n",
           stale_reads);
  ck_assert_msg (stale_reads <= 2 * READS_PER_S_MAX,
                 "the entry read the stale service %" G_GINT64_FORMAT
                 " times in 2 s",
                 stale_reads);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"config_version\":2", 100));

  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  usleep (1000000);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"config_version\":2", 100));

  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  call ("POST", CONFIG "/test/publish", group);
  ck_assert (t_wait_for_body (ENTRY "/v1/health", "\"config_version\":3",
                              APPLY_MAX_MS));
  t_stop_all ();
}
END_TEST

/* The tests below run two entries, A and B, one agent and its engine. */
#define ENTRY_A "http://127.0.0.1:17682"
#define ENTRY_B "http://127.0.0.1:17683"
#define REQUEST                                                                \
  "{\"org\":\"o\",\"service\":\"s\",\"model\":\"m\",\"deadline_ms\":3000,"     \
  "\"body\":{\"prompt\":\"p\",\"max_tokens\":1}}"

static const char group_and_intent[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17601\"]}\n"
      "{\"schema\":2,\"kind\":\"intent\",\"name\":\"i\",\"match\":{\"orgs\":["
      "\"*\"],\"services\":[\"*\"],\"models\":[\"*\"]},\"groups\":[{\"name\":"
      "\"g\"}],\"priority\":5,\"worth_milli\":1000}\n";

static pid_t
start_entry (char which, gboolean peers)
{
  g_autofree char *name = g_strdup_printf ("c-entry-%c", which);
  int is_b = which == 'b';
  g_autofree char *peer_settings
      = peers ? g_strdup_printf ("[peers]\nlisten = \"127.0.0.1:1768%d\"\n"
                                 "urls = [\"http://127.0.0.1:1768%d\"]\n",
                                 4 + is_b, 5 - is_b)
              : g_strdup ("");
  g_autofree char *s
      = g_strdup_printf ("[entry]\nname = \"%c\"\nlisten = "
                         "\"127.0.0.1:1768%d\"\n"
                         "[config]\nurl = \"http://127.0.0.1:17600\"\n"
                         "[vmlist]\nurl = \"http://127.0.0.1:17609\"\n%s",
                         which, 2 + is_b, peer_settings);

  return t_start_program (name, "./comfrey-entry", s);
}

/* Starts all processes and waits for version 1; returns entry A's pid. */
static pid_t
start_two_entries (gboolean peers)
{
  pid_t a;

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/c-records.jsonl", group_and_intent, -1, NULL);
  t_start_program ("c-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17600\"\n"
                   "records = \"t/out/c-records.jsonl\"\n");
  t_start_program ("c-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17609\"\n");
  t_start_program ("c-engine", "./comfrey-fake-engine",
                   "[engine]\nlisten = \"127.0.0.1:17690\"\n");
  t_start_program ("c-agent", "./comfrey-agent",
                   "[agent]\nlisten = \"127.0.0.1:17601\"\n"
                   "target_url = \"http://127.0.0.1:17690\"\n"
                   "config_grace_ms = 500\n");
  a = start_entry ('a', peers);
  start_entry ('b', peers);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health",
                              "\"config_version\":1,\"links_up\":1", 5000));
  ck_assert (t_wait_for_body (ENTRY_B "/v1/health",
                              "\"config_version\":1,\"links_up\":1", 5000));
  return a;
}

/* Publishes version 2, and waits until B uses it and the agent has known it
 * for longer than its grace period. */
static void
publish_and_wait_past_grace (void)
{
  call ("POST", CONFIG "/test/publish", group_and_intent);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  usleep (2000000);
}

/* Sends a request to entry A; returns the status and the reply's "ran". */
static long
post_to_a (char **ran)
{
  g_autofree char *reply = NULL;
  long code = 0;
  json_t *o;

  ck_assert_int_eq (cf_http_call ("POST", ENTRY_A "/v1/requests", REQUEST, NULL,
                                  5000, &code, &reply),
                    CF_OK);
  o = json_loads (reply, 0, NULL);
  g_free (*ran);
  *ran = g_strdup (json_string_value (json_object_get (o, "ran")));
  json_decref (o);
  return code;
}

/* A still uses version 1, which was replaced longer ago than the grace
 * period: its requests must not run until it has version 2. */
static void
check_refused_until_the_service_is_up (void)
{
  g_autofree char *ran = NULL;

  ck_assert_int_eq (post_to_a (&ran), 503);
  ck_assert_str_eq (ran, "no");
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":2",
                              APPLY_MAX_MS));
  ck_assert_int_eq (post_to_a (&ran), 200);
}

/* Publishes version 2; then kills A and restarts it while the service serves
 * version 1. */
static void
restart_while_stale (pid_t a, gboolean peers)
{
  publish_and_wait_past_grace ();
  kill (a, SIGKILL);
  waitpid (a, NULL, 0);
  call ("GET", CONFIG "/test/mode?mode=stale&version=1", NULL);
  start_entry ('a', peers);
}

START_TEST (test_stale_restart_uses_the_peers_version)
{
  g_autofree char *log = NULL;
  g_autofree char *ran = NULL;
  pid_t a = start_two_entries (TRUE);

  restart_while_stale (a, TRUE);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health",
                              "\"config_version\":2,\"links_up\":1", 5000));
  ck_assert_int_eq (post_to_a (&ran), 200);
  t_stop_all ();
  log = t_read_log ("c-entry-a");
  ck_assert_msg (strstr (log, "config-accept version=1") == NULL,
                 "the restarted entry applied version 1 again");
}
END_TEST

START_TEST (test_stale_restart_without_peers_is_refused)
{
  pid_t a = start_two_entries (FALSE);

  restart_while_stale (a, FALSE);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health",
                              "\"config_version\":1,\"links_up\":1", 5000));
  check_refused_until_the_service_is_up ();
  t_stop_all ();
}
END_TEST

START_TEST (test_resumed_entry_with_old_version_is_refused)
{
  g_autofree char *ran = NULL;
  pid_t a = start_two_entries (FALSE);

  ck_assert_int_eq (post_to_a (&ran), 200);
  /* The service goes down first, which ends A's pending watch request before
   * the new version is published. */
  kill (a, SIGSTOP);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  call ("POST", CONFIG "/test/publish", group_and_intent);
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  usleep (2000000);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  kill (a, SIGCONT);
  /* Lets A process the replies that arrived while it was stopped. */
  usleep (300000);
  /* A still uses version 1. */
  check_refused_until_the_service_is_up ();
  t_stop_all ();
}
END_TEST

START_TEST (test_version_from_a_peer_while_the_service_is_down)
{
  g_autofree char *ran = NULL;
  long long t0;
  pid_t a = start_two_entries (TRUE);

  kill (a, SIGSTOP);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  call ("POST", CONFIG "/test/publish", group_and_intent);
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  kill (a, SIGCONT);
  t0 = cf_now_ms ();
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":2",
                              APPLY_MAX_MS));
  fprintf (stderr, "t-config: read from a peer %lld ms after the resume\n",
           cf_now_ms () - t0);
  ck_assert_int_eq (post_to_a (&ran), 200);
  t_stop_all ();
}
END_TEST

static void *
publish_thread (void *unused)
{
  long code = 0;

  cf_http_call ("POST", CONFIG "/test/publish", group_and_intent, NULL, 2000,
                &code, NULL);
  return NULL;
}

/* Checks that each version @entry applied is newer than the one before. */
static void
check_versions_increase (const char *entry)
{
  g_autofree char *log = t_read_log (entry);
  int last = 0;

  for (const char *p = log; (p = strstr (p, "config-accept version=")); p++)
    {
      int v = atoi (p + strlen ("config-accept version="));

      ck_assert_msg (v > last, "%s went from version %d to %d", entry, last, v);
      last = v;
    }
  ck_assert_int_eq (last, 5);
}

START_TEST (test_concurrent_publishes)
{
  pthread_t t[4];

  start_two_entries (TRUE);
  for (int i = 0; i < 4; i++)
    pthread_create (&t[i], NULL, publish_thread, NULL);
  for (int i = 0; i < 4; i++)
    pthread_join (t[i], NULL);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":5",
                              APPLY_MAX_MS));
  ck_assert (t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":5",
                              APPLY_MAX_MS));
  t_stop_all ();
  check_versions_increase ("c-entry-a");
  check_versions_increase ("c-entry-b");
}
END_TEST

START_TEST (test_version_that_broke_off_is_not_applied)
{
  static const char *const framings[]
      = { "length", "chunked", "close", "short" };
  /* Inside the first record, and one byte before the end of the document. */
  int cuts[] = { 60, 0 };
  g_autofree char *document = NULL;
  int version = 1;
  long code = 0;

  start_two_entries (FALSE);
  ck_assert_int_eq (cf_http_call ("GET", CONFIG "/v1/records", NULL, NULL, 2000,
                                  &code, &document),
                    CF_OK);
  cuts[1] = (int)strlen (document) - 1;
  for (size_t i = 0; i < G_N_ELEMENTS (framings) * G_N_ELEMENTS (cuts); i++)
    {
      g_autofree char *old
          = g_strdup_printf ("\"config_version\":%d,", version);
      g_autofree char *new
          = g_strdup_printf ("\"config_version\":%d,", ++version);
      g_autofree char *url = g_strdup_printf (
          CONFIG "/test/break?path=/v1/watch&framing=%s&after=%d&count=1000",
          framings[i / 2], cuts[i % 2]);

      call ("GET", url, NULL);
      call ("POST", CONFIG "/test/publish", group_and_intent);
      usleep (500000);
      ck_assert_msg (t_wait_for_body (ENTRY_A "/v1/health", old, 100),
                     "%s: took a version that broke off", framings[i / 2]);
      call ("GET", CONFIG "/test/break?path=/v1/watch&framing=length&count=0",
            NULL);
      ck_assert (t_wait_for_body (ENTRY_A "/v1/health", new, APPLY_MAX_MS));
    }
  t_stop_all ();
}
END_TEST

/* A service whose answers are cut short after a long wait, while a peer, served
 * at the same address, has version 1 from @peer_ready_ms on. */
static void
serve_cut_versions (void *data, const CfHttpRequest *req, CfHttpReply *rep)
{
  const long long *peer_ready_ms = data;

  if (g_str_equal (req->path, "/v1/watch"))
    {
      usleep (3000000);
      rep->body = g_strdup ("{\"version\":1,\"reco");
    }
  else if (cf_now_ms () < *peer_ready_ms)
    cf_http_reply_error (rep, 404, "nothing-newer", "no version yet");
  else
    rep->body = g_strdup ("{\"version\":1,\"records\":[]}");
}

START_TEST (test_peers_are_asked_if_versions_break_off_after_a_wait)
{
  long long peer_ready_ms = cf_now_ms () + 1000;
  CfHttpServer *server = NULL;

  ck_assert_int_eq (cf_http_server_start ("127.0.0.1:17600", serve_cut_versions,
                                          &peer_ready_ms, &server),
                    CF_OK);
  t_start_program ("c-entry", "./comfrey-entry",
                   "[entry]\nlisten = \"127.0.0.1:17680\"\n"
                   "[config]\nurl = \"http://127.0.0.1:17600\"\n"
                   "[peers]\nurls = [\"http://127.0.0.1:17600\"]\n"
                   "[vmlist]\nurl = \"http://127.0.0.1:17609\"\n");
  ck_assert_msg (t_wait_for_body (ENTRY "/v1/health", "\"config_version\":1",
                                  APPLY_MAX_MS),
                 "the peer's version was not read within %d ms", APPLY_MAX_MS);
  t_stop_all ();
  cf_http_server_stop (server);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *tc = tcase_create ("watch");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_change_is_applied_soon_and_never_reverted);
  tcase_add_test (tc, test_stale_restart_uses_the_peers_version);
  tcase_add_test (tc, test_stale_restart_without_peers_is_refused);
  tcase_add_test (tc, test_resumed_entry_with_old_version_is_refused);
  tcase_add_test (tc, test_version_from_a_peer_while_the_service_is_down);
  tcase_add_test (tc, test_concurrent_publishes);
  tcase_add_test (tc, test_version_that_broke_off_is_not_applied);
  tcase_add_test (tc, test_peers_are_asked_if_versions_break_off_after_a_wait);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
