/*
 * A non-repeatable call runs at most once, through two entries and three
 * agents of one service, while agents and entries are killed during the call.
 * The service counts how often the call of each key ran.
 */
#include "harness.h"
#include "http-client.h"
#include "net.h"

#include <check.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define SERVICE "http://127.0.0.1:17491"
#define AGENTS 3

static const char *const entries[]
    = { "http://127.0.0.1:17480", "http://127.0.0.1:17481" };

static const char records[]
    = "{\"schema\":2,\"kind\":\"group\",\"name\":\"book\",\"target\":"
      "\"service\",\"agents\":[\"127.0.0.1:17401\",\"127.0.0.1:17402\","
      "\"127.0.0.1:17403\"]}\n"
      "{\"schema\":2,\"kind\":\"intent\",\"name\":\"b\",\"match\":{\"orgs\":["
      "\"*\"],\"services\":[\"shift-booking\"],\"models\":[\"booking-v1\"]},"
      "\"groups\":[{\"name\":\"book\"}],\"priority\":9,"
      "\"worth_milli\":8000}\n";

static pid_t agents[AGENTS];
static pid_t entry_pids[2];

static pid_t
start_agent (int i)
{
  g_autofree char *name = g_strdup_printf ("o-agent-%d", i + 1);
  g_autofree char *s
      = g_strdup_printf ("[agent]\nlisten = \"127.0.0.1:1740%d\"\n"
                         "target_url = \"" SERVICE "\"\n",
                         i + 1);

  return t_start_program (name, "./comfrey-agent", s);
}

static void
start_all (void)
{
  g_mkdir_with_parents ("t/out", 0755);
  g_file_set_contents ("t/out/o-records.jsonl", records, -1, NULL);
  t_start_program ("o-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17400\"\n"
                   "records = \"t/out/o-records.jsonl\"\n");
  t_start_program ("o-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17409\"\n");
  t_start_program ("o-service", "./comfrey-fake-service",
                   "[service]\nlisten = \"127.0.0.1:17491\"\nwork_ms = 800\n");
  for (int i = 0; i < AGENTS; i++)
    agents[i] = start_agent (i);
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *name = g_strdup_printf ("o-entry-%d", i + 1);
      g_autofree char *s = g_strdup_printf (
          "[entry]\nname = \"o%d\"\nlisten = \"127.0.0.1:1748%d\"\n"
          "[config]\nurl = \"http://127.0.0.1:17400\"\n"
          "[vmlist]\nurl = \"http://127.0.0.1:17409\"\n",
          i + 1, i);

      entry_pids[i] = t_start_program (name, "./comfrey-entry", s);
    }
  for (int i = 0; i < 2; i++)
    {
      g_autofree char *url = g_strconcat (entries[i], "/v1/health", NULL);

      /* Three links, and every guard's quiet period over. */
      ck_assert (t_wait_for_body (
          url, "\"config_version\":1,\"links_up\":3,\"guards_quiet\":0",
          15000));
    }
}

typedef struct
{
  int entry;
  const char *key;
  long code;
  char *ran;
} Booking;

static void *
send_booking (void *data)
{
  Booking *b = data;
  g_autofree char *url = g_strconcat (entries[b->entry], "/v1/requests", NULL);
  g_autofree char *reply = NULL;
  g_autofree char *body = g_strdup_printf (
      "{\"org\":\"north-agency\",\"service\":\"shift-booking\",\"model\":"
      "\"booking-v1\",\"deadline_ms\":3000,\"idempotency_key\":\"%s\","
      "\"body\":{\"note\":\"crew to row 4\"}}",
      b->key);
  json_t *o;

  b->code = 0;
  if (cf_http_call_once ("POST", url, body, NULL, 10000, &b->code, &reply)
      != CF_OK)
    return NULL;
  o = json_loads (reply, 0, NULL);
  b->ran = g_strdup (json_string_value (json_object_get (o, "ran")));
  json_decref (o);
  return NULL;
}

static gint64
count_runs (const char *key)
{
  g_autofree char *counts = NULL;
  long code = 0;
  json_t *o;
  gint64 n;

  ck_assert_int_eq (cf_http_call ("GET", SERVICE "/test/counts", NULL, NULL,
                                  2000, &code, &counts),
                    CF_OK);
  o = json_loads (counts, 0, NULL);
  n = json_integer_value (json_object_get (o, key));
  json_decref (o);
  return n;
}

/* Waits until the service has begun @key's call. */
static void
wait_until_running (const char *key)
{
  for (int i = 0; i < 100 && count_runs (key) == 0; i++)
    usleep (10000);
  ck_assert_int_eq (count_runs (key), 1);
}

/* Returns the agent that the first entry sent its latest request to, which
 * must be that of @key. */
