/*
 * The format of log lines, and that no value can split a line.
 */
#include "harness.h"
#include "log.h"

#include <check.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#define LOG_FILE "t/out/log-test.log"

/* Logs @value and returns the output on standard error. */
static char *
log_and_capture (const char *value)
{
  int saved = dup (STDERR_FILENO);
  char *text = NULL;
  int fd;

  g_mkdir_with_parents ("t/out", 0755);
  fd = open (LOG_FILE, O_WRONLY | O_CREAT | O_TRUNC, 0644);
  dup2 (fd, STDERR_FILENO);
  cf_log_init ("t-log");
  cf_log (LOG_INFO, CF_EV_ROUTE, "org=%s end", value);
  dup2 (saved, STDERR_FILENO);
  close (saved);
  close (fd);
  g_file_get_contents (LOG_FILE, &text, NULL, NULL);
  return text;
}

START_TEST (test_line_has_priority_program_event_and_fields)
{
  g_autofree char *expected = g_strdup_printf (
      "<6>t-log[%d]: E1203 route org=aspen end\n", (int)getpid ());
  g_autofree char *got = log_and_capture ("aspen");

  ck_assert_str_eq (got, expected);
}
END_TEST

START_TEST (test_a_value_cannot_forge_a_line)
{
  g_autofree char *got
      = log_and_capture ("x\n<6>comfrey-entry[1]: E1205 answer\t\x7f");

  ck_assert_ptr_eq (strchr (got, '\n'), got + strlen (got) - 1);
  ck_assert (strstr (got, "org=x?<6>comfrey-entry[1]: E1205 answer?? end"));
}
END_TEST

START_TEST (test_a_long_value_is_truncated_but_the_line_ends)
{
  g_autofree char *value = g_strnfill (5000, 'v');
  g_autofree char *got = log_and_capture (value);

  ck_assert_int_le (strlen (got), 2048);
  ck_assert_int_eq (got[strlen (got) - 1], '\n');
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("log");
  TCase *tc = tcase_create ("core");

  tcase_add_test (tc, test_line_has_priority_program_event_and_fields);
  tcase_add_test (tc, test_a_value_cannot_forge_a_line);
  tcase_add_test (tc, test_a_long_value_is_truncated_but_the_line_ends);
  suite_add_tcase (s, tc);
  return t_run_suite (s);
}
