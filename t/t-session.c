/*
 * A whole session through real processes on loopback.  All requests, their
 * answers and the entry's log lines about its decisions are compared exactly
 * with t/session.golden.  GOLDEN_UPDATE=1 writes that file anew.
 */
#include "harness.h"
#include "http-client.h"

#include <check.h>
#include <string.h>

#define ENTRY "http://127.0.0.1:17080"

/* Appends an entry's decision lines to @out, without the pid, which differs
 * in every run. */
static void
append_decision_lines (const char *log, GString *out)
{
  g_auto (GStrv) lines = g_strsplit (log, "\n", -1);

  for (char **l = lines; *l; l++)
    {
      const char *ev = strstr (*l, "]: E");

      if (ev
          && (g_str_has_prefix (ev, "]: E11")
              || g_str_has_prefix (ev, "]: E12")))
        g_string_append_printf (out, "log %s\n", ev + 3);
    }
}

/* Fails at the first line that differs and reports that line only, since both
 * whole sessions would make an unreadable message. */
static void
compare_lines (const char *got, const char *want)
{
  g_auto (GStrv) g = g_strsplit (got, "\n", -1);
  g_auto (GStrv) w = g_strsplit (want, "\n", -1);
  int i;

  for (i = 0; g[i] && w[i]; i++)
    ck_assert_msg (strcmp (g[i], w[i]) == 0,
                   "t/session.golden:%d differs:\n got: %.400s\nwant: %.400s",
                   i + 1, g[i], w[i]);
  ck_assert_msg (g[i] == NULL && w[i] == NULL,
                 "t/session.golden: %s lines at line %d",
                 g[i] ? "more" : "fewer", i + 1);
}

START_TEST (test_session_matches_golden)
{
  g_autofree char *session = NULL;
  g_autofree char *golden = NULL;
  g_autofree char *log = NULL;
  g_auto (GStrv) lines = NULL;
  GString *out = g_string_new (NULL);

  t_start_program ("s-config", "./comfrey-fake-config",
                   "[config]\nlisten = \"127.0.0.1:17000\"\n"
                   "records = \"t/session-records.jsonl\"\n");
  t_start_program ("s-vmlist", "./comfrey-fake-vmlist",
                   "[vmlist]\nlisten = \"127.0.0.1:17001\"\n");
  t_start_program (
      "s-engine", "./comfrey-fake-engine",
      "[engine]\nlisten = \"127.0.0.1:17201\"\nstep_base_us = 500\n");
  t_start_program ("s-service", "./comfrey-fake-service",
                   "[service]\nlisten = \"127.0.0.1:17301\"\n");
  t_start_program ("s-agent-1", "./comfrey-agent",
                   "[agent]\nlisten = \"127.0.0.1:17101\"\n"
                   "target_url = \"http://127.0.0.1:17201\"\n");
  t_start_program ("s-agent-2", "./comfrey-agent",
                   "[agent]\nlisten = \"127.0.0.1:17102\"\n"
                   "target_url = \"http://127.0.0.1:17201\"\n");
  t_start_program ("s-agent-3", "./comfrey-agent",
                   "[agent]\nlisten = \"127.0.0.1:17103\"\n"
                   "target_url = \"http://127.0.0.1:17301\"\n");
  t_start_program ("s-entry", "./comfrey-entry",
                   "[entry]\nname = \"t\"\nlisten = \"127.0.0.1:17080\"\n"
                   "[config]\nurl = \"http://127.0.0.1:17000\"\n"
                   "[vmlist]\nurl = \"http://127.0.0.1:17001\"\n");
  ck_assert_msg (t_wait_for_body (ENTRY "/v1/health",
                                  "\"config_version\":1,\"links_up\":3,"
                                  "\"guards_quiet\":0",
                                  15000),
                 "the entry did not get its configuration and three links");

  g_file_get_contents ("t/session.jsonl", &session, NULL, NULL);
  lines = g_strsplit (session, "\n", -1);
  for (char **l = lines; *l && **l; l++)
    {
      g_autofree char *reply = NULL;
      long code = 0;

      ck_assert_int_eq (cf_http_call ("POST", ENTRY "/v1/requests", *l, NULL,
                                      10000, &code, &reply),
                        CF_OK);
      g_string_append_printf (out, "req %s\nans %ld %s\n", *l, code, reply);
    }
  t_stop_all ();
  log = t_read_log ("s-entry");
  append_decision_lines (log, out);

  if (g_getenv ("GOLDEN_UPDATE"))
    g_file_set_contents ("t/session.golden", out->str, -1, NULL);
  ck_assert (g_file_get_contents ("t/session.golden", &golden, NULL, NULL));
  compare_lines (out->str, golden);
  g_string_free (out, TRUE);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("session");
  TCase *tc = tcase_create ("golden");

  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_session_matches_golden);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
