/*
 * An accepted configuration is in force within seconds and never reverts:
 * entries follow the fake configuration service through new versions,
 * stale reads of an older one, outages, restarts, and a long pause.
 */
#include "harness.h"
#include "http-client.h"
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
/* Letter 1: a change is in force everywhere within 9 s. */
#define IN_FORCE_MAX_MS 9000
/* The service takes about 2,000 reads/s from all readers together; one
 * process may spend a handful. */
#define READS_PER_S_MAX 5

static const char group[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17601\"]}\n";

static gint64
reads (void)
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

static void
call (const char *method, const char *url, const char *body)
{
  long code = 0;

  ck_assert_int_eq (cf_http_call (method, url, body, NULL, 2000, &code, NULL),
                    CF_OK);
  ck_assert_int_eq (code, 200);
}

START_TEST (test_in_force_within_seconds_and_never_older)
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
                              IN_FORCE_MAX_MS));
  took = cf_now_ms () - t0;
  fprintf (stderr, "t-config: version 2 in force after %lld ms\n", took);

  /* A lagging replica serves version 1 again: the entry keeps 2, and does
   * not spin on the service while it waits for something newer. */
  call ("GET", CONFIG "/test/mode?mode=stale&version=1", NULL);
  before = reads ();
  usleep (2000000);
  stale_reads = reads () - before - 1;
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
                              IN_FORCE_MAX_MS));
  t_stop_all ();
}
END_TEST

/* Two entries, A and B, one agent and its engine. */
#define ENTRY_A "http://127.0.0.1:17682"
#define ENTRY_B "http://127.0.0.1:17683"
#define ASK                                                                    \
  "{\"org\":\"o\",\"service\":\"s\",\"model\":\"m\",\"deadline_ms\":3000,"     \
  "\"body\":{\"prompt\":\"p\",\"max_tokens\":1}}"

static const char routed[]
    = "{\"schema\":1,\"kind\":\"group\",\"name\":\"g\",\"target\":\"engine\","
      "\"agents\":[\"127.0.0.1:17601\"]}\n"
      "{\"schema\":2,\"kind\":\"intent\",\"name\":\"i\",\"match\":{\"orgs\":["
      "\"*\"],\"services\":[\"*\"],\"models\":[\"*\"]},\"groups\":[{\"name\":"
      "\"g\"}],\"priority\":5,\"worth_milli\":1000}\n";

static pid_t
start_entry (char which, gboolean peers)
{
  g_autofree char *name = g_strdup_printf ("c-entry-%c", which);
  int a = which == 'b';
  g_autofree char *more
      = peers ? g_strdup_printf ("[peers]\nlisten = \"127.0.0.1:1768%d\"\n"
                                 "urls = [\"http://127.0.0.1:1768%d\"]\n",
                                 4 + a, 5 - a)
              : g_strdup ("");
  g_autofree char *s
      = g_strdup_printf ("[entry]\nname = \"%c\"\nlisten = "
                         "\"127.0.0.1:1768%d\"\n"
                         "[config]\nurl = \"http://127.0.0.1:17600\"\n"
                         "[vmlist]\nurl = \"http://127.0.0.1:17609\"\n%s",
                         which, 2 + a, more);

  return t_start_program (name, "./comfrey-entry", s);
}

/* Starts all with version 1 in force; returns entry A. */
static pid_t
start_two_entries (gboolean peers)
{
  pid_t a;

  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/c-records.jsonl", routed, -1, NULL);
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

/* Publishes version 2, and waits until B goes by it and the agent has
 * known it for longer than its grace. */
static void
publish_and_pass_grace (void)
{
  call ("POST", CONFIG "/test/publish", routed);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  usleep (2000000);
}

/* Asks entry A for one answer; returns the status and what it says ran. */
static long
ask_a (char **ran)
{
  g_autofree char *reply = NULL;
  long code = 0;
  json_t *o;

  ck_assert_int_eq (cf_http_call ("POST", ENTRY_A "/v1/requests", ASK, NULL,
                                  5000, &code, &reply),
                    CF_OK);
  o = json_loads (reply, 0, NULL);
  g_free (*ran);
  *ran = g_strdup (json_string_value (json_object_get (o, "ran")));
  json_decref (o);
  return code;
}

/* A still goes by version 1, long replaced: its requests must not run until
 * it has version 2. */
static void
check_refused_until_the_service_is_up (void)
{
  g_autofree char *ran = NULL;

  ck_assert_int_eq (ask_a (&ran), 503);
  ck_assert_str_eq (ran, "no");
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":2",
                              IN_FORCE_MAX_MS));
  ck_assert_int_eq (ask_a (&ran), 200);
}