static int
find_runner (const char *key)
{
  g_autofree char *log = t_read_log ("o-entry-1");
  const char *last_route = NULL;
  int n = 0;

  /* The last route line names the target of the latest request. */
  for (const char *p = log; (p = strstr (p, "E1203 ")); p++)
    last_route = p;
  ck_assert_msg (last_route
                     && sscanf (strstr (last_route, "target="),
                                "target=127.0.0.1:1740%d", &n)
                            == 1,
                 "no route line for %s", key);
  return n - 1;
}

START_TEST (test_agent_killed_during_call)
{
  Booking first = { .entry = 0, .key = "shift-1" };
  Booking retry = { .entry = 1, .key = "shift-1" };
  Booking other = { .entry = 1, .key = "shift-2" };
  long long start_ms;
  pthread_t t;
  int runner;

  start_all ();
  pthread_create (&t, NULL, send_booking, &first);
  wait_until_running ("shift-1");
  runner = find_runner ("shift-1");
  kill (agents[runner], SIGKILL);
  waitpid (agents[runner], NULL, 0);
  pthread_join (t, NULL);
  ck_assert_str_eq (first.ran, "unknown");
  /* An immediate retry at the other entry while the agent is down. */
  send_booking (&retry);
  ck_assert_str_eq (retry.ran, "unknown");
  ck_assert_int_eq (count_runs ("shift-1"), 1);
  /* A new booking does not wait for the dead agent. */
  start_ms = cf_now_ms ();
  send_booking (&other);
  ck_assert_int_eq (other.code, 200);
  ck_assert_int_lt (cf_now_ms () - start_ms, 2500);
  /* Another retry with the agent restarted, its guard empty. */
  agents[runner] = start_agent (runner);
  usleep (1500000);
  g_clear_pointer (&retry.ran, g_free);
  send_booking (&retry);
  ck_assert_str_eq (retry.ran, "unknown");
  ck_assert_int_eq (count_runs ("shift-1"), 1);
  ck_assert_int_eq (count_runs ("shift-2"), 1);
  t_stop_all ();
}
END_TEST

START_TEST (test_entry_killed_during_call)
{
  Booking first = { .entry = 0, .key = "shift-3" };
  Booking retry = { .entry = 1, .key = "shift-3" };
  pthread_t t;

  start_all ();
  pthread_create (&t, NULL, send_booking, &first);
  wait_until_running ("shift-3");
  kill (entry_pids[0], SIGKILL);
  waitpid (entry_pids[0], NULL, 0);
  pthread_join (t, NULL);
  ck_assert_int_eq (first.code, 0);
  send_booking (&retry);
  ck_assert_str_eq (retry.ran, "unknown");
  /* The agent keeps the answer, and a later retry gets it. */
  usleep (1000000);
  g_clear_pointer (&retry.ran, g_free);
  send_booking (&retry);
  ck_assert_int_eq (retry.code, 200);
  ck_assert_str_eq (retry.ran, "yes");
  ck_assert_int_eq (count_runs ("shift-3"), 1);
  t_stop_all ();
}
END_TEST

START_TEST (test_same_key_at_both_entries_concurrently)
{
  Booking b[2] = { { .entry = 0 }, { .entry = 1 } };
  pthread_t t[2];

  start_all ();
  for (int round = 0; round < 5; round++)
    {
      g_autofree char *key = g_strdup_printf ("race-%d", round);

      for (int i = 0; i < 2; i++)
        {
          b[i].key = key;
          pthread_create (&t[i], NULL, send_booking, &b[i]);
        }
      for (int i = 0; i < 2; i++)
        {
          pthread_join (t[i], NULL);
          ck_assert_int_ne (b[i].code, 0);
        }
      ck_assert_msg (count_runs (key) <= 1, "%s ran more than once", key);
    }
  t_stop_all ();
}
END_TEST

START_TEST (test_two_of_three_guards_restarted)
{
  Booking first = { .entry = 0, .key = "shift-4" };
  Booking retry = { .entry = 1, .key = "shift-4" };
  pthread_t t;
  int runner;

  start_all ();
  pthread_create (&t, NULL, send_booking, &first);
  wait_until_running ("shift-4");
  runner = find_runner ("shift-4");
  for (int i = 0; i < 2; i++)
    {
      int a = (runner + i) % AGENTS;

      kill (agents[a], SIGKILL);
      waitpid (agents[a], NULL, 0);
      agents[a] = start_agent (a);
    }
  pthread_join (t, NULL);
  usleep (1500000);
  send_booking (&retry);
  ck_assert_int_ne (retry.code, 200);
  ck_assert_int_eq (count_runs ("shift-4"), 1);
  t_stop_all ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("once");
  TCase *tc = tcase_create ("core");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_agent_killed_during_call);
  tcase_add_test (tc, test_entry_killed_during_call);
  tcase_add_test (tc, test_same_key_at_both_entries_concurrently);
  tcase_add_test (tc, test_two_of_three_guards_restarted);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
