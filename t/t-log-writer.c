/* The log writer: nobody who logs waits for the reader of the log. */
#include "harness.h"
#include "log-writer.h"
#include "log.h"
#include "net.h"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

START_TEST (a_full_pipe_does_not_block)
{
  int fds[2];
  gint64 begun;

  ck_assert_int_eq (pipe (fds), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  begun = cf_now_ms ();
  for (int i = 0; i < 20000; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d target=%s", i, "some-target");
  ck_assert_int_lt (cf_now_ms () - begun, 1000);
  /* The ring and the pipe hold some; the rest is dropped and counted. */
  ck_assert_uint_gt (cf_log_writer_dropped (), 10000);
  begun = cf_now_ms ();
  cf_log_writer_stop (100);
  ck_assert_int_lt (cf_now_ms () - begun, 1000);
}
END_TEST

START_TEST (lines_come_whole_and_in_order)
{
  char text[65536] = "";
  int fds[2];
  ssize_t n;
  char *at = text;

  ck_assert_int_eq (pipe (fds), 0);
  ck_assert (cf_log_writer_start (fds[1]));
  for (int i = 0; i < 100; i++)
    cf_log (LOG_INFO, CF_EV_ROUTE, "id=%d end", i);
  cf_log_writer_stop (1000);
  n = read (fds[0], text, sizeof text - 1);
  ck_assert_int_gt (n, 0);
  for (int i = 0; i < 100; i++)
    {
      char want[32];

      g_snprintf (want, sizeof want, "route id=%d end t=", i);
      at = strstr (at, want);
      ck_assert_ptr_nonnull (at);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("log-writer");
  TCase *t = tcase_create ("log-writer");

  tcase_add_test (t, a_full_pipe_does_not_block);
  tcase_add_test (t, lines_come_whole_and_in_order);
  suite_add_tcase (s, t);
  return t_run (s);
}