/* Version 2 comes in force; then A is killed and starts again while the
 * service serves version 1. */
static void
restart_while_stale (pid_t a, gboolean peers)
{
  publish_and_pass_grace ();
  kill (a, SIGKILL);
  waitpid (a, NULL, 0);
  call ("GET", CONFIG "/test/mode?mode=stale&version=1", NULL);
  start_entry ('a', peers);
}

START_TEST (test_restart_while_stale_takes_the_peers_version)
{
  g_autofree char *log = NULL;
  g_autofree char *ran = NULL;
  pid_t a = start_two_entries (TRUE);

  restart_while_stale (a, TRUE);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health",
                              "\"config_version\":2,\"links_up\":1", 5000));
  ck_assert_int_eq (ask_a (&ran), 200);
  t_stop_all ();
  log = t_read_log ("c-entry-a");
  ck_assert_msg (strstr (log, "config-accept version=1") == NULL,
                 "the restarted entry put version 1 in force again");
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

START_TEST (test_paused_entry_wakes_late)
{
  g_autofree char *ran = NULL;
  pid_t a = start_two_entries (FALSE);

  ck_assert_int_eq (ask_a (&ran), 200);
  /* Its waiting watch is cut before the new version is published. */
  kill (a, SIGSTOP);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  call ("POST", CONFIG "/test/publish", routed);
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  usleep (2000000);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  kill (a, SIGCONT);
  /* Time for whatever was answered to it meanwhile. */
  usleep (300000);
  /* It still believes in version 1, long replaced. */
  check_refused_until_the_service_is_up ();
  t_stop_all ();
}
END_TEST

START_TEST (test_peer_has_it_while_the_service_is_down)
{
  g_autofree char *ran = NULL;
  long long t0;
  pid_t a = start_two_entries (TRUE);

  kill (a, SIGSTOP);
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  call ("POST", CONFIG "/test/publish", routed);
  call ("GET", CONFIG "/test/mode?mode=up", NULL);
  ck_assert (
      t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":2", 5000));
  call ("GET", CONFIG "/test/mode?mode=down", NULL);
  kill (a, SIGCONT);
  t0 = cf_now_ms ();
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":2",
                              IN_FORCE_MAX_MS));
  fprintf (stderr, "t-config: taken from a peer within %lld ms of waking\n",
           cf_now_ms () - t0);
  ck_assert_int_eq (ask_a (&ran), 200);
  t_stop_all ();
}
END_TEST

static void *
operator_publishes (void *unused)
{
  long code = 0;

  cf_http_call ("POST", CONFIG "/test/publish", routed, NULL, 2000, &code,
                NULL);
  return NULL;
}

/* The versions that @entry put in force, in order, must only rise. */
static void
check_rising (const char *entry)
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

START_TEST (test_operators_publish_at_the_same_moment)
{
  pthread_t t[4];

  start_two_entries (TRUE);
  for (int i = 0; i < 4; i++)
    pthread_create (&t[i], NULL, operator_publishes, NULL);
  for (int i = 0; i < 4; i++)
    pthread_join (t[i], NULL);
  ck_assert (t_wait_for_body (ENTRY_A "/v1/health", "\"config_version\":5",
                              IN_FORCE_MAX_MS));
  ck_assert (t_wait_for_body (ENTRY_B "/v1/health", "\"config_version\":5",
                              IN_FORCE_MAX_MS));
  t_stop_all ();
  check_rising ("c-entry-a");
  check_rising ("c-entry-b");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *tc = tcase_create ("watch");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_in_force_within_seconds_and_never_older);
  tcase_add_test (tc, test_restart_while_stale_takes_the_peers_version);
  tcase_add_test (tc, test_stale_restart_without_peers_is_refused);
  tcase_add_test (tc, test_paused_entry_wakes_late);
  tcase_add_test (tc, test_peer_has_it_while_the_service_is_down);
  tcase_add_test (tc, test_operators_publish_at_the_same_moment);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
